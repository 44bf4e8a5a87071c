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
           .requestRetryBudget = false,
           .nodeRetryBudget = false };
}

Policy StaticLimits()
{
  Policy policy = NoControl();
  policy.name = "static limits";
  policy.gate = true;
  return policy;
}

std::vector<Policy> ComparedPolicies()
{
  return { NoControl(), StaticLimits(), { .name = "this" } };
}

std::vector<Policy> AblationPolicies()
{
  return {
    { .name = "this" },
    { .name = "- adaptive limit", .adaptiveLimit = false },
    { .name = "- priorities", .byPriority = false },
    { .name = "- account fairness", .byAccount = false },
    { .name = "- age bound", .ageBound = false },
    { .name = "- thresholds", .thresholds = false },
    { .name = "- hop ledger", .requestRetryBudget = false },
    { .name = "- ratio budget", .nodeRetryBudget = false },
  };
}

// Averages the metrics over all seeds; the recovery time is the longest one.
Figures RunSeeds(const Scenario& scenario, const Policy& policy)
{
  std::vector<std::future<Figures>> runs;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(kSeeds); ++seed) {
    Scenario seeded = scenario;
    seeded.seed = seed;
    runs.push_back(
      std::async(std::launch::async, [seeded, policy] { return bench::Run(seeded, policy); }));
  }
  Figures mean{ .failedShare = std::vector<double>(scenario.classes.size(), 0.0) };
  bool hasRecovered = true;
  for (auto& run : runs) {
    const Figures figures = run.get();
    mean.goodputBefore += figures.goodputBefore / kSeeds;
    mean.goodputDuring += figures.goodputDuring / kSeeds;
    mean.startedShare += figures.startedShare / kSeeds;
    mean.goodputAfter += figures.goodputAfter / kSeeds;
    mean.worstAccountShare += figures.worstAccountShare / kSeeds;
    mean.callsPerRequest += figures.callsPerRequest / kSeeds;
    mean.recoverySeconds = std::max(mean.recoverySeconds, figures.recoverySeconds);
    hasRecovered = hasRecovered && figures.recoverySeconds >= 0.0;
    for (std::size_t i = 0; i < mean.failedShare.size(); ++i) {
      mean.failedShare[i] += figures.failedShare[i] / kSeeds;
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
    for (std::size_t i = 0; i < figures.failedShare.size(); ++i) {
      shed += fmt::format("{}{} {:.1f}%",
                          i == 0 ? "" : ", ",
                          scenario.classes[i].name,
                          100.0 * figures.failedShare[i]);
    }
    const std::string recovery =
      figures.recoverySeconds < 0.0 ? "none" : fmt::format("{:.1f} s", figures.recoverySeconds);
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} | {:.2f} | {} |\n",
               policy.name,
               figures.goodputBefore,
               figures.goodputDuring,
               figures.startedShare,
               figures.goodputAfter,
               figures.worstAccountShare,
               recovery,
               figures.callsPerRequest,
               shed);
  }
  std::fflush(stdout);
}

// Prints the goodput per 100 ms, ten values per line.
void PrintTimeline(const Scenario& scenario, const Policy& policy)
{
  fmt::print("\n{}, {}:\n", scenario.name, policy.name);
  const auto timeline = bench::Run(scenario, policy).timeline;
  for (std::size_t i = 0; i < timeline.size(); ++i) {
    fmt::print("{:.2f}{}", timeline[i], i % 10 == 9 ? "\n" : " ");
  }
}

Scenario MakeScenario(Scenario scenario, const std::string& name, Trigger trigger, double surge)
{
  scenario.name = name;
  scenario.trigger = trigger;
  scenario.surge = surge;
  return scenario;
}

std::vector<Scenario> SurgeScenarios()
{
  const auto chain = bench::AssociationChain(4);
  return { MakeScenario(chain, "Demand surge 2x, depth 4", Trigger::Surge, 2.0),
           MakeScenario(chain, "Demand surge 5x, depth 4", Trigger::Surge, 5.0),
           MakeScenario(chain, "Demand surge 10x, depth 4", Trigger::Surge, 10.0) };
}

Scenario LargeAccountScenario()
{
  auto scenario = MakeScenario(
    bench::AssociationChain(4), "One account 20x, depth 4", Trigger::LargeAccount, 20.0);
  scenario.accountWeights.assign(8, 1.0);
  scenario.weighted = false;
  return scenario;
}

Scenario MetastableScenario()
{
  auto scenario = MakeScenario(bench::AssociationChain(4),
                               "Surge 3x for 2 s, clients retry 3 times after 50 ms, depth 4",
                               Trigger::Surge,
                               3.0);
  scenario.clientRetries = 3;
  scenario.triggerDuration = std::chrono::seconds(2);
  scenario.recoveryPeriod = std::chrono::seconds(12);
  return scenario;
}

std::vector<Scenario> FaultScenarios()
{
  const auto chain = bench::AssociationChain(4);
  auto longSlow =
    MakeScenario(chain, "Deepest service 5x slower for 20 s, depth 4", Trigger::SlowDeepest, 5.0);
  longSlow.triggerDuration = std::chrono::seconds(20);
  return { MakeScenario(chain, "Deepest service 5x slower, depth 4", Trigger::SlowDeepest, 5.0),
           longSlow,
           LargeAccountScenario(),
           MakeScenario(chain,
                        "One of four upstreams of the deepest service lost, depth 4",
                        Trigger::LostUpstream,
                        1.0),
           MetastableScenario() };
}

std::vector<Scenario> ChainScenarios()
{
  return {
    MakeScenario(bench::AssociationChain(3), "Demand surge 10x, depth 3", Trigger::Surge, 10.0),
    MakeScenario(bench::AssociationChain(5), "Demand surge 10x, depth 5", Trigger::Surge, 10.0),
    MakeScenario(bench::AssociationChain(6), "Demand surge 10x, depth 6", Trigger::Surge, 10.0),
    MakeScenario(
      bench::KilometerboekChain(), "Demand surge 10x, Kilometerboek", Trigger::Surge, 10.0),
  };
}

} // namespace

int main(int argc, char** argv)
{
  const bool isQuick = argc > 1 && std::string(argv[1]) == "--quick";
  if (argc > 1 && std::string(argv[1]) == "--timeline") {
    PrintTimeline(SurgeScenarios().back(), { .name = "this" });
    PrintTimeline(FaultScenarios().front(), { .name = "this" });
    PrintTimeline(MetastableScenario(), NoControl());
    PrintTimeline(MetastableScenario(), { .name = "this" });
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
  for (const auto& group : { SurgeScenarios(), FaultScenarios(), ChainScenarios() }) {
    for (const Scenario& scenario : group) {
      PrintTable(scenario, isQuick ? onlyThis : ComparedPolicies());
    }
  }
  if (!isQuick) {
    fmt::print("\n## Each mechanism switched off\n");
    PrintTable(SurgeScenarios().back(), AblationPolicies());
    PrintTable(LargeAccountScenario(), AblationPolicies());
    PrintTable(MetastableScenario(), AblationPolicies());
  }
  return 0;
}
