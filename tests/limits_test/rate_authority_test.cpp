#include <boost/test/unit_test.hpp>

#include <limits> // numeric_limits
#include <string> // string, to_string

#include "acaciapulley/limits/rate_authority.hpp"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const acp::LimitKey kKey{ .service = "orders", .account = "batik-solo" };

/// An authority with a full bucket.
struct Fixture
{
  Fixture()
  {
    authority.BeginTerm(1, clock.Now());
    authority.SetLimit(kKey, { .rate = 10, .burst = 20 }, clock.Now());
    clock.Advance(seconds(10));
  }

  static acp::TokenAsk Ask(const std::string& node, std::int64_t number, double needed)
  {
    return {
      .nodeId = node, .epoch = 1, .key = kKey, .number = number, .needed = needed, .wanted = needed
    };
  }

  acp::LimitsResult<acp::TokenAnswer> Acquire(const acp::TokenAsk& ask)
  {
    return authority.Acquire(ask, clock.Now(), clock.Now());
  }

  acp::LimitsErrorCode ErrorOf(const acp::TokenAsk& ask) { return Acquire(ask).error().code; }

  acp::ManualClock clock;
  acp::RateAuthority authority{ acp::RateAuthorityOptions{ .maxHoldersPerLimit = 3 } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(rate_authority)

// Guards against a resent ask that is granted twice, an overtaken ask that settles tokens again,
// and asks from an earlier epoch.
BOOST_FIXTURE_TEST_CASE(resent_ask_gets_the_first_answer, Fixture)
{
  const auto ask = Ask("a", 2, 5);
  const auto first = Acquire(ask).value();
  BOOST_TEST(first.granted == 5.0);
  clock.Advance(milliseconds(100));
  const auto again = Acquire(ask).value();
  BOOST_TEST(again.granted == 5.0);
  BOOST_TEST((again.lease == first.lease));
  BOOST_TEST(authority.BalanceOf(kKey, clock.Now()).outstanding == 5.0);
  BOOST_TEST((ErrorOf(Ask("a", 1, 5)) == acp::LimitsErrorCode::StaleAsk));
  auto restarted = Ask("a", 1, 1);
  restarted.epoch = 2;
  BOOST_TEST(Acquire(restarted).value().granted == 1.0);
  // The earlier process may be frozen and still hold its five tokens.
  BOOST_TEST(authority.BalanceOf(kKey, clock.Now()).outstanding == 6.0);
  BOOST_TEST((ErrorOf(ask) == acp::LimitsErrorCode::StaleAsk));
}

// Guards against a node that gets no tokens because its clock was set back before it was started
// again, and against tokens of its earlier process that are granted twice.
BOOST_FIXTURE_TEST_CASE(process_with_an_earlier_epoch_follows_one_that_is_silent, Fixture)
{
  auto before = Ask("a", 1, 5);
  before.epoch = 9;
  BOOST_TEST(Acquire(before).value().granted == 5.0);
  clock.Advance(milliseconds(2'000));
  BOOST_TEST((ErrorOf(Ask("a", 1, 5)) == acp::LimitsErrorCode::StaleAsk));
  clock.Advance(milliseconds(1'000));
  const auto level = authority.BalanceOf(kKey, clock.Now()).level;
  BOOST_TEST(Acquire(Ask("a", 1, 1)).value().granted == 1.0);
  const auto balance = authority.BalanceOf(kKey, clock.Now());
  BOOST_TEST(balance.outstanding == 1.0);
  BOOST_TEST(balance.level == level - 1.0);
  BOOST_TEST(Acquire(Ask("a", 2, 1)).value().granted == 1.0);
}

// Guards against tokens of a lost answer that stay outstanding after the node has sent a new ask.
BOOST_FIXTURE_TEST_CASE(next_ask_frees_the_tokens_of_a_lost_answer, Fixture)
{
  BOOST_TEST(Acquire(Ask("a", 1, 15)).value().granted == 15.0);
  BOOST_TEST(Acquire(Ask("a", 2, 15)).value().granted == 15.0);
  BOOST_TEST(authority.BalanceOf(kKey, clock.Now()).outstanding == 15.0);
}

// Guards against a lowered limit that takes effect only when the level has dropped, a raised limit
// that adds tokens immediately, and a limit that is set again with a full burst while nodes still
// hold tokens of it.
BOOST_FIXTURE_TEST_CASE(changed_limit_takes_effect_at_once, Fixture)
{
  BOOST_TEST(Acquire(Ask("a", 1, 8)).value().granted == 8.0);
  authority.SetLimit(kKey, { .rate = 1, .burst = 10 }, clock.Now());
  BOOST_TEST(Acquire(Ask("b", 1, 20)).value().granted == 1.0);
  authority.SetLimit(kKey, { .rate = 1, .burst = 100 }, clock.Now());
  BOOST_TEST(Acquire(Ask("b", 2, 20)).value().granted == 2.0);
  authority.RemoveLimit(kKey, clock.Now());
  BOOST_TEST((ErrorOf(Ask("b", 3, 1)) == acp::LimitsErrorCode::UnknownLimit));
  authority.SetLimit(kKey, { .rate = 10, .burst = 10 }, clock.Now());
  BOOST_TEST(Acquire(Ask("c", 1, 10)).value().granted == 0.0);
}

// Guards against one node that gets all scarce tokens while another one waits, and against a retry
// hint that is too short for the waiting node.
BOOST_FIXTURE_TEST_CASE(scarce_tokens_are_split_among_waiting_nodes, Fixture)
{
  BOOST_TEST(Acquire(Ask("a", 1, 20)).value().granted == 18.0);
  const auto refused = Acquire(Ask("b", 1, 10)).value();
  BOOST_TEST(refused.granted == 0.0);
  BOOST_TEST(refused.mayBeWithinRate);
  auto spent = Ask("a", 2, 20);
  spent.term = 1;
  spent.received = 18;
  spent.spent = 14;
  spent.returned = 4;
  BOOST_TEST(Acquire(spent).value().granted == 3.0);
  BOOST_TEST(Acquire(Ask("b", 2, 10)).value().granted == 1.0);
  auto more = Ask("a", 3, 5);
  more.term = 1;
  more.received = 21;
  more.spent = 17;
  more.returned = 4;
  BOOST_TEST(Acquire(more).value().granted == 1.0);
}

// Guards against a reserve that is never granted by the current leader, a retry hint that is too
// short, and a new leader that grants more than the reserve early, or any of it while leases of
// several earlier leaders may be valid.
BOOST_FIXTURE_TEST_CASE(reserve_is_granted_late_by_this_leader_and_early_by_the_next, Fixture)
{
  BOOST_TEST(Acquire(Ask("a", 1, 20)).value().granted == 18.0);
  auto spent = Ask("a", 2, 2);
  spent.term = 1;
  spent.received = 18;
  spent.spent = 18;
  BOOST_TEST(Acquire(spent).value().granted == 2.0);
  spent.number = 3;
  spent.received = 20;
  spent.spent = 20;
  const auto empty = Acquire(spent).value();
  BOOST_TEST(empty.granted == 0.0);
  BOOST_TEST(!empty.mayBeWithinRate);
  BOOST_TEST((empty.retryAfter >= milliseconds(100)));
  const auto knownSince = clock.Now() - seconds(10);
  authority.BeginTerm(2, clock.Now(), acp::PreviousTerm{ .term = 1, .knownSince = knownSince });
  clock.Advance(milliseconds(400));
  BOOST_TEST(Acquire(Ask("b", 1, 9)).value().granted == 0.0);
  clock.Advance(milliseconds(1600));
  BOOST_TEST(Acquire(Ask("b", 2, 9)).value().granted == 2.0);
  const acp::PreviousTerm brief{ .term = 2, .knownSince = clock.Now() - seconds(2) };
  const acp::PreviousTerm notPrevious{ .term = 1, .knownSince = knownSince };
  for (const auto& previous : { brief, notPrevious }) {
    authority.BeginTerm(3, clock.Now(), previous);
    clock.Advance(milliseconds(2000));
    BOOST_TEST(Acquire(Ask("b", 3, 9)).value().granted == 0.0);
  }
}

// Guards against accounts that are refused until all leases of earlier leaders have expired
// although the configuration tolerates an excess, and against a larger excess when several leaders
// follow each other within one lease.
BOOST_FIXTURE_TEST_CASE(tolerated_excess_is_granted_by_a_leader_that_knows_no_predecessor, Fixture)
{
  constexpr double kTolerated = 0.1 * (10 * 5 + 20) + 5;
  authority = acp::RateAuthority(
    { .tolerance = { .fraction = 0.1, .tokens = 5, .window = std::chrono::seconds(5) } });
  double granted = 0;
  for (std::int64_t term = 1; term <= 4; ++term) {
    authority.BeginTerm(term, clock.Now());
    authority.SetLimit(kKey, { .rate = 10, .burst = 20 }, clock.Now());
    clock.Advance(milliseconds(400));
    BOOST_TEST(Acquire(Ask("a", 2 * term - 1, 20)).value().granted == 0.0);
    clock.Advance(milliseconds(1500));
    const double early = Acquire(Ask("b", 2 * term, 20)).value().granted;
    BOOST_TEST(early >= 1.0);
    granted += early;
  }
  BOOST_TEST(granted <= kTolerated);
}

// Guards against a spend that reduces the refill until it is reported, although its time is known.
BOOST_FIXTURE_TEST_CASE(spend_is_debited_at_its_own_time, Fixture)
{
  Acquire(Ask("a", 1, 18)).value();
  clock.Advance(seconds(1));
  auto report = Ask("a", 2, 0);
  report.term = 1;
  report.received = 18;
  report.spent = 18;
  report.spentAge = seconds(1);
  Acquire(report).value();
  const double level = authority.BalanceOf(kKey, clock.Now()).level;
  BOOST_TEST(level > 11.0);
  BOOST_TEST(level < 12.0);
}

// Guards against memory that grows with the number of asking nodes, amounts that corrupt the
// totals, and grants by a leader without confirmed leadership.
BOOST_FIXTURE_TEST_CASE(invalid_asks_are_refused, Fixture)
{
  for (const std::string node : { "a", "b", "c" }) {
    Acquire(Ask(node, 1, 1)).value();
  }
  BOOST_TEST((ErrorOf(Ask("d", 1, 1)) == acp::LimitsErrorCode::TooManyHolders));
  clock.Advance(seconds(60));
  BOOST_TEST(Acquire(Ask("d", 1, 1)).value().granted == 1.0);
  for (const double amount : { -1.0, 1e300, std::numeric_limits<double>::quiet_NaN() }) {
    BOOST_TEST((ErrorOf(Ask("d", 2, amount)) == acp::LimitsErrorCode::InvalidAsk));
  }
  auto excess = Ask("d", 2, 1);
  excess.spent = 1;
  BOOST_TEST((ErrorOf(excess) == acp::LimitsErrorCode::InvalidAsk));
  const auto late = authority.Acquire(Ask("d", 3, 1), clock.Now() - seconds(1), clock.Now());
  BOOST_TEST((late.error().code == acp::LimitsErrorCode::NotConfirmed));
  auto later = Ask("d", 4, 1);
  later.term = 2;
  BOOST_TEST((ErrorOf(later) == acp::LimitsErrorCode::NotConfirmed));
}

BOOST_AUTO_TEST_SUITE_END()
