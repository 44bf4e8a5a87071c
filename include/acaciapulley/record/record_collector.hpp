#pragma once

/// @file
/// Collection of the nodes' reports at control.

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

/// Adds up reports by minute, and by second for surges. Not thread-safe.
///
/// Memory: the seconds of kSecondsKept for each service, and the minutes not yet taken. The last
/// report number is kept for each node; a new leader starts without them and with empty sums, so a
/// report is counted at most once in each leader's sums.
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

  /// A surge is stored this long after its trigger ended, recovered or not.
  static constexpr std::int64_t kSurgeSettleSeconds = 120;

  /// @brief Counts a report unless it was counted before.
  ///
  /// Counts are spread evenly over the report's span, which is about a second.
  /// @return the highest report number accepted of this start of the node
  std::int64_t Accept(const std::string& nodeId, std::int64_t epoch, const NodeReport& report);

  /// @brief Removes and returns the rows of minutes that ended at least @p delayMillis before @p
  /// now.
  ///
  /// Reports that arrive later for such a minute make a further row of it; MergeRows joins them.
  [[nodiscard]] std::vector<TimedRow> TakeFinishedMinutes(UnixMillis now,
                                                          std::int64_t delayMillis = 15'000);

  /// @brief Returns the surges whose trigger ended kSurgeSettleSeconds seconds ago, each of them
  /// once.
  [[nodiscard]] std::vector<ServiceSurge> TakeFinishedSurges(UnixMillis now);

  /// @brief Returns the rows of all minutes that were not taken.
  [[nodiscard]] std::vector<TimedRow> CurrentRows() const;

  /// @brief Returns the goodput series of the last kSecondsKept seconds by service.
  [[nodiscard]] std::map<std::string, GoodputSeries> GoodputByService() const;

private:
  struct LastReport
  {
    std::int64_t epoch = 0;
    std::int64_t number = 0;
  };

  /// Seconds without gaps.
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
