#pragma once

/// @file
/// Errors of module claims, numbered 600 to 699.

#include <array> // array

#include "acaciapulley/core/error.hpp" // BasicError, Result

namespace acp {

/// Reason for which a call on a claim was refused. A refused call does not change the claim.
enum class ClaimsErrorCode
{
  InvalidKey = 600,      ///< the idempotency key is not `<unix seconds>-<8 to 64 characters>`
  KeyInFuture = 601,     ///< the time in the idempotency key is too far ahead of the log's time
  TooManyClaims = 602,   ///< the client account has the maximum number of claims
  DeadlinePassed = 603,  ///< the attempt's deadline had passed when its Begin was applied
  NotHolder = 604,       ///< another attempt holds the claim, or nobody does
  InvalidAttempt = 605,  ///< an identifier or the fingerprint is empty or too long
  AttemptReleased = 606, ///< the attempt was released before its Begin arrived
};

template<>
struct NameTable<ClaimsErrorCode>
{
  static constexpr std::array<EnumName<ClaimsErrorCode>, 7> kRows = { {
    { ClaimsErrorCode::InvalidKey, "invalid_idempotency_key" },
    { ClaimsErrorCode::KeyInFuture, "idempotency_key_in_future" },
    { ClaimsErrorCode::TooManyClaims, "too_many_claims" },
    { ClaimsErrorCode::DeadlinePassed, "deadline_passed" },
    { ClaimsErrorCode::NotHolder, "not_claim_holder" },
    { ClaimsErrorCode::InvalidAttempt, "invalid_attempt" },
    { ClaimsErrorCode::AttemptReleased, "attempt_released" },
  } };
};

using ClaimsError = BasicError<ClaimsErrorCode>;

template<typename T>
using ClaimsResult = Result<T, ClaimsError>;

} // namespace acp
