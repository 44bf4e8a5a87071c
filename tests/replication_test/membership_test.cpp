#include <map> // map

#include <boost/test/unit_test.hpp>

#include "acaciapulley/replication/detail/codec.hpp" // DecodeMembership, EncodeMembership
#include "acaciapulley/replication/raft_core.hpp"
#include "memory_disk.hpp"

namespace {

using namespace std::chrono_literals;
using acp::ReplicationErrorCode;

constexpr int kMaxMessageRounds = 10'000;

/// Cores whose messages are delivered immediately, except to and from isolated ones.
class InMemoryCluster
{
public:
  std::map<std::string, std::unique_ptr<acp::RaftCore>> cores;
  std::set<std::string> isolated;
  acp::ManualClock clock;
  std::size_t maxAppendBytes = 256U << 10U;
  acp::Duration voterSilenceTimeout = acp::Duration::zero();
  std::size_t targetVoterCount = 0;
  bool maintainsVoters = false;
  int messagesToUnknownReplicas = 0; ///< messages to identities without a core

  void Add(const std::string& id,
           const std::string& clusterId = {},
           const std::string& address = {})
  {
    acp::RaftOptions options;
    options.self = { {}, address.empty() ? "address of " + id : address, {} };
    options.random = [this] { return random_(); };
    options.maxAppendBytes = maxAppendBytes;
    options.voterSilenceTimeout = voterSilenceTimeout;
    options.targetVoterCount = targetVoterCount;
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
      while (ProcessReady()) {
        BOOST_REQUIRE_MESSAGE(++rounds < kMaxMessageRounds, "messages are exchanged without end");
      }
    }
  }

  [[nodiscard]] acp::RaftTime Time() const { return { clock.Now(), clock.WallNow() }; }

