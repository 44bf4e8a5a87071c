#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "acaciapulley/node/detail/warmup_guard.hpp"
#include "pipeline_documents.hpp"
#include "pipeline_fixture.hpp"
#include "scripted_upstream.hpp"

namespace {

using namespace acp::test;
using namespace std::chrono_literals;

constexpr int kRate = 3;

/// The fleet document with @p fields in the entry of the service `front`.
std::string FleetWith(const std::string& fields)
{
  std::string text = FleetDocumentText();
  const std::string entry = R"("name":"front","health_path":"")";
  return text.replace(text.find(entry), entry.size(), entry + fields);
}

std::string LimitedFleet()
{
  return FleetWith(R"(,"warmup_ms":3000,"warmup_rate":)" + std::to_string(kRate));
}

/// Nodes of a service that has a rate limit while it is cold, on one clock that moves only when
/// advanced.
struct Fixture
{
  acp::ManualClock clock;
  FakeControl control;
  std::atomic<int> requestedChecks = 0;

  TestNodeOptions Options(const std::string& id, FakeUpstream* upstream)
  {
    return { .id = id,
             .control = &control,
             .upstream = upstream,
             .routesByFleet = true,
             .clock = &clock,
             .requestHealthCheck = [this] { ++requestedChecks; } };
  }

  /// Puts the limit in force and lets the first second of the node pass.
  void Begin(TestNode& node, const std::string& fleet = LimitedFleet())
  {
    node.ApplyFleet(2, fleet);
    TestNode::ConnectAll({ &node });
    clock.Advance(2s);
  }

  int sent = 0;

  /// Sends @p count requests and returns how many were answered by an upstream.
  int Send(const TestNode& node, int count, const std::string& expectedReason = "warming_up")
  {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      const auto result = Fetch(node.IngressPort(), FleetRead("q" + std::to_string(sent++)));
      answered += result.status == 200 ? 1 : 0;
      if (result.status != 200) {
        BOOST_TEST(result.status == 503);
        BOOST_TEST(result.outcome == "not-run");
        BOOST_TEST(result.reason == expectedReason);
      }
    }
    return answered;
  }
};

/// A port that refuses connections.
std::uint16_t ClosedPort()
{
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().port();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup, Fixture)

// Guards against more requests than a cold upstream tolerates, of callers and of nested calls, and
// against a refusal that is not safe to repeat elsewhere.
BOOST_AUTO_TEST_CASE(requests_above_the_rate_are_refused_as_not_run)
{
  FakeUpstream upstream;
  TestNode node(Options("n1", &upstream));
  Begin(node);
  BOOST_TEST(Send(node, 10) == kRate);
  BOOST_TEST(upstream.Recorded().size() == static_cast<std::size_t>(kRate));
  const auto nested = Fetch(node.IngressPort(), FleetNestedRead("nested"));
  BOOST_TEST(nested.reason == "warming_up");
  const auto order = Fetch(node.IngressPort(), FleetOrder("order"));
  BOOST_TEST(order.reason == "warming_up");
  clock.Advance(1s);
  BOOST_TEST(Send(node, 10) == kRate);
  const auto stats = node.Pipeline().Stats();
  BOOST_TEST(stats.isUpstreamCold);
  BOOST_TEST(stats.gate.counts.refused.at(acp::Reason::WarmingUp) == 16U);
}

// Guards against a limit on an upstream that has reported that it is warm.
BOOST_AUTO_TEST_CASE(warm_upstream_is_not_limited)
{
  FakeUpstream upstream;
  TestNode node(Options("n1", &upstream));
  Begin(node);
  node.Announce(false);
  BOOST_TEST(node.AnnouncedColdStartMs() == 3000);
  node.ReportHealthWarmup(0s);
  BOOST_TEST(Send(node, 10) == 10);
  BOOST_TEST(!node.Pipeline().Stats().isUpstreamCold);
  BOOST_TEST(node.AnnouncedColdStartMs() == 0);
  node.ReportHealthWarmup(2s);
  BOOST_TEST(node.AnnouncedColdStartMs() == 2000);
  // The ten requests of this second have reached the upstream.
  BOOST_TEST(Send(node, 5) == 0);
  clock.Advance(2s);
  BOOST_TEST(Send(node, 10) == 10);
}

