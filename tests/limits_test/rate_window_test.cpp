#include <boost/test/unit_test.hpp>

#include <cstdint> // uint64_t

#include "limit_fleet.hpp"

namespace {

using acp::test::FleetOptions;
using acp::test::FleetResult;
using acp::test::LimitFleet;

// Admissions are counted in doubles.
constexpr double kRounding = 1e-6;
constexpr std::uint64_t kSeeds = 60;
constexpr std::uint64_t kSeedsForViolation = 300;

/// Many faults at once, demand far above the rate, so that every token is fought over.
FleetOptions Hostile(std::uint64_t seed)
{
  FleetOptions options;
  options.seed = seed;
  options.nodes = 6;
  const double bursts[] = { 1, 5, 40, 200 };
  options.limit = { .rate = 40, .burst = bursts[seed % 4] };
  options.demandPart = 6;
  options.quietEvery = std::chrono::seconds(14);
  options.isBursty = seed % 3 == 0;
  options.clockDrift = acp::kClockDrift;
  options.lossPart = 0.05;
  options.delayedPart = 0.05;
  options.duplicatedPart = 0.1;
  options.moveEvery = std::chrono::milliseconds(700);
  options.activeNodes = 3;
  // Leaders change shortly before a surge meets full buckets.
  options.failoverEvery = std::chrono::milliseconds(6600 + 50 * (seed % 10));
  options.repeatedFailoverPart = 0.3;
  options.freezeEvery = std::chrono::milliseconds(1700);
  options.restartEvery = std::chrono::milliseconds(2300);
  options.longestQueueing = std::chrono::milliseconds(20);
  if (seed % 5 < 2) {
    // Late answers are common, and used instead of given up.
    options.delayedPart = 0.3;
    options.table.answerTimeout = std::chrono::seconds(3);
  }
  options.length = std::chrono::seconds(60);
  return options;
}

/// Returns whether one of the seeds violates the window property.
template<typename Change>
bool IsViolated(const Change& change)
{
  for (std::uint64_t seed = 1; seed <= kSeedsForViolation; ++seed) {
    FleetOptions options = Hostile(seed);
    change(options);
    if (LimitFleet(options).Run().lowestLevel < -kRounding) {
      return true;
    }
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate_window)

// Guards against an account that exceeds rate x w + burst in any window (P6) under failover,
// isolated leaders, lost, delayed and repeated messages, frozen and restarted nodes, and drift.
BOOST_AUTO_TEST_CASE(window_property_holds_under_all_faults)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetResult result = LimitFleet(Hostile(seed)).Run();
    BOOST_TEST(result.lowestLevel >= -kRounding,
               "seed " << seed << " lowest level " << result.lowestLevel);
    BOOST_TEST(result.admitted > 0, "seed " << seed << " admitted nothing");
  }
}

// Guards against a check that would not notice a new leader that grants while old leases last.
BOOST_AUTO_TEST_CASE(without_wait_after_election_the_property_fails)
{
  BOOST_TEST(
    IsViolated([](FleetOptions& options) { options.authority.guards.waitAfterElection = false; }));
}

// Guards against a check that would not notice leases that outlive their counting.
BOOST_AUTO_TEST_CASE(lease_counted_from_arrival_violates_the_property)
{
  BOOST_TEST(IsViolated([](FleetOptions& options) { options.table.leaseFromAsk = false; }));
}

// Guards against a check that would not notice a repeated ask that settles tokens twice.
BOOST_AUTO_TEST_CASE(settling_repeated_asks_violates_the_property)
{
  BOOST_TEST(
    IsViolated([](FleetOptions& options) { options.authority.guards.settleOnce = false; }));
}

// Guards against a check that would not notice grants beyond level + outstanding <= burst.
BOOST_AUTO_TEST_CASE(forgetting_outstanding_violates_the_property)
{
  BOOST_TEST(
    IsViolated([](FleetOptions& options) { options.authority.guards.countOutstanding = false; }));
}

// Guards against a check that would not notice an isolated leader that goes on granting.
BOOST_AUTO_TEST_CASE(leases_not_bound_by_confirmation_violate_the_property)
{
  BOOST_TEST(IsViolated(
    [](FleetOptions& options) { options.authority.guards.boundByConfirmation = false; }));
}

BOOST_AUTO_TEST_SUITE_END()
