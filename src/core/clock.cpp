#include "acaciapulley/core/clock.hpp"

#include <ctime> // clock_gettime

namespace acp {

namespace {

// Above zero, so that tests can subtract from the initial time.
constexpr std::int64_t kManualClockStartNanos = 1'000'000'000'000;
constexpr std::int64_t kNanosPerMilli = 1'000'000;

} // namespace

TimePoint SystemClock::Now() const
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

UnixMillis SystemClock::WallNow() const
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return ToUnixMillis(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

ManualClock::ManualClock(UnixMillis wallStart)
  : nanos_(kManualClockStartNanos)
  , wallMillis_(CountMillis(wallStart))
  , wallRemainderNanos_(0)
{
}

TimePoint ManualClock::Now() const
{
  return TimePoint(Duration(nanos_.load()));
}

UnixMillis ManualClock::WallNow() const
{
  return ToUnixMillis(wallMillis_.load());
}

void ManualClock::Advance(Duration span)
{
  nanos_ += span.count();
  const std::int64_t total = wallRemainderNanos_.load() + span.count();
  wallMillis_ += total / kNanosPerMilli;
  wallRemainderNanos_ = total % kNanosPerMilli;
}

void ManualClock::StepWall(std::chrono::milliseconds span)
{
  wallMillis_ += span.count();
}

} // namespace acp
