#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "acaciapulley/node/detail/claim_client.hpp"
#include "pipeline_fixture.hpp"
#include "scripted_upstream.hpp"

// Responses whose status is no final or interim status of HTTP (100 to 599). They end the attempt
// like a lost connection: the request may have run, and the caller gets no part of the response.

namespace {

using namespace acp::test;

const std::vector<std::string> kInvalidStatuses = { "000", "00",   "0",    "099", "99",
                                                    "-1",  "-200", "+20",  "600", "799",
                                                    "999", "1000", "0200", "2e2" };

std::string Head(const std::string& status, const std::string& fields)
{
  return "HTTP/1.1 " + status + " X\r\n" + fields + "\r\n";
}

/// A final response of an upstream.
std::string Final(const std::string& status)
{
  return Head(status, "Content-Length: 6\r\n") + "secret";
}

/// A response as a node sends it to another node.
std::string FromPeer(const std::string& status, const ScriptedRequest& request)
{
  return Head(status,
              "Content-Length: 6\r\nAcp-Outcome: ran\r\nAcp-Attempt: " +
                request.head.headers.Find("Acp-Attempt").value_or("") + "\r\n") +
         "secret";
}

void CheckUnknown(const FetchResult& answer)
{
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.reason == "upstream_connection_lost");
  BOOST_TEST(answer.isComplete);
  BOOST_TEST(answer.body.find("secret") == std::string::npos);
}

/// Nodes with upstreams that all send the same response: the first serves callers, and the members
/// are the first (one hop) or the second (two hops) or both.
struct Fixture
{
  FakeControl control;
  std::string response = Final("000");
  ScriptedUpstream firstUpstream{ [this](const auto& /*request*/) { return response; } };
  ScriptedUpstream secondUpstream{ [this](const auto& /*request*/) { return response; } };
  TestNode first{ { .id = "n1", .control = &control, .routesByFleet = true } };
  TestNode second{ { .id = "n2", .control = &control, .routesByFleet = true } };

  Fixture()
  {
    first.AnnounceAt(firstUpstream.Port());
    second.AnnounceAt(secondUpstream.Port());
  }

  FetchResult Send(const acp::HttpRequestHead& head) const
  {
    return Fetch(first.IngressPort(), head);
  }

