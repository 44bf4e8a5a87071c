/// @file
/// Measures rate tokens on a simulated clock: simulated nodes around the real RateAuthority and
/// TokenLeaseTable.

#include <algorithm>  // max, min
#include <cstdint>    // int64_t, uint64_t
#include <cstdlib>    // strtod
#include <functional> // function
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

#include <fmt/core.h> // print

#include "limit_simulation.hpp"

namespace {

using acp::test::LimitSimulation;
using acp::test::LimitSimulationOptions;
using acp::test::LimitSimulationResult;

constexpr std::uint64_t kFirstSeed = 1;
constexpr double kPercent = 100;
constexpr double kKilobyte = 1000;

/// A load pattern or a fault.
struct Scenario
{
  std::string name;
  std::function<void(LimitSimulationOptions&)> apply;
};

std::vector<Scenario> Scenarios()
{
  return {
    { "steady", [](LimitSimulationOptions&) {} },
    { "groups", [](LimitSimulationOptions& options) { options.isBursty = true; } },
    { "moving",
      [](LimitSimulationOptions& options) {
        options.demandMoveInterval = std::chrono::seconds(1);
        options.activeNodes = std::max(1, options.nodes / 10);
      } },
    { "failover",
      [](LimitSimulationOptions& options) {
        options.failoverInterval = std::chrono::seconds(20);
        options.isolationAfterElection = acp::Duration::zero();
      } },
  };
}

/// Numeric settings by name; the command line can change them.
using Settings = std::map<std::string, double>;

acp::Duration FromMillis(double millis)
{
  return std::chrono::duration_cast<acp::Duration>(
    std::chrono::duration<double, std::milli>(millis));
}

double Millis(acp::Duration span)
{
  return std::chrono::duration<double, std::milli>(span).count();
}

LimitSimulationOptions BuildOptions(const Settings& settings, int nodes, double burst)
{
  LimitSimulationOptions options;
  options.nodes = nodes;
  options.limit = { .rate = settings.at("rate"), .burst = burst };
  options.demandFraction = settings.at("demand");
  options.clockDrift = settings.at("drift");
  options.duration = FromMillis(1000 * settings.at("seconds"));
  options.authority.prefetchFraction = settings.at("prefetch-part");
  options.authority.settleFraction = settings.at("settle-part");
  options.authority.debitAtSpendTime = settings.at("credit") != 0;
  options.table.prefetchIntervals = settings.at("prefetch-intervals");
  options.table.maxPrefetchTime = FromMillis(settings.at("prefetch-ms"));
  options.authority.maxSettleInterval = FromMillis(settings.at("settle-ms"));
  options.authority.minSettleInterval = FromMillis(settings.at("settle-min-ms"));
  options.table.maxWait = FromMillis(settings.at("wait-ms"));
  return options;
}

/// Adds up the results of all seeds; minLevel is the minimum over the seeds.
LimitSimulationResult RunSeeds(LimitSimulationOptions options, int seeds)
{
  LimitSimulationResult sum;
  for (int i = 0; i < seeds; ++i) {
    options.seed = kFirstSeed + static_cast<std::uint64_t>(i);
    const LimitSimulationResult result = LimitSimulation(options).Run();
    sum.offered += result.offered;
    sum.admitted += result.admitted;
    sum.refused += result.refused;
    sum.falselyRefused += result.falselyRefused;
    sum.referenceAdmitted += result.referenceAdmitted;
    sum.waited += result.waited;
    sum.minLevel = i == 0 ? result.minLevel : std::min(sum.minLevel, result.minLevel);
    sum.bytesPerNodeSecond += result.bytesPerNodeSecond / seeds;
  }
  return sum;
}

void RunAll(const Settings& settings)
{
  fmt::print("rate {} per second, demand {} of it, {} s, {} seeds\n",
             settings.at("rate"),
             settings.at("demand"),
             settings.at("seconds"),
             settings.at("seeds"));
  fmt::print("{:<9} {:>5} {:>5} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}\n",
             "scenario",
             "nodes",
             "burst",
             "offered",
             "lowest",
             "refused",
             "false",
             "net",
             "waited",
             "KB/s");
  const bool isQuick = settings.at("quick") != 0;
  const std::vector<int> nodeCounts =
    isQuick ? std::vector{ 10, 60 } : std::vector{ 1, 10, 60, 540 };
  const std::vector<double> bursts =
    isQuick ? std::vector{ 1.0, 10.0, 100.0 } : std::vector{ 1.0, 10.0, 100.0, 500.0 };
  for (const Scenario& scenario : Scenarios()) {
    for (const int nodes : nodeCounts) {
      for (const double burst : bursts) {
        LimitSimulationOptions options = BuildOptions(settings, nodes, burst);
        scenario.apply(options);
        const LimitSimulationResult result =
          RunSeeds(options, static_cast<int>(settings.at("seeds")));
        const auto offered = static_cast<double>(result.offered);
        const auto percent = [offered](std::int64_t count) {
          return kPercent * static_cast<double>(count) / offered;
        };
        fmt::print(
          "{:<9} {:>5} {:>5} {:>8} {:>7.2f} {:>6.2f}% {:>6.2f}% {:>6.2f}% {:>6.1f}% {:>7.2f}\n",
          scenario.name,
          nodes,
          burst,
          result.offered,
          result.minLevel,
          percent(result.refused),
          percent(result.falselyRefused),
          percent(result.referenceAdmitted - result.admitted),
          percent(result.waited),
          result.bytesPerNodeSecond / kKilobyte);
      }
    }
  }
}

} // namespace

int main(int argc, char** argv)
{
  const acp::RateAuthorityOptions authority;
  const acp::TokenLeaseTableOptions table;
  Settings settings{
    { "rate", 100 },
    { "demand", 0.8 },
    { "drift", 0 },
    { "seconds", 65 },
    { "seeds", 3 },
    { "quick", 0 },
    { "prefetch-part", authority.prefetchFraction },
    { "settle-part", authority.settleFraction },
    { "credit", authority.debitAtSpendTime ? 1 : 0 },
    { "prefetch-intervals", table.prefetchIntervals },
    { "prefetch-ms", Millis(table.maxPrefetchTime) },
    { "settle-min-ms", Millis(authority.minSettleInterval) },
    { "settle-ms", Millis(authority.maxSettleInterval) },
    { "wait-ms", Millis(table.maxWait) },
  };
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const auto equals = argument.find('=');
    const auto found = settings.find(argument.substr(0, equals));
    if (equals == std::string::npos || found == settings.end()) {
      fmt::print("settings, as name=value:\n");
      for (const auto& [name, value] : settings) {
        fmt::print("  {}={}\n", name, value);
      }
      return argument == "--help" ? 0 : 2;
    }
    found->second = std::strtod(argument.c_str() + equals + 1, nullptr);
  }
  fmt::print(
    "false: refused although the true bucket had a token on arrival; net: admitted by a central "
    "bucket but not here; waited: admitted after a round trip; KB/s: per account and node with "
    "demand\n");
  RunAll(settings);
  return 0;
}
