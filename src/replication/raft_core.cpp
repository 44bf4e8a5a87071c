#include "acaciapulley/replication/raft_core.hpp"

#include <algorithm> // max, min
#include <iterator>  // make_move_iterator
#include <utility>   // exchange, move

#include "acaciapulley/replication/detail/codec.hpp" // EncodeMembership

namespace acp {

using boost::outcome_v2::success;

RaftCore::RaftCore(RaftOptions options, StoredState state, TimePoint now)
  : options_(std::move(options))
  , hardState_(std::move(state.hardState))
  , log_(state.snapshot, std::move(state.entries))
  , snapshot_(state.snapshot)
  , restore_(state.snapshot)
{
  options_.self.id = hardState_.identity;
  commitIndex_ = log_.Base().index;
  deliveredIndex_ = commitIndex_;
  appliedIndex_ = commitIndex_;
  persistedIndex_ = log_.Last().index;
  if (hardState_.term < log_.Last().term) {
    // The hard state of the bootstrap was not written; its entry contains the cluster id and the
    // first term.
    hardState_.clusterId = log_.NewestMembership().clusterId;
    SetHardState(log_.Last().term, {});
  }
  persistedTerm_ = hardState_.term;
  ResetElectionTimer(now);
}

ReplicationResult<void> RaftCore::Bootstrap(const Membership& membership, UnixMillis time)
{
  const bool isSameCluster = hardState_.clusterId == membership.clusterId;
  if (isSameCluster && log_.Last().index != 0) {
    return success();
  }
  if (membership.clusterId.empty() || !membership.IsVoter(hardState_.identity)) {
    return Fail(ReplicationErrorCode::ChangeRefused,
                "replica " + hardState_.identity + " is not in the initial set");
  }
  if (!isSameCluster && (!hardState_.clusterId.empty() || log_.Last().index != 0)) {
    return Fail(ReplicationErrorCode::ChangeRefused,
                "replica " + hardState_.identity + " already belongs to a cluster");
  }
  // The hard state is written with the next vote. Until then the constructor derives it from the
  // entry, so that a crash cannot leave a replica with a cluster id but without the membership.
  hardState_.clusterId = membership.clusterId;
  hardState_.term = std::max<std::uint64_t>(hardState_.term, 1);
  LogEntry entry;
  entry.position = { .term = 1, .index = 1 };
  entry.time = time;
  entry.kind = EntryKind::Membership;
  entry.data = detail::EncodeMembership(membership);
  log_.Append(std::move(entry));
  MarkUnwritten(1);
  return success();
}

void RaftCore::Tick(const RaftTime& time)
{
  if (isRetired_) {
    return;
  }
  if (role_ == RaftRole::Leader) {
    TickLeader(time);
    return;
  }
  if (time.now < electionDeadline_) {
    return;
  }
  ResetElectionTimer(time.now);
  leaderId_.clear();
  // The membership in this log may differ from that of the leader: it was never committed, or it
  // was changed while this replica was unreachable. A leader that has this replica in its voter set
  // ignores the message. Without a recipient it is sent to every known address.
  RaftMessage join = MakeMessage(MessageKind::Join, {});
  join.sender = options_.self;
  Send(std::move(join));
  if (log_.NewestMembership().IsVoter(hardState_.identity)) {
    StartPreVote(time);
  }
}

void RaftCore::NotifyRetired(const RaftMessage& message)
{
  // Only requests of replicas that look for a leader or want to become one are answered.
  const bool asks = message.kind == MessageKind::Join || message.kind == MessageKind::PreVote ||
                    message.kind == MessageKind::Vote;
  if (asks && message.clusterId == hardState_.clusterId &&
      log_.MembershipAt(commitIndex_).IsRetired(message.from)) {
    Send(MakeMessage(MessageKind::Retired, message.from));
  }
}

void RaftCore::StepRetired(const RaftMessage& message)
{
  // A change that is not committed can still be dropped, so the sender has one that is. The voters
  // do without the disk of this replica by now.
  if (message.to != hardState_.identity) {
    return;
  }
  role_ = RaftRole::Follower;
  leaderId_.clear();
  hardState_.identity = NewIdentity();
  SetHardState(hardState_.term, {});
  isRetired_ = true;
}

bool RaftCore::IsRetired() const
{
  return isRetired_ && !hardStateChanged_ && pendingWrites_.empty();
}

bool RaftCore::AcceptsMessage(const RaftMessage& message) const
{
  if (!message.to.empty() && message.to != hardState_.identity) {
    return false; // sent to a replica that had this address before
  }
  if (message.from.empty() || message.from == hardState_.identity) {
    return false;
  }
  if (log_.NewestMembership().IsRetired(message.from)) {
    return false;
  }
  if (hardState_.clusterId.empty()) {
    return message.kind == MessageKind::Append || message.kind == MessageKind::Snapshot ||
           !options_.guards.noVoteWithoutCluster;
  }
  if (message.clusterId.empty()) {
    return message.kind == MessageKind::Join;
  }
  return message.clusterId == hardState_.clusterId;
}

void RaftCore::AdoptCluster(const RaftMessage& message)
{
  if (hardState_.clusterId.empty()) {
    hardState_.clusterId = message.clusterId;
    hardStateChanged_ = true;
  }
}

void RaftCore::Step(const RaftMessage& message, const RaftTime& time)
{
  if (isRetired_) {
    return;
  }
  NotifyRetired(message);
  if (!AcceptsMessage(message)) {
    return;
  }
  AdoptCluster(message);
  switch (message.kind) {
    case MessageKind::Retired:
      StepRetired(message);
      return;
    case MessageKind::Join:
      StepJoin(message, time.now);
      return;
    case MessageKind::PreVote:
      StepPreVote(message, time.now);
      return;
    case MessageKind::PreVoteReply:
      StepPreVoteReply(message, time);
      return;
    default:
      break;
  }
  if (message.term < hardState_.term) {
    StepStaleTerm(message);
    return;
  }
  if (message.term > hardState_.term) {
    BecomeFollower(message.term, {}, time.now);
  }
  StepInTerm(message, time);
}

void RaftCore::StepInTerm(const RaftMessage& message, const RaftTime& time)
{
  switch (message.kind) {
    case MessageKind::Vote:
      StepVote(message, time.now);
      break;
    case MessageKind::VoteReply:
      StepVoteReply(message, time);
      break;
    case MessageKind::Append:
      StepAppend(message, time.now);
      break;
    case MessageKind::AppendReply:
      StepAppendReply(message, time);
      break;
    case MessageKind::Snapshot:
      StepSnapshot(message, time.now);
      break;
    case MessageKind::SnapshotReply:
      StepSnapshotReply(message, time);
      break;
    default:
      break;
  }
}

void RaftCore::StepStaleTerm(const RaftMessage& message)
{
  // The reply contains the newer term, so that the sender stops being leader or candidate.
  if (message.kind == MessageKind::Vote) {
    SendAfterSync(MakeMessage(MessageKind::VoteReply, message.from));
  } else if (message.kind == MessageKind::Append || message.kind == MessageKind::Snapshot) {
    SendAfterSync(MakeMessage(MessageKind::AppendReply, message.from));
  }
}

RaftReady RaftCore::TakeReady(TimePoint now)
{
  if (role_ == RaftRole::Leader) {
    SendAppends(now);
  }
  RaftReady ready;
  if (hardStateChanged_) {
    ready.write.hardState = hardState_;
    hardStateChanged_ = false;
  }
  ready.write.snapshot = std::exchange(snapshotToWrite_, nullptr);
  ready.write.resetLog = std::exchange(resetLog_, false);
  if (firstUnwritten_) {
    for (std::uint64_t i = std::max(*firstUnwritten_, log_.Base().index + 1);
         i <= log_.Last().index;
         ++i) {
      ready.write.entries.push_back(log_.At(i));
    }
    firstUnwritten_.reset();
  }
  if (!ready.write.IsEmpty()) {
    ++writeNumber_;
    pendingWrites_.push_back({ writeNumber_, log_.Last().index, hardState_.term });
  }
  ready.writeNumber = writeNumber_;
  ready.messages = std::exchange(messages_, {});
  ready.messagesAfterSync = std::exchange(messagesAfterSync_, {});
  if (pendingWrites_.empty()) {
    ready.messages.insert(ready.messages.end(),
                          std::make_move_iterator(ready.messagesAfterSync.begin()),
                          std::make_move_iterator(ready.messagesAfterSync.end()));
    ready.messagesAfterSync.clear();
  }
  ready.restore = std::exchange(restore_, nullptr);
  while (deliveredIndex_ < commitIndex_) {
    ready.committed.push_back(log_.At(++deliveredIndex_));
  }
  return ready;
}

void RaftCore::OnPersisted(std::uint64_t number, const RaftTime& time)
{
  while (!pendingWrites_.empty() && pendingWrites_.front().number <= number) {
    persistedIndex_ = pendingWrites_.front().lastIndex;
    persistedTerm_ = pendingWrites_.front().term;
    pendingWrites_.pop_front();
  }
  if (role_ == RaftRole::Candidate && number >= voteWriteNumber_) {
    votes_.insert(hardState_.identity);
    CountVotes(time);
  }
  if (role_ == RaftRole::Leader) {
    AdvanceCommit(time.wall);
  }
}

void RaftCore::OnApplied(std::uint64_t index)
{
  appliedIndex_ = std::max(appliedIndex_, index);
}

void RaftCore::Compact(std::uint64_t index, std::string state)
{
  const std::uint64_t covered = snapshot_ ? snapshot_->position.index : 0;
  if (index <= covered || index <= log_.Base().index || index > deliveredIndex_) {
    return;
  }
  const LogEntry& last = log_.At(index);
  snapshot_ = std::make_shared<const Snapshot>(Snapshot{ .position = last.position,
                                                         .time = last.time,
                                                         .membership = log_.MembershipAt(index),
                                                         .state = std::move(state) });
  encodedSnapshot_.reset();
  snapshotToWrite_ = snapshot_;
  log_.Compact(FirstIndexToKeep(index) - 1);
}

void RaftCore::MarkUnwritten(std::uint64_t firstIndex)
{
  firstUnwritten_ = std::min(firstUnwritten_.value_or(firstIndex), firstIndex);
}

void RaftCore::ResetUnwrittenAfter(std::uint64_t index)
{
  firstUnwritten_.reset();
  if (log_.Last().index > index) {
    MarkUnwritten(index + 1);
  }
}

void RaftCore::TruncatePersisted(std::uint64_t lastKept)
{
  persistedIndex_ = std::min(persistedIndex_, lastKept);
  for (auto& write : pendingWrites_) {
    write.lastIndex = std::min(write.lastIndex, lastKept);
  }
}

void RaftCore::SetHardState(std::uint64_t term, const std::string& vote)
{
  hardState_.term = term;
  hardState_.vote = vote;
  hardStateChanged_ = true;
}

RaftMessage RaftCore::MakeMessage(MessageKind kind, const std::string& to) const
{
  RaftMessage message;
  message.kind = kind;
  message.clusterId = hardState_.clusterId;
  message.from = hardState_.identity;
  message.to = to;
  message.term = hardState_.term;
  return message;
}

void RaftCore::SendAfterSync(RaftMessage message)
{
  if (options_.guards.syncBeforeReply) {
    messagesAfterSync_.push_back(std::move(message));
  } else {
    messages_.push_back(std::move(message));
  }
}

std::set<std::string> RaftCore::OtherVoters() const
{
  std::set<std::string> ids;
  for (const auto* group :
       { &log_.NewestMembership().voters, &log_.NewestMembership().oldVoters }) {
    for (const auto& replica : *group) {
      ids.insert(replica.id);
    }
  }
  ids.erase(hardState_.identity);
  return ids;
}

bool RaftCore::HasQuorum(const std::set<std::string>& ids) const
{
  return log_.NewestMembership().HasQuorum(ids);
}

std::optional<LogEntry> RaftCore::InitialEntry() const
{
  if (log_.Base().index != 0 || log_.Last().index == 0) {
    return std::nullopt;
  }
  return log_.At(1);
}

bool RaftCore::IsMembershipStable() const
{
  return log_.NewestMembershipIndex() <= commitIndex_ && log_.NewestMembership().oldVoters.empty();
}

ReplicaStatus RaftCore::Status() const
{
  ReplicaStatus status;
  status.isLeader = role_ == RaftRole::Leader;
  status.leaderId = leaderId_;
  status.term = hardState_.term;
  status.commitIndex = commitIndex_;
  status.appliedIndex = appliedIndex_;
  status.lastIndex = log_.Last().index;
  status.logBytes = log_.BytesBetween(0, status.lastIndex);
  const auto add = [&](const ReplicaRecord& replica, bool isVoter) {
    ReplicaInfo info;
    info.id = replica.id;
    info.rpcAddress = replica.rpcAddress;
    info.operatorAddress = replica.operatorAddress;
    info.isVoter = isVoter;
    info.isSelf = replica.id == hardState_.identity;
    const auto found = progress_.find(replica.id);
    info.matchIndex = found != progress_.end() ? found->second.matchIndex : 0;
    if (info.isSelf && status.isLeader) {
      info.matchIndex = persistedIndex_;
    }
    if (replica.id == leaderId_) {
      status.leaderRpcAddress = replica.rpcAddress;
      status.leaderOperatorAddress = replica.operatorAddress;
    }
    status.replicas.push_back(std::move(info));
  };
  for (const auto& voter : log_.NewestMembership().voters) {
    add(voter, true);
  }
  for (const auto& learner : Learners()) {
    add(learner, false);
  }
  if (!log_.NewestMembership().IsVoter(hardState_.identity)) {
    add(options_.self, false);
  }
  return status;
}

} // namespace acp
