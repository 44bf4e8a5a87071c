#include "acaciapulley/node/detail/graceful_stop.hpp"

#include <algorithm> // max, min
#include <chrono>    // floor, milliseconds
#include <string>    // to_string
#include <utility>   // exchange

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

// Time for an upstream's response to travel back over two busy hops.
constexpr Duration kResponseReserve = std::chrono::milliseconds(300);
// Callers move to another host, where the retry does not have to wait.
constexpr Duration kStopRetryAfter = std::chrono::milliseconds(300);
// A nested call with less time than this could only be aborted by its upstream.
constexpr Duration kMinRunTime = std::chrono::milliseconds(20);
// A non-idempotent request is admitted only if time for this many target latencies remains, since
// its outcome would stay unknown if it did not complete in time. An idempotent request is then
// retried elsewhere.
constexpr int kNonIdempotentTargets = 2;

/// Returns the time within which a request is expected to complete.
Duration ExpectedTime(const RequestProfile& profile, Duration allowed)
{
  const RequestClass& requestClass = profile.requestClass;
  if (profile.source == RequestSource::LocalUpstream) {
    // A refusal would waste the work done for the request that makes the call.
    return requestClass.idempotent ? Duration::zero()
                                   : std::min(requestClass.targetLatency, allowed);
  }
  if (requestClass.targetLatency == Duration::zero()) {
    return allowed;
  }
  const int targets = requestClass.idempotent ? 1 : kNonIdempotentTargets;
  return std::min(targets * requestClass.targetLatency, allowed);
}

auto StoppingRefusal(RequestSource source)
{
  if (source == RequestSource::Peer) {
    return NotRunRefusal(503, Reason::Draining, "this node is stopping");
  }
  return NotRunRefusal(503, Reason::Stopping, "this node is stopping", kStopRetryAfter);
}

} // namespace

GracefulStop::InFlightRequest::InFlightRequest(InFlightRequest&& other) noexcept
  : stop_(std::exchange(other.stop_, nullptr))
{
}

GracefulStop::InFlightRequest::~InFlightRequest()
{
  if (stop_ != nullptr) {
    stop_->RecordEnd();
  }
}

GracefulStop::GracefulStop(const Clock& clock)
  : clock_(clock)
{
}

void GracefulStop::Begin(TimePoint endsAt)
{
  const std::lock_guard lock(mutex_);
  if (!endsAt_) {
    endsAt_ = endsAt;
  }
}

void GracefulStop::Close()
{
  const std::lock_guard lock(mutex_);
  isClosed_ = true;
  Log(LogLevel::Info, "node_closing", { { "in_progress", std::to_string(inProgress_) } });
}

OrRefusal<GracefulStop::InFlightRequest> GracefulStop::Admit(const RequestProfile& profile)
{
  auto canFinish = CheckSend(profile);
  if (!canFinish) {
    return boost::outcome_v2::failure(canFinish.error());
  }
  if (profile.source == RequestSource::LocalUpstream) {
    return InFlightRequest();
  }
  const std::lock_guard lock(mutex_);
  if (isClosed_) {
    return StoppingRefusal(profile.source);
  }
  ++inProgress_;
  return InFlightRequest(this);
}

OrRefusal<void> GracefulStop::CheckSend(const RequestProfile& profile) const
{
  const auto remaining = RemainingTimeForUpstream();
  const Duration allowed =
    std::chrono::milliseconds(CountMillis(profile.deadline) - CountMillis(clock_.WallNow()));
  const bool canFinish =
    !remaining || std::max(ExpectedTime(profile, allowed), kMinRunTime) <= *remaining;
  if (!canFinish) {
    return StoppingRefusal(profile.source);
  }
  return boost::outcome_v2::success();
}

std::optional<Duration> GracefulStop::RemainingTimeForUpstream() const
{
  const std::lock_guard lock(mutex_);
  return endsAt_ ? std::optional(*endsAt_ - kResponseReserve - clock_.Now()) : std::nullopt;
}

UnixMillis GracefulStop::BoundDeadline(UnixMillis deadline) const
{
  const auto remaining = RemainingTimeForUpstream();
  if (!remaining) {
    return deadline;
  }
  const auto millis = std::chrono::floor<std::chrono::milliseconds>(*remaining).count();
  return std::min(deadline, ToUnixMillis(CountMillis(clock_.WallNow()) + millis));
}

Duration GracefulStop::RemainingTime() const
{
  const std::lock_guard lock(mutex_);
  return endsAt_ ? std::max(*endsAt_ - clock_.Now(), Duration::zero()) : Duration::zero();
}

void GracefulStop::AwaitIdle()
{
  while (true) {
    const auto seen = requestEnded_.Count();
    {
      const std::lock_guard lock(mutex_);
      if (inProgress_ == 0) {
        return;
      }
    }
    const Duration remaining = RemainingTime();
    if (remaining == Duration::zero()) {
      return;
    }
    requestEnded_.WaitForChange(seen, remaining);
  }
}

void GracefulStop::RecordEnd()
{
  const std::lock_guard lock(mutex_);
  --inProgress_;
  if (isClosed_) {
    requestEnded_.Notify();
  }
}

void StopListeners(GracefulStop& stop, const std::vector<HttpServer*>& listeners)
{
  stop.Close();
  for (HttpServer* listener : listeners) {
    listener->BeginStop();
  }
  stop.AwaitIdle();
  for (HttpServer* listener : listeners) {
    listener->Stop(stop.RemainingTime());
  }
}

} // namespace acp::detail
