#pragma once

/// @file
/// Interfaces of the replicated log and of the state machine that it drives.

#include <cstdint>  // int64_t, uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"                    // Duration, UnixMillis
#include "acaciapulley/replication/replication_error.hpp" // ReplicationResult

namespace acp {

/// Position of an entry in the log.
struct LogPosition
{
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  bool operator==(const LogPosition&) const = default;
};

/// A committed entry.
struct CommittedEntry
{
  LogPosition position;
  UnixMillis time{}; ///< the leader's wall clock at the proposal; never decreases along the log
  std::string command;
};

/// State machine that the log drives. It is called from one thread, once per entry, in log order.
class StateMachine
{
public:
  StateMachine() = default;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;
  virtual ~StateMachine() = default;

  /// @brief Applies a committed entry. Must be deterministic: the effect depends only on state and
  /// entry.
  /// @return the result for the proposer
  virtual std::string Apply(const CommittedEntry& entry) = 0;

  /// @brief Returns the whole state.
  [[nodiscard]] virtual std::string TakeSnapshot() const = 0;

  /// @brief Replaces the whole state.
  /// @return whether @p snapshot could be read; if not, the replica stops
  virtual bool Restore(const std::string& snapshot) = 0;
};

/// A voter or learner, as reported to operators.
struct ReplicaInfo
{
  std::string id; ///< random identity, created with the data folder
  std::string rpcAddress;
  std::string operatorAddress;
  bool isVoter = false;
  bool isSelf = false;
  std::uint64_t matchIndex = 0; ///< known only to the leader
};

/// State of the local replica.
struct ReplicaStatus
{
  bool isLeader = false;
  std::string leaderId; ///< empty when unknown
  std::string leaderRpcAddress;
  std::string leaderOperatorAddress;
  std::uint64_t term = 0;
  std::uint64_t commitIndex = 0;
  std::uint64_t appliedIndex = 0;
  std::uint64_t lastIndex = 0;
  std::uint64_t logBytes = 0; ///< memory of the entries that are kept
  std::vector<ReplicaInfo> replicas;
};

/// The replicated log as used by the control process. Thread-safe.
class ReplicatedLog
{
public:
  ReplicatedLog() = default;
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;
  virtual ~ReplicatedLog() = default;

  /// @brief Proposes a command and waits until it is committed and applied here.
  /// @return the result of StateMachine::Apply; NotLeader if the command is not committed and never
  /// will be; Unconfirmed if it may have been or may yet be committed
  virtual ReplicationResult<std::string> Propose(const std::string& command, Duration timeout) = 0;

  /// @brief Returns the time since this leader sent the newest heartbeat round that a quorum has
  /// answered. The state applied here includes everything that was committed before that round.
  /// @return the age, or NotLeader
  virtual ReplicationResult<Duration> LeadershipConfirmationAge() = 0;

  /// @brief Returns how long this replica has been leader without interruption; nothing if it is
  /// not the leader or the first entry of its term is not committed and applied yet.
  [[nodiscard]] virtual std::optional<Duration> LeadershipDuration() const = 0;

  /// @brief Replaces a lost voter with a learner that has caught up. Only one change can be in
  /// progress.
  /// @param lostId identity that loses its vote permanently
  /// @param newId identity of the learner that becomes a voter
  virtual ReplicationResult<void> ReplaceReplica(const std::string& lostId,
                                                 const std::string& newId,
                                                 Duration timeout) = 0;

  /// @brief Returns the state of the local replica.
  [[nodiscard]] virtual ReplicaStatus Status() const = 0;
};

} // namespace acp
