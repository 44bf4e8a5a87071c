#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../transport_test/fake_control_replica.hpp"
#include "acaciapulley/node/sync_loop.hpp"

namespace {

using Answer = std::function<void(acp::wire::SyncReply&)>;

/// Holds each poll until the test provides the reply.
class ScriptedPolls
{
public:
  void Handle(acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request)
  {
    std::unique_lock lock(mutex_);
    request_ = request;
    changed_.notify_all();
    changed_.wait(lock, [this] { return answer_ || ended_; });
    if (ended_) {
      throw std::runtime_error("the test has ended");
    }
    std::exchange(answer_, nullptr)(reply);
  }

  /// Waits for the next poll. The reply to the previous one has then been applied.
  acp::wire::SyncRequest AwaitRequest()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return request_.has_value(); });
    return *std::exchange(request_, std::nullopt);
  }

  void Respond(Answer answer)
  {
    const std::lock_guard lock(mutex_);
    answer_ = std::move(answer);
    changed_.notify_all();
  }

  void End()
  {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<acp::wire::SyncRequest> request_;
  Answer answer_;
  bool ended_ = false;
};

/// A running SyncLoop with its dependencies and the control replica that it polls.
struct SyncLoopFixture
{
  SyncLoopFixture() = default;
  SyncLoopFixture(const SyncLoopFixture&) = delete;
  SyncLoopFixture& operator=(const SyncLoopFixture&) = delete;
  ~SyncLoopFixture() { script.End(); }

  /// Replies to the poll in progress and returns the next one, which follows without a pause.
  acp::wire::SyncRequest RespondAndAwaitNext(Answer answer)
  {
    loop.Wake();
    script.Respond(std::move(answer));
    return script.AwaitRequest();
  }

  [[nodiscard]] std::vector<std::string> MembersOf(const std::string& service)
  {
    std::vector<std::string> ids;
    members.With(service, [&](acp::ServiceMembers& found) {
      for (const auto& member : found.Members()) {
        ids.push_back(member.info.nodeId);
      }
    });
    return ids;
  }

  acp::ManualClock clock;
  ScriptedPolls script;
  acp::test::FakeControlReplica replica{ [this](auto& reply, const auto& request) {
    script.Handle(reply, request);
  } };
  acp::ControlChannel channel{ { .replicas = { replica.ListenAddress() },
                                 .timeout = std::chrono::seconds(60),
                                 .callBudget = std::chrono::seconds(60) } };
  acp::ControlChannel tokens{ { .replicas = { replica.ListenAddress() } } };
  acp::StateCache stateCache;
  acp::LocalUpstream upstream;
  acp::MemberTable members;
  acp::RecordCounters record{ clock.WallNow() };
  /// Evacuations as reported, each after the state version that was in force before.
  std::vector<std::pair<std::int64_t, std::set<std::string>>> evacuations;
  acp::SyncLoop loop{ { .nodeId = "n1",
                        .epoch = 3,
                        .syncChannel = &channel,
                        .clock = &clock,
                        .stateCache = &stateCache,
                        .upstream = &upstream,
                        .members = &members,
                        .record = &record,
                        .tokenChannel = &tokens,
                        .onEvacuationChanged = [this](const auto& dataCentres) {
                          evacuations.emplace_back(stateCache.Version(), dataCentres);
                        } } };
};

Answer AcceptReport(std::int64_t reportNumber)
{
  return [reportNumber](auto& reply) { reply.acceptedReportNumber = reportNumber; };
}

/// A state with only @p key, and a member list with only @p nodeId and a malformed member.
Answer RespondWithState(std::int64_t version, const acp::KeyRecord& key, const std::string& nodeId)
{
  return [=](acp::wire::SyncReply& reply) {
    reply.delta.snapshot = true;
    reply.delta.toVersion = version;
    acp::wire::IssuedKey issued;
    issued.id = key.id;
    issued.hash = key.hash;
    issued.account = key.account;
    reply.delta.issuedKeys = { issued };
    acp::wire::Member member;
    member.nodeId = nodeId;
    member.serviceName = "orders";
    member.peerAddress = "127.0.0.1:1";
    acp::wire::Member malformed = member;
    malformed.nodeId = "malformed";
    malformed.peerAddress = "no address";
    reply.membersIncluded = true;
    reply.membersVersion = version;
    reply.members = { malformed, member };
  };
}

