#include <boost/test/unit_test.hpp>

#include "local_cluster.hpp"

using namespace std::chrono_literals;

namespace {

constexpr auto kProposeTimeout = 30s;

/// Proposes until a leader accepts the command, which must be safe to repeat.
std::string ProposeToAnyLeader(LocalCluster& cluster, const std::string& command)
{
  std::string result;
  LocalCluster::WaitFor([&] {
    const std::size_t leader = cluster.Leader();
    if (leader < cluster.hosts.size()) {
      auto answer = cluster.hosts[leader].replica->Propose(command, kProposeTimeout);
      result = answer ? answer.value() : "";
    }
    return !result.empty();
  });
  return result;
}

bool WaitUntilAllApplied(LocalCluster& cluster, const std::string& command)
{
  return LocalCluster::WaitFor([&] {
    for (const auto& host : cluster.hosts) {
      if (host.replica && host.machine->Text().find(command + "\n") == std::string::npos) {
        return false;
      }
    }
    return true;
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica)

// Guards against a cluster that does not form or loses entries when replicas restart, and against
// a host that lost its disk and votes or bootstraps a cluster before it is a voter again.
BOOST_AUTO_TEST_CASE(cluster_survives_restarts_and_a_lost_disk)
{
  LocalCluster cluster(3);
  for (auto& host : cluster.hosts) {
    host.options.snapshotEveryEntries = 20;
  }
  BOOST_REQUIRE(cluster.Start(0).has_value());
  BOOST_REQUIRE(cluster.Start(1).has_value());
  BOOST_TEST(cluster.Leader() == 3U); // two of three must not bootstrap a cluster
  BOOST_REQUIRE(cluster.Start(2).has_value());
  for (int i = 0; i < 50; ++i) {
    const std::string command = "first " + std::to_string(i);
    BOOST_TEST(ProposeToAnyLeader(cluster, command) == "applied " + command);
  }
  BOOST_TEST(WaitUntilAllApplied(cluster, "first 49"));

  BOOST_REQUIRE(cluster.WaitForLeader());
  const std::size_t leader = cluster.Leader();
  const std::size_t follower = (leader + 1) % 3;
  BOOST_TEST((cluster.hosts[follower].replica->Propose("x", kProposeTimeout).error().code ==
              acp::ReplicationErrorCode::NotLeader));
  BOOST_TEST(!cluster.hosts[follower].replica->LeadershipConfirmationAge().has_value());
  BOOST_TEST(cluster.hosts[leader].replica->LeadershipConfirmationAge().has_value());
  BOOST_TEST(cluster.hosts[follower].replica->Status().leaderOperatorAddress ==
             cluster.hosts[leader].options.operatorAddress);

  // The leader stops; the two others continue, and it catches up after its restart.
  cluster.hosts[leader].replica.reset();
  BOOST_TEST(ProposeToAnyLeader(cluster, "second") == "applied second");
  BOOST_REQUIRE(cluster.Start(leader).has_value());
  BOOST_TEST(WaitUntilAllApplied(cluster, "second"));

  // It loses its disk: the new identity has no vote until the replacement.
  const auto before = cluster.hosts[leader].replica->Status();
  std::string lostId;
  for (const auto& info : before.replicas) {
    lostId = info.isSelf ? info.id : lostId;
  }
  cluster.LoseDisk(leader);
  BOOST_REQUIRE(cluster.Start(leader).has_value());
  BOOST_TEST(ProposeToAnyLeader(cluster, "third") == "applied third");
  BOOST_TEST(WaitUntilAllApplied(cluster, "third"));
  std::string newId;
  BOOST_TEST(LocalCluster::WaitFor([&] {
    const std::size_t now = cluster.Leader();
    if (now == cluster.hosts.size()) {
      return false;
    }
    for (const auto& info : cluster.hosts[now].replica->Status().replicas) {
      newId = info.isVoter ? newId : info.id;
    }
    return !newId.empty() &&
           cluster.hosts[now].replica->ReplaceReplica(lostId, newId, kProposeTimeout).has_value();
  }));
  BOOST_TEST(newId != lostId);

  // Another host is lost right after the replacement; the new voter counts for the quorum.
  cluster.LoseDisk((leader + 1) % 3);
  BOOST_TEST(ProposeToAnyLeader(cluster, "fourth") == "applied fourth");
  BOOST_TEST(WaitUntilAllApplied(cluster, "first 0"));
  BOOST_TEST(WaitUntilAllApplied(cluster, "fourth"));
}

// Guards against a cluster that is never founded because its first replica is lost before that.
BOOST_AUTO_TEST_CASE(cluster_is_founded_without_a_lost_first_replica)
{
  LocalCluster cluster(3);
  for (auto& host : cluster.hosts) {
    host.options.bootstrapWithoutRestAfter = 300ms;
    host.options.maintainsVoters = true;
    host.options.targetVoterCount = 3;
  }
  BOOST_REQUIRE(cluster.Start(2).has_value());
  std::this_thread::sleep_for(600ms);
  BOOST_TEST(cluster.Leader() == 3U); // one of three must not bootstrap a cluster
  BOOST_REQUIRE(cluster.Start(1).has_value());
  BOOST_TEST(ProposeToAnyLeader(cluster, "first") == "applied first");
  // The first one comes after all and joins; all three are voters then.
  BOOST_REQUIRE(cluster.Start(0).has_value());
  BOOST_TEST(WaitUntilAllApplied(cluster, "first"));
  BOOST_TEST(LocalCluster::WaitFor([&] {
    const std::size_t leader = cluster.Leader();
    std::size_t voters = 0;
    if (leader < cluster.hosts.size()) {
      for (const auto& info : cluster.hosts[leader].replica->Status().replicas) {
        voters += info.isVoter ? 1 : 0;
      }
    }
    return voters == 3;
  }));
}

// Guards against a second process that uses the address or data folder of a replica, and against
// commands that are too large for a message.
BOOST_AUTO_TEST_CASE(invalid_starts_and_commands_are_refused)
{
  LocalCluster cluster(2);
  cluster.hosts.pop_back();
  cluster.hosts[0].options.replicaAddresses.pop_back();
  cluster.hosts[0].options.maxCommandBytes = 10;
  BOOST_REQUIRE(cluster.Start(0).has_value());
  BOOST_REQUIRE(cluster.WaitForLeader());
  auto& replica = *cluster.hosts[0].replica;
  BOOST_TEST((replica.Propose("more than ten bytes", kProposeTimeout).error().code ==
              acp::ReplicationErrorCode::TooLarge));
  BOOST_TEST((replica.ReplaceReplica("a", "b", kProposeTimeout).error().code ==
              acp::ReplicationErrorCode::ChangeRefused));
  CommandListStateMachine machine;
  acp::ReplicaOptions second = cluster.hosts[0].options;
  BOOST_TEST((acp::Replica::Start(second, machine).error().code ==
              acp::ReplicationErrorCode::StorageFailed));
  second.dataFolder += "-second";
  BOOST_TEST(
    (acp::Replica::Start(second, machine).error().code == acp::ReplicationErrorCode::ListenFailed));
}

BOOST_AUTO_TEST_SUITE_END()
