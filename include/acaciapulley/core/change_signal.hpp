#pragma once

/// @file
/// Change notification between threads and tasks.

#include <algorithm>  // min
#include <chrono>     // hours, steady_clock
#include <cstdint>    // uint64_t
#include <mutex>      // mutex
#include <stop_token> // stop_callback, stop_token
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"      // Duration
#include "acaciapulley/core/wait_point.hpp" // WaitPoint

namespace acp {

/// A change counter that threads and tasks can wait on.
///
/// @par Example
/// @code
/// const auto seen = signal.Count();
/// if (!HasChanges()) { signal.WaitForChange(seen, std::chrono::milliseconds(500)); }
/// @endcode
class ChangeSignal
{
public:
  /// @brief Increments the counter and wakes all waiters.
  void Notify()
  {
    const std::lock_guard lock(mutex_);
    ++count_;
    for (WaitPoint* waiter : waiters_) {
      waiter->Wake();
    }
  }

  /// @brief Returns the number of changes so far.
  [[nodiscard]] std::uint64_t Count() const
  {
    const std::lock_guard lock(mutex_);
    return count_;
  }

  /// @brief Waits at most @p maxWait until Count() exceeds @p lastCount.
  /// @param stop ends the wait early when a stop is requested
  /// @return whether Count() exceeds @p lastCount
  bool WaitForChange(std::uint64_t lastCount, Duration maxWait, const std::stop_token& stop = {})
  {
    const auto deadline = std::chrono::steady_clock::now() + std::min(maxWait, kMaxWait);
    WaitPoint changed;
    const std::stop_callback onStop(stop, [&changed] { changed.Wake(); });
    std::unique_lock lock(mutex_);
    waiters_.push_back(&changed);
    for (Duration left = maxWait;
         count_ <= lastCount && left > Duration::zero() && !stop.stop_requested();
         left = deadline - std::chrono::steady_clock::now()) {
      lock.unlock();
      changed.WaitFor(left);
      lock.lock();
    }
    std::erase(waiters_, &changed);
    return count_ > lastCount;
  }

private:
  // Prevents overflow of the deadline.
  static constexpr Duration kMaxWait = std::chrono::hours(24);

  mutable std::mutex mutex_;
  std::vector<WaitPoint*> waiters_;
  std::uint64_t count_ = 0;
};

} // namespace acp
