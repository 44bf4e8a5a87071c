#pragma once

/// @file
/// Counting at the node, and reports that control counts once.

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

/// One key's counters within a report.
struct NodeReportRow
{
  RecordKey key;
  RecordCounts counts;
};

/// What a node counted between two moments.
struct NodeReport
{
  std::int64_t number = 0; ///< 1 for the first report of this start of the node
  UnixMillis from{};
  UnixMillis to{};
  std::vector<NodeReportRow> rows;
};

/// Counters of a node. All calls may come from any thread: state is in shards, each under its own
/// lock. Memory: at most kMaxKeys keys; beyond that requests count under kOtherAccount.
///
/// A report keeps its number and content until control has accepted it, so a resend after a lost
/// answer is recognised. What is counted meanwhile goes into the next report.
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

  /// @param start wall time from which this node counts
  explicit RecordCounters(UnixMillis start);

  /// @brief Counts the arrival of a request. Each request ends with exactly one of the calls below.
  void CountOffered(const RecordKey& key);

  /// @brief Counts a whole response.
  void CountCompleted(const RecordKey& key, Duration latency);

  /// @brief Counts an unknown outcome, or a response that is not a success.
  void CountFailed(const RecordKey& key);

  /// @brief Counts a refusal.
  /// @param withinRate the refusal was for lack of a token although the account was within its rate
  void CountRefused(const RecordKey& key, Reason reason, bool withinRate);

  /// @brief Returns the report to send now: the last one while it is not accepted, else a new one.
  [[nodiscard]] NodeReport CurrentReport(UnixMillis now);

  /// @brief Notes control's `acceptedReportNumber`.
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
  std::mutex reportMutex_; ///< guards the fields below; taken before a shard's lock
  std::optional<NodeReport> pending_;
  std::int64_t lastNumber_ = 0;
  UnixMillis countedUntil_;
};

} // namespace acp