  acp::RaftCore& Leader()
  {
    for (auto& [id, core] : cores) {
      if (core->Role() == acp::RaftRole::Leader && !isolated.contains(id)) {
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
  bool ProcessReady()
  {
    bool isBusy = false;
    for (auto& [id, core] : cores) {
      acp::RaftReady ready = core->TakeReady(clock.Now());
      isBusy = isBusy || !ready.IsEmpty();
      core->OnPersisted(ready.writeNumber, Time());
      core->OnApplied(core->CommitIndex());
      ready.messages.insert(
        ready.messages.end(), ready.messagesAfterSync.begin(), ready.messagesAfterSync.end());
      for (const auto& message : ready.messages) {
        Deliver(id, message);
      }
    }
    return isBusy;
  }

  void Deliver(const std::string& from, const acp::RaftMessage& message)
  {
    if (!message.to.empty() && !cores.contains(message.to)) {
      ++messagesToUnknownReplicas;
    }
    for (auto& [id, core] : cores) {
      const bool isMeant = message.to.empty() ? id != from : id == message.to;
      if (isMeant && !isolated.contains(from) && !isolated.contains(id)) {
        core->Step(message, Time());
      }
    }
  }

  std::mt19937_64 random_{ 1 };
};

/// Starts a cluster of three replicas.
void StartCluster(InMemoryCluster& cluster)
{
  acp::Membership initial{ .clusterId = "cluster" };
  for (const char* id : { "a", "b", "c" }) {
    cluster.Add(id);
    initial.voters.push_back({ id, std::string("address of ") + id, {} });
  }
  for (auto& [id, core] : cluster.cores) {
    BOOST_REQUIRE(core->Bootstrap(initial, cluster.clock.WallNow()).has_value());
  }
}

/// Starts a cluster of three replicas and a learner "d", and runs it until a leader is elected.
void StartClusterWithLearner(InMemoryCluster& cluster)
{
  StartCluster(cluster);
  cluster.Add("d");
  cluster.Run(3s);
}

ReplicationErrorCode CodeOf(const acp::ReplicationResult<acp::LogPosition>& result)
{
  return result.error().code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against a cluster that waits for a full election timeout after all its replicas restarted,
// although none of them has heard from a leader.
BOOST_AUTO_TEST_CASE(restarted_replicas_use_the_first_election_timeout)
{
  const acp::RaftOptions defaults;
  InMemoryCluster cluster;
  StartCluster(cluster);
  cluster.Run(2 * defaults.firstElectionTimeout + 10ms);
  BOOST_TEST(2 * defaults.firstElectionTimeout < defaults.electionTimeout);
  BOOST_TEST(cluster.Leader().Term() > 1U);
}

// Guards against a replaced identity that still votes, disrupts the leader or rejoins as a learner.
BOOST_AUTO_TEST_CASE(replaced_identity_cannot_vote_or_rejoin)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  const std::string lost = cluster.Follower();
  cluster.isolated.insert(lost);
  BOOST_REQUIRE(cluster.Leader().Replace(lost, "d", cluster.clock.WallNow()).has_value());
  cluster.Run(1s);
  acp::RaftCore& leader = cluster.Leader();
  BOOST_TEST(leader.IsMembershipStable());
  BOOST_TEST(leader.CurrentMembership().IsVoter("d"));
  BOOST_TEST(leader.CurrentMembership().IsRetired(lost));

  // The old identity is still running: its messages must be ignored, and it must not become a
  // learner.
  const std::uint64_t term = leader.Term();
  cluster.isolated.clear();
  cluster.Run(5s);
  BOOST_TEST(cluster.Leader().Term() == term);
  BOOST_TEST(cluster.cores[lost]->CommitIndex() < cluster.Leader().CommitIndex());
  BOOST_TEST((CodeOf(cluster.Leader().Replace("d", lost, cluster.clock.WallNow())) ==
              ReplicationErrorCode::ChangeRefused));

  // The new voter counts: together with one other it forms a quorum.
  cluster.isolated = { lost, cluster.Follower() == "d" ? "none" : cluster.Follower() };
  const auto position = cluster.Leader().Propose("x", cluster.clock.WallNow());
  cluster.Run(1s);
  BOOST_TEST(cluster.Leader().CommitIndex() >= position.value().index);
}

// Guards against a replica that never catches up: its log conflicts, the repair takes several
// messages, and the leader mistakes the reply to a later one for progress.
BOOST_AUTO_TEST_CASE(conflicting_entries_are_replaced_over_several_append_messages)
{
  InMemoryCluster cluster;
  cluster.maxAppendBytes = 64;
  StartClusterWithLearner(cluster);
  const std::string old = cluster.Leader().CurrentHardState().identity;
  cluster.isolated = { old };
  for (int i = 0; i < 3; ++i) {
    BOOST_REQUIRE(cluster.cores[old]->Propose("dropped", cluster.clock.WallNow()).has_value());
  }
  cluster.Run(2s);
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(
      cluster.Leader().Propose(std::string(60, 'x'), cluster.clock.WallNow()).has_value());
  }
  cluster.Run(500ms);
  const std::uint64_t committed = cluster.Leader().CommitIndex();
  cluster.isolated.clear();
  cluster.Run(2s);
  BOOST_TEST(cluster.cores[old]->CommitIndex() >= committed);
}

// Guards against a host with an empty disk that waits for an operator, or that replaces another
// voter.
BOOST_AUTO_TEST_CASE(voter_that_lost_its_disk_is_replaced_without_an_operator)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  BOOST_TEST(!cluster.Leader().MaintainVoters(cluster.Time()).has_value());
  const std::string lost = cluster.Follower();
  cluster.cores.erase(lost);
  cluster.Add("returned", {}, "address of " + lost);
  BOOST_TEST(!cluster.Leader().MaintainVoters(cluster.Time()).has_value());
  cluster.Run(1s);
  BOOST_REQUIRE(cluster.Leader().MaintainVoters(cluster.Time()).has_value());
  cluster.Run(1s);
  const acp::Membership& membership = cluster.Leader().CurrentMembership();
  BOOST_TEST(membership.IsVoter("returned"));
  BOOST_TEST(membership.IsRetired(lost));
  BOOST_TEST(membership.voters.size() == 3U);
  BOOST_TEST(!membership.IsVoter("d"));
  BOOST_TEST(!cluster.Leader().MaintainVoters(cluster.Time()).has_value());
}

// Guards against a voter set that cannot elect a leader: a second host is lost right after a
// replacement, before the new voter has the membership entry.
BOOST_AUTO_TEST_CASE(new_voter_votes_before_it_has_the_membership_entry)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  const std::string leader = cluster.Leader().CurrentHardState().identity;
  const std::string lost = cluster.Follower();
  cluster.isolated = { lost, "d" };
  BOOST_REQUIRE(cluster.Leader().Replace(lost, "d", cluster.clock.WallNow()).has_value());
  cluster.Run(500ms);
  BOOST_TEST(cluster.Leader().IsMembershipStable());
  BOOST_TEST(!cluster.cores["d"]->CurrentMembership().IsVoter("d"));
  cluster.isolated = { lost, leader };
  cluster.Run(5s);
  BOOST_TEST(cluster.Leader().IsMembershipStable());
  BOOST_TEST(cluster.cores["d"]->CurrentMembership().IsVoter("d"));
}

