#include <boost/test/unit_test.hpp>

#include <atomic> // atomic
#include <thread> // jthread
#include <vector> // vector

#include "acaciapulley/limits/token_lease_table.hpp"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const acp::LimitKey kKey{ .service = "orders", .account = "batik-solo" };

struct Fixture
{
  acp::TokenAnswer Answer(std::int64_t number, double granted, std::int64_t term = 1)
  {
    return { .term = term,
             .number = number,
             .granted = granted,
             .lease = acp::kTokenLease,
             .settleWithin = milliseconds(100) };
  }

  /// Makes the table ask for @p waiting requests and grants as many tokens.
  void Fill(int waiting, std::int64_t term = 1)
  {
    for (int i = 0; i < waiting; ++i) {
      table.AddWaiter(kKey);
    }
    const auto ask = table.DueAsk(kKey, clock.Now());
    BOOST_TEST_REQUIRE(ask.has_value());
    BOOST_TEST(ask->needed > 0);
    table.OnAnswer(kKey, Answer(ask->number, waiting, term), clock.Now());
    for (int i = 0; i < waiting; ++i) {
      table.RemoveWaiter(kKey);
    }
  }

  acp::ReserveStatus Take() { return table.TryReserve(kKey, clock.Now()).status; }

  acp::ManualClock clock;
  acp::TokenLeaseTable table{ acp::TokenLeaseTableOptions{ .nodeId = "n", .epoch = 1 } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(token_lease_table)

// Guards against tokens that are used after their lease has expired: when they are reserved, at
// dispatch after the process was frozen, and when a refused request releases its token.
BOOST_FIXTURE_TEST_CASE(tokens_expire_with_their_lease, Fixture)
{
  Fill(3);
  const auto first = table.TryReserve(kKey, clock.Now());
  const auto second = table.TryReserve(kKey, clock.Now());
  BOOST_TEST(table.Commit(kKey, first.reservation, clock.Now()));
  clock.Advance(milliseconds(1981));
  BOOST_TEST(!table.Commit(kKey, second.reservation, clock.Now()));
  table.Release(kKey, second.reservation, clock.Now());
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) == 0.0);
  BOOST_TEST((Take() == acp::ReserveStatus::Wait));
}

// Guards against an answer that is applied after its ask has timed out, and against a second ask in
// flight for the same account.
BOOST_FIXTURE_TEST_CASE(late_answer_is_ignored, Fixture)
{
  table.AddWaiter(kKey);
  const auto first = table.DueAsk(kKey, clock.Now());
  BOOST_TEST(!table.DueAsk(kKey, clock.Now()).has_value());
  table.OnAskFailed(kKey, first->number, clock.Now());
  const auto second = table.DueAsk(kKey, clock.Now());
  BOOST_TEST(second->number > first->number);
  table.OnAnswer(kKey, Answer(first->number, 5), clock.Now());
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) == 0.0);
  table.OnAnswer(kKey, Answer(second->number, 5), clock.Now());
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) == 5.0);
}

// Guards against tokens of an earlier leader that are reported to its successor or become unusable
// with the new term.
BOOST_FIXTURE_TEST_CASE(new_term_starts_new_totals, Fixture)
{
  Fill(2, 1);
  BOOST_TEST((Take() == acp::ReserveStatus::Reserved));
  Fill(2, 2);
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) == 3.0);
  const auto old = table.TryReserve(kKey, clock.Now());
  BOOST_TEST(table.Commit(kKey, old.reservation, clock.Now()));
  clock.Advance(milliseconds(150));
  const auto report = table.DueAsk(kKey, clock.Now());
  BOOST_TEST(report->term == 2);
  BOOST_TEST(report->received == 2.0);
  BOOST_TEST(report->spent == 0.0);
  table.OnAnswer(kKey, Answer(report->number, 9, 1), clock.Now());
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) < 9.0);
}

// Guards against requests that wait although the retry hint exceeds the maximum wait, and against
// refusals once the rest of the hint is shorter than the maximum wait.
BOOST_FIXTURE_TEST_CASE(refusal_lasts_for_the_retry_hint, Fixture)
{
  table.AddWaiter(kKey);
  const auto ask = table.DueAsk(kKey, clock.Now());
  auto answer = Answer(ask->number, 0);
  answer.retryAfter = milliseconds(400);
  table.OnAnswer(kKey, answer, clock.Now());
  const auto refused = table.TryReserve(kKey, clock.Now());
  BOOST_TEST((refused.status == acp::ReserveStatus::Refused));
  BOOST_TEST((refused.retryAfter == milliseconds(400)));
  BOOST_TEST(!table.DueAsk(kKey, clock.Now()).has_value());
  clock.Advance(milliseconds(360));
  BOOST_TEST((Take() == acp::ReserveStatus::Wait));
  clock.Advance(milliseconds(50));
  BOOST_TEST(table.DueAsk(kKey, clock.Now()).has_value());
}

// Guards against idle tokens that a node does not return, and against memory that is kept for
// unused accounts.
BOOST_FIXTURE_TEST_CASE(idle_tokens_are_returned, Fixture)
{
  Fill(4);
  clock.Advance(milliseconds(150));
  const auto asks = table.DueAsks(clock.Now());
  BOOST_TEST(asks.size() == 1U);
  BOOST_TEST(asks.front().returned == 4.0);
  BOOST_TEST(table.AvailableTokens(kKey, clock.Now()) == 0.0);
  table.OnAnswer(kKey, Answer(asks.front().number, 0), clock.Now());
  clock.Advance(seconds(60));
  BOOST_TEST(table.DueAsks(clock.Now()).empty());
}

// Guards against a token that is reserved by two threads.
BOOST_FIXTURE_TEST_CASE(threads_never_share_a_token, Fixture)
{
  constexpr int kTokens = 1000;
  Fill(kTokens);
  std::atomic<int> committed = 0;
  {
    constexpr int kThreads = 4;
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        for (int j = 0; j < kTokens; ++j) {
          const auto take = table.TryReserve(kKey, clock.Now());
          const bool isTaken = take.status == acp::ReserveStatus::Reserved;
          committed += isTaken && table.Commit(kKey, take.reservation, clock.Now()) ? 1 : 0;
        }
      });
    }
  }
  BOOST_TEST(committed == kTokens);
}

BOOST_AUTO_TEST_SUITE_END()
