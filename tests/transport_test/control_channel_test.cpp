#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <thread>

#include "acaciapulley/transport/control_channel.hpp"
#include "control_replica.hpp"

namespace {

using acp::test::Replica;

/// Calls Sync with @p number and returns the number that came back, or the error's name.
std::string Sync(acp::ControlChannel& channel, std::int64_t number)
{
  acp::wire::SyncRequest request;
  request.reportNumber = number;
  acp::wire::SyncReply reply;
  const auto done =
    channel.Call([&](acp::wire::ControlServiceIf& control) { control.Sync(reply, request); });
  return done ? std::to_string(reply.acceptedReportNumber)
              : std::string(acp::NameOf(done.error().code));
}

void EchoNumber(acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request)
{
  reply.acceptedReportNumber = request.reportNumber;
}

} // namespace

BOOST_AUTO_TEST_SUITE(control_channel)

// Guards against calls that stay with a follower, or that never reach the leader it names.
BOOST_AUTO_TEST_CASE(the_leader_hint_is_followed_and_kept)
{
  Replica leader(EchoNumber);
  Replica follower([&](acp::wire::SyncReply&, const acp::wire::SyncRequest&) {
    acp::wire::NotLeader error;
    error.leaderRpcAddress = leader.Where().ToString();
    throw error;
  });
  acp::ControlChannel channel({ .replicas = { follower.Where(), leader.Where() } });
  BOOST_TEST(Sync(channel, 1) == "1");
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST(follower.calls == 1);
}

// Guards against a late answer that reaches the next call on the same connection.
BOOST_AUTO_TEST_CASE(the_answer_to_a_timed_out_call_never_reaches_the_next_one)
{
  std::promise<void> release;
  auto released = release.get_future().share();
  Replica replica([&](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) {
    if (request.reportNumber == 1) {
      released.wait();
    }
    EchoNumber(reply, request);
  });
  acp::ControlChannel channel(
    { .replicas = { replica.Where() }, .timeout = std::chrono::milliseconds(50) });
  BOOST_TEST(Sync(channel, 1) == "timeout");
  release.set_value();
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST(Sync(channel, 3) == "3");
}

// Guards against answers that are mixed up between threads, and against one slow call that holds
// up all others.
BOOST_AUTO_TEST_CASE(many_threads_call_at_once_within_a_bounded_number_of_connections)
{
  constexpr int kConnections = 4;
  std::promise<void> release;
  auto released = release.get_future().share();
  std::atomic<int> underWay{ 0 };
  Replica replica([&](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) {
    ++underWay;
    released.wait();
    EchoNumber(reply, request);
  });
  acp::ControlChannel channel({ .replicas = { replica.Where() },
                                .timeout = std::chrono::seconds(10),
                                .maxConnections = kConnections });
  std::vector<std::future<std::string>> results;
  results.reserve(std::size_t{ 3 } * kConnections);
  for (int i = 0; i < 3 * kConnections; ++i) {
    results.push_back(std::async(std::launch::async, [&channel, i] { return Sync(channel, i); }));
  }
  while (underWay < kConnections) {
    std::this_thread::yield();
  }
  BOOST_TEST(underWay == kConnections);
  release.set_value();
  for (std::size_t i = 0; i < results.size(); ++i) {
    BOOST_TEST(results[i].get() == std::to_string(i));
  }
}

// Guards against a node that never finds control again once its first replicas have gone.
BOOST_AUTO_TEST_CASE(replicas_learned_later_are_called_when_the_first_are_gone)
{
  acp::Address gone;
  {
    Replica first(EchoNumber);
    gone = first.Where();
  }
  Replica later(EchoNumber);
  acp::ControlChannel channel({ .replicas = { gone } });
  BOOST_TEST(Sync(channel, 1) == "unreachable");
  channel.Learn({ gone, later.Where() });
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST((channel.Preferred() == later.Where()));
}

BOOST_AUTO_TEST_CASE(calls_begin_at_the_preferred_replica)
{
  Replica first(EchoNumber);
  Replica second(EchoNumber);
  acp::ControlChannel channel({ .replicas = { first.Where() } });
  channel.Prefer(second.Where());
  BOOST_TEST((channel.Preferred() == second.Where()));
  BOOST_TEST(Sync(channel, 1) == "1");
  BOOST_TEST(first.calls == 0);
  BOOST_TEST(second.calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
