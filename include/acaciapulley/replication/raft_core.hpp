#pragma once

/// @file
/// The protocol of the replicated log without sockets, threads or disk.

#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"                  // Duration, TimePoint
#include "acaciapulley/replication/detail/raft_log.hpp" // RaftLog
#include "acaciapulley/replication/raft_types.hpp"      // RaftMessage
#include "acaciapulley/replication/storage.hpp"         // StoredState, WriteBatch

namespace acp {

/// Rules that keep the log safe. Only tests switch one off, to show that a schedule finds its lack.
struct RaftGuards
{
  bool voteOnlyWhenUpToDate = true;  ///< a vote needs a log that is at least as complete
  bool syncBeforeReply = true;       ///< answers wait for the sync of what they promise
  bool noVoteWithoutCluster = true;  ///< a replica that never belonged to a cluster does not vote
  bool confirmByQuorum = true;       ///< the age counts from a round that a quorum answered
  bool commitOnlyCurrentTerm = true; ///< older entries are committed only by a newer one
};

/// Settings of the core.
struct RaftOptions
{
  ReplicaRecord self; ///< addresses; the identity comes from the storage

  /// A follower that hears no leader for one to two times this span starts an election; a leader
  /// that hears no quorum for this span steps down.
  Duration electionTimeout = std::chrono::milliseconds(300);
  Duration heartbeatInterval = std::chrono::milliseconds(50);
  /// A voter that was not heard for this span is replaced by a learner that has caught up; zero:
  /// never. The voter may come back as a learner.
  Duration voterSilenceTimeout = Duration::zero();
  /// Learners become voters until the set has this many; 0: it keeps the size that it has.
  std::size_t targetVoterCount = 0;
  /// Takes the place of electionTimeout for the elections of a replica that has heard no leader
  /// since its start, so that a cluster of which all replicas restarted is led again soon. The
  /// pre-vote keeps such a replica from disturbing a leader.
  Duration firstElectionTimeout = std::chrono::milliseconds(100);

  std::size_t maxAppendBytes = 256U << 10U;     ///< data in one Append message
  std::uint64_t maxEntriesInFlight = 4096;      ///< entries sent to a replica and not yet answered
  std::size_t snapshotChunkBytes = 256U << 10U; ///< data in one Snapshot message
  std::uint64_t retainedEntries = 10'000; ///< kept in memory before a snapshot for slow replicas

  std::function<std::uint64_t()> random; ///< required; spreads the election timeouts
  RaftGuards guards;
};

/// The two clocks at one moment.
struct RaftTime
{
  TimePoint now;
  UnixMillis wall{};
};

/// Role of a replica. A learner is a follower that is not in the replica set.
enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// What the owner of the core has to do, in this order for the writes and any order for the rest.
struct RaftReady
{
  WriteBatch write;
  std::uint64_t writeNumber = 0;              ///< to be given to OnPersisted when `write` is synced
  std::vector<RaftMessage> messages;          ///< may be sent at once
  std::vector<RaftMessage> messagesAfterSync; ///< sent when this write and all before are synced
  SnapshotPtr restore;                        ///< replaces the state before `committed` is applied
  std::vector<LogEntry> committed;            ///< to be applied, in order

  [[nodiscard]] bool IsEmpty() const
  {
    return write.IsEmpty() && messages.empty() && messagesAfterSync.empty() && !restore &&
           committed.empty();
  }
};

/// Raft with pre-vote, check-quorum, snapshots, learners and joint consensus for replacements.
///
/// The core is driven by time and messages; after each call the owner takes what is ready, writes
/// it in order and reports each finished write. Not safe for use from several threads.
///
/// @par Example
/// @code
/// acp::RaftCore core(options, storage.Load().value(), now);
/// core.Tick(now);
/// acp::RaftReady ready = core.TakeReady(now);
/// // write ready.write, send ready.messages, then:
/// core.OnPersisted(ready.writeNumber);
/// @endcode
class RaftCore
{
public:
  RaftCore(RaftOptions options, StoredState state, TimePoint now);

  /// @brief Makes this replica one of the first voters of a new cluster. The set names the random
  /// identities of the voters, so a replica that lost its disk is never in it.
  /// @return ChangeRefused when it belongs to another cluster, has a log, or is not in the set
  ReplicationResult<void> Bootstrap(const Membership& membership, UnixMillis time);

  /// @brief Acts on the passing of time; to be called at least ten times per heartbeat interval.
  void Tick(const RaftTime& time);

  /// @brief Acts on a message. One that is not for this replica or its cluster is ignored.
  /// @throw std::logic_error when a leader contradicts a committed entry; the replica must stop
  void Step(const RaftMessage& message, const RaftTime& time);

