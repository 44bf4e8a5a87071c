#pragma once

/// @file
/// Errors of module retries, numbered 500 to 599.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reason for which a request context or hop was rejected.
enum class RetriesErrorCode
{
  MalformedContext = 500, ///< not of the form v1.payload.signature
  InvalidSignature = 501, ///< not signed with the fleet secret
  ExpiredContext = 502,   ///< the deadline plus kMaxClockSkew has passed
  DuplicateHop = 503,     ///< the hop has been opened already; the context is a replay
  TooManyHops = 504,      ///< the table holds the maximum number of hops
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
