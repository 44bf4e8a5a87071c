#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <random>

#include "acaciapulley/admission/concurrency_knee.hpp"

namespace {

constexpr unsigned kSeed = 11;
constexpr int kSlots = 40;
constexpr double kRunSeconds = 0.02;

/// An upstream behind a full gate, whose work per second rises up to a knee.
struct Upstream
{
  acp::ConcurrencyKnee knee{ { .slots = kSlots }, acp::TimePoint() };
  acp::TimePoint now;
  std::mt19937 random{ kSeed };
  double kneeAt = 16;
  double declinePerRequest = 0; ///< loss of work for each request above the knee
  double spellFactor = 1;       ///< duration of work during slow spells
  bool reportsFactor = true;
  bool makesNestedCalls = false;
  bool isFull = true;
  int lowest = kSlots;
  double limitSum = 0;
  int runs = 0;

  /// Runs with as many requests in progress as the limit allows.
  void Run(double seconds)
  {
    const acp::TimePoint end = now + ToDuration(seconds);
    while (now < end) {
      const int running = knee.Limit();
      lowest = std::min(lowest, running);
      limitSum += running;
      ++runs;
      const bool isSlow =
        std::fmod(std::chrono::duration<double>(now.time_since_epoch()).count(), 4) < 0.6;
      const double factor = isSlow ? spellFactor : 1;
      const double above = std::max(running - kneeAt, 0.0);
      const double parallel = std::min<double>(running, kneeAt) - declinePerRequest * above;
      const double rate = parallel / kRunSeconds / factor;
      now += ToDuration(std::exponential_distribution<double>(rate)(random));
      const double reported = reportsFactor ? factor : 1;
      knee.OnFinish({ .requestClass = "read",
                      .usualTime = ToDuration(running / rate / reported),
                      .workFactor = reported,
                      .makesNestedCalls = makesNestedCalls,
                      .wasFull = isFull },
                    now);
    }
  }

  /// Returns the mean limit over the next seconds.
  double MeanLimit(double seconds)
  {
    limitSum = 0;
    runs = 0;
    Run(seconds);
    return limitSum / runs;
  }

  static acp::Duration ToDuration(double seconds)
  {
    return std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(seconds));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(concurrency_knee)

// Guards against requests that only share the processor with others, where fewer at a time would
// finish sooner.
BOOST_AUTO_TEST_CASE(limit_falls_to_the_knee)
{
  Upstream upstream;
  upstream.Run(60);
  const double limit = upstream.MeanLimit(120);
  BOOST_TEST(limit <= 24, "seed " << kSeed << " limit " << limit);
  BOOST_TEST(limit >= 14, "seed " << kSeed << " limit " << limit);
}

// Guards against an upstream that does less work because it runs too many requests.
BOOST_AUTO_TEST_CASE(limit_falls_where_concurrency_costs_throughput)
{
  Upstream upstream;
  upstream.declinePerRequest = 0.3;
  upstream.Run(60);
  const double limit = upstream.MeanLimit(120);
  BOOST_TEST(limit <= 24, "seed " << kSeed << " limit " << limit);
  BOOST_TEST(limit >= 14, "seed " << kSeed << " limit " << limit);
}

// Guards against slots that are left unused although the upstream needs all of them, also when its
// speed varies and it does not report that.
BOOST_AUTO_TEST_CASE(limit_stays_at_the_slots_without_a_knee)
{
  for (const bool reportsFactor : { true, false }) {
    Upstream upstream;
    upstream.kneeAt = kSlots;
    upstream.spellFactor = 2.5;
    upstream.reportsFactor = reportsFactor;
    const double limit = upstream.MeanLimit(180);
    BOOST_TEST(limit >= 38, "seed " << kSeed << " limit " << limit);
  }
}

// Guards against a limit that stays low after the upstream has become able to do more.
BOOST_AUTO_TEST_CASE(limit_is_raised_again_while_the_gate_is_full)
{
  Upstream upstream;
  upstream.Run(60);
  upstream.kneeAt = kSlots;
  upstream.Run(60);
  BOOST_TEST(upstream.knee.Limit() >= 34, "limit " << upstream.knee.Limit());
}

// Guards against a limit of zero.
BOOST_AUTO_TEST_CASE(limit_is_at_least_a_quarter_of_the_slots)
{
  Upstream upstream;
  upstream.kneeAt = 1;
  upstream.Run(1500);
  BOOST_TEST(upstream.lowest == kSlots / 4);
  acp::ConcurrencyKnee single({ .slots = 1 }, acp::TimePoint());
  BOOST_TEST(single.Limit() == 1);
}

// Guards against fewer slots for an upstream that waits for its callees and needs all of them.
BOOST_AUTO_TEST_CASE(classes_with_nested_calls_are_no_evidence)
{
  Upstream upstream;
  upstream.makesNestedCalls = true;
  upstream.Run(60);
  BOOST_TEST(upstream.lowest == kSlots);
  // A limit that was found earlier is given up.
  upstream.makesNestedCalls = false;
  upstream.Run(60);
  upstream.makesNestedCalls = true;
  upstream.Run(3);
  BOOST_TEST(upstream.knee.Limit() == kSlots);
}

// Guards against experiments while the limit has no effect, and against a limit of an earlier
// announcement.
BOOST_AUTO_TEST_CASE(limit_is_kept_while_the_gate_is_not_full)
{
  Upstream upstream;
  upstream.isFull = false;
  upstream.Run(60);
  BOOST_TEST(upstream.lowest == kSlots);
  upstream.isFull = true;
  upstream.Run(60);
  upstream.knee.SetSlots(30, upstream.now);
  BOOST_TEST(upstream.knee.Limit() == 30);
}

BOOST_AUTO_TEST_SUITE_END()
