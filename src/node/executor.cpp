#include "acaciapulley/node/detail/executor.hpp"

#include <utility> // move

#include "acaciapulley/core/random.hpp"                // RandomHex, Sha256
#include "acaciapulley/node/detail/headers.hpp"        // kContextHeader
#include "acaciapulley/node/detail/response_relay.hpp" // RecordingBody, ReportsNotRun

namespace acp::detail {

namespace {

constexpr std::size_t kAttemptIdBytes = 16;
constexpr Duration kWarmupRetryAfter = std::chrono::seconds(1);

/// Refusal of a request above the rate that the upstream tolerates while it is cold.
Refusal WarmingUpRefusal()
{
  return { .reason = Reason::WarmingUp,
           .message = "the upstream is warming up",
           .retryAfter = kWarmupRetryAfter };
}

std::string Fingerprint(const PendingCall& call)
{
  const auto& head = call.exchange.Request();
  std::string text = head.method;
  text += '\n';
  text += head.target;
  text += '\n';
  text += std::to_string(call.body.Length());
  text += '\n';
  // Bodies larger than kMaxReplayableBytes are compared by length and prefix only.
  text += call.body.Prefix();
  return Sha256(text);
}

} // namespace

Executor::Executor(const ExecutorOptions& options)
  : options_(options)
{
}

Duration Executor::Remaining(const RequestContext& context) const
{
  const auto now = CountMillis(options_.clock->WallNow());
  return std::chrono::milliseconds(CountMillis(context.deadline) - now);
}

AttemptResult Executor::Run(PendingCall& call, const RequestContext& context)
{
  auto admitted = Admit(call, context);
  if (!admitted) {
    return FailedAttempt(admitted.error(), true, context.retriesLeft);
  }
  const RequestClass& requestClass = *call.request.requestClass;
  if (!requestClass.idempotent && requestClass.needsClaim && options_.guards.claimBeforeDispatch) {
    const auto claimed = Claim(call, context, admitted.value());
    if (!claimed) {
      return FailedAttempt(claimed.error(), true, context.retriesLeft);
    }
    if (claimed.value()) {
      RespondFromRecord(call, *claimed.value());
      return { .unusedRetries = context.retriesLeft };
    }
  }
  return SendToUpstream(call, context, admitted.value());
}

OrRefusal<Executor::AdmittedAttempt> Executor::Admit(PendingCall& call,
                                                     const RequestContext& context)
{
  const auto local = options_.upstream->Current();
  auto pool = options_.upstream->Pool();
  if (!local || !pool || local->service != call.request.service) {
    return NotRunRefusal(503, Reason::NoUpstream, "this node has no local upstream of the service");
  }
  // Checked before the queue of the gate, in which it would wait for nothing; the check that counts
  // is made when the request is sent. A draining upstream refuses with its own reason.
  if (!local->draining && !options_.warmup->MayStart()) {
    return boost::outcome_v2::failure(WarmingUpRefusal());
  }
  const auto* limit =
    call.request.document ? call.request.document->FindLimit(context.account) : nullptr;
  auto permit = options_.gate->Acquire(
    { .account = context.account,
      .weight = limit == nullptr ? 1.0 : limit->rate,
      .priority = context.priority,
      .requestClass = call.request.requestClass->name,
      .deadline = options_.clock->Now() + Remaining(context),
      .isFromIngress = call.isFromIngress,
      .queueTimeout = call.queueTimeout,
      .isNested = call.request.isFleetRoute && call.request.requestClass->openToAll },
    call.exchange.CallerGone());
  if (!permit) {
    return boost::outcome_v2::failure(permit.error());
  }
  // The process may have been frozen while the request was queued.
  auto fresh = options_.resolver->CheckFreshness(*call.request.requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  if (Remaining(context) <= Duration::zero()) {
    return NotRunRefusal(
      503, Reason::DeadlineExceeded, "the deadline passed before the request ran");
  }
  return AdmittedAttempt{ .permit = std::move(permit).value(), .pool = std::move(pool) };
}

OrRefusal<std::optional<RecordedOutcome>> Executor::Claim(PendingCall& call,
                                                          const RequestContext& context,
                                                          AdmittedAttempt& admitted)
{
  admitted.ticket = ClaimRequest{
    .account = context.account,
    .service = call.request.service,
    .idempotencyKey = call.exchange.Request().headers.Find(kIdempotencyKeyHeader).value_or(""),
    .attemptId = RandomHex(kAttemptIdBytes),
    .fingerprint = Fingerprint(call),
    .deadline = context.deadline,
  };
  auto begun = options_.claims->Begin(*admitted.ticket);
  if (!begun || begun.value()) {
    admitted.ticket.reset();
  }
  return begun;
}

AttemptResult Executor::SendToUpstream(PendingCall& call,
                                       const RequestContext& context,
                                       AdmittedAttempt& admitted)
{
  const auto release = [&] {
    if (admitted.ticket) {
      options_.claims->Release(*admitted.ticket);
    }
  };
  if (Remaining(context) <= Duration::zero()) {
    release();
    return FailedAttempt(
      { .reason = Reason::DeadlineExceeded, .message = "the deadline passed" }, true, 0);
  }
  if (call.exchange.IsCallerGone()) {
    release();
    return FailedAttempt(CallerGoneRefusal("the upstream"), true, 0);
  }
  const auto fits = options_.stop->CheckSend(RequestProfileOf(call, context));
  if (!fits) {
    release();
    return FailedAttempt(fits.error(), true, context.retriesLeft);
  }
  if (call.commitToken && !call.commitToken()) {
    release();
    return FailedAttempt(
      { .reason = Reason::RateUnavailable, .message = "the lease of the rate token has expired" },
      true,
      context.retriesLeft);
  }
  HttpRequestHead head{ .method = call.exchange.Request().method,
                        .target = call.request.upstreamTarget };
  head.headers = ForwardedRequestHeaders(call.exchange.Request().headers, options_.guards.stripKey);
  RequestContext bounded = context;
  bounded.deadline = options_.stop->BoundDeadline(context.deadline);
  options_.thresholds->RecordRequest(QualifiedClassName(call.request));
  const auto forUpstream = options_.hops->Open(bounded, QualifiedClassName(call.request));
  // Upstreams of fleet routes do not support contexts.
  if (!call.request.isFleetRoute) {
    head.headers.Set(kContextHeader, options_.signer->Sign(forUpstream));
  }
  head.headers.Set(kAttemptHeader, context.hopId);
  const auto upstreamTimeout = std::chrono::floor<std::chrono::milliseconds>(Remaining(bounded));
  head.headers.Set(kDeadlineHeader, std::to_string(upstreamTimeout.count()));
  if (call.request.isFleetRoute) {
    head.headers.Set("Host", call.exchange.Request().headers.Find("Host").value_or(""));
    head.headers.Set(kCallerServiceHeader, call.callerService);
    // A nested call is counted for its parent's account, but no client account has sent it.
    if (!context.account.empty() && !call.request.requestClass->openToAll) {
      head.headers.Set(kAccountHeader, context.account);
    }
  }
  // Not the bounded deadline, so that a response that the upstream sends at that deadline arrives
  // before the timeout.
  const SendOptions sendOptions{ .timeout = Remaining(context),
                                 .bodyIdleTimeout = kBodyIdleTimeout,
                                 .bodyTimeout = kBodyTimeout,
                                 .callerGone = call.exchange.CallerGone(),
                                 .isCallerGone = [&call] { return call.exchange.IsCallerGone(); },
                                 // The outcome of a non-idempotent request must be recorded.
                                 .waitsAfterDisconnect = !call.request.requestClass->idempotent,
                                 .maySend =
                                   [&] {
                                     admitted.sentAt = options_.clock->Now();
                                     return options_.warmup->TryStart();
                                   },
                                 .onConnectFailed =
                                   [this] { options_.warmup->RecordConnectFailure(); } };
  const RunStart start = options_.runTimes->BeginRun();
  auto sent = Forward(call, *admitted.pool, head, sendOptions);
  if (!sent) {
    return HandleSendFailure(sent.error(), context, admitted);
  }
  return HandleResponse(call, context, admitted, *sent.value(), start);
}

AttemptResult Executor::HandleSendFailure(const TransportError& error,
                                          const RequestContext& context,
                                          AdmittedAttempt& admitted)
{
  const int unused = options_.hops->Close(context.hopId).unusedRetries;
  if (error.code == TransportErrorCode::Abandoned) {
    if (admitted.ticket) {
      options_.claims->Release(*admitted.ticket);
    }
    admitted.permit.Finish(GateResult::Neutral);
    return FailedAttempt(CallerGoneRefusal("the upstream"), true, unused);
  }
  if (error.code == TransportErrorCode::Withheld) {
    if (admitted.ticket) {
      options_.claims->Release(*admitted.ticket);
    }
    admitted.permit.Finish(GateResult::Neutral);
    return FailedAttempt(WarmingUpRefusal(), true, unused);
  }
  const bool cancelled = error.code == TransportErrorCode::Cancelled;
  if (!SentNothing(error.code) && !cancelled) {
    options_.warmup->RecordLoss();
  }
  const bool nothingSent = SentNothing(error.code) || !options_.guards.unknownAfterSend;
  if (nothingSent) {
    if (admitted.ticket) {
      options_.claims->Release(*admitted.ticket);
    }
    admitted.permit.Finish(GateResult::Lost);
    return FailedAttempt(
      { .reason = Reason::UpstreamUnreachable, .message = error.Describe() }, true, unused);
  }
  if (admitted.ticket) {
    options_.claims->MarkUnknown(*admitted.ticket);
  }
  admitted.permit.Finish(cancelled ? GateResult::Neutral : GateResult::Lost);
  const bool timedOut = error.code == TransportErrorCode::Timeout;
  auto attemptResult =
    FailedAttempt({ .status = timedOut ? 504 : 502,
                    .outcome = RequestOutcome::Unknown,
                    .reason = timedOut ? Reason::UpstreamTimeout : Reason::UpstreamConnectionLost,
                    .message = error.Describe() },
                  false,
                  unused);
  if (cancelled) {
    attemptResult.callResult = CallResult::Cancelled;
  }
  return attemptResult;
}

AdmissionThreshold Executor::Threshold(const ResolvedRequest& request,
                                       const std::string& account) const
{
  return Stricter(options_.gate->Threshold(account),
                  options_.thresholds->CombinedThreshold(QualifiedClassName(request), account));
}

std::optional<LoadSample> Executor::LearnedLoad(const ResolvedRequest& request) const
{
  const std::string& requestClass = request.requestClass->name;
  const auto reported = options_.runTimes->ReportOf(requestClass);
  if (!reported) {
    return std::nullopt;
  }
  LoadReport load = options_.gate->Load();
  ++load.inFlight; // the request has left the gate, but this node still counts it as running
  return ToLoadSample(requestClass, load, reported);
}

HttpResponseHead Executor::ResponseHead(const PendingCall& call,
                                        const RequestContext& context,
                                        const HttpResponseHead& upstreamHead,
                                        int unusedRetries) const
{
  HttpResponseHead head{ .status = upstreamHead.status };
  head.headers = ForwardedResponseHeaders(upstreamHead.headers);
  head.headers.Set(kOutcomeHeader, std::string(NameOf(RequestOutcome::Ran)));
  if (call.recipient == Recipient::Peer) {
    head.headers.Set(kThresholdHeader, FormatThreshold(Threshold(call.request, context.account)));
    head.headers.Set(kLoadHeader, FormatLoad(Load()));
    if (const auto reported = options_.runTimes->ReportOf(call.request.requestClass->name)) {
      head.headers.Set(kRunTimeHeader, FormatRunTime(*reported));
    }
    head.headers.Set(kRetriesLeftHeader, std::to_string(unusedRetries));
  }
  return head;
}

AttemptResult Executor::HandleResponse(PendingCall& call,
                                       const RequestContext& context,
                                       AdmittedAttempt& admitted,
                                       ClientExchange& answer,
                                       const RunStart& start)
{
  const auto& upstreamHead = answer.Response();
  options_.warmup->RecordAnswer(admitted.sentAt);
  const LoadReport gateLoad = options_.gate->Load();
  options_.runTimes->RecordResponse(
    { .service = call.request.service,
      .requestClass = call.request.requestClass->name,
      .hasRun = !ReportsNotRun(upstreamHead) && upstreamHead.status < kMinServerErrorStatus,
      .wasFull = gateLoad.inFlight >= gateLoad.limit },
    start,
    upstreamHead.headers);
  const ClosedHop hop = options_.hops->Close(context.hopId);
  const int unused = hop.unusedRetries;
  if (ReportsNotRun(upstreamHead)) {
    if (!answer.EchoesId()) {
      // A duplicate of the refusal would be read as the response to the next request.
      answer.CloseAfterUse();
    }
    if (admitted.ticket) {
      options_.claims->Release(*admitted.ticket);
    }
    // The refusal of a callee is no sign of overload here, so it must not lower this upstream's
    // concurrency limit.
    admitted.permit.Finish(hop.hadRefusedCall ? GateResult::Neutral : GateResult::Refused);
    return FailedAttempt(
      { .reason = Reason::Overloaded, .message = ReadMessage(answer) }, false, unused);
  }
  if (auto replaced = DiscardServerErrorForRetry(call, answer, unused)) {
    admitted.permit.Finish(GateResult::Failed);
    return *std::move(replaced);
  }
  ObservedBody observed(answer.Body(), call.exchange);
  RecordingBody recorded(observed);
  bool isRecorded = false;
  const auto record = [&] {
    isRecorded = true;
    if (admitted.ticket) {
      options_.claims->Finish(*admitted.ticket, recorded.ToOutcome(upstreamHead));
    }
  };
  BodySource& body = admitted.ticket ? static_cast<BodySource&>(recorded) : observed;
  const StreamingResult streamed = call.exchange.RespondStreaming(
    ResponseHead(call, context, upstreamHead, unused), answer.BodyLength(), body, record);
  if (!isRecorded && admitted.ticket && DiscardBody(recorded)) {
    record();
  }
  if (!isRecorded && admitted.ticket) {
    options_.claims->MarkUnknown(*admitted.ticket);
  }
  if (streamed == StreamingResult::NotStarted) {
    AttemptResult attemptResult = TruncatedResponseAttempt(call, unused);
    const bool isCancelled = attemptResult.callResult == CallResult::Cancelled;
    if (!isCancelled) {
      options_.warmup->RecordLoss();
    }
    admitted.permit.Finish(isCancelled ? GateResult::Neutral : GateResult::Lost);
    return attemptResult;
  }
  if (observed.HasFailed()) {
    options_.warmup->RecordLoss();
    admitted.permit.Finish(GateResult::Lost);
    return { .unusedRetries = unused, .callResult = CallResult::Failed };
  }
  const bool isServerError = upstreamHead.status >= kMinServerErrorStatus;
  options_.warmup->RecordRun(admitted.sentAt);
  admitted.permit.Finish(isServerError ? GateResult::Failed : GateResult::Succeeded);
  return { .unusedRetries = unused,
           .callResult = isServerError ? CallResult::ServerError : CallResult::Answered };
}

void Executor::RespondFromRecord(PendingCall& call, const RecordedOutcome& record)
{
  HttpResponseHead head{ .status = record.status };
  head.headers.Set(kOutcomeHeader, std::string(NameOf(RequestOutcome::Ran)));
  if (!record.contentType.empty()) {
    head.headers.Set("Content-Type", record.contentType);
  }
  if (!record.isBodyKept) {
    head.headers.Set(kReasonHeader, std::string(NameOf(Reason::OutcomeBodyNotKept)));
  }
  call.exchange.Respond(head, record.body);
}

} // namespace acp::detail
