#include <boost/test/unit_test.hpp>

#include "acaciapulley/retries/retry_policy.hpp"

namespace {

using namespace std::chrono_literals;

acp::RetryVerdict VerdictOf(const acp::FailedCall& call)
{
  acp::ManualClock clock;
  acp::NodeRetryBudget nodeBudget({}, clock.Now());
  return acp::DecideRetry(call, {}, nodeBudget, clock.Now(), 0.5).verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_policy)

// Guards against a second run of a non-idempotent request and against retries beyond the budget.
BOOST_AUTO_TEST_CASE(retries_are_made_only_when_safe_and_within_budget)
{
  using acp::RetryVerdict;
  const acp::FailedCall lost{ .retriesLeft = 1, .remaining = 1s };
  BOOST_TEST((VerdictOf(lost) == RetryVerdict::NotSafe));
  auto call = lost;
  call.nothingSent = true;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::Retry));
  call = lost;
  call.outcome = acp::RequestOutcome::NotRun;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::Retry));
  call.retryMaySucceed = false;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::NotRetryable));
  call = lost;
  call.idempotent = true;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::Retry));
  call.retriesLeft = 0;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::NoRequestBudget));
  call.retriesLeft = 1;
  call.remaining = 5ms;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::NoTime));
  call = lost;
  call.outcome = acp::RequestOutcome::Ran;
  BOOST_TEST((VerdictOf(call) == RetryVerdict::NotRetryable));
}

// Guards against retries that sustain an overload: without successful calls only
// minRetriesPerSecond is added.
BOOST_AUTO_TEST_CASE(node_retry_budget_is_refilled_by_successes)
{
  acp::ManualClock clock;
  acp::NodeRetryBudget nodeBudget({ .ratio = 0.1, .burst = 5, .minRetriesPerSecond = 0.5 },
                                  clock.Now());
  int taken = 0;
  while (nodeBudget.TryAcquire(clock.Now())) {
    ++taken;
  }
  BOOST_TEST(taken == 5);
  for (int i = 0; i < 10; ++i) {
    nodeBudget.OnSuccess();
  }
  BOOST_TEST(nodeBudget.TryAcquire(clock.Now()));
  BOOST_TEST(!nodeBudget.TryAcquire(clock.Now()));
  clock.Advance(2s);
  BOOST_TEST(nodeBudget.TryAcquire(clock.Now()));
  BOOST_TEST(!nodeBudget.TryAcquire(clock.Now()));
  clock.Advance(1h);
  for (taken = 0; nodeBudget.TryAcquire(clock.Now()); ++taken) {
  }
  BOOST_TEST(taken == 5);
}

// Guards against nodes that in total make more retries to a service than the fleet retry budget
// allows, even when no call succeeds, and against a budget that keeps retries above a reduced
// share.
BOOST_AUTO_TEST_CASE(shares_of_all_nodes_stay_within_the_fleet_retry_budget)
{
  constexpr std::size_t kNodes = 16;
  const acp::FleetRetryBudget shared{ .ratio = 0.2, .slack = 47, .window = 10s };
  for (const int answersPerSecond : { 0, 20 }) {
    acp::ManualClock clock;
    acp::NodeRetryBudget nodeBudget(acp::NodeShareOf(shared, kNodes), clock.Now());
    int retries = 0;
    for (int second = 0; second <= 10; ++second) {
      for (int i = 0; i < answersPerSecond; ++i) {
        nodeBudget.OnSuccess();
        retries += nodeBudget.TryAcquire(clock.Now()) ? 1 : 0;
      }
      retries += nodeBudget.TryAcquire(clock.Now()) ? 1 : 0;
      clock.Advance(1s);
    }
    const double all = static_cast<double>(kNodes) * retries;
    // Each of the four hops of a chain may use a quarter of the ratio.
    BOOST_TEST(all <= shared.slack + shared.ratio / 4 * 11 * answersPerSecond * kNodes);
    BOOST_TEST(all >= 1);
  }
  acp::ManualClock clock;
  acp::NodeRetryBudget nodeBudget({ .burst = 5 }, clock.Now());
  nodeBudget.Configure(acp::NodeShareOf(shared, kNodes));
  BOOST_TEST(nodeBudget.TryAcquire(clock.Now()));
  BOOST_TEST(!nodeBudget.TryAcquire(clock.Now()));
}

// Guards against synchronised retries and delays beyond the deadline.
BOOST_AUTO_TEST_CASE(backoff_is_jittered_and_bounded)
{
  const acp::BackoffOptions options{ .initialDelay = 10ms, .maxDelay = 50ms };
  BOOST_TEST((acp::BackoffDelay(options, 0, 1s, 0.0) == 5ms));
  BOOST_TEST((acp::BackoffDelay(options, 1, 1s, 0.5) == 15ms));
  BOOST_TEST((acp::BackoffDelay(options, 60, 1s, 0.0) == 25ms));
  BOOST_TEST(!acp::BackoffDelay(options, 0, 9ms, 0.0).has_value());
  BOOST_TEST(!acp::BackoffDelay(options, 0, -1ms, 0.0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
