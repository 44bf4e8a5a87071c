#include <map> // map

#include <boost/test/unit_test.hpp>

#include "acaciapulley/replication/detail/codec.hpp" // DecodeMembership, EncodeMembership
#include "acaciapulley/replication/raft_core.hpp"
#include "memory_disk.hpp"

namespace {

using namespace std::chrono_literals;
using acp::ReplicationErrorCode;

constexpr int kMaxRounds = 10'000;

/// Cores whose messages arrive at once, except to and from those cut off.
class Wire
{
public:
  std::map<std::string, std::unique_ptr<acp::RaftCore>> cores;
  std::set<std::string> cutOff;
  acp::ManualClock clock;
  std::size_t maxAppendBytes = 256U << 10U;
  acp::Duration voterSilence = acp::Duration::zero();
  std::size_t voterTarget = 0;
  bool maintainsVoters = false;
  int repliesToStrangers = 0; ///< messages to identities that are no core

  void Add(const std::string& id,
           const std::string& clusterId = {},
           const std::string& address = {})
  {
    acp::RaftOptions options;
    options.self = { {}, address.empty() ? "address of " + id : address, {} };
    options.random = [this] { return random_(); };
    options.maxAppendBytes = maxAppendBytes;
    options.voterSilence = voterSilence;
    options.voterTarget = voterTarget;
    acp::StoredState state;
    state.hardState.identity = id;
    state.hardState.clusterId = clusterId;
    cores[id] = std::make_unique<acp::RaftCore>(options, state, clock.Now());
  }

  void Run(acp::Duration span)
  {
    for (const auto end = clock.Now() + span; clock.Now() < end; clock.Advance(5ms)) {
      for (auto& [id, core] : cores) {
        core->Tick(Time());
        if (maintainsVoters) {
          (void)core->MaintainVoters(Time());
        }
      }
      int rounds = 0;
      while (PumpAll()) {
        BOOST_REQUIRE_MESSAGE(++rounds < kMaxRounds, "messages are exchanged without end");
      }
    }
  }

  [[nodiscard]] acp::RaftTime Time() const { return { clock.Now(), clock.WallNow() }; }

  acp::RaftCore& Leader()
  {
    for (auto& [id, core] : cores) {
      if (core->Role() == acp::RaftRole::Leader && !cutOff.contains(id)) {
        return *core;
      }
    }
    throw std::logic_error("no leader");
  }

  std::string Follower()
  {
    for (auto& [id, core] : cores) {
      if (core->Role() != acp::RaftRole::Leader && core->CurrentMembership().IsVoter(id)) {
        return id;
      }
    }
    return {};
  }

private:
  bool PumpAll()
  {
    bool isBusy = false;
    for (auto& [id, core] : cores) {
      acp::RaftReady ready = core->TakeReady(clock.Now());
      isBusy = isBusy || !ready.IsEmpty();
      core->Persisted(ready.writeNumber, Time());
      core->Applied(core->CommitIndex());
      ready.messages.insert(ready.messages.end(), ready.afterSync.begin(), ready.afterSync.end());
      for (const auto& message : ready.messages) {
        Pass(id, message);
      }
    }
    return isBusy;
  }

  void Pass(const std::string& from, const acp::RaftMessage& message)
  {
    if (!message.to.empty() && !cores.contains(message.to)) {
      ++repliesToStrangers;
    }
    for (auto& [id, core] : cores) {
      const bool isMeant = message.to.empty() ? id != from : id == message.to;
      if (isMeant && !cutOff.contains(from) && !cutOff.contains(id)) {
        core->Step(message, Time());
      }
    }
  }

