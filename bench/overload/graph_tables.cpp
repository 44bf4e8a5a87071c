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

// Runs at a time.
constexpr std::size_t kParallel = 3;

GraphPolicy Apart()
{
  return { .name = "a: nested calls apart" };
}

GraphPolicy Linked()
{
  GraphPolicy policy = Apart();
  policy.name = "b: linked";
  policy.linksNestedCalls = true;
  return policy;
}

std::vector<GraphPolicy> Compared()
{
  std::vector<GraphPolicy> policies = { Apart(), Linked() };
  const auto add = [&policies](const std::string& name, GraphPolicy policy, auto change) {
    policy.name = name;
    change(policy);
    policies.push_back(policy);
  };
  add("a, short patience", Apart(), [](auto& policy) { policy.nestedPatience = 100ms; });
  add("b+c", Linked(), [](auto& policy) { policy.nestedFirst = true; });
  add("b+d", Linked(), [](auto& policy) { policy.sharesThresholds = true; });
  add("b+d+s", policies.back(), [](auto& policy) { policy.separatesForwarding = true; });
  add("b+c+d+s", policies.back(), [](auto& policy) { policy.nestedFirst = true; });
  const GraphPolicy all = policies.back();
  add("b+c+d+s, short patience", all, [](auto& policy) { policy.nestedPatience = 100ms; });
  add("b+c+d+s, half linked", all, [](auto& policy) { policy.linkedPart = 0.5; });
  add("b+c+d+s, 95% of slots", all, [](auto& policy) { policy.usedSlots = 0.95; });
  add("a+m", Apart(), [](auto& policy) { policy.limitsByDelay = true; });
  add("b+c+d+s+m", all, [](auto& policy) { policy.limitsByDelay = true; });
  return policies;
}

std::vector<GraphPolicy> Selected(const std::string& only)
{
  std::vector<GraphPolicy> policies = Compared();
  std::erase_if(
    policies, [&only](const GraphPolicy& policy) { return !only.empty() && policy.name != only; });
  return policies;
}

std::vector<GraphScenario> Surges()
{
  GraphScenario moderate{ .name = "Graph, surge 1.7x", .graph = DeepGraph(), .surge = 1.7 };
  GraphScenario large = moderate;
  large.name = "Graph, surge 2.0x";
  large.surge = 2.0;
  GraphScenario nearlyFull = large;
  nearlyFull.name = "Graph, surge 2.0x, deepest service slower by 1.3 above 95% of its slots";
  nearlyFull.graph.services.back().nearlyFull = 0.95;
  nearlyFull.graph.services.back().nearlyFullFactor = 1.3;
  GraphScenario busy = moderate;
  busy.name = "Graph, surge 1.7x, 90 us a message at 0.4 of a processor for each node";
  busy.graph.handling = 225us;
  return { moderate, large, nearlyFull, busy };
}

std::string ByClass(const GraphScenario& scenario, const GraphFigures& figures)
{
  std::string text;
  for (std::size_t i = 0; i < figures.inSurge.size(); ++i) {
    const GraphCounts& each = figures.inSurge[i];
    if (each.owed > 0.0) {
      text += fmt::format("{}{} {:.2f}/{:.2f}/{:.2f}",
                          text.empty() ? "" : ", ",
                          scenario.graph.classes[i].name,
                          each.completed / each.owed,
                          each.refused / each.owed,
                          each.failed / each.owed);
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
             figures.before,
             figures.served,
             figures.worth,
             figures.busy,
             figures.used,
             figures.wasted,
             figures.refusedCalls,
             figures.busiestNode,
             recovery,
             figures.after,
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
  for (std::size_t first = 0; first < policies.size(); first += kParallel) {
    std::vector<std::future<GraphFigures>> runs;
    for (std::size_t i = first; i < policies.size() && i < first + kParallel; ++i) {
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
               sum.owed,
               sum.completed,
               sum.refused,
               sum.failed);
  }
}

} // namespace

void PrintGraphTables(const std::string& only)
{
  for (const GraphScenario& scenario : Surges()) {
    PrintTable(scenario, Selected(only));
  }
}

void PrintGraphTimelines(const std::string& only)
{
  for (const GraphScenario& scenario : Surges()) {
    for (const GraphPolicy& policy : Selected(only)) {
      PrintTimeline(scenario, policy);
    }
  }
}

} // namespace bench
