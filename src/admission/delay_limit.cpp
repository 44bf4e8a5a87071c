#include "acaciapulley/admission/delay_limit.hpp"

#include <algorithm> // max, min

namespace acp {

namespace {

// In each period with a delay above the target, the limit drops to kFallFactor times the requests
// in flight, or times kMaxFall of the limit if that is more, so that one slow period does not
// collapse the limit of an idle node.
constexpr double kFallFactor = 0.9;
constexpr double kMaxFall = 0.5;
// A single message counts as at most this many times the target, so that a pause of the whole
// process is not taken for a lasting CPU shortage.
constexpr int kMaxDelayTargets = 10;
// In each quiet period the limit grows by kRiseFactor plus kRiseStep of the slots, which takes 1.9
// s from 1 to all slots with a period of 50 ms.
constexpr double kRiseFactor = 1.03;
constexpr double kRiseStep = 0.015;
// A period is quiet if its mean delay is below this share of the target. Between that and the
// target the limit stays unchanged, because requests in flight keep causing messages for some time.
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
    // No message was handled in the periods after the first one, so they count as quiet except for
    // those in which the current message was waiting.
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
