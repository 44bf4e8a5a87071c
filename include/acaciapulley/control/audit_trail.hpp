#pragma once

/// @file
/// Who changed what, and when.

#include <cstdint> // int64_t
#include <deque>   // deque
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp" // UnixMillis

namespace acp {

/// Entries that are kept; at 470 changes and 200 membership events a day about 5 months.
inline constexpr std::size_t kMaxAuditEntries = 100'000;

/// One change.
struct AuditEntry
{
  std::int64_t number = 0; ///< starts at 1, without gaps
  UnixMillis time{};
  std::string operatorName; ///< `control` for what the leader saw itself
  std::string action;
  std::string subject;
  std::int64_t fromVersion = 0;
  std::int64_t toVersion = 0;
  std::string requestId;

  bool operator==(const AuditEntry&) const = default;
};

/// Changes in the order of the log. Entries are never changed; the oldest beyond kMaxAuditEntries
/// are dropped, so `acpctl audit --follow` should write to a file that is archived.
class AuditTrail
{
public:
  /// @brief Appends an entry; its number is set here.
  void Append(AuditEntry entry);

  /// @brief Returns up to @p limit entries with numbers from @p number on.
  [[nodiscard]] std::vector<AuditEntry> EntriesFrom(std::int64_t number, std::size_t limit) const;

  /// @brief Returns the number that the next entry gets.
  [[nodiscard]] std::int64_t NextNumber() const { return nextNumber_; }

  /// @brief Replaces all.
  void Restore(std::vector<AuditEntry> entries, std::int64_t nextNumber);

private:
  std::deque<AuditEntry> entries_;
  std::int64_t nextNumber_ = 1;
};

} // namespace acp
