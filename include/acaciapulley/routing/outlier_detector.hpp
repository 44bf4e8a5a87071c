#pragma once

/// @file
/// Takes members that fail again and again out of use, and tries them again later.

#include <cstddef> // size_t

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Construction options of an OutlierDetector.
struct OutlierDetectorOptions
{
  int failuresToEject = 5; ///< in a row
  Duration baseEjectionTime = std::chrono::seconds(1);
  Duration maxEjectionTime = std::chrono::seconds(30);
};

/// Failure record of one member.
///
/// A member is ejected after a number of failures in a row. When its ejection ends, one trial
/// request decides: success readmits it, failure ejects it for twice as long. Whether an ejection
/// is allowed (at least half of a service's upstreams stay) is the caller's decision.
class OutlierDetector
{
public:
  explicit OutlierDetector(const OutlierDetectorOptions& options = {})
    : options_(options)
  {
  }

  /// @brief Notes a success. A trial that succeeds readmits the member.
  void OnSuccess();

  /// @brief Notes a failure.
  /// @return true when the member should now be ejected
  [[nodiscard]] bool OnFailure(TimePoint now);

  /// @brief Ejects the member, for twice as long as the last time.
  void Eject(TimePoint now);

  /// @brief Ends the ejection, because too few members are left.
  void Readmit();

  /// @brief Returns whether the member is ejected; true also during its trial.
  [[nodiscard]] bool IsEjected() const { return isEjected_; }

  /// @brief Returns whether one trial request may be sent now.
  [[nodiscard]] bool IsTrialDue(TimePoint now) const
  {
    return isEjected_ && !isTrialRunning_ && now >= ejectedUntil_;
  }

  /// @brief Notes that the trial request was sent; no other follows until it ends.
  void BeginTrial() { isTrialRunning_ = true; }

  /// @brief Notes that the trial ended without a verdict, for instance because it was cancelled.
  void CancelTrial() { isTrialRunning_ = false; }

  /// @brief Returns the end of the ejection.
  [[nodiscard]] TimePoint EjectedUntil() const { return ejectedUntil_; }

  /// @brief Returns the number of failures since the last success.
  [[nodiscard]] int ConsecutiveFailures() const { return failures_; }

  /// @brief Returns how many of @p members may be ejected at once: at least half must stay.
  [[nodiscard]] static std::size_t MaxEjected(std::size_t members) { return members / 2; }

private:
  OutlierDetectorOptions options_;
  int failures_ = 0;
  int ejections_ = 0; ///< in a row, without a success between them
  bool isEjected_ = false;
  bool isTrialRunning_ = false;
  TimePoint ejectedUntil_;
};

} // namespace acp