  /// @brief Adds a command to the log.
  /// @return its position, or NotLeader
  ReplicationResult<LogPosition> Propose(std::string command, UnixMillis wall);

  /// @brief Starts to replace a voter by a learner that has caught up.
  /// @return the position of the first of two entries, NotLeader, or ChangeRefused
  ReplicationResult<LogPosition> Replace(const std::string& lostId,
                                         const std::string& newId,
                                         UnixMillis wall);

  /// @brief Starts the next change of the voters that this leader makes without an operator, one at
  /// a time: a learner that has caught up takes the place of a voter whose address it reports,
  /// which proves that the old identity is lost; or that of a voter that is silent; or is added to
  /// a set that is smaller than RaftOptions::targetVoterCount.
  /// @return the change, or nothing when there is none to make
  std::optional<VoterChange> MaintainVoters(const RaftTime& time);

  /// @brief Returns what has to be done since the last call.
  RaftReady TakeReady(TimePoint now);

  /// @brief Reports that the write @p number and all before it are synced.
  void OnPersisted(std::uint64_t number, const RaftTime& time);

  /// @brief Reports that the state machine has applied everything up to @p index.
  void OnApplied(std::uint64_t index);

  /// @brief Takes over @p state, which the state machine had after the applied entry at @p index.
  void Compact(std::uint64_t index, std::string state);

  /// @brief Returns when the last heartbeat round was sent that a quorum answered and whose
  /// committed entries are applied here; nothing when this replica does not lead.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const;

  /// @brief Returns when this replica began to lead; nothing before its first entry is applied.
  [[nodiscard]] std::optional<TimePoint> LeaderSince() const;

  /// @brief Returns the local state as operators see it.
  [[nodiscard]] ReplicaStatus Status() const;

  [[nodiscard]] RaftRole Role() const { return role_; }
  [[nodiscard]] std::uint64_t Term() const { return hardState_.term; }
  [[nodiscard]] std::uint64_t CommitIndex() const { return commitIndex_; }
  [[nodiscard]] const HardState& CurrentHardState() const { return hardState_; }

  /// @brief Returns the newest membership, committed or not.
  [[nodiscard]] const Membership& CurrentMembership() const { return log_.NewestMembership(); }

  /// @brief Returns the entry of the bootstrap, from which another replica of the set can start;
  /// nothing when it is not in memory.
  [[nodiscard]] std::optional<LogEntry> InitialEntry() const;

  /// @brief Returns whether the newest membership is committed and no replacement is under way.
  [[nodiscard]] bool IsMembershipStable() const;

  /// @brief Returns the learners that this leader sends the log to.
  [[nodiscard]] std::vector<ReplicaRecord> Learners() const;

private:
  /// What a leader knows of another replica.
  struct Progress
  {
    ReplicaRecord learner; ///< set for learners only
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    std::uint64_t ackedRound = 0; ///< newest heartbeat round answered
    TimePoint lastHeardAt;
    bool heartbeatDue = true;
    std::shared_ptr<const std::string> snapshot; ///< encoded, while it is sent
    LogPosition snapshotPosition;
    std::uint64_t snapshotOffset = 0;
    bool snapshotChunkDue = false;
    TimePoint snapshotSentAt;
  };
  struct HeartbeatRound
  {
    std::uint64_t number = 0;
    TimePoint sentAt;
    std::uint64_t readIndex = 0; ///< everything committed anywhere before sentAt
  };
  struct PendingWrite
  {
    std::uint64_t number = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t term = 0;
  };

  // Filters and roles.
  [[nodiscard]] bool AcceptsMessage(const RaftMessage& message) const;
  void AdoptCluster(const RaftMessage& message);
  void StepInTerm(const RaftMessage& message, const RaftTime& time);
  void BecomeFollower(std::uint64_t term, const std::string& leaderId, TimePoint now);
  void BecomeCandidate(const RaftTime& time);
  void BecomeLeader(const RaftTime& time);
  void StartPreVote(const RaftTime& time);
  void ResetElectionTimer(TimePoint now);
  void CountVotes(const RaftTime& time);
  [[nodiscard]] bool HasQuorum(const std::set<std::string>& ids) const;
  [[nodiscard]] bool IsUpToDate(const LogPosition& last) const;

