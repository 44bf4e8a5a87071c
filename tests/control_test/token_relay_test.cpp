#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <string>             // string, to_string
#include <thread>             // jthread
#include <vector>             // vector

#include <boost/test/unit_test.hpp>

#include "acaciapulley/control/detail/rpc_handler.hpp"
#include "acaciapulley/control/token_relay.hpp"
#include "control_fixture.hpp"

namespace {

constexpr int kNodes = 12;

acp::wire::TokenRequest RequestOf(const std::string& nodeId)
{
  acp::wire::TokenRequest request;
  request.nodeId = nodeId;
  request.asks.emplace_back();
  return request;
}

/// A leader that holds each call until it is released and names the node in its answer.
class HeldLeader final : public acp::wire::ControlServiceNull
{
public:
  void RelayTokens(acp::wire::RelayedTokenReply& reply,
                   const acp::wire::RelayedTokenRequest& request) override
  {
    std::unique_lock lock(mutex_);
    sizes_.push_back(request.requests.size());
    changed_.notify_all();
    changed_.wait(lock, [this] { return isReleased_; });
    for (const auto& asked : request.requests) {
      acp::wire::TokenAnswer answer;
      answer.number = std::stoi(asked.nodeId);
      reply.replies.emplace_back().answers.push_back(answer);
    }
  }

  void WaitForCall()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !sizes_.empty(); });
  }

  void Release()
  {
    const std::lock_guard lock(mutex_);
    isReleased_ = true;
    changed_.notify_all();
  }

  [[nodiscard]] std::vector<std::size_t> Sizes()
  {
    const std::lock_guard lock(mutex_);
    return sizes_;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isReleased_ = false;
  std::vector<std::size_t> sizes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(token_relay)

// Guards against a leader that gets a call for each node, and replies that reach another node.
BOOST_AUTO_TEST_CASE(requests_of_many_nodes_reach_the_leader_in_one_call)
{
  HeldLeader leader;
  acp::TokenRelay relay({ .callLeader =
                            [&leader](const auto& call) {
                              call(leader);
                              return acp::TransportResult<void>(boost::outcome_v2::success());
                            },
                          .longestWait = std::chrono::seconds(30) });
  std::jthread first([&relay] {
    acp::wire::TokenReply reply;
    BOOST_TEST(relay.Acquire(reply, RequestOf("0")).has_value());
  });
  leader.WaitForCall();
  std::vector<std::int64_t> numbers(kNodes);
  std::vector<std::jthread> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.emplace_back([&relay, &number = numbers[static_cast<std::size_t>(i)], i] {
      acp::wire::TokenReply reply;
      if (relay.Acquire(reply, RequestOf(std::to_string(i)))) {
        number = reply.answers.front().number;
      }
    });
  }
  BOOST_TEST(leader.Sizes().size() == 1U);
  leader.Release();
  nodes.clear();
  for (int i = 0; i < kNodes; ++i) {
    BOOST_TEST(numbers[static_cast<std::size_t>(i)] == i);
  }
  BOOST_TEST(leader.Sizes().size() < kNodes);
}

// Guards against nodes that wait for ever behind a leader that is gone or frozen.
BOOST_AUTO_TEST_CASE(a_leader_out_of_reach_ends_the_wait)
{
  acp::TokenRelay failing({ .callLeader = [](const auto& /*call*/) {
    return acp::TransportResult<void>(acp::Fail(acp::TransportErrorCode::Unreachable, "gone"));
  } });
  acp::wire::TokenReply reply;
  BOOST_TEST(
    (failing.Acquire(reply, RequestOf("1")).error().code == acp::ControlErrorCode::Unavailable));

  HeldLeader frozen;
  acp::TokenRelay waiting({ .callLeader =
                              [&frozen](const auto& call) {
                                call(frozen);
                                return acp::TransportResult<void>(boost::outcome_v2::success());
                              },
                            .longestWait = std::chrono::milliseconds(20) });
  BOOST_TEST(
    (waiting.Acquire(reply, RequestOf("1")).error().code == acp::ControlErrorCode::Unavailable));
  frozen.Release();
}

// Guards against a replica that grants tokens although it does not lead, or that relays in a
// circle.
BOOST_AUTO_TEST_CASE(only_the_leader_grants_and_only_others_relay)
{
  acp::test::ControlFixture fixture;
  fixture.context.hooks.acquireTokens = [](auto& reply, const auto& request, const auto&) {
    reply.answers.resize(request.asks.size());
    return acp::ControlResult<void>(boost::outcome_v2::success());
  };
  HeldLeader leader;
  leader.Release();
  acp::TokenRelay relay({ .callLeader = [&leader](const auto& call) {
    call(leader);
    return acp::TransportResult<void>(boost::outcome_v2::success());
  } });
  fixture.context.relay = &relay;
  acp::detail::RpcHandler handler(fixture.context);
  acp::wire::TokenReply reply;
  handler.AcquireTokens(reply, RequestOf("7"));
  BOOST_TEST(leader.Sizes().empty());
  acp::wire::RelayedTokenRequest relayed;
  relayed.requests = { RequestOf("1"), RequestOf("2") };
  acp::wire::RelayedTokenReply replies;
  handler.RelayTokens(replies, relayed);
  BOOST_TEST(replies.replies.size() == 2U);

  fixture.log.isLeader = false;
  fixture.log.leaderId = "other";
  acp::wire::TokenReply passed;
  handler.AcquireTokens(passed, RequestOf("7"));
  BOOST_TEST(passed.answers.front().number == 7);
  BOOST_CHECK_THROW(handler.RelayTokens(replies, relayed), acp::wire::NotLeader);

  fixture.log.leaderId.clear();
  BOOST_CHECK_THROW(handler.AcquireTokens(passed, RequestOf("7")), acp::wire::NotLeader);
}

BOOST_AUTO_TEST_SUITE_END()
