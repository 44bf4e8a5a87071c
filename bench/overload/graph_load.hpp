#pragma once

/// @file
/// Load of callers on a graph of services during a surge, and the metrics of one run.

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "graph_model.hpp" // Graph, GraphPolicy

namespace bench {

/// A surge of all callers; for a part of it some callers retry immediately.
struct GraphScenario
{
  std::string name;
  Graph graph;
  double surge = 1.7;
  acp::Duration warmUp = std::chrono::seconds(5);
  acp::Duration surgeDuration = std::chrono::seconds(18);
  acp::Duration recoveryPeriod = std::chrono::seconds(10);
  acp::Duration aggressiveFrom = std::chrono::seconds(5); ///< time since the start of the surge
  acp::Duration aggressiveUntil = std::chrono::seconds(10);
  double aggressiveShare = 0.4; ///< fraction of the callers that retry immediately up to
                                ///< kImmediateRetries times
  std::uint64_t seed = 1;
};

/// Requests of callers by outcome; each request counts once, however many attempts it took.
struct GraphCounts
{
  double requested = 0.0;
  double completed = 0.0; ///< before the caller's deadline
  double refused = 0.0;
  double failed = 0.0;

  GraphCounts& operator+=(const GraphCounts& other);
};

/// Metrics of one run.
struct GraphFigures
{
  std::vector<std::vector<GraphCounts>> seconds; ///< by second of arrival and class
  std::vector<GraphCounts> inSurge;              ///< by class
  double servedBefore = 0.0;    ///< fraction of the requests before the surge that completed
  double servedInSurge = 0.0;   ///< fraction of the requests in the surge that completed
  double servedValue = 0.0;     ///< the same, weighted by the value of the classes
  double slotUtilisation = 0.0; ///< occupied fraction of the deepest service's slots in the surge
  /// Work of the deepest service for root requests that completed in the surge, as a fraction of
  /// its capacity or of the work that was requested, whichever is less.
  double usefulWork = 0.0;
  double wastedWork = 0.0;   ///< fraction of its work in the surge that no completed root used
  double refusedCalls = 0.0; ///< fraction of the calls offered to the deepest service in the surge
  double maxProcessorUse = 0.0; ///< processor time used by the busiest node, as a fraction
  double recoverySeconds = 0.0; ///< -1: no recovery within the run
  double servedAfter = 0.0;     ///< completed fraction, from 6 s to 3 s before the end of the run
};

/// @brief Runs @p scenario under @p policy.
[[nodiscard]] GraphFigures Run(const GraphScenario& scenario, const GraphPolicy& policy);

/// @brief Returns a graph of four services; the deepest is called through up to three others.
[[nodiscard]] Graph DeepGraph();

} // namespace bench