// Guards against changed decisions for services without a rate: nothing is refused, no health check
// is requested, and the cold start is announced as it is.
BOOST_AUTO_TEST_CASE(service_without_a_rate_is_not_limited)
{
  for (const std::string fields : { "", R"(,"warmup_ms":3000)", R"(,"warmup_rate":0)" }) {
    FakeUpstream upstream;
    TestNode node(Options("n1", &upstream));
    node.ApplyFleet(2, FleetWith(fields));
    TestNode::ConnectAll({ &node });
    BOOST_TEST(Send(node, 20) == 20);
    node.Pipeline().AssumeUpstreamCold();
    node.ReportHealthWarmup(3s);
    BOOST_TEST(Send(node, 20) == 20);
    BOOST_TEST(node.AnnouncedColdStartMs() == 0);
    BOOST_TEST(!node.Pipeline().Stats().isUpstreamCold);
    BOOST_TEST(requestedChecks == 0);
    BOOST_TEST(!node.Pipeline().Stats().gate.counts.refused.contains(acp::Reason::WarmingUp));
  }
}

// Guards against a node that is restarted beside a cold upstream and adds a full rate to what the
// process before it has sent in the same second.
BOOST_AUTO_TEST_CASE(restarted_node_waits_one_second_and_asks_the_upstream)
{
  FakeUpstream upstream;
  TestNode node(Options("n1", &upstream));
  node.ApplyFleet(2, LimitedFleet());
  TestNode::ConnectAll({ &node });
  BOOST_TEST(Send(node, 5) == 0);
  BOOST_TEST(requestedChecks >= 1);
  clock.Advance(1s);
  BOOST_TEST(Send(node, 5) == kRate);
}

// Guards against a restart under the same id whose upstream takes requests before its first
// heartbeat: the refused connection is the only sign of it.
BOOST_AUTO_TEST_CASE(refused_connection_is_evidence_of_a_restart)
{
  FakeUpstream upstream;
  TestNode node(Options("n1", &upstream));
  Begin(node);
  node.ReportHealthWarmup(0s);
  clock.Advance(1s);
  requestedChecks = 0;
  node.AnnounceAt(ClosedPort());
  BOOST_TEST(Send(node, 2, "upstream_unreachable") == 0);
  BOOST_TEST(node.Pipeline().Stats().isUpstreamCold);
  BOOST_TEST(requestedChecks >= 1);
  BOOST_TEST(node.AnnouncedColdStartMs() == 3000);
  node.AnnounceAt(upstream.Port());
  BOOST_TEST(Send(node, 10) == kRate);
  // No health check is answered: the assumption ends the warm-up time after the first answer.
  clock.Advance(2999ms);
  BOOST_TEST(Send(node, 10) == kRate);
  clock.Advance(1ms);
  BOOST_TEST(Send(node, 10) == 10);
}

// Guards against a restart that shows only in the requests it has ended, and against an assumption
// for losses that are not in a row.
BOOST_AUTO_TEST_CASE(requests_lost_in_a_row_are_evidence_of_a_restart)
{
  std::atomic<bool> loses = true;
  FakeUpstream upstream;
  upstream.chooseBehaviour = [&] {
    return loses ? UpstreamBehaviour::CloseAfterRun : UpstreamBehaviour::Succeed;
  };
  TestNode node(Options("n1", &upstream));
  Begin(node);
  node.ReportHealthWarmup(0s);
  const auto loseOne = [&] {
    return Fetch(node.IngressPort(), FleetOrder("lost" + std::to_string(sent++))).status;
  };
  for (int i = 0; i < 2; ++i) {
    loses = true;
    BOOST_TEST(loseOne() == 502);
    BOOST_TEST(loseOne() == 502);
    loses = false;
    BOOST_TEST(Send(node, 1) == 1);
  }
  BOOST_TEST(!node.Pipeline().Stats().isUpstreamCold);
  loses = true;
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(loseOne() == 502);
  }
  BOOST_TEST(node.Pipeline().Stats().isUpstreamCold);
}

