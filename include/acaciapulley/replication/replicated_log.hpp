#pragma once

/// @file
/// What the control state needs of the replicated log, and what the log needs of the state.

#include <cstdint>  // int64_t, uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"                    // Duration, UnixMillis
#include "acaciapulley/replication/replication_error.hpp" // ReplicationResult

namespace acp {

/// Where an entry stands in the log.
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
  UnixMillis time{}; ///< the leader's wall clock at the proposal, never less than the entry before
  std::string command;
};

/// The state that the log drives. Calls come from one thread, in log order, each entry once.
class StateMachine
{
public:
  StateMachine() = default;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;
  virtual ~StateMachine() = default;

  /// @brief Applies a committed entry; must depend on nothing but the state and the entry.
  /// @return the result for the proposer
  virtual std::string Apply(const CommittedEntry& entry) = 0;

  /// @brief Returns the whole state.
  [[nodiscard]] virtual std::string TakeSnapshot() const = 0;

  /// @brief Replaces the whole state.
  /// @return whether @p snapshot could be read; the replica stops when not
  virtual bool Restore(const std::string& snapshot) = 0;
};

/// A replica of the set, as operators see it.
struct ReplicaInfo
{
  std::string id; ///< random identity made with the data folder
  std::string rpcAddress;
  std::string operatorAddress;
  bool isVoter = false;
  bool isSelf = false;
  std::uint64_t matchIndex = 0; ///< known by the leader only
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
  std::vector<ReplicaInfo> replicas;
};

/// The replicated log as the control process uses it. All calls may come from any thread.
class ReplicatedLog
{
public:
  ReplicatedLog() = default;
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;
  virtual ~ReplicatedLog() = default;

  /// @brief Proposes a command and waits until it is committed and applied here.
  /// @return what StateMachine::Apply returned; NotLeader: it was certainly not and will never be
  /// committed; Unconfirmed: it may be
  virtual ReplicationResult<std::string> Propose(const std::string& command, Duration timeout) = 0;

  /// @brief Returns how long ago this replica sent the last heartbeat round that a quorum answered
  /// as to its leader, when the state applied here includes everything committed until then.
  /// @return the age, or NotLeader
  virtual ReplicationResult<Duration> LeadershipConfirmationAge() = 0;

  /// @brief Returns how long this replica has led without a break; nothing when it does not lead.
  /// The term's first entry is committed and applied by then.
  [[nodiscard]] virtual std::optional<Duration> LeadershipDuration() const = 0;

  /// @brief Replaces a lost replica by one that has caught up as a learner. One change at a time.
  /// @param lostId identity that loses its vote for good
  /// @param newId identity of the learner that gains it
  virtual ReplicationResult<void> ReplaceReplica(const std::string& lostId,
                                                 const std::string& newId,
                                                 Duration timeout) = 0;

  /// @brief Returns the state of the local replica.
  [[nodiscard]] virtual ReplicaStatus Status() const = 0;
};

} // namespace acp
