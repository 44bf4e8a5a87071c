#include <boost/test/unit_test.hpp>

#include <algorithm> // max, min

#include "acaciapulley/admission/concurrency_limit.hpp"
#include "acaciapulley/core/clock.hpp"

namespace {

using namespace std::chrono_literals;

// A saturated upstream with @p parallel workers; further concurrent requests queue inside it.
class SaturatedUpstream
{
public:
  SaturatedUpstream(acp::ConcurrencyLimitOptions options, double parallel)
    : limit_(options, clock_.Now())
    , parallel_(parallel)
  {
  }

  // Runs for @p span and returns the mean limit over the second half.
  double Run(std::chrono::milliseconds span,
             double workMillis,
             acp::GateResult result = acp::GateResult::Succeeded)
  {
    double sum = 0.0;
    int count = 0;
    double due = 0.0;
    for (auto passed = 0ms; passed < span; passed += 1ms) {
      clock_.Advance(1ms);
      const double current = limit_.Current(clock_.Now());
      const double latencyMillis = workMillis * std::max(1.0, current / parallel_);
      for (due += current / latencyMillis; due >= 1.0; due -= 1.0) {
        const auto latency = std::chrono::duration<double, std::milli>(latencyMillis);
        limit_.OnFinish("class", std::chrono::duration_cast<acp::Duration>(latency), result, true);
      }
      limit_.Update(clock_.Now());
      if (passed >= span / 2) {
        sum += limit_.Current(clock_.Now());
        ++count;
      }
    }
    return sum / count;
  }

  [[nodiscard]] int Current() const { return limit_.Current(clock_.Now()); }

private:
  acp::ManualClock clock_;
  acp::ConcurrencyLimit limit_;
  double parallel_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(concurrency_limit)

// Guards against a limit that stays reduced at an upstream that is slow for reasons other than
// load.
BOOST_AUTO_TEST_CASE(slower_work_does_not_reduce_the_limit_for_long)
{
  SaturatedUpstream upstream({ .slots = 50 }, 50);
  BOOST_TEST(upstream.Run(2s, 10) == 50.0);
  BOOST_TEST(upstream.Run(6s, 50) >= 0.95 * 50);
  BOOST_TEST(upstream.Run(2s, 10) >= 0.95 * 50);
}

// Guards against trusting an announcement of more slots than the upstream has workers.
BOOST_AUTO_TEST_CASE(limit_follows_the_real_capacity_below_the_announced_one)
{
  SaturatedUpstream upstream({ .slots = 100, .coldStart = 2s }, 20);
  BOOST_TEST(upstream.Current() == 10);
  const double adapted = upstream.Run(10s, 10);
  BOOST_TEST(adapted >= 20.0);
  BOOST_TEST(adapted <= 60.0);
  SaturatedUpstream fixed({ .slots = 100, .adaptive = false }, 20);
  BOOST_TEST(fixed.Run(10s, 10) == 100.0);
}

// Guards against a limit of 0 under refusals and against a recovery that takes longer than 2 s.
BOOST_AUTO_TEST_CASE(refusals_reduce_the_limit_to_one_and_it_recovers_within_two_seconds)
{
  SaturatedUpstream upstream({ .slots = 50 }, 50);
  upstream.Run(1s, 10);
  upstream.Run(3s, 10, acp::GateResult::Refused);
  BOOST_TEST(upstream.Current() == 1);
  upstream.Run(2s, 10);
  BOOST_TEST(upstream.Current() == 50);
}

BOOST_AUTO_TEST_CASE(usable_share_keeps_slots_free_at_large_upstreams_only)
{
  const acp::TimePoint now(0ms);
  const acp::ConcurrencyLimit limit({ .slots = 45, .adaptive = false, .usableShare = 0.95 }, now);
  BOOST_TEST(limit.Current(now) == 42);
  const acp::ConcurrencyLimit few({ .slots = 9, .adaptive = false, .usableShare = 0.95 }, now);
  BOOST_TEST(few.Current(now) == 9);
}

BOOST_AUTO_TEST_SUITE_END()
