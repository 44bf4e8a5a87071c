#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/fair_queue.hpp"

namespace {

using namespace std::chrono_literals;

constexpr acp::TimePoint kStart{ std::chrono::hours(1) };

acp::GateRequest MakeRequest(std::uint64_t id, const std::string& account, int priority)
{
  return {
    .id = id, .account = account, .priority = priority, .deadline = kStart + std::chrono::hours(1)
  };
}

acp::GateRequest MakeNested(std::uint64_t id, const std::string& account, int priority)
{
  acp::GateRequest request = MakeRequest(id, account, priority);
  request.isNested = true;
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queue)

// Guards against a standing queue in which every request waits long: once the queue has not been
// empty for the burst age, the short age bound applies.
BOOST_AUTO_TEST_CASE(a_standing_queue_has_a_shorter_age_bound_than_a_burst)
{
  acp::FairQueue queue;
  BOOST_TEST(!queue.Push(MakeRequest(1, "a", 6), kStart).has_value());
  BOOST_TEST((queue.NextExpiry(kStart) == kStart + 100ms));
  BOOST_TEST(queue.Expire(kStart + 100ms).empty());
  BOOST_TEST(!queue.Push(MakeRequest(2, "a", 6), kStart + 70ms).has_value());
  BOOST_TEST(!queue.Push(MakeRequest(3, "a", 6), kStart + 90ms).has_value());
  const auto refusals = queue.Expire(kStart + 101ms);
  BOOST_REQUIRE(refusals.size() == 2U);
  BOOST_TEST(refusals.front().id == 1U);
  BOOST_TEST((refusals.front().reason == acp::Reason::QueueTimeout));
  BOOST_TEST(queue.Pop(kStart + 101ms)->id == 3U);
}

// Guards against a full queue that refuses an important request or one of an underserved account.
BOOST_AUTO_TEST_CASE(a_full_queue_evicts_the_newest_of_the_most_over_served_account)
{
  acp::FairQueue queue({ .maxCount = 3 });
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(!queue.Push(MakeRequest(id, id < 3 ? "large" : "small", 6), kStart).has_value());
  }
  BOOST_TEST(queue.Push(MakeRequest(4, "large", 6), kStart)->id == 4U);
  BOOST_TEST(queue.Push(MakeRequest(5, "other", 7), kStart)->id == 5U);
  BOOST_TEST(queue.Push(MakeRequest(6, "other", 6), kStart)->id == 2U);
  BOOST_TEST(queue.Push(MakeRequest(7, "large", 1), kStart)->id != 7U);
  BOOST_TEST(queue.Pop(kStart)->id == 7U);
  BOOST_TEST(queue.Size() == 2U);
}

// Guards against new requests that take slots from requests with work already done.
BOOST_AUTO_TEST_CASE(nested_calls_are_served_before_new_requests_of_their_priority_only)
{
  acp::FairQueue queue;
  BOOST_TEST(!queue.Push(MakeRequest(1, "a", 6), kStart).has_value());
  BOOST_TEST(!queue.Push(MakeNested(2, "a", 6), kStart).has_value());
  BOOST_TEST(!queue.Push(MakeNested(3, "b", 7), kStart).has_value());
  BOOST_TEST(!queue.Push(MakeRequest(4, "b", 1), kStart).has_value());
  BOOST_TEST(!queue.Push(MakeNested(5, "b", 6), kStart).has_value());
  for (const std::uint64_t expected : { 4U, 2U, 5U, 1U, 3U }) {
    BOOST_TEST(queue.Pop(kStart)->id == expected);
  }
}

// Guards against a full queue that evicts a nested call in favour of a new request of its priority.
BOOST_AUTO_TEST_CASE(a_full_queue_evicts_new_requests_before_nested_calls)
{
  acp::FairQueue queue({ .maxCount = 2 });
  BOOST_TEST(!queue.Push(MakeNested(1, "large", 6), kStart).has_value());
  BOOST_TEST(!queue.Push(MakeRequest(2, "small", 6), kStart).has_value());
  BOOST_TEST(queue.Push(MakeNested(3, "large", 6), kStart)->id == 2U);
  BOOST_TEST(queue.Push(MakeRequest(4, "small", 6), kStart)->id == 4U);
  BOOST_TEST(queue.Push(MakeRequest(5, "small", 1), kStart)->id == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
