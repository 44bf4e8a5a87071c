#include "acaciapulley/node/detail/dispatcher.hpp"

#include <utility> // move
#include <vector>  // vector

#include "acaciapulley/core/random.hpp"     // RandomHex, UniformRandom
#include "acaciapulley/core/wait_point.hpp" // SleepFor

namespace acp::detail {

namespace {

constexpr std::size_t kHopIdBytes = 8;
// Services with a service document share one node retry budget.
constexpr const char* kDocumentServicesBudgetKey = "";

Duration RemainingTime(const Clock& clock, const RequestContext& context)
{
  return std::chrono::milliseconds(CountMillis(context.deadline) - CountMillis(clock.WallNow()));
}

/// Returns whether the request can be sent again and its caller is still connected.
bool CanResend(const PendingCall& call)
{
  const bool canReplay = call.body.CanReplay() || !call.body.IsConsumed();
  return canReplay && !call.exchange.IsCallerGone();
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options)
  : options_(options)
{
}

PickRequest Dispatcher::PickRequestOf(const PendingCall& call,
                                      const std::vector<std::string>& tried) const
{
  return { .service = call.request.service,
           .tried = tried,
           .requestClass = call.request.requestClass->name,
           .isIdempotent = call.request.requestClass->idempotent,
           .allowedDataCentres = options_.regions->DataCentresIn(call.request.allowedRegions) };
}

NodeRetryBudget& Dispatcher::RetryBudgetOf(const PendingCall& call)
{
  if (!call.request.isFleetRoute) {
    return budgets_
      .try_emplace(kDocumentServicesBudgetKey, NodeRetryBudgetOptions{}, options_.clock->Now())
      .first->second;
  }
  const auto share = NodeShareOf(options_.fleetRetryBudget, options_.members->Size());
  auto& budget =
    budgets_.try_emplace(call.request.service, share, options_.clock->Now()).first->second;
  budget.Configure(share);
  return budget;
}

std::optional<PickedMember> Dispatcher::PickMember(const PendingCall& call,
                                                   const std::vector<std::string>& tried)
{
  if (call.request.allowedRegions.AllowsNone()) {
    return std::nullopt;
  }
  const TimePoint giveUpAt = options_.clock->Now() + call.queueTimeout;
  while (true) {
    const auto changeCount = options_.members->Changes().Count();
    const TimePoint now = options_.clock->Now();
    auto picked = options_.balancer->Pick(PickRequestOf(call, tried), now);
    // While the service has no member at all, as after a restart, the next list may contain one.
    if (picked || !tried.empty() || now >= giveUpAt || call.exchange.IsCallerGone()) {
      return picked;
    }
    options_.members->Changes().WaitForChange(
      changeCount, giveUpAt - now, call.exchange.CallerGone());
  }
}

bool Dispatcher::TryRetryServerError(const PendingCall& call,
                                     const RequestContext& context,
                                     const std::vector<std::string>& tried,
                                     TimePoint attemptStart)
{
  const Duration elapsed = options_.clock->Now() - attemptStart;
  const bool hasTime = RemainingTime(*options_.clock, context) > 2 * elapsed;
  // An overloaded callee would refuse the nested calls of a retry as well.
  const bool isOverloaded = call.thresholds->IsOverloaded(call.callerClass, context);
  if (!hasTime || isOverloaded || !CanResend(call) ||
      !options_.balancer->HasUntriedMember(PickRequestOf(call, tried))) {
    return false;
  }
  const std::lock_guard lock(budgetMutex_);
  return RetryBudgetOf(call).TryAcquire(options_.clock->Now());
}

DispatchResult Dispatcher::Run(PendingCall& call, const RequestContext& context)
{
  int retriesLeft = context.retriesLeft;
  std::vector<std::string> tried;
  OrRefusal<void> lastResult = NotRunRefusal(
    503, Reason::NoUpstream, "no upstream of '" + call.request.service + "' is available");
  // The refusal of a retry does not change that an earlier attempt may have run.
  const auto updateLastResult = [&lastResult](const OrRefusal<void>& result) {
    const bool mayHaveRun = !lastResult && lastResult.error().outcome != RequestOutcome::NotRun;
    if (!mayHaveRun || result.error().outcome != RequestOutcome::NotRun) {
      lastResult = result;
    }
  };
  for (int attempt = 0;; ++attempt) {
    const auto picked = PickMember(call, tried);
    if (!picked) {
      return { .result = lastResult, .unusedRetries = retriesLeft };
    }
    tried.push_back(picked->nodeId);
    // Upstreams of fleet routes receive no context, so their nested calls have separate retry
    // budgets.
    const CallBudget split = call.request.isFleetRoute
                               ? CallBudget{ .caller = retriesLeft, .callee = 0 }
                               : SplitReservation(retriesLeft);
    const bool mayRetryServerError =
      call.request.isFleetRoute && retriesLeft > 0 && call.request.requestClass->idempotent;
    call.tryRetryServerError = nullptr;
    if (mayRetryServerError) {
      call.tryRetryServerError = [this, &call, &context, &tried, start = picked->startedAt] {
        return TryRetryServerError(call, context, tried, start);
      };
    }
    const AttemptResult attemptResult = RunAttempt(call, context, *picked, split.callee);
    retriesLeft = split.caller + attemptResult.unusedRetries;
    if (attemptResult.result) {
      RecordResponse(call, attemptResult);
      return { .unusedRetries = retriesLeft,
               .isServerError = attemptResult.callResult == CallResult::ServerError };
    }
    updateLastResult(attemptResult.result);
    // The retry after a discarded response was already acquired from the node retry budget.
    if (!attemptResult.isRetryTaken) {
      const auto decision = DecideOnRetry(call, context, attemptResult, attempt, retriesLeft);
      if (decision.verdict != RetryVerdict::Retry) {
        return { .result = lastResult, .unusedRetries = retriesLeft };
      }
      SleepFor(decision.delay);
    }
    --retriesLeft;
    call.body.Rewind();
  }
}

void Dispatcher::RecordResponse(const PendingCall& call, const AttemptResult& attemptResult)
{
  const bool hasFailed = attemptResult.callResult == CallResult::Failed;
  const bool isServerError = attemptResult.callResult == CallResult::ServerError;
  if (hasFailed || (call.request.isFleetRoute && isServerError)) {
    return;
  }
  const std::lock_guard lock(budgetMutex_);
  RetryBudgetOf(call).OnSuccess();
}

AttemptResult Dispatcher::RunAttempt(PendingCall& call,
                                     RequestContext context,
                                     const PickedMember& picked,
                                     int calleeRetries)
{
  context.hopId = RandomHex(kHopIdBytes);
  context.retriesLeft = calleeRetries;
  context.issuer = options_.nodeId;
  context.issuerEpoch = options_.epoch;
  const auto finishCall = [&](CallResult result) {
    options_.members->FinishCall(call.request.service,
                                 picked.nodeId,
                                 picked.epoch,
                                 { .result = result,
                                   .startedAt = picked.startedAt,
                                   .requestClass = call.request.requestClass->name },
                                 options_.clock->Now());
  };
  try {
    AttemptResult attemptResult =
      picked.isLocal ? RunLocally(call, context) : options_.peers->Run(call, context, picked);
    finishCall(attemptResult.callResult);
    return attemptResult;
  } catch (...) {
    finishCall(CallResult::Failed); // otherwise the member would count the call as in flight
    throw;
  }
}

AttemptResult Dispatcher::RunLocally(PendingCall& call, const RequestContext& context)
{
  AttemptResult attemptResult = options_.executor->Run(call, context);
  call.thresholds->UpdateThreshold(call.callerClass,
                                   CalleeOf(call.request),
                                   context.account,
                                   options_.executor->Threshold(call.request, context.account));
  if (const auto load = options_.executor->LearnedLoad(call.request)) {
    options_.members->UpdateLoad(
      call.request.service, options_.nodeId, *load, options_.clock->Now());
  }
  return attemptResult;
}

RetryDecision Dispatcher::DecideOnRetry(const PendingCall& call,
                                        const RequestContext& context,
                                        const AttemptResult& attemptResult,
                                        int attempt,
                                        int retriesLeft)
{
  if (!CanResend(call)) {
    return {};
  }
  const Refusal& refusal = attemptResult.result.error();
  const std::lock_guard lock(budgetMutex_);
  return DecideRetry({ .outcome = refusal.outcome,
                       .nothingSent = attemptResult.nothingSent,
                       .idempotent = call.request.requestClass->idempotent,
                       .retryMaySucceed = refusal.status >= kMinServerErrorStatus &&
                                          refusal.reason != Reason::Stopping,
                       .attempt = attempt,
                       .retriesLeft = retriesLeft,
                       .remaining = RemainingTime(*options_.clock, context) },
                     {},
                     RetryBudgetOf(call),
                     options_.clock->Now(),
                     UniformRandom());
}

} // namespace acp::detail
