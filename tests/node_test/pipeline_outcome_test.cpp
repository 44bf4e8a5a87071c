#include <boost/test/unit_test.hpp>

#include <Poco/Net/StreamSocket.h>
#include <future>
#include <random>
#include <thread>

#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr unsigned int kSeeds = 4;

/// A way to have a request refused. @p name is in its URL or idempotency key and in its body.
struct RefusalCase
{
  std::string reason;
  std::function<Answer(const std::string& name)> provoke;
};

acp::HttpRequestHead With(acp::HttpRequestHead head, const std::string& name, std::string value)
{
  head.headers.Set(name, std::move(value));
  return head;
}

/// Announces 100 bytes of body and sends fewer.
Answer FetchTruncated(std::uint16_t port, const std::string& name)
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
    : one({ .control = &control, .upstream = &first, .guards = guards })
    , two({ .id = "n2", .control = &control, .upstream = &second, .guards = guards })
    , stale({ .id = "n3", .service = "back", .control = &control, .isStale = true })
  {
    TestNode::Join({ &one, &two });
    TestNode::Join({ &stale });
  }

  [[nodiscard]] int Runs(const std::string& name) const
  {
    return first.Runs(name) + second.Runs(name);
  }

  FakeControl control;
  FakeUpstream first;
  FakeUpstream second;
  TestNode one;
  TestNode two;
  TestNode stale;
};

std::vector<RefusalCase> RefusalCases(Fleet& fleet)
{
  const auto port = fleet.one.Ingress();
  const auto order = [port](const std::string& name) { return Fetch(port, Order(name), name); };
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
    return
      [=](const std::string& name) { return Fetch(port, With(Order(name), field, value), name); };
  };
  return {
    { "stale_state",
      [&](const std::string& name) { return Fetch(fleet.stale.Ingress(), Order(name), name); } },
    { "unknown_service",
      [port](const std::string& name) { return Fetch(port, Read("/none/" + name)); } },
    { "unknown_route",
      [port](const std::string& name) { return Fetch(port, Read("/front/none/" + name)); } },
    { "no_upstream",
      [port](const std::string& name) { return Fetch(port, Read("/back/items/" + name)); } },
    { "missing_key", with("Acp-Key", "") },
    { "invalid_idempotency_key", with("Idempotency-Key", "x") },
    { "invalid_idempotency_key", with("Idempotency-Key", "1800000000-in-the-future") },
    { "idempotency_key_expired", with("Idempotency-Key", "1600000000-two-years-old") },
    { "bad_request", with("Acp-Deadline-Ms", "soon") },
    { "bad_request", [port](const std::string& name) { return FetchTruncated(port, name); } },
    { "too_large",
      [port](const std::string& name) {
        return Fetch(port, Order(name), name + std::string(1001, 'x'));
      } },
    { "too_large",
      [port](const std::string& name) {
        return Fetch(port, Order(name), name + std::string(1001, 'x'), -1);
      } },
    { "rate_exceeded",
      [port](const std::string& name) {
        Fetch(port, Read("/front/items/first-of-poor", Keys().poor.text));
        return Fetch(port, Order(name, Keys().poor.text), name);
      } },
    { "deadline_exceeded",
      [&fleet, port](const std::string& name) {
        fleet.control.fault = [](const std::string&) {
          std::this_thread::sleep_for(std::chrono::milliseconds(120));
          return ControlFault::None;
        };
        auto answer = Fetch(port, With(Order(name), "Acp-Deadline-Ms", "100"), name);
        fleet.control.fault = nullptr;
        return answer;
      } },
    { "claims_unavailable", withFault("begin", ControlFault::Unreachable) },
    { "claims_unavailable", withFault("begin", ControlFault::AnswerLost) },
    { "claims_unavailable", withFault("begin", ControlFault::NotCommitted) },
    { "claims_unavailable", withFault("begin", ControlFault::Delayed) },
    { "draining",
      [&fleet, order](const std::string& name) {
        fleet.one.Announce(true);
        fleet.two.Announce(true);
        auto answer = order(name);
        fleet.one.Announce(false);
        fleet.two.Announce(false);
        return answer;
      } },
  };
}

