#pragma once

/// @file
/// Limit on the requests in flight by the delay with which a node handles its messages.

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Settings of DelayLimit.
struct DelayLimitOptions
{
  Duration period = std::chrono::milliseconds(50);      ///< time between two adjustments
  Duration targetDelay = std::chrono::milliseconds(20); ///< a longer mean delay means overload
};

/// Keeps a node's own processor from becoming a queue that no gate sees.
///
/// An upstream may have free slots while the node beside it has no time for the messages of the
/// requests in flight, among them the calls that these make. The limit falls below the requests in
/// flight while messages wait for longer than the target, and rises again when they hardly wait.
///
/// Not thread-safe.
class DelayLimit
{
public:
  /// @param slots upper bound of the limit
  DelayLimit(DelayLimitOptions options, int slots, TimePoint now);

  /// @brief Replaces the upper bound.
  void SetSlots(int slots);

  /// @brief Records how long a message that was ready waited until it was handled.
  /// @param inFlight requests that the upstream is working on
  void OnDelay(Duration delay, int inFlight, TimePoint now);

  /// @brief Returns the limit in force, at least 1.
  [[nodiscard]] int Current() const;

private:
  DelayLimitOptions options_;
  double slots_;
  double limit_;
  Duration delaySum_{}; // since the last adjustment
  int delays_ = 0;
  TimePoint lastUpdate_;
};

} // namespace acp
