#include <boost/test/unit_test.hpp>

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <string>             // string, to_string

#include "acaciapulley/control/detail/rpc_handler.hpp"
#include "acaciapulley/control/poll_relay.hpp"
#include "control_fixture.hpp"

namespace {

constexpr acp::Duration kMillisecond = std::chrono::milliseconds(1);

acp::wire::PollRelayReply MakeReply(std::int64_t term,
                                    std::int64_t appliedIndex,
                                    std::int64_t membersVersion,
                                    std::size_t members = 1)
{
  acp::wire::PollRelayReply reply;
  reply.term = term;
  reply.ageMs = 10;
  reply.appliedIndex = appliedIndex;
  reply.relaysPolls = true;
  reply.membersIncluded = true;
  reply.membersVersion = membersVersion;
  reply.members.resize(members);
  return reply;
}

std::int64_t VersionOf(std::int64_t term, std::int64_t change)
{
  return (term << 32) + change;
}

acp::NodePoll MakePoll(int node, const std::string& service = "orders")
{
  return { .nodeId = "n" + std::to_string(node),
           .epoch = 1,
           .member = acp::MemberInfo{ .nodeId = "n" + std::to_string(node), .service = service } };
}

/// A leader and one relay that share a manual clock; the relay's calls reach the leader's handler
/// directly until the link is cut.
struct RelayFixture
{
  RelayFixture() { followerContext.pollRelay = &relay; }

  acp::TransportResult<void> CallLeader(
    const std::function<void(acp::wire::ControlServiceIf&)>& call)
  {
    const std::lock_guard lock(mutex);
    if (isCut) {
      return acp::Fail(acp::TransportErrorCode::Unreachable, "cut");
    }
    call(leader);
    ++calls;
    changed.notify_all();
    return boost::outcome_v2::success();
  }

  /// Waits for the end of a call that starts after this one begins.
  void AwaitCall()
  {
    std::unique_lock lock(mutex);
    const int wanted = calls + 2;
    changed.wait(lock, [&] { return calls >= wanted; });
  }

  /// Lists a large fleet in the log, so that the leader redirects polls to relays.
  void LogLargeFleet(const std::string& followerRpcAddress = "127.0.0.1:7301")
  {
    acp::wire::ControlCommand command;
    command.__isset.noteNodes = true;
    for (int i = 0; i < static_cast<int>(acp::kMinRelayedNodes); ++i) {
      acp::wire::NodeNote note;
      note.nodeId = "n" + std::to_string(i);
      note.serviceName = "orders";
      note.event = acp::wire::NodeEvent::JOINED;
      command.noteNodes.notes.push_back(note);
    }
    const std::lock_guard lock(mutex);
    leaderSide.context.pollRelay = &relay;
    leaderSide.log.followerRpcAddress = followerRpcAddress;
    BOOST_REQUIRE(leaderSide.context.Propose(command, std::chrono::seconds(1)).has_value());
  }

  /// Returns the replica to which the leader redirects the poll of @p node, or an empty string.
  std::string RelayNamedTo(int node)
  {
    try {
      Sync(leader, node);
    } catch (const acp::wire::NotLeader& e) {
      return e.leaderRpcAddress;
    }
    return "";
  }

