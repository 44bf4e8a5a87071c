#include <algorithm> // max, min
#include <stdexcept> // logic_error
#include <utility>   // move

#include "acaciapulley/replication/detail/codec.hpp" // DecodeSnapshot
#include "acaciapulley/replication/raft_core.hpp"

namespace acp {

namespace {

/// Returns whether the entries directly follow the previous position, with terms that neither
/// decrease nor exceed the term of the message.
bool IsWellFormed(const RaftMessage& message)
{
  std::uint64_t index = message.position.index;
  std::uint64_t term = message.position.term;
  for (const auto& entry : message.entries) {
    if (entry.position.index != ++index || entry.position.term < term ||
        entry.position.term > message.term) {
      return false;
    }
    term = entry.position.term;
  }
  return true;
}

} // namespace

void RaftCore::FollowLeader(const RaftMessage& message, TimePoint now)
{
  if (role_ != RaftRole::Follower || leaderId_ != message.from) {
    BecomeFollower(message.term, message.from, now);
  }
  leaderHeardAt_ = now;
  ResetElectionTimer(now);
}

void RaftCore::StepAppend(const RaftMessage& message, TimePoint now)
{
  if (role_ == RaftRole::Leader || !IsWellFormed(message)) {
    return;
  }
  FollowLeader(message, now);
  RaftMessage reply = MakeMessage(MessageKind::AppendReply, message.from);
  reply.round = message.round;
  const std::uint64_t before = message.position.index;
  // Entries up to the base are committed, so they match the log of any leader.
  if (before > log_.Base().index && log_.TermAt(before) != message.position.term) {
    const std::uint64_t next =
      before > log_.Last().index ? log_.Last().index + 1 : log_.FirstIndexOfTermAt(before);
    reply.matchIndex = std::max(next, commitIndex_ + 1);
    Send(std::move(reply));
    return;
  }
  const std::uint64_t match = AppendReceivedEntries(message);
  commitIndex_ = std::max(commitIndex_, std::min(message.commitIndex, match));
  reply.accepted = true;
  reply.matchIndex = match;
  if (message.entries.empty() && persistedTerm_ == hardState_.term) {
    // A heartbeat is answered before pending syncs, so that a slow disk does not make the leader
    // step down.
    reply.matchIndex = std::min(match, persistedIndex_);
    Send(std::move(reply));
  } else {
    SendAfterSync(std::move(reply));
  }
}

std::uint64_t RaftCore::AppendReceivedEntries(const RaftMessage& message)
{
  for (const auto& entry : message.entries) {
    const std::uint64_t index = entry.position.index;
    if (index <= log_.Base().index) {
      continue;
    }
    const auto term = log_.TermAt(index);
    if (term == entry.position.term) {
      continue;
    }
    if (term) {
      if (index <= commitIndex_) {
        throw std::logic_error("leader " + message.from + " contradicts committed entry " +
                               std::to_string(index));
      }
      log_.TruncateFrom(index);
      TruncatePersisted(index - 1);
    }
    log_.Append(entry);
    MarkUnwritten(index);
  }
  return message.position.index + message.entries.size();
}

void RaftCore::StepSnapshot(const RaftMessage& message, TimePoint now)
{
  if (role_ == RaftRole::Leader) {
    return;
  }
  FollowLeader(message, now);
  RaftMessage reply = MakeMessage(MessageKind::SnapshotReply, message.from);
  reply.round = message.round;
  reply.position = message.position;
  reply.accepted = message.position.index <= commitIndex_;
  if (!reply.accepted) {
    if (message.position != incomingSnapshotPosition_ || message.offset == 0) {
      incomingSnapshot_.clear();
      incomingSnapshotPosition_ = message.position;
    }
    if (message.offset == incomingSnapshot_.size()) {
      incomingSnapshot_ += message.data;
      if (message.isLast) {
        auto snapshot = detail::DecodeSnapshot(incomingSnapshot_);
        incomingSnapshot_.clear();
        incomingSnapshotPosition_ = {};
        reply.accepted = snapshot && snapshot.value().position == message.position &&
                         InstallSnapshot(std::move(snapshot.value()));
      }
    }
    reply.offset = incomingSnapshot_.size();
  }
  SendAfterSync(std::move(reply));
}

bool RaftCore::InstallSnapshot(Snapshot snapshot)
{
  const LogPosition position = snapshot.position;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  encodedSnapshot_.reset();
  snapshotToWrite_ = snapshot_;
  restore_ = snapshot_;
  if (log_.TermAt(position.index) == position.term) {
    log_.Compact(position.index);
    if (firstUnwritten_ && *firstUnwritten_ <= position.index) {
      // Some entries that the snapshot covers were never written, so the stored log has a gap.
      resetLog_ = true;
      ResetUnwrittenAfter(position.index);
    }
  } else {
    log_.ResetTo(*snapshot_);
    resetLog_ = true;
    firstUnwritten_.reset();
    TruncatePersisted(0);
  }
  commitIndex_ = position.index;
  deliveredIndex_ = position.index;
  return true;
}

} // namespace acp
