#include <algorithm>          // count, max
#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <string>             // string, to_string
#include <thread>             // jthread
#include <vector>             // vector

#include <boost/test/unit_test.hpp>

#include "acaciapulley/core/wait_point.hpp"
#include "acaciapulley/node/detail/token_client.hpp"
#include "gen/ControlService.h"

namespace {

constexpr int kAccounts = 20;

/// A control that blocks calls until Release() and grants all tokens that are needed.
class BlockedControl final : public acp::wire::ControlServiceNull
{
public:
  void AcquireTokens(acp::wire::TokenReply& reply, const acp::wire::TokenRequest& request) override
  {
    std::unique_lock lock(mutex_);
    ++inProgress_;
    ++calls_;
    maxInProgress_ = std::max(maxInProgress_, inProgress_);
    maxAsksPerCall_ = std::max(maxAsksPerCall_, request.asks.size());
    changed_.notify_all();
    changed_.wait(lock, [this] { return isReleased_; });
    --inProgress_;
    for (const auto& ask : request.asks) {
      acp::wire::TokenAnswer answer;
      answer.term = 1;
      answer.number = ask.number;
      answer.granted = ask.needed;
      answer.leaseMicros = 2'000'000;
      answer.settleWithinMicros = 1'000'000;
      reply.answers.push_back(answer);
    }
  }

  void WaitForCall()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return calls_ > 0; });
  }

  void Release()
  {
    const std::lock_guard lock(mutex_);
    isReleased_ = true;
    changed_.notify_all();
  }

  [[nodiscard]] int MaxInProgress()
  {
    const std::lock_guard lock(mutex_);
    return maxInProgress_;
  }

  [[nodiscard]] std::size_t MaxAsksPerCall()
  {
    const std::lock_guard lock(mutex_);
    return maxAsksPerCall_;
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isReleased_ = false;
  int calls_ = 0;
  int inProgress_ = 0;
  int maxInProgress_ = 0;
  std::size_t maxAsksPerCall_ = 0;
};

struct Node
{
  acp::SystemClock clock;
  BlockedControl control;
  acp::detail::TokenClient
    tokens{ { .nodeId = "n", .epoch = 1, .clock = &clock, .call = [this](const auto& call) {
               call(control);
               return acp::TransportResult<void>(boost::outcome_v2::success());
             } } };
};

/// Reserves one token of each account, all concurrently.
/// @return the statuses of the refusals, 0 where a token was granted
std::vector<int> AcquireForAllAccounts(Node& node)
{
  std::vector<int> statuses(kAccounts);
  std::vector<std::jthread> requests;
  requests.reserve(kAccounts);
  for (int i = 0; i < kAccounts; ++i) {
    requests.emplace_back([&node, &status = statuses[static_cast<std::size_t>(i)], i] {
      const auto taken = node.tokens.Reserve({ "service", "account-" + std::to_string(i) }, {});
      status = taken ? 0 : taken.error().status;
    });
  }
  requests.clear();
  return statuses;
}

} // namespace

BOOST_AUTO_TEST_SUITE(token_client)

// Guards against a node that makes more calls the slower control replies.
BOOST_AUTO_TEST_CASE(a_slow_control_gets_one_call_at_a_time)
{
  Node node;
  const std::vector<int> statuses = AcquireForAllAccounts(node);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 503) == kAccounts);
  BOOST_TEST(node.control.MaxInProgress() == 1);
  node.control.Release();
}

// Guards against 429 for a burst within the rate, when many requests arrive before an answer.
BOOST_AUTO_TEST_CASE(burst_of_one_account_is_not_refused_before_the_first_answer)
{
  constexpr int kBurst = 60;
  Node node;
  std::atomic<int> exceeded{ 0 };
  std::vector<std::jthread> requests;
  requests.reserve(kBurst);
  for (int i = 0; i < kBurst; ++i) {
    requests.emplace_back([&] {
      const auto taken = node.tokens.Reserve({ "service", "account" }, {});
      exceeded += !taken && taken.error().status == 429 ? 1 : 0;
    });
  }
  requests.clear();
  BOOST_TEST(exceeded == 0);
  node.control.Release();
}

