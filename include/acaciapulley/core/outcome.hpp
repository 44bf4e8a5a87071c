#pragma once

/// @file
/// Outcome of a request and the reason for a refusal.

#include <array> // array

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Whether a request was run, as reported to the caller; value of the header `Acp-Outcome`.
enum class RequestOutcome
{
  NotRun,  ///< no upstream has seen the request
  Ran,     ///< the response comes from the upstream
  Unknown, ///< an upstream may have run the request, but its response is not known
};

template<>
struct NameTable<RequestOutcome>
{
  static constexpr std::array<EnumName<RequestOutcome>, 3> kRows = { {
    { RequestOutcome::NotRun, "not-run" },
    { RequestOutcome::Ran, "ran" },
    { RequestOutcome::Unknown, "unknown" },
  } };
};

/// Why a request was refused or has no response; value of the header `Acp-Reason`.
enum class Reason
{
  None,
  BadRequest,
  TooLarge,
  UnknownService,
  UnknownRoute,
  MissingKey,
  InvalidKey,
  KeyInUrl,
  AccountNotListed,
  MissingIdempotencyKey,
  InvalidIdempotencyKey,
  IdempotencyKeyExpired,
  InProgress,
  KeyReused,
  OutcomeBodyNotKept,
  StaleState,
  RateExceeded,
  RateUnavailable,
  Overloaded,
  QueueTimeout,
  DeadlineExceeded,
  NoUpstream,
  Draining,
  InvalidContext,
  ClaimsUnavailable,
  UpstreamUnreachable,
  UpstreamConnectionLost,
  UpstreamTimeout,
  RetriesExhausted,
  Stopping,
  CallerGone,    ///< the caller closed its connection before the request was sent
  InternalError, ///< the process failed while it served the request
  WarmingUp,     ///< above the rate that the upstream tolerates while it is cold
};

template<>
struct NameTable<Reason>
{
  static constexpr std::array<EnumName<Reason>, 33> kRows = { {
    { Reason::None, "none" },
    { Reason::BadRequest, "bad_request" },
    { Reason::TooLarge, "too_large" },
    { Reason::UnknownService, "unknown_service" },
    { Reason::UnknownRoute, "unknown_route" },
    { Reason::MissingKey, "missing_key" },
    { Reason::InvalidKey, "invalid_key" },
    { Reason::KeyInUrl, "key_in_url" },
    { Reason::AccountNotListed, "account_not_listed" },
    { Reason::MissingIdempotencyKey, "missing_idempotency_key" },
    { Reason::InvalidIdempotencyKey, "invalid_idempotency_key" },
    { Reason::IdempotencyKeyExpired, "idempotency_key_expired" },
    { Reason::InProgress, "in_progress" },
    { Reason::KeyReused, "idempotency_key_reused" },
    { Reason::OutcomeBodyNotKept, "outcome_body_not_kept" },
    { Reason::StaleState, "stale_state" },
    { Reason::RateExceeded, "rate_exceeded" },
    { Reason::RateUnavailable, "rate_unavailable" },
    { Reason::Overloaded, "overloaded" },
    { Reason::QueueTimeout, "queue_timeout" },
    { Reason::DeadlineExceeded, "deadline_exceeded" },
    { Reason::NoUpstream, "no_upstream" },
    { Reason::Draining, "draining" },
    { Reason::InvalidContext, "invalid_context" },
    { Reason::ClaimsUnavailable, "claims_unavailable" },
    { Reason::UpstreamUnreachable, "upstream_unreachable" },
    { Reason::UpstreamConnectionLost, "upstream_connection_lost" },
    { Reason::UpstreamTimeout, "upstream_timeout" },
    { Reason::RetriesExhausted, "retries_exhausted" },
    { Reason::Stopping, "stopping" },
    { Reason::CallerGone, "caller_gone" },
    { Reason::InternalError, "internal_error" },
    { Reason::WarmingUp, "warming_up" },
  } };
};

} // namespace acp