// With one known replica, the channel makes two attempts at each poll, so a poll fails only when
// both attempts do.
void RefuseAsFollower(acp::wire::SyncReply& /*reply*/)
{
  throw acp::wire::NotLeader{};
}

void FailInHandler(acp::wire::SyncReply& /*reply*/)
{
  throw std::runtime_error("failed by the test");
}

} // namespace

BOOST_AUTO_TEST_SUITE(sync_loop)

// Guards against counters that are lost, or counted twice, when the reply to a report is lost.
BOOST_AUTO_TEST_CASE(a_report_is_resent_with_its_number_until_it_is_accepted)
{
  const acp::RecordKey key{ .service = "orders", .requestClass = "read", .account = "a" };
  SyncLoopFixture fixture;
  BOOST_TEST(fixture.script.AwaitRequest().reportNumber == 1);
  fixture.record.CountOffered(key);
  fixture.clock.Advance(std::chrono::seconds(1));
  const auto first = fixture.RespondAndAwaitNext(AcceptReport(1));
  BOOST_TEST(first.reportNumber == 2);
  BOOST_REQUIRE(first.report.size() == 1);
  fixture.record.CountOffered(key);
  fixture.clock.Advance(std::chrono::seconds(1));
  for (const Answer& answer : { Answer(FailInHandler), Answer(FailInHandler), AcceptReport(1) }) {
    const auto resent = fixture.RespondAndAwaitNext(answer);
    BOOST_TEST(resent.reportNumber == 2);
    BOOST_TEST(resent.report == first.report);
  }
  const auto second = fixture.RespondAndAwaitNext(AcceptReport(2));
  BOOST_TEST(second.reportNumber == 3);
  BOOST_REQUIRE(second.report.size() == 1);
  BOOST_TEST(acp::DeserialiseRow(second.report[0]).value().counts.offered == 1);
}

// Guards against a reply of a lagging replica that restores a revoked key (P12), against a member
// list that is not applied, and against a malformed member that hides the others.
BOOST_AUTO_TEST_CASE(state_and_members_are_applied_and_never_replaced_by_older_ones)
{
  SyncLoopFixture fixture;
  const auto oldKey = acp::GenerateKey("a", fixture.clock.WallNow());
  const auto newKey = acp::GenerateKey("a", fixture.clock.WallNow());
  const std::vector<std::string> newMembers = { "new" };
  BOOST_TEST(fixture.script.AwaitRequest().stateVersion == 0);
  const auto request = fixture.RespondAndAwaitNext(RespondWithState(5, newKey.record, "new"));
  BOOST_TEST(request.stateVersion == 5);
  BOOST_TEST(request.membersVersion == 5);
  BOOST_TEST(fixture.MembersOf("orders") == newMembers);
  BOOST_TEST(fixture.RespondAndAwaitNext(RespondWithState(4, oldKey.record, "old")).stateVersion ==
             5);
  BOOST_TEST(fixture.stateCache.FindAccountByKey(newKey.text).has_value());
  BOOST_TEST(!fixture.stateCache.FindAccountByKey(oldKey.text).has_value());
  BOOST_TEST(fixture.MembersOf("orders") == newMembers);
}

