#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <new>
#include <thread>

#include "acaciapulley/transport/control_channel.hpp"
#include "fake_control_replica.hpp"

namespace {

using acp::test::FakeControlReplica;

/// Calls Sync with @p number and returns the number in the reply, or the name of the error.
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

// Guards against calls that keep going to a follower or never reach the leader that it names.
BOOST_AUTO_TEST_CASE(leader_hint_is_followed_and_used_for_later_calls)
{
  FakeControlReplica leader(EchoNumber);
  FakeControlReplica follower([&](acp::wire::SyncReply&, const acp::wire::SyncRequest&) {
    acp::wire::NotLeader error;
    error.leaderRpcAddress = leader.ListenAddress().ToString();
    throw error;
  });
  acp::ControlChannel channel({ .replicas = { follower.ListenAddress(), leader.ListenAddress() } });
  BOOST_TEST(Sync(channel, 1) == "1");
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST(follower.calls == 1);
}

// Guards against a call that alternates between a lost replica and one that still names it.
BOOST_AUTO_TEST_CASE(a_hint_to_a_replica_that_failed_in_the_same_call_is_not_followed)
{
  acp::Address lost;
  {
    FakeControlReplica stopped(EchoNumber);
    lost = stopped.ListenAddress();
  }
  FakeControlReplica namesLost([&](acp::wire::SyncReply&, const acp::wire::SyncRequest&) {
    acp::wire::NotLeader error;
    error.leaderRpcAddress = lost.ToString();
    throw error;
  });
  FakeControlReplica other(EchoNumber);
  acp::ControlChannel channel(
    { .replicas = { lost, namesLost.ListenAddress(), other.ListenAddress() } });
  BOOST_TEST(Sync(channel, 1) == "1");
  BOOST_TEST(namesLost.calls == 1);
  BOOST_TEST((channel.Preferred() == other.ListenAddress()));
}

// Guards against a call that avoids the only leader because a kept connection to it ended.
BOOST_AUTO_TEST_CASE(a_hint_to_a_replica_whose_kept_connection_ended_is_followed)
{
  acp::Address leaderAddress;
  FakeControlReplica follower([&](acp::wire::SyncReply&, const acp::wire::SyncRequest&) {
    acp::wire::NotLeader error;
    error.leaderRpcAddress = leaderAddress.ToString();
    throw error;
  });
  std::atomic<bool> endsConnection{ false };
  FakeControlReplica leader(
    [&](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) {
      if (endsConnection.exchange(false)) {
        throw apache::thrift::transport::TTransportException("ended");
      }
      EchoNumber(reply, request);
    });
  leaderAddress = leader.ListenAddress();
  acp::ControlChannel channel({ .replicas = { leaderAddress, follower.ListenAddress() } });
  BOOST_TEST(Sync(channel, 1) == "1");
  endsConnection = true;
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST(follower.calls == 1);
}

// Guards against a late reply that is returned to the next call on the same connection.
BOOST_AUTO_TEST_CASE(late_reply_to_a_timed_out_call_never_reaches_the_next_call)
{
  std::promise<void> release;
  auto released = release.get_future().share();
  FakeControlReplica replica(
    [&](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) {
      if (request.reportNumber == 1) {
        released.wait();
      }
      EchoNumber(reply, request);
    });
  acp::ControlChannel channel(
    { .replicas = { replica.ListenAddress() }, .timeout = std::chrono::milliseconds(50) });
  BOOST_TEST(Sync(channel, 1) == "timeout");
  release.set_value();
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST(Sync(channel, 3) == "3");
}

// Guards against replies that are returned to the wrong thread, and against a slow call that blocks
// all others.
BOOST_AUTO_TEST_CASE(concurrent_calls_stay_within_max_connections)
{
  constexpr int kConnections = 4;
  std::promise<void> release;
  auto released = release.get_future().share();
  std::atomic<int> inProgress{ 0 };
  FakeControlReplica replica(
    [&](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& request) {
      ++inProgress;
      released.wait();
      EchoNumber(reply, request);
    });
  acp::ControlChannel channel({ .replicas = { replica.ListenAddress() },
                                .timeout = std::chrono::seconds(10),
                                .maxConnections = kConnections });
  std::vector<std::future<std::string>> results;
  results.reserve(std::size_t{ 3 } * kConnections);
  for (int i = 0; i < 3 * kConnections; ++i) {
    results.push_back(std::async(std::launch::async, [&channel, i] { return Sync(channel, i); }));
  }
  while (inProgress < kConnections) {
    std::this_thread::yield();
  }
  BOOST_TEST(inProgress == kConnections);
  release.set_value();
  for (std::size_t i = 0; i < results.size(); ++i) {
    BOOST_TEST(results[i].get() == std::to_string(i));
  }
}

// Guards against a node that can no longer reach control once its initial replicas are gone.
BOOST_AUTO_TEST_CASE(added_replicas_are_called_when_the_initial_ones_are_unreachable)
{
  acp::Address gone;
  {
    FakeControlReplica first(EchoNumber);
    gone = first.ListenAddress();
  }
  FakeControlReplica later(EchoNumber);
  acp::ControlChannel channel({ .replicas = { gone } });
  BOOST_TEST(Sync(channel, 1) == "unreachable");
  channel.AddReplicas({ gone, later.ListenAddress() });
  BOOST_TEST(Sync(channel, 2) == "2");
  BOOST_TEST((channel.Preferred() == later.ListenAddress()));
}

BOOST_AUTO_TEST_CASE(first_call_goes_to_the_preferred_replica)
{
  FakeControlReplica first(EchoNumber);
  FakeControlReplica second(EchoNumber);
  acp::ControlChannel channel({ .replicas = { first.ListenAddress() } });
  channel.Prefer(second.ListenAddress());
  BOOST_TEST((channel.Preferred() == second.ListenAddress()));
  BOOST_TEST(Sync(channel, 1) == "1");
  BOOST_TEST(first.calls == 0);
  BOOST_TEST(second.calls == 1);
}

// Guards against connections that are no longer counted as free after an exception in a call.
BOOST_AUTO_TEST_CASE(an_exception_of_a_call_frees_its_connection)
{
  FakeControlReplica replica(EchoNumber);
  acp::ControlChannel channel({ .replicas = { replica.ListenAddress() }, .maxConnections = 1 });
  const auto fail = [](acp::wire::ControlServiceIf& /*control*/) { throw std::bad_alloc(); };
  BOOST_CHECK_THROW((void)channel.Call(fail), std::bad_alloc);
  BOOST_TEST(Sync(channel, 1) == "1");
}

BOOST_AUTO_TEST_SUITE_END()
