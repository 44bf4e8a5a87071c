#pragma once

/// @file
/// The Raft protocol without sockets, threads or disk access.

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

/// Safety rules of the protocol. Only tests disable one, to show that the fault schedules detect
/// that it is missing.
struct RaftGuards
{
  bool voteOnlyWhenUpToDate = true;  ///< votes only for a log that is at least as up to date
  bool syncBeforeReply = true;       ///< replies wait until the state they report is synced
  bool noVoteWithoutCluster = true;  ///< a replica that has never been in a cluster does not vote
  bool confirmByQuorum = true;       ///< only a round that a quorum answered is confirmed
  bool commitOnlyCurrentTerm = true; ///< older entries are committed only by one of this term
};

/// Settings of RaftCore.
struct RaftOptions
{
  ReplicaRecord self; ///< addresses only; the identity comes from the storage

  /// A follower that hears from no leader for one to two times this duration starts an election; a
  /// leader that does not hear from a quorum for this duration steps down.
  Duration electionTimeout = std::chrono::milliseconds(300);
  Duration heartbeatInterval = std::chrono::milliseconds(50);
  /// A voter that has been silent for this duration is replaced by a learner that has caught up;
  /// zero disables this. The voter may rejoin as a learner.
  Duration voterSilenceTimeout = Duration::zero();
  /// Learners become voters until the voter set has this size; 0 keeps the current size.
  std::size_t targetVoterCount = 0;
  /// Used instead of electionTimeout while a replica has not heard from a leader since its start,
  /// so that a cluster whose replicas have all restarted elects a leader quickly. The pre-vote
  /// prevents such a replica from disrupting an existing leader.
  Duration firstElectionTimeout = std::chrono::milliseconds(100);

  std::size_t maxAppendBytes = 256U << 10U;     ///< data in one Append message
  std::uint64_t maxEntriesInFlight = 4096;      ///< entries sent to a replica but not acknowledged
  std::uint64_t maxBytesInFlight = 8U << 20U;   ///< their memory in bytes, or one entry
  std::size_t snapshotChunkBytes = 256U << 10U; ///< data in one Snapshot message
  std::uint64_t retainedEntries = 10'000;   ///< kept in memory before a snapshot, for slow replicas
  std::uint64_t retainedBytes = 16U << 20U; ///< memory of these entries in bytes

  std::function<std::uint64_t()> random; ///< required; randomises the election timeouts
  RaftGuards guards;
};

/// Monotonic and wall clock, read at the same moment.
struct RaftTime
{
  TimePoint now;
  UnixMillis wall{};
};

/// Role of a replica. A learner is a follower that is not in the voter set.
enum class RaftRole
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// Work for the owner of the core. Writes must be performed in order; the rest may be done in any
/// order.
struct RaftReady
{
  WriteBatch write;
  std::uint64_t writeNumber = 0;              ///< passed to OnPersisted once `write` is synced
  std::vector<RaftMessage> messages;          ///< can be sent immediately
  std::vector<RaftMessage> messagesAfterSync; ///< sent once this and all earlier writes are synced
  SnapshotPtr restore;                        ///< to be restored before `committed` is applied
  std::vector<LogEntry> committed;            ///< to be applied, in order

  [[nodiscard]] bool IsEmpty() const
  {
    return write.IsEmpty() && messages.empty() && messagesAfterSync.empty() && !restore &&
           committed.empty();
  }
};

