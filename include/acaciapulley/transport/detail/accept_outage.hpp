#pragma once

/// @file
/// Tells a short shortage of descriptors or memory at a listener from one that lasts.

#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp::detail {

/// The accepts of one listener that have failed in a row. Not thread-safe.
class AcceptOutage
{
public:
  /// @brief Records a failed accept.
  /// @return the time since the first failure of the row
  Duration RecordFailure(TimePoint now);

  /// @brief Records an accepted connection, which ends the row.
  void RecordSuccess() { firstFailureAt_.reset(); }

  /// @brief Returns whether the last failure is the first of its row.
  [[nodiscard]] bool IsNew() const { return firstFailureAt_ == lastFailureAt_; }

private:
  std::optional<TimePoint> firstFailureAt_;
  std::optional<TimePoint> lastFailureAt_;
};

/// @brief Logs a failed accept, once for each row, and ends the process by EndFailedProcess() when
/// the row has lasted longer than @p limit; 0: no limit.
void HandleAcceptFailure(AcceptOutage& outage, const std::string& error, Duration limit);

} // namespace acp::detail