BOOST_AUTO_TEST_CASE(asks_queued_during_a_call_are_batched)
{
  Node node;
  std::jthread first([&] { (void)node.tokens.Reserve({ "service", "first" }, {}); });
  node.control.WaitForCall();
  std::jthread others([&] { (void)AcquireForAllAccounts(node); });
  others.join();
  node.control.Release();
  first.join();
  const std::vector<int> statuses = AcquireForAllAccounts(node);
  BOOST_TEST(std::count(statuses.begin(), statuses.end(), 0) == kAccounts);
  BOOST_TEST(node.control.MaxInProgress() == 1);
  BOOST_TEST(node.control.MaxAsksPerCall() > 1U);
}

BOOST_AUTO_TEST_CASE(calls_and_failures_are_counted)
{
  acp::SystemClock clock;
  acp::detail::TokenClient tokens(
    { .nodeId = "n", .epoch = 1, .clock = &clock, .call = [](const auto& /*call*/) {
       return acp::TransportResult<void>(
         acp::Fail(acp::TransportErrorCode::Unreachable, "no control"));
     } });
  BOOST_TEST(tokens.Reserve({ "service", "a" }, {}).error().status == 503);
  BOOST_TEST(tokens.CallCounts().calls > 0U);
  BOOST_TEST(tokens.CallCounts().failed == tokens.CallCounts().calls);
}

// Answers the load of a deployment whose control hosts are all down while callers have 200 ms to
// their objective: guards against requests that each spend that time on a token that cannot come,
// and against a node that does not notice when control is back.
BOOST_AUTO_TEST_CASE(requests_do_not_wait_for_a_control_that_has_gone_silent)
{
  constexpr int kRequests = 20;
  constexpr acp::Duration kStep = std::chrono::milliseconds(100);
  const acp::LimitKey key{ "service", "account" };
  acp::ManualClock clock;
  BlockedControl control;
  control.Release();
  std::atomic<bool> isDown{ true };
  acp::detail::TokenClient tokens(
    { .nodeId = "n", .epoch = 1, .clock = &clock, .call = [&](const auto& call) {
       if (isDown) {
         return acp::TransportResult<void>(
           acp::Fail(acp::TransportErrorCode::Unreachable, "refused"));
       }
       call(control);
       return acp::TransportResult<void>(boost::outcome_v2::success());
     } });
  // The clock only advances here, so that a request that waits does so until it is stopped.
  const auto awaitFailedCall = [&] {
    for (const auto seen = tokens.CallCounts().failed; tokens.CallCounts().failed == seen;) {
      acp::SleepFor(std::chrono::milliseconds(1));
    }
  };
  for (int i = 0; i < 4; ++i) {
    std::jthread waiting([&](const std::stop_token& stop) { (void)tokens.Reserve(key, stop); });
    awaitFailedCall();
    clock.Advance(kStep);
  }
  std::stop_source leaving;
  std::atomic<int> refused{ 0 };
  std::atomic<int> granted{ 0 };
  std::vector<std::jthread> requests;
  requests.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    requests.emplace_back([&] {
      const auto taken = tokens.Reserve(key, leaving.get_token());
      refused += !taken && taken.error().reason == acp::Reason::RateUnavailable ? 1 : 0;
      granted += taken ? 1 : 0;
    });
  }
  for (int i = 0; i < 5'000 && refused < kRequests - 1; ++i) {
    acp::SleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(refused == kRequests - 1);
  isDown = false;
  for (int i = 0; i < 200 && granted == 0; ++i) {
    acp::SleepFor(std::chrono::milliseconds(20));
    clock.Advance(std::chrono::milliseconds(1));
  }
  leaving.request_stop();
  requests.clear();
  BOOST_TEST(granted == 1);
}

BOOST_AUTO_TEST_SUITE_END()
