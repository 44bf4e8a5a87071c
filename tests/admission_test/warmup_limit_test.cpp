#include <boost/test/unit_test.hpp>

#include <vector>

#include "acaciapulley/admission/warmup_limit.hpp"

namespace {

using namespace std::chrono_literals;
using acp::ColdReason;
using acp::Duration;
using acp::TimePoint;

/// A limit of 11 requests per second and a clock; the node starts at 0.
struct Fixture
{
  TimePoint now;
  acp::WarmupLimit limit{ now };

  Fixture() { limit.Configure({ .rate = 11, .warmupTime = 3s }); }

  void Advance(Duration span) { now += span; }

  int StartAll(int offered)
  {
    int started = 0;
    for (int i = 0; i < offered; ++i) {
      started += limit.TryStart(now) ? 1 : 0;
    }
    return started;
  }

  void Announce(Duration left)
  {
    limit.Apply({ .source = ColdReason::Announced, .left = left, .receivedAt = now });
  }

  void Answer(Duration left, TimePoint askedAt)
  {
    limit.Apply(
      { .source = ColdReason::HealthAnswer, .left = left, .askedAt = askedAt, .receivedAt = now });
  }

  /// Ends the assumption that a node begins with.
  void BeginWarm()
  {
    Advance(1s);
    Answer(0s, now);
    Advance(1s);
  }

