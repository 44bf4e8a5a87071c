#include "graph_tables.hpp"

#include <cstdio> // fflush
#include <future> // async, future
#include <string> // string
#include <vector> // vector

#include <fmt/format.h> // print

#include "graph_load.hpp" // Run

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kParallelRuns = 3;

GraphPolicy UnlinkedPolicy()
{
  return { .name = "a: nested calls apart" };
}

GraphPolicy LinkedPolicy()
{
  GraphPolicy policy = UnlinkedPolicy();
  policy.name = "b: linked";
  policy.linksNestedCalls = true;
  return policy;
}

std::vector<GraphPolicy> ComparedPolicies()
{
  std::vector<GraphPolicy> policies = { UnlinkedPolicy(), LinkedPolicy() };
  const auto add = [&policies](const std::string& name, GraphPolicy policy, auto change) {
    policy.name = name;
    change(policy);
    policies.push_back(policy);
  };
  add(
    "a, short patience", UnlinkedPolicy(), [](auto& policy) { policy.nestedQueueTimeout = 100ms; });
  add("b+c", LinkedPolicy(), [](auto& policy) { policy.prefersNested = true; });
  add("b+d", LinkedPolicy(), [](auto& policy) { policy.sharesThresholds = true; });
  add("b+d+s", policies.back(), [](auto& policy) { policy.separatesForwarding = true; });
  add("b+c+d+s", policies.back(), [](auto& policy) { policy.prefersNested = true; });
  const GraphPolicy all = policies.back();
  add("b+c+d+s, short patience", all, [](auto& policy) { policy.nestedQueueTimeout = 100ms; });
  add("b+c+d+s, half linked", all, [](auto& policy) { policy.linkedFraction = 0.5; });
  add("b+c+d+s, 95% of slots", all, [](auto& policy) { policy.slotFraction = 0.95; });
  add("a+m", UnlinkedPolicy(), [](auto& policy) { policy.limitsByDelay = true; });
  add("b+c+d+s+m", all, [](auto& policy) { policy.limitsByDelay = true; });
  return policies;
}

std::vector<GraphPolicy> SelectedPolicies(const std::string& only)
{
  std::vector<GraphPolicy> policies = ComparedPolicies();
  std::erase_if(
    policies, [&only](const GraphPolicy& policy) { return !only.empty() && policy.name != only; });
  return policies;
}

std::vector<GraphScenario> SurgeScenarios()
{
  GraphScenario moderate{ .name = "Graph, surge 1.7x", .graph = DeepGraph(), .surge = 1.7 };
  GraphScenario large = moderate;
  large.name = "Graph, surge 2.0x";
  large.surge = 2.0;
  GraphScenario nearlyFull = large;
  nearlyFull.name = "Graph, surge 2.0x, deepest service slower by 1.3 above 95% of its slots";
  nearlyFull.graph.services.back().slowAboveFraction = 0.95;
  nearlyFull.graph.services.back().slowdownFactor = 1.3;
  GraphScenario busy = moderate;
  busy.name = "Graph, surge 1.7x, 90 us a message at 0.4 of a processor for each node";
  busy.graph.messageTime = 225us;
  return { moderate, large, nearlyFull, busy };
}

std::string ByClass(const GraphScenario& scenario, const GraphFigures& figures)
{
  std::string text;
  for (std::size_t i = 0; i < figures.inSurge.size(); ++i) {
    const GraphCounts& each = figures.inSurge[i];
    if (each.requested > 0.0) {
      text += fmt::format("{}{} {:.2f}/{:.2f}/{:.2f}",
                          text.empty() ? "" : ", ",
                          scenario.graph.classes[i].name,
                          each.completed / each.requested,
                          each.refused / each.requested,
                          each.failed / each.requested);
    }
  }
  return text;
}

void PrintRow(const GraphScenario& scenario, const GraphPolicy& policy, const GraphFigures& figures)
{
  const std::string recovery =
    figures.recoverySeconds < 0.0 ? "none" : fmt::format("{:.2f} s", figures.recoverySeconds);
  fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.1f} | {} | "
             "{:.3f} | {} |\n",
             policy.name,
             figures.servedBefore,
             figures.servedInSurge,
             figures.servedValue,
             figures.slotUtilisation,
             figures.usefulWork,
             figures.wastedWork,
             figures.refusedCalls,
             figures.maxProcessorUse,
             recovery,
             figures.servedAfter,
             ByClass(scenario, figures));
  std::fflush(stdout);
}

void PrintTable(const GraphScenario& scenario, const std::vector<GraphPolicy>& policies)
{
  fmt::print("\n### {}\n\n", scenario.name);
  fmt::print("| policy | before | served | worth | deepest busy | used | wasted | calls refused | "
             "busiest node | "
             "recovery | after | served/refused/failed by class |\n"
             "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (std::size_t first = 0; first < policies.size(); first += kParallelRuns) {
    std::vector<std::future<GraphFigures>> runs;
    for (std::size_t i = first; i < policies.size() && i < first + kParallelRuns; ++i) {
      runs.push_back(std::async(std::launch::async, Run, scenario, policies[i]));
    }
    for (std::size_t i = 0; i < runs.size(); ++i) {
      PrintRow(scenario, policies[first + i], runs[i].get());
    }
  }
}

void PrintTimeline(const GraphScenario& scenario, const GraphPolicy& policy)
{
  fmt::print("\n{}, {}: owed, completed, refused, failed by second\n", scenario.name, policy.name);
  const GraphFigures figures = Run(scenario, policy);
  for (std::size_t i = 0; i < figures.seconds.size(); ++i) {
    GraphCounts sum;
    for (const GraphCounts& each : figures.seconds[i]) {
      sum += each;
    }
    fmt::print("{:2} {:5.0f} {:5.0f} {:5.0f} {:5.0f}\n",
               i,
               sum.requested,
               sum.completed,
               sum.refused,
               sum.failed);
  }
}

} // namespace

void PrintGraphTables(const std::string& only)
{
  for (const GraphScenario& scenario : SurgeScenarios()) {
    PrintTable(scenario, SelectedPolicies(only));
  }
}

void PrintGraphTimelines(const std::string& only)
{
  for (const GraphScenario& scenario : SurgeScenarios()) {
    for (const GraphPolicy& policy : SelectedPolicies(only)) {
      PrintTimeline(scenario, policy);
    }
  }
}

} // namespace bench
