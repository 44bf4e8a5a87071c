#include <algorithm> // max
#include <cstdio>    // fflush
#include <future>    // async, future
#include <string>    // string
#include <vector>    // vector

#include <fmt/format.h> // print

#include "graph_tables.hpp" // PrintGraphTables, PrintGraphTimelines
#include "scenarios.hpp"    // Run

namespace {

using bench::Figures;
using bench::Policy;
using bench::Scenario;
using bench::Trigger;

constexpr int kSeeds = 3;

Policy NoControl()
{
  return { .name = "no control",
           .gate = false,
           .adaptiveLimit = false,
           .byPriority = false,
           .byAccount = false,
           .ageBound = false,
           .thresholds = false,
           .conservedBudget = false,
           .ratioBudget = false };
}

Policy StaticLimits()
{
  Policy policy = NoControl();
  policy.name = "static limits";
  policy.gate = true;
  return policy;
}

std::vector<Policy> Compared()
{
  return { NoControl(), StaticLimits(), { .name = "this" } };
}

std::vector<Policy> SwitchedOff()
{
  return {
    { .name = "this" },
    { .name = "- adaptive limit", .adaptiveLimit = false },
    { .name = "- priorities", .byPriority = false },
    { .name = "- account fairness", .byAccount = false },
    { .name = "- age bound", .ageBound = false },
    { .name = "- thresholds", .thresholds = false },
    { .name = "- hop ledger", .conservedBudget = false },
    { .name = "- ratio budget", .ratioBudget = false },
  };
}

// Means over the seeds; of the recovery times the longest.
Figures RunSeeds(const Scenario& scenario, const Policy& policy)
{
  std::vector<std::future<Figures>> runs;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(kSeeds); ++seed) {
    Scenario seeded = scenario;
    seeded.seed = seed;
    runs.push_back(
      std::async(std::launch::async, [seeded, policy] { return bench::Run(seeded, policy); }));
  }
  Figures mean{ .shed = std::vector<double>(scenario.classes.size(), 0.0) };
  bool hasRecovered = true;
  for (auto& run : runs) {
    const Figures figures = run.get();
    mean.before += figures.before / kSeeds;
    mean.during += figures.during / kSeeds;
    mean.busy += figures.busy / kSeeds;
    mean.after += figures.after / kSeeds;
    mean.worstShare += figures.worstShare / kSeeds;
    mean.callsPerRequest += figures.callsPerRequest / kSeeds;
    mean.recoverySeconds = std::max(mean.recoverySeconds, figures.recoverySeconds);
    hasRecovered = hasRecovered && figures.recoverySeconds >= 0.0;
    for (std::size_t i = 0; i < mean.shed.size(); ++i) {
      mean.shed[i] += figures.shed[i] / kSeeds;
    }
  }
  if (!hasRecovered) {
    mean.recoverySeconds = -1.0;
  }
  return mean;
}

void PrintTable(const Scenario& scenario, const std::vector<Policy>& policies)
{
  fmt::print("\n### {}\n\n", scenario.name);
  fmt::print("| policy | before | goodput | deepest busy | after | worst account | recovery | "
             "calls per request | "
             "shed by class |\n|---|---|---|---|---|---|---|---|---|\n");
  for (const Policy& policy : policies) {
    const Figures figures = RunSeeds(scenario, policy);
    std::string shed;
    for (std::size_t i = 0; i < figures.shed.size(); ++i) {
      shed += fmt::format(
        "{}{} {:.1f}%", i == 0 ? "" : ", ", scenario.classes[i].name, 100.0 * figures.shed[i]);
    }
    const std::string recovery =
      figures.recoverySeconds < 0.0 ? "none" : fmt::format("{:.1f} s", figures.recoverySeconds);
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} | {:.2f} | {} |\n",
               policy.name,
               figures.before,
               figures.during,
               figures.busy,
               figures.after,
               figures.worstShare,
               recovery,
               figures.callsPerRequest,
               shed);
  }
  std::fflush(stdout);
}

