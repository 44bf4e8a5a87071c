#include "acaciapulley/core/wait_point.hpp"

#include <algorithm> // min
#include <utility>   // exchange

namespace acp {

namespace {

// Prevents overflow of the deadline.
constexpr Duration kMaxWait = std::chrono::hours(24);

} // namespace

void WaitPoint::Wake()
{
  // Notifies under the lock, since the waiter may destroy this object as soon as its wait returns.
  const std::lock_guard lock(mutex_);
  isWoken_ = true;
  if (loop_ != nullptr) {
    loop_->Wake(waitId_);
  } else {
    condition_.notify_one();
  }
}

bool WaitPoint::WaitFor(Duration maxWait)
{
  maxWait = std::min(maxWait, kMaxWait);
  if (EventLoop* loop = EventLoop::Current()) {
    return WaitInTask(*loop, maxWait);
  }
  std::unique_lock lock(mutex_);
  condition_.wait_for(lock, maxWait, [this] { return isWoken_; });
  return std::exchange(isWoken_, false);
}

bool WaitPoint::WaitInTask(EventLoop& loop, Duration maxWait)
{
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(isWoken_, false)) {
      return true;
    }
    waitId_ = loop.NewWaitId();
    loop_ = &loop;
  }
  loop.Wait(waitId_, std::chrono::steady_clock::now() + maxWait);
  const std::lock_guard lock(mutex_);
  loop_ = nullptr;
  return std::exchange(isWoken_, false);
}

void SleepFor(Duration span)
{
  WaitPoint().WaitFor(span);
}

} // namespace acp