UpstreamAct RandomAct(std::mt19937& random)
{
  constexpr std::array kActs = { UpstreamAct::CutBeforeRead,
                                 UpstreamAct::CutAfterRead,
                                 UpstreamAct::Stall,
                                 UpstreamAct::SayNotRun,
                                 UpstreamAct::CutAnswer };
  const auto drawn = random() % 10;
  return drawn < kActs.size() ? kActs.at(drawn) : UpstreamAct::Answer;
}

ControlFault RandomFault(std::mt19937& random)
{
  constexpr std::array kFaults = { ControlFault::Unreachable,
                                   ControlFault::AnswerLost,
                                   ControlFault::Delayed,
                                   ControlFault::NotCommitted };
  const auto drawn = random() % 12;
  return drawn < kFaults.size() ? kFaults.at(drawn) : ControlFault::None;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipeline_outcome)

// P8. Guards against "not run" for a request that an upstream has seen, and against a refusal that
// keeps the idempotency key from being used by a resend.
BOOST_AUTO_TEST_CASE(a_refused_request_was_not_seen_and_may_be_sent_again)
{
  for (unsigned int seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Fleet fleet;
      auto cases = RefusalCases(fleet);
      // The last one, draining, is remembered for some seconds.
      std::shuffle(cases.begin(), cases.end() - 1, std::mt19937(seed));
      int number = 0;
      for (const auto& refused : cases) {
        const std::string name = "n" + std::to_string(number++) + "-" + refused.reason;
        BOOST_TEST_CONTEXT(name)
        {
          const auto answer = refused.provoke(name);
          BOOST_TEST(answer.outcome == "not-run");
          BOOST_TEST(answer.reason == refused.reason);
          BOOST_TEST(fleet.Runs(name) == 0);
          if (refused.reason != "draining") {
            const auto resent = Fetch(fleet.two.Ingress(), Order(name), name);
            BOOST_TEST(resent.outcome == "ran");
            BOOST_TEST(fleet.Runs(name) == 1);
          }
        }
      }
    }
  }
}

// P8. Guards against a lost rate authority that lets requests run.
BOOST_AUTO_TEST_CASE(without_tokens_nothing_runs)
{
  Fleet fleet;
  fleet.control.grantsTokens = false;
  const auto answer = Fetch(fleet.one.Ingress(), Order("no-token"));
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(answer.reason == "rate_unavailable");
  BOOST_TEST(fleet.Runs("no-token") == 0);
}

// P8. Guards against a retry's refusal that hides that the first attempt reached an upstream.
BOOST_AUTO_TEST_CASE(a_refused_retry_does_not_undo_an_attempt_that_may_have_run)
{
  Fleet fleet;
  fleet.first.act = [] { return UpstreamAct::CutAfterRead; };
  fleet.second.act = [] { return UpstreamAct::SayNotRun; };
  const auto answer = Fetch(fleet.one.Ingress(), Read("/front/items/1"));
  BOOST_TEST(fleet.first.Runs("/items/1") == 1);
  BOOST_TEST(fleet.second.Seen().size() == 1U);
  BOOST_TEST(answer.outcome == "unknown");
}

// P8. Guards against an upstream that passes a nested refusal on after it ran itself.
BOOST_AUTO_TEST_CASE(only_a_503_of_the_upstream_says_not_run)
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
  Fetch(node.Egress(), { .method = "PUT", .target = "/.acp/upstream" }, body);
  TestNode::Join({ &node });
  const auto answer = Fetch(node.Ingress(), Order("relayed"));
  BOOST_TEST(answer.outcome == "ran");
  BOOST_TEST(answer.status == 409);
}

// P9, P8. Guards against a second run: random faults of control and upstreams, with concurrent
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
      const auto act = [&] {
        const std::lock_guard lock(mutex);
        return RandomAct(upstreamRandom);
      };
      fleet.first.act = act;
      fleet.second.act = act;
      fleet.control.fault = [&](const std::string&) { return RandomFault(controlRandom); };
      int ran = 0;
      for (int i = 0; i < 15; ++i) {
        const std::string name = "order" + std::to_string(i) + "-";
        std::array<Answer, 9> answers;
        const auto send = [&](std::size_t place) {
          const auto head = With(Order(name), "Acp-Deadline-Ms", "300");
          const auto& node = place % 2 == 0 ? fleet.one : fleet.two;
          answers.at(place) = Fetch(node.Ingress(), head, name);
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
        BOOST_TEST(fleet.Runs(name) <= 1, name << " ran " << fleet.Runs(name) << " times");
        ran += fleet.Runs(name);
        for (const auto& answer : answers) {
          const bool isAnswered = answer.outcome == "ran" && answer.isWhole;
          BOOST_TEST((!isAnswered || answer.body == "answer to /orders " + name));
          BOOST_TEST((answer.outcome != "ran" || fleet.Runs(name) == 1));
        }
      }
      BOOST_TEST(ran >= 5);
    }
  }
}

