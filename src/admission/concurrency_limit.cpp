#include "acaciapulley/admission/concurrency_limit.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // floor

namespace acp {

namespace {

// Latency up to 1.3 times its baseline counts as unloaded; above 2 times a lower limit is tried.
constexpr double kUnloadedRatio = 1.3;
constexpr double kLoadedRatio = 2.0;
// A trial multiplies the limit by kTrialFactor and is kept if at least kMinWorkShare of the work
// rate remains. The two values differ enough to tell a proportional drop from noise.
constexpr double kTrialFactor = 0.85;
constexpr double kMinWorkShare = 0.95;
constexpr int kTrialPausePeriods = 20;
// Latency is evaluated only in periods with at least this many responses.
constexpr int kMinAnswers = 10;
// Refused and lost requests above this share of the requests of a period reduce the limit.
constexpr double kOverloadShare = 0.1;
constexpr double kFailedShare = 0.5;
constexpr double kOverloadFactor = 0.7;
// With a period of 100 ms the limit grows from 1 to 50 in 1.1 s, within the recovery target of 2 s.
constexpr double kGrowthFactor = 1.25;
constexpr double kGrowthStep = 1.0;
constexpr double kColdStartShare = 0.1;
// With fewer slots, a single free slot would be too large a fraction.
constexpr int kMinSlotsForReserve = 10;
constexpr double kSmoothing = 0.1;
constexpr double kBaselineDriftPerSecond = 0.01;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options, TimePoint now)
  : options_(options)
  , windowStart_(now)
  , coldStartBegin_(now)
  , limit_(std::max(1, options.slots))
{
  options_.slots = std::max(1, options_.slots);
}

void ConcurrencyLimit::SetCapacity(int slots, Duration coldStart, TimePoint now)
{
  if (slots == options_.slots && coldStart == options_.coldStart) {
    return;
  }
  options_.slots = std::max(1, slots);
  if (coldStart > Duration::zero() && coldStart != options_.coldStart) {
    coldStartBegin_ = now;
  }
  options_.coldStart = coldStart;
  limit_ = options_.slots;
  limitBeforeTrial_ = 0.0;
}

void ConcurrencyLimit::OnFinish(const std::string& requestClass,
                                Duration latency,
                                GateResult result,
                                bool wasFull)
{
  window_.wasFull = window_.wasFull || wasFull;
  if (result == GateResult::Neutral) {
    return;
  }
  if (result == GateResult::Refused || result == GateResult::Lost) {
    ++window_.overloadSignals;
    return;
  }
  if (result == GateResult::Failed) {
    ++window_.failed;
    return;
  }
  const double seconds = std::max(Seconds(latency), 1e-6);
  Baseline& baseline = baselines_[requestClass];
  if (baseline.seconds <= 0.0) {
    baseline = { .seconds = seconds, .smoothed = seconds };
  }
  baseline.smoothed += kSmoothing * (seconds - baseline.smoothed);
  baseline.seconds = std::min(baseline.seconds, baseline.smoothed);
  ++window_.answered;
  window_.ratioSum += baseline.smoothed / baseline.seconds;
  window_.workSum += baseline.seconds;
}

void ConcurrencyLimit::Update(TimePoint now)
{
  if (now - windowStart_ < options_.period) {
    return;
  }
  if (options_.adaptive) {
    Adjust(Seconds(now - windowStart_));
  }
  window_ = {};
  windowStart_ = now;
}

void ConcurrencyLimit::Adjust(double elapsedSeconds)
{
  const int ended = window_.answered + window_.overloadSignals + window_.failed;
  const bool isOverloaded =
    window_.overloadSignals > kOverloadShare * ended || window_.failed > kFailedShare * ended;
  trialPausePeriods_ = std::max(0, trialPausePeriods_ - 1);
  RaiseBaselines(1.0 + kBaselineDriftPerSecond * elapsedSeconds);
  if (ended > 0 && isOverloaded) {
    limitBeforeTrial_ = 0.0;
    limit_ = std::max(1.0, limit_ * kOverloadFactor);
    return;
  }
  const double meanRatio = window_.answered > 0 ? window_.ratioSum / window_.answered : 1.0;
  const double workRate = window_.workSum / elapsedSeconds;
  if (limitBeforeTrial_ > 0.0) {
    FinishTrial(workRate, meanRatio);
    return;
  }
  const bool hasEnoughSamples = window_.answered >= kMinAnswers && window_.wasFull;
  if (hasEnoughSamples && meanRatio > kLoadedRatio && trialPausePeriods_ == 0) {
    limitBeforeTrial_ = limit_;
    workRateBeforeTrial_ = workRate;
    limit_ = std::max(1.0, limit_ * kTrialFactor);
  } else if (meanRatio < kUnloadedRatio || trialPausePeriods_ > 0) {
    limit_ = std::min<double>(options_.slots, limit_ * kGrowthFactor + kGrowthStep);
  }
}

void ConcurrencyLimit::FinishTrial(double workRate, double meanRatio)
{
  const bool workKept = workRate >= kMinWorkShare * workRateBeforeTrial_;
  if (!window_.wasFull) {
    // Demand dropped during the trial, so the result is inconclusive.
    limit_ = limitBeforeTrial_;
  } else if (!workKept) {
    // The latency is not caused by this upstream's load: it becomes the new baseline.
    limit_ = limitBeforeTrial_;
    RaiseBaselines(std::max(1.0, meanRatio));
    trialPausePeriods_ = kTrialPausePeriods;
  }
  limitBeforeTrial_ = 0.0;
}

void ConcurrencyLimit::RaiseBaselines(double factor)
{
  for (auto& [name, baseline] : baselines_) {
    baseline.seconds = std::min(baseline.seconds * factor, baseline.smoothed);
  }
}

double ConcurrencyLimit::ColdStartCap(TimePoint now) const
{
  // With a fixed limit all announced slots are available from the start.
  const bool isWarm =
    options_.coldStart <= Duration::zero() || now - coldStartBegin_ >= options_.coldStart;
  if (!options_.adaptive || isWarm) {
    return options_.slots;
  }
  const double progress = Seconds(now - coldStartBegin_) / Seconds(options_.coldStart);
  return options_.slots * (kColdStartShare + (1.0 - kColdStartShare) * std::max(0.0, progress));
}

int ConcurrencyLimit::Current(TimePoint now) const
{
  const bool hasReserve = options_.slots >= kMinSlotsForReserve;
  const double usable = hasReserve ? options_.usableShare * options_.slots : options_.slots;
  const double bound = std::min({ limit_, ColdStartCap(now), usable });
  return std::max(1, static_cast<int>(std::floor(bound)));
}

} // namespace acp
