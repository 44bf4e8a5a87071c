#pragma once

/// @file
/// The record of the monthly review at control: collects the nodes' reports and answers operators.

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

/// Calls may come from any thread.
class RecordService
{
public:
  explicit RecordService(const Clock& clock);

  /// @brief Counts a node's report once; the function for ControlHooks::acceptReport.
  /// @return the highest report number accepted of this start of the node
  std::int64_t Accept(const wire::SyncRequest& request);

  /// @brief Returns an hour's rows when they should be stored, at most about once a minute; the
  /// function for ControlHooks::collectRecord.
  std::optional<RecordToStore> Collect(bool wasStored);

  /// @brief Answers `GET /v1/report`; the function for ControlHooks::renderReport.
  /// @param query `format=text|json|gnuplot`, `from` and `to` in Unix milliseconds
  /// @return JSON text, or InvalidRequest
  ControlResult<std::string> RenderReport(const ControlState& state, const std::string& query);

private:
  /// What this leader has counted of one hour.
  struct Hour
  {
    std::vector<TimedRow> rows;
    std::vector<std::string> surges; ///< lines that SerialiseSurge wrote
    bool isDirty = false;
  };

  void TakeFinished(UnixMillis now);
  [[nodiscard]] static std::string SerialiseHour(const Hour& hour);

  const Clock& clock_;
  std::mutex mutex_;
  RecordCollector collector_;
  std::map<std::int64_t, Hour> hours_;      ///< by start in Unix milliseconds
  std::optional<std::int64_t> pendingHour_; ///< hour of the last Collect
  std::optional<TimePoint> lastCollectedAt_;
};

} // namespace acp