// Guards against a learner that is no longer replicated to: its log contains a replacement that was
// never committed, so it considers itself a voter.
BOOST_AUTO_TEST_CASE(learner_rejoins_after_its_replacement_entry_is_dropped)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  const std::string leader = cluster.Leader().CurrentHardState().identity;
  cluster.isolated = { "a", "b", "c" };
  cluster.isolated.erase(leader);
  BOOST_REQUIRE(
    cluster.Leader().Replace(cluster.Follower(), "d", cluster.clock.WallNow()).has_value());
  cluster.Run(100ms);
  BOOST_TEST(cluster.cores["d"]->CurrentMembership().IsVoter("d"));
  cluster.isolated = { leader };
  cluster.Run(5s);
  BOOST_TEST(!cluster.Leader().CurrentMembership().IsVoter("d"));
  BOOST_TEST(cluster.cores["d"]->CommitIndex() == cluster.Leader().CommitIndex());
}

// Guards against a voter set that loses a working voter with each host that is replaced at another
// address, until it has no quorum.
BOOST_AUTO_TEST_CASE(silent_voter_is_replaced_by_a_learner_at_another_address)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.voterSilenceTimeout = 1s;
  StartClusterWithLearner(cluster);
  const std::string gone = cluster.Follower();
  cluster.cores.erase(gone);
  cluster.Run(3s);
  const acp::Membership& membership = cluster.Leader().CurrentMembership();
  BOOST_TEST(cluster.Leader().IsMembershipStable());
  BOOST_TEST(!membership.IsVoter(gone));
  BOOST_TEST(membership.IsVoter("d"));
  BOOST_TEST(membership.voters.size() == 3U);

  // The new voter counts: one more of the initial voters may be lost.
  cluster.cores.erase(cluster.Follower() == "d" ? cluster.Leader().CurrentHardState().identity
                                                : cluster.Follower());
  cluster.Run(3s);
  const auto position = cluster.Leader().Propose("x", cluster.clock.WallNow());
  cluster.Run(1s);
  BOOST_TEST(cluster.Leader().CommitIndex() >= position.value().index);
}

