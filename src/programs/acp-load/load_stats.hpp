#pragma once

/// @file
/// Results of a load run, as seen by the callers.

#include <cstdint> // int64_t
#include <map>     // map
#include <mutex>   // mutex
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp" // Duration

/// Result of one request with its retries.
struct LoadResult
{
  std::string name;          ///< status, outcome and reason, or the name of the error
  bool isGood = false;       ///< complete response of the upstream with a status below 400
  bool isMismatched = false; ///< complete, but not the response to this request
};

/// Counts and latencies of a run. Calls may come from any thread.
class LoadStats
{
public:
  /// @param latency from the time at which the request was due to the end of its response
  void Record(const std::string& account, const LoadResult& result, acp::Duration latency);

  /// @brief Counts an attempt that was retried.
  void CountRetry();

  /// @brief Counts a request that could not be sent in time because all connections were in use.
  void CountLate();

  [[nodiscard]] std::int64_t MismatchedCount();

  /// @param span time from the first request to the last response
  [[nodiscard]] std::string ToText(acp::Duration span);
  [[nodiscard]] std::string ToJson(acp::Duration span);

private:
  struct AccountStats
  {
    std::int64_t good = 0;
    std::map<std::string, std::int64_t> countByResult;
    std::vector<acp::Duration> latencies; ///< of good requests
  };

  std::mutex mutex_;
  std::map<std::string, AccountStats> byAccount_;
  std::int64_t retries_ = 0;
  std::int64_t late_ = 0;
  std::int64_t mismatched_ = 0;
};
