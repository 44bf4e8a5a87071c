#include <boost/test/unit_test.hpp>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

// Requests of the fixture may take 100 s; those with a target are expected to take 1 s, or 2 s when
// they may not be repeated.
constexpr acp::Duration kShortStop = std::chrono::milliseconds(500);
constexpr acp::Duration kLongStop = std::chrono::seconds(60);
constexpr int kLongStopMillis = 60'000;

/// A node beside the only upstream, which is its only member.
struct Host
{
  Host()
    : node({ .control = &control, .upstream = &upstream, .routesByFleet = true })
  {
    node.SetMembers({ &node });
  }

  /// Lets the upstream hold requests that end in "hold" and make nested calls once @p released.
  void HoldWithNestedCall(const std::shared_future<void>& released)
  {
    upstream.onRun = [this, released](const RecordedRequest& seen) {
      if (seen.head.target.ends_with("hold")) {
        released.wait();
        nestedStatus = Fetch(node.IngressPort(), FleetNestedRead("call")).status;
      }
    };
  }

  void AwaitUpstream(const std::string& name) const
  {
    while (upstream.CountRuns(name) == 0) {
      std::this_thread::yield();
    }
  }

  FakeControl control;
  FakeUpstream upstream;
  std::atomic<int> nestedStatus = 0;
  TestNode node;
};

/// Two nodes with an upstream each, and one without that sends requests to them.
struct Peers
{
  Peers()
    : leaving({ .id = "n2", .control = &control, .upstream = &first, .routesByFleet = true })
    , other({ .id = "n3", .control = &control, .upstream = &second, .routesByFleet = true })
    , entry({ .control = &control, .routesByFleet = true })
  {
  }

  FakeControl control;
  FakeUpstream first;
  FakeUpstream second;
  TestNode leaving;
  TestNode other;
  TestNode entry;
};

void CheckStopping(const FetchResult& answer)
{
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(answer.reason == "stopping");
}

int ToldMillis(const FakeUpstream& upstream)
{
  return std::stoi(upstream.Recorded().back().head.headers.Find("Acp-Deadline-Ms").value_or("0"));
}

/// Waits until the node takes no more requests of callers.
void AwaitClosing(const TestNode& node)
{
  while (Fetch(node.IngressPort(), FleetQuickRead("probe")).status == 200) {
    std::this_thread::yield();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop)

BOOST_AUTO_TEST_CASE(request_that_cannot_end_before_the_stop_is_refused_before_it_is_passed_on)
{
  Host host;
  host.node.BeginStop(kShortStop);
  CheckStopping(Fetch(host.node.IngressPort(), FleetOrder("late")));
  CheckStopping(Fetch(host.node.IngressPort(), FleetRead("late")));
  CheckStopping(Fetch(host.node.IngressPort(), FleetQuickOrder("late")));
  CheckStopping(Fetch(host.node.IngressPort(), FleetQuickRead("late")));
  BOOST_TEST(host.upstream.Recorded().empty());
}

BOOST_AUTO_TEST_CASE(request_for_a_peer_is_refused_when_its_answer_would_come_after_the_stop)
{
  Peers peers;
  peers.entry.SetMembers({ &peers.other });
  peers.entry.BeginStop(kShortStop);
  CheckStopping(Fetch(peers.entry.IngressPort(), FleetOrder("late")));
  CheckStopping(Fetch(peers.entry.IngressPort(), FleetQuickRead("late")));
  BOOST_TEST(peers.second.Recorded().empty());
}

// Guards also against an answer that comes from the node, while the upstream is still at work.
BOOST_AUTO_TEST_CASE(request_that_can_end_before_the_stop_is_served_in_the_time_that_is_left)
{
  Host host;
  host.node.BeginStop(kLongStop);
  for (const auto& head : { FleetQuickOrder("in-time"), FleetQuickRead("in-time") }) {
    const FetchResult answer = Fetch(host.node.IngressPort(), head);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(ToldMillis(host.upstream) < kLongStopMillis);
    BOOST_TEST(ToldMillis(host.upstream) > 0);
  }
  Peers peers;
  peers.entry.SetMembers({ &peers.other });
  peers.entry.BeginStop(kLongStop);
  BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickOrder("far")).status == 200);
  BOOST_TEST(ToldMillis(peers.second) < kLongStopMillis);
}

BOOST_AUTO_TEST_CASE(request_whose_own_time_fits_is_served_whatever_its_target)
{
  Host host;
  host.node.BeginStop(kLongStop);
  auto head = FleetOrder("brief");
  head.headers.Set("Acp-Deadline-Ms", "20000");
  BOOST_TEST(Fetch(host.node.IngressPort(), head).status == 200);
}

