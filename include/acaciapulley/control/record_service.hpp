#pragma once

/// @file
/// The record for the monthly review: collects the reports of nodes and answers operators.

#include <cstdint>  // int64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/control/control_hooks.hpp"   // RecordToStore
#include "acaciapulley/control/control_state.hpp"   // ControlState
#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/record/record_collector.hpp" // RecordCollector

namespace acp {

/// Collects node reports into hourly rows and renders reports. Thread-safe.
class RecordService
{
public:
  explicit RecordService(const Clock& clock);

  /// @brief Counts a node report, at most once; implements ControlHooks::acceptReport.
  /// @return the highest report number accepted for this epoch of the node
  std::int64_t Accept(const wire::SyncRequest& request);

  /// @brief Returns the rows of an hour that should be stored, at most about once a minute;
  /// implements ControlHooks::collectRecord.
  std::optional<RecordToStore> Collect(bool wasStored);

  /// @brief Answers `GET /v1/report`; implements ControlHooks::renderReport.
  /// @param query `format=text|json|gnuplot`, `from` and `to` in Unix milliseconds
  /// @return JSON text, or InvalidRequest
  ControlResult<std::string> RenderReport(const ControlState& state, const std::string& query);

private:
  /// Counts of one hour collected by this leader.
  struct Hour
  {
    std::vector<TimedRow> rows;
    std::vector<std::string> surges; ///< lines written by SerialiseSurge
    bool isDirty = false;
  };

  void TakeFinished(UnixMillis now);
  [[nodiscard]] static std::string SerialiseHour(const Hour& hour);

  const Clock& clock_;
  std::mutex mutex_;
  RecordCollector collector_;
  std::map<std::int64_t, Hour> hours_;      ///< by start of the hour in Unix milliseconds
  std::optional<std::int64_t> pendingHour_; ///< hour returned by the last Collect
  std::optional<TimePoint> lastCollectedAt_;
};

} // namespace acp
