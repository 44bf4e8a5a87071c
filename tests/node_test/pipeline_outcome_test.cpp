#include <boost/test/unit_test.hpp>

#include <Poco/Net/StreamSocket.h>
#include <future>
#include <random>
#include <thread>

#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr unsigned int kSeeds = 4;

/// Sends a request that is refused for `reason`. Its name is in its URL or idempotency key, and in
/// its body.
struct RefusalCase
{
  std::string reason;
  std::function<FetchResult(const std::string& name)> send;
};

acp::HttpRequestHead WithHeader(acp::HttpRequestHead head,
                                const std::string& name,
                                std::string value)
{
  head.headers.Set(name, std::move(value));
  return head;
}

/// Declares a body of 100 bytes and sends fewer.
FetchResult FetchTruncated(std::uint16_t port, const std::string& name)
{
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
  const std::string text =
    "POST /front/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nAcp-Key: " + Keys().a.text +
    "\r\nIdempotency-Key: 1700000000-order-" + name + "\r\n\r\n" + name;
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
  socket.shutdownSend();
  std::string received;
  std::array<char, 4096> buffer{};
  for (int count = 1; count > 0;) {
    count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
  }
  const bool saysNotRun = received.find("Acp-Outcome: not-run") != std::string::npos;
  const bool isBadRequest = received.find("Acp-Reason: bad_request") != std::string::npos;
  return { .outcome = saysNotRun ? "not-run" : received,
           .reason = isBadRequest ? "bad_request" : "" };
}

/// Two nodes of `front` with an upstream each, and one whose state is stale.
struct Fleet
{
  explicit Fleet(acp::PipelineGuards guards = {})
    : firstNode({ .control = &control, .upstream = &firstUpstream, .guards = guards })
    , secondNode({ .id = "n2", .control = &control, .upstream = &secondUpstream, .guards = guards })
    , staleNode({ .id = "n3", .service = "back", .control = &control, .isStale = true })
  {
    TestNode::ConnectAll({ &firstNode, &secondNode });
    TestNode::ConnectAll({ &staleNode });
  }

  [[nodiscard]] int CountRuns(const std::string& name) const
  {
    return firstUpstream.CountRuns(name) + secondUpstream.CountRuns(name);
  }

  FakeControl control;
  FakeUpstream firstUpstream;
  FakeUpstream secondUpstream;
  TestNode firstNode;
  TestNode secondNode;
  TestNode staleNode;
};

std::vector<RefusalCase> RefusalCases(Fleet& fleet)
{
  const auto port = fleet.firstNode.IngressPort();
  const auto order = [port](const std::string& name) {
    return Fetch(port, OrderRequest(name), name);
  };
  const auto withFault = [&fleet, order](const std::string& call, ControlFault fault) {
    return [&fleet, order, call, fault](const std::string& name) {
      fleet.control.fault = [=](const std::string& made) {
        return made == call ? fault : ControlFault::None;
      };
      auto answer = order(name);
      fleet.control.fault = nullptr;
      fleet.control.DeliverDelayed();
      return answer;
    };
  };
  const auto with = [port](const std::string& field, const std::string& value) {
    return [=](const std::string& name) {
      return Fetch(port, WithHeader(OrderRequest(name), field, value), name);
    };
  };
  return {
    { "stale_state",
      [&](const std::string& name) {
        return Fetch(fleet.staleNode.IngressPort(), OrderRequest(name), name);
      } },
    { "unknown_service",
      [port](const std::string& name) { return Fetch(port, ReadRequest("/none/" + name)); } },
    { "unknown_route",
      [port](const std::string& name) { return Fetch(port, ReadRequest("/front/none/" + name)); } },
    { "no_upstream",
      [port](const std::string& name) { return Fetch(port, ReadRequest("/back/items/" + name)); } },
    { "missing_key", with("Acp-Key", "") },
    { "invalid_idempotency_key", with("Idempotency-Key", "x") },
    { "invalid_idempotency_key", with("Idempotency-Key", "1800000000-in-the-future") },
    { "idempotency_key_expired", with("Idempotency-Key", "1600000000-two-years-old") },
    { "bad_request", with("Acp-Deadline-Ms", "soon") },
    { "bad_request", [port](const std::string& name) { return FetchTruncated(port, name); } },
    { "too_large",
      [port](const std::string& name) {
        return Fetch(port, OrderRequest(name), name + std::string(1001, 'x'));
      } },
    { "too_large",
      [port](const std::string& name) {
        return Fetch(port, OrderRequest(name), name + std::string(1001, 'x'), -1);
      } },
    { "rate_exceeded",
      [port](const std::string& name) {
        Fetch(port, ReadRequest("/front/items/first-of-poor", Keys().poor.text));
        return Fetch(port, OrderRequest(name, Keys().poor.text), name);
      } },
    { "deadline_exceeded",
      [&fleet, port](const std::string& name) {
        fleet.control.fault = [](const std::string&) {
          std::this_thread::sleep_for(std::chrono::milliseconds(120));
          return ControlFault::None;
        };
        auto answer = Fetch(port, WithHeader(OrderRequest(name), "Acp-Deadline-Ms", "100"), name);
        fleet.control.fault = nullptr;
        return answer;
      } },
    { "claims_unavailable", withFault("begin", ControlFault::Unreachable) },
    { "claims_unavailable", withFault("begin", ControlFault::ReplyLost) },
    { "claims_unavailable", withFault("begin", ControlFault::NotCommitted) },
    { "claims_unavailable", withFault("begin", ControlFault::Delayed) },
    { "draining",
      [&fleet, order](const std::string& name) {
        fleet.firstNode.Announce(true);
        fleet.secondNode.Announce(true);
        auto answer = order(name);
        fleet.firstNode.Announce(false);
        fleet.secondNode.Announce(false);
        return answer;
      } },
  };
}

