#pragma once

/// @file
/// A replica of the log: threads, disk and connections around RaftCore.

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

/// Name under which replicas call each other on a multiplexed Thrift connection.
constexpr const char* kReplicationServiceName = "replication";

/// Settings of Replica.
struct ReplicaOptions
{
  const Clock* clock = nullptr; ///< required; outlives the replica
  std::string dataFolder;       ///< required; created when it does not exist

  Address rpcAddress;                    ///< where the other replicas reach this one
  std::string operatorAddress;           ///< told to operators
  std::vector<Address> replicaAddresses; ///< all replicas, also this one; equal on all of them

  /// Lets empty replicas form a new cluster. The first of `replicaAddresses` bootstraps it when all
  /// listed replicas answer and all of them are empty; a replica that lost its disk is then alone
  /// in being empty, so it bootstraps nothing and joins as a learner.
  bool bootstrap = false;

  /// Changes the set of voters without an operator; see RaftCore::MaintainVoters.
  bool maintainsVoters = false;
  Duration voterSilenceTimeout = Duration::zero(); ///< see RaftOptions
  std::size_t targetVoterCount = 0;                ///< see RaftOptions

  /// Whether the replica has a listener of its own. If not, the owner serves Processor() at
  /// `rpcAddress` under kReplicationServiceName on a multiplexed processor.
  bool startListener = true;

  Duration rpcTimeout = std::chrono::seconds(1); ///< a call that takes longer closes its connection
  Duration electionTimeout = std::chrono::milliseconds(300);      ///< see RaftOptions
  Duration heartbeatInterval = std::chrono::milliseconds(50);     ///< see RaftOptions
  Duration firstElectionTimeout = std::chrono::milliseconds(100); ///< see RaftOptions
  std::uint64_t snapshotEveryEntries = 50'000;   ///< entries applied between two snapshots
  std::uint64_t snapshotEveryBytes = 64U << 20U; ///< bytes of commands between two snapshots
  std::uint64_t maxCommandBytes = 4U << 20U;     ///< a larger command is refused

  /// Called once, on a thread of the replica, when it stops because of an error.
  std::function<void(const ReplicationError&)> onFailure;
};

/// A replica. All calls may come from any thread.
///
/// One thread drives the core, one writes to the disk with a single sync for everything that is
/// waiting, one applies committed entries, and one for each peer sends to it. A peer's connection
/// is opened when there is something to send and closed after a timeout.
///
/// @par Example
/// @code
/// auto replica = acp::Replica::Start(options, stateMachine);
/// auto result = replica.value()->Propose("command", std::chrono::seconds(1));
/// @endcode
class Replica final : public ReplicatedLog
{
public:
  /// @brief Loads the data folder, restores @p stateMachine and starts to take part.
  /// @param stateMachine outlives the replica
  /// @return the replica, or Corrupt (names file and offset), StorageFailed, ListenFailed
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

  /// @brief Returns the service that the other replicas call, to be served by the owner, who must
  /// stop serving it before the replica is destroyed.
  [[nodiscard]] std::shared_ptr<apache::thrift::TProcessor> Processor() const;

private:
  class Impl;
  explicit Replica(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

} // namespace acp
