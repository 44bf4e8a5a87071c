#include <algorithm> // sort
#include <atomic>    // atomic
#include <chrono>    // steady_clock
#include <cstdio>    // stderr
#include <thread>    // thread
#include <vector>    // vector

#include <fmt/format.h> // print

#include "acaciapulley/core/log.hpp" // SetLogLevel
#include "local_cluster.hpp"

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kCommandBytes = 256;
constexpr std::chrono::seconds kRunTime(3);
constexpr std::chrono::seconds kProposeTimeout(10);
constexpr int kRecoveryRounds = 5;
constexpr int kReplayEntries = 10'000;
constexpr std::size_t kReplayProposers = 64;

double MillisSince(SteadyTime start)
{
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
    .count();
}

double Percentile(const std::vector<double>& sorted, double fraction)
{
  return sorted.empty()
           ? 0
           : sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * fraction)];
}

bool StartAll(LocalCluster& cluster)
{
  for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
    if (!cluster.Start(i)) {
      return false;
    }
  }
  return cluster.WaitForLeader();
}

/// Proposes from @p proposers threads for kRunTime; returns the sorted latencies in milliseconds.
std::vector<double> ProposeConcurrently(acp::Replica& leader,
                                        std::size_t proposers,
                                        std::atomic<int>& failures)
{
  std::vector<std::vector<double>> latencies(proposers);
  std::vector<std::thread> threads;
  threads.reserve(proposers);
  const SteadyTime end = std::chrono::steady_clock::now() + kRunTime;
  for (std::size_t i = 0; i < proposers; ++i) {
    threads.emplace_back([&, i] {
      const std::string command(kCommandBytes, 'x');
      while (std::chrono::steady_clock::now() < end) {
        const SteadyTime start = std::chrono::steady_clock::now();
        if (leader.Propose(command, kProposeTimeout)) {
          latencies[i].push_back(MillisSince(start));
        } else {
          ++failures;
        }
      }
    });
  }
  std::vector<double> all;
  for (std::size_t i = 0; i < proposers; ++i) {
    threads[i].join();
    all.insert(all.end(), latencies[i].begin(), latencies[i].end());
  }
  std::sort(all.begin(), all.end());
  return all;
}

bool MeasureCommits(std::size_t replicas)
{
  for (const std::size_t proposers : { 1U, 16U, 64U }) {
    LocalCluster cluster(replicas, "acp-bench");
    if (!StartAll(cluster)) {
      return false;
    }
    std::atomic<int> failures{ 0 };
    const auto latencies =
      ProposeConcurrently(*cluster.hosts[cluster.Leader()].replica, proposers, failures);
    fmt::print("commits replicas={} proposers={} commits/s={:.0f} p50={:.2f}ms p99={:.2f}ms "
               "failed={}\n",
               replicas,
               proposers,
               static_cast<double>(latencies.size()) / static_cast<double>(kRunTime.count()),
               Percentile(latencies, 0.5),
               Percentile(latencies, 0.99),
               failures.load());
  }
  return true;
}

/// Measures the time from the stop of the leader to the first commit by its successor.
bool MeasureRecovery(std::size_t replicas)
{
  LocalCluster cluster(replicas, "acp-bench");
  if (!StartAll(cluster)) {
    return false;
  }
  std::vector<double> times;
  for (int round = 0; round < kRecoveryRounds; ++round) {
    const std::size_t leader = cluster.Leader();
    cluster.hosts[leader].replica.reset();
    const SteadyTime start = std::chrono::steady_clock::now();
    const bool recovered = LocalCluster::WaitFor([&] {
      const std::size_t next = cluster.Leader();
      return next < replicas &&
             cluster.hosts[next].replica->Propose("x", kProposeTimeout).has_value();
    });
    times.push_back(MillisSince(start));
    if (!recovered || !cluster.Start(leader) || !cluster.WaitForLeader()) {
      return false;
    }
  }
  std::sort(times.begin(), times.end());
  fmt::print("recovery replicas={} rounds={} min={:.0f}ms median={:.0f}ms max={:.0f}ms\n",
             replicas,
             kRecoveryRounds,
             times.front(),
             Percentile(times, 0.5),
             times.back());
  return true;
}

/// Measures the time from the start of a follower with kReplayEntries entries in its log until it
/// has applied them.
bool MeasureReplay()
{
  LocalCluster cluster(3, "acp-bench");
  if (!StartAll(cluster)) {
    return false;
  }
  const std::size_t leader = cluster.Leader();
  const std::size_t follower = (leader + 1) % 3;
  std::vector<std::thread> threads;
  std::atomic<int> remaining{ kReplayEntries };
  threads.reserve(kReplayProposers);
  for (std::size_t i = 0; i < kReplayProposers; ++i) {
    threads.emplace_back([&] {
      while (remaining-- > 0) {
        (void)cluster.hosts[leader].replica->Propose(std::string(kCommandBytes, 'x'),
                                                     kProposeTimeout);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto isApplied = [&] {
    return cluster.hosts[follower].replica->Status().appliedIndex >= kReplayEntries;
  };
  if (!LocalCluster::WaitFor(isApplied)) {
    return false;
  }
  cluster.hosts[follower].replica.reset();
  const SteadyTime start = std::chrono::steady_clock::now();
  if (!cluster.Start(follower)) {
    return false;
  }
  const double loaded = MillisSince(start);
  if (!LocalCluster::WaitFor(isApplied)) {
    return false;
  }
  fmt::print("replay entries={} loaded={:.0f}ms applied={:.0f}ms\n",
             kReplayEntries,
             loaded,
             MillisSince(start));
  return true;
}

} // namespace

int main()
{
  acp::SetLogLevel(acp::LogLevel::Error);
  const bool done = MeasureCommits(3) && MeasureCommits(5) && MeasureRecovery(3) &&
                    MeasureRecovery(5) && MeasureReplay();
  if (!done) {
    fmt::print(stderr, "a cluster did not start or recover within a minute\n");
  }
  return done ? 0 : 1;
}
