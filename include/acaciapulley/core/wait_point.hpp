#pragma once

/// @file
/// A wait of one request that others can end.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex

#include "acaciapulley/core/clock.hpp"      // Duration
#include "acaciapulley/core/event_loop.hpp" // EventLoop

namespace acp {

/// Where one waiter, a thread or a task of an EventLoop, sleeps until it is woken. A wake-up that
/// comes before the wait is kept.
///
/// Wake() takes no lock of the waiter's owner, so that a std::stop_callback may call it while its
/// own destruction waits for it.
///
/// @par Example
/// @code
/// acp::WaitPoint point;
/// const std::stop_callback onGone(callerGone, [&point] { point.Wake(); });
/// point.WaitFor(std::chrono::milliseconds(100));
/// @endcode
class WaitPoint
{
public:
  WaitPoint() = default;
  WaitPoint(const WaitPoint&) = delete;
  WaitPoint& operator=(const WaitPoint&) = delete;

  /// @brief Ends the wait, or the next one when nobody waits. May be called from any thread.
  void Wake();

  /// @brief Sleeps until woken, for at most @p maxWait.
  /// @return whether it was woken
  bool WaitFor(Duration maxWait);

private:
  bool WaitInTask(EventLoop& loop, Duration maxWait);

  std::mutex mutex_;
  std::condition_variable condition_;
  bool isWoken_ = false;
  EventLoop* loop_ = nullptr; ///< set while a task waits
  EventLoop::WaitId waitId_ = 0;
};

/// @brief Waits for @p span; in a task, without holding the thread.
void SleepFor(Duration span);

} // namespace acp