// Prints the goodput by 100 ms, ten values a line.
void PrintTimeline(const Scenario& scenario, const Policy& policy)
{
  fmt::print("\n{}, {}:\n", scenario.name, policy.name);
  const auto timeline = bench::Run(scenario, policy).timeline;
  for (std::size_t i = 0; i < timeline.size(); ++i) {
    fmt::print("{:.2f}{}", timeline[i], i % 10 == 9 ? "\n" : " ");
  }
}

Scenario Named(Scenario scenario, const std::string& name, Trigger trigger, double surge)
{
  scenario.name = name;
  scenario.trigger = trigger;
  scenario.surge = surge;
  return scenario;
}

std::vector<Scenario> Surges()
{
  const auto chain = bench::AssociationChain(4);
  return { Named(chain, "Demand surge 2x, depth 4", Trigger::Surge, 2.0),
           Named(chain, "Demand surge 5x, depth 4", Trigger::Surge, 5.0),
           Named(chain, "Demand surge 10x, depth 4", Trigger::Surge, 10.0) };
}

Scenario LargeAccount()
{
  auto scenario =
    Named(bench::AssociationChain(4), "One account 20x, depth 4", Trigger::LargeAccount, 20.0);
  scenario.accountWeights.assign(8, 1.0);
  scenario.weighted = false;
  return scenario;
}

Scenario Metastable()
{
  auto scenario = Named(bench::AssociationChain(4),
                        "Surge 3x for 2 s, clients retry 3 times after 50 ms, depth 4",
                        Trigger::Surge,
                        3.0);
  scenario.clientRetries = 3;
  scenario.triggerLength = std::chrono::seconds(2);
  scenario.after = std::chrono::seconds(12);
  return scenario;
}

std::vector<Scenario> Others()
{
  const auto chain = bench::AssociationChain(4);
  auto longSlow =
    Named(chain, "Deepest service 5x slower for 20 s, depth 4", Trigger::SlowDeepest, 5.0);
  longSlow.triggerLength = std::chrono::seconds(20);
  return { Named(chain, "Deepest service 5x slower, depth 4", Trigger::SlowDeepest, 5.0),
           longSlow,
           LargeAccount(),
           Named(chain,
                 "One of four upstreams of the deepest service lost, depth 4",
                 Trigger::LostUpstream,
                 1.0),
           Metastable() };
}

std::vector<Scenario> Shapes()
{
  return {
    Named(bench::AssociationChain(3), "Demand surge 10x, depth 3", Trigger::Surge, 10.0),
    Named(bench::AssociationChain(5), "Demand surge 10x, depth 5", Trigger::Surge, 10.0),
    Named(bench::AssociationChain(6), "Demand surge 10x, depth 6", Trigger::Surge, 10.0),
    Named(bench::KilometerboekChain(), "Demand surge 10x, Kilometerboek", Trigger::Surge, 10.0),
  };
}

} // namespace

int main(int argc, char** argv)
{
  const bool isQuick = argc > 1 && std::string(argv[1]) == "--quick";
  if (argc > 1 && std::string(argv[1]) == "--timeline") {
    PrintTimeline(Surges().back(), { .name = "this" });
    PrintTimeline(Others().front(), { .name = "this" });
    PrintTimeline(Metastable(), NoControl());
    PrintTimeline(Metastable(), { .name = "this" });
    return 0;
  }
  if (argc > 1 && std::string(argv[1]) == "--graph") {
    bench::PrintGraphTables(argc > 2 ? argv[2] : "");
    return 0;
  }
  if (argc > 1 && std::string(argv[1]) == "--graph-timeline") {
    bench::PrintGraphTimelines(argc > 2 ? argv[2] : "");
    return 0;
  }
  const std::vector<Policy> onlyThis = { { .name = "this" } };
  for (const auto& group : { Surges(), Others(), Shapes() }) {
    for (const Scenario& scenario : group) {
      PrintTable(scenario, isQuick ? onlyThis : Compared());
    }
  }
  if (!isQuick) {
    fmt::print("\n## Each mechanism switched off\n");
    PrintTable(Surges().back(), SwitchedOff());
    PrintTable(LargeAccount(), SwitchedOff());
    PrintTable(Metastable(), SwitchedOff());
  }
  return 0;
}