  // Messages to followers and candidates.
  void StepPreVote(const RaftMessage& message, TimePoint now);
  void StepPreVoteReply(const RaftMessage& message, const RaftTime& time);
  void StepVote(const RaftMessage& message, TimePoint now);
  void StepVoteReply(const RaftMessage& message, const RaftTime& time);
  void StepAppend(const RaftMessage& message, TimePoint now);
  void StepSnapshot(const RaftMessage& message, TimePoint now);
  void StepStaleTerm(const RaftMessage& message);
  void FollowLeader(const RaftMessage& message, TimePoint now);
  std::uint64_t AppendReceivedEntries(const RaftMessage& message);
  bool InstallSnapshot(Snapshot snapshot);

  // Messages to leaders, and what leaders do.
  void StepAppendReply(const RaftMessage& message, const RaftTime& time);
  void StepSnapshotReply(const RaftMessage& message, const RaftTime& time);
  void StepJoin(const RaftMessage& message, TimePoint now);
  Progress* RecordReply(const RaftMessage& message, TimePoint now);
  void TickLeader(const RaftTime& time);
  void StartHeartbeatRound(TimePoint now);
  void SendAppends(TimePoint now);
  void SendAppend(const std::string& id, Progress& progress);
  void StartSnapshot(Progress& progress);
  [[nodiscard]] std::set<std::string> ReplicasMatching(
    const std::function<bool(const Progress&)>& condition,
    bool includeSelf) const;
  void SendSnapshotChunk(const std::string& id, Progress& progress, TimePoint now);
  void AdvanceCommit(UnixMillis wall);
  void TrackVoters(TimePoint now);

  // Changes of the set of voters.
  [[nodiscard]] ReplicationResult<void> CheckVoterChange(const std::string& learnerId) const;
  LogPosition BeginVoterChange(Membership next, const std::string& learnerId, UnixMillis wall);
  std::optional<VoterChange> ReplaceVoterWithLostDisk(const RaftTime& time);
  std::optional<VoterChange> ReplaceSilentVoter(const ReplicaRecord& learner, const RaftTime& time);
  std::optional<VoterChange> AddVoter(const ReplicaRecord& learner, const RaftTime& time);
  [[nodiscard]] const ReplicaRecord* ReachableLearner(TimePoint now) const;
  [[nodiscard]] Duration SilenceOf(const std::string& id, TimePoint now) const;

  LogPosition AppendAsLeader(EntryKind kind, std::string data, UnixMillis wall);
  [[nodiscard]] std::uint64_t ConfirmedRound() const;
  std::shared_ptr<const std::string> EncodedSnapshot();
  [[nodiscard]] std::uint64_t FirstIndexToKeep(std::uint64_t snapshotIndex) const;

  // Writes and messages out.
  void MarkUnwritten(std::uint64_t firstIndex);
  void ResetUnwrittenAfter(std::uint64_t index);
  void TruncatePersisted(std::uint64_t lastKept);
  void SetHardState(std::uint64_t term, const std::string& vote);
  [[nodiscard]] RaftMessage MakeMessage(MessageKind kind, const std::string& to) const;
  void Send(RaftMessage message) { messages_.push_back(std::move(message)); }
  void SendAfterSync(RaftMessage message);
  [[nodiscard]] std::set<std::string> OtherVoters() const;

  RaftOptions options_;
  HardState hardState_;
  detail::RaftLog log_;
  SnapshotPtr snapshot_;
  std::shared_ptr<const std::string> encodedSnapshot_;

  RaftRole role_ = RaftRole::Follower;
  std::string leaderId_;
  std::uint64_t commitIndex_ = 0;
  std::uint64_t deliveredIndex_ = 0;
  std::uint64_t appliedIndex_ = 0;
  TimePoint electionDeadline_;
  std::optional<TimePoint> leaderHeardAt_;
  std::set<std::string> votes_;

  // Leader only.
  std::map<std::string, Progress> progress_;
  std::deque<HeartbeatRound> heartbeatRounds_;
  std::uint64_t heartbeatRound_ = 0;
  std::uint64_t termStartIndex_ = 0;
  TimePoint leaderSince_;
  TimePoint nextHeartbeat_;

  // Snapshot being received.
  LogPosition incomingSnapshotPosition_;
  std::string incomingSnapshot_;

  // Output that TakeReady collects.
  std::optional<std::uint64_t> firstUnwritten_;
  bool hardStateChanged_ = false;
  SnapshotPtr snapshotToWrite_;
  bool resetLog_ = false;
  SnapshotPtr restore_;
  std::vector<RaftMessage> messages_;
  std::vector<RaftMessage> messagesAfterSync_;

  // Durable part.
  std::uint64_t writeNumber_ = 0;
  std::deque<PendingWrite> pendingWrites_;
  std::uint64_t persistedIndex_ = 0;
  std::uint64_t persistedTerm_ = 0;
  std::uint64_t voteWriteNumber_ = 0; ///< write that carries the vote for itself
};

} // namespace acp
