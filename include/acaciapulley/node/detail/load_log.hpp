#pragma once

/// @file
/// Logs the load of each second in which a node refused or failed a request.

#include <cstdint>          // uint64_t
#include <functional>       // function
#include <initializer_list> // initializer_list
#include <map>              // map
#include <memory>           // shared_ptr
#include <mutex>            // mutex
#include <string>           // string

#include "acaciapulley/core/clock.hpp"                  // Clock
#include "acaciapulley/core/log.hpp"                    // LogField
#include "acaciapulley/node/blocking_gate.hpp"          // GateStats, TimedCount
#include "acaciapulley/node/request_pipeline.hpp"       // CompletedRequest
#include "acaciapulley/transport/connection_counts.hpp" // ConnectionCounts
#include "acaciapulley/transport/request_end.hpp"       // RequestEnd

namespace acp::detail {

/// Construction options of a LoadLog. What is pointed to outlives it.
struct LoadLogOptions
{
  const Clock* clock = nullptr;
  std::function<std::string()> service; ///< of the local upstream; empty when there is none
  std::function<GateStats()> gate;
  std::shared_ptr<const ConnectionCounts> upstreamConnections;
  std::shared_ptr<const ConnectionCounts> peerConnections;
  std::function<void(std::initializer_list<LogField>)> write;
};

/// Counts completed requests by their result and logs the counts since the previous line, with
/// those of the gate and of the connections. No line is written while all requests succeed.
///
/// Calls may come from any thread.
class LoadLog
{
public:
  explicit LoadLog(LoadLogOptions options);

  /// @brief Counts a completed request of the ingress.
  void RecordCompleted(const CompletedRequest& completed);

  /// @brief Counts a request of any listener by how it ended.
  void RecordEnd(RequestEnd end);

  /// @brief Once a second has passed, writes a line if a request was refused or failed in it, and
  /// begins the next interval.
  void WriteIfDue();

private:
  /// Completed requests by `answered`, `upstream_error` or the reason of their failure.
  using CompletionCounts = std::map<std::string, TimedCount>;

  /// Counts at the start of the interval; a line holds the differences to them.
  struct PreviousCounts
  {
    GateCounts gate;
    std::map<ConnectionEvent, std::uint64_t> upstreamConnections;
    std::map<ConnectionEvent, std::uint64_t> peerConnections;
  };

  void WriteLine(const GateStats& gate, Duration span);
  [[nodiscard]] bool HasFailures(const GateCounts& gate) const;

  LoadLogOptions options_;
  std::mutex mutex_;
  TimePoint writtenAt_;
  CompletionCounts withAccount_;
  CompletionCounts withoutAccount_;
  std::map<RequestEnd, std::uint64_t> unanswered_;
  PreviousCounts previous_;
};

} // namespace acp::detail
