#include "acaciapulley/core/wait_point.hpp"

#include <algorithm> // min
#include <utility>   // exchange

namespace acp {

namespace {

// Keeps deadlines within the range of the clock.
constexpr Duration kLongestWait = std::chrono::hours(24);

} // namespace

void WaitPoint::Wake()
{
  // Under the lock, since the waiter may destroy this object as soon as it has returned.
  const std::lock_guard lock(mutex_);
  isWoken_ = true;
  if (loop_ != nullptr) {
    loop_->Wake(wait_);
  } else {
    woken_.notify_one();
  }
}

bool WaitPoint::WaitFor(Duration longest)
{
  longest = std::min(longest, kLongestWait);
  if (EventLoop* loop = EventLoop::Current()) {
    return WaitInTask(*loop, longest);
  }
  std::unique_lock lock(mutex_);
  woken_.wait_for(lock, longest, [this] { return isWoken_; });
  return std::exchange(isWoken_, false);
}

bool WaitPoint::WaitInTask(EventLoop& loop, Duration longest)
{
  {
    const std::lock_guard lock(mutex_);
    if (std::exchange(isWoken_, false)) {
      return true;
    }
    wait_ = loop.NewWait();
    loop_ = &loop;
  }
  loop.Wait(wait_, std::chrono::steady_clock::now() + longest);
  const std::lock_guard lock(mutex_);
  loop_ = nullptr;
  return std::exchange(isWoken_, false);
}

void SleepFor(Duration span)
{
  WaitPoint().WaitFor(span);
}

} // namespace acp
