#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

#include "acaciapulley/replication/raft_core.hpp"

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLargeBytes = 1U << 20U;

/// A leader that is the only voter, and a learner that has joined and never answers.
struct LoneLeader
{
  LoneLeader()
  {
    acp::RaftOptions options;
    options.self = { {}, "address of a", {} };
    options.random = [] { return 1U; };
    acp::StoredState state;
    state.hardState.identity = "a";
    core = std::make_unique<acp::RaftCore>(options, state, clock.Now());
    BOOST_REQUIRE(
      core
        ->Bootstrap({ .clusterId = "cluster", .voters = { { "a", "address of a", {} } } },
                    clock.WallNow())
        .has_value());
    for (int i = 0; i < 1000 && core->Role() != acp::RaftRole::Leader; ++i) {
      clock.Advance(5ms);
      core->Tick(Time());
      (void)Drain();
    }
    BOOST_REQUIRE((core->Role() == acp::RaftRole::Leader));
    acp::RaftMessage join;
    join.kind = acp::MessageKind::Join;
    join.from = "l";
    join.sender = { "l", "address of l", {} };
    core->Step(join, Time());
    (void)Drain();
  }

  [[nodiscard]] acp::RaftTime Time() const { return { clock.Now(), clock.WallNow() }; }

  /// Completes all work; returns the bytes of entries sent to the learner.
  std::size_t Drain()
  {
    std::size_t bytes = 0;
    for (auto ready = core->TakeReady(clock.Now()); !ready.IsEmpty();
         ready = core->TakeReady(clock.Now())) {
      core->OnPersisted(ready.writeNumber, Time());
      core->OnApplied(core->CommitIndex());
      for (const auto& message : ready.messages) {
        for (const auto& entry : message.entries) {
          bytes += entry.data.size();
        }
      }
    }
    return bytes;
  }

  /// Proposes @p count commands of @p size bytes each.
  std::size_t Propose(int count, std::size_t size)
  {
    std::size_t bytes = 0;
    for (int i = 0; i < count; ++i) {
      BOOST_REQUIRE(core->Propose(std::string(size, 'x'), clock.WallNow()).has_value());
      bytes += Drain();
    }
    return bytes;
  }

  acp::ManualClock clock;
  std::unique_ptr<acp::RaftCore> core;
};

} // namespace

BOOST_AUTO_TEST_SUITE(log_memory)

// Guards against a log that keeps large entries in memory by their number.
BOOST_AUTO_TEST_CASE(entries_below_a_snapshot_are_bounded_in_bytes)
{
  const acp::RaftOptions defaults;
  LoneLeader leader;
  for (int round = 0; round < 10; ++round) {
    leader.Propose(20, kLargeBytes);
    leader.core->Compact(leader.core->CommitIndex(), "state");
    (void)leader.Drain();
    BOOST_TEST(leader.core->Status().logBytes <= 4 * defaults.retainedBytes);
  }
  // The learner has been silent for longer than an election timeout and no longer counts.
  leader.clock.Advance(2 * defaults.electionTimeout);
  leader.core->Tick(leader.Time());
  leader.Propose(20, kLargeBytes);
  leader.core->Compact(leader.core->CommitIndex(), "state");
  (void)leader.Drain();
  BOOST_TEST(leader.core->Status().logBytes <= defaults.retainedBytes);
  BOOST_TEST(leader.core->Status().logBytes > defaults.retainedBytes / 2);
  // Small entries are kept by number.
  leader.Propose(1000, 10);
  leader.core->Compact(leader.core->CommitIndex(), "state");
  (void)leader.Drain();
  BOOST_TEST(leader.core->Status().logBytes <= defaults.retainedBytes);
}

// Guards against a queue of large entries to a follower that does not acknowledge them.
BOOST_AUTO_TEST_CASE(entries_in_flight_are_bounded_in_bytes)
{
  LoneLeader leader;
  const std::size_t sent = leader.Propose(50, kLargeBytes);
  BOOST_TEST(sent >= kLargeBytes);
  BOOST_TEST(sent <= acp::RaftOptions().maxBytesInFlight + kLargeBytes);
}

BOOST_AUTO_TEST_SUITE_END()
