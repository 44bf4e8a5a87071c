#pragma once

/// @file
/// The state version and the most recent changes, used to send deltas to nodes.

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <deque>   // deque
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/accounts/key_table.hpp"     // KeyRecord
#include "acaciapulley/control/document_store.hpp" // StoredDocument

namespace acp {

/// Number of changes retained for deltas, about two days of changes. A node that is further behind
/// receives a snapshot.
inline constexpr std::size_t kMaxRecentChanges = 1000;

/// Memory of the retained changes in bytes; the latest change is retained in any case.
inline constexpr std::size_t kMaxRecentBytes = 8U << 20U;

/// The changes between two state versions, or a snapshot.
struct StateChanges
{
  bool isSnapshot = false; ///< true: replaces the whole state of the receiver
  std::int64_t fromVersion = 0;
  std::int64_t toVersion = 0;
  std::vector<StoredDocument> documents;
  std::vector<KeyRecord> issuedKeys;
  std::vector<std::string> revokedKeyIds;
  std::vector<std::string> evacuatedDataCentres; ///< at toVersion, complete; not kept in the feed
};

/// The most recent changes. Invariant: each change increments the version by one; the version never
/// decreases.
class ChangeFeed
{
public:
  /// @brief Appends a change and increments the version.
  void Append(StateChanges change);

  /// @brief Collects the changes after @p version; of each document only the latest version.
  /// @return whether all of them are still retained; if not, a snapshot is needed
  [[nodiscard]] bool Collect(std::int64_t version, StateChanges* changes) const;

  /// @brief Returns the state version.
  [[nodiscard]] std::int64_t Version() const { return version_; }

  /// @brief Returns the memory of the retained changes in bytes.
  [[nodiscard]] std::size_t RetainedBytes() const { return recentBytes_; }

  /// @brief Resets the feed to @p version without any retained changes.
  void Restore(std::int64_t version);

private:
  std::int64_t version_ = 0;
  std::deque<StateChanges> recent_; ///< oldest first
  std::size_t recentBytes_ = 0;
};

} // namespace acp
