#include "acaciapulley/replication/detail/raft_log.hpp"

#include <algorithm> // lower_bound, min
#include <stdexcept> // logic_error
#include <utility>   // move

#include "acaciapulley/replication/detail/codec.hpp" // DecodeMembership

namespace acp::detail {

namespace {

/// Memory of an entry without its data.
constexpr std::uint64_t kEntryOverheadBytes = sizeof(LogEntry) + sizeof(std::uint64_t);

} // namespace

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

std::uint64_t RaftLog::BytesUpTo(std::uint64_t index) const
{
  if (index <= base_.index || bytesUpTo_.empty()) {
    return bytesUpToBase_;
  }
  return bytesUpTo_[std::min<std::uint64_t>(index - base_.index, bytesUpTo_.size()) - 1];
}

std::uint64_t RaftLog::BytesBetween(std::uint64_t before, std::uint64_t last) const
{
  return last <= before ? 0 : BytesUpTo(last) - BytesUpTo(before);
}

std::uint64_t RaftLog::FirstIndexWithin(std::uint64_t maxBytes, std::uint64_t last) const
{
  const std::uint64_t total = BytesUpTo(last);
  const std::uint64_t least = total > maxBytes ? total - maxBytes : 0;
  if (bytesUpToBase_ >= least) {
    return base_.index + 1;
  }
  const auto kept = std::lower_bound(bytesUpTo_.begin(), bytesUpTo_.end(), least);
  return base_.index + static_cast<std::uint64_t>(kept - bytesUpTo_.begin()) + 2;
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
  bytesUpTo_.push_back(BytesUpTo(entry.position.index) + kEntryOverheadBytes + entry.data.size());
  entries_.push_back(std::move(entry));
}

void RaftLog::TruncateFrom(std::uint64_t index)
{
  while (!entries_.empty() && entries_.back().position.index >= index) {
    entries_.pop_back();
    bytesUpTo_.pop_back();
  }
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
}

void RaftLog::Compact(std::uint64_t index)
{
  while (base_.index < index && !entries_.empty()) {
    base_ = entries_.front().position;
    baseTime_ = entries_.front().time;
    bytesUpToBase_ = bytesUpTo_.front();
    entries_.pop_front();
    bytesUpTo_.pop_front();
  }
  const auto newest = std::prev(memberships_.upper_bound(base_.index));
  memberships_.erase(memberships_.begin(), newest);
}

void RaftLog::ResetTo(const Snapshot& snapshot)
{
  entries_.clear();
  bytesUpTo_.clear();
  bytesUpToBase_ = 0;
  memberships_.clear();
  base_ = snapshot.position;
  baseTime_ = snapshot.time;
  memberships_.emplace(base_.index, snapshot.membership);
}

} // namespace acp::detail