  [[nodiscard]] int CountRequests(const std::string& name) const
  {
    return firstUpstream.CountRequests(name) + secondUpstream.CountRequests(name);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(invalid_status, Fixture)

// Guards against an invalid status that reaches a caller as an answer, over one hop.
BOOST_DATA_TEST_CASE_F(Fixture,
                       local_upstream,
                       boost::unit_test::data::make(kInvalidStatuses),
                       status)
{
  response = Final(status);
  first.SetMembers({ &first });
  CheckUnknown(Send(FleetRead("read")));
  CheckUnknown(Send(FleetOrder("order")));
  CheckUnknown(Send(FleetNestedRead("nested")));
}

// The same over two hops.
BOOST_DATA_TEST_CASE_F(Fixture,
                       upstream_of_a_peer,
                       boost::unit_test::data::make(kInvalidStatuses),
                       status)
{
  response = Final(status);
  first.SetMembers({ &second });
  CheckUnknown(Send(FleetRead("read")));
  CheckUnknown(Send(FleetOrder("order")));
  BOOST_TEST(secondUpstream.CountRequests("order") == 1);
}

// Guards against a process that is not a node, or a faulty node, whose response is taken as that of
// an upstream that ran.
BOOST_DATA_TEST_CASE_F(Fixture, peer, boost::unit_test::data::make(kInvalidStatuses), status)
{
  const ScriptedUpstream stranger([&](const auto& request) { return FromPeer(status, request); });
  first.SetForeignPeer(stranger.Port());
  CheckUnknown(Send(FleetRead("read")));
  CheckUnknown(Send(FleetOrder("order")));
  BOOST_TEST(stranger.CountRequests("order") == 1);
}

// Guards against a head with an invalid status that is skipped as an interim response.
BOOST_DATA_TEST_CASE_F(Fixture,
                       interim_response,
                       boost::unit_test::data::make(kInvalidStatuses),
                       status)
{
  response = Head(status, "") + Final("200");
  for (TestNode* member : { &first, &second }) {
    first.SetMembers({ member });
    CheckUnknown(Send(FleetRead("read")));
    CheckUnknown(Send(FleetOrder("order")));
  }
}

// Guards against a repetition of a request that may have run, and against a repeatable one that
// fails although another member answers.
BOOST_DATA_TEST_CASE_F(Fixture, retries, boost::unit_test::data::make(kInvalidStatuses), status)
{
  TestNode::ConnectAll({ &first, &second });
  response = Final(status);
  CheckUnknown(Send(FleetOrder("order")));
  BOOST_TEST(CountRequests("order") == 1);
  CheckUnknown(Send(FleetRead("always")));
  BOOST_TEST(CountRequests("always") == 2);
}

// Guards against a retry that is not made at another member.
BOOST_AUTO_TEST_CASE(repeatable_request_is_answered_by_another_member)
{
  TestNode::ConnectAll({ &first, &second });
  FakeUpstream healthy;
  second.AnnounceAt(healthy.Port());
  const auto answer = Send(FleetRead("read"));
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(firstUpstream.CountRequests("read") == 1);
  BOOST_TEST(healthy.CountRuns("read") == 1);
}

// Guards against an order whose claim is released after an invalid status, so that it runs twice.
BOOST_AUTO_TEST_CASE(claimed_request_stays_claimed)
{
  TestNode node({ .id = "n3", .control = &control });
  node.AnnounceAt(firstUpstream.Port());
  node.SetMembers({ &node });
  CheckUnknown(Fetch(node.IngressPort(), OrderRequest("once")));
  const auto resent = Fetch(node.IngressPort(), OrderRequest("once"));
  BOOST_TEST(resent.status >= 400);
  BOOST_TEST(resent.outcome == "unknown");
  BOOST_TEST(firstUpstream.CountRequests("orders") == 1);
}

// Guards against a recorded response without a valid status that is repeated to a caller.
BOOST_AUTO_TEST_CASE(recorded_response_needs_a_valid_status)
{
  struct FinishedControl final : acp::wire::ControlServiceNull
  {
    int status = 0;
    void BeginClaim(acp::wire::BeginClaimReply& reply,
                    const acp::wire::BeginClaimRequest& /*request*/) override
    {
      reply.state = acp::wire::ClaimState::FINISHED;
      reply.outcome.status = status;
    }
  };
  FinishedControl finished;
  acp::detail::ClaimClient claims(
    [&finished](const auto& operation) -> acp::TransportResult<void> {
      operation(finished);
      return boost::outcome_v2::success();
    },
    "n1");
  const auto begin = [&](int status) {
    finished.status = status;
    return claims.Begin({ .account = "a", .service = "front", .idempotencyKey = "k" });
  };
  for (const int status : { 0, -1, 99, 100, 199, 600, 999 }) {
    const auto result = begin(status);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().status == 502);
    BOOST_TEST((result.error().outcome == acp::RequestOutcome::Unknown));
  }
  for (const int status : { 200, 404, 599 }) {
    BOOST_TEST(begin(status).value()->status == status);
  }
}

// Guards against a bound that is too narrow: every status of the valid range reaches the caller.
BOOST_AUTO_TEST_CASE(valid_statuses_are_passed_on)
{
  first.SetMembers({ &second });
  for (const std::string status : { "200", "299", "418", "500", "599" }) {
    response = Final(status);
    BOOST_TEST(Send(FleetOrder("order-" + status)).status == std::stoi(status));
  }
  response = Head("100", "") + Head("199", "") + Final("200");
  BOOST_TEST(Send(FleetOrder("interim")).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
