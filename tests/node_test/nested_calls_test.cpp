#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include "acaciapulley/core/outcome.hpp"
#include "acaciapulley/node/detail/hop_registry.hpp"
#include "pipeline_documents.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr auto kNow = acp::ToUnixMillis(1'000);

acp::RequestContext HopContext(const std::string& hopId,
                               const std::string& account,
                               std::int64_t ms)
{
  return { .rootId = std::string(32, '0'),
           .hopId = hopId,
           .account = account,
           .priority = 3,
           .deadline = acp::ToUnixMillis(ms),
           .issuer = "n0",
           .issuerEpoch = 1 };
}

/// A node for the requests of callers, one with an upstream of `front`, which makes a nested call
/// for each request, and one with an upstream of `back`, which serves the nested calls.
struct Chain
{
  Chain()
    : backNode({ .id = "n3",
                 .service = "back",
                 .control = &control,
                 .upstream = &backUpstream,
                 .slots = 1,
                 .routesByFleet = true })
    , frontNode(
        { .id = "n2", .control = &control, .upstream = &frontUpstream, .routesByFleet = true })
    , entryNode({ .control = &control, .routesByFleet = true })
  {
    frontNode.SetMembers({ &frontNode, &backNode });
    backNode.SetMembers({ &frontNode, &backNode });
    entryNode.SetMembers({ &frontNode, &backNode });
    frontUpstream.onRun = [this](const RecordedRequest& recorded) {
      Fetch(frontNode.IngressPort(), FleetNestedStockRead("nested", recorded));
    };
  }

  FakeControl control;
  FakeUpstream backUpstream;
  FakeUpstream frontUpstream;
  TestNode backNode;
  TestNode frontNode;
  TestNode entryNode;
};

acp::HttpRequestHead RequestWithDeadline(const std::string& millis)
{
  auto head = FleetRead("root");
  head.headers.Set("Acp-Deadline-Ms", millis);
  return head;
}

/// Sends root requests from several callers until one is refused as overloaded.
/// @return whether one was refused within @p most requests
bool SendUntilOverloaded(Chain& chain, int most)
{
  constexpr int kCallers = 12;
  std::atomic<int> sent = 0;
  std::atomic<bool> isRefused = false;
  std::vector<std::jthread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      while (!isRefused && sent++ < most) {
        const auto answer = Fetch(chain.entryNode.IngressPort(), RequestWithDeadline("1000"));
        isRefused = isRefused || answer.reason == acp::NameOf(acp::Reason::Overloaded);
      }
    });
  }
  callers.clear();
  return isRefused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(nested_calls)

BOOST_AUTO_TEST_CASE(entry_node_refuses_requests_when_a_nested_callee_is_overloaded)
{
  Chain chain;
  chain.backUpstream.onRun = [](const RecordedRequest& /*recorded*/) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  };
  BOOST_TEST(SendUntilOverloaded(chain, 400));
}

BOOST_AUTO_TEST_CASE(nested_call_does_not_carry_the_account_of_its_parent)
{
  Chain chain;
  BOOST_TEST(Fetch(chain.entryNode.IngressPort(), RequestWithDeadline("5000")).status == 200);
  BOOST_REQUIRE(chain.backUpstream.Recorded().size() == 1U);
  BOOST_TEST(!chain.backUpstream.Recorded()[0].head.headers.Find("Acp-Account"));
  BOOST_REQUIRE(chain.frontUpstream.Recorded().size() == 1U);
  BOOST_TEST(chain.frontUpstream.Recorded()[0].head.headers.Find("Acp-Account").value_or("") ==
             "unlimited");
}

