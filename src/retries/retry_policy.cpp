#include "acaciapulley/retries/retry_policy.hpp"

#include <algorithm> // max, min

namespace acp {

namespace {

// Ten tenths add up to slightly less than 1.
constexpr double kWholeRetry = 1.0 - 1e-9;

// Each hop of a call chain may repeat this part; a chain of four hops then stays within the whole.
constexpr double kOwnPart = 0.25;

} // namespace

RatioBudgetOptions ShareOf(const SharedRetryBudget& shared, std::size_t nodes)
{
  const double slack = shared.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
  const double burst = std::max(slack / 2, 1.0);
  const double seconds = std::chrono::duration<double>(shared.window).count();
  return { .ratio = kOwnPart * shared.ratio,
           .burst = burst,
           .floorPerSecond = std::max(slack - burst, 0.0) / seconds };
}

RatioBudget::RatioBudget(RatioBudgetOptions options, TimePoint now)
  : options_(options)
  , retries_(options.burst)
  , earnedAt_(now)
{
}

void RatioBudget::OnSuccess()
{
  retries_ = std::min(options_.burst, retries_ + options_.ratio);
}

void RatioBudget::EarnFloor(TimePoint now)
{
  const double seconds = std::chrono::duration<double>(now - earnedAt_).count();
  retries_ = std::min(options_.burst, retries_ + std::max(0.0, seconds) * options_.floorPerSecond);
  earnedAt_ = std::max(earnedAt_, now);
}

bool RatioBudget::Has(TimePoint now)
{
  EarnFloor(now);
  return !options_.enabled || retries_ >= kWholeRetry;
}

bool RatioBudget::TryTake(TimePoint now)
{
  if (!Has(now)) {
    return false;
  }
  retries_ = std::max(0.0, retries_ - 1.0);
  return true;
}

void RatioBudget::Configure(const RatioBudgetOptions& options)
{
  options_ = options;
  retries_ = std::min(retries_, options_.burst);
}

std::optional<Duration> BackoffDelay(const BackoffOptions& options,
                                     int attempt,
                                     Duration remaining,
                                     double coin)
{
  Duration bound = options.first;
  for (int i = 0; i < attempt && bound < options.highest; ++i) {
    bound *= 2;
  }
  bound = std::min(bound, options.highest);
  const auto delay = std::chrono::duration_cast<Duration>(bound * (0.5 + 0.5 * coin));
  if (remaining < 2 * delay || remaining <= Duration::zero()) {
    return std::nullopt;
  }
  return delay;
}

RetryDecision DecideRetry(const FailedCall& call,
                          const BackoffOptions& backoff,
                          RatioBudget& ratio,
                          TimePoint now,
                          double coin)
{
  if (call.outcome == RequestOutcome::Ran || !call.mayPass) {
    return { .verdict = RetryVerdict::Useless };
  }
  const bool cannotHaveRun = call.outcome == RequestOutcome::NotRun || call.nothingSent;
  if (!cannotHaveRun && !call.idempotent) {
    return { .verdict = RetryVerdict::NotSafe };
  }
  if (call.retriesLeft <= 0) {
    return { .verdict = RetryVerdict::NoBudget };
  }
  const auto delay = BackoffDelay(backoff, call.attempt, call.remaining, coin);
  if (!delay) {
    return { .verdict = RetryVerdict::NoTime };
  }
  if (!ratio.TryTake(now)) {
    return { .verdict = RetryVerdict::NoRatio };
  }
  return { .verdict = RetryVerdict::Retry, .delay = *delay };
}

} // namespace acp
