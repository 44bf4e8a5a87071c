#pragma once

/// @file
/// Generation, issuing, revocation and look-up of client account keys.

#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/accounts/accounts_error.hpp" // AccountsResult
#include "acaciapulley/core/clock.hpp"              // UnixMillis

namespace acp {

/// Stored data of a key, which never includes the key itself.
struct KeyRecord
{
  std::string id;      ///< public identifier, 16 hexadecimal digits
  std::string hash;    ///< SHA-256 of the key, 32 bytes
  std::string account; ///< client account that the key authenticates
  UnixMillis issuedAt{};
};

/// A new key. Its text is shown to the operator once and never stored.
struct NewKey
{
  std::string text; ///< value that callers send in `Acp-Key`
  KeyRecord record;
};

/// @brief Generates a key of 256 random bits for @p account.
/// @par Example
/// @code
/// const acp::NewKey key = acp::GenerateKey("toko-solo", clock.WallNow());
/// @endcode
[[nodiscard]] NewKey GenerateKey(const std::string& account, UnixMillis now);

/// @brief Returns the stored hash of @p keyText. A fast hash is sufficient for 256 random bits.
[[nodiscard]] std::string HashKey(const std::string& keyText);

/// The active keys. Invariants: ids and hashes are unique, and a revoked key is not issued again.
class KeyTable
{
public:
  /// @brief Adds a key.
  /// @return nothing, or AccountsErrorCode::DuplicateKey
  AccountsResult<void> Issue(const KeyRecord& record);

  /// @brief Removes the key @p id.
  /// @return the removed record, or AccountsErrorCode::UnknownKey
  AccountsResult<KeyRecord> Revoke(const std::string& id);

  /// @brief Returns the client account of @p keyText, or nothing when the key is not active.
  /// @par Complexity
  /// One SHA-256 and one hash look-up.
  [[nodiscard]] std::optional<std::string> FindAccount(const std::string& keyText) const;

  /// @brief Returns the keys of @p account, or of all accounts when it is empty, ordered by id.
  [[nodiscard]] std::vector<KeyRecord> List(const std::string& account) const;

  /// @brief Removes all keys.
  void Clear();

private:
  std::map<std::string, KeyRecord> byId_;
  std::unordered_map<std::string, std::string> idByHash_;
};

} // namespace acp
