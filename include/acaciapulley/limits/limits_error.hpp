#pragma once

/// @file
/// Errors of the module limits, numbers 300 to 399.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why the rate authority refused to answer an ask. A lack of tokens is an answer, not an error.
enum class LimitsErrorCode
{
  UnknownLimit = 300,   ///< no document lists this account for this service
  StaleAsk = 301,       ///< overtaken by a later ask, or from an earlier start of the node
  NotConfirmed = 302,   ///< leadership was not confirmed recently, or a later leader exists
  TooManyHolders = 303, ///< the table of holding nodes is full
  InvalidAsk = 304,     ///< a negative, infinite or inconsistent amount
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
