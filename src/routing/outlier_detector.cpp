#include "acaciapulley/routing/outlier_detector.hpp"

#include <algorithm> // min

namespace acp {

namespace {

// Bounds the shift below; with the default options maxEjectionTime applies well before.
constexpr int kMaxDoublings = 16;

} // namespace

void OutlierDetector::OnSuccess()
{
  failures_ = 0;
  if (isTrialRunning_ || !isEjected_) {
    ejections_ = 0;
    isEjected_ = false;
    isTrialRunning_ = false;
  }
}

bool OutlierDetector::OnFailure(TimePoint now)
{
  ++failures_;
  if (isTrialRunning_) {
    Eject(now);
    return false;
  }
  return !isEjected_ && failures_ >= options_.failuresToEject;
}

void OutlierDetector::Eject(TimePoint now)
{
  const int doublings = std::min(ejections_, kMaxDoublings);
  const Duration span = options_.baseEjectionTime * (std::int64_t{ 1 } << doublings);
  ejectedUntil_ = now + std::min(span, options_.maxEjectionTime);
  ++ejections_;
  isEjected_ = true;
  isTrialRunning_ = false;
}

void OutlierDetector::Readmit()
{
  isEjected_ = false;
  isTrialRunning_ = false;
  failures_ = 0;
}

} // namespace acp