// Guards against a voter set that stays at the initial voters although it must tolerate more
// simultaneous losses.
BOOST_AUTO_TEST_CASE(voter_set_grows_to_the_target_size)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.targetVoterCount = 5;
  StartCluster(cluster);
  for (const char* id : { "d", "e", "f" }) {
    cluster.Add(id);
  }
  cluster.Run(4s);
  BOOST_TEST(cluster.Leader().CurrentMembership().voters.size() == 5U);
  BOOST_TEST(cluster.Leader().Learners().size() == 1U);

  cluster.cores.erase(cluster.Leader().CurrentHardState().identity);
  cluster.cores.erase(cluster.Follower());
  cluster.Run(4s);
  const auto position = cluster.Leader().Propose("x", cluster.clock.WallNow());
  cluster.Run(1s);
  BOOST_TEST(cluster.Leader().CommitIndex() >= position.value().index);
}

// Guards against a host that can never rejoin because it was isolated or frozen while it was
// replaced.
BOOST_AUTO_TEST_CASE(voter_replaced_while_isolated_rejoins_as_a_learner)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.voterSilenceTimeout = 1s;
  StartClusterWithLearner(cluster);
  const std::string silent = cluster.Follower();
  cluster.isolated = { silent };
  cluster.Run(3s);
  BOOST_REQUIRE(!cluster.Leader().CurrentMembership().IsVoter(silent));
  const std::uint64_t term = cluster.Leader().Term();
  cluster.isolated.clear();
  cluster.Run(3s);
  BOOST_TEST(cluster.Leader().Term() == term);
  BOOST_REQUIRE(cluster.Leader().Learners().size() == 1U);
  BOOST_TEST(cluster.Leader().Learners().front().id == silent);
  BOOST_TEST(cluster.cores[silent]->CommitIndex() == cluster.Leader().CommitIndex());

  // It can become a voter again.
  cluster.cores.erase(cluster.Follower());
  cluster.Run(3s);
  BOOST_TEST(cluster.Leader().CurrentMembership().IsVoter(silent));
}

// Guards against changes of the voter set while no voter is silent, or without a reachable learner.
BOOST_AUTO_TEST_CASE(healthy_voter_set_is_not_changed)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.voterSilenceTimeout = 1s;
  cluster.targetVoterCount = 3;
  StartClusterWithLearner(cluster);
  const acp::Membership before = cluster.Leader().CurrentMembership();
  cluster.Run(10s);
  BOOST_TEST((cluster.Leader().CurrentMembership() == before));
  cluster.isolated = { "d", cluster.Follower() };
  cluster.Run(10s);
  BOOST_TEST((cluster.Leader().CurrentMembership() == before));
}

// Guards against a new host that never reaches the leader because it knows only followers.
BOOST_AUTO_TEST_CASE(followers_forward_join_messages_to_the_leader)
{
  InMemoryCluster cluster;
  StartCluster(cluster);
  cluster.Run(3s);
  acp::RaftMessage join;
  join.kind = acp::MessageKind::Join;
  join.from = "new";
  join.sender = { "new", "address of new", {} };
  cluster.cores[cluster.Follower()]->Step(join, cluster.Time());
  cluster.Run(100ms);
  BOOST_REQUIRE(cluster.Leader().Learners().size() == 1U);
  BOOST_TEST((cluster.Leader().Learners().front() == join.sender));
}

// Guards against entries of earlier versions that can no longer be read, and against lost demoted
// identities.
BOOST_AUTO_TEST_CASE(membership_encoding_round_trips_with_and_without_demoted_voters)
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

