#pragma once

/// @file
/// Error codes of the limits module, 300 to 399.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why the rate authority rejected an ask. A lack of tokens is an answer, not an error.
enum class LimitsErrorCode
{
  UnknownLimit = 300,   ///< no document has a limit of this account for this service
  StaleAsk = 301,       ///< overtaken by a later ask, or from an earlier epoch of the node
  NotConfirmed = 302,   ///< leadership not confirmed recently, or a later leader exists
  TooManyHolders = 303, ///< too many nodes hold tokens of this limit
  InvalidAsk = 304,     ///< an amount is negative, not finite or inconsistent
};

template<>
struct NameTable<LimitsErrorCode>
{
  static constexpr std::array<EnumName<LimitsErrorCode>, 5> kRows = { {
    { LimitsErrorCode::UnknownLimit, "unknown_limit" },
    { LimitsErrorCode::StaleAsk, "stale_ask" },
    { LimitsErrorCode::NotConfirmed, "not_confirmed" },
    { LimitsErrorCode::TooManyHolders, "too_many_holders" },
    { LimitsErrorCode::InvalidAsk, "invalid_ask" },
  } };
};

using LimitsError = BasicError<LimitsErrorCode>;

template<typename T>
using LimitsResult = Result<T, LimitsError>;

} // namespace acp
