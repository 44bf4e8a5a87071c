#pragma once

/// @file
/// A wait of a thread or task that others can end.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex

#include "acaciapulley/core/clock.hpp"      // Duration
#include "acaciapulley/core/event_loop.hpp" // EventLoop

namespace acp {

/// Wake-up event for one waiter, a thread or a task of an EventLoop. A wake-up before the wait is
/// not lost.
///
/// Wake() acquires no lock of the waiter's owner. A std::stop_callback may therefore call it while
/// the owner destroys that callback under its own lock and waits for the call to return.
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

  /// @brief Ends the current wait, or the next one when there is none. May be called from any
  /// thread.
  void Wake();

  /// @brief Waits at most @p maxWait until woken.
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

/// @brief Sleeps for @p span. In a task, other tasks run meanwhile.
void SleepFor(Duration span);

} // namespace acp