UpstreamBehaviour RandomBehaviour(std::mt19937& random)
{
  constexpr std::array kBehaviours = { UpstreamBehaviour::CloseBeforeRun,
                                       UpstreamBehaviour::CloseAfterRun,
                                       UpstreamBehaviour::Stall,
                                       UpstreamBehaviour::RefuseAsNotRun,
                                       UpstreamBehaviour::TruncateResponse };
  const auto drawn = random() % 10;
  return drawn < kBehaviours.size() ? kBehaviours.at(drawn) : UpstreamBehaviour::Succeed;
}

ControlFault RandomFault(std::mt19937& random)
{
  constexpr std::array kFaults = { ControlFault::Unreachable,
                                   ControlFault::ReplyLost,
                                   ControlFault::Delayed,
                                   ControlFault::NotCommitted };
  const auto drawn = random() % 12;
  return drawn < kFaults.size() ? kFaults.at(drawn) : ControlFault::None;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipeline_outcome)

// P8. Guards against "not run" for a request that an upstream has received, and against a refusal
// after which a resend cannot use the idempotency key.
BOOST_AUTO_TEST_CASE(refused_request_never_reached_an_upstream_and_can_be_resent)
{
  for (unsigned int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Fleet fleet;
      auto cases = RefusalCases(fleet);
      // The last case, draining, stays last since nodes remember it for several seconds.
      std::shuffle(cases.begin(), cases.end() - 1, std::mt19937(seed));
      int number = 0;
      for (const auto& refused : cases) {
        const std::string name = "n" + std::to_string(number++) + "-" + refused.reason;
        BOOST_TEST_CONTEXT(name)
        {
          const auto answer = refused.send(name);
          BOOST_TEST(answer.outcome == "not-run");
          BOOST_TEST(answer.reason == refused.reason);
          BOOST_TEST(fleet.CountRuns(name) == 0);
          if (refused.reason != "draining") {
            const auto resent = Fetch(fleet.secondNode.IngressPort(), OrderRequest(name), name);
            BOOST_TEST(resent.outcome == "ran");
            BOOST_TEST(fleet.CountRuns(name) == 1);
          }
        }
      }
    }
  }
}

// P8. Guards against requests that run while the rate authority is unreachable.
BOOST_AUTO_TEST_CASE(requests_are_refused_when_rate_tokens_are_unavailable)
{
  Fleet fleet;
  fleet.control.grantsTokens = false;
  const auto answer = Fetch(fleet.firstNode.IngressPort(), OrderRequest("no-token"));
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(answer.reason == "rate_unavailable");
  BOOST_TEST(fleet.CountRuns("no-token") == 0);
}

