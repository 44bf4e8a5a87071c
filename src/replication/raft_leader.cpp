#include <algorithm>  // clamp, max, min
#include <functional> // greater
#include <iterator>   // next
#include <set>        // set
#include <utility>    // move

#include "acaciapulley/replication/detail/codec.hpp" // EncodeMembership, EncodeSnapshot
#include "acaciapulley/replication/raft_core.hpp"

namespace acp {

namespace {

/// A learner that has not been heard for this long is forgotten; it asks again when it is back.
constexpr Duration kLearnerTimeout = std::chrono::seconds(10);

/// A replica that is sent a snapshot and can be reached must find the entries after it when it is
/// done, however fast snapshots follow each other. The bound limits the memory this takes.
constexpr std::uint64_t kMaxKeptFactor = 20;

/// Rounds that wait for a quorum; at the default interval those of 12 s, far longer than a leader
/// keeps its role without one.
constexpr std::size_t kMaxRounds = 256;

} // namespace

void RaftCore::BecomeLeader(const RaftTime& time)
{
  role_ = RaftRole::Leader;
  leaderId_ = hard_.identity;
  leaderSince_ = time.now;
  progress_.clear();
  rounds_.clear();
  AddProgress(time.now);
  termStartIndex_ = AppendOwn(EntryKind::Noop, {}, time.wall).index;
  StartRound(time.now);
}

void RaftCore::AddProgress(TimePoint now)
{
  for (const auto& id : OtherVoters()) {
    const auto [found, isNew] = progress_.try_emplace(id);
    if (isNew) {
      found->second.nextIndex = log_.Last().index + 1;
      found->second.lastHeard = now;
    }
  }
}

LogPosition RaftCore::AppendOwn(EntryKind kind, std::string data, UnixMillis wall)
{
  LogEntry entry;
  entry.position = { .term = hard_.term, .index = log_.Last().index + 1 };
  entry.time = std::max(wall, log_.LastTime());
  entry.kind = kind;
  entry.data = std::move(data);
  const LogPosition position = entry.position;
  log_.Append(std::move(entry));
  NoteEntries(position.index);
  return position;
}

ReplicationResult<LogPosition> RaftCore::Propose(std::string command, UnixMillis wall)
{
  if (role_ != RaftRole::Leader) {
    return Fail(ReplicationErrorCode::NotLeader, "replica " + hard_.identity + " does not lead");
  }
  return AppendOwn(EntryKind::Command, std::move(command), wall);
}

void RaftCore::AdvanceCommit(UnixMillis wall)
{
  const std::uint64_t own = options_.guards.syncBeforeAnswer ? persistedIndex_ : log_.Last().index;
  std::set<std::uint64_t, std::greater<>> candidates = { own };
  for (const auto& [id, progress] : progress_) {
    candidates.insert(progress.matchIndex);
  }
  for (const std::uint64_t index : candidates) {
    if (index <= commitIndex_) {
      break;
    }
    // An older leader's entry can be replaced even when a majority holds it.
    if (options_.guards.commitOnlyCurrentTerm && log_.TermAt(index) != hard_.term) {
      break;
    }
    const auto holders = ReplicasWith(
      [&](const Progress& progress) { return progress.matchIndex >= index; }, own >= index);
    if (HasQuorum(holders)) {
      commitIndex_ = index;
      break;
    }
  }
  const Membership& newest = log_.Newest();
  if (!newest.oldVoters.empty() && log_.NewestIndex() <= commitIndex_) {
    const Membership settled = newest.Settled();
    for (const auto& old : newest.oldVoters) {
      if (!settled.IsVoter(old.id)) {
        progress_.erase(old.id);
      }
    }
    AppendOwn(EntryKind::Membership, detail::EncodeMembership(settled), wall);
  }
}

std::set<std::string> RaftCore::ReplicasWith(const std::function<bool(const Progress&)>& condition,
                                             bool self) const
{
  std::set<std::string> ids;
  if (self) {
    ids.insert(hard_.identity);
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
  const auto reachable = ReplicasWith(
    [&](const Progress& progress) {
      return time.now - progress.lastHeard < options_.electionTimeout;
    },
    true);
  if (!HasQuorum(reachable)) {
    BecomeFollower(hard_.term, {}, time.now);
    return;
  }
  for (auto i = progress_.begin(); i != progress_.end();) {
    const bool isGone =
      !i->second.learner.id.empty() && time.now - i->second.lastHeard > kLearnerTimeout;
    i = isGone ? progress_.erase(i) : std::next(i);
  }
  if (time.now >= nextHeartbeat_) {
    StartRound(time.now);
  }
}

void RaftCore::StartRound(TimePoint now)
{
  nextHeartbeat_ = now + options_.heartbeatInterval;
  rounds_.push_back({ ++round_, now, std::max(commitIndex_, termStartIndex_) });
  if (rounds_.size() > kMaxRounds) {
    rounds_.pop_front();
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
           (progress.nextIndex <= log_.Last().index &&
            progress.nextIndex - progress.matchIndex <= options_.maxEntriesInFlight)) {
      SendAppend(id, progress);
    }
  }
}

void RaftCore::SendAppend(const std::string& id, Progress& progress)
{
  RaftMessage message = MakeMessage(MessageKind::Append, id);
  message.commitIndex = commitIndex_;
  message.round = round_;
  if (!progress.snapshot) {
    const std::uint64_t before = progress.nextIndex - 1;
    message.position = { .term = *log_.TermAt(before), .index = before };
    if (progress.nextIndex - progress.matchIndex <= options_.maxEntriesInFlight) {
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
  const auto countedBack = [&](std::uint64_t count) {
    return snapshotIndex > count ? snapshotIndex - count + 1 : 1;
  };
  std::uint64_t first = countedBack(options_.entriesKept);
  for (const auto& [id, progress] : progress_) {
    if (nextHeartbeat_ - progress.lastHeard < options_.electionTimeout) {
      const std::uint64_t held =
        progress.snapshot ? progress.snapshotPosition.index : progress.matchIndex;
      first = std::min(first, held + 1);
    }
  }
  return std::max(first, countedBack(options_.entriesKept * kMaxKeptFactor));
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
  message.round = round_;
  message.offset = progress.snapshotOffset;
  message.data = progress.snapshot->substr(progress.snapshotOffset, options_.snapshotChunkBytes);
  message.isLast = message.offset + message.data.size() == progress.snapshot->size();
  progress.snapshotChunkDue = false;
  progress.snapshotSentAt = now;
  Send(std::move(message));
}

RaftCore::Progress* RaftCore::Heard(const RaftMessage& message, TimePoint now)
{
  const auto found = progress_.find(message.from);
  if (role_ != RaftRole::Leader || found == progress_.end()) {
    return nullptr;
  }
  found->second.lastHeard = now;
  found->second.round = std::max(found->second.round, message.round);
  return &found->second;
}

void RaftCore::StepAppendReply(const RaftMessage& message, const RaftTime& time)
{
  Progress* progress = Heard(message, time.now);
  if (progress == nullptr || message.matchIndex > log_.Last().index + 1) {
    return;
  }
  if (!message.accepted) {
    // Several messages may have been under way; the answer to a later one must not undo a step
    // back.
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
  Progress* progress = Heard(message, time.now);
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
    // The sender may know only hosts that do not lead.
    if (message.to.empty() && !leaderId_.empty() && leaderId_ != message.from) {
      RaftMessage forwarded = message;
      forwarded.to = leaderId_;
      Send(std::move(forwarded));
    }
    return;
  }
  if (message.sender.id != message.from || log_.Newest().IsVoter(message.from)) {
    return;
  }
  const auto [found, isNew] = progress_.try_emplace(message.from);
  Progress& progress = found->second;
  progress.learner = message.sender;
  progress.lastHeard = now;
  if (isNew) {
    progress.nextIndex = log_.Last().index + 1;
  }
}

std::uint64_t RaftCore::ConfirmedRound() const
{
  std::set<std::uint64_t, std::greater<>> candidates = { round_ };
  for (const auto& [id, progress] : progress_) {
    candidates.insert(progress.round);
  }
  for (const std::uint64_t round : candidates) {
    const auto answered =
      ReplicasWith([&](const Progress& progress) { return progress.round >= round; }, true);
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
  for (auto round = rounds_.rbegin(); round != rounds_.rend(); ++round) {
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
