#include "acaciapulley/admission/warmup_limit.hpp"

#include <algorithm> // max
#include <cmath>     // floor

namespace acp {

namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
// Bounds the memory; no upstream is given a higher rate while it is cold.
constexpr std::size_t kMaxCountedStarts = 100'000;
// Weight of the latest run in the mean run time.
constexpr double kRunTimeWeight = 0.1;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

WarmupLimit::WarmupLimit(TimePoint now)
  : fullUntil_(now + kWindow)
  , coldUntil_(now)
  , announcedAt_(now)
  , checkedAt_(now)
  , assumedAt_(now)
{
}

void WarmupLimit::Configure(const WarmupLimitOptions& options)
{
  options_ = options;
}

void WarmupLimit::ForgetOldStarts(TimePoint now)
{
  while (!starts_.empty() && now - starts_.front() >= kWindow) {
    starts_.pop_front();
  }
}

bool WarmupLimit::MayStart(TimePoint now)
{
  if (!IsCold(now)) {
    return true;
  }
  ForgetOldStarts(now);
  const double most = std::max(std::floor(options_.rate), 1.0);
  return now >= fullUntil_ && static_cast<double>(starts_.size()) < most;
}

bool WarmupLimit::TryStart(TimePoint now)
{
  if (!MayStart(now)) {
    return false;
  }
  ForgetOldStarts(now);
  if (starts_.size() == kMaxCountedStarts) {
    starts_.pop_front();
  }
  starts_.push_back(now);
  return true;
}

void WarmupLimit::Apply(const WarmupReport& report)
{
  const TimePoint until = report.receivedAt + report.left;
  const bool isCheck = report.source == ColdReason::HealthAnswer;
  const bool isLatestCheck = isCheck && report.askedAt >= checkedAt_;
  const bool mayShorten = isLatestCheck && report.askedAt >= announcedAt_;
  if (mayShorten || until > coldUntil_) {
    coldUntil_ = until;
    coldSource_ = report.source;
  }
  if (isLatestCheck) {
    checkedAt_ = report.askedAt;
    isAssumed_ = isAssumed_ && report.askedAt < assumedAt_;
  }
  if (!isCheck) {
    announcedAt_ = std::max(announcedAt_, report.receivedAt);
  }
}

void WarmupLimit::AssumeCold(TimePoint now)
{
  isAssumed_ = true;
  assumedAt_ = now;
  firstAnswerAt_.reset();
  lostInARow_ = 0;
}

void WarmupLimit::RecordAnswer(TimePoint startedAt, TimePoint now)
{
  lostInARow_ = 0;
  if (isAssumed_ && !firstAnswerAt_ && startedAt >= assumedAt_) {
    firstAnswerAt_ = now;
  }
}

bool WarmupLimit::RecordLoss(TimePoint now)
{
  if (++lostInARow_ < kLostForAssumption) {
    return false;
  }
  AssumeCold(now);
  return true;
}

void WarmupLimit::RecordRunTime(Duration runTime)
{
  const double weight = meanRunSeconds_ > 0 ? kRunTimeWeight : 1;
  meanRunSeconds_ += weight * (Seconds(runTime) - meanRunSeconds_);
}

bool WarmupLimit::IsAssumedAt(TimePoint now) const
{
  return isAssumed_ && (!firstAnswerAt_ || now < *firstAnswerAt_ + options_.warmupTime);
}

ColdReason WarmupLimit::ReasonAt(TimePoint now) const
{
  if (options_.rate <= 0) {
    return ColdReason::None;
  }
  if (IsAssumedAt(now)) {
    return ColdReason::Assumed;
  }
  return now < coldUntil_ ? coldSource_ : ColdReason::None;
}

TimePoint WarmupLimit::ColdUntil(TimePoint now) const
{
  if (!IsAssumedAt(now)) {
    return coldUntil_;
  }
  return std::max(coldUntil_, firstAnswerAt_.value_or(now) + options_.warmupTime);
}

std::optional<int> WarmupLimit::ConcurrencyAt(TimePoint now) const
{
  if (!IsCold(now)) {
    return std::nullopt;
  }
  return static_cast<int>(std::max(std::floor(options_.rate * meanRunSeconds_), 1.0));
}

} // namespace acp
