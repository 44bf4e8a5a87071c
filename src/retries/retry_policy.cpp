#include "acaciapulley/retries/retry_policy.hpp"

#include <algorithm> // max, min

namespace acp {

namespace {

// Tolerates rounding: ten additions of 0.1 give slightly less than 1.
constexpr double kOneRetry = 1.0 - 1e-9;

// Fraction of the fleet ratio that each hop of a call chain may use, so that a chain of four hops
// stays within the ratio.
constexpr double kRatioShareOfHop = 0.25;

} // namespace

NodeRetryBudgetOptions NodeShareOf(const FleetRetryBudget& shared, std::size_t nodes)
{
  const double slack = shared.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double burst = std::max(slack / 2, 1.0);
  const double seconds = std::chrono::duration<double>(shared.window).count();
  return { .ratio = kRatioShareOfHop * shared.ratio,
           .burst = burst,
           .minRetriesPerSecond = std::max(slack - burst, 0.0) / seconds };
}

NodeRetryBudget::NodeRetryBudget(NodeRetryBudgetOptions options, TimePoint now)
  : options_(options)
  , available_(options.burst)
  , refilledAt_(now)
{
}

void NodeRetryBudget::OnSuccess()
{
  available_ = std::min(options_.burst, available_ + options_.ratio);
}

void NodeRetryBudget::Refill(TimePoint now)
{
  const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
  available_ =
    std::min(options_.burst, available_ + std::max(0.0, seconds) * options_.minRetriesPerSecond);
  refilledAt_ = std::max(refilledAt_, now);
}

bool NodeRetryBudget::IsAvailable(TimePoint now)
{
  Refill(now);
  return !options_.enabled || available_ >= kOneRetry;
}

bool NodeRetryBudget::TryAcquire(TimePoint now)
{
  if (!IsAvailable(now)) {
    return false;
  }
  available_ = std::max(0.0, available_ - 1.0);
  return true;
}

void NodeRetryBudget::Configure(const NodeRetryBudgetOptions& options)
{
  options_ = options;
  available_ = std::min(available_, options_.burst);
}

std::optional<Duration> BackoffDelay(const BackoffOptions& options,
                                     int attempt,
                                     Duration remaining,
                                     double jitter)
{
  Duration bound = options.initialDelay;
  for (int i = 0; i < attempt && bound < options.maxDelay; ++i) {
    bound *= 2;
  }
  bound = std::min(bound, options.maxDelay);
  const auto delay = std::chrono::duration_cast<Duration>(bound * (0.5 + 0.5 * jitter));
  if (remaining < 2 * delay || remaining <= Duration::zero()) {
    return std::nullopt;
  }
  return delay;
}

RetryDecision DecideRetry(const FailedCall& call,
                          const BackoffOptions& backoff,
                          NodeRetryBudget& nodeBudget,
                          TimePoint now,
                          double jitter)
{
  if (call.outcome == RequestOutcome::Ran || !call.retryMaySucceed) {
    return { .verdict = RetryVerdict::NotRetryable };
  }
  const bool cannotHaveRun = call.outcome == RequestOutcome::NotRun || call.nothingSent;
  if (!cannotHaveRun && !call.idempotent) {
    return { .verdict = RetryVerdict::NotSafe };
  }
  if (call.retriesLeft <= 0) {
    return { .verdict = RetryVerdict::NoRequestBudget };
  }
  const auto delay = BackoffDelay(backoff, call.attempt, call.remaining, jitter);
  if (!delay) {
    return { .verdict = RetryVerdict::NoTime };
  }
  if (!nodeBudget.TryAcquire(now)) {
    return { .verdict = RetryVerdict::NoNodeBudget };
  }
  return { .verdict = RetryVerdict::Retry, .delay = *delay };
}

} // namespace acp
