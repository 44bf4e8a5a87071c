#include "acaciapulley/node/detail/stop_times.hpp"

#include <algorithm> // max, min
#include <chrono>    // floor, milliseconds
#include <string>    // to_string
#include <utility>   // exchange

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

// For the way of an upstream's answer back over two busy hops.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(300);
// Callers of this host move to another one, and a retry there costs them no wait.
constexpr Duration kStopRetryAfter = std::chrono::milliseconds(300);
// A nested call with less time than this could only be broken off by its upstream.
constexpr Duration kShortestRun = std::chrono::milliseconds(20);
// A repeatable request that does not end in time is repeated elsewhere. The outcome of another one
// would stay unknown, so that it is taken only with time to spare beyond its aimed latency.
constexpr int kUnrepeatableTargets = 2;

/// The time in which a request can be expected to end.
Duration ExpectedTime(const StopCandidate& candidate, Duration allowed)
{
  const RequestClass& requestClass = candidate.requestClass;
  if (candidate.source == RequestSource::OwnUpstream) {
    // A refusal would waste the work of the request in progress that makes the call.
    return requestClass.idempotent ? Duration::zero()
                                   : std::min(requestClass.targetLatency, allowed);
  }
  if (requestClass.targetLatency == Duration::zero()) {
    return allowed;
  }
  const int targets = requestClass.idempotent ? 1 : kUnrepeatableTargets;
  return std::min(targets * requestClass.targetLatency, allowed);
}

auto RefuseFor(RequestSource source)
{
  if (source == RequestSource::Peer) {
    return NotRunRefusal(503, Reason::Draining, "this node is stopping");
  }
  return NotRunRefusal(503, Reason::Stopping, "this node is stopping", kStopRetryAfter);
}

} // namespace

StopTimes::Entry::Entry(Entry&& other) noexcept
  : times_(std::exchange(other.times_, nullptr))
{
}

StopTimes::Entry::~Entry()
{
  if (times_ != nullptr) {
    times_->Leave();
  }
}

StopTimes::StopTimes(const Clock& clock)
  : clock_(clock)
{
}

void StopTimes::Begin(TimePoint endsAt)
{
  const std::lock_guard lock(mutex_);
  if (!endsAt_) {
    endsAt_ = endsAt;
  }
}

void StopTimes::Close()
{
  const std::lock_guard lock(mutex_);
  isClosed_ = true;
  Log(LogLevel::Info, "node_closing", { { "in_progress", std::to_string(inProgress_) } });
}

OrRefusal<StopTimes::Entry> StopTimes::Enter(const StopCandidate& candidate)
{
  auto fits = CheckSend(candidate);
  if (!fits) {
    return boost::outcome_v2::failure(fits.error());
  }
  if (candidate.source == RequestSource::OwnUpstream) {
    return Entry();
  }
  const std::lock_guard lock(mutex_);
  if (isClosed_) {
    return RefuseFor(candidate.source);
  }
  ++inProgress_;
  return Entry(this);
}

OrRefusal<void> StopTimes::CheckSend(const StopCandidate& candidate) const
{
  const auto left = LeftForUpstream();
  const Duration allowed =
    std::chrono::milliseconds(CountMillis(candidate.deadline) - CountMillis(clock_.WallNow()));
  const bool fits = !left || std::max(ExpectedTime(candidate, allowed), kShortestRun) <= *left;
  if (!fits) {
    return RefuseFor(candidate.source);
  }
  return boost::outcome_v2::success();
}

std::optional<Duration> StopTimes::LeftForUpstream() const
{
  const std::lock_guard lock(mutex_);
  return endsAt_ ? std::optional(*endsAt_ - kAnswerReserve - clock_.Now()) : std::nullopt;
}

UnixMillis StopTimes::Bound(UnixMillis deadline) const
{
  const auto left = LeftForUpstream();
  if (!left) {
    return deadline;
  }
  const auto millis = std::chrono::floor<std::chrono::milliseconds>(*left).count();
  return std::min(deadline, ToUnixMillis(CountMillis(clock_.WallNow()) + millis));
}

Duration StopTimes::Left() const
{
  const std::lock_guard lock(mutex_);
  return endsAt_ ? std::max(*endsAt_ - clock_.Now(), Duration::zero()) : Duration::zero();
}

void StopTimes::AwaitIdle()
{
  while (true) {
    const auto seen = left_.Count();
    {
      const std::lock_guard lock(mutex_);
      if (inProgress_ == 0) {
        return;
      }
    }
    const Duration left = Left();
    if (left == Duration::zero()) {
      return;
    }
    left_.WaitBeyond(seen, left);
  }
}

void StopTimes::Leave()
{
  const std::lock_guard lock(mutex_);
  --inProgress_;
  if (isClosed_) {
    left_.Notify();
  }
}

void StopListeners(StopTimes& stop, const std::vector<HttpServer*>& listeners)
{
  stop.Close();
  for (HttpServer* listener : listeners) {
    listener->BeginStop();
  }
  stop.AwaitIdle();
  for (HttpServer* listener : listeners) {
    listener->Stop(stop.Left());
  }
}

} // namespace acp::detail
