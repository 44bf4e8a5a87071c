#pragma once

/// @file
/// Storage of the API keys of client accounts.

#include <map>    // map
#include <set>    // set
#include <string> // string
#include <vector> // vector

#include "acaciapulley/accounts/key_table.hpp"    // KeyRecord, KeyTable
#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Maximum number of active keys for one client account.
inline constexpr std::size_t kMaxKeysPerAccount = 100;

/// Maximum number of active keys; all of them fit into one message to a node.
inline constexpr std::size_t kMaxKeys = 20'000;

/// Active keys and the ids of revoked keys. The id of a revoked key is never reused.
class KeyStore
{
public:
  /// @brief Adds an active key.
  /// @return success, or KeyRefused or TooManyKeys
  ControlResult<void> Issue(const KeyRecord& record);

  /// @brief Revokes the key @p id of @p account.
  /// @return the removed record, or KeyRefused
  ControlResult<KeyRecord> Revoke(const std::string& account, const std::string& id);

  /// @brief Returns the active keys of @p account, or all active keys if it is empty, ordered by
  /// id.
  [[nodiscard]] std::vector<KeyRecord> List(const std::string& account) const;

  /// @brief Returns the ids of revoked keys.
  [[nodiscard]] const std::set<std::string>& RevokedIds() const { return revoked_; }

  /// @brief Replaces the contents, as part of restoring a snapshot.
  void Restore(const std::vector<KeyRecord>& keys, const std::vector<std::string>& revokedIds);

private:
  KeyTable table_;
  std::map<std::string, std::size_t> countByAccount_;
  std::size_t count_ = 0;
  std::set<std::string> revoked_;
};

} // namespace acp
