#pragma once

/// @file
/// The state version and the latest changes, from which nodes get what they lack.

#include <cstdint> // int64_t
#include <deque>   // deque
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/accounts/key_table.hpp"     // KeyRecord
#include "acaciapulley/control/document_store.hpp" // StoredDocument

namespace acp {

/// Changes that are kept for deltas, two days of them; a node that lacks more takes a snapshot.
inline constexpr std::size_t kMaxRecentChanges = 1000;

/// Changes from one state version to another.
struct StateChanges
{
  bool isSnapshot = false; ///< true: replaces everything
  std::int64_t fromVersion = 0;
  std::int64_t toVersion = 0;
  std::vector<StoredDocument> documents;
  std::vector<KeyRecord> issuedKeys;
  std::vector<std::string> revokedKeyIds;
};

/// The latest changes. Its rule: each change raises the version by one, and it never goes back.
class ChangeFeed
{
public:
  /// @brief Appends a change and raises the version.
  void Append(StateChanges change);

  /// @brief Collects the changes after @p version, each document in its latest version only.
  /// @return whether they are all known; otherwise a snapshot is needed
  [[nodiscard]] bool Collect(std::int64_t version, StateChanges* changes) const;

  /// @brief Returns the state version.
  [[nodiscard]] std::int64_t Version() const { return version_; }

  /// @brief Starts again at @p version without known changes.
  void Restore(std::int64_t version);

private:
  std::int64_t version_ = 0;
  std::deque<StateChanges> recent_; ///< oldest first
};

} // namespace acp
