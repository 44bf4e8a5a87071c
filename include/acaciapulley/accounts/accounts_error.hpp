#pragma once

/// @file
/// Errors of module accounts, numbered 200 to 299.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reason for which a change of client account keys was refused.
enum class AccountsErrorCode
{
  DuplicateKey = 200, ///< an active key has this id or hash
  UnknownKey = 201,   ///< no active key has this id
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