// Guards against a request that came in time and is passed on late, since it waited.
BOOST_AUTO_TEST_CASE(request_that_waited_into_the_stop_is_refused_before_it_is_passed_on)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control, .upstream = &upstream, .slots = 1, .routesByFleet = true });
  node.SetMembers({ &node });
  std::promise<void> released;
  upstream.onRun = [release = released.get_future().share()](const RecordedRequest& seen) {
    if (seen.head.target.ends_with("hold")) {
      release.wait();
    }
  };
  const auto fetch = [&node](const acp::HttpRequestHead& head) {
    return std::async(std::launch::async,
                      [&node, head] { return Fetch(node.IngressPort(), head); });
  };
  auto holder = fetch(FleetRead("hold"));
  while (upstream.Recorded().empty()) {
    std::this_thread::yield();
  }
  auto waiting = fetch(FleetOrder("late"));
  // Enough for the request to get to its wait; a slower one is refused before it.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  node.BeginStop(kShortStop);
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  CheckStopping(waiting.get());
  BOOST_TEST(upstream.CountRuns("late") == 0);
}

BOOST_AUTO_TEST_CASE(peers_request_that_cannot_end_before_the_stop_goes_to_another_node)
{
  Peers peers;
  peers.leaving.BeginStop(kShortStop);
  peers.entry.SetMembers({ &peers.leaving, &peers.other });
  for (int i = 0; i < 8; ++i) {
    const std::string name = std::to_string(i);
    BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetOrder(name)).status == 200);
    BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickRead(name)).status == 200);
  }
  BOOST_TEST(peers.first.Recorded().empty());
}

BOOST_AUTO_TEST_CASE(peers_request_that_can_end_before_the_stop_is_served)
{
  Peers peers;
  peers.entry.SetMembers({ &peers.leaving });
  peers.leaving.BeginStop(kLongStop);
  BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickOrder("in-time")).status == 200);
  BOOST_TEST(ToldMillis(peers.first) < kLongStopMillis);
}

BOOST_AUTO_TEST_CASE(nested_call_of_a_request_in_progress_is_served_until_the_request_has_ended)
{
  Host host;
  std::promise<void> released;
  host.HoldWithNestedCall(released.get_future().share());
  auto holder = std::async(std::launch::async,
                           [&host] { return Fetch(host.node.IngressPort(), FleetOrder("hold")); });
  host.AwaitUpstream("hold");
  host.node.BeginStop(kLongStop);
  std::thread stopper([&host] { host.node.Stop(); });
  AwaitClosing(host.node);
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  BOOST_TEST(host.nestedStatus == 200);
  stopper.join();
}

// Guards against a stop that waits for the callers' listener before it refuses peers' requests.
BOOST_AUTO_TEST_CASE(all_listeners_stop_taking_requests_at_the_same_time)
{
  Peers peers;
  peers.leaving.SetMembers({ &peers.leaving });
  std::promise<void> released;
  peers.first.onRun = [release = released.get_future().share()](const RecordedRequest& seen) {
    if (seen.head.target.ends_with("hold")) {
      release.wait();
    }
  };
  auto holder = std::async(std::launch::async, [&peers] {
    return Fetch(peers.leaving.IngressPort(), FleetQuickOrder("hold"));
  });
  while (peers.first.CountRuns("hold") == 0) {
    std::this_thread::yield();
  }
  peers.leaving.BeginStop(kLongStop);
  std::thread stopper([&peers] { peers.leaving.Stop(); });
  AwaitClosing(peers.leaving);
  peers.entry.SetMembers({ &peers.leaving });
  const FetchResult late = Fetch(peers.entry.IngressPort(), FleetQuickOrder("late"));
  BOOST_TEST(late.outcome == "not-run");
  BOOST_TEST(late.reason == "draining");
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  BOOST_TEST(peers.first.CountRuns("late") == 0);
  stopper.join();
}

BOOST_AUTO_TEST_CASE(request_that_crosses_the_stop_on_a_kept_connection_is_answered)
{
  Host host;
  Poco::Net::StreamSocket kept(Poco::Net::SocketAddress("127.0.0.1", host.node.IngressPort()));
  kept.setReceiveTimeout(Poco::Timespan(10, 0));
  const auto send = [&kept](const acp::HttpRequestHead& head) {
    const std::string text = acp::detail::FormatRequestHead(head, "h", 0);
    kept.sendBytes(text.data(), static_cast<int>(text.size()));
  };
  const auto receive = [&kept](const std::string& end) {
    std::string text;
    std::vector<char> buffer(4096);
    while (!text.ends_with(end)) {
      const int count = kept.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  };
  send(FleetQuickOrder("first"));
  BOOST_TEST(receive("/first ").starts_with("HTTP/1.1 200 "));
  host.node.BeginStop(kLongStop);
  send(FleetOrder("late"));
  host.node.Stop();
  const std::string answer = receive("\x01never");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(answer.find("Acp-Outcome: not-run\r\n") != std::string::npos);
  BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(host.upstream.CountRuns("late") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
