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

// Requests of the fixture may take 100 s; those with a target latency are expected to take 1 s, or
// 2 s when they are not idempotent.
constexpr acp::Duration kShortStop = std::chrono::milliseconds(500);
constexpr acp::Duration kLongStop = std::chrono::seconds(60);
constexpr int kLongStopMillis = 60'000;

/// A node and its upstream, which is the only member.
struct NodeWithUpstream
{
  NodeWithUpstream()
    : node({ .control = &control, .upstream = &upstream, .routesByFleet = true })
  {
    node.SetMembers({ &node });
  }

  /// Makes the upstream block requests to targets that end in "hold" until @p released, and then
  /// make a nested call for each.
  void BlockThenCallNested(const std::shared_future<void>& released)
  {
    upstream.onRun = [this, released](const RecordedRequest& seen) {
      if (seen.head.target.ends_with("hold")) {
        released.wait();
        nestedStatus = Fetch(node.IngressPort(), FleetNestedRead("call")).status;
      }
    };
  }

  void AwaitRun(const std::string& name) const
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

/// Two nodes with an upstream each, and one without an upstream that sends requests to them.
struct Peers
{
  Peers()
    : stopping(
        { .id = "n2", .control = &control, .upstream = &stoppingUpstream, .routesByFleet = true })
    , other({ .id = "n3", .control = &control, .upstream = &otherUpstream, .routesByFleet = true })
    , entry({ .control = &control, .routesByFleet = true })
  {
  }

  FakeControl control;
  FakeUpstream stoppingUpstream;
  FakeUpstream otherUpstream;
  TestNode stopping;
  TestNode other;
  TestNode entry;
};

void CheckRefusedAsStopping(const FetchResult& answer)
{
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(answer.reason == "stopping");
}

int ReceivedDeadlineMillis(const FakeUpstream& upstream)
{
  return std::stoi(upstream.Recorded().back().head.headers.Find("Acp-Deadline-Ms").value_or("0"));
}

/// Waits until the node admits no more requests of callers.
void AwaitClosed(const TestNode& node)
{
  while (Fetch(node.IngressPort(), FleetQuickRead("probe")).status == 200) {
    std::this_thread::yield();
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(graceful_stop)

BOOST_AUTO_TEST_CASE(request_that_cannot_finish_before_the_stop_is_refused_without_being_sent)
{
  NodeWithUpstream fixture;
  fixture.node.BeginStop(kShortStop);
  CheckRefusedAsStopping(Fetch(fixture.node.IngressPort(), FleetOrder("late")));
  CheckRefusedAsStopping(Fetch(fixture.node.IngressPort(), FleetRead("late")));
  CheckRefusedAsStopping(Fetch(fixture.node.IngressPort(), FleetQuickOrder("late")));
  CheckRefusedAsStopping(Fetch(fixture.node.IngressPort(), FleetQuickRead("late")));
  BOOST_TEST(fixture.upstream.Recorded().empty());
}

BOOST_AUTO_TEST_CASE(request_for_a_peer_is_refused_when_its_response_would_come_after_the_stop)
{
  Peers peers;
  peers.entry.SetMembers({ &peers.other });
  peers.entry.BeginStop(kShortStop);
  CheckRefusedAsStopping(Fetch(peers.entry.IngressPort(), FleetOrder("late")));
  CheckRefusedAsStopping(Fetch(peers.entry.IngressPort(), FleetQuickRead("late")));
  BOOST_TEST(peers.otherUpstream.Recorded().empty());
}

// Also guards against a response by the node while the upstream is still running the request.
BOOST_AUTO_TEST_CASE(request_that_can_finish_before_the_stop_is_served_with_a_bounded_deadline)
{
  NodeWithUpstream fixture;
  fixture.node.BeginStop(kLongStop);
  for (const auto& head : { FleetQuickOrder("in-time"), FleetQuickRead("in-time") }) {
    const FetchResult answer = Fetch(fixture.node.IngressPort(), head);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(ReceivedDeadlineMillis(fixture.upstream) < kLongStopMillis);
    BOOST_TEST(ReceivedDeadlineMillis(fixture.upstream) > 0);
  }
  Peers peers;
  peers.entry.SetMembers({ &peers.other });
  peers.entry.BeginStop(kLongStop);
  BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickOrder("far")).status == 200);
  BOOST_TEST(ReceivedDeadlineMillis(peers.otherUpstream) < kLongStopMillis);
}

BOOST_AUTO_TEST_CASE(request_with_a_short_deadline_is_served_regardless_of_its_class)
{
  NodeWithUpstream fixture;
  fixture.node.BeginStop(kLongStop);
  auto head = FleetOrder("brief");
  head.headers.Set("Acp-Deadline-Ms", "20000");
  BOOST_TEST(Fetch(fixture.node.IngressPort(), head).status == 200);
}

// Guards against a request that arrives in time, waits for a slot, and is sent too late.
BOOST_AUTO_TEST_CASE(request_queued_before_the_stop_is_refused_without_being_sent)
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
  // Enough for the request to reach the queue; a slower one is refused before.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  node.BeginStop(kShortStop);
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  CheckRefusedAsStopping(waiting.get());
  BOOST_TEST(upstream.CountRuns("late") == 0);
}

