#include <string> // string
#include <vector> // vector

#include <fmt/format.h> // print

#include "scenarios.hpp" // Run

namespace {

using bench::Figures;
using bench::Policy;
using bench::Scenario;
using bench::Trigger;

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

void PrintTable(const Scenario& scenario, const std::vector<Policy>& policies)
{
  fmt::print("\n### {}\n\n", scenario.name);
  fmt::print("| policy | before | goodput | after | worst account | recovery | calls per request | "
             "shed by class |\n|---|---|---|---|---|---|---|---|\n");
  for (const Policy& policy : policies) {
    const Figures figures = bench::Run(scenario, policy);
    std::string shed;
    for (std::size_t i = 0; i < figures.shed.size(); ++i) {
      shed += fmt::format(
        "{}{} {:.1f}%", i == 0 ? "" : ", ", scenario.classes[i].name, 100.0 * figures.shed[i]);
    }
    const std::string recovery =
      figures.recoverySeconds < 0.0 ? "none" : fmt::format("{:.1f} s", figures.recoverySeconds);
    fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {} | {:.2f} | {} |\n",
               policy.name,
               figures.before,
               figures.during,
               figures.after,
               figures.worstShare,
               recovery,
               figures.callsPerRequest,
               shed);
  }
  std::fflush(stdout);
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
  return { Named(chain, "Deepest service 5x slower, depth 4", Trigger::SlowDeepest, 5.0),
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
