#include <boost/test/unit_test.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <future>
#include <thread>

#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

// Enough for a request to get to its wait; one that is slower shows nothing but fails nothing.
constexpr acp::Duration kArrival = std::chrono::milliseconds(50);
constexpr acp::Duration kLongestWait = std::chrono::seconds(10);

/// A caller that closes its connection without waiting for the answer.
class LeavingCaller
{
public:
  LeavingCaller(std::uint16_t port, const acp::HttpRequestHead& head)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
  {
    const std::string text = acp::detail::FormatRequestHead(head, "h", 0);
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    std::this_thread::sleep_for(kArrival);
  }

  void Leave() { socket_.close(); }

private:
  Poco::Net::StreamSocket socket_;
};

/// A node with an upstream of one slot, and one without that sends all requests to it.
struct Fleet
{
  Fleet()
    : far({ .id = "n2",
            .control = &control,
            .upstream = &upstream,
            .slots = 1,
            .routesByFleet = true })
    , near({ .control = &control, .routesByFleet = true })
  {
    far.SetMembers({ &far });
    near.SetMembers({ &far });
  }

  /// Occupies the only slot until @p released.
  std::future<FetchResult> Hold(const std::shared_future<void>& released)
  {
    upstream.onRun = [released](const RecordedRequest& seen) {
      if (seen.head.target.ends_with("hold")) {
        released.wait();
      }
    };
    auto holder = std::async(std::launch::async,
                             [this] { return Fetch(far.IngressPort(), FleetRead("hold")); });
    while (upstream.Recorded().empty()) {
      std::this_thread::yield();
    }
    return holder;
  }

  FakeControl control;
  FakeUpstream upstream;
  TestNode far;
  TestNode near;
};

/// Lets a caller leave while its request waits for the slot of @p entry's upstream.
int RunsAfterLeavingTheGate(const acp::HttpRequestHead& head, TestNode Fleet::*entry)
{
  Fleet fleet;
  std::promise<void> released;
  auto holder = fleet.Hold(released.get_future().share());
  TestNode& entered = fleet.*entry;
  LeavingCaller caller(entered.IngressPort(), head);
  caller.Leave();
  BOOST_TEST(entered.WaitForCompleted(1, kLongestWait));
  released.set_value();
  holder.get();
  // Gets the slot after any request that still waits for it.
  BOOST_TEST(Fetch(entered.IngressPort(), FleetRead("last")).status == 200);
  return fleet.upstream.CountRuns("left");
}

} // namespace

BOOST_AUTO_TEST_SUITE(callers_that_leave)

BOOST_AUTO_TEST_CASE(request_at_the_own_gate_is_not_run_for_a_caller_that_left)
{
  BOOST_TEST(RunsAfterLeavingTheGate(FleetRead("left"), &Fleet::far) == 0);
  BOOST_TEST(RunsAfterLeavingTheGate(FleetOrder("left"), &Fleet::far) == 0);
}

BOOST_AUTO_TEST_CASE(request_at_a_peers_gate_is_not_run_for_a_caller_that_left)
{
  BOOST_TEST(RunsAfterLeavingTheGate(FleetRead("left"), &Fleet::near) == 0);
  BOOST_TEST(RunsAfterLeavingTheGate(FleetOrder("left"), &Fleet::near) == 0);
}

BOOST_AUTO_TEST_CASE(request_that_waits_for_a_token_is_not_run_for_a_caller_that_left)
{
  for (TestNode Fleet::*entry : { &Fleet::far, &Fleet::near }) {
    Fleet fleet;
    fleet.control.grantsTokens = false;
    LeavingCaller caller((fleet.*entry).IngressPort(), FleetOrder("left", kLimitedKey));
    caller.Leave();
    fleet.control.grantsTokens = true;
    BOOST_TEST((fleet.*entry).WaitForCompleted(1, kLongestWait));
    Fetch((fleet.*entry).IngressPort(), FleetRead("last"));
    BOOST_TEST(fleet.upstream.CountRuns("left") == 0);
  }
}

// Guards also against a claim that stays behind, so that a resend finds the request "in progress".
BOOST_AUTO_TEST_CASE(request_that_waits_for_its_claim_is_not_run_for_a_caller_that_left)
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
  LeavingCaller caller(node.IngressPort(), OrderRequest("left"));
  caller.Leave();
  released.set_value();
  BOOST_TEST(node.WaitForCompleted(1, kLongestWait));
  BOOST_TEST(upstream.CountRuns("left") == 0);
  BOOST_TEST(Fetch(node.IngressPort(), OrderRequest("left")).status == 200);
  BOOST_TEST(upstream.CountRuns("left") == 1);
}

// Guards against a cancellation on the hop that takes the record of a request that has run with it.
BOOST_AUTO_TEST_CASE(order_that_has_been_sent_is_followed_to_its_end_for_a_caller_that_left)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode far({ .id = "n2", .control = &control, .upstream = &upstream });
  TestNode near({ .control = &control });
  far.SetMembers({ &far });
  near.SetMembers({ &far });
  std::promise<void> released;
  const auto release = released.get_future().share();
  upstream.onRun = [release](const RecordedRequest& /*seen*/) { release.wait(); };
  LeavingCaller caller(near.IngressPort(), OrderRequest("left"));
  while (upstream.Recorded().empty()) {
    std::this_thread::yield();
  }
  caller.Leave();
  BOOST_TEST(near.WaitForCompleted(1, kLongestWait));
  released.set_value();
  FetchResult again;
  do {
    again = Fetch(far.IngressPort(), OrderRequest("left"));
  } while (again.reason == "in_progress");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(upstream.CountRuns("left") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
