#pragma once

/// @file
/// A wait of one request that others can end.

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <utility>            // exchange

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// Where one waiter sleeps until it is woken. A wake-up that comes before the wait is kept.
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
  void Wake()
  {
    // Under the lock, since the waiter may destroy this object as soon as it has returned.
    const std::lock_guard lock(mutex_);
    isWoken_ = true;
    woken_.notify_one();
  }

  /// @brief Sleeps until woken, for at most @p longest.
  /// @return whether it was woken
  bool WaitFor(Duration longest)
  {
    std::unique_lock lock(mutex_);
    woken_.wait_for(lock, longest, [this] { return isWoken_; });
    return std::exchange(isWoken_, false);
  }

private:
  std::mutex mutex_;
  std::condition_variable woken_;
  bool isWoken_ = false;
};

} // namespace acp