// Guards against a request that runs for another client account while a document without accounts
// comes into force.
BOOST_DATA_TEST_CASE(request_never_bears_the_account_of_another_request,
                     boost::unit_test::data::make({ false, true }),
                     isSentToPeer)
{
  FakeControl control;
  FakeUpstream ownUpstream;
  FakeUpstream peerUpstream;
  TestNode own({ .control = &control, .upstream = &ownUpstream, .routesByFleet = true });
  TestNode peer(
    { .id = "n2", .control = &control, .upstream = &peerUpstream, .routesByFleet = true });
  TestNode::ConnectAll({ &own, &peer });
  FetchResult second;
  ownUpstream.onRun = [&](const RecordedRequest& recorded) {
    if (recorded.head.target.ends_with("root")) {
      for (auto* node : { &own, &peer }) {
        node->ApplyFleet(2, FleetDocumentText(false));
      }
      own.Announce(isSentToPeer);
      auto head = FleetRead("second", kLimitedKey);
      head.headers.Set("Acp-Deadline-Ms", "3000");
      second = Fetch(own.IngressPort(), head);
    }
  };
  peer.Announce(!isSentToPeer);
  BOOST_TEST(Fetch(own.IngressPort(), RequestWithDeadline("9000")).status == 200);
  BOOST_TEST(second.status == 200);
  const auto runs = (isSentToPeer ? peerUpstream : ownUpstream).Recorded();
  BOOST_REQUIRE(!runs.empty());
  BOOST_TEST(runs.back().head.target == "/items/second");
  BOOST_TEST(!runs.back().head.headers.Find("Acp-Account"));
}

BOOST_AUTO_TEST_CASE(nested_call_without_context_is_matched_to_the_hop_with_its_deadline)
{
  acp::ManualClock clock(kNow);
  acp::detail::HopRegistry hops({ .nodeId = "n1", .epoch = 1 }, clock);
  (void)hops.Open(HopContext("000000000000000a", "early", 2'000), "front/read");
  (void)hops.Open(HopContext("000000000000000b", "late", 2'500), "front/order");
  const auto parent = hops.EstimateParent(acp::ToUnixMillis(2'506));
  BOOST_REQUIRE(parent.has_value());
  BOOST_TEST(parent->requestClass == "front/order");
  BOOST_TEST(parent->context.account == "late");
  hops.Close("000000000000000b");
  BOOST_TEST(!hops.EstimateParent(acp::ToUnixMillis(2'506)));
}

BOOST_AUTO_TEST_CASE(nested_call_with_a_shorter_deadline_is_matched_to_a_random_longer_hop)
{
  acp::ManualClock clock(kNow);
  double drawn = 0.0;
  acp::detail::HopRegistry hops({ .nodeId = "n1", .epoch = 1 }, clock, [&drawn] { return drawn; });
  (void)hops.Open(HopContext("000000000000000a", "ended", 1'200), "front/read");
  (void)hops.Open(HopContext("000000000000000b", "first", 2'000), "front/read");
  (void)hops.Open(HopContext("000000000000000c", "last", 2'500), "front/read");
  BOOST_TEST(hops.EstimateParent(acp::ToUnixMillis(1'700))->context.account == "first");
  drawn = 0.9;
  BOOST_TEST(hops.EstimateParent(acp::ToUnixMillis(1'700))->context.account == "last");
  BOOST_TEST(!hops.EstimateParent(acp::ToUnixMillis(3'000)));
}

BOOST_AUTO_TEST_CASE(one_long_hop_is_not_matched_to_most_nested_calls)
{
  acp::ManualClock clock(kNow);
  acp::detail::HopRegistry hops({ .nodeId = "n1", .epoch = 1 }, clock);
  (void)hops.Open(HopContext("00000000000000ff", "long", 600'000), "front/export");
  for (int i = 0; i < 99; ++i) {
    (void)hops.Open(
      HopContext("00000000000000" + std::to_string(100 + i).substr(1), "short", 2'000 + i),
      "front/read");
  }
  int longOnes = 0;
  for (int i = 0; i < 1'000; ++i) {
    longOnes += hops.EstimateParent(acp::ToUnixMillis(1'700))->context.account == "long" ? 1 : 0;
  }
  BOOST_TEST(longOnes < 100);
}

BOOST_AUTO_TEST_SUITE_END()
