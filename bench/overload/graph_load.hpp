#pragma once

/// @file
/// Callers of a graph of services in a surge, and the figures of one run.

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "graph_model.hpp" // Graph, GraphPolicy

namespace bench {

/// A surge of all callers, in the first part of which some of them repeat at once.
struct GraphScenario
{
  std::string name;
  Graph graph;
  double surge = 1.7;
  acp::Duration warmUp = std::chrono::seconds(5);
  acp::Duration surgeDuration = std::chrono::seconds(18);
  acp::Duration recoveryPeriod = std::chrono::seconds(10);
  acp::Duration aggressiveFrom = std::chrono::seconds(5); ///< in the surge
  acp::Duration aggressiveUntil = std::chrono::seconds(10);
  double aggressiveShare =
    0.4; ///< share of the callers that repeat up to kImmediateRetries times at once
  std::uint64_t seed = 1;
};

/// Requests of callers by how they ended; each request counts once, whatever its attempts.
struct GraphCounts
{
  double requested = 0.0;
  double completed = 0.0; ///< before the caller's deadline
  double refused = 0.0;
  double failed = 0.0;

  GraphCounts& operator+=(const GraphCounts& other);
};

/// Figures of one run.
struct GraphFigures
{
  std::vector<std::vector<GraphCounts>> seconds; ///< by second of arrival and class
  std::vector<GraphCounts> inSurge;              ///< by class
  double servedBefore = 0.0;    ///< completed share of the requests owed before the surge
  double servedInSurge = 0.0;   ///< completed share of the requests owed in the surge
  double servedValue = 0.0;     ///< the same by worth
  double slotUtilisation = 0.0; ///< of the deepest service's slot time in the surge
  /// Work of the deepest service for roots that completed in the surge, as a share of what it can
  /// do then or of what was owed, whichever is less.
  double usefulWork = 0.0;
  double wastedWork = 0.0;      ///< share of its work in the surge that no completed root used
  double refusedCalls = 0.0;    ///< share of the calls offered to the deepest service in the surge
  double maxProcessorUse = 0.0; ///< messages taken by the busiest node, as a share of its processor
  double recoverySeconds = 0.0; ///< -1: not recovered within the run
  double servedAfter = 0.0;     ///< completed share in the last three seconds that ended
};

/// @brief Runs @p scenario under @p policy.
[[nodiscard]] GraphFigures Run(const GraphScenario& scenario, const GraphPolicy& policy);

/// @brief Returns four services of which the deepest is reached over up to three others.
[[nodiscard]] Graph DeepGraph();

} // namespace bench
