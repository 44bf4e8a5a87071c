#pragma once

/// @file
/// Request counters of a node, and the reports in which they are sent to control.

#include <array>    // array
#include <cstddef>  // size_t
#include <cstdint>  // int64_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"        // Duration, UnixMillis
#include "acaciapulley/core/outcome.hpp"      // Reason
#include "acaciapulley/record/record_row.hpp" // RecordCounts, RecordKey

namespace acp {

/// Counts of one key within a report.
struct NodeReportRow
{
  RecordKey key;
  RecordCounts counts;
};

/// The counts of a node over a time interval.
struct NodeReport
{
  std::int64_t number = 0; ///< 1 for the first report in an epoch of the node
  UnixMillis from{};
  UnixMillis to{};
  std::vector<NodeReportRow> rows;
};

/// Request counters of a node. Thread-safe: counters are in shards, each under its own lock.
/// Memory: at most kMaxKeys keys, and one for each shard; further requests are counted under
/// kOtherAccount.
///
/// A report keeps its number and contents until control has accepted it, so that a resend after a
/// lost reply is recognised. Requests counted in the meantime are part of the next report.
///
/// @par Example
/// @code
/// counters.CountOffered(key);
/// counters.CountCompleted(key, latency);
/// const auto report = counters.CurrentReport(clock.WallNow());
/// counters.AcknowledgeReport(reply.acceptedReportNumber);
/// @endcode
class RecordCounters
{
public:
  static constexpr std::size_t kMaxKeys = 4096;
  static constexpr const char* kOtherAccount = "(other)";

  /// @param start wall-clock time at which counting begins
  explicit RecordCounters(UnixMillis start);

  /// @brief Counts the arrival of a request. Exactly one of the following calls must be made when
  /// the request ends.
  void CountOffered(const RecordKey& key);

  /// @brief Counts a request with a complete and successful response.
  void CountCompleted(const RecordKey& key, Duration latency);

  /// @brief Counts a request with an unknown outcome or an unsuccessful response.
  void CountFailed(const RecordKey& key);

  /// @brief Counts a refusal.
  /// @param withinRate whether a token was missing although the account was within its rate
  void CountRefused(const RecordKey& key, Reason reason, bool withinRate);

  /// @brief Returns the report to send: the last one until it is acknowledged, then a new one.
  [[nodiscard]] NodeReport CurrentReport(UnixMillis now);

  /// @brief Acknowledges the reports up to @p number, `acceptedReportNumber` of control's reply.
  void AcknowledgeReport(std::int64_t number);

private:
  struct Shard
  {
    std::mutex mutex;
    std::map<RecordKey, RecordCounts> counts;
  };

  template<typename Change>
  void Count(const RecordKey& key, const Change& change);

  static constexpr std::size_t kShards = 16;

  std::array<Shard, kShards> shards_;
  std::mutex reportMutex_; ///< guards the fields below; locked before Shard::mutex
  std::optional<NodeReport> pending_;
  std::int64_t lastNumber_ = 0;
  UnixMillis countedUntil_;
};

} // namespace acp
