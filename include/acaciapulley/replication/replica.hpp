#pragma once

/// @file
/// A replica of the log: the threads, disk and connections around RaftCore.

#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"                 // Clock, Duration
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog, StateMachine
#include "acaciapulley/transport/address.hpp"          // Address

namespace apache::thrift {
class TProcessor;
} // namespace apache::thrift

namespace acp {

/// Service name for calls between replicas on a multiplexed Thrift connection.
constexpr const char* kReplicationServiceName = "replication";

/// Settings of Replica.
struct ReplicaOptions
{
  const Clock* clock = nullptr; ///< required; must outlive the replica
  std::string dataFolder;       ///< required; created if it does not exist

  Address rpcAddress;                    ///< address at which other replicas reach this one
  std::string operatorAddress;           ///< reported to operators
  std::vector<Address> replicaAddresses; ///< all replicas, including this one; the same on all

  /// Lets empty replicas form a new cluster. The first of `replicaAddresses` bootstraps it once all
  /// listed replicas answer and are empty. A replica that lost its disk finds replicas that are not
  /// empty, so it does not bootstrap and joins as a learner.
  bool bootstrap = false;
  /// If it is not zero, a majority of `replicaAddresses` may bootstrap the cluster without the
  /// rest, once these have been out of reach for this long: the first one that is reachable does.
  /// Only for hosts that are told to bootstrap at most once in the life of the cluster; otherwise
  /// hosts that have lost their disks could replace the cluster of the others.
  Duration bootstrapWithoutRestAfter = Duration::zero();

  /// Whether the leader changes the voter set without an operator; see RaftCore::MaintainVoters.
  bool maintainsVoters = false;
  Duration voterSilenceTimeout = Duration::zero(); ///< see RaftOptions
  std::size_t targetVoterCount = 0;                ///< see RaftOptions

  /// Whether the replica opens its own listener. If not, the owner serves Processor() at
  /// `rpcAddress` under kReplicationServiceName on a multiplexed processor.
  bool startListener = true;

  Duration rpcTimeout = std::chrono::seconds(1); ///< a call that takes longer closes its connection
  Duration electionTimeout = std::chrono::milliseconds(300);      ///< see RaftOptions
  Duration heartbeatInterval = std::chrono::milliseconds(50);     ///< see RaftOptions
  Duration firstElectionTimeout = std::chrono::milliseconds(100); ///< see RaftOptions
  std::uint64_t snapshotEveryEntries = 50'000;   ///< entries applied between two snapshots
  std::uint64_t snapshotEveryBytes = 16U << 20U; ///< of commands, or as many as the last one had
  std::uint64_t maxCommandBytes = 4U << 20U;     ///< larger commands are rejected

  /// Called at most once, from a thread of the replica, when the replica stops because of an error.
  std::function<void(const ReplicationError&)> onFailure;
};

/// A replica of the log. Thread-safe.
///
/// One thread runs the core, one writes to the disk with a single sync for all queued writes, one
/// applies committed entries, and one per peer sends messages. The connection to a peer is opened
/// on demand and closed when a call fails or times out.
///
/// @par Example
/// @code
/// auto replica = acp::Replica::Start(options, stateMachine);
/// auto result = replica.value()->Propose("command", std::chrono::seconds(1));
/// @endcode
class Replica final : public ReplicatedLog
{
public:
  /// @brief Loads the data folder, restores @p stateMachine and starts the replica.
  /// @param stateMachine must outlive the replica
  /// @return the replica, or Corrupt (the message names file and offset), StorageFailed or
  /// ListenFailed
  static ReplicationResult<std::unique_ptr<Replica>> Start(const ReplicaOptions& options,
                                                           StateMachine& stateMachine);

  /// Stops all threads.
  ~Replica() override;

  ReplicationResult<std::string> Propose(const std::string& command, Duration timeout) override;
  ReplicationResult<Duration> LeadershipConfirmationAge() override;
  [[nodiscard]] std::optional<Duration> LeadershipDuration() const override;
  ReplicationResult<void> ReplaceReplica(const std::string& lostId,
                                         const std::string& newId,
                                         Duration timeout) override;
  [[nodiscard]] ReplicaStatus Status() const override;

  /// @brief Returns the processor of the service that other replicas call, for an owner that serves
  /// it itself. The owner must stop serving it before the replica is destroyed.
  [[nodiscard]] std::shared_ptr<apache::thrift::TProcessor> Processor() const;

private:
  class Impl;
  explicit Replica(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

} // namespace acp
