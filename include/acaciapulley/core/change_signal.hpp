#pragma once

/// @file
/// Wakes those who wait for a change.

#include <algorithm>  // min
#include <chrono>     // hours, steady_clock
#include <cstdint>    // uint64_t
#include <mutex>      // mutex
#include <stop_token> // stop_callback, stop_token
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"      // Duration
#include "acaciapulley/core/wait_point.hpp" // WaitPoint

namespace acp {

/// Counts changes and wakes those who wait for the next one.
///
/// @par Example
/// @code
/// const auto seen = signal.Count();
/// if (!HasNews()) { signal.WaitBeyond(seen, std::chrono::milliseconds(500)); }
/// @endcode
class ChangeSignal
{
public:
  /// @brief Counts one change and wakes all who wait.
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

  /// @brief Waits until more than @p seen changes were counted, for at most @p longest.
  /// @param ended ends the wait when it is stopped
  /// @return whether there was a change
  bool WaitBeyond(std::uint64_t seen, Duration longest, const std::stop_token& ended = {})
  {
    const auto giveUpAt = std::chrono::steady_clock::now() + std::min(longest, kLongest);
    WaitPoint changed;
    const std::stop_callback onEnded(ended, [&changed] { changed.Wake(); });
    std::unique_lock lock(mutex_);
    waiters_.push_back(&changed);
    for (Duration left = longest;
         count_ <= seen && left > Duration::zero() && !ended.stop_requested();
         left = giveUpAt - std::chrono::steady_clock::now()) {
      lock.unlock();
      changed.WaitFor(left);
      lock.lock();
    }
    std::erase(waiters_, &changed);
    return count_ > seen;
  }

private:
  // Keeps deadlines within the range of the clock.
  static constexpr Duration kLongest = std::chrono::hours(24);

  mutable std::mutex mutex_;
  std::vector<WaitPoint*> waiters_;
  std::uint64_t count_ = 0;
};

} // namespace acp
