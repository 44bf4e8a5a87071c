#pragma once

/// @file
/// Ejects members that fail repeatedly, and readmits them after a successful trial.

#include <cstddef> // size_t

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Construction options of an OutlierDetector.
struct OutlierDetectorOptions
{
  int failuresToEject = 5; ///< consecutive failures
  Duration baseEjectionTime = std::chrono::seconds(1);
  Duration maxEjectionTime = std::chrono::seconds(30);
};

/// Failures and ejections of one member.
///
/// A member is ejected after a number of consecutive failures. When its ejection ends, one trial
/// request decides: success readmits the member, failure ejects it for twice as long. The caller
/// decides whether an ejection is allowed, since at least half of a service's upstreams must stay
/// in use.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorOptions& options = {})
    : options_(options)
  {
  }

  /// @brief Records a success. A successful trial readmits the member.
  void OnSuccess();

  /// @brief Records a failure.
  /// @return true when the member should now be ejected
  [[nodiscard]] bool OnFailure(TimePoint now);

  /// @brief Ejects the member, for twice as long as the previous ejection.
  void Eject(TimePoint now);

  /// @brief Ends the ejection early, for when too few members remain.
  void Readmit();

  /// @brief Returns whether the member is ejected; also true during its trial.
  [[nodiscard]] bool IsEjected() const { return isEjected_; }

  /// @brief Returns whether one trial request may be sent now.
  [[nodiscard]] bool IsTrialDue(TimePoint now) const
  {
    return isEjected_ && !isTrialRunning_ && now >= ejectedUntil_;
  }

  /// @brief Records that the trial request was sent; no other is due until it ends.
  void BeginTrial() { isTrialRunning_ = true; }

  /// @brief Records that the trial ended without a result, for instance by cancellation.
  void CancelTrial() { isTrialRunning_ = false; }

  /// @brief Returns the end of the ejection.
  [[nodiscard]] TimePoint EjectedUntil() const { return ejectedUntil_; }

  /// @brief Returns the number of failures since the last success.
  [[nodiscard]] int ConsecutiveFailures() const { return failures_; }

  /// @brief Returns how many of @p members may be ejected at a time: at least half must remain.
  [[nodiscard]] static std::size_t MaxEjected(std::size_t members) { return members / 2; }

private:
  OutlierDetectorOptions options_;
  int failures_ = 0;
  int ejections_ = 0; ///< consecutive, without a success in between
  bool isEjected_ = false;
  bool isTrialRunning_ = false;
  TimePoint ejectedUntil_;
};

} // namespace acp
