#pragma once

/// @file
/// A log line for each second in which a node refused or failed a request.

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

namespace acp::detail {

/// What a LoadLog reads and where it writes; what is pointed to outlives it.
struct LoadLogOptions
{
  const Clock* clock = nullptr;
  std::function<std::string()> service; ///< of the local upstream; empty when there is none
  std::function<GateStats()> gate;
  std::shared_ptr<const ConnectionCounts> upstreamConnections;
  std::shared_ptr<const ConnectionCounts> peerConnections;
  std::function<void(std::initializer_list<LogField>)> write;
};

/// Counts how requests end and writes the figures since the line before, with those of the gate and
/// of the connections. No line is written while all requests are answered.
///
/// Calls may come from any thread.
class LoadLog
{
public:
  explicit LoadLog(LoadLogOptions options);

  /// @brief Counts a request of the ingress.
  void RecordCompleted(const CompletedRequest& completed);

  /// @brief Writes a line if the last one is a second old and anything was refused or failed since.
  void WriteIfDue();

private:
  /// How requests ended, by `answered`, `upstream_error` or the reason of their failure.
  using CompletionCounts = std::map<std::string, TimedCount>;

  /// The figures of the line before, to which those of the next one are relative.
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
  PreviousCounts previous_;
};

} // namespace acp::detail
