#include <boost/test/unit_test.hpp>

#include "simulation.hpp"

namespace {

constexpr std::uint64_t kFirstSeed = 7'000;
constexpr int kScheduleMillis = 12'000;

SimulationOptions MakeOptions(std::uint64_t seed)
{
  return { .seed = seed, .replicas = seed % 2 == 0 ? 3U : 5U };
}

/// A guard that is disabled, and the faults that reveal this.
struct GuardCase
{
  const char* name;
  acp::RaftGuards guards;
  FaultPattern faults;
  std::size_t replicas;
};

/// Returns the first violation in the schedules of @p guardCase with @p guards, or an empty string.
std::string FindViolation(const GuardCase& guardCase, const acp::RaftGuards& guards)
{
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 100; ++seed) {
    SimulationOptions options;
    options.seed = seed;
    options.replicas = guardCase.replicas;
    options.guards = guards;
    options.faults = guardCase.faults;
    if (guardCase.faults == FaultPattern::OldTermEntries) {
      // Maximises the time between the replies to entries of different terms.
      options.maxAppendBytes = 1;
      options.maxEntriesInFlight = 1;
    }
    std::string violation = Simulation(options).Run(kScheduleMillis);
    if (!violation.empty()) {
      return violation;
    }
  }
  return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(core)

// Guards against lost acknowledged entries, diverging replicas, two leaders in one term, stale
// confirmed reads and clusters that do not recover, under random faults.
BOOST_AUTO_TEST_CASE(safety_and_recovery_hold_under_random_faults)
{
  BOOST_TEST_MESSAGE("seeds from " << kFirstSeed);
  std::size_t acknowledged = 0;
  std::size_t replacements = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 60; ++seed) {
    Simulation simulation(MakeOptions(seed));
    BOOST_REQUIRE_EQUAL(simulation.Run(kScheduleMillis), "");
    BOOST_REQUIRE_EQUAL(simulation.RunUntilRecovered(), "");
    acknowledged += simulation.AcknowledgedCount();
    replacements += simulation.ReplacementCount();
  }
  // The schedules are meaningful only if the cluster makes progress most of the time.
  BOOST_TEST_MESSAGE(acknowledged << " entries acknowledged, " << replacements << " replacements");
  BOOST_TEST(acknowledged > 10'000U);
  BOOST_TEST(replacements > 20U);
}

// Guards against the same failures while the leader replaces and adds voters automatically.
BOOST_AUTO_TEST_CASE(safety_and_recovery_hold_while_voters_change)
{
  std::size_t acknowledged = 0;
  std::size_t changes = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 60; ++seed) {
    SimulationOptions options = MakeOptions(seed);
    options.replicas = 5;
    options.maintainsVoters = true;
    Simulation simulation(options);
    BOOST_REQUIRE_EQUAL(simulation.Run(kScheduleMillis), "");
    BOOST_REQUIRE_EQUAL(simulation.RunUntilRecovered(), "");
    acknowledged += simulation.AcknowledgedCount();
    changes += simulation.VoterChangeCount();
  }
  BOOST_TEST_MESSAGE(acknowledged << " entries acknowledged, " << changes << " changes");
  BOOST_TEST(acknowledged > 10'000U);
  BOOST_TEST(changes > 120U); // each voter set grows by two
}

// Guards against fault schedules that do not detect a missing safety rule: runs them with each
// check disabled.
BOOST_AUTO_TEST_CASE(disabling_any_guard_is_detected)
{
  const std::vector<GuardCase> cases = {
    { "vote only when up to date", { .voteOnlyWhenUpToDate = false }, FaultPattern::Any, 3 },
    { "sync before reply", { .syncBeforeReply = false }, FaultPattern::Any, 3 },
    { "no vote without cluster",
      { .noVoteWithoutCluster = false },
      FaultPattern::LaggingReplicaAndLostDisk,
      3 },
    { "confirm by quorum", { .confirmByQuorum = false }, FaultPattern::DelayedReplies, 3 },
    { "commit only current term",
      { .commitOnlyCurrentTerm = false },
      FaultPattern::OldTermEntries,
      5 },
  };
  for (const auto& guardCase : cases) {
    const std::string violation = FindViolation(guardCase, guardCase.guards);
    BOOST_TEST_MESSAGE(guardCase.name << " off: " << violation);
    BOOST_TEST(violation != "", guardCase.name);
    BOOST_TEST(FindViolation(guardCase, {}) == "", guardCase.name);
  }
}

BOOST_AUTO_TEST_SUITE_END()
