#pragma once

/// @file
/// Admission of new work by the delay with which a node handles its messages.

#include <array>   // array
#include <cstddef> // size_t

#include "acaciapulley/admission/load_report.hpp" // kPriorityCount
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint

namespace acp {

/// Settings of IntakeLimit.
struct IntakeLimitOptions
{
  Duration period = std::chrono::milliseconds(50);      ///< time between two adjustments
  Duration targetDelay = std::chrono::milliseconds(20); ///< a longer mean delay means overload
  Duration memory = std::chrono::milliseconds(1000);    ///< time constant of the demand
  bool enabled = true; ///< false: admits everything (for comparison)
};

/// Bounds the caller requests that a node takes in while its processor is short.
///
/// A gate sees only its upstream's slots. When messages wait for the node's processor, requests
/// pass their deadlines before any gate meets them, and refusing a request at its entry costs far
/// less than the nested calls of one that will be late. The admitted part of the demand falls by a
/// factor while messages wait for longer than the target and rises step by step otherwise;
/// important priorities get theirs first.
///
/// Not thread-safe.
class IntakeLimit
{
public:
  IntakeLimit(IntakeLimitOptions options, TimePoint now);

  /// @brief Records how long a message that was ready waited until it was handled.
  void OnDelay(Duration delay, TimePoint now);

  /// @brief Returns whether a caller's request should be taken in; to be asked once for each.
  /// @par Example
  /// @code
  /// limit.OnDelay(timerLateness, clock.Now());
  /// if (!limit.Admits(requestClass.priority, clock.Now())) {
  ///   RefuseNotRun(exchange, 503, acp::Reason::Overloaded, "this node is overloaded");
  /// }
  /// @endcode
  [[nodiscard]] bool Admits(int priority, TimePoint now);

  /// @brief Returns the part of the whole demand that is admitted, 0 to 1.
  [[nodiscard]] double Part() const { return part_; }

private:
  struct Priority
  {
    double demand = 0.0; // decayed count
    double credit = 0.5; // admissions due, below 1
  };

  void Update(TimePoint now);
  [[nodiscard]] double ShareOf(std::size_t priority) const;

  IntakeLimitOptions options_;
  std::array<Priority, kPriorityCount> priorities_;
  double part_ = 1.0;
  Duration delaySum_{}; // since the last adjustment
  int delays_ = 0;
  TimePoint lastUpdate_;
};

} // namespace acp
