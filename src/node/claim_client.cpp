#include "acaciapulley/node/detail/claim_client.hpp"

#include <utility> // move

#include "acaciapulley/claims/claims_error.hpp" // ClaimsErrorCode
#include "acaciapulley/core/event_loop.hpp"     // RunBlocking
#include "acaciapulley/core/log.hpp"            // Log
#include "gen/ControlService.h"

namespace acp::detail {

namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

wire::ClaimKey ToWire(const ClaimRequest& claimRequest)
{
  wire::ClaimKey key;
  key.account = claimRequest.account;
  key.serviceName = claimRequest.service;
  key.idempotencyKey = claimRequest.idempotencyKey;
  return key;
}

/// Other failures, such as a commit that times out, leave open whether the claim was granted.
bool IsInvalidKeyError(int code)
{
  return code == static_cast<int>(ClaimsErrorCode::InvalidKey) ||
         code == static_cast<int>(ClaimsErrorCode::KeyInFuture) ||
         code == static_cast<int>(ClaimsErrorCode::InvalidAttempt);
}

RecordedOutcome FromWire(const wire::ClaimOutcome& outcome)
{
  return { .status = outcome.status,
           .contentType = outcome.contentType,
           .body = outcome.body,
           .isBodyKept = outcome.bodyKept,
           .bodyDigest = outcome.bodyDigest };
}

/// Control does not check statuses: a record of an earlier version may hold one above 599, and a
/// reply without an outcome has 0.
bool IsFinalStatus(int status)
{
  return status >= 200 && status <= 599;
}

OrRefusal<std::optional<RecordedOutcome>> Interpret(const wire::BeginClaimReply& reply)
{
  switch (reply.state) {
    case wire::ClaimState::GRANTED:
      return std::optional<RecordedOutcome>();
    case wire::ClaimState::FINISHED:
      if (!IsFinalStatus(reply.outcome.status)) {
        return OutcomeUnknownRefusal(
          502,
          Reason::UpstreamConnectionLost,
          "the recorded response of an earlier attempt has no valid status");
      }
      return std::optional<RecordedOutcome>(FromWire(reply.outcome));
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

// Claims are requested by tasks, while calls to control block their thread.
ClaimClient::ClaimClient(ControlCall call, std::string nodeId)
  : call_([call = std::move(call)](const auto& operation) {
    TransportResult<void> result = boost::outcome_v2::success();
    RunBlocking([&] { result = call(operation); });
    return result;
  })
  , nodeId_(std::move(nodeId))
{
}

OrRefusal<std::optional<RecordedOutcome>> ClaimClient::Begin(const ClaimRequest& claimRequest)
{
  wire::BeginClaimRequest request;
  request.key = ToWire(claimRequest);
  request.attemptId = claimRequest.attemptId;
  request.nodeId = nodeId_;
  request.fingerprint = claimRequest.fingerprint;
  request.deadlineMs = CountMillis(claimRequest.deadline);
  wire::BeginClaimReply reply;
  int failureCode = 0;
  const auto done = call_([&](wire::ControlServiceIf& control) {
    try {
      control.BeginClaim(reply, request);
    } catch (const wire::ControlFailure& failure) {
      failureCode = failure.code;
      throw;
    }
  });
  const bool isRejected = !done && done.error().code == TransportErrorCode::Refused;
  if (isRejected && IsInvalidKeyError(failureCode)) {
    return NotRunRefusal(400, Reason::InvalidIdempotencyKey, done.error().message);
  }
  if (isRejected && failureCode == static_cast<int>(ClaimsErrorCode::DeadlinePassed)) {
    return NotRunRefusal(
      503, Reason::DeadlineExceeded, "the deadline passed before the claim was made");
  }
  if (!done) {
    // The claim may have been granted; releasing it lets a resend run.
    Release(claimRequest);
    return NotRunRefusal(503,
                         Reason::ClaimsUnavailable,
                         "control cannot record the claim: " + done.error().Describe(),
                         kRetryAfter);
  }
  return Interpret(reply);
}

bool ClaimClient::Finish(const ClaimRequest& claimRequest, const RecordedOutcome& outcome)
{
  wire::FinishClaimRequest request;
  request.key = ToWire(claimRequest);
  request.attemptId = claimRequest.attemptId;
  request.outcome.status = outcome.status;
  request.outcome.contentType = outcome.contentType;
  request.outcome.body = outcome.body;
  request.outcome.bodyKept = outcome.isBodyKept;
  request.outcome.bodyDigest = outcome.bodyDigest;
  const auto done = call_([&](wire::ControlServiceIf& control) { control.FinishClaim(request); });
  if (!done) {
    Log(LogLevel::Warning,
        "claim_outcome_not_recorded",
        { { "service", claimRequest.service }, { "error", done.error().Describe() } });
  }
  return done.has_value();
}

void ClaimClient::MarkUnknown(const ClaimRequest& claimRequest)
{
  wire::FinishClaimRequest request;
  request.key = ToWire(claimRequest);
  request.attemptId = claimRequest.attemptId;
  request.__set_outcomeUnknown(true);
  const auto done = call_([&](wire::ControlServiceIf& control) { control.FinishClaim(request); });
  if (!done) {
    // After its deadline, the claim counts as unknown anyway.
    Log(LogLevel::Warning,
        "claim_not_marked_unknown",
        { { "service", claimRequest.service }, { "error", done.error().Describe() } });
  }
}

void ClaimClient::Release(const ClaimRequest& claimRequest)
{
  wire::ReleaseClaimRequest request;
  request.key = ToWire(claimRequest);
  request.attemptId = claimRequest.attemptId;
  const auto done = call_([&](wire::ControlServiceIf& control) { control.ReleaseClaim(request); });
  if (!done) {
    Log(LogLevel::Warning,
        "claim_not_released",
        { { "service", claimRequest.service }, { "error", done.error().Describe() } });
  }
}

} // namespace acp::detail
