#pragma once

/// @file
/// Discrete-event queue with a simulated clock.

#include <cstdint>    // uint64_t
#include <functional> // function
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp" // Duration, ManualClock, TimePoint

namespace bench {

/// Runs callbacks in order of time; callbacks with equal times run in the order of insertion.
class EventQueue
{
public:
  /// @brief Schedules @p action to run after @p delay.
  void After(acp::Duration delay, std::function<void()> action)
  {
    events_.push({ .at = Now() + delay, .order = ++order_, .action = std::move(action) });
  }

  /// @brief Runs all events up to and including @p end, then advances the clock to @p end.
  void RunUntil(acp::TimePoint end)
  {
    while (!events_.empty() && events_.top().at <= end) {
      // top() is const to protect the ordering key; the action is not part of the key.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      clock_.Advance(event.at - Now());
      event.action();
    }
    clock_.Advance(end - Now());
  }

  [[nodiscard]] acp::TimePoint Now() const { return clock_.Now(); }
  [[nodiscard]] acp::UnixMillis WallNow() const { return clock_.WallNow(); }

private:
  struct Event
  {
    acp::TimePoint at;
    std::uint64_t order;
    std::function<void()> action;

    bool operator<(const Event& other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  acp::ManualClock clock_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

} // namespace bench