  [[nodiscard]] ColdReason Reason() const { return limit.ReasonAt(now); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_limit, Fixture)

// Guards against a changed decision for services without a rate limit: nothing is refused, whatever
// is reported or lost.
BOOST_AUTO_TEST_CASE(without_a_rate_nothing_is_refused)
{
  limit.Configure({ .rate = 0, .warmupTime = 3s });
  BOOST_TEST(StartAll(1000) == 1000);
  Announce(3s);
  limit.AssumeCold(now);
  BOOST_TEST(StartAll(1000) == 1000);
  BOOST_TEST(!limit.ConcurrencyAt(now).has_value());
  BOOST_TEST((Reason() == ColdReason::None));
}

// Guards against more than the rate within any second, also across the ends of fixed periods.
BOOST_AUTO_TEST_CASE(no_second_has_more_than_the_rate)
{
  BeginWarm();
  Announce(60s);
  std::vector<TimePoint> starts;
  for (int i = 0; i < 5000; ++i) {
    Advance(7ms);
    if (limit.TryStart(now)) {
      starts.push_back(now);
    }
  }
  for (std::size_t i = 11; i < starts.size(); ++i) {
    BOOST_TEST((starts[i] - starts[i - 11] >= 1s));
  }
  // The rate is used: 35 seconds were offered 143 requests each.
  BOOST_TEST(starts.size() >= 11U * 34U);
}

// Guards against a window that is empty when a warm upstream is found to be cold: the requests of
// the last second have reached it.
BOOST_AUTO_TEST_CASE(starts_are_counted_while_the_upstream_is_warm)
{
  BeginWarm();
  BOOST_TEST(StartAll(100) == 100);
  Advance(500ms);
  limit.AssumeCold(now);
  BOOST_TEST(StartAll(1) == 0);
  Advance(500ms);
  BOOST_TEST(StartAll(100) == 11);
}

// Guards against a rate below 1 that would never let a request through and never warm the upstream.
BOOST_AUTO_TEST_CASE(at_least_one_request_per_second_is_started)
{
  limit.Configure({ .rate = 0.2, .warmupTime = 3s });
  Advance(1s);
  BOOST_TEST(StartAll(5) == 1);
  Advance(1s);
  BOOST_TEST(StartAll(5) == 1);
}

// Guards against two processes of a node that together exceed the rate: the second does not know
// what the first has sent in the last second, nor that the upstream is cold.
BOOST_AUTO_TEST_CASE(restarted_node_sends_nothing_for_one_second)
{
  BOOST_TEST(StartAll(5) == 0);
  Advance(999ms);
  BOOST_TEST(StartAll(5) == 0);
  Advance(1ms);
  BOOST_TEST(StartAll(100) == 11);
  Answer(0s, now);
  BOOST_TEST(StartAll(100) == 100);
}

// Guards against a node that limits an upstream for longer than it is cold.
BOOST_AUTO_TEST_CASE(announced_cold_start_ends)
{
  BeginWarm();
  Announce(3s);
  BOOST_TEST((Reason() == ColdReason::Announced));
  Advance(2999ms);
  BOOST_TEST((Reason() == ColdReason::Announced));
  Advance(1ms);
  BOOST_TEST((Reason() == ColdReason::None));
  // It may become cold again without a new start.
  Announce(2s);
  BOOST_TEST((Reason() == ColdReason::Announced));
}

// Guards against a late heartbeat, from before a restart, that reports an upstream as warm.
BOOST_AUTO_TEST_CASE(heartbeat_does_not_shorten_a_cold_start)
{
  BeginWarm();
  limit.AssumeCold(now);
  Advance(100ms);
  Announce(0s);
  BOOST_TEST((Reason() == ColdReason::Assumed));
  Answer(3s, now);
  Advance(100ms);
  Announce(0s);
  BOOST_TEST((Reason() == ColdReason::HealthAnswer));
}

// Guards against a late heartbeat that keeps an upstream cold although a later check has found it
// warm, and against a check from before a heartbeat that ends its cold start.
BOOST_AUTO_TEST_CASE(only_a_later_health_check_shortens_a_cold_start)
{
  BeginWarm();
  const TimePoint before = now;
  Advance(100ms);
  Announce(3s);
  Answer(0s, before);
  BOOST_TEST((Reason() == ColdReason::Announced));
  Answer(0s, now);
  BOOST_TEST((Reason() == ColdReason::None));
  // The answers of two checks may arrive in the other order.
  Answer(3s, before);
  Advance(100ms);
  Answer(0s, now);
  BOOST_TEST((Reason() == ColdReason::None));
}

// Guards against a check that was answered by the process before the restart.
BOOST_AUTO_TEST_CASE(check_from_before_an_assumption_does_not_end_it)
{
  BeginWarm();
  const TimePoint before = now;
  Advance(100ms);
  limit.AssumeCold(now);
  Answer(0s, before);
  BOOST_TEST((Reason() == ColdReason::Assumed));
  Answer(0s, now);
  BOOST_TEST((Reason() == ColdReason::None));
}

// Guards against an upstream that stays limited for good because it answers no health checks, and
// against an assumption that ends while the upstream is still down.
BOOST_AUTO_TEST_CASE(assumption_ends_the_warmup_time_after_the_first_answer)
{
  BeginWarm();
  const TimePoint before = now;
  Advance(10ms);
  limit.AssumeCold(now);
  Advance(1h);
  limit.RecordAnswer(before, now); // sent to the process before the restart
  Advance(1h);
  BOOST_TEST((Reason() == ColdReason::Assumed));
  limit.RecordAnswer(now, now);
  Advance(2s);
  limit.RecordAnswer(now, now);
  Advance(999ms);
  BOOST_TEST((Reason() == ColdReason::Assumed));
  Advance(1ms);
  BOOST_TEST((Reason() == ColdReason::None));
}

// Guards against a restart that is noticed only by the requests it has ended, and against an
// assumption for single requests that fail while others are answered.
BOOST_AUTO_TEST_CASE(three_losses_in_a_row_are_evidence_of_a_restart)
{
  BeginWarm();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(!limit.RecordLoss(now));
    BOOST_TEST(!limit.RecordLoss(now));
    limit.RecordAnswer(now, now);
  }
  BOOST_TEST((Reason() == ColdReason::None));
  BOOST_TEST(!limit.RecordLoss(now));
  BOOST_TEST(!limit.RecordLoss(now));
  BOOST_TEST(limit.RecordLoss(now));
  BOOST_TEST((Reason() == ColdReason::Assumed));
}

// Guards against callers that are told the slots of a cold upstream and send as much as when it is
// warm.
BOOST_AUTO_TEST_CASE(reported_concurrency_is_what_the_rate_allows)
{
  BOOST_TEST(limit.ConcurrencyAt(now).value() == 1);
  limit.RecordRunTime(400ms);
  BOOST_TEST(limit.ConcurrencyAt(now).value() == 4);
  limit.RecordRunTime(1ms);
  BOOST_TEST(limit.ConcurrencyAt(now).value() == 3);
  BeginWarm();
  BOOST_TEST(!limit.ConcurrencyAt(now).has_value());
}

// Guards against a published end of the cold start that passes while nothing has been answered.
BOOST_AUTO_TEST_CASE(end_of_an_assumption_moves_until_the_first_answer)
{
  Advance(10s);
  BOOST_TEST((limit.ColdUntil(now) == now + 3s));
  limit.RecordAnswer(now, now);
  Advance(1s);
  BOOST_TEST((limit.ColdUntil(now) == now + 2s));
  Announce(5s);
  BOOST_TEST((limit.ColdUntil(now) == now + 5s));
}

// Guards against a limit that counts nothing before its configuration arrives.
BOOST_AUTO_TEST_CASE(starts_before_the_configuration_are_counted)
{
  limit.Configure({});
  Advance(5s);
  BOOST_TEST(StartAll(20) == 20);
  limit.Configure({ .rate = 11, .warmupTime = 3s });
  BOOST_TEST(StartAll(1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