/// Raft with pre-vote, check-quorum, snapshots, learners and joint consensus for changes of the
/// voter set.
///
/// The core is driven by ticks and messages. After each call the owner collects the resulting work
/// with TakeReady, performs the writes in order and reports each completed write. Not thread-safe.
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

  /// @brief Makes this replica one of the initial voters of a new cluster. @p membership lists the
  /// random identities of the voters, so a replica that lost its disk is never in it.
  /// @return ChangeRefused if the replica belongs to another cluster, has a log, or is not in the
  /// set
  ReplicationResult<void> Bootstrap(const Membership& membership, UnixMillis time);

  /// @brief Handles elections, heartbeats and timeouts that are due. Must be called at least ten
  /// times per heartbeat interval.
  void Tick(const RaftTime& time);

  /// @brief Handles a message. Messages for other replicas or clusters are ignored.
  /// @throw std::logic_error if a leader sends an entry that conflicts with a committed one; the
  /// replica must stop
  void Step(const RaftMessage& message, const RaftTime& time);

  /// @brief Appends a command to the log.
  /// @return its position, or NotLeader
  ReplicationResult<LogPosition> Propose(std::string command, UnixMillis wall);

  /// @brief Starts to replace a voter with a learner that has caught up.
  /// @return the position of the first of two membership entries, NotLeader, or ChangeRefused
  ReplicationResult<LogPosition> Replace(const std::string& lostId,
                                         const std::string& newId,
                                         UnixMillis wall);

  /// @brief Starts the next automatic change of the membership, one at a time. Of two identities at
  /// one address, the one that is proved to be the later one stays: a learner of the earlier one is
  /// retired, and a voter of the earlier one is replaced once the later one has caught up. A
  /// learner that has caught up also replaces a silent voter, and is added if the set is smaller
  /// than RaftOptions::targetVoterCount. Only learners that answer become voters.
  /// @return the change, or nothing if none is needed or possible
  std::optional<VoterChange> MaintainVoters(const RaftTime& time);

  /// @brief Returns the work that has accumulated since the last call.
  RaftReady TakeReady(TimePoint now);

  /// @brief Reports that write @p number and all earlier writes are synced.
  void OnPersisted(std::uint64_t number, const RaftTime& time);

  /// @brief Reports that the state machine has applied everything up to @p index.
  void OnApplied(std::uint64_t index);

  /// @brief Makes @p state, the state after the applied entry at @p index, the current snapshot and
  /// compacts the log.
  void Compact(std::uint64_t index, std::string state);

  /// @brief Returns when the newest heartbeat round was sent that a quorum has answered and whose
  /// committed entries are applied here; nothing if this replica is not the leader or no round
  /// qualifies.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt() const;

  /// @brief Returns when this replica became leader; nothing if it is not the leader or the first
  /// entry of its term is not applied yet.
  [[nodiscard]] std::optional<TimePoint> LeaderSince() const;

  /// @brief Returns the local state for operators.
  [[nodiscard]] ReplicaStatus Status() const;

  /// @brief Returns whether this replica has been told that its identity was replaced, and has
  /// stored a new one, under which it can join again after a restart. It no longer takes part.
  [[nodiscard]] bool IsRetired() const;

  [[nodiscard]] RaftRole Role() const { return role_; }
  [[nodiscard]] std::uint64_t Term() const { return hardState_.term; }
  [[nodiscard]] std::uint64_t CommitIndex() const { return commitIndex_; }
  [[nodiscard]] const HardState& CurrentHardState() const { return hardState_; }

  /// @brief Returns the newest membership, committed or not.
  [[nodiscard]] const Membership& CurrentMembership() const { return log_.NewestMembership(); }

  /// @brief Returns the bootstrap entry, from which another initial voter can start; nothing if it
  /// is not in memory.
  [[nodiscard]] std::optional<LogEntry> InitialEntry() const;

  /// @brief Returns whether the newest membership is committed and not a joint membership.
  [[nodiscard]] bool IsMembershipStable() const;

  /// @brief Returns the learners to which this leader replicates the log.
  [[nodiscard]] std::vector<ReplicaRecord> Learners() const;

