#pragma once

/// @file
/// Aggregation of node reports at control.

#include <cstdint> // int64_t
#include <deque>   // deque
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp"             // UnixMillis
#include "acaciapulley/record/record_counters.hpp" // NodeReport
#include "acaciapulley/record/record_row.hpp"      // TimedRow
#include "acaciapulley/record/surge_detector.hpp"  // GoodputSeries

namespace acp {

/// Aggregates reports by minute, and by second for surge detection. Not thread-safe.
///
/// Memory: kSecondsKept seconds for each service, and the minutes that have not been taken. The
/// last report number of each node is kept. A new leader starts with neither numbers nor counts, so
/// a report is counted at most once in the counts of each leader.
///
/// @par Example
/// @code
/// reply.acceptedReportNumber = collector.Accept(nodeId, epoch, report);
/// for (const auto& row : collector.TakeFinishedMinutes(clock.WallNow())) { Propose(row); }
/// @endcode
class RecordCollector
{
public:
  static constexpr std::int64_t kSecondsKept = 7200;
  static constexpr std::int64_t kMinuteMillis = 60'000;

  /// Time after the end of its trigger at which a surge is stored, recovered or not.
  static constexpr std::int64_t kSurgeSettleSeconds = 120;

  /// @brief Counts a report unless it has been counted already.
  ///
  /// Counts are distributed evenly over the interval of the report, which is about a second.
  /// @return the highest report number accepted in this epoch of the node
  std::int64_t Accept(const std::string& nodeId, std::int64_t epoch, const NodeReport& report);

  /// @brief Removes and returns the rows of minutes that ended at least @p delayMillis before @p
  /// now.
  ///
  /// Reports of such a minute that arrive later result in additional rows; MergeRows combines them.
  [[nodiscard]] std::vector<TimedRow> TakeFinishedMinutes(UnixMillis now,
                                                          std::int64_t delayMillis = 15'000);

  /// @brief Returns the surges whose trigger ended at least kSurgeSettleSeconds ago, each surge
  /// once.
  [[nodiscard]] std::vector<ServiceSurge> TakeFinishedSurges(UnixMillis now);

  /// @brief Returns the rows of all minutes that have not been taken.
  [[nodiscard]] std::vector<TimedRow> CurrentRows() const;

  /// @brief Returns the goodput series of the last kSecondsKept seconds by service.
  [[nodiscard]] std::map<std::string, GoodputSeries> GoodputByService() const;

private:
  struct LastReport
  {
    std::int64_t epoch = 0;
    std::int64_t number = 0;
  };

  /// Contiguous seconds.
  struct Seconds
  {
    std::int64_t first = 0;
    std::deque<SecondCounts> counts;
  };

  void AddToSeconds(const NodeReport& report, const NodeReportRow& row);
  static SecondCounts* FindOrAddSecond(Seconds& seconds, std::int64_t second);

  std::map<std::string, LastReport> lastReports_;
  std::map<std::int64_t, std::map<RecordKey, RecordCounts>> minutes_; ///< by minute since the epoch
  std::map<std::string, Seconds> seconds_;
  std::map<std::string, std::int64_t> surgesTakenUntil_; ///< Unix ms, by service
};

} // namespace acp
