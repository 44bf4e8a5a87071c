#pragma once

/// @file
/// Client accounts' keys as control keeps them.

#include <map>    // map
#include <set>    // set
#include <string> // string
#include <vector> // vector

#include "acaciapulley/accounts/key_table.hpp"    // KeyRecord, KeyTable
#include "acaciapulley/control/control_error.hpp" // ControlResult

namespace acp {

/// Most keys in force for one client account.
inline constexpr std::size_t kMaxKeysPerAccount = 100;

/// Most keys in force; all of them fit into one message to a node.
inline constexpr std::size_t kMaxKeys = 20'000;

/// Keys in force and the ids of revoked ones. Its rule: the id of a revoked key is never used
/// again.
class KeyStore
{
public:
  /// @brief Puts a key in force.
  /// @return nothing, or KeyRefused or TooManyKeys
  ControlResult<void> Issue(const KeyRecord& record);

  /// @brief Takes the key @p id of @p account out of force.
  /// @return the removed record, or KeyRefused
  ControlResult<KeyRecord> Revoke(const std::string& account, const std::string& id);

  /// @brief Returns the keys in force of @p account, or of all when it is empty, ordered by id.
  [[nodiscard]] std::vector<KeyRecord> List(const std::string& account) const;

  /// @brief Returns the ids of revoked keys.
  [[nodiscard]] const std::set<std::string>& RevokedIds() const { return revoked_; }

  /// @brief Replaces all.
  void Restore(const std::vector<KeyRecord>& keys, const std::vector<std::string>& revokedIds);

private:
  KeyTable table_;
  std::map<std::string, std::size_t> countByAccount_;
  std::size_t count_ = 0;
  std::set<std::string> revoked_;
};

} // namespace acp
