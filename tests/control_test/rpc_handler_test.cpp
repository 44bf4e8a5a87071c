#include <boost/test/unit_test.hpp>

#include <string> // string

#include "acaciapulley/control/control_process.hpp"
#include "acaciapulley/control/detail/node_event_writer.hpp"
#include "acaciapulley/control/detail/rpc_handler.hpp"
#include "acaciapulley/transport/control_channel.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "control_fixture.hpp"

namespace {

using NextResult = acp::test::MemoryLog::NextResult;
using acp::wire::ClaimState;

struct RpcFixture : acp::test::ControlFixture
{
  acp::wire::SyncReply Sync(const std::string& nodeId,
                            std::int64_t membersVersion = 0,
                            bool draining = false)
  {
    acp::wire::SyncRequest request;
    request.nodeId = nodeId;
    request.epoch = 1;
    request.membersVersion = membersVersion;
    acp::wire::Member member;
    member.serviceName = "orders";
    member.peerAddress = "127.0.0.1:9000";
    member.draining = draining;
    request.__set_member(member);
    acp::wire::SyncReply reply;
    handler.Sync(reply, request);
    return reply;
  }

  acp::wire::BeginClaimRequest Claim(const std::string& attemptId) const
  {
    acp::wire::BeginClaimRequest request;
    request.key.account = "workshop";
    request.key.serviceName = "orders";
    request.key.idempotencyKey =
      std::to_string(acp::CountMillis(clock.WallNow()) / 1000) + "-order-0001";
    request.attemptId = attemptId;
    request.fingerprint = "f";
    request.deadlineMs = acp::CountMillis(clock.WallNow()) + 1000;
    return request;
  }

  ClaimState::type Begin(const std::string& attemptId)
  {
    acp::wire::BeginClaimReply reply;
    handler.BeginClaim(reply, Claim(attemptId));
    return reply.state;
  }