// Guards against a live voter that is replaced by the identity of a lost disk: the leader still has
// the record of that identity when a later one at its address has become a voter.
BOOST_AUTO_TEST_CASE(record_of_a_learner_with_a_lost_disk_does_not_replace_a_live_voter)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.voterSilenceTimeout = 1s;
  StartClusterWithLearner(cluster);
  cluster.cores.erase("d");
  cluster.Add("d2", {}, "address of d");
  cluster.Run(1s);
  const std::string silent = cluster.Follower();
  cluster.isolated = { silent };
  cluster.Run(3s);
  const acp::Membership& membership = cluster.Leader().CurrentMembership();
  BOOST_TEST(membership.IsVoter("d2"));
  BOOST_TEST(!membership.IsVoter("d"));
  BOOST_TEST(!membership.IsRetired("d2"));
  BOOST_TEST(!membership.IsVoter(silent));

  // The set bears the loss of one more disk.
  cluster.cores.erase(cluster.Leader().CurrentHardState().identity);
  cluster.isolated.clear();
  cluster.Run(5s);
  const auto position = cluster.Leader().Propose("x", cluster.clock.WallNow());
  cluster.Run(1s);
  BOOST_TEST(cluster.Leader().CommitIndex() >= position.value().index);
}

// Guards against a message of an earlier identity at an address that arrives after the later one
// has reported, on the same leader and on the next.
BOOST_AUTO_TEST_CASE(late_join_of_an_earlier_identity_changes_nothing)
{
  for (const bool isVoterLost : { false, true }) {
    InMemoryCluster cluster;
    cluster.maintainsVoters = true;
    cluster.voterSilenceTimeout = 5s;
    StartClusterWithLearner(cluster);
    const std::string earlier = isVoterLost ? cluster.Follower() : "d";
    acp::RaftMessage join;
    join.kind = acp::MessageKind::Join;
    join.clusterId = "cluster";
    join.from = earlier;
    join.sender = { earlier, "address of " + earlier, {} };
    cluster.cores.erase(earlier);
    cluster.Add("later", {}, "address of " + earlier);
    cluster.Run(2s);
    for (int leaders = 0; leaders < 2; ++leaders) {
      for (int i = 0; i < 10; ++i) {
        cluster.Leader().Step(join, cluster.Time());
        cluster.Run(200ms);
      }
      const acp::Membership& membership = cluster.Leader().CurrentMembership();
      BOOST_TEST(!membership.IsVoter(earlier));
      BOOST_TEST(membership.IsRetired(earlier));
      BOOST_TEST(!membership.IsRetired("later"));
      BOOST_TEST(membership.IsVoter("later") == isVoterLost);
      for (const auto& learner : cluster.Leader().Learners()) {
        BOOST_TEST(learner.id != earlier);
      }
      if (leaders == 0) {
        cluster.isolated = { cluster.Leader().CurrentHardState().identity };
        cluster.Run(2s);
        cluster.isolated.clear();
      }
    }
  }
}

// Guards against a learner that is counted as reachable because it asked to join, although it has
// not answered since.
BOOST_AUTO_TEST_CASE(learner_that_does_not_answer_does_not_become_a_voter)
{
  InMemoryCluster cluster;
  cluster.maintainsVoters = true;
  cluster.voterSilenceTimeout = 1s;
  StartCluster(cluster);
  cluster.Run(3s);
  const std::string silent = cluster.Follower();
  cluster.isolated = { silent };
  acp::RaftMessage join;
  join.kind = acp::MessageKind::Join;
  join.from = "mute";
  join.sender = { "mute", "address of mute", {} };
  for (int i = 0; i < 30; ++i) {
    cluster.Leader().Step(join, cluster.Time());
    cluster.Run(100ms);
  }
  BOOST_TEST(cluster.Leader().CurrentMembership().IsVoter(silent));
  BOOST_TEST(!cluster.Leader().CurrentMembership().IsVoter("mute"));
}

