#include <algorithm> // min

#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/delay_limit.hpp"
#include "acaciapulley/admission/gate.hpp"
#include "acaciapulley/core/clock.hpp"

namespace {

using namespace std::chrono_literals;

constexpr int kSlots = 300;

// Model of a node whose requests in flight always reach the limit, up to a maximum.
class SimulatedNode
{
public:
  int Run(std::chrono::milliseconds span, acp::Duration delay, int maxInFlight = kSlots)
  {
    for (auto passed = 0ms; passed < span; passed += 1ms) {
      clock_.Advance(1ms);
      limit_.OnDelay(delay, std::min(maxInFlight, limit_.Current()), clock_.Now());
    }
    return limit_.Current();
  }

  void Pause(acp::Duration span) { clock_.Advance(span); }

private:
  acp::ManualClock clock_;
  acp::DelayLimit limit_{ {}, kSlots, clock_.Now() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(delay_limit)

// Guards against requests that accumulate at a CPU-starved node because slots are free.
BOOST_AUTO_TEST_CASE(long_message_delays_reduce_the_limit)
{
  SimulatedNode node;
  BOOST_TEST(node.Run(1s, 1ms, 100) == kSlots);
  BOOST_TEST(node.Run(110ms, 100ms, 100) <= 90);
  const int limit = node.Run(200ms, 100ms, 100);
  BOOST_TEST(limit < 80);
  // Between a quarter of the target delay and the target the limit stays unchanged.
  BOOST_TEST(node.Run(50ms, 10ms, 100) <= limit);
  BOOST_TEST(node.Run(2s, 10ms, 100) >= limit * 8 / 10);
  BOOST_TEST(node.Run(1min, 1s, 100) == 1);
}

// Guards against a limit that stays reduced for longer than the recovery target of 2 s.
BOOST_AUTO_TEST_CASE(limit_recovers_within_two_seconds_after_long_delays)
{
  SimulatedNode busy;
  busy.Run(10s, 1s);
  BOOST_TEST(busy.Run(2s, 1ms) == kSlots);
  SimulatedNode idle;
  idle.Run(10s, 1s);
  idle.Pause(2s);
  BOOST_TEST(idle.Run(1ms, 1ms) == kSlots);
}

BOOST_AUTO_TEST_CASE(one_slow_period_does_not_collapse_the_limit_of_an_idle_node)
{
  SimulatedNode node;
  BOOST_TEST(node.Run(1s, 1ms, 1) == kSlots);
  BOOST_TEST(node.Run(51ms, 25ms, 1) >= kSlots * 4 / 10);
  BOOST_TEST(node.Run(1s, 1ms, 1) == kSlots);
}

BOOST_AUTO_TEST_CASE(waiting_time_of_a_message_does_not_raise_the_limit)
{
  SimulatedNode node;
  const int limit = node.Run(1s, 100ms, 100);
  node.Pause(300ms);
  BOOST_TEST(node.Run(1ms, 300ms, 100) <= limit);
}

// Guards against a gate that announces open thresholds while its node is CPU-starved.
BOOST_AUTO_TEST_CASE(gate_of_a_cpu_starved_node_queues_and_lowers_its_threshold)
{
  acp::ManualClock clock;
  acp::Gate gate({ .limit = { .slots = kSlots, .adaptive = false } }, clock.Now());
  std::uint64_t id = 0;
  const auto offer = [&] {
    return gate
      .Offer({ .id = ++id, .account = "a", .priority = 3, .deadline = clock.Now() + 1h },
             clock.Now())
      .decision;
  };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST((offer() == acp::OfferDecision::Start));
  }
  BOOST_TEST(gate.Threshold("a").Level() == 10.0);
  std::uint64_t oldest = 0;
  for (auto passed = 0ms; passed < 1s; passed += 1ms) {
    clock.Advance(1ms);
    gate.RecordSchedulingDelay(100ms, clock.Now());
    gate.Finish(++oldest, clock.Now(), acp::GateResult::Succeeded);
    static_cast<void>(offer());
    static_cast<void>(offer());
    static_cast<void>(gate.Poll(clock.Now()));
  }
  BOOST_TEST(gate.Load(clock.Now()).limit < 100);
  BOOST_TEST(gate.Threshold("a").ShareOf(3) < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