// P8. Guards against the refusal of a retry hiding that the first attempt reached an upstream.
BOOST_AUTO_TEST_CASE(refused_retry_does_not_hide_that_the_first_attempt_may_have_run)
{
  Fleet fleet;
  fleet.firstUpstream.chooseBehaviour = [] { return UpstreamBehaviour::CloseAfterRun; };
  fleet.secondUpstream.chooseBehaviour = [] { return UpstreamBehaviour::RefuseAsNotRun; };
  const auto answer = Fetch(fleet.firstNode.IngressPort(), ReadRequest("/front/items/1"));
  BOOST_TEST(fleet.firstUpstream.CountRuns("/items/1") == 1);
  BOOST_TEST(fleet.secondUpstream.Recorded().size() == 1U);
  BOOST_TEST(answer.outcome == "unknown");
}

// P8. Guards against an upstream that relays the refusal of a nested call after it ran the request.
BOOST_AUTO_TEST_CASE(not_run_header_counts_only_with_status_503)
{
  FakeControl control;
  acp::HttpServer relaying({ .address = { "127.0.0.1", 0 }, .handler = [](acp::ServerExchange& e) {
                              acp::HttpResponseHead head{ .status = 409 };
                              head.headers.Set("Acp-Outcome", "not-run");
                              e.Respond(head, "nested refusal");
                            } });
  TestNode node({ .control = &control });
  const std::string body = R"({"service":"front","address":"127.0.0.1:)" +
                           std::to_string(relaying.Port()) + R"(","slots":9,"max_connections":9})";
  Fetch(node.EgressPort(), { .method = "PUT", .target = "/.acp/upstream" }, body);
  TestNode::ConnectAll({ &node });
  const auto answer = Fetch(node.IngressPort(), OrderRequest("relayed"));
  BOOST_TEST(answer.outcome == "ran");
  BOOST_TEST(answer.status == 409);
}

// P9, P8. Guards against a second run under random faults of control and upstreams, with concurrent
// duplicates and resends to both nodes.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_runs_at_most_once)
{
  for (unsigned int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Fleet fleet;
      std::mt19937 upstreamRandom(seed);
      std::mt19937 controlRandom(seed + 100);
      std::mutex mutex;
      const auto chooseBehaviour = [&] {
        const std::lock_guard lock(mutex);
        return RandomBehaviour(upstreamRandom);
      };
      fleet.firstUpstream.chooseBehaviour = chooseBehaviour;
      fleet.secondUpstream.chooseBehaviour = chooseBehaviour;
      fleet.control.fault = [&](const std::string&) { return RandomFault(controlRandom); };
      int ran = 0;
      for (int i = 0; i < 15; ++i) {
        const std::string name = "order" + std::to_string(i) + "-";
        std::array<FetchResult, 9> answers;
        const auto send = [&](std::size_t place) {
          const auto head = WithHeader(OrderRequest(name), "Acp-Deadline-Ms", "300");
          const auto& node = place % 2 == 0 ? fleet.firstNode : fleet.secondNode;
          answers.at(place) = Fetch(node.IngressPort(), head, name);
        };
        {
          std::vector<std::jthread> duplicates;
          for (std::size_t place = 0; place < 4; ++place) {
            duplicates.emplace_back(send, place);
          }
        }
        for (std::size_t place = 4; place < answers.size(); ++place) {
          fleet.control.DeliverDelayed();
          send(place);
        }
        BOOST_TEST(fleet.CountRuns(name) <= 1,
                   name << " ran " << fleet.CountRuns(name) << " times");
        ran += fleet.CountRuns(name);
        for (const auto& answer : answers) {
          const bool isAnswered = answer.outcome == "ran" && answer.isComplete;
          BOOST_TEST((!isAnswered || answer.body == "answer to /orders " + name));
          BOOST_TEST((answer.outcome != "ran" || fleet.CountRuns(name) == 1));
        }
      }
      BOOST_TEST(ran >= 5);
    }
  }
}