  acp::wire::SyncReply Sync(acp::detail::RpcHandler& handler, int node)
  {
    acp::wire::SyncRequest request;
    request.nodeId = "n" + std::to_string(node);
    request.epoch = 1;
    request.stateVersion = 1;
    acp::wire::Member member;
    member.serviceName = "orders";
    member.peerAddress = "127.0.0.1:9000";
    request.__set_member(member);
    acp::wire::SyncReply reply;
    handler.Sync(reply, request);
    return reply;
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool isCut = false;
  int calls = 0;
  acp::test::ControlFixture leaderSide;
  acp::detail::RpcHandler leader{ leaderSide.context };
  acp::test::MemoryLog followerLog{ leaderSide.state, leaderSide.clock };
  acp::detail::ControlContext followerContext{ .clock = leaderSide.clock,
                                               .log = followerLog,
                                               .state = leaderSide.state };
  acp::PollRelay relay{ { .clock = &leaderSide.clock,
                          .rpcAddress = "127.0.0.1:7301",
                          .isFollower = [] { return true; },
                          .appliedIndex = [] { return std::uint64_t{ 1'000 }; },
                          .callLeader = [this](const auto& call) { return CallLeader(call); },
                          .publishAsLeader = [] {},
                          .onChanged = [] {},
                          .interval = kMillisecond,
                          .smallFleetInterval = kMillisecond } };
  acp::detail::RpcHandler follower{ followerContext };
};

} // namespace

BOOST_AUTO_TEST_SUITE(poll_relay)

// P5, P12. Guards against a follower that answers with state older than the leader's confirmation.
BOOST_AUTO_TEST_CASE(a_confirmation_counts_once_its_entries_are_applied_here)
{
  const acp::TimePoint start{ std::chrono::hours(1) };
  acp::RelayedState state;
  BOOST_TEST(!state.ConfirmedAt(100).has_value());
  state.Apply(MakeReply(1, 7, 0), start);
  BOOST_TEST(!state.ConfirmedAt(6).has_value());
  state.Apply(MakeReply(1, 9, 0), start + kMillisecond);
  // The older confirmation is used while the entries of the newer one are missing.
  BOOST_TEST((state.ConfirmedAt(8) == start - 10 * kMillisecond));
  BOOST_TEST((state.ConfirmedAt(9) == start - 9 * kMillisecond));
}

// P5. Guards against a confirmation that is lost when a relay always lags a little behind.
BOOST_AUTO_TEST_CASE(pending_confirmations_are_bounded_and_the_newest_are_kept)
{
  const acp::TimePoint start{ std::chrono::hours(1) };
  acp::RelayedState state;
  for (int i = 0; i < 1000; ++i) {
    state.Apply(MakeReply(1, i, 0), start + i * kMillisecond);
  }
  BOOST_TEST((state.ConfirmedAt(999) == start + 989 * kMillisecond));
}

// P8, P11. Guards against a node whose list goes back when it moves to a relay with an older one,
// and against a new leader's incomplete list that replaces a full one.
BOOST_AUTO_TEST_CASE(a_node_gets_only_newer_and_complete_member_lists)
{
  const acp::TimePoint start{ std::chrono::hours(1) };
  acp::RelayedState state;
  state.Apply(MakeReply(1, 1, VersionOf(1, 5)), start);
  state.Publish(start);
  BOOST_TEST(state.MembersFor(0) != nullptr);
  BOOST_TEST(state.MembersFor(VersionOf(1, 4)) != nullptr);
  BOOST_TEST(state.MembersFor(VersionOf(1, 5)) == nullptr);
  BOOST_TEST(state.MembersFor(VersionOf(1, 6)) == nullptr);

  auto incomplete = MakeReply(2, 1, VersionOf(2, 1));
  incomplete.membersIncomplete = true;
  incomplete.relaysPolls = false;
  state.Apply(incomplete, start);
  state.Publish(start);
  BOOST_TEST(state.MembersFor(VersionOf(1, 5)) == nullptr);
  BOOST_TEST(state.MembersFor(0) != nullptr);
  // Otherwise all nodes of all relays would turn to a leader that has just been elected.
  BOOST_TEST(state.RelaysPolls());

  state.Apply(MakeReply(2, 1, VersionOf(2, 2)), start);
  state.Publish(start);
  BOOST_TEST(state.MembersFor(VersionOf(1, 5)) != nullptr);
}

// Guards against a start of n nodes that sends n member lists to n nodes.
BOOST_AUTO_TEST_CASE(member_lists_are_published_at_intervals_that_grow_with_the_fleet)
{
  BOOST_TEST((acp::MemberPublishInterval(16) == acp::Duration::zero()));
  BOOST_TEST((acp::MemberPublishInterval(186) > acp::MemberPublishInterval(60)));
  acp::TimePoint now{ std::chrono::hours(1) };
  acp::LiveNodes nodes;
  nodes.BeginTerm(1);
  int published = 0;
  constexpr int kNodes = 186;
  for (int i = 0; i < kNodes; ++i) {
    nodes.RecordPoll(MakePoll(i), now);
    published += nodes.Publish(now) ? 1 : 0;
    now += 5 * kMillisecond;
  }
  now += acp::MemberPublishInterval(kNodes);
  BOOST_TEST(nodes.Publish(now));
  BOOST_TEST(nodes.Members().size() == kNodes);
  // Each of the first nodes is published at once; the others in lists at intervals.
  BOOST_TEST(published < 60);
  BOOST_TEST(!nodes.Publish(now + std::chrono::hours(1)));
}

// Guards against an older poll of a node, resent by the relay that it has left, that undoes its
// drain at a new leader.
BOOST_AUTO_TEST_CASE(a_poll_that_arrived_earlier_does_not_replace_a_newer_one)
{
  const acp::TimePoint now{ std::chrono::hours(1) };
  acp::LiveNodes nodes;
  nodes.BeginTerm(1);
  acp::NodePoll draining = MakePoll(1);
  draining.member->draining = true;
  nodes.RecordPoll(draining, now);
  nodes.RecordPoll(MakePoll(1), now - kMillisecond);
  nodes.Publish(now);
  BOOST_REQUIRE(nodes.Members().size() == 1U);
  BOOST_TEST(nodes.Members()[0].draining);
}

// Guards against a node that is shut out because its clock was set back before it was started
// again, and against a late poll of an earlier process that is taken for news.
BOOST_AUTO_TEST_CASE(process_with_an_earlier_epoch_follows_one_that_is_silent)
{
  acp::TimePoint now{ std::chrono::hours(1) };
  acp::LiveNodes nodes;
  nodes.BeginTerm(1);
  acp::RelayedPolls polls;
  acp::NodePoll draining = MakePoll(1);
  draining.epoch = 9;
  draining.member->draining = true;
  const auto isDraining = [&](const acp::NodePoll& poll) {
    polls.Record(poll, now);
    nodes.RecordPoll(poll, now);
    nodes.Publish(now);
    BOOST_REQUIRE(nodes.Members().size() == 1U);
    const bool isDrainingAtRelay = polls.Unsent(now).front().poll.member->draining;
    BOOST_TEST(isDrainingAtRelay == nodes.Members()[0].draining);
    return isDrainingAtRelay;
  };
  BOOST_TEST(isDraining(draining));
  now += std::chrono::seconds(2);
  BOOST_TEST(isDraining(MakePoll(1)));
  now += std::chrono::seconds(1);
  BOOST_TEST(!isDraining(MakePoll(1)));
  now += std::chrono::seconds(1);
  BOOST_TEST(!isDraining(MakePoll(1)));
}

// Guards against a new leader that never hears nodes whose polls went to the old one.
BOOST_AUTO_TEST_CASE(polls_are_sent_once_and_all_of_them_to_a_new_leader)
{
  acp::TimePoint now{ std::chrono::hours(1) };
  acp::RelayedPolls polls;
  BOOST_TEST(polls.Record(MakePoll(1), now));
  BOOST_TEST(!polls.Record(MakePoll(1), now));
  polls.Record(MakePoll(2), now);
  const auto unsent = polls.Unsent(now);
  BOOST_TEST(unsent.size() == 2U);
  polls.Record(MakePoll(2, "stock"), now);
  polls.MarkSent(unsent);
  BOOST_REQUIRE(polls.Unsent(now).size() == 1U);
  BOOST_TEST(polls.Unsent(now)[0].poll.member->service == "stock");
  polls.ResendAll();
  BOOST_TEST(polls.Unsent(now).size() == 2U);
  now += acp::kNodeSilenceTimeout + kMillisecond;
  BOOST_TEST(polls.Unsent(now).empty());
}

// Answers the start of 186 nodes: guards against a leader that alone answers the polls of a large
// fleet, and against relays in a fleet that is small enough for its leader.
BOOST_FIXTURE_TEST_CASE(a_relay_answers_polls_of_a_large_fleet_only, RelayFixture)
{
  for (int i = 0; i < static_cast<int>(acp::kMinRelayedNodes) - 1; ++i) {
    Sync(leader, i);
  }
  AwaitCall();
  followerLog.isLeader = false;
  BOOST_CHECK_THROW(Sync(follower, 500), acp::wire::NotLeader);
  // The refused poll was recorded for the leader and makes the fleet a large one.
  AwaitCall();
  AwaitCall();
  leaderSide.clock.Advance(std::chrono::seconds(1));
  Sync(leader, 1);
  AwaitCall();
  const auto reply = Sync(follower, 500);
  BOOST_TEST(reply.relaysPolls);
  BOOST_TEST(reply.membersIncluded);
  BOOST_TEST(reply.members.size() == acp::kMinRelayedNodes);
  BOOST_TEST(reply.leaderRpcAddress == "127.0.0.1:7300");
}

// Guards against a node that polls a relay and never learns of an evacuation or of its end.
BOOST_FIXTURE_TEST_CASE(a_relay_names_the_evacuated_data_centres, RelayFixture)
{
  for (int i = 0; i < static_cast<int>(acp::kMinRelayedNodes); ++i) {
    Sync(leader, i);
  }
  AwaitCall();
  followerLog.isLeader = false;
  BOOST_TEST(Sync(follower, 1).evacuatedDataCentres.empty());
  BOOST_TEST(leaderSide.context.SetEvacuation("sari", "jawa-a", true).has_value());
  AwaitCall();
  BOOST_TEST((Sync(follower, 1).evacuatedDataCentres == std::vector<std::string>{ "jawa-a" }));
  BOOST_TEST(leaderSide.context.SetEvacuation("sari", "jawa-a", false).has_value());
  AwaitCall();
  BOOST_TEST(Sync(follower, 1).evacuatedDataCentres.empty());
}

// P5, P12. Guards against a relay that is cut off from the leader and keeps calling its state
// fresh.
BOOST_FIXTURE_TEST_CASE(a_relay_without_its_leader_stops_answering, RelayFixture)
{
  for (int i = 0; i < static_cast<int>(acp::kMinRelayedNodes); ++i) {
    Sync(leader, i);
  }
  AwaitCall();
  followerLog.isLeader = false;
  Sync(follower, 1);
  {
    const std::lock_guard lock(mutex);
    isCut = true;
  }
  leaderSide.clock.Advance(acp::kMaxRelayedAge - kMillisecond);
  BOOST_TEST(Sync(follower, 1).ageMs >= 1999);
  leaderSide.clock.Advance(kMillisecond);
  BOOST_CHECK_THROW(Sync(follower, 1), acp::wire::NotLeader);
}

// Answers the restart of all control replicas of a large fleet: guards against a leader whose nodes
// all poll it, so that the calls by which relays would take them over come too late, and against
// followers that take the fleet for a small one until they have heard the leader.
BOOST_FIXTURE_TEST_CASE(a_restarted_fleet_is_known_to_be_large_from_the_log, RelayFixture)
{
  {
    const std::lock_guard lock(mutex);
    isCut = true;
  }
  LogLargeFleet();
  leaderSide.clock.Advance(std::chrono::seconds(10));
  // No relay has called yet: the leader is the only one that can answer.
  BOOST_TEST(Sync(leader, 1).relaysPolls);
  followerLog.isLeader = false;
  try {
    Sync(follower, 1);
    BOOST_TEST(false);
  } catch (const acp::wire::NotLeader& e) {
    BOOST_TEST(e.leaderRpcAddress.empty());
  }
  {
    const std::lock_guard lock(mutex);
    isCut = false;
  }
  AwaitCall();
  BOOST_TEST(Sync(follower, 1).relaysPolls);
  BOOST_TEST(RelayNamedTo(2) == "127.0.0.1:7301");
  {
    const std::lock_guard lock(mutex);
    isCut = true;
  }
  leaderSide.clock.Advance(std::chrono::seconds(2));
  BOOST_TEST(Sync(leader, 2).membersIncluded);
}

// Guards against nodes that get no changes because the leader redirects them to a lost relay.
BOOST_FIXTURE_TEST_CASE(a_poll_is_not_sent_on_to_a_lost_relay, RelayFixture)
{
  LogLargeFleet("127.0.0.1:7302");
  AwaitCall();
  for (int node = 0; node < 20; ++node) {
    BOOST_TEST(RelayNamedTo(node) == "127.0.0.1:7301");
  }
  {
    const std::lock_guard lock(mutex);
    isCut = true;
  }
  leaderSide.clock.Advance(acp::detail::kMaxRelayCallAge);
  BOOST_TEST(RelayNamedTo(1).empty());
}

// Guards against polls that no replica answers while a fleet becomes a large one.
BOOST_FIXTURE_TEST_CASE(a_poll_is_not_sent_on_to_a_relay_that_takes_the_fleet_for_small,
                        RelayFixture)
{
  AwaitCall();
  {
    const std::lock_guard lock(mutex);
    isCut = true;
  }
  LogLargeFleet();
  BOOST_TEST(RelayNamedTo(1).empty());
  {
    const std::lock_guard lock(mutex);
    isCut = false;
  }
  AwaitCall();
  BOOST_TEST(RelayNamedTo(1) == "127.0.0.1:7301");
}

// Guards against reports of nodes that a follower accepts and nobody stores.
BOOST_FIXTURE_TEST_CASE(a_control_that_collects_reports_does_not_relay, RelayFixture)
{
  {
    const std::lock_guard lock(mutex);
    for (auto* context : { &leaderSide.context, &followerContext }) {
      context->hooks.acceptReport = [](const auto& request) { return request.reportNumber; };
    }
  }
  for (int i = 0; i < static_cast<int>(acp::kMinRelayedNodes); ++i) {
    Sync(leader, i);
  }
  AwaitCall();
  followerLog.isLeader = false;
  BOOST_CHECK_THROW(Sync(follower, 1), acp::wire::NotLeader);
  BOOST_TEST(!relay.RelaysPolls());
}

BOOST_AUTO_TEST_SUITE_END()
