#include "acaciapulley/admission/delay_limit.hpp"

#include <algorithm> // max, min

namespace acp {

namespace {

// Step down in each period with a delay above the target, from the requests in flight or, where
// these are few, from this part of the limit, so that one late period does not close an idle node.
constexpr double kFallFactor = 0.9;
constexpr double kMaxFall = 0.5;
// One message counts at most this many times the target, so that a pause of the whole process is
// not taken for a lasting shortage.
constexpr int kMaxDelayTargets = 10;
// Steps up in each quiet period, the second in parts of the slots. They lead from 1 to all slots in
// 1.9 s with periods of 50 ms.
constexpr double kRiseFactor = 1.03;
constexpr double kRiseStep = 0.015;
// A period is quiet when its mean delay is below this share of the target. In between the limit
// stays, as requests in flight cause messages for some time.
constexpr double kQuietShare = 0.25;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

DelayLimit::DelayLimit(DelayLimitOptions options, int slots, TimePoint now)
  : options_(options)
  , slots_(std::max(1, slots))
  , limit_(slots_)
  , lastUpdate_(now)
{
}

void DelayLimit::SetSlots(int slots)
{
  const bool wasOpen = limit_ >= slots_;
  slots_ = std::max(1, slots);
  limit_ = wasOpen ? slots_ : std::min(limit_, slots_);
}

void DelayLimit::OnDelay(Duration delay, int inFlight, TimePoint now)
{
  const auto periods = (now - lastUpdate_) / options_.period;
  if (periods > 0) {
    lastUpdate_ = now;
    const double mean = delays_ > 0 ? Seconds(delaySum_) / delays_ : 0.0;
    const double target = Seconds(options_.targetDelay);
    delaySum_ = {};
    delays_ = 0;
    if (mean > target) {
      const double busy = std::min<double>(limit_, inFlight);
      limit_ = std::max(1.0, std::max(busy, limit_ * kMaxFall) * kFallFactor);
    }
    // Nothing was handled in the periods after the first, so these were quiet but for those in
    // which the present message was waiting.
    auto quietPeriods = periods - (mean < kQuietShare * target ? 0 : 1) - delay / options_.period;
    for (; quietPeriods > 0 && limit_ < slots_; --quietPeriods) {
      limit_ = std::min(limit_ * kRiseFactor + kRiseStep * slots_, slots_);
    }
  }
  delaySum_ += std::min<Duration>(delay, kMaxDelayTargets * options_.targetDelay);
  ++delays_;
}

int DelayLimit::Current() const
{
  return static_cast<int>(limit_);
}

} // namespace acp
