#pragma once

/// @file
/// Errors of the module retries, numbers 500 to 599.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Why a request context or hop was refused.
enum class RetriesErrorCode
{
  MalformedContext = 500, ///< not of the form v1.payload.signature
  InvalidSignature = 501, ///< not signed with the fleet secret
  ExpiredContext = 502,   ///< the deadline plus the clock skew bound has passed
  DuplicateHop = 503,     ///< the hop was opened before, so its context is a replay
  TooManyHops = 504,      ///< more hops are open than the ledger may hold
};

template<>
struct NameTable<RetriesErrorCode>
{
  static constexpr std::array<EnumName<RetriesErrorCode>, 5> kRows = { {
    { RetriesErrorCode::MalformedContext, "malformed_context" },
    { RetriesErrorCode::InvalidSignature, "invalid_signature" },
    { RetriesErrorCode::ExpiredContext, "expired_context" },
    { RetriesErrorCode::DuplicateHop, "duplicate_hop" },
    { RetriesErrorCode::TooManyHops, "ledger_full" },
  } };
};

using RetriesError = BasicError<RetriesErrorCode>;

template<typename T>
using RetriesResult = Result<T, RetriesError>;

} // namespace acp
