#include "acaciapulley/admission/run_time_table.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp

namespace acp {

namespace {

// Bounds a single factor, so that a false report cannot make the run time zero or infinite.
constexpr double kMinFactor = 0.1;
constexpr double kMaxFactor = 100;
// Largest weight of one sample after the first few: with few requests per second, a single run must
// not replace the mean.
constexpr double kMaxSampleWeight = 0.3;
constexpr double kMinRunSeconds = 1e-6;
constexpr double kMeanWeight = 0.05;
// Bounds of the time over which the work factor is smoothed.
constexpr double kMinFactorSmoothingSeconds = 0.005;
constexpr double kMaxFactorSmoothingSeconds = 0.25;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

Duration ToDuration(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void RunTimeTable::RecordFactor(double factor, TimePoint now)
{
  AdvanceIntegral(now);
  factor_ = std::clamp(factor, kMinFactor, kMaxFactor);
  if (!factorAt_ || now - *factorAt_ > options_.factorLifetime) {
    smoothedFactor_ = factor_;
  } else {
    const double smoothing =
      std::clamp(meanSeconds_, kMinFactorSmoothingSeconds, kMaxFactorSmoothingSeconds);
    const double elapsed = std::max(Seconds(now - *factorAt_), 0.0);
    smoothedFactor_ += (1 - std::exp(-elapsed / smoothing)) * (factor_ - smoothedFactor_);
  }
  factorAt_ = now;
}

double RunTimeTable::FactorAt(TimePoint now) const
{
  return factorAt_ && now - *factorAt_ <= options_.factorLifetime ? smoothedFactor_ : 1;
}

void RunTimeTable::AdvanceIntegral(TimePoint now)
{
  if (now <= integralAt_) {
    return;
  }
  const TimePoint validUntil =
    factorAt_ ? std::max(*factorAt_ + options_.factorLifetime, integralAt_) : integralAt_;
  const TimePoint split = std::min(validUntil, now);
  factorSeconds_ += factor_ * Seconds(split - integralAt_) + Seconds(now - split);
  integralAt_ = now;
}

RunStart RunTimeTable::BeginRun(TimePoint now)
{
  AdvanceIntegral(now);
  return { .at = now, .factorSeconds = factorSeconds_ };
}

Duration RunTimeTable::FinishRun(const std::string& requestClass,
                                 const RunStart& start,
                                 TimePoint now)
{
  AdvanceIntegral(now);
  const double elapsed = std::max(Seconds(now - start.at), kMinRunSeconds);
  const double meanFactor =
    std::clamp((factorSeconds_ - start.factorSeconds) / elapsed, kMinFactor, kMaxFactor);
  const double seconds = elapsed / meanFactor;
  meanSeconds_ += (meanSeconds_ == 0 ? 1 : kMeanWeight) * (elapsed - meanSeconds_);
  if (ClassRunTime* entry = EntryFor(requestClass, now)) {
    const double average = 1.0 / static_cast<double>(entry->samples + 1);
    const double byTime =
      1 - std::exp(-Seconds(now - entry->newestAt) / Seconds(options_.smoothing));
    const double weight = std::max(average, std::min(byTime, kMaxSampleWeight));
    entry->seconds += weight * (seconds - entry->seconds);
    ++entry->samples;
    entry->newestAt = now;
  }
  return ToDuration(seconds);
}

RunTimeTable::ClassRunTime* RunTimeTable::EntryFor(const std::string& requestClass, TimePoint now)
{
  const auto isOutdated = [&](const auto& item) {
    return now - item.second.newestAt > options_.sampleLifetime;
  };
  auto found = classes_.find(requestClass);
  if (found != classes_.end()) {
    if (isOutdated(*found)) {
      found->second = { .newestAt = now };
    }
    return &found->second;
  }
  if (classes_.size() >= options_.maxClasses) {
    std::erase_if(classes_, isOutdated);
  }
  if (classes_.size() >= options_.maxClasses) {
    return nullptr;
  }
  return &classes_.emplace(requestClass, ClassRunTime{ .newestAt = now }).first->second;
}

bool RunTimeTable::IsKnown(const ClassRunTime& entry, TimePoint now) const
{
  return entry.samples >= options_.minSamples && now - entry.newestAt <= options_.sampleLifetime;
}

std::optional<RunTimeEstimate> RunTimeTable::PresentRunTime(const std::string& requestClass,
                                                            TimePoint now) const
{
  const auto found = classes_.find(requestClass);
  if (found == classes_.end() || !IsKnown(found->second, now)) {
    return std::nullopt;
  }
  const ClassRunTime& entry = found->second;
  return RunTimeEstimate{ .runTime = ToDuration(entry.seconds * FactorAt(now)),
                          .age = std::max(now - entry.newestAt, Duration::zero()),
                          .samples = entry.samples };
}

std::map<std::string, RunTimeEstimate> RunTimeTable::PresentRunTimes(TimePoint now) const
{
  std::map<std::string, RunTimeEstimate> estimates;
  for (const auto& [requestClass, entry] : classes_) {
    estimates.emplace(requestClass, PresentRunTime(requestClass, now).value_or(RunTimeEstimate{}));
  }
  return estimates;
}

} // namespace acp