  std::mt19937_64 random_{ 1 };
};

/// A cluster of three that has just started.
void Found(Wire& wire)
{
  acp::Membership initial{ .clusterId = "cluster" };
  for (const char* id : { "a", "b", "c" }) {
    wire.Add(id);
    initial.voters.push_back({ id, std::string("address of ") + id, {} });
  }
  for (auto& [id, core] : wire.cores) {
    BOOST_REQUIRE(core->Bootstrap(initial, wire.clock.WallNow()).has_value());
  }
}

/// A cluster of three with a leader, and a learner "d".
void Form(Wire& wire)
{
  Found(wire);
  wire.Add("d");
  wire.Run(3s);
}

ReplicationErrorCode CodeOf(const acp::ReplicationResult<acp::LogPosition>& result)
{
  return result.error().code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against a cluster that waits for a whole election timeout after all of it has restarted,
// although no replica has heard a leader.
BOOST_AUTO_TEST_CASE(replicas_that_have_heard_no_leader_elect_soon)
{
  const acp::RaftOptions defaults;
  Wire wire;
  Found(wire);
  wire.Run(2 * defaults.firstElectionTimeout + 10ms);
  BOOST_TEST(2 * defaults.firstElectionTimeout < defaults.electionTimeout);
  BOOST_TEST(wire.Leader().Term() > 1U);
}

// Guards against a replaced identity that still votes or disturbs, and against its return.
BOOST_AUTO_TEST_CASE(replaced_identity_is_refused_for_good)
{
  Wire wire;
  Form(wire);
  const std::string lost = wire.Follower();
  wire.cutOff.insert(lost);
  BOOST_REQUIRE(wire.Leader().Replace(lost, "d", wire.clock.WallNow()).has_value());
  wire.Run(1s);
  acp::RaftCore& leader = wire.Leader();
  BOOST_TEST(leader.MembershipIsSettled());
  BOOST_TEST(leader.CurrentMembership().IsVoter("d"));
  BOOST_TEST(leader.CurrentMembership().IsRetired(lost));

  // The old identity is alive after all: it must not be heard, nor be taken back as a learner.
  const std::uint64_t term = leader.Term();
  wire.cutOff.clear();
  wire.Run(5s);
  BOOST_TEST(wire.Leader().Term() == term);
  BOOST_TEST(wire.cores[lost]->CommitIndex() < wire.Leader().CommitIndex());
  BOOST_TEST((CodeOf(wire.Leader().Replace("d", lost, wire.clock.WallNow())) ==
              ReplicationErrorCode::ChangeRefused));

  // The new voter counts: it and one more are a quorum.
  wire.cutOff = { lost, wire.Follower() == "d" ? "none" : wire.Follower() };
  const auto position = wire.Leader().Propose("x", wire.clock.WallNow());
  wire.Run(1s);
  BOOST_TEST(wire.Leader().CommitIndex() >= position.value().index);
}

// Guards against a replica that never catches up because the leader takes the answer to a later
// message of the same repair as progress.
BOOST_AUTO_TEST_CASE(conflicting_tail_is_replaced_when_the_repair_takes_several_messages)
{
  Wire wire;
  wire.maxAppendBytes = 64;
  Form(wire);
  const std::string old = wire.Leader().Hard().identity;
  wire.cutOff = { old };
  for (int i = 0; i < 3; ++i) {
    BOOST_REQUIRE(wire.cores[old]->Propose("dropped", wire.clock.WallNow()).has_value());
  }
  wire.Run(2s);
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(wire.Leader().Propose(std::string(60, 'x'), wire.clock.WallNow()).has_value());
  }
  wire.Run(500ms);
  const std::uint64_t committed = wire.Leader().CommitIndex();
  wire.cutOff.clear();
  wire.Run(2s);
  BOOST_TEST(wire.cores[old]->CommitIndex() >= committed);
}

// Guards against a host with an empty disk that waits for an operator, or takes another's vote.
BOOST_AUTO_TEST_CASE(voter_whose_host_came_back_empty_is_replaced_without_an_operator)
{
  Wire wire;
  Form(wire);
  BOOST_TEST(!wire.Leader().MaintainVoters(wire.Time()).has_value());
  const std::string lost = wire.Follower();
  wire.cores.erase(lost);
  wire.Add("returned", {}, "address of " + lost);
  BOOST_TEST(!wire.Leader().MaintainVoters(wire.Time()).has_value());
  wire.Run(1s);
  BOOST_REQUIRE(wire.Leader().MaintainVoters(wire.Time()).has_value());
  wire.Run(1s);
  const acp::Membership& membership = wire.Leader().CurrentMembership();
  BOOST_TEST(membership.IsVoter("returned"));
  BOOST_TEST(membership.IsRetired(lost));
  BOOST_TEST(membership.voters.size() == 3U);
  BOOST_TEST(!membership.IsVoter("d"));
  BOOST_TEST(!wire.Leader().MaintainVoters(wire.Time()).has_value());
}

// Guards against a set without a leader when a second host is lost right after a repair, before the
// new voter has the entry that made it one.
BOOST_AUTO_TEST_CASE(new_voter_votes_before_it_knows_that_it_is_one)
{
  Wire wire;
  Form(wire);
  const std::string leader = wire.Leader().Hard().identity;
  const std::string lost = wire.Follower();
  wire.cutOff = { lost, "d" };
  BOOST_REQUIRE(wire.Leader().Replace(lost, "d", wire.clock.WallNow()).has_value());
  wire.Run(500ms);
  BOOST_TEST(wire.Leader().MembershipIsSettled());
  BOOST_TEST(!wire.cores["d"]->CurrentMembership().IsVoter("d"));
  wire.cutOff = { lost, leader };
  wire.Run(5s);
  BOOST_TEST(wire.Leader().MembershipIsSettled());
  BOOST_TEST(wire.cores["d"]->CurrentMembership().IsVoter("d"));
}

// Guards against a learner that is left alone because it holds a replacement that was dropped.
BOOST_AUTO_TEST_CASE(learner_of_a_dropped_replacement_joins_again)
{
  Wire wire;
  Form(wire);
  const std::string leader = wire.Leader().Hard().identity;
  wire.cutOff = { "a", "b", "c" };
  wire.cutOff.erase(leader);
  BOOST_REQUIRE(wire.Leader().Replace(wire.Follower(), "d", wire.clock.WallNow()).has_value());
  wire.Run(100ms);
  BOOST_TEST(wire.cores["d"]->CurrentMembership().IsVoter("d"));
  wire.cutOff = { leader };
  wire.Run(5s);
  BOOST_TEST(!wire.Leader().CurrentMembership().IsVoter("d"));
  BOOST_TEST(wire.cores["d"]->CommitIndex() == wire.Leader().CommitIndex());
}

// Guards against a set that shrinks with each host that is replaced at another address, until the
// next loss stops it.
BOOST_AUTO_TEST_CASE(voter_gone_for_good_is_replaced_by_a_learner_at_another_address)
{
  Wire wire;
  wire.maintainsVoters = true;
  wire.voterSilence = 1s;
  Form(wire);
  const std::string gone = wire.Follower();
  wire.cores.erase(gone);
  wire.Run(3s);
  const acp::Membership& membership = wire.Leader().CurrentMembership();
  BOOST_TEST(wire.Leader().MembershipIsSettled());
  BOOST_TEST(!membership.IsVoter(gone));
  BOOST_TEST(membership.IsVoter("d"));
  BOOST_TEST(membership.voters.size() == 3U);

  // The new voter counts: one more of the founders may go.
  wire.cores.erase(wire.Follower() == "d" ? wire.Leader().Hard().identity : wire.Follower());
  wire.Run(3s);
  const auto position = wire.Leader().Propose("x", wire.clock.WallNow());
  wire.Run(1s);
  BOOST_TEST(wire.Leader().CommitIndex() >= position.value().index);
}

// Guards against a set that stays at the founders although more losses must be borne at once.
BOOST_AUTO_TEST_CASE(set_grows_until_it_bears_the_losses_asked_for)
{
  Wire wire;
  wire.maintainsVoters = true;
  wire.voterTarget = 5;
  Found(wire);
  for (const char* id : { "d", "e", "f" }) {
    wire.Add(id);
  }
  wire.Run(4s);
  BOOST_TEST(wire.Leader().CurrentMembership().voters.size() == 5U);
  BOOST_TEST(wire.Leader().Learners().size() == 1U);

  wire.cores.erase(wire.Leader().Hard().identity);
  wire.cores.erase(wire.Follower());
  wire.Run(4s);
  const auto position = wire.Leader().Propose("x", wire.clock.WallNow());
  wire.Run(1s);
  BOOST_TEST(wire.Leader().CommitIndex() >= position.value().index);
}

// Guards against a host that stays out for good because it was frozen while it was replaced.
BOOST_AUTO_TEST_CASE(voter_replaced_while_cut_off_comes_back_as_a_learner)
{
  Wire wire;
  wire.maintainsVoters = true;
  wire.voterSilence = 1s;
  Form(wire);
  const std::string silent = wire.Follower();
  wire.cutOff = { silent };
  wire.Run(3s);
  BOOST_REQUIRE(!wire.Leader().CurrentMembership().IsVoter(silent));
  const std::uint64_t term = wire.Leader().Term();
  wire.cutOff.clear();
  wire.Run(3s);
  BOOST_TEST(wire.Leader().Term() == term);
  BOOST_REQUIRE(wire.Leader().Learners().size() == 1U);
  BOOST_TEST(wire.Leader().Learners().front().id == silent);
  BOOST_TEST(wire.cores[silent]->CommitIndex() == wire.Leader().CommitIndex());

  // It may become a voter again.
  wire.cores.erase(wire.Follower());
  wire.Run(3s);
  BOOST_TEST(wire.Leader().CurrentMembership().IsVoter(silent));
}

// Guards against changes of the set while every voter is heard, or without a learner.
BOOST_AUTO_TEST_CASE(sound_set_is_left_alone)
{
  Wire wire;
  wire.maintainsVoters = true;
  wire.voterSilence = 1s;
  wire.voterTarget = 3;
  Form(wire);
  const acp::Membership before = wire.Leader().CurrentMembership();
  wire.Run(10s);
  BOOST_TEST((wire.Leader().CurrentMembership() == before));
  wire.cutOff = { "d", wire.Follower() };
  wire.Run(10s);
  BOOST_TEST((wire.Leader().CurrentMembership() == before));
}

// Guards against a new host that knows only followers and never reaches the leader.
BOOST_AUTO_TEST_CASE(followers_pass_a_joining_replica_on_to_the_leader)
{
  Wire wire;
  Found(wire);
  wire.Run(3s);
  acp::RaftMessage join;
  join.kind = acp::MessageKind::Join;
  join.from = "new";
  join.sender = { "new", "address of new", {} };
  wire.cores[wire.Follower()]->Step(join, wire.Time());
  wire.Run(100ms);
  BOOST_REQUIRE(wire.Leader().Learners().size() == 1U);
  BOOST_TEST((wire.Leader().Learners().front() == join.sender));
}

// Guards against entries of earlier versions that can no longer be read, and a lost mark.
BOOST_AUTO_TEST_CASE(memberships_are_read_back_with_and_without_demoted_voters)
{
  acp::Membership membership{ .clusterId = "cluster", .retiredIds = { "lost" } };
  membership.voters.push_back({ "a", "address of a", "operator of a" });
  const std::string plain = acp::detail::EncodeMembership(membership);
  BOOST_TEST((acp::detail::DecodeMembership(plain).value() == membership));
  membership.demotedIds = { "b" };
  const std::string marked = acp::detail::EncodeMembership(membership);
  BOOST_TEST(marked.size() > plain.size());
  BOOST_TEST((acp::detail::DecodeMembership(marked).value() == membership));
  BOOST_TEST(!acp::detail::DecodeMembership(marked.substr(0, marked.size() - 1)).has_value());
}

// Guards against changes that could leave two quorums or a set that cannot work.
BOOST_AUTO_TEST_CASE(unsafe_replacements_are_refused)
{
  Wire wire;
  Form(wire);
  acp::RaftCore& leader = wire.Leader();
  const std::string self = leader.Hard().identity;
  const std::string follower = wire.Follower();
  const auto wall = wire.clock.WallNow();
  for (const auto& [lostId, newId] : std::vector<std::pair<std::string, std::string>>{
         { self, "d" }, { follower, "unknown" }, { "unknown", "d" }, { follower, self } }) {
    BOOST_TEST(
      (CodeOf(leader.Replace(lostId, newId, wall)) == ReplicationErrorCode::ChangeRefused));
  }
  BOOST_TEST(
    (CodeOf(wire.cores[follower]->Replace(self, "d", wall)) == ReplicationErrorCode::NotLeader));

  // A learner that is behind, and a second change beside one that is not committed.
  wire.cutOff.insert("d");
  for (int i = 0; i < 200; ++i) {
    (void)leader.Propose("x", wall);
  }
  wire.Run(100ms);
  BOOST_TEST((CodeOf(leader.Replace(follower, "d", wall)) == ReplicationErrorCode::ChangeRefused));
  wire.cutOff.clear();
  wire.Run(1s);
  BOOST_REQUIRE(leader.Replace(follower, "d", wall).has_value());
  BOOST_TEST((CodeOf(leader.Replace(follower, "d", wall)) == ReplicationErrorCode::ChangeRefused));
}

// Guards against a host without its disk that bootstraps itself back to a vote, and against
// messages between clusters.
BOOST_AUTO_TEST_CASE(strangers_have_no_vote)
{
  Wire wire;
  Form(wire);
  const acp::Membership initial = wire.Leader().CurrentMembership();
  wire.Add("fresh");
  BOOST_TEST(!wire.cores["fresh"]->Bootstrap(initial, wire.clock.WallNow()).has_value());
  acp::Membership other{ .clusterId = "other" };
  other.voters.push_back({ "a", "address of a", {} });
  BOOST_TEST(!wire.cores["a"]->Bootstrap(other, wire.clock.WallNow()).has_value());

  const std::uint64_t term = wire.Leader().Term();
  for (const char* clusterId : { "other", "" }) {
    for (const auto kind : { acp::MessageKind::PreVote,
                             acp::MessageKind::Vote,
                             acp::MessageKind::Append,
                             acp::MessageKind::Snapshot }) {
      acp::RaftMessage message;
      message.kind = kind;
      message.clusterId = clusterId;
      message.from = "stranger";
      message.to = wire.Follower();
      message.term = term + 10;
      message.position = { term + 9, 1000 };
      wire.cores[message.to]->Step(message, wire.Time());
    }
  }
  wire.Run(1s);
  BOOST_TEST(wire.Leader().Term() == term);
  BOOST_TEST(wire.repliesToStrangers == 0);
}

BOOST_AUTO_TEST_SUITE_END()
