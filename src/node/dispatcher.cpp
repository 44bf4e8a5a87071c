#include "acaciapulley/node/detail/dispatcher.hpp"

#include <utility> // move
#include <vector>  // vector

#include "acaciapulley/core/random.hpp"     // RandomHex, UniformRandom
#include "acaciapulley/core/wait_point.hpp" // SleepFor

namespace acp::detail {

namespace {

constexpr std::size_t kHopIdBytes = 8;
// Retries of documents' services share one budget.
constexpr const char* kAllServices = "";

Duration RemainingTime(const Clock& clock, const RequestContext& context)
{
  return std::chrono::milliseconds(CountMillis(context.deadline) - CountMillis(clock.WallNow()));
}

/// Whether the request can be sent again and somebody waits for its answer.
bool CanRepeat(const PendingCall& call)
{
  const bool canReplay = call.body.CanReplay() || !call.body.IsConsumed();
  return canReplay && !call.exchange.IsCallerGone();
}

PickRequest PickRequestOf(const PendingCall& call, const std::vector<std::string>& tried)
{
  return { .service = call.request.service,
           .tried = tried,
           .requestClass = call.request.requestClass->name,
           .isIdempotent = call.request.requestClass->idempotent };
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options)
  : options_(options)
{
}

NodeRetryBudget& Dispatcher::BudgetOf(const PendingCall& call)
{
  if (!call.request.isFleetRoute) {
    return ratios_.try_emplace(kAllServices, NodeRetryBudgetOptions{}, options_.clock->Now())
      .first->second;
  }
  const auto share = NodeShareOf(options_.sharedRetries, options_.members->Size());
  auto& budget =
    ratios_.try_emplace(call.request.service, share, options_.clock->Now()).first->second;
  budget.Configure(share);
  return budget;
}

std::optional<PickedMember> Dispatcher::Choose(const PendingCall& call,
                                               const std::vector<std::string>& tried)
{
  const PickRequest request = PickRequestOf(call, tried);
  const TimePoint giveUpAt = options_.clock->Now() + call.patience;
  while (true) {
    const auto seen = options_.members->Changes().Count();
    const TimePoint now = options_.clock->Now();
    auto picked = options_.balancer->Pick(request, now);
    // While the service has no member at all, as after a restart, the next list may bring one.
    if (picked || !tried.empty() || now >= giveUpAt || call.exchange.IsCallerGone()) {
      return picked;
    }
    options_.members->Changes().WaitBeyond(seen, giveUpAt - now, call.exchange.CallerGone());
  }
}

bool Dispatcher::MayReplaceAnswer(const PendingCall& call,
                                  const RequestContext& context,
                                  const std::vector<std::string>& tried,
                                  TimePoint attemptStart)
{
  const Duration taken = options_.clock->Now() - attemptStart;
  const bool hasTime = RemainingTime(*options_.clock, context) > 2 * taken;
  // An overloaded callee refuses another attempt's nested calls as well.
  const bool isOverloaded = call.thresholds->IsOverloaded(call.ownClass, context);
  if (!hasTime || isOverloaded || !CanRepeat(call) ||
      !options_.balancer->HasUntriedMember(PickRequestOf(call, tried))) {
    return false;
  }
  const std::lock_guard lock(ratioMutex_);
  return BudgetOf(call).TryAcquire(options_.clock->Now());
}

DispatchEnd Dispatcher::Run(PendingCall& call, const RequestContext& context)
{
  int retriesLeft = context.retriesLeft;
  std::vector<std::string> tried;
  OrRefusal<void> last =
    NotRun(503, Reason::NoUpstream, "no upstream of '" + call.request.service + "' is available");
  // An attempt that may have run stays so, whatever a retry's refusal says of the retry.
  const auto keep = [&last](const OrRefusal<void>& result) {
    const bool mayHaveRun = !last && last.error().outcome != RequestOutcome::NotRun;
    if (!mayHaveRun || result.error().outcome != RequestOutcome::NotRun) {
      last = result;
    }
  };
  for (int attempt = 0;; ++attempt) {
    const auto picked = Choose(call, tried);
    if (!picked) {
      return { .result = last, .unusedRetries = retriesLeft };
    }
    tried.push_back(picked->nodeId);
    // Upstreams of fleet routes get no context, so that their nested calls have budgets of their
    // own.
    const CallBudget split = call.request.isFleetRoute
                               ? CallBudget{ .caller = retriesLeft, .callee = 0 }
                               : SplitReservation(retriesLeft);
    const bool mayRepeat =
      call.request.isFleetRoute && retriesLeft > 0 && call.request.requestClass->idempotent;
    call.mayReplaceAnswer = nullptr;
    if (mayRepeat) {
      call.mayReplaceAnswer = [this, &call, &context, &tried, start = picked->startedAt] {
        return MayReplaceAnswer(call, context, tried, start);
      };
    }
    const AttemptEnd end = Attempt(call, context, *picked, split.callee);
    retriesLeft = split.caller + end.unusedRetries;
    if (end.result) {
      NoteAnswer(call, end);
      return { .unusedRetries = retriesLeft,
               .gotServerError = end.routing == CallResult::ServerError };
    }
    keep(end.result);
    // The retry after a dropped answer has been decided and taken from the budget already.
    if (!end.isReplaced) {
      const auto decision = Decide(call, context, end, attempt, retriesLeft);
      if (decision.verdict != RetryVerdict::Retry) {
        return { .result = last, .unusedRetries = retriesLeft };
      }
      SleepFor(decision.delay);
    }
    --retriesLeft;
    call.body.Rewind();
  }
}

void Dispatcher::NoteAnswer(const PendingCall& call, const AttemptEnd& end)
{
  if (call.request.isFleetRoute && end.routing == CallResult::ServerError) {
    return;
  }
  const std::lock_guard lock(ratioMutex_);
  BudgetOf(call).OnSuccess();
}

AttemptEnd Dispatcher::Attempt(PendingCall& call,
                               RequestContext context,
                               const PickedMember& picked,
                               int calleeRetries)
{
  context.hopId = RandomHex(kHopIdBytes);
  context.retriesLeft = calleeRetries;
  context.issuer = options_.nodeId;
  context.issuerEpoch = options_.epoch;
  AttemptEnd end =
    picked.isLocal ? RunHere(call, context) : options_.peers->Run(call, context, picked);
  const TimePoint now = options_.clock->Now();
  options_.members->FinishCall(call.request.service,
                               picked.nodeId,
                               picked.epoch,
                               { .result = end.routing,
                                 .startedAt = picked.startedAt,
                                 .requestClass = call.request.requestClass->name },
                               now);
  return end;
}

AttemptEnd Dispatcher::RunHere(PendingCall& call, const RequestContext& context)
{
  AttemptEnd end = options_.executor->Run(call, context);
  call.thresholds->Learn(call.ownClass,
                         CalleeOf(call.request),
                         context.account,
                         options_.executor->Threshold(call.request, context.account));
  return end;
}

RetryDecision Dispatcher::Decide(const PendingCall& call,
                                 const RequestContext& context,
                                 const AttemptEnd& end,
                                 int attempt,
                                 int retriesLeft)
{
  if (!CanRepeat(call)) {
    return {};
  }
  const Refusal& refusal = end.result.error();
  const std::lock_guard lock(ratioMutex_);
  return DecideRetry(
    { .outcome = refusal.outcome,
      .nothingSent = end.nothingSent,
      .idempotent = call.request.requestClass->idempotent,
      .retryMaySucceed = refusal.status >= kFirstServerError && refusal.reason != Reason::Stopping,
      .attempt = attempt,
      .retriesLeft = retriesLeft,
      .remaining = RemainingTime(*options_.clock, context) },
    {},
    BudgetOf(call),
    options_.clock->Now(),
    UniformRandom());
}

} // namespace acp::detail