BOOST_AUTO_TEST_CASE(peer_request_that_cannot_finish_before_the_stop_goes_to_another_node)
{
  Peers peers;
  peers.stopping.BeginStop(kShortStop);
  peers.entry.SetMembers({ &peers.stopping, &peers.other });
  for (int i = 0; i < 8; ++i) {
    const std::string name = std::to_string(i);
    BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetOrder(name)).status == 200);
    BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickRead(name)).status == 200);
  }
  BOOST_TEST(peers.stoppingUpstream.Recorded().empty());
}

BOOST_AUTO_TEST_CASE(peer_request_that_can_finish_before_the_stop_is_served)
{
  Peers peers;
  peers.entry.SetMembers({ &peers.stopping });
  peers.stopping.BeginStop(kLongStop);
  BOOST_TEST(Fetch(peers.entry.IngressPort(), FleetQuickOrder("in-time")).status == 200);
  BOOST_TEST(ReceivedDeadlineMillis(peers.stoppingUpstream) < kLongStopMillis);
}

BOOST_AUTO_TEST_CASE(nested_call_is_served_while_its_parent_is_in_progress)
{
  NodeWithUpstream fixture;
  std::promise<void> released;
  fixture.BlockThenCallNested(released.get_future().share());
  auto holder = std::async(std::launch::async, [&fixture] {
    return Fetch(fixture.node.IngressPort(), FleetOrder("hold"));
  });
  fixture.AwaitRun("hold");
  fixture.node.BeginStop(kLongStop);
  std::thread stopper([&fixture] { fixture.node.Stop(); });
  AwaitClosed(fixture.node);
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  BOOST_TEST(fixture.nestedStatus == 200);
  stopper.join();
}

// Guards against a stop that waits for the ingress listener before it refuses requests of peers.
BOOST_AUTO_TEST_CASE(all_listeners_stop_accepting_requests_together)
{
  Peers peers;
  peers.stopping.SetMembers({ &peers.stopping });
  std::promise<void> released;
  peers.stoppingUpstream.onRun = [release =
                                    released.get_future().share()](const RecordedRequest& seen) {
    if (seen.head.target.ends_with("hold")) {
      release.wait();
    }
  };
  auto holder = std::async(std::launch::async, [&peers] {
    return Fetch(peers.stopping.IngressPort(), FleetQuickOrder("hold"));
  });
  while (peers.stoppingUpstream.CountRuns("hold") == 0) {
    std::this_thread::yield();
  }
  peers.stopping.BeginStop(kLongStop);
  std::thread stopper([&peers] { peers.stopping.Stop(); });
  AwaitClosed(peers.stopping);
  peers.entry.SetMembers({ &peers.stopping });
  const FetchResult late = Fetch(peers.entry.IngressPort(), FleetQuickOrder("late"));
  BOOST_TEST(late.outcome == "not-run");
  BOOST_TEST(late.reason == "draining");
  released.set_value();
  BOOST_TEST(holder.get().status == 200);
  BOOST_TEST(peers.stoppingUpstream.CountRuns("late") == 0);
  stopper.join();
}

BOOST_AUTO_TEST_CASE(request_sent_on_a_keep_alive_connection_during_the_stop_gets_a_response)
{
  NodeWithUpstream fixture;
  Poco::Net::StreamSocket kept(Poco::Net::SocketAddress("127.0.0.1", fixture.node.IngressPort()));
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
  fixture.node.BeginStop(kLongStop);
  send(FleetOrder("late"));
  fixture.node.Stop();
  const std::string answer = receive("\x01never");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(answer.find("Acp-Outcome: not-run\r\n") != std::string::npos);
  BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(fixture.upstream.CountRuns("late") == 0);
}

// Guards against a node that is stopping and acknowledges an upstream's drain without closing its
// gate, because it announces the upstream as draining already.
BOOST_AUTO_TEST_CASE(drain_of_the_upstream_is_applied_while_the_node_stops)
{
  acp::LocalUpstream upstream;
  acp::Announcement announcement{ .service = "front",
                                  .address = { .ip = "127.0.0.1", .port = 9000 },
                                  .slots = 5,
                                  .maxConnections = 5 };
  BOOST_TEST(upstream.Announce(announcement));
  BOOST_TEST(!upstream.Announce(announcement));
  upstream.BeginStop();
  BOOST_TEST(upstream.Current()->draining);
  BOOST_TEST(!upstream.Announce(announcement));
  announcement.draining = true;
  BOOST_TEST(upstream.Announce(announcement));
  BOOST_TEST(upstream.Current()->draining);
}

BOOST_AUTO_TEST_SUITE_END()