// Verifies that the tests above detect a second run and a false "not run".
BOOST_AUTO_TEST_CASE(requests_run_twice_when_guards_are_off)
{
  Fleet noClaims({ .claimBeforeDispatch = false });
  Fetch(noClaims.firstNode.IngressPort(), OrderRequest("twice"), "twice");
  Fetch(noClaims.secondNode.IngressPort(), OrderRequest("twice"), "twice");
  BOOST_TEST(noClaims.CountRuns("twice") == 2);

  Fleet noUnknown({ .unknownAfterSend = false });
  const auto cut = [] { return UpstreamBehaviour::CloseAfterRun; };
  noUnknown.firstUpstream.chooseBehaviour = cut;
  noUnknown.secondUpstream.chooseBehaviour = cut;
  const auto answer = Fetch(noUnknown.firstNode.IngressPort(), OrderRequest("twice"), "twice");
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(noUnknown.CountRuns("twice") >= 2);
}

// P7. Guards against a truncated response that looks complete, and against a response that is
// delivered to another request after stalls and truncations on shared connections.
BOOST_AUTO_TEST_CASE(callers_get_their_own_complete_response_or_an_error)
{
  Fleet fleet;
  TestNode far({ .id = "n4", .service = "back", .control = &fleet.control });
  TestNode::ConnectAll({ &fleet.firstNode, &fleet.secondNode, &far });
  fleet.firstUpstream.chooseBehaviour = [] { return UpstreamBehaviour::TruncateResponse; };
  fleet.secondUpstream.chooseBehaviour = fleet.firstUpstream.chooseBehaviour;
  for (const auto port : { fleet.firstNode.IngressPort(), far.IngressPort() }) {
    BOOST_TEST(!Fetch(port, ReadRequest("/front/items/1")).isComplete);
    const auto again = Fetch(port, OrderRequest("cut"));
    BOOST_TEST((again.outcome == "unknown" || !again.isComplete));
  }
  BOOST_TEST(fleet.CountRuns("order-cut") == 1);
  std::mt19937 random(7);
  std::mutex mutex;
  fleet.firstUpstream.chooseBehaviour = [&] {
    const std::lock_guard lock(mutex);
    return RandomBehaviour(random);
  };
  fleet.secondUpstream.chooseBehaviour = fleet.firstUpstream.chooseBehaviour;
  std::atomic<int> whole = 0;
  std::atomic<int> wrong = 0;
  {
    std::vector<std::jthread> callers;
    callers.reserve(8);
    for (int caller = 0; caller < 8; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; i < 25; ++i) {
          const std::string path = "/items/" + std::to_string(caller) + "-" + std::to_string(i);
          const auto port = i % 2 == 0 ? fleet.firstNode.IngressPort() : far.IngressPort();
          const auto answer =
            Fetch(port, WithHeader(ReadRequest("/front" + path), "Acp-Deadline-Ms", "200"));
          if (answer.outcome == "ran" && answer.isComplete) {
            ++whole;
            wrong += answer.body == "answer to " + path + " " ? 0 : 1;
          }
        }
      });
    }
  }
  BOOST_TEST(wrong == 0);
  BOOST_TEST(whole > 50);
}

// Guards against refusals by a node that has just started and receives its state a moment later.
BOOST_AUTO_TEST_CASE(request_waits_for_the_first_state_of_a_new_node)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control,
                  .upstream = &upstream,
                  .startsWithoutState = true,
                  .routesByFleet = true });
  node.SetMembers({ &node });
  auto early = std::async(std::launch::async,
                          [&node] { return Fetch(node.IngressPort(), FleetRead("early")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  node.ApplyState();
  BOOST_TEST(early.get().status == 200);
}

// Guards against a caller that waits for as long as control is unreachable.
BOOST_AUTO_TEST_CASE(node_without_state_refuses_with_stale_state)
{
  FakeControl control;
  TestNode node({ .control = &control, .startsWithoutState = true, .routesByFleet = true });
  const FetchResult answer = Fetch(node.IngressPort(), FleetRead("early"));
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.reason == "stale_state");
}

BOOST_AUTO_TEST_SUITE_END()
