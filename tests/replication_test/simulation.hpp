#pragma once

/// @file
/// Simulation of a cluster of cores on a manual clock, with faults of hosts, network and disks from
/// a seeded random schedule.

#include <functional> // function
#include <map>        // map, multimap
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/replication/raft_core.hpp"
#include "memory_disk.hpp"

/// Faults of a run: random ones, or only one adversarial sequence with random timing.
enum class FaultPattern
{
  Any,
  LaggingReplicaAndLostDisk, ///< the only follower that has an entry loses its disk
  DelayedReplies,            ///< a leader is isolated while replies to it are in flight
  OldTermEntries,            ///< a leader replicates entries of an older term and crashes
};

/// Settings of one run.
struct SimulationOptions
{
  std::uint64_t seed = 1;
  std::size_t replicas = 3;
  /// Whether the leader changes the voter set automatically; it then grows from three voters to all
  /// replicas.
  bool maintainsVoters = false;
  acp::RaftGuards guards;
  std::size_t maxAppendBytes = 64;
  std::uint64_t maxEntriesInFlight = 64;
  std::uint64_t meanFaultIntervalMillis = 200;
  FaultPattern faults = FaultPattern::Any;
};

/// Runs a schedule of crashes, lost disks, partitions, frozen replicas, and lost, duplicated and
/// reordered messages. Checks the invariants after each simulated millisecond.
class Simulation
{
public:
  explicit Simulation(const SimulationOptions& options);

  /// @return the first violation, or an empty string
  std::string Run(int millis);

  /// Ends all faults and runs until all replicas agree.
  /// @return a violation, or the state of the cluster if it does not agree in time, or an empty
  /// string
  std::string RunUntilRecovered();

  [[nodiscard]] std::size_t AcknowledgedCount() const { return acknowledged_.size(); }
  [[nodiscard]] std::size_t ReplacementCount() const { return replacementCount_; }
  [[nodiscard]] std::size_t VoterChangeCount() const { return voterChangeCount_; }

private:
  struct Write
  {
    acp::WriteBatch batch;
    std::uint64_t number = 0;
    std::vector<acp::RaftMessage> messagesAfterSync;
  };
  struct Host
  {
    std::shared_ptr<DiskContents> disk = std::make_shared<DiskContents>();
    std::unique_ptr<acp::FileStorage> storage;
    std::unique_ptr<acp::RaftCore> core;
    std::string address;
    std::string identity;
    std::vector<Write> writes;
    std::int64_t syncAt = 0;
    std::int64_t frozenUntil = 0;
    std::int64_t restartAt = 0;
    std::vector<std::string> state;
    std::uint64_t applied = 0;
    std::map<std::uint64_t, std::uint64_t> proposals; ///< index to term
  };
  struct Packet
  {
    std::size_t from = 0;
    std::size_t to = 0;
    acp::RaftMessage message;
  };

  [[nodiscard]] acp::RaftTime Time() const { return { clock_.Now(), clock_.WallNow() }; }
  std::uint64_t RandomBelow(std::uint64_t bound) { return random_() % bound; }
  void Start(Host& host);
  void Bootstrap(Host& host);
  void Crash(Host& host);
  void Step();
  void InjectFault();
  void InjectSingleFault(std::size_t chosen);
  void InjectLaggingReplicaAndLostDisk(std::size_t leader);
  void InjectDelayedReplies(std::size_t leader);
  void InjectOldTermEntries(std::size_t leader);
  void Isolate(std::size_t index, std::int64_t millis);
  void Reconnect();
  void Schedule(std::int64_t millis, std::function<void()> action);
  void LoseDisk(Host& host);
  void RunOperator();
  void Deliver();
  void ProcessReady(std::size_t index);
  void FinishWrites(std::size_t index);
  void SendAll(std::size_t from, const std::vector<acp::RaftMessage>& messages);
  void Apply(Host& host, const acp::LogEntry& entry);
  void Restore(Host& host, const acp::Snapshot& snapshot);
  void CheckLeaders();
  void ReportViolation(const std::string& what);
  [[nodiscard]] Host* Leader();
  [[nodiscard]] std::string Describe() const;

  SimulationOptions options_;
  std::mt19937_64 random_;
  acp::ManualClock clock_;
  std::int64_t millis_ = 0;
  acp::Membership initial_;
  std::vector<Host> hosts_;
  std::multimap<std::int64_t, Packet> network_;
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> blockedUntil_;
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> slowUntil_;
  std::multimap<std::int64_t, std::function<void()>> scheduledActions_;
  bool dropAppends_ = false;
  bool crashLeaderOnCommit_ = false;
  std::uint64_t lossPercent_ = 0;
  bool faultsEnabled_ = true;

  std::map<std::uint64_t, acp::LogEntry> appliedEntries_; ///< entries applied by any replica
  std::map<std::uint64_t, acp::TimePoint> acknowledged_;  ///< index to time of the acknowledgement
  std::map<std::uint64_t, std::string> leaders_;          ///< term to identity
  std::set<std::string> lostIdentities_;
  std::size_t replacementCount_ = 0;
  std::size_t voterChangeCount_ = 0;
  std::uint64_t commandCount_ = 0;
  std::string violation_;
};
