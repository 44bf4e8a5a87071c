#pragma once

/// @file
/// Wakes threads that wait for a change.

#include <chrono>             // nanoseconds
#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <mutex>              // mutex

#include "acaciapulley/core/clock.hpp" // Duration

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
  /// @brief Counts one change and wakes all waiting threads.
  void Notify()
  {
    {
      const std::lock_guard lock(mutex_);
      ++count_;
    }
    changed_.notify_all();
  }

  /// @brief Returns the number of changes so far.
  [[nodiscard]] std::uint64_t Count() const
  {
    const std::lock_guard lock(mutex_);
    return count_;
  }

  /// @brief Waits until more than @p seen changes were counted, for at most @p longest.
  /// @return whether there was a change
  bool WaitBeyond(std::uint64_t seen, Duration longest)
  {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, longest, [&] { return count_ > seen; });
  }

private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t count_ = 0;
};

} // namespace acp
