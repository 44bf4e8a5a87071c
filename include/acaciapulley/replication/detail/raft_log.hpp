#pragma once

/// @file
/// The in-memory log: the entries after a base position, and the membership at each index.

#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

#include "acaciapulley/replication/raft_types.hpp" // LogEntry, Membership

namespace acp::detail {

/// Entries after a base position, which is the last one covered by a snapshot, or zero.
class RaftLog
{
public:
  /// @brief Creates the log from stored entries, which directly follow the snapshot if there is
  /// one.
  RaftLog(const SnapshotPtr& snapshot, std::vector<LogEntry> entries);

  [[nodiscard]] const LogPosition& Base() const { return base_; }
  [[nodiscard]] LogPosition Last() const;

  /// @brief Returns the time of the last entry.
  [[nodiscard]] UnixMillis LastTime() const;

  /// @brief Returns the term of the entry at @p index; nothing if it is not in memory.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  /// @brief Returns the entry at @p index, which must be in memory.
  [[nodiscard]] const LogEntry& At(std::uint64_t index) const;

  /// @brief Returns entries from @p first on with at most @p maxBytes of data, but at least one if
  /// any exists.
  [[nodiscard]] std::vector<LogEntry> Slice(std::uint64_t first, std::size_t maxBytes) const;

  /// @brief Returns the memory that the entries after @p before up to @p last take in bytes;
  /// entries that are not in memory count as none.
  [[nodiscard]] std::uint64_t BytesBetween(std::uint64_t before, std::uint64_t last) const;

  /// @brief Returns the smallest index from which on the entries up to @p last take at most
  /// @p maxBytes; `last + 1` if already the entry at @p last takes more.
  [[nodiscard]] std::uint64_t FirstIndexWithin(std::uint64_t maxBytes, std::uint64_t last) const;

  /// @brief Returns the first index in memory with the same term as the entry at @p index.
  [[nodiscard]] std::uint64_t FirstIndexOfTermAt(std::uint64_t index) const;

  /// @brief Returns the newest membership, committed or not.
  [[nodiscard]] const Membership& NewestMembership() const { return memberships_.rbegin()->second; }

  /// @brief Returns the index of the entry that contains the newest membership.
  [[nodiscard]] std::uint64_t NewestMembershipIndex() const { return memberships_.rbegin()->first; }

  /// @brief Returns the membership after the entry at @p index.
  [[nodiscard]] const Membership& MembershipAt(std::uint64_t index) const;

  /// @brief Appends an entry, whose index must directly follow the last one.
  void Append(LogEntry entry);

  /// @brief Removes the entries from @p index on.
  void TruncateFrom(std::uint64_t index);

  /// @brief Drops the entries up to @p index from memory.
  void Compact(std::uint64_t index);

  /// @brief Replaces the whole log with the position and membership of @p snapshot.
  void ResetTo(const Snapshot& snapshot);

private:
  /// Returns the bytes of all entries ever appended up to @p index, which is limited to those in
  /// memory.
  [[nodiscard]] std::uint64_t BytesUpTo(std::uint64_t index) const;

  LogPosition base_;
  UnixMillis baseTime_{};
  std::deque<LogEntry> entries_;
  std::deque<std::uint64_t> bytesUpTo_; ///< for each entry; including all entries before it
  std::uint64_t bytesUpToBase_ = 0;
  std::map<std::uint64_t, Membership> memberships_; ///< never empty
};

} // namespace acp::detail