// Guards against a node that begins to serve before it applies an evacuation that was in force at
// its start, against one that a lagging replica or a lost control talks out of an evacuation, and
// against a withdrawal that is not applied.
BOOST_AUTO_TEST_CASE(evacuations_are_reported_before_the_state_and_kept_until_they_are_withdrawn)
{
  using Names = std::set<std::string>;
  SyncLoopFixture fixture;
  fixture.script.AwaitRequest();
  const auto respond = [&](std::int64_t version, const std::vector<std::string>& names) {
    fixture.RespondAndAwaitNext([&](acp::wire::SyncReply& reply) {
      reply.delta.toVersion = version;
      reply.evacuatedDataCentres = names;
    });
  };
  respond(5, { "d2", "d1" });
  BOOST_REQUIRE(fixture.evacuations.size() == 1U);
  BOOST_TEST(fixture.evacuations[0].first == 0);
  BOOST_TEST((fixture.evacuations[0].second == Names{ "d1", "d2" }));
  respond(4, {});
  fixture.RespondAndAwaitNext(FailInHandler);
  fixture.clock.Advance(acp::kKeyedMaxStateAge + std::chrono::milliseconds(1));
  BOOST_TEST((fixture.stateCache.EvacuatedDataCentres() == Names{ "d1", "d2" }));
  BOOST_TEST(!fixture.stateCache.IsFresh(fixture.clock.Now(), acp::kKeyedMaxStateAge));
  respond(5, { "d1", "d2" });
  BOOST_TEST(fixture.evacuations.size() == 1U);
  respond(6, {});
  BOOST_REQUIRE(fixture.evacuations.size() == 2U);
  BOOST_TEST(fixture.evacuations[1].second.empty());
  BOOST_TEST(fixture.stateCache.EvacuatedDataCentres().empty());
}

// Guards against a slow reply or a lagging replica that makes old state count as fresh (P5).
BOOST_AUTO_TEST_CASE(state_age_counts_from_the_request_and_includes_the_reported_age)
{
  constexpr acp::Duration kAge = std::chrono::milliseconds(700);
  constexpr acp::Duration kAnswerTime = std::chrono::milliseconds(400);
  SyncLoopFixture fixture;
  fixture.script.AwaitRequest();
  fixture.clock.Advance(kAnswerTime);
  fixture.RespondAndAwaitNext([](auto& reply) { reply.ageMs = 700; });
  const acp::TimePoint now = fixture.clock.Now();
  BOOST_TEST(fixture.stateCache.IsFresh(now, kAge + kAnswerTime));
  BOOST_TEST(!fixture.stateCache.IsFresh(now, kAge + kAnswerTime - acp::Duration(1)));
}

// Guards against a loop that ends, or treats its state as fresh, while control is unreachable.
BOOST_AUTO_TEST_CASE(polling_continues_after_failures_that_leave_the_state_stale)
{
  SyncLoopFixture fixture;
  fixture.script.AwaitRequest();
  const auto key = acp::GenerateKey("a", fixture.clock.WallNow());
  fixture.RespondAndAwaitNext(RespondWithState(1, key.record, "n2"));
  fixture.clock.Advance(acp::kKeyedMaxStateAge + std::chrono::milliseconds(1));
  // Only a poll that is built after the failed one carries the announcement.
  fixture.upstream.Announce({ .service = "orders", .slots = 1, .maxConnections = 1 });
  for (const auto& failure : { RefuseAsFollower, FailInHandler, RefuseAsFollower }) {
    fixture.RespondAndAwaitNext(failure);
    const auto request = fixture.RespondAndAwaitNext(failure);
    BOOST_TEST(request.__isset.member);
    BOOST_TEST(request.stateVersion == 1);
    BOOST_TEST(!fixture.stateCache.IsFresh(fixture.clock.Now(), acp::kKeyedMaxStateAge));
  }
  fixture.RespondAndAwaitNext([](auto& reply) { reply.delta.toVersion = 2; });
  BOOST_TEST(fixture.stateCache.Version() == 2);
  BOOST_TEST(fixture.stateCache.IsFresh(fixture.clock.Now(), acp::kKeyedMaxStateAge));
}