// Guards against a start that is not counted because its upstream was still warm then, as when an
// evacuation of the data centre ends.
BOOST_AUTO_TEST_CASE(assumed_coldness_counts_the_starts_before_it)
{
  FakeUpstream upstream;
  TestNode node(Options("n1", &upstream));
  Begin(node);
  node.ReportHealthWarmup(0s);
  BOOST_TEST(Send(node, 5) == 5);
  requestedChecks = 0;
  node.Pipeline().AssumeUpstreamCold();
  BOOST_TEST(requestedChecks == 1);
  BOOST_TEST(Send(node, 5) == 0);
  clock.Advance(1s);
  BOOST_TEST(Send(node, 5) == kRate);
  node.ReportHealthWarmup(0s);
  BOOST_TEST(Send(node, 5) == 5);
}

// Guards against callers that fail because the member list still shows a cold upstream as warm: its
// node refuses, and another member runs the request.
BOOST_AUTO_TEST_CASE(refused_request_runs_on_another_member)
{
  FakeUpstream cold;
  FakeUpstream warm;
  TestNode near(Options("n1", &cold));
  TestNode far(Options("n2", &warm));
  for (TestNode* node : { &near, &far }) {
    node->ApplyFleet(2, LimitedFleet());
  }
  TestNode::ConnectAll({ &near, &far });
  clock.Advance(2s);
  far.ReportHealthWarmup(0s);
  BOOST_TEST(Send(near, kRate + 2) == kRate + 2);
  BOOST_TEST(cold.Recorded().size() == static_cast<std::size_t>(kRate));
  BOOST_TEST(warm.Recorded().size() == 2U);
}

// Guards against retries without bound at the remaining members when many upstreams become cold at
// the same moment: refusals are repeated elsewhere only within the retry budget of the node, so
// that most of 200 requests above the rate end with their refusal.
BOOST_AUTO_TEST_CASE(refusals_are_repeated_only_within_the_retry_budget)
{
  FakeUpstream cold;
  FakeUpstream warm;
  TestNode near(Options("n1", &cold));
  TestNode far(Options("n2", &warm));
  for (TestNode* node : { &near, &far }) {
    node->ApplyFleet(2, LimitedFleet());
  }
  TestNode::ConnectAll({ &near, &far });
  clock.Advance(2s);
  far.ReportHealthWarmup(0s);
  const int answered = Send(near, 200);
  const auto repeated = warm.Recorded().size();
  BOOST_TEST(cold.Recorded().size() == static_cast<std::size_t>(kRate));
  BOOST_TEST(answered == static_cast<int>(kRate + repeated));
  BOOST_TEST(repeated <= 100U);
}

// Guards against a restart whose first connections all carry a request at once: the rate is checked
// on the open connection, and one that may not be used for a request is kept for the next.
BOOST_AUTO_TEST_CASE(rate_is_checked_after_a_connection_is_there)
{
  ScriptedUpstream upstream([](const auto& /*request*/) { return ResponseBytes(200, "", "ok"); });
  acp::HttpPool pool({ .address = { "127.0.0.1", upstream.Port() } });
  int asked = 0;
  int failed = 0;
  bool allows = false;
  const acp::SendOptions options{ .timeout = 30s,
                                  .maySend =
                                    [&] {
                                      ++asked;
                                      return allows;
                                    },
                                  .onConnectFailed = [&] { ++failed; } };
  acp::StringBody body("");
  const auto withheld = pool.Send({ .method = "GET", .target = "/x" }, body, 0, options);
  BOOST_TEST((withheld.error().code == acp::TransportErrorCode::Withheld));
  BOOST_TEST(asked == 1);
  BOOST_TEST(pool.OpenConnections() == 1);
  allows = true;
  BOOST_TEST(pool.Send({ .method = "GET", .target = "/x" }, body, 0, options).has_value());
  BOOST_TEST(upstream.CountConnections() == 1);
  BOOST_TEST(upstream.CountRequests("/x") == 1);
  BOOST_TEST(failed == 0);
  acp::HttpPool closed({ .address = { "127.0.0.1", ClosedPort() } });
  asked = 0;
  BOOST_TEST(!closed.Send({ .method = "GET", .target = "/x" }, body, 0, options).has_value());
  BOOST_TEST(asked == 0);
  BOOST_TEST(failed == 1);
}

