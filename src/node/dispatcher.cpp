#include "acaciapulley/node/detail/dispatcher.hpp"

#include <random>  // mt19937, uniform_real_distribution
#include <thread>  // sleep_for
#include <utility> // move
#include <vector>  // vector

#include "acaciapulley/core/random.hpp" // RandomHex

namespace acp::detail {

namespace {

constexpr std::size_t kHopIdBytes = 8;
constexpr int kFirstServerError = 500;

double RandomCoin()
{
  thread_local std::mt19937 generator{ std::random_device{}() };
  return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

Duration RemainingTime(const Clock& clock, const RequestContext& context)
{
  return std::chrono::milliseconds(CountMillis(context.deadline) - CountMillis(clock.WallNow()));
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options)
  : options_(options)
  , ratio_({}, options.clock->Now())
{
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
    const auto choice =
      options_.balancer->Pick({ .service = call.request.service,
                                .tried = tried,
                                .isIdempotent = call.request.requestClass->idempotent },
                              options_.clock->Now());
    if (!choice) {
      return { .result = last, .unusedRetries = retriesLeft };
    }
    tried.push_back(choice->nodeId);
    // Upstreams of fleet routes get no context, so that their nested calls have budgets of their
    // own.
    const CallBudget split = call.request.isFleetRoute
                               ? CallBudget{ .own = retriesLeft, .callee = 0 }
                               : SplitDraw(retriesLeft);
    const AttemptEnd end = Attempt(call, context, *choice, split.callee);
    retriesLeft = split.own + end.unusedRetries;
    if (end.result) {
      const std::lock_guard lock(ratioMutex_);
      ratio_.OnSuccess();
      return { .unusedRetries = retriesLeft };
    }
    keep(end.result);
    const auto decision = Decide(call, context, end, attempt, retriesLeft);
    if (decision.verdict != RetryVerdict::Retry) {
      return { .result = last, .unusedRetries = retriesLeft };
    }
    --retriesLeft;
    std::this_thread::sleep_for(decision.delay);
    call.body.Rewind();
  }
}

AttemptEnd Dispatcher::Attempt(PendingCall& call,
                               RequestContext context,
                               const Choice& choice,
                               int calleeRetries)
{
  context.hopId = RandomHex(kHopIdBytes);
  context.retriesLeft = calleeRetries;
  context.issuer = options_.nodeId;
  context.issuerEpoch = options_.epoch;
  const TimePoint start = options_.clock->Now();
  AttemptEnd end = choice.isOwn ? options_.executor->Run(call, context)
                                : options_.peers->Run(call, context, choice);
  const TimePoint now = options_.clock->Now();
  options_.members->Finish(
    call.request.service, choice.nodeId, choice.epoch, end.routing, now - start, now);
  return end;
}

RetryDecision Dispatcher::Decide(const PendingCall& call,
                                 const RequestContext& context,
                                 const AttemptEnd& end,
                                 int attempt,
                                 int retriesLeft)
{
  const bool canReplay = call.body.CanReplay() || !call.body.IsConsumed();
  if (!canReplay || call.exchange.IsCallerGone()) {
    return {};
  }
  const Refusal& refusal = end.result.error();
  const std::lock_guard lock(ratioMutex_);
  return DecideRetry({ .outcome = refusal.outcome,
                       .nothingSent = end.nothingSent,
                       .idempotent = call.request.requestClass->idempotent,
                       .mayPass = refusal.status >= kFirstServerError,
                       .attempt = attempt,
                       .retriesLeft = retriesLeft,
                       .remaining = RemainingTime(*options_.clock, context) },
                     {},
                     ratio_,
                     options_.clock->Now(),
                     RandomCoin());
}

} // namespace acp::detail
