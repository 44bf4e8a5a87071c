#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "../transport_test/control_replica.hpp"
#include "acaciapulley/node/sync_loop.hpp"

namespace {

using Answer = std::function<void(acp::wire::SyncReply&)>;

/// Holds each poll until the test has said how it is answered.
class PollScript
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

  /// Waits for the next poll. The answer to the one before has then been applied.
  acp::wire::SyncRequest Next()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return request_.has_value(); });
    return *std::exchange(request_, std::nullopt);
  }

  void Give(Answer answer)
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

/// A running loop with its parts and the control replica that it polls.
struct Polling
{
  Polling() = default;
  Polling(const Polling&) = delete;
  Polling& operator=(const Polling&) = delete;
  ~Polling() { script.End(); }

  /// Answers the poll in progress and returns the next one, which then comes without a pause.
  acp::wire::SyncRequest AnswerAndNext(Answer answer)
  {
    loop.Wake();
    script.Give(std::move(answer));
    return script.Next();
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
  PollScript script;
  acp::test::Replica replica{ [this](auto& reply, const auto& request) {
    script.Handle(reply, request);
  } };
  acp::ControlChannel channel{ { .replicas = { replica.Where() },
                                 .timeout = std::chrono::seconds(60),
                                 .callBudget = std::chrono::seconds(60) } };
  acp::ControlChannel tokens{ { .replicas = { replica.Where() } } };
  acp::NodeView view;
  acp::LocalUpstream upstream;
  acp::MemberTable members;
  acp::RecordCounters record{ clock.WallNow() };
  acp::SyncLoop loop{ { .nodeId = "n1",
                        .epoch = 3,
                        .channel = &channel,
                        .clock = &clock,
                        .view = &view,
                        .upstream = &upstream,
                        .members = &members,
                        .record = &record,
                        .tokens = &tokens } };
};

Answer Accept(std::int64_t reportNumber)
{
  return [reportNumber](auto& reply) { reply.acceptedReportNumber = reportNumber; };
}

/// A state that consists of @p key alone, and a list that consists of member @p nodeId alone.
Answer State(std::int64_t version, const acp::KeyRecord& key, const std::string& nodeId)
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

// The channel makes two attempts at each poll when it knows one replica, so that a poll fails only
// when both do.
void RefuseAsFollower(acp::wire::SyncReply& /*reply*/)
{
  throw acp::wire::NotLeader{};
}

void FailInside(acp::wire::SyncReply& /*reply*/)
{
  throw std::runtime_error("failed by the test");
}

} // namespace

BOOST_AUTO_TEST_SUITE(sync_loop)

// Guards against counters that are lost, or counted twice, when the answer to a report is lost.
BOOST_AUTO_TEST_CASE(a_report_is_resent_with_its_number_until_it_is_accepted)
{
  const acp::RecordKey key{ .service = "orders", .requestClass = "read", .account = "a" };
  Polling polling;
  BOOST_TEST(polling.script.Next().reportNumber == 1);
  polling.record.CountOffered(key);
  polling.clock.Advance(std::chrono::seconds(1));
  const auto first = polling.AnswerAndNext(Accept(1));
  BOOST_TEST(first.reportNumber == 2);
  BOOST_REQUIRE(first.report.size() == 1);
  polling.record.CountOffered(key);
  polling.clock.Advance(std::chrono::seconds(1));
  for (const Answer& answer : { Answer(FailInside), Answer(FailInside), Accept(1) }) {
    const auto resent = polling.AnswerAndNext(answer);
    BOOST_TEST(resent.reportNumber == 2);
    BOOST_TEST(resent.report == first.report);
  }
  const auto second = polling.AnswerAndNext(Accept(2));
  BOOST_TEST(second.reportNumber == 3);
  BOOST_REQUIRE(second.report.size() == 1);
  BOOST_TEST(acp::DeserialiseRow(second.report[0]).value().counts.offered == 1);
}

