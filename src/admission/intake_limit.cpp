#include "acaciapulley/admission/intake_limit.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp

namespace acp {

namespace {

// Step down in each period with a delay above the target.
constexpr double kFallFactor = 0.9;
// Steps up in each quiet period, which take 1.9 s from the smallest part to 1 with periods of 50
// ms.
constexpr double kRiseFactor = 1.03;
constexpr double kRiseStep = 0.0125;
// A period is quiet when its mean delay is below this share of the target. In between the part
// stays, as requests that were let in cause messages for some time.
constexpr double kQuietShare = 0.25;
// Some requests always pass.
constexpr double kSmallestPart = 0.05;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

IntakeLimit::IntakeLimit(IntakeLimitOptions options, TimePoint now)
  : options_(options)
  , lastUpdate_(now)
{
}

void IntakeLimit::OnDelay(Duration delay, TimePoint now)
{
  delaySum_ += delay;
  ++delays_;
  Update(now);
}

void IntakeLimit::Update(TimePoint now)
{
  const Duration elapsed = now - lastUpdate_;
  if (elapsed < options_.period) {
    return;
  }
  lastUpdate_ = now;
  const double delay = delays_ > 0 ? Seconds(delaySum_) / delays_ : 0.0;
  const double target = Seconds(options_.targetDelay);
  delaySum_ = {};
  delays_ = 0;
  if (delay > target) {
    part_ = std::max(part_ * kFallFactor, kSmallestPart);
  }
  // Nothing was handled in the periods after the first, so these were quiet.
  auto quietPeriods = elapsed / options_.period - (delay < kQuietShare * target ? 0 : 1);
  for (; quietPeriods > 0 && part_ < 1.0; --quietPeriods) {
    part_ = std::min(part_ * kRiseFactor + kRiseStep, 1.0);
  }
  const double keep = std::exp(-Seconds(elapsed) / Seconds(options_.memory));
  for (Priority& priority : priorities_) {
    priority.demand *= keep;
  }
}

double IntakeLimit::ShareOf(std::size_t priority) const
{
  double whole = 0.0;
  double before = 0.0; // demand of more important priorities
  for (std::size_t i = 0; i < priorities_.size(); ++i) {
    before += i < priority ? priorities_[i].demand : 0.0;
    whole += priorities_[i].demand;
  }
  const double own = priorities_[priority].demand;
  return own > 0.0 ? std::clamp((part_ * whole - before) / own, 0.0, 1.0) : 1.0;
}

bool IntakeLimit::Admits(int priority, TimePoint now)
{
  Update(now);
  const auto index = static_cast<std::size_t>(std::clamp(priority, 0, kPriorityCount - 1));
  Priority& own = priorities_[index];
  own.demand += 1.0;
  if (!options_.enabled || part_ >= 1.0) {
    return true;
  }
  const double due = own.credit + ShareOf(index);
  const bool isAdmitted = due >= 1.0;
  own.credit = isAdmitted ? due - 1.0 : due;
  return isAdmitted;
}

} // namespace acp