// Guards against a caller that is told the slots of a cold upstream.
BOOST_AUTO_TEST_CASE(reported_limit_is_what_the_rate_allows)
{
  acp::StateCache state;
  acp::LocalUpstream upstream;
  acp::detail::WarmupGuard guard({ .clock = &clock, .stateCache = &state, .upstream = &upstream });
  state.Apply({ .toVersion = 1, .fleet = acp::ReceivedDocument{ 1, LimitedFleet() } }, clock.Now());
  const acp::LoadReport load{ .inFlight = 7, .limit = 50 };
  BOOST_TEST(guard.Bound(load).limit == 50);
  guard.SetService("front");
  BOOST_TEST(guard.Bound(load).limit == 1);
  BOOST_TEST(guard.Bound(load).inFlight == 7);
  guard.RecordRun(clock.Now() - 4s);
  BOOST_TEST(guard.Bound(load).limit == 12);
  guard.Apply(
    { .source = acp::ColdReason::HealthAnswer, .askedAt = clock.Now(), .receivedAt = clock.Now() });
  BOOST_TEST(guard.Bound(load).limit == 50);
}

// Guards against a member list with a cold start that is not seen because its value is the same as
// the one before, and against a new list for each refused connection while an upstream is down.
BOOST_AUTO_TEST_CASE(each_cold_start_is_announced_once_with_another_value)
{
  int changes = 0;
  acp::StateCache state;
  acp::LocalUpstream upstream;
  acp::detail::WarmupGuard guard(
    { .clock = &clock, .stateCache = &state, .upstream = &upstream, .onColdStartChanged = [&] {
       ++changes;
     } });
  state.Apply({ .toVersion = 1, .fleet = acp::ReceivedDocument{ 1, LimitedFleet() } }, clock.Now());
  const auto announced = [&] { return upstream.Current().value().coldStartMs; };
  guard.SetService("front");
  upstream.Announce({ .service = "front", .slots = 5, .maxConnections = 9, .coldStartMs = 700 });
  BOOST_TEST(announced() == 3000);
  for (int i = 0; i < 100; ++i) {
    clock.Advance(10ms);
    guard.RecordConnectFailure();
  }
  BOOST_TEST(announced() == 3000);
  BOOST_TEST(changes == 0);
  clock.Advance(2s);
  guard.RecordConnectFailure();
  BOOST_TEST(announced() == 3001);
  BOOST_TEST(changes == 1);
  const auto answer = [&](acp::Duration left) {
    guard.Apply({ .source = acp::ColdReason::HealthAnswer,
                  .left = left,
                  .askedAt = clock.Now(),
                  .receivedAt = clock.Now() });
  };
  answer(2s); // ends earlier than announced
  BOOST_TEST(announced() == 3001);
  clock.Advance(2s);
  guard.RecordAnswer(clock.Now());
  BOOST_TEST(announced() == 0);
  // Without a rate the upstream's own cold start is announced.
  state.Apply({ .toVersion = 2, .fleet = acp::ReceivedDocument{ 2, FleetWith("") } }, clock.Now());
  guard.RecordAnswer(clock.Now());
  BOOST_TEST(announced() == 700);
}

BOOST_AUTO_TEST_SUITE_END()
