#include "acaciapulley/admission/concurrency_knee.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // ceil, lround

namespace acp {

namespace {

constexpr double kMinShare = 0.25;
// A lower limit is adopted when at least kKeptWork of the work remains; in proportion to the limit
// it would be kLowerFactor. A higher one is adopted when it adds work. The limit rises in larger
// steps than it falls, because a limit that is too low costs throughput.
constexpr double kLowerFactor = 0.85;
constexpr double kHigherFactor = 1.4;
constexpr double kKeptWork = 0.95;
constexpr double kMoreWork = 1.07;
// Periods of an experiment; in half of them the trial limit applies. The first period on each side
// of a change contains runs that began before it, therefore a period lasts several run times.
constexpr int kExperimentPeriods = 16;
constexpr double kRunTimesPerPeriod = 6;
constexpr Duration kMaxPeriod = std::chrono::seconds(2);
constexpr Duration kPauseAfterSuccess = std::chrono::milliseconds(500);
// A rejected trial costs up to 15% of the work for half of its periods.
constexpr Duration kPauseAfterRejection = std::chrono::seconds(5);
// Fewer runs in a period are no evidence.
constexpr int kMinRuns = 20;
constexpr double kMinFullShare = 0.5;
constexpr double kMaxNestedShare = 0.2;
constexpr double kReferenceWeight = 0.001;
constexpr double kMeanWeight = 0.05;
constexpr double kReturnFactor = 1.25;
constexpr std::size_t kMaxReferences = 256;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ConcurrencyKnee::ConcurrencyKnee(const ConcurrencyKneeOptions& options, TimePoint now)
  : options_(options)
  , limit_(std::max(options.slots, 1))
  , windowStart_(now)
  , nextExperimentAt_(now)
{
  options_.slots = std::max(options_.slots, 1);
}

void ConcurrencyKnee::SetSlots(int slots, TimePoint now)
{
  options_.slots = std::max(slots, 1);
  *this = ConcurrencyKnee(options_, now);
}

int ConcurrencyKnee::Limit() const
{
  const double limit = IsTrialPeriod() ? experiment_.trialLimit : limit_;
  return std::clamp(
    static_cast<int>(std::lround(limit)), static_cast<int>(std::ceil(MinLimit())), options_.slots);
}

double ConcurrencyKnee::MinLimit() const
{
  return kMinShare * options_.slots;
}

bool ConcurrencyKnee::IsTrialPeriod() const
{
  return experiment_.isRunning && experiment_.period % 2 == 1;
}

Duration ConcurrencyKnee::PeriodLength() const
{
  const auto runs = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(kRunTimesPerPeriod * meanSeconds_));
  return std::clamp(runs, options_.period, kMaxPeriod);
}

void ConcurrencyKnee::OnFinish(const KneeSample& sample, TimePoint now)
{
  ++window_.runs;
  window_.fullRuns += sample.wasFull ? 1 : 0;
  window_.nestedRuns += sample.makesNestedCalls ? 1 : 0;
  if (!sample.makesNestedCalls) {
    const double seconds = Seconds(sample.usualTime);
    meanSeconds_ += (meanSeconds_ == 0 ? 1 : kMeanWeight) * (seconds - meanSeconds_);
    if (references_.size() >= kMaxReferences && !references_.contains(sample.requestClass)) {
      references_.clear();
    }
    double& reference = references_.try_emplace(sample.requestClass, seconds).first->second;
    reference += kReferenceWeight * (seconds - reference);
    window_.work += reference * sample.workFactor;
  }
  if (now - windowStart_ >= PeriodLength()) {
    EndPeriod(Seconds(now - windowStart_), now);
    window_ = {};
    windowStart_ = now;
  }
}

void ConcurrencyKnee::EndPeriod(double elapsedSeconds, TimePoint now)
{
  if (window_.nestedRuns > kMaxNestedShare * window_.runs) {
    AbortExperiment(now);
    limit_ = std::min<double>(limit_ * kReturnFactor, options_.slots);
    return;
  }
  const bool isEvidence =
    window_.runs >= kMinRuns && window_.fullRuns >= kMinFullShare * window_.runs;
  if (!isEvidence) {
    AbortExperiment(now);
    return;
  }
  if (!experiment_.isRunning) {
    if (now >= nextExperimentAt_) {
      BeginExperiment(now);
    }
    return;
  }
  (IsTrialPeriod() ? experiment_.workAtTrial : experiment_.workAtLimit) +=
    window_.work / elapsedSeconds;
  ++experiment_.period;
  if (experiment_.period == kExperimentPeriods) {
    EndExperiment(now);
  }
}

void ConcurrencyKnee::BeginExperiment(TimePoint now)
{
  const bool canRise = limit_ < options_.slots;
  const bool canFall = limit_ > MinLimit();
  if (!canRise && !canFall) {
    nextExperimentAt_ = now + kPauseAfterRejection;
    return;
  }
  triesHigher_ = canRise && (triesHigher_ || !canFall);
  const double trial = limit_ * (triesHigher_ ? kHigherFactor : kLowerFactor);
  experiment_ = { .isRunning = true,
                  .trialLimit = std::clamp<double>(trial, MinLimit(), options_.slots) };
}

void ConcurrencyKnee::EndExperiment(TimePoint now)
{
  const double ratio =
    experiment_.workAtLimit > 0 ? experiment_.workAtTrial / experiment_.workAtLimit : 1;
  const bool isAdopted = ratio >= (triesHigher_ ? kMoreWork : kKeptWork);
  if (isAdopted) {
    limit_ = experiment_.trialLimit;
  } else {
    triesHigher_ = !triesHigher_;
  }
  nextExperimentAt_ = now + (isAdopted ? kPauseAfterSuccess : kPauseAfterRejection);
  experiment_ = {};
}

void ConcurrencyKnee::AbortExperiment(TimePoint now)
{
  if (experiment_.isRunning) {
    nextExperimentAt_ = now + kPauseAfterSuccess;
    experiment_ = {};
  }
}

} // namespace acp