private:
  /// Replication state of another replica, as known to the leader.
  struct Progress
  {
    ReplicaRecord learner; ///< set for learners only
    std::uint64_t matchIndex = 0;
    std::uint64_t nextIndex = 1;
    std::uint64_t ackedRound = 0; ///< newest heartbeat round that it answered
    /// Newest heartbeat round when this leader learned of the replica. An answer to a later round
    /// proves that the replica existed after that moment; a message that arrives late does not.
    std::uint64_t knownSinceRound = 0;
    TimePoint lastHeardAt;

    [[nodiscard]] bool HasAnswered() const { return ackedRound > knownSinceRound; }
    /// Returns whether this replica existed after @p other was known, and not the other way round.
    /// At one address it is then the later one.
    [[nodiscard]] bool IsLaterThan(const Progress& other) const
    {
      return ackedRound > other.knownSinceRound && other.ackedRound <= knownSinceRound;
    }
    bool heartbeatDue = true;
    std::shared_ptr<const std::string> snapshot; ///< encoded; set while it is being sent
    LogPosition snapshotPosition;
    std::uint64_t snapshotOffset = 0;
    bool snapshotChunkDue = false;
    TimePoint snapshotSentAt;
  };
  struct HeartbeatRound
  {
    std::uint64_t number = 0;
    TimePoint sentAt;
    std::uint64_t readIndex = 0; ///< covers all entries committed on any replica before sentAt
  };
  struct PendingWrite
  {
    std::uint64_t number = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t term = 0;
  };

  // Message filter and roles.
  [[nodiscard]] bool AcceptsMessage(const RaftMessage& message) const;
  void AdoptCluster(const RaftMessage& message);
  void NotifyRetired(const RaftMessage& message);
  void StepRetired(const RaftMessage& message);
  void StepInTerm(const RaftMessage& message, const RaftTime& time);
  void BecomeFollower(std::uint64_t term, const std::string& leaderId, TimePoint now);
  void BecomeCandidate(const RaftTime& time);
  void BecomeLeader(const RaftTime& time);
  void StartPreVote(const RaftTime& time);
  void ResetElectionTimer(TimePoint now);
  void CountVotes(const RaftTime& time);
  [[nodiscard]] bool HasQuorum(const std::set<std::string>& ids) const;
  [[nodiscard]] bool IsUpToDate(const LogPosition& last) const;

  // Handlers of messages to followers and candidates.
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

  // Handlers of messages to leaders, and replication by the leader.
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

  // Changes of the voter set.
  [[nodiscard]] ReplicationResult<void> CheckVoterChange(const std::string& learnerId) const;
  LogPosition BeginVoterChange(Membership next, const std::string& learnerId, UnixMillis wall);
  std::optional<VoterChange> RetireReplacedLearner(const RaftTime& time);
  std::optional<VoterChange> ReplaceVoterWithLostDisk(const RaftTime& time);
  std::optional<VoterChange> ReplaceSilentVoter(const ReplicaRecord& learner, const RaftTime& time);
  std::optional<VoterChange> AddVoter(const ReplicaRecord& learner, const RaftTime& time);
  [[nodiscard]] const ReplicaRecord* ReachableLearner(TimePoint now) const;
  [[nodiscard]] bool IsReachableLearner(const std::string& id, TimePoint now) const;
  /// Returns the address of the voter or learner @p id, empty if it is neither.
  [[nodiscard]] std::string AddressOf(const std::string& id) const;
  [[nodiscard]] Duration SilenceOf(const std::string& id, TimePoint now) const;

  LogPosition AppendAsLeader(EntryKind kind, std::string data, UnixMillis wall);
  [[nodiscard]] std::uint64_t ConfirmedRound() const;
  std::shared_ptr<const std::string> EncodedSnapshot();
  [[nodiscard]] std::uint64_t FirstIndexToKeep(std::uint64_t snapshotIndex) const;
  /// Returns whether another Append with entries may be sent before the ones in flight are
  /// acknowledged.
  [[nodiscard]] bool MayHaveMoreInFlight(const Progress& progress) const;

  // Pending writes and outgoing messages.
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

  // Progress of the writes.
  std::uint64_t writeNumber_ = 0;
  std::deque<PendingWrite> pendingWrites_;
  std::uint64_t persistedIndex_ = 0;
  std::uint64_t persistedTerm_ = 0;
  std::uint64_t voteWriteNumber_ = 0; ///< write that contains the vote for itself
  bool isRetired_ = false;            ///< the hard state has a new identity
};

} // namespace acp
