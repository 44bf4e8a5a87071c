#pragma once

/// @file
/// Errors of the module accounts, numbers 200 to 299.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why a change of client account keys was refused.
enum class AccountsErrorCode
{
  DuplicateKey = 200, ///< a key with this id or hash is in force
  UnknownKey = 201,   ///< no key in force has this id
};

template<>
struct NameTable<AccountsErrorCode>
{
  static constexpr std::array<EnumName<AccountsErrorCode>, 2> kRows = { {
    { AccountsErrorCode::DuplicateKey, "duplicate_key" },
    { AccountsErrorCode::UnknownKey, "unknown_key" },
  } };
};

using AccountsError = BasicError<AccountsErrorCode>;

template<typename T>
using AccountsResult = Result<T, AccountsError>;

} // namespace acp