// Shows that the tests above would notice a second run and a false "not run".
BOOST_AUTO_TEST_CASE(without_their_guards_requests_run_twice)
{
  Fleet noClaims({ .claimBeforeDispatch = false });
  Fetch(noClaims.one.Ingress(), Order("twice"), "twice");
  Fetch(noClaims.two.Ingress(), Order("twice"), "twice");
  BOOST_TEST(noClaims.Runs("twice") == 2);

  Fleet noUnknown({ .unknownAfterSend = false });
  const auto cut = [] { return UpstreamAct::CutAfterRead; };
  noUnknown.first.act = cut;
  noUnknown.second.act = cut;
  const auto answer = Fetch(noUnknown.one.Ingress(), Order("twice"), "twice");
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(noUnknown.Runs("twice") >= 2);
}

// P7. Guards against a truncated answer that looks whole, and against an answer that reaches
// another request after stalls and cuts on shared connections.
BOOST_AUTO_TEST_CASE(callers_get_their_own_whole_answer_or_a_visible_failure)
{
  Fleet fleet;
  TestNode far({ .id = "n4", .service = "back", .control = &fleet.control });
  TestNode::Join({ &fleet.one, &fleet.two, &far });
  fleet.first.act = [] { return UpstreamAct::CutAnswer; };
  fleet.second.act = fleet.first.act;
  for (const auto port : { fleet.one.Ingress(), far.Ingress() }) {
    BOOST_TEST(!Fetch(port, Read("/front/items/1")).isWhole);
    const auto again = Fetch(port, Order("cut"));
    BOOST_TEST((again.outcome == "unknown" || !again.isWhole));
  }
  BOOST_TEST(fleet.Runs("order-cut") == 1);
  std::mt19937 random(7);
  std::mutex mutex;
  fleet.first.act = [&] {
    const std::lock_guard lock(mutex);
    return RandomAct(random);
  };
  fleet.second.act = fleet.first.act;
  std::atomic<int> whole = 0;
  std::atomic<int> wrong = 0;
  {
    std::vector<std::jthread> callers;
    callers.reserve(8);
    for (int caller = 0; caller < 8; ++caller) {
      callers.emplace_back([&, caller] {
        for (int i = 0; i < 25; ++i) {
          const std::string path = "/items/" + std::to_string(caller) + "-" + std::to_string(i);
          const auto port = i % 2 == 0 ? fleet.one.Ingress() : far.Ingress();
          const auto answer = Fetch(port, With(Read("/front" + path), "Acp-Deadline-Ms", "200"));
          if (answer.outcome == "ran" && answer.isWhole) {
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

// Guards against refusals by a node that has just started and gets its state a moment later.
BOOST_AUTO_TEST_CASE(a_request_that_comes_before_the_nodes_first_state_waits_for_it)
{
  FakeControl control;
  FakeUpstream upstream;
  TestNode node({ .control = &control,
                  .upstream = &upstream,
                  .startsWithoutState = true,
                  .routesByFleet = true });
  node.Learn({ &node });
  auto early =
    std::async(std::launch::async, [&node] { return Fetch(node.Ingress(), FleetRead("early")); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  node.TakeState();
  BOOST_TEST(early.get().status == 200);
}

// Guards against a caller that is kept waiting while control cannot be reached.
BOOST_AUTO_TEST_CASE(a_node_without_state_refuses_and_tells_when_to_come_back)
{
  FakeControl control;
  TestNode node({ .control = &control, .startsWithoutState = true, .routesByFleet = true });
  const Answer answer = Fetch(node.Ingress(), FleetRead("early"));
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.reason == "stale_state");
}

BOOST_AUTO_TEST_SUITE_END()
