#include <algorithm>  // clamp, max, min
#include <functional> // greater
#include <iterator>   // next
#include <set>        // set
#include <utility>    // move

#include "acaciapulley/replication/detail/codec.hpp" // EncodeMembership, EncodeSnapshot
#include "acaciapulley/replication/raft_core.hpp"

namespace acp {

namespace {

/// A learner that has been silent for this long is removed; it sends Join again when it is back.
constexpr Duration kLearnerTimeout = std::chrono::seconds(10);

/// A reachable replica that receives a snapshot must find the entries after it once the transfer is
/// complete, however quickly further snapshots are taken. These factors, applied to
/// RaftOptions::retainedEntries and RaftOptions::retainedBytes, limit the memory that this takes.
constexpr std::uint64_t kMaxRetainedFactor = 20;
constexpr std::uint64_t kMaxRetainedBytesFactor = 4;

/// Heartbeat rounds that can wait for a quorum: those of 12 s at the default interval, far longer
/// than a leader remains leader without a quorum.
constexpr std::size_t kMaxPendingRounds = 256;

} // namespace

void RaftCore::BecomeLeader(const RaftTime& time)
{
  role_ = RaftRole::Leader;
  leaderId_ = hardState_.identity;
  leaderSince_ = time.now;
  progress_.clear();
  heartbeatRounds_.clear();
  TrackVoters(time.now);
  termStartIndex_ = AppendAsLeader(EntryKind::Noop, {}, time.wall).index;
  StartHeartbeatRound(time.now);
}

void RaftCore::TrackVoters(TimePoint now)
{
  for (const auto& id : OtherVoters()) {
    const auto [found, isNew] = progress_.try_emplace(id);
    if (isNew) {
      found->second.nextIndex = log_.Last().index + 1;
      found->second.knownSinceRound = heartbeatRound_;
      found->second.lastHeardAt = now;
    }
  }
}

LogPosition RaftCore::AppendAsLeader(EntryKind kind, std::string data, UnixMillis wall)
{
  LogEntry entry;
  entry.position = { .term = hardState_.term, .index = log_.Last().index + 1 };
  entry.time = std::max(wall, log_.LastTime());
  entry.kind = kind;
  entry.data = std::move(data);
  const LogPosition position = entry.position;
  log_.Append(std::move(entry));
  MarkUnwritten(position.index);
  return position;
}

ReplicationResult<LogPosition> RaftCore::Propose(std::string command, UnixMillis wall)
{
  if (role_ != RaftRole::Leader) {
    return Fail(ReplicationErrorCode::NotLeader,
                "replica " + hardState_.identity + " does not lead");
  }
  return AppendAsLeader(EntryKind::Command, std::move(command), wall);
}

void RaftCore::AdvanceCommit(UnixMillis wall)
{
  const std::uint64_t ownIndex =
    options_.guards.syncBeforeReply ? persistedIndex_ : log_.Last().index;
  std::set<std::uint64_t, std::greater<>> candidates = { ownIndex };
  for (const auto& [id, progress] : progress_) {
    candidates.insert(progress.matchIndex);
  }
  for (const std::uint64_t index : candidates) {
    if (index <= commitIndex_) {
      break;
    }
    // An entry of an older term can be replaced even if a majority has it.
    if (options_.guards.commitOnlyCurrentTerm && log_.TermAt(index) != hardState_.term) {
      break;
    }
    const auto holders = ReplicasMatching(
      [&](const Progress& progress) { return progress.matchIndex >= index; }, ownIndex >= index);
    if (HasQuorum(holders)) {
      commitIndex_ = index;
      break;
    }
  }
  const Membership& newest = log_.NewestMembership();
  if (!newest.oldVoters.empty() && log_.NewestMembershipIndex() <= commitIndex_) {
    const Membership nextMembership = newest.AfterJointConsensus();
    for (const auto& old : newest.oldVoters) {
      if (!nextMembership.IsVoter(old.id)) {
        progress_.erase(old.id);
      }
    }
    AppendAsLeader(EntryKind::Membership, detail::EncodeMembership(nextMembership), wall);
  }
}

std::set<std::string> RaftCore::ReplicasMatching(
  const std::function<bool(const Progress&)>& condition,
  bool includeSelf) const
{
  std::set<std::string> ids;
  if (includeSelf) {
    ids.insert(hardState_.identity);
  }
  for (const auto& [id, progress] : progress_) {
    if (condition(progress)) {
      ids.insert(id);
    }
  }
  return ids;
}

void RaftCore::TickLeader(const RaftTime& time)
{
  const auto reachable = ReplicasMatching(
    [&](const Progress& progress) {
      return time.now - progress.lastHeardAt < options_.electionTimeout;
    },
    true);
  if (!HasQuorum(reachable)) {
    BecomeFollower(hardState_.term, {}, time.now);
    return;
  }
  for (auto i = progress_.begin(); i != progress_.end();) {
    const bool isGone =
      !i->second.learner.id.empty() && time.now - i->second.lastHeardAt > kLearnerTimeout;
    i = isGone ? progress_.erase(i) : std::next(i);
  }
  if (time.now >= nextHeartbeat_) {
    StartHeartbeatRound(time.now);
  }
}

void RaftCore::StartHeartbeatRound(TimePoint now)
{
  nextHeartbeat_ = now + options_.heartbeatInterval;
  heartbeatRounds_.push_back({ ++heartbeatRound_, now, std::max(commitIndex_, termStartIndex_) });
  if (heartbeatRounds_.size() > kMaxPendingRounds) {
    heartbeatRounds_.pop_front();
  }
  for (auto& [id, progress] : progress_) {
    progress.heartbeatDue = true;
    if (progress.snapshot && now - progress.snapshotSentAt > options_.electionTimeout) {
      progress.snapshotChunkDue = true;
    }
  }
}

void RaftCore::SendAppends(TimePoint now)
{
  for (auto& [id, progress] : progress_) {
    if (!progress.snapshot && !log_.TermAt(progress.nextIndex - 1)) {
      StartSnapshot(progress);
    }
    if (progress.snapshot) {
      if (progress.snapshotChunkDue) {
        SendSnapshotChunk(id, progress, now);
      }
      if (progress.heartbeatDue) {
        SendAppend(id, progress);
      }
      continue;
    }
    while (progress.heartbeatDue ||
           (progress.nextIndex <= log_.Last().index && MayHaveMoreInFlight(progress))) {
      SendAppend(id, progress);
    }
  }
}

bool RaftCore::MayHaveMoreInFlight(const Progress& progress) const
{
  return progress.nextIndex - progress.matchIndex <= options_.maxEntriesInFlight &&
         log_.BytesBetween(progress.matchIndex, progress.nextIndex - 1) < options_.maxBytesInFlight;
}

void RaftCore::SendAppend(const std::string& id, Progress& progress)
{
  RaftMessage message = MakeMessage(MessageKind::Append, id);
  message.commitIndex = commitIndex_;
  message.round = heartbeatRound_;
  if (!progress.snapshot) {
    const std::uint64_t before = progress.nextIndex - 1;
    message.position = { .term = *log_.TermAt(before), .index = before };
    if (MayHaveMoreInFlight(progress)) {
      message.entries = log_.Slice(progress.nextIndex, options_.maxAppendBytes);
    }
    progress.nextIndex += message.entries.size();
  }
  progress.heartbeatDue = false;
  Send(std::move(message));
}

void RaftCore::StartSnapshot(Progress& progress)
{
  progress.snapshot = EncodedSnapshot();
  progress.snapshotPosition = snapshot_->position;
  progress.snapshotOffset = 0;
  progress.snapshotChunkDue = true;
}

std::uint64_t RaftCore::FirstIndexToKeep(std::uint64_t snapshotIndex) const
{
  const auto firstOfLast = [&](std::uint64_t count, std::uint64_t bytes) {
    return std::max(snapshotIndex > count ? snapshotIndex - count + 1 : 1,
                    log_.FirstIndexWithin(bytes, snapshotIndex));
  };
  std::uint64_t first = firstOfLast(options_.retainedEntries, options_.retainedBytes);
  for (const auto& [id, progress] : progress_) {
    if (nextHeartbeat_ - progress.lastHeardAt < options_.electionTimeout) {
      const std::uint64_t receivedIndex =
        progress.snapshot ? progress.snapshotPosition.index : progress.matchIndex;
      first = std::min(first, receivedIndex + 1);
    }
  }
  return std::max(first,
                  firstOfLast(options_.retainedEntries * kMaxRetainedFactor,
                              options_.retainedBytes * kMaxRetainedBytesFactor));
}

std::shared_ptr<const std::string> RaftCore::EncodedSnapshot()
{
  if (!encodedSnapshot_) {
    encodedSnapshot_ = std::make_shared<const std::string>(detail::EncodeSnapshot(*snapshot_));
  }
  return encodedSnapshot_;
}

void RaftCore::SendSnapshotChunk(const std::string& id, Progress& progress, TimePoint now)
{
  RaftMessage message = MakeMessage(MessageKind::Snapshot, id);
  message.position = progress.snapshotPosition;
  message.round = heartbeatRound_;
  message.offset = progress.snapshotOffset;
  message.data = progress.snapshot->substr(progress.snapshotOffset, options_.snapshotChunkBytes);
  message.isLast = message.offset + message.data.size() == progress.snapshot->size();
  progress.snapshotChunkDue = false;
  progress.snapshotSentAt = now;
  Send(std::move(message));
}

RaftCore::Progress* RaftCore::RecordReply(const RaftMessage& message, TimePoint now)
{
  const auto found = progress_.find(message.from);
  if (role_ != RaftRole::Leader || found == progress_.end()) {
    return nullptr;
  }
  found->second.lastHeardAt = now;
  found->second.ackedRound = std::max(found->second.ackedRound, message.round);
  return &found->second;
}

void RaftCore::StepAppendReply(const RaftMessage& message, const RaftTime& time)
{
  Progress* progress = RecordReply(message, time.now);
  if (progress == nullptr || message.matchIndex > log_.Last().index + 1) {
    return;
  }
  if (!message.accepted) {
    // Several messages may have been in flight; the reply to a later one must not increase
    // nextIndex after a rejection has reduced it.
    const std::uint64_t next =
      std::clamp(message.matchIndex, progress->matchIndex + 1, log_.Last().index + 1);
    progress->nextIndex = std::min(progress->nextIndex, next);
    return;
  }
  progress->matchIndex = std::max(progress->matchIndex, message.matchIndex);
  progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
  AdvanceCommit(time.wall);
}

void RaftCore::StepSnapshotReply(const RaftMessage& message, const RaftTime& time)
{
  Progress* progress = RecordReply(message, time.now);
  if (progress == nullptr || !progress->snapshot ||
      message.position != progress->snapshotPosition) {
    return;
  }
  if (!message.accepted) {
    progress->snapshotOffset = std::min<std::uint64_t>(message.offset, progress->snapshot->size());
    progress->snapshotChunkDue = true;
    return;
  }
  progress->snapshot.reset();
  progress->matchIndex = std::max(progress->matchIndex, message.position.index);
  progress->nextIndex = progress->matchIndex + 1;
  AdvanceCommit(time.wall);
}

void RaftCore::StepJoin(const RaftMessage& message, TimePoint now)
{
  if (role_ != RaftRole::Leader) {
    // The sender may know only the addresses of followers.
    if (message.to.empty() && !leaderId_.empty() && leaderId_ != message.from) {
      RaftMessage forwarded = message;
      forwarded.to = leaderId_;
      Send(std::move(forwarded));
    }
    return;
  }
  if (message.sender.id != message.from || log_.NewestMembership().IsVoter(message.from)) {
    return;
  }
  const auto [found, isNew] = progress_.try_emplace(message.from);
  Progress& progress = found->second;
  progress.learner = message.sender;
  if (isNew) {
    progress.nextIndex = log_.Last().index + 1;
    progress.knownSinceRound = heartbeatRound_;
    progress.lastHeardAt = now;
  }
}

std::uint64_t RaftCore::ConfirmedRound() const
{
  std::set<std::uint64_t, std::greater<>> candidates = { heartbeatRound_ };
  for (const auto& [id, progress] : progress_) {
    candidates.insert(progress.ackedRound);
  }
  for (const std::uint64_t round : candidates) {
    const auto answered = ReplicasMatching(
      [&](const Progress& progress) { return progress.ackedRound >= round; }, true);
    if (HasQuorum(answered) || !options_.guards.confirmByQuorum) {
      return round;
    }
  }
  return 0;
}

std::optional<TimePoint> RaftCore::ConfirmedAt() const
{
  if (role_ != RaftRole::Leader) {
    return std::nullopt;
  }
  const std::uint64_t confirmed = ConfirmedRound();
  for (auto round = heartbeatRounds_.rbegin(); round != heartbeatRounds_.rend(); ++round) {
    if (round->number <= confirmed && round->readIndex <= appliedIndex_) {
      return round->sentAt;
    }
  }
  return std::nullopt;
}

std::optional<TimePoint> RaftCore::LeaderSince() const
{
  if (role_ != RaftRole::Leader || appliedIndex_ < termStartIndex_) {
    return std::nullopt;
  }
  return leaderSince_;
}

std::vector<ReplicaRecord> RaftCore::Learners() const
{
  std::vector<ReplicaRecord> learners;
  for (const auto& [id, progress] : progress_) {
    if (!progress.learner.id.empty()) {
      learners.push_back(progress.learner);
    }
  }
  return learners;
}

} // namespace acp
