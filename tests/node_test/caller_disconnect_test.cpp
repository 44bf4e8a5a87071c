#include <boost/test/unit_test.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <future>
#include <thread>

#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

// Enough for a request to begin its wait; with a slower one the test checks less, but passes.
constexpr acp::Duration kArrivalWait = std::chrono::milliseconds(50);
constexpr acp::Duration kMaxWait = std::chrono::seconds(10);

/// A caller that closes its connection without waiting for the response.
class DisconnectingCaller
{
public:
  DisconnectingCaller(std::uint16_t port, const acp::HttpRequestHead& head)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
  {
    const std::string text = acp::detail::FormatRequestHead(head, "h", 0);
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    std::this_thread::sleep_for(kArrivalWait);
  }

  void Disconnect() { socket_.close(); }

private:
  Poco::Net::StreamSocket socket_;
};

/// A node with an upstream of one slot, and a node without one that sends it all requests.
struct Fleet
{
  Fleet()
    : upstreamNode({ .id = "n2",
                     .control = &control,
                     .upstream = &upstream,
                     .slots = 1,
                     .routesByFleet = true })
    , entryNode({ .control = &control, .routesByFleet = true })
  {
    upstreamNode.SetMembers({ &upstreamNode });
    entryNode.SetMembers({ &upstreamNode });
  }

  /// Occupies the only slot until @p released.
  std::future<FetchResult> OccupySlot(const std::shared_future<void>& released)
  {
    upstream.onRun = [released](const RecordedRequest& seen) {
      if (seen.head.target.ends_with("hold")) {
        released.wait();
      }
    };
    auto holder = std::async(
      std::launch::async, [this] { return Fetch(upstreamNode.IngressPort(), FleetRead("hold")); });
    while (upstream.Recorded().empty()) {
      std::this_thread::yield();
    }
    return holder;
  }

  FakeControl control;
  FakeUpstream upstream;
  TestNode upstreamNode;
  TestNode entryNode;
};

/// Disconnects a caller while its request, sent to @p entry, waits for the slot of the upstream.
/// @return how often the request ran
int RunsAfterDisconnectAtGate(const acp::HttpRequestHead& head, TestNode Fleet::*entry)
{
  Fleet fleet;
  std::promise<void> released;
  auto holder = fleet.OccupySlot(released.get_future().share());
  TestNode& entered = fleet.*entry;
  DisconnectingCaller caller(entered.IngressPort(), head);
  caller.Disconnect();
  BOOST_TEST(entered.WaitForCompleted(1, kMaxWait));
  released.set_value();
  holder.get();
  // Gets the slot after any request that still waits.
  BOOST_TEST(Fetch(entered.IngressPort(), FleetRead("last")).status == 200);
  return fleet.upstream.CountRuns("left");
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_disconnect)

BOOST_AUTO_TEST_CASE(request_at_the_local_gate_is_not_run_after_caller_disconnect)
{
  BOOST_TEST(RunsAfterDisconnectAtGate(FleetRead("left"), &Fleet::upstreamNode) == 0);
  BOOST_TEST(RunsAfterDisconnectAtGate(FleetOrder("left"), &Fleet::upstreamNode) == 0);
}

BOOST_AUTO_TEST_CASE(request_at_a_peers_gate_is_not_run_after_caller_disconnect)
{
  BOOST_TEST(RunsAfterDisconnectAtGate(FleetRead("left"), &Fleet::entryNode) == 0);
  BOOST_TEST(RunsAfterDisconnectAtGate(FleetOrder("left"), &Fleet::entryNode) == 0);
}

BOOST_AUTO_TEST_CASE(request_waiting_for_a_token_is_not_run_after_caller_disconnect)
{
  for (TestNode Fleet::*entry : { &Fleet::upstreamNode, &Fleet::entryNode }) {
    Fleet fleet;
    fleet.control.grantsTokens = false;
    DisconnectingCaller caller((fleet.*entry).IngressPort(), FleetOrder("left", kLimitedKey));
    caller.Disconnect();
    fleet.control.grantsTokens = true;
    BOOST_TEST((fleet.*entry).WaitForCompleted(1, kMaxWait));
    Fetch((fleet.*entry).IngressPort(), FleetRead("last"));
    BOOST_TEST(fleet.upstream.CountRuns("left") == 0);
  }
}

// Also guards against a claim that is not released, so that a resend is refused as in progress.
BOOST_AUTO_TEST_CASE(request_waiting_for_its_claim_is_not_run_after_caller_disconnect)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control, .upstream = &upstream });
  node.SetMembers({ &node });
  std::promise<void> released;
  const auto release = released.get_future().share();
  control.fault = [release](const std::string& call) {
    if (call == "begin") {
      release.wait();
    }
    return ControlFault::None;
  };
  DisconnectingCaller caller(node.IngressPort(), OrderRequest("left"));
  caller.Disconnect();
  released.set_value();
  BOOST_TEST(node.WaitForCompleted(1, kMaxWait));
  BOOST_TEST(upstream.CountRuns("left") == 0);
  BOOST_TEST(Fetch(node.IngressPort(), OrderRequest("left")).status == 200);
  BOOST_TEST(upstream.CountRuns("left") == 1);
}

// Guards against a disconnect that cancels the request on its way to the upstream, so that the
// outcome of a request that has run is not recorded.
BOOST_AUTO_TEST_CASE(sent_non_idempotent_request_is_completed_after_caller_disconnect)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode upstreamNode({ .id = "n2", .control = &control, .upstream = &upstream });
  TestNode entryNode({ .control = &control });
  upstreamNode.SetMembers({ &upstreamNode });
  entryNode.SetMembers({ &upstreamNode });
  std::promise<void> released;
  const auto release = released.get_future().share();
  upstream.onRun = [release](const RecordedRequest& /*seen*/) { release.wait(); };
  DisconnectingCaller caller(entryNode.IngressPort(), OrderRequest("left"));
  while (upstream.Recorded().empty()) {
    std::this_thread::yield();
  }
  caller.Disconnect();
  BOOST_TEST(entryNode.WaitForCompleted(1, kMaxWait));
  released.set_value();
  FetchResult again;
  do {
    again = Fetch(upstreamNode.IngressPort(), OrderRequest("left"));
  } while (again.reason == "in_progress");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(upstream.CountRuns("left") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