  acp::detail::RpcHandler handler{ context };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rpc_handler, RpcFixture)

// P5, P12. Guards against a deposed or isolated leader whose replies make old state look fresh.
BOOST_AUTO_TEST_CASE(sync_requires_confirmed_leadership_and_reports_its_age)
{
  log.age = std::chrono::microseconds(999'001);
  BOOST_TEST(Sync("n1").ageMs == 1000);
  log.age = std::chrono::seconds(1);
  BOOST_CHECK_THROW(Sync("n1"), acp::wire::NotLeader);
  log.isLeader = false;
  try {
    Sync("n1");
    BOOST_TEST(false);
  } catch (const acp::wire::NotLeader& e) {
    BOOST_TEST(e.leaderRpcAddress == "127.0.0.1:7300");
  }
}

// P9. Guards against a second run when the reply to a claim request is lost or the leader changes.
BOOST_AUTO_TEST_CASE(a_claim_with_a_lost_reply_is_granted_only_when_resent)
{
  log.nextResult = NextResult::LoseAnswer;
  BOOST_CHECK_THROW(Begin("a1"), acp::wire::ControlFailure);
  BecomeLeaderOfNewTerm();
  BOOST_TEST((Begin("a2") == ClaimState::IN_PROGRESS));
  BOOST_TEST((Begin("a1") == ClaimState::GRANTED));
  log.isLeader = false;
  BOOST_CHECK_THROW(Begin("a1"), acp::wire::NotLeader);
  log.isLeader = true;
  acp::wire::ReleaseClaimRequest release;
  release.key = Claim("a2").key;
  release.attemptId = "a2";
  BOOST_CHECK_THROW(handler.ReleaseClaim(release), acp::wire::ControlFailure);
  release.attemptId = "a1";
  handler.ReleaseClaim(release);
  BOOST_TEST((Begin("a2") == ClaimState::GRANTED));
  acp::wire::FinishClaimRequest finish;
  finish.key = release.key;
  finish.attemptId = "a2";
  finish.__set_outcomeUnknown(true);
  handler.FinishClaim(finish);
  BOOST_TEST((Begin("a3") == ClaimState::UNKNOWN));
}

// P8, P11. Guards against a new leader that empties the member lists of all nodes, and against a
// list that nodes ignore because its version equals that of the list of another leader.
BOOST_AUTO_TEST_CASE(a_new_leader_withholds_its_member_list_until_nodes_have_polled)
{
  Sync("n1");
  const auto both = Sync("n2");
  BOOST_TEST(both.members.size() == 2U);
  BOOST_TEST(!Sync("n1", both.membersVersion).membersIncluded);
  BecomeLeaderOfNewTerm();
  BOOST_TEST(!Sync("n1", both.membersVersion).membersIncluded);
  clock.Advance(acp::kMemberListRebuildTime);
  const auto relearned = Sync("n2", both.membersVersion);
  BOOST_TEST(relearned.membersIncluded);
  BOOST_TEST(relearned.members.size() == 2U);
  BOOST_TEST(relearned.membersVersion > both.membersVersion);
  clock.Advance(acp::kMemberLease - std::chrono::milliseconds(1));
  BOOST_TEST(Sync("n2").members.size() == 1U);
}

// Guards against a node that starts together with its leader and keeps the incomplete list of that
// moment.
BOOST_AUTO_TEST_CASE(the_member_list_of_a_new_leader_grows_as_nodes_poll)
{
  Sync("n1");
  BecomeLeaderOfNewTerm();
  const auto first = Sync("n2");
  BOOST_TEST(first.members.size() == 1U);
  Sync("n1");
  const auto grown = Sync("n2", first.membersVersion);
  BOOST_TEST(grown.membersIncluded);
  BOOST_TEST(grown.members.size() == 2U);
}

// P10. Guards against joins, drains and losses that are not logged, and against a new leader that
// reports nodes as lost that have not polled it yet.
BOOST_AUTO_TEST_CASE(node_events_are_the_difference_between_logged_and_polled_nodes)
{
  using acp::wire::NodeEvent;
  const acp::MemberInfo draining{ .service = "orders", .draining = true };
  const std::vector<acp::NodeStatus> heard = { { .nodeId = "new", .member = acp::MemberInfo{} },
                                               { .nodeId = "old", .member = draining },
                                               { .nodeId = "silent" } };
  const std::vector<acp::JoinedNode> roster = { { "old", "orders" }, { "silent", "orders" } };
  const auto notes = acp::detail::DiffNodes(roster, heard, false, 10);
  BOOST_REQUIRE(notes.size() == 3U);
  BOOST_TEST((notes[0].event == NodeEvent::JOINED));
  BOOST_TEST((notes[1].event == NodeEvent::DRAINING));
  BOOST_TEST((notes[2].event == NodeEvent::LOST));
  BOOST_TEST(acp::detail::DiffNodes(roster, heard, true, 10).size() == 2U);
  BOOST_TEST(acp::detail::DiffNodes(roster, heard, false, 1).size() == 1U);
}

// P12. Guards against servers that are not connected to the state: a change made by an operator
// over HTTP must reach a node over Thrift, and requires an operator key.
BOOST_AUTO_TEST_CASE(a_change_over_http_reaches_a_node_over_thrift)
{
  const acp::Address any{ .ip = "127.0.0.1" };
  acp::ControlProcess process({ .rpcAddress = any,
                                .operatorAddress = any,
                                .operators = acp::test::TwoOperators(),
                                .clock = &clock,
                                .log = &log,
                                .state = &state });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = process.OperatorPort() } });
  const auto send = [&pool](const std::string& target, const std::string& key) {
    const std::string document = acp::test::OrdersDocument(1);
    acp::HttpRequestHead head{ .method = target == "/metrics" ? "GET" : "PUT", .target = target };
    head.headers.Set("Authorization", "Bearer " + key);
    head.headers.Set("Acp-Request-Id", "request-1");
    head.headers.Set("If-Version", "0");
    acp::StringBody body(head.method == "GET" ? "" : document);
    const auto length = static_cast<std::int64_t>(head.method == "GET" ? 0 : document.size());
    const auto sent = pool.Send(head, body, length, std::chrono::seconds(10)).value()->Response();
    return sent.status;
  };
  BOOST_TEST(send("/v1/services/orders/document", "wrong") == 401);
  BOOST_TEST(send("/v1/services/orders/document?" + std::string(2048, 'x'), "key-sari") == 431);
  BOOST_TEST(state.Version() == 0);
  BOOST_TEST(send("/v1/services/orders/document", "key-sari") == 200);
  BOOST_TEST(send("/metrics", "") == 200);
  acp::ControlChannel channel({ .replicas = { { .ip = "127.0.0.1", .port = process.RpcPort() } },
                                .timeout = std::chrono::seconds(10) });
  acp::wire::SyncRequest request;
  request.nodeId = "n1";
  acp::wire::SyncReply reply;
  BOOST_TEST(channel.Call([&](auto& control) { control.Sync(reply, request); }).has_value());
  BOOST_REQUIRE(reply.delta.documents.size() == 1U);
  BOOST_TEST(reply.delta.documents[0].body == acp::test::OrdersDocument(1));
  process.Stop(std::chrono::seconds(1));
}

BOOST_AUTO_TEST_SUITE_END()