// Guards against a replica that was replaced while it was out of reach, and then runs for good
// without a leader.
BOOST_AUTO_TEST_CASE(replaced_replica_learns_of_it_and_joins_under_a_new_identity)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  const std::string replaced = cluster.Follower();
  cluster.isolated = { replaced };
  BOOST_REQUIRE(cluster.Leader().Replace(replaced, "d", cluster.clock.WallNow()).has_value());
  cluster.Run(1s);
  BOOST_TEST(!cluster.cores[replaced]->IsRetired());
  cluster.isolated.clear();
  // Twice the election timeout: the replica asks for a leader at least that often.
  cluster.Run(2 * acp::RaftOptions().electionTimeout);
  BOOST_REQUIRE(cluster.cores[replaced]->IsRetired());
  const std::string next = cluster.cores[replaced]->CurrentHardState().identity;
  BOOST_TEST(next != replaced);
  cluster.cores.erase(replaced);
  cluster.Add(next, "cluster", "address of " + replaced);
  cluster.Run(1s);
  BOOST_REQUIRE(cluster.Leader().Learners().size() == 1U);
  BOOST_TEST(cluster.Leader().Learners().front().id == next);
  BOOST_TEST(cluster.cores[next]->CommitIndex() == cluster.Leader().CommitIndex());
}

// Guards against changes that could lead to two quorums or to a voter set without a quorum.
BOOST_AUTO_TEST_CASE(unsafe_replacements_are_refused)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  acp::RaftCore& leader = cluster.Leader();
  const std::string self = leader.CurrentHardState().identity;
  const std::string follower = cluster.Follower();
  const auto wall = cluster.clock.WallNow();
  for (const auto& [lostId, newId] : std::vector<std::pair<std::string, std::string>>{
         { self, "d" }, { follower, "unknown" }, { "unknown", "d" }, { follower, self } }) {
    BOOST_TEST(
      (CodeOf(leader.Replace(lostId, newId, wall)) == ReplicationErrorCode::ChangeRefused));
  }
  BOOST_TEST(
    (CodeOf(cluster.cores[follower]->Replace(self, "d", wall)) == ReplicationErrorCode::NotLeader));

  // A learner that has not caught up, and a second change while the first is not committed.
  cluster.isolated.insert("d");
  for (int i = 0; i < 200; ++i) {
    (void)leader.Propose("x", wall);
  }
  cluster.Run(100ms);
  BOOST_TEST((CodeOf(leader.Replace(follower, "d", wall)) == ReplicationErrorCode::ChangeRefused));
  cluster.isolated.clear();
  cluster.Run(1s);
  BOOST_REQUIRE(leader.Replace(follower, "d", wall).has_value());
  BOOST_TEST((CodeOf(leader.Replace(follower, "d", wall)) == ReplicationErrorCode::ChangeRefused));
}

// Guards against a host that lost its disk and regains its vote by a bootstrap, and against
// messages from other clusters.
BOOST_AUTO_TEST_CASE(replicas_outside_the_cluster_cannot_vote_or_bootstrap)
{
  InMemoryCluster cluster;
  StartClusterWithLearner(cluster);
  const acp::Membership initial = cluster.Leader().CurrentMembership();
  cluster.Add("fresh");
  BOOST_TEST(!cluster.cores["fresh"]->Bootstrap(initial, cluster.clock.WallNow()).has_value());
  acp::Membership other{ .clusterId = "other" };
  other.voters.push_back({ "a", "address of a", {} });
  BOOST_TEST(!cluster.cores["a"]->Bootstrap(other, cluster.clock.WallNow()).has_value());

  const std::uint64_t term = cluster.Leader().Term();
  for (const char* clusterId : { "other", "" }) {
    for (const auto kind : { acp::MessageKind::PreVote,
                             acp::MessageKind::Vote,
                             acp::MessageKind::Append,
                             acp::MessageKind::Snapshot }) {
      acp::RaftMessage message;
      message.kind = kind;
      message.clusterId = clusterId;
      message.from = "stranger";
      message.to = cluster.Follower();
      message.term = term + 10;
      message.position = { term + 9, 1000 };
      cluster.cores[message.to]->Step(message, cluster.Time());
    }
  }
  cluster.Run(1s);
  BOOST_TEST(cluster.Leader().Term() == term);
  BOOST_TEST(cluster.messagesToUnknownReplicas == 0);
}

BOOST_AUTO_TEST_SUITE_END()