// Guards against token calls that all go to the leader, or to a replica that was removed.
BOOST_AUTO_TEST_CASE(token_calls_go_through_a_follower)
{
  SyncLoopFixture fixture;
  fixture.script.AwaitRequest();
  const std::string leader = fixture.replica.ListenAddress().ToString();
  fixture.RespondAndAwaitNext([&](acp::wire::SyncReply& reply) {
    reply.controlAddresses = { leader, "127.0.0.1:1", "127.0.0.1:2" };
  });
  BOOST_TEST(fixture.tokens.Preferred().ToString() != leader);

  fixture.RespondAndAwaitNext([&](acp::wire::SyncReply& reply) {
    reply.controlAddresses = { leader, "127.0.0.1:3" };
  });
  BOOST_TEST(fixture.tokens.Preferred().ToString() == "127.0.0.1:3");
}

// Guards against polls of a large fleet that stay with the leader, or return to it for good after
// the chosen relay has failed.
BOOST_AUTO_TEST_CASE(polls_of_a_large_fleet_go_through_a_follower)
{
  ScriptedPolls relayScript;
  acp::test::FakeControlReplica relay{ [&](auto& reply, const auto& request) {
    relayScript.Handle(reply, request);
  } };
  SyncLoopFixture fixture;
  const std::string leader = fixture.replica.ListenAddress().ToString();
  const auto relaysPolls = [&](acp::wire::SyncReply& reply) {
    reply.controlAddresses = { leader, relay.ListenAddress().ToString() };
    reply.leaderRpcAddress = leader;
    reply.relaysPolls = true;
  };
  const auto awaitRelayCalls = [&](int count) {
    for (int i = 0; i < 10'000 && relay.calls < count; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    BOOST_REQUIRE(relay.calls >= count);
    return relayScript.AwaitRequest();
  };
  fixture.script.AwaitRequest();
  fixture.loop.Wake();
  fixture.script.Respond(relaysPolls);
  awaitRelayCalls(1);

  // The relay fails, and the poll returns to the leader, which names the relay again.
  relayScript.Respond(FailInHandler);
  fixture.script.AwaitRequest();
  fixture.clock.Advance(std::chrono::seconds(10));
  fixture.loop.Wake();
  fixture.script.Respond(relaysPolls);
  awaitRelayCalls(2);
  fixture.loop.Wake();
  relayScript.Respond([](auto& reply) { reply.delta.toVersion = 9; });
  BOOST_TEST(awaitRelayCalls(3).stateVersion == 9);
  relayScript.End();
}

// Guards against members without the rate of their service, also when only the fleet document has
// changed since the list was received.
BOOST_AUTO_TEST_CASE(members_have_the_warmup_rate_of_their_service)
{
  SyncLoopFixture fixture;
  const auto key = acp::GenerateKey("a", fixture.clock.WallNow());
  const auto rate = [&] {
    double value = -1;
    fixture.members.With("orders", [&](acp::ServiceMembers& found) {
      value = found.Members().front().info.warmupRate;
    });
    return value;
  };
  const auto respondWithFleet = [](std::int64_t version, const std::string& rateField) {
    return [=](acp::wire::SyncReply& reply) {
      reply.delta.toVersion = version;
      reply.fleet.version = version;
      reply.fleet.document =
        R"({"max_body_bytes":1,"head_timeout_ms":1,"idle_timeout_ms":1,"services":[)"
        R"({"name":"orders","health_path":"","max_connections":9)" +
        rateField + R"(}],"routes":[],"accounts":[]})";
      reply.__isset.fleet = true;
    };
  };
  fixture.script.AwaitRequest();
  fixture.RespondAndAwaitNext(RespondWithState(5, key.record, "n"));
  BOOST_TEST(rate() == 0);
  fixture.RespondAndAwaitNext(respondWithFleet(5, R"(,"warmup_rate":11)"));
  BOOST_TEST(rate() == 11);
  fixture.RespondAndAwaitNext(RespondWithState(6, key.record, "n"));
  BOOST_TEST(rate() == 11);
  fixture.RespondAndAwaitNext(respondWithFleet(6, ""));
  BOOST_TEST(rate() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
