#include "acaciapulley/node/detail/peer_client.hpp"

#include <algorithm> // clamp
#include <charconv>  // from_chars

#include "acaciapulley/node/detail/headers.hpp"           // kContextHeader
#include "acaciapulley/node/detail/request_times.hpp"     // ParseMillis
#include "acaciapulley/node/detail/response_relay.hpp"    // AttemptEchoTranslation, ReadMessage
#include "acaciapulley/node/detail/run_time_recorder.hpp" // ToLoadSample

namespace acp::detail {

namespace {

constexpr int kMaxPeerConnections = 256;
constexpr int kBadGateway = 502;
// A peer responds by the deadline itself; this is for its response to travel back.
constexpr Duration kResponseGrace = std::chrono::milliseconds(50);

int ParseUnusedRetries(const HttpResponseHead& head, int sent)
{
  const std::string text = head.headers.Find(kRetriesLeftHeader).value_or("");
  int unused = 0;
  std::from_chars(text.data(), text.data() + text.size(), unused);
  return std::clamp(unused, 0, sent);
}

void SetTarget(const RequestClass& requestClass, HttpHeaders& headers)
{
  const auto target = std::chrono::floor<std::chrono::milliseconds>(requestClass.targetLatency);
  if (target.count() > 0) {
    headers.Set(kTargetHeader, std::to_string(target.count()));
  }
}

std::optional<ReportedRunTime> ParseReportedRunTime(const HttpHeaders& headers)
{
  const auto header = headers.Find(kRunTimeHeader);
  if (!header) {
    return std::nullopt;
  }
  const auto reported = ParseRunTime(*header);
  return reported ? std::optional(reported.value()) : std::nullopt;
}

AttemptResult EndForTransportError(const TransportError& error, int sentRetries)
{
  if (error.code == TransportErrorCode::Abandoned) {
    return FailedAttempt(CallerGoneRefusal("a peer"), true, sentRetries);
  }
  if (SentNothing(error.code)) {
    return FailedAttempt(
      { .reason = Reason::UpstreamUnreachable, .message = error.Describe() }, true, sentRetries);
  }
  const bool timedOut = error.code == TransportErrorCode::Timeout;
  // The peer may have used the retries that it was given, so none are returned.
  auto attemptResult =
    FailedAttempt({ .status = timedOut ? 504 : 502,
                    .outcome = RequestOutcome::Unknown,
                    .reason = timedOut ? Reason::UpstreamTimeout : Reason::UpstreamConnectionLost,
                    .message = error.Describe() },
                  false,
                  0);
  if (error.code == TransportErrorCode::Cancelled) {
    attemptResult.callResult = CallResult::Cancelled;
  }
  return attemptResult;
}

} // namespace

PeerClient::PeerClient(const PeerClientOptions& options)
  : options_(options)
{
}

std::shared_ptr<HttpPool> PeerClient::PoolOf(const std::string& peerAddress)
{
  const std::lock_guard lock(mutex_);
  auto& pool = pools_[peerAddress];
  if (!pool) {
    const auto address = Address::Parse(peerAddress);
    pool = std::make_shared<HttpPool>(
      HttpPoolOptions{ .address = address ? address.value() : Address{},
                       .maxConnections = kMaxPeerConnections,
                       .sendsHeartbeats = true,
                       .maxHeadBytes = HopHeadBytes(kDefaultMaxResponseHeadBytes),
                       .translation = AttemptEchoTranslation(),
                       .counts = options_.connections });
  }
  return pool;
}

AttemptResult PeerClient::Run(PendingCall& call,
                              const RequestContext& context,
                              const PickedMember& picked)
{
  const auto now = CountMillis(options_.clock->WallNow());
  const auto remaining = std::chrono::milliseconds(CountMillis(context.deadline) - now);
  if (remaining.count() <= 0) {
    return FailedAttempt(
      { .reason = Reason::DeadlineExceeded, .message = "the deadline passed" }, true, 0);
  }
  if (call.exchange.IsCallerGone()) {
    return FailedAttempt(CallerGoneRefusal("a peer"), true, context.retriesLeft);
  }
  const auto stopCheck = options_.stop->CheckSend(RequestProfileOf(call, context));
  if (!stopCheck) {
    return FailedAttempt(stopCheck.error(), true, context.retriesLeft);
  }
  if (call.commitToken && !call.commitToken()) {
    return FailedAttempt(
      { .reason = Reason::RateUnavailable, .message = "the lease of the rate token has ended" },
      true,
      context.retriesLeft);
  }
  HttpRequestHead head{ .method = call.exchange.Request().method,
                        .target = "/" + call.request.service + call.request.upstreamTarget };
  head.headers = ForwardedRequestHeaders(call.exchange.Request().headers, options_.guards.stripKey);
  RequestContext bounded = context;
  bounded.deadline = options_.stop->BoundDeadline(context.deadline);
  head.headers.Set(kContextHeader, options_.signer->Sign(bounded));
  head.headers.Set(kAttemptHeader, context.hopId);
  if (call.request.isFleetRoute) {
    head.target = call.request.upstreamTarget;
    head.headers.Set("Host", call.exchange.Request().headers.Find("Host").value_or(""));
    head.headers.Set(kServiceHeader, call.request.service);
    head.headers.Set(kClassHeader, call.request.requestClass->name);
    head.headers.Set(kCallerServiceHeader, call.callerService);
    head.headers.Set(
      kQueueTimeoutHeader,
      std::to_string(std::chrono::floor<std::chrono::milliseconds>(call.queueTimeout).count()));
    if (call.request.requestClass->openToAll) {
      head.headers.Set(kOpenHeader, "1");
    }
    // The wall clocks of hosts differ, so peers get the remaining time.
    head.headers.Set(kDeadlineHeader, std::to_string(CountMillis(bounded.deadline) - now));
    SetTarget(*call.request.requestClass, head.headers);
  }
  // When the caller disconnects, the peer sees the connection close and decides: it completes a
  // non-idempotent request that has been sent to its upstream.
  const SendOptions sendOptions{ .timeout = remaining + kResponseGrace,
                                 .bodyIdleTimeout = kBodyIdleTimeout,
                                 .bodyTimeout = kBodyTimeout,
                                 .callerGone = call.exchange.CallerGone(),
                                 .isCallerGone = [&call] { return call.exchange.IsCallerGone(); } };
  const auto sent = Forward(call, *PoolOf(picked.peerAddress), head, sendOptions);
  if (!sent) {
    return EndForTransportError(sent.error(), context.retriesLeft);
  }
  auto& response = *sent.value();
  ApplyLoadHeaders(call, context, picked, response.Response());
  return Interpret(call, response, ParseUnusedRetries(response.Response(), context.retriesLeft));
}

void PeerClient::ApplyLoadHeaders(const PendingCall& call,
                                  const RequestContext& context,
                                  const PickedMember& picked,
                                  const HttpResponseHead& response)
{
  if (const auto header = response.headers.Find(kThresholdHeader)) {
    call.thresholds->UpdateThreshold(
      call.callerClass, CalleeOf(call.request), context.account, *header);
  }
  if (const auto header = response.headers.Find(kLoadHeader)) {
    const auto load = ParseLoad(*header);
    if (load) {
      options_.members->UpdateLoad(call.request.service,
                                   picked.nodeId,
                                   ToLoadSample(call.request.requestClass->name,
                                                load.value(),
                                                ParseReportedRunTime(response.headers)),
                                   options_.clock->Now());
    }
  }
}

AttemptResult PeerClient::Interpret(PendingCall& call, ClientExchange& response, int unusedRetries)
{
  const auto& head = response.Response();
  const auto outcome = FromName<RequestOutcome>(head.headers.Find(kOutcomeHeader).value_or(""));
  if (outcome != RequestOutcome::Ran) {
    const auto reason = FromName<Reason>(head.headers.Find(kReasonHeader).value_or(""));
    // A response without a known outcome does not come from a node's pipeline, so its status does
    // not tell whether the request ran.
    Refusal refusal{ .status = outcome ? head.status : kBadGateway,
                     .outcome = outcome.value_or(RequestOutcome::Unknown),
                     .reason = reason.value_or(Reason::UpstreamConnectionLost),
                     .message = ReadMessage(response) };
    refusal.retryAfter = ParseMillis(head.headers, kRetryAfterHeader);
    return FailedAttempt(refusal, false, unusedRetries);
  }
  if (auto replaced = DiscardServerErrorForRetry(call, response, unusedRetries)) {
    return *std::move(replaced);
  }
  const bool isServerError = head.status >= kMinServerErrorStatus;
  HttpResponseHead callerHead{ .status = head.status };
  callerHead.headers = ForwardedResponseHeaders(head.headers);
  callerHead.headers.Set(kOutcomeHeader, std::string(NameOf(RequestOutcome::Ran)));
  if (const auto reason = head.headers.Find(kReasonHeader)) {
    callerHead.headers.Set(kReasonHeader, *reason);
  }
  ObservedBody observed(response.Body(), call.exchange);
  const StreamingResult streamed =
    call.exchange.RespondStreaming(callerHead, response.BodyLength(), observed, nullptr);
  if (streamed == StreamingResult::NotStarted) {
    return TruncatedResponseAttempt(call, unusedRetries);
  }
  if (observed.HasFailed()) {
    return { .unusedRetries = unusedRetries, .callResult = CallResult::Failed };
  }
  return { .unusedRetries = unusedRetries,
           .callResult = isServerError ? CallResult::ServerError : CallResult::Answered };
}

} // namespace acp::detail
