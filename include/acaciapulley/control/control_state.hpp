#pragma once

/// @file
/// The state that control shares with the nodes: documents, keys and their versions.

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/accounts/key_table.hpp"      // KeyRecord, KeyTable
#include "acaciapulley/config/service_document.hpp" // ServiceDocument
#include "acaciapulley/control/control_error.hpp"   // ControlResult

namespace acp {

/// A stored service document.
struct StoredDocument
{
  std::string service;
  std::int64_t version = 0; ///< starts at 1, grows by 1 with each accepted change
  std::string body;         ///< the text as the operator sent it
};

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

/// Documents and keys. Each accepted change raises the state version by one.
class ControlState
{
public:
  /// @brief Stores @p body as the next version of its service's document.
  /// @param ifVersion version the operator edited, 0 for a new service
  /// @return the new document version, or InvalidDocument or VersionConflict
  ControlResult<std::int64_t> PutDocument(const std::string& body, std::int64_t ifVersion);

  /// @brief Puts a key in force.
  ControlResult<void> IssueKey(const KeyRecord& record);

  /// @brief Takes a key out of force.
  ControlResult<KeyRecord> RevokeKey(const std::string& id);

  /// @brief Returns what a node that has @p version lacks; a snapshot when it is too far behind.
  [[nodiscard]] StateChanges ChangesSince(std::int64_t version) const;

  /// @brief Returns the state version.
  [[nodiscard]] std::int64_t Version() const { return version_; }

  /// @brief Returns the current document of @p service, or nullptr.
  [[nodiscard]] const StoredDocument* DocumentOf(const std::string& service) const;

  /// @brief Returns the keys of @p account, or all when it is empty.
  [[nodiscard]] std::vector<KeyRecord> Keys(const std::string& account) const;

private:
  struct Change
  {
    std::int64_t version = 0;
    StateChanges content;
  };

  void Remember(StateChanges content);
  [[nodiscard]] StateChanges Snapshot() const;

  std::int64_t version_ = 0;
  std::map<std::string, StoredDocument> documents_;
  KeyTable keys_;
  std::vector<Change> recent_; ///< the last kMaxRecentChanges changes, oldest first
};

} // namespace acp
