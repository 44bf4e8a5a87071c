#include "acaciapulley/replication/detail/raft_log.hpp"

#include <stdexcept> // logic_error
#include <utility>   // move

#include "acaciapulley/replication/detail/codec.hpp" // DecodeMembership

namespace acp::detail {

RaftLog::RaftLog(const SnapshotPtr& snapshot, std::vector<LogEntry> entries)
{
  memberships_.emplace(0, Membership{});
  if (snapshot) {
    ResetTo(*snapshot);
  }
  for (auto& entry : entries) {
    Append(std::move(entry));
  }
}

LogPosition RaftLog::Last() const
{
  return entries_.empty() ? base_ : entries_.back().position;
}

UnixMillis RaftLog::LastTime() const
{
  return entries_.empty() ? baseTime_ : entries_.back().time;
}

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const
{
  if (index == base_.index) {
    return base_.term;
  }
  if (index < base_.index || index > Last().index) {
    return std::nullopt;
  }
  return At(index).position.term;
}

const LogEntry& RaftLog::At(std::uint64_t index) const
{
  return entries_[index - base_.index - 1];
}

std::vector<LogEntry> RaftLog::Slice(std::uint64_t first, std::size_t maxBytes) const
{
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= Last().index; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.data.size();
    if (!slice.empty() && bytes > maxBytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

std::uint64_t RaftLog::FirstIndexOfTermAt(std::uint64_t index) const
{
  const auto term = TermAt(index);
  while (index > base_.index + 1 && TermAt(index - 1) == term) {
    --index;
  }
  return index;
}

const Membership& RaftLog::MembershipAt(std::uint64_t index) const
{
  return std::prev(memberships_.upper_bound(index))->second;
}

void RaftLog::Append(LogEntry entry)
{
  if (entry.position.index != Last().index + 1) {
    throw std::logic_error("entry " + std::to_string(entry.position.index) +
                           " does not follow entry " + std::to_string(Last().index));
  }
  if (entry.kind == EntryKind::Membership) {
    auto membership = DecodeMembership(entry.data);
    if (!membership) {
      throw std::logic_error(membership.error().message);
    }
    memberships_.insert_or_assign(entry.position.index, std::move(membership.value()));
  }
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index)
{
  while (!entries_.empty() && entries_.back().position.index >= index) {
    entries_.pop_back();
  }
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
}

void RaftLog::Compact(std::uint64_t index)
{
  while (base_.index < index && !entries_.empty()) {
    base_ = entries_.front().position;
    baseTime_ = entries_.front().time;
    entries_.pop_front();
  }
  const auto newest = std::prev(memberships_.upper_bound(base_.index));
  memberships_.erase(memberships_.begin(), newest);
}

void RaftLog::ResetTo(const Snapshot& snapshot)
{
  entries_.clear();
  memberships_.clear();
  base_ = snapshot.position;
  baseTime_ = snapshot.time;
  memberships_.emplace(base_.index, snapshot.membership);
}

} // namespace acp::detail
