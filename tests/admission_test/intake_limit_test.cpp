#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/intake_limit.hpp"
#include "acaciapulley/core/clock.hpp"

namespace {

using namespace std::chrono_literals;

struct Admitted
{
  int important = 0; // of 1 request a millisecond
  int other = 0;     // of 3 requests a millisecond
};

// A node whose messages all wait for the same time.
class Node
{
public:
  Admitted Run(std::chrono::milliseconds span, acp::Duration delay)
  {
    Admitted admitted;
    for (auto passed = 0ms; passed < span; passed += 1ms) {
      clock_.Advance(1ms);
      limit_.OnDelay(delay, clock_.Now());
      admitted.important += limit_.Admits(1, clock_.Now()) ? 1 : 0;
      for (int i = 0; i < 3; ++i) {
        admitted.other += limit_.Admits(3, clock_.Now()) ? 1 : 0;
      }
    }
    return admitted;
  }

  void Pause(acp::Duration span) { clock_.Advance(span); }

private:
  acp::ManualClock clock_;
  acp::IntakeLimit limit_{ {}, clock_.Now() };
};

} // namespace

BOOST_AUTO_TEST_SUITE(intake_limit)

// Guards against nodes without a free processor that let in requests which will be late.
BOOST_AUTO_TEST_CASE(messages_that_wait_for_the_processor_shed_the_least_important_first)
{
  Node node;
  BOOST_TEST(node.Run(1s, 1ms).other == 3'000);
  node.Run(400ms, 100ms);
  // Between the target and a quarter of it the admitted part stays.
  const Admitted admitted = node.Run(1s, 10ms);
  BOOST_TEST(admitted.important == 1'000);
  BOOST_TEST(admitted.other < 1'500);
  BOOST_TEST(admitted.other > 0);
  node.Run(3s, 100ms);
  BOOST_TEST(node.Run(1s, 100ms).other == 0);
  BOOST_TEST(node.Run(1s, 100ms).important > 0);
}

// Guards against refusals that outlast their cause by more than the recovery aim of 2 s.
BOOST_AUTO_TEST_CASE(intake_reopens_within_two_seconds_after_a_long_delay)
{
  Node busy;
  busy.Run(10s, 1s);
  busy.Run(2s, 1ms);
  BOOST_TEST(busy.Run(1s, 1ms).other == 3'000);
  Node idle;
  idle.Run(10s, 1s);
  idle.Pause(2s);
  BOOST_TEST(idle.Run(1s, 1ms).other == 3'000);
}

// Guards against a node that sheds for a second because it was frozen once.
BOOST_AUTO_TEST_CASE(one_late_batch_of_messages_hardly_reduces_the_intake)
{
  Node node;
  node.Run(1s, 1ms);
  node.Pause(3s);
  node.Run(10ms, 3s);
  const Admitted admitted = node.Run(1s, 1ms);
  BOOST_TEST(admitted.important == 1'000);
  BOOST_TEST(admitted.other >= 2'700);
}

BOOST_AUTO_TEST_SUITE_END()
