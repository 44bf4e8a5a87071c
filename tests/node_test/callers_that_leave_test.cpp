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
    far.Learn({ &far });
    near.Learn({ &far });
  }

  /// Occupies the only slot until @p released.
  std::future<Answer> Hold(const std::shared_future<void>& released)
  {
    upstream.onRun = [released](const SeenRequest& seen) {
      if (seen.head.target.ends_with("hold")) {
        released.wait();
      }
    };
    auto holder =
      std::async(std::launch::async, [this] { return Fetch(far.Ingress(), FleetRead("hold")); });
    while (upstream.Seen().empty()) {
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
  LeavingCaller caller(entered.Ingress(), head);
  caller.Leave();
  BOOST_TEST(entered.WaitForEnded(1, kLongestWait));
  released.set_value();
  holder.get();
  // Gets the slot after any request that still waits for it.
  BOOST_TEST(Fetch(entered.Ingress(), FleetRead("last")).status == 200);
  return fleet.upstream.Runs("left");
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
    LeavingCaller caller((fleet.*entry).Ingress(), FleetOrder("left", kLimitedKey));
    caller.Leave();
    fleet.control.grantsTokens = true;
    BOOST_TEST((fleet.*entry).WaitForEnded(1, kLongestWait));
    Fetch((fleet.*entry).Ingress(), FleetRead("last"));
    BOOST_TEST(fleet.upstream.Runs("left") == 0);
  }
}

// Guards also against a claim that stays behind, so that a resend finds the request "in progress".
BOOST_AUTO_TEST_CASE(request_that_waits_for_its_claim_is_not_run_for_a_caller_that_left)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control, .upstream = &upstream });
  node.Learn({ &node });
  std::promise<void> released;
  const auto release = released.get_future().share();
  control.fault = [release](const std::string& call) {
    if (call == "begin") {
      release.wait();
    }
    return ControlFault::None;
  };
  LeavingCaller caller(node.Ingress(), Order("left"));
  caller.Leave();
  released.set_value();
  BOOST_TEST(node.WaitForEnded(1, kLongestWait));
  BOOST_TEST(upstream.Runs("left") == 0);
  BOOST_TEST(Fetch(node.Ingress(), Order("left")).status == 200);
  BOOST_TEST(upstream.Runs("left") == 1);
}

// Guards against a cancellation on the hop that takes the record of a request that has run with it.
BOOST_AUTO_TEST_CASE(order_that_has_been_sent_is_followed_to_its_end_for_a_caller_that_left)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode far({ .id = "n2", .control = &control, .upstream = &upstream });
  TestNode near({ .control = &control });
  far.Learn({ &far });
  near.Learn({ &far });
  std::promise<void> released;
  const auto release = released.get_future().share();
  upstream.onRun = [release](const SeenRequest& /*seen*/) { release.wait(); };
  LeavingCaller caller(near.Ingress(), Order("left"));
  while (upstream.Seen().empty()) {
    std::this_thread::yield();
  }
  caller.Leave();
  BOOST_TEST(near.WaitForEnded(1, kLongestWait));
  released.set_value();
  Answer again;
  do {
    again = Fetch(far.Ingress(), Order("left"));
  } while (again.reason == "in_progress");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(upstream.Runs("left") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
