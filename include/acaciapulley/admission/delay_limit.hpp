#pragma once

/// @file
/// Limit on the requests in flight, based on the scheduling delay of a node's messages.

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Settings of DelayLimit.
struct DelayLimitOptions
{
  Duration period = std::chrono::milliseconds(50);      ///< time between two adjustments
  Duration targetDelay = std::chrono::milliseconds(20); ///< a mean delay above this means overload
};

/// Prevents requests from queueing for the node's CPU, where no gate controls them.
///
/// An upstream may have free slots while the node beside it lacks CPU time to process the messages
/// of the requests in flight and of their nested calls. The limit drops below the number of
/// requests in flight while messages wait longer than the target delay, and rises again when the
/// delay is well below the target.
///
/// Not thread-safe.
class DelayLimit
{
public:
  /// @param slots upper bound of the limit
  DelayLimit(DelayLimitOptions options, int slots, TimePoint now);

  /// @brief Sets the upper bound of the limit.
  void SetSlots(int slots);

  /// @brief Records the scheduling delay of a message: the time from ready to handled.
  /// @param inFlight number of requests in flight at the upstream
  void OnDelay(Duration delay, int inFlight, TimePoint now);

  /// @brief Returns the current limit, at least 1.
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
