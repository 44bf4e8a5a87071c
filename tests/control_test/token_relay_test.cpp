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

acp::wire::TokenRequest MakeTokenRequest(const std::string& nodeId)
{
  acp::wire::TokenRequest request;
  request.nodeId = nodeId;
  request.asks.emplace_back();
  return request;
}

/// A leader that blocks each call until Unblock() and answers with the number of the node.
class BlockingLeader final : public acp::wire::ControlServiceNull
{
public:
  void RelayTokens(acp::wire::RelayedTokenReply& reply,
                   const acp::wire::RelayedTokenRequest& request) override
  {
    std::unique_lock lock(mutex_);
    batchSizes_.push_back(request.requests.size());
    changed_.notify_all();
    changed_.wait(lock, [this] { return isUnblocked_; });
    for (const auto& asked : request.requests) {
      acp::wire::TokenAnswer answer;
      answer.number = std::stoi(asked.nodeId);
      reply.replies.emplace_back().answers.push_back(answer);
    }
  }

  void WaitForCall()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !batchSizes_.empty(); });
  }

  void Unblock()
  {
    const std::lock_guard lock(mutex_);
    isUnblocked_ = true;
    changed_.notify_all();
  }

  [[nodiscard]] std::vector<std::size_t> BatchSizes()
  {
    const std::lock_guard lock(mutex_);
    return batchSizes_;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isUnblocked_ = false;
  std::vector<std::size_t> batchSizes_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(token_relay)

// Guards against one call to the leader per node, and against replies that reach the wrong node.
BOOST_AUTO_TEST_CASE(requests_of_many_nodes_are_batched_into_few_calls)
{
  BlockingLeader leader;
  acp::TokenRelay relay({ .callLeader =
                            [&leader](const auto& call) {
                              call(leader);
                              return acp::TransportResult<void>(boost::outcome_v2::success());
                            },
                          .maxWait = std::chrono::seconds(30) });
  std::jthread first([&relay] {
    acp::wire::TokenReply reply;
    BOOST_TEST(relay.Acquire(reply, MakeTokenRequest("0")).has_value());
  });
  leader.WaitForCall();
  std::vector<std::int64_t> numbers(kNodes);
  std::vector<std::jthread> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.emplace_back([&relay, &number = numbers[static_cast<std::size_t>(i)], i] {
      acp::wire::TokenReply reply;
      if (relay.Acquire(reply, MakeTokenRequest(std::to_string(i)))) {
        number = reply.answers.front().number;
      }
    });
  }
  BOOST_TEST(leader.BatchSizes().size() == 1U);
  leader.Unblock();
  nodes.clear();
  for (int i = 0; i < kNodes; ++i) {
    BOOST_TEST(numbers[static_cast<std::size_t>(i)] == i);
  }
  BOOST_TEST(leader.BatchSizes().size() < kNodes);
}

// Guards against nodes that wait forever when the leader is unreachable or frozen.
BOOST_AUTO_TEST_CASE(acquire_fails_when_the_leader_is_unreachable_or_frozen)
{
  acp::TokenRelay failing({ .callLeader = [](const auto& /*call*/) {
    return acp::TransportResult<void>(acp::Fail(acp::TransportErrorCode::Unreachable, "gone"));
  } });
  acp::wire::TokenReply reply;
  BOOST_TEST((failing.Acquire(reply, MakeTokenRequest("1")).error().code ==
              acp::ControlErrorCode::Unavailable));

  BlockingLeader frozen;
  acp::TokenRelay waiting({ .callLeader =
                              [&frozen](const auto& call) {
                                call(frozen);
                                return acp::TransportResult<void>(boost::outcome_v2::success());
                              },
                            .maxWait = std::chrono::milliseconds(20) });
  BOOST_TEST((waiting.Acquire(reply, MakeTokenRequest("1")).error().code ==
              acp::ControlErrorCode::Unavailable));
  frozen.Unblock();
}

// Guards against a replica that grants tokens without being the leader, and against relay loops.
BOOST_AUTO_TEST_CASE(the_leader_grants_tokens_and_other_replicas_relay_requests)
{
  acp::test::ControlFixture fixture;
  fixture.context.hooks.acquireTokens = [](auto& reply, const auto& request, const auto&) {
    reply.answers.resize(request.asks.size());
    return acp::ControlResult<void>(boost::outcome_v2::success());
  };
  BlockingLeader leader;
  leader.Unblock();
  acp::TokenRelay relay({ .callLeader = [&leader](const auto& call) {
    call(leader);
    return acp::TransportResult<void>(boost::outcome_v2::success());
  } });
  fixture.context.relay = &relay;
  acp::detail::RpcHandler handler(fixture.context);
  acp::wire::TokenReply reply;
  handler.AcquireTokens(reply, MakeTokenRequest("7"));
  BOOST_TEST(leader.BatchSizes().empty());
  acp::wire::RelayedTokenRequest relayed;
  relayed.requests = { MakeTokenRequest("1"), MakeTokenRequest("2") };
  acp::wire::RelayedTokenReply replies;
  handler.RelayTokens(replies, relayed);
  BOOST_TEST(replies.replies.size() == 2U);

  fixture.log.isLeader = false;
  fixture.log.leaderId = "other";
  acp::wire::TokenReply passed;
  handler.AcquireTokens(passed, MakeTokenRequest("7"));
  BOOST_TEST(passed.answers.front().number == 7);
  BOOST_CHECK_THROW(handler.RelayTokens(replies, relayed), acp::wire::NotLeader);

  fixture.log.leaderId.clear();
  BOOST_CHECK_THROW(handler.AcquireTokens(passed, MakeTokenRequest("7")), acp::wire::NotLeader);
}

BOOST_AUTO_TEST_SUITE_END()