// Guards against an answer of a lagging replica that brings back a revoked key (P12), against a
// member list that is not taken over, and against a malformed member that hides the others.
BOOST_AUTO_TEST_CASE(state_and_members_are_applied_and_never_replaced_by_older_ones)
{
  Polling polling;
  const auto oldKey = acp::GenerateKey("a", polling.clock.WallNow());
  const auto newKey = acp::GenerateKey("a", polling.clock.WallNow());
  const std::vector<std::string> newMembers = { "new" };
  BOOST_TEST(polling.script.Next().stateVersion == 0);
  const auto request = polling.AnswerAndNext(State(5, newKey.record, "new"));
  BOOST_TEST(request.stateVersion == 5);
  BOOST_TEST(request.membersVersion == 5);
  BOOST_TEST(polling.MembersOf("orders") == newMembers);
  BOOST_TEST(polling.AnswerAndNext(State(4, oldKey.record, "old")).stateVersion == 5);
  BOOST_TEST(polling.view.CheckKey(newKey.text).has_value());
  BOOST_TEST(!polling.view.CheckKey(oldKey.text).has_value());
  BOOST_TEST(polling.MembersOf("orders") == newMembers);
}

// Guards against a slow answer or a lagging replica that makes old state count as fresh (P5).
BOOST_AUTO_TEST_CASE(freshness_counts_from_the_moment_of_asking_minus_the_stated_age)
{
  constexpr acp::Duration kAge = std::chrono::milliseconds(700);
  constexpr acp::Duration kAnswerTime = std::chrono::milliseconds(400);
  Polling polling;
  polling.script.Next();
  polling.clock.Advance(kAnswerTime);
  polling.AnswerAndNext([](auto& reply) { reply.ageMs = 700; });
  const acp::TimePoint now = polling.clock.Now();
  BOOST_TEST(polling.view.IsFresh(now, kAge + kAnswerTime));
  BOOST_TEST(!polling.view.IsFresh(now, kAge + kAnswerTime - acp::Duration(1)));
}

// Guards against a loop that ends, or takes its state for fresh, when control cannot be reached.
BOOST_AUTO_TEST_CASE(polling_goes_on_after_failures_which_refresh_nothing)
{
  Polling polling;
  polling.script.Next();
  const auto key = acp::GenerateKey("a", polling.clock.WallNow());
  polling.AnswerAndNext(State(1, key.record, "n2"));
  polling.clock.Advance(acp::kKeyedFreshness + std::chrono::milliseconds(1));
  // Seen only in a request that was built after the failed poll.
  polling.upstream.Announce({ .service = "orders", .slots = 1, .maxConnections = 1 });
  for (const auto& failure : { RefuseAsFollower, FailInside, RefuseAsFollower }) {
    polling.AnswerAndNext(failure);
    const auto request = polling.AnswerAndNext(failure);
    BOOST_TEST(request.__isset.member);
    BOOST_TEST(request.stateVersion == 1);
    BOOST_TEST(!polling.view.IsFresh(polling.clock.Now(), acp::kKeyedFreshness));
  }
  polling.AnswerAndNext([](auto& reply) { reply.delta.toVersion = 2; });
  BOOST_TEST(polling.view.Version() == 2);
  BOOST_TEST(polling.view.IsFresh(polling.clock.Now(), acp::kKeyedFreshness));
}

// Guards against token calls that all go to the leader, or to a replica that has left.
BOOST_AUTO_TEST_CASE(token_calls_go_through_a_replica_that_does_not_lead)
{
  Polling polling;
  polling.script.Next();
  const std::string leader = polling.replica.Where().ToString();
  polling.AnswerAndNext([&](acp::wire::SyncReply& reply) {
    reply.controlAddresses = { leader, "127.0.0.1:1", "127.0.0.1:2" };
  });
  BOOST_TEST(polling.tokens.Preferred().ToString() != leader);

  polling.AnswerAndNext([&](acp::wire::SyncReply& reply) {
    reply.controlAddresses = { leader, "127.0.0.1:3" };
  });
  BOOST_TEST(polling.tokens.Preferred().ToString() == "127.0.0.1:3");
}

BOOST_AUTO_TEST_SUITE_END()
