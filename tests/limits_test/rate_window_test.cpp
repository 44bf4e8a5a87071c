#include <boost/test/unit_test.hpp>

#include <cstdint> // uint64_t

#include "limit_simulation.hpp"

namespace {

using acp::test::LimitSimulation;
using acp::test::LimitSimulationOptions;
using acp::test::LimitSimulationResult;

// Tolerance for rounding errors, since tokens are counted in doubles.
constexpr double kRounding = 1e-6;
constexpr std::uint64_t kSeeds = 60;
constexpr std::uint64_t kMaxSeedsForViolation = 300;

/// Returns options with all faults at once and demand far above the rate, so that tokens are
/// scarce.
LimitSimulationOptions AllFaults(std::uint64_t seed)
{
  LimitSimulationOptions options;
  options.seed = seed;
  options.nodes = 6;
  const double bursts[] = { 1, 5, 40, 200 };
  options.limit = { .rate = 40, .burst = bursts[seed % 4] };
  options.demandFraction = 6;
  options.quietPeriod = std::chrono::seconds(14);
  options.isBursty = seed % 3 == 0;
  options.clockDrift = acp::kMaxClockDrift;
  options.lossProbability = 0.05;
  options.delayProbability = 0.05;
  options.duplicateProbability = 0.1;
  options.demandMoveInterval = std::chrono::milliseconds(700);
  options.activeNodes = 3;
  // The leader changes shortly before a surge arrives at full buckets.
  options.failoverInterval = std::chrono::milliseconds(6600 + 50 * (seed % 10));
  options.repeatedFailoverProbability = 0.3;
  options.freezeInterval = std::chrono::milliseconds(1700);
  options.restartInterval = std::chrono::milliseconds(2300);
  options.maxDispatchDelay = std::chrono::milliseconds(20);
  if (seed % 5 < 2) {
    // Answers are often late, and a long timeout lets nodes still use them.
    options.delayProbability = 0.3;
    options.table.answerTimeout = std::chrono::seconds(3);
  }
  options.duration = std::chrono::seconds(60);
  return options;
}

/// Returns whether the window property is violated with any of the seeds.
template<typename Change>
bool IsViolated(const Change& change)
{
  for (std::uint64_t seed = 1; seed <= kMaxSeedsForViolation; ++seed) {
    LimitSimulationOptions options = AllFaults(seed);
    change(options);
    if (LimitSimulation(options).Run().minLevel < -kRounding) {
      return true;
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_window)

// Guards against an account that exceeds rate x w + burst in any window of length w (P6) under
// failover, isolated leaders, lost, delayed and duplicated messages, frozen and restarted nodes,
// and clock drift.
BOOST_AUTO_TEST_CASE(window_property_holds_under_all_faults)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const LimitSimulationResult result = LimitSimulation(AllFaults(seed)).Run();
    BOOST_TEST(result.minLevel >= -kRounding,
               "seed " << seed << " lowest level " << result.minLevel);
    BOOST_TEST(result.admitted > 0, "seed " << seed << " admitted nothing");
  }
}

// Guards against a window test that cannot detect a new leader that grants while old leases are
// valid.
BOOST_AUTO_TEST_CASE(granting_right_after_election_violates_the_property)
{
  BOOST_TEST(IsViolated(
    [](LimitSimulationOptions& options) { options.authority.guards.waitAfterElection = false; }));
}

// Guards against a window test that cannot detect leases that nodes use longer than the authority
// counts them.
BOOST_AUTO_TEST_CASE(lease_counted_from_arrival_violates_the_property)
{
  BOOST_TEST(
    IsViolated([](LimitSimulationOptions& options) { options.table.leaseFromAsk = false; }));
}

// Guards against a window test that cannot detect a repeated ask that settles tokens twice.
BOOST_AUTO_TEST_CASE(settling_repeated_asks_violates_the_property)
{
  BOOST_TEST(IsViolated(
    [](LimitSimulationOptions& options) { options.authority.guards.ignoreRepeatedAsks = false; }));
}

// Guards against a window test that cannot detect grants beyond level + outstanding <= burst.
BOOST_AUTO_TEST_CASE(ignoring_outstanding_tokens_violates_the_property)
{
  BOOST_TEST(IsViolated(
    [](LimitSimulationOptions& options) { options.authority.guards.countOutstanding = false; }));
}

// Guards against a window test that cannot detect an isolated leader that continues to grant.
BOOST_AUTO_TEST_CASE(leases_not_bound_by_confirmation_violate_the_property)
{
  BOOST_TEST(IsViolated([](LimitSimulationOptions& options) {
    options.authority.guards.boundLeasesByConfirmation = false;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
