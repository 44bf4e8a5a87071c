#pragma once

/// @file
/// Counts of one service, request class and client account over a span of time.

#include <compare> // operator<=>
#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp"               // UnixMillis
#include "acaciapulley/core/outcome.hpp"             // Reason
#include "acaciapulley/record/latency_histogram.hpp" // LatencyHistogram
#include "acaciapulley/record/record_error.hpp"      // RecordResult

namespace acp {

/// Identifies the requests that are counted together.
struct RecordKey
{
  std::string service;
  std::string requestClass;
  std::string account; ///< empty on open routes

  auto operator<=>(const RecordKey&) const = default;
};

/// Numbers of requests. Once all have ended, offered = completed + failed + all refusals.
struct RecordCounts
{
  std::int64_t offered = 0;
  std::int64_t completed = 0; ///< complete responses with a status below 500
  std::int64_t failed = 0;    ///< other responses and unknown outcomes
  std::map<Reason, std::int64_t> refused;
  std::int64_t refusedWithinRate = 0; ///< rate refusals of accounts that were within their rate
  LatencyHistogram latency;           ///< of completed requests

  /// @brief Adds the counts of @p other.
  void Merge(const RecordCounts& other);

  /// @brief Returns the number of refusals for all reasons.
  [[nodiscard]] std::int64_t Refused() const;

  bool operator==(const RecordCounts&) const = default;
};

/// Counts of one key within [start, start + spanMillis).
struct TimedRow
{
  UnixMillis start{};
  std::int64_t spanMillis = 0;
  RecordKey key;
  RecordCounts counts;

  bool operator==(const TimedRow&) const = default;
};

/// @brief Returns @p row as one line of tab-separated fields without a line terminator.
///
/// Fields: `row1`, start, span, service, class, account, offered, completed, failed, refused within
/// rate, refusals as `reason=count,...`, latency counts as `bucket=count,...`. Zero counts in these
/// two lists are omitted. Names cannot contain a tab; config rejects them.
[[nodiscard]] std::string SerialiseRow(const TimedRow& row);

/// @brief Parses a line written by SerialiseRow.
/// @return the row, or MalformedRow
/// @par Example
/// @code
/// const auto row = acp::DeserialiseRow(line);
/// @endcode
[[nodiscard]] RecordResult<TimedRow> DeserialiseRow(const std::string& line);

/// @brief Combines rows of the same key within the same span.
/// @param spanMillis length of the new spans, which start at multiples of it
/// @return rows ordered by start and key; a row is assigned to the span that contains its start
/// @par Complexity
/// O(n log n).
[[nodiscard]] std::vector<TimedRow> MergeRows(const std::vector<TimedRow>& rows,
                                              std::int64_t spanMillis);

} // namespace acp
