#include "acaciapulley/node/detail/claim_client.hpp"

#include <utility> // move

#include "acaciapulley/claims/claims_error.hpp" // ClaimsErrorCode
#include "acaciapulley/core/event_loop.hpp"     // RunOnThread
#include "acaciapulley/core/log.hpp"            // Log
#include "gen/ControlService.h"

namespace acp::detail {

namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

wire::ClaimKey ToWire(const ClaimTicket& ticket)
{
  wire::ClaimKey key;
  key.account = ticket.account;
  key.serviceName = ticket.service;
  key.idempotencyKey = ticket.idempotencyKey;
  return key;
}

/// Other failures, such as a commit that takes too long, leave open whether the claim is made.
bool IsFaultOfKey(int code)
{
  return code == static_cast<int>(ClaimsErrorCode::InvalidKey) ||
         code == static_cast<int>(ClaimsErrorCode::KeyInFuture) ||
         code == static_cast<int>(ClaimsErrorCode::InvalidAttempt);
}

ClaimRecord FromWire(const wire::ClaimOutcome& outcome)
{
  return { .status = outcome.status,
           .contentType = outcome.contentType,
           .body = outcome.body,
           .isBodyKept = outcome.bodyKept,
           .bodyDigest = outcome.bodyDigest };
}

OrRefusal<std::optional<ClaimRecord>> Interpret(const wire::BeginClaimReply& reply)
{
  switch (reply.state) {
    case wire::ClaimState::GRANTED:
      return std::optional<ClaimRecord>();
    case wire::ClaimState::FINISHED:
      return std::optional<ClaimRecord>(FromWire(reply.outcome));
    case wire::ClaimState::IN_PROGRESS:
      return NotRunRefusal(409,
                           Reason::InProgress,
                           "a request with this idempotency key is running; send it again later",
                           kRetryAfter);
    case wire::ClaimState::MISMATCH:
      return NotRunRefusal(
        409, Reason::KeyReused, "the idempotency key was used for a different request");
    case wire::ClaimState::EXPIRED:
      return NotRunRefusal(
        400,
        Reason::IdempotencyKeyExpired,
        "the time in the idempotency key is more than 24 h old or in the future");
    default:
      return OutcomeUnknownRefusal(
        504, Reason::UpstreamTimeout, "an earlier attempt may have run; its outcome is unknown");
  }
}

} // namespace

// Calls to control block, and claims are made by tasks.
ClaimClient::ClaimClient(ControlCall call, std::string nodeId)
  : call_([call = std::move(call)](const auto& step) {
    TransportResult<void> result = boost::outcome_v2::success();
    RunOnThread([&] { result = call(step); });
    return result;
  })
  , nodeId_(std::move(nodeId))
{
}

OrRefusal<std::optional<ClaimRecord>> ClaimClient::Begin(const ClaimTicket& ticket)
{
  wire::BeginClaimRequest request;
  request.key = ToWire(ticket);
  request.attemptId = ticket.attemptId;
  request.nodeId = nodeId_;
  request.fingerprint = ticket.fingerprint;
  request.deadlineMs = CountMillis(ticket.deadline);
  wire::BeginClaimReply reply;
  int refusedBy = 0;
  const auto done = call_([&](wire::ControlServiceIf& control) {
    try {
      control.BeginClaim(reply, request);
    } catch (const wire::ControlFailure& failure) {
      refusedBy = failure.code;
      throw;
    }
  });
  const bool isDecided = !done && done.error().code == TransportErrorCode::Refused;
  if (isDecided && IsFaultOfKey(refusedBy)) {
    return NotRunRefusal(400, Reason::InvalidIdempotencyKey, done.error().message);
  }
  if (isDecided && refusedBy == static_cast<int>(ClaimsErrorCode::DeadlinePassed)) {
    return NotRunRefusal(
      503, Reason::DeadlineExceeded, "the deadline passed before the claim was made");
  }
  if (!done) {
    // The claim may have been granted; releasing it lets a resend run.
    Release(ticket);
    return NotRunRefusal(503,
                         Reason::ClaimsUnavailable,
                         "control cannot record the claim: " + done.error().Describe(),
                         kRetryAfter);
  }
  return Interpret(reply);
}

bool ClaimClient::Finish(const ClaimTicket& ticket, const ClaimRecord& record)
{
  wire::FinishClaimRequest request;
  request.key = ToWire(ticket);
  request.attemptId = ticket.attemptId;
  request.outcome.status = record.status;
  request.outcome.contentType = record.contentType;
  request.outcome.body = record.body;
  request.outcome.bodyKept = record.isBodyKept;
  request.outcome.bodyDigest = record.bodyDigest;
  const auto done = call_([&](wire::ControlServiceIf& control) { control.FinishClaim(request); });
  if (!done) {
    Log(LogLevel::Warning,
        "claim_outcome_not_recorded",
        { { "service", ticket.service }, { "error", done.error().Describe() } });
  }
  return done.has_value();
}

void ClaimClient::MarkUnknown(const ClaimTicket& ticket)
{
  wire::FinishClaimRequest request;
  request.key = ToWire(ticket);
  request.attemptId = ticket.attemptId;
  request.__set_outcomeUnknown(true);
  const auto done = call_([&](wire::ControlServiceIf& control) { control.FinishClaim(request); });
  if (!done) {
    // The claim becomes unknown by itself after its deadline.
    Log(LogLevel::Warning,
        "claim_not_marked_unknown",
        { { "service", ticket.service }, { "error", done.error().Describe() } });
  }
}

void ClaimClient::Release(const ClaimTicket& ticket)
{
  wire::ReleaseClaimRequest request;
  request.key = ToWire(ticket);
  request.attemptId = ticket.attemptId;
  const auto done = call_([&](wire::ControlServiceIf& control) { control.ReleaseClaim(request); });
  if (!done) {
    Log(LogLevel::Warning,
        "claim_not_released",
        { { "service", ticket.service }, { "error", done.error().Describe() } });
  }
}

} // namespace acp::detail
