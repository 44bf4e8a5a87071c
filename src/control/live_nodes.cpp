#include "acaciapulley/control/live_nodes.hpp"

#include <algorithm> // min

#include "acaciapulley/core/process_epoch.hpp" // IsFromEarlierProcess

namespace acp {

namespace {

// Member list versions reserved for each term; keeps versions of different terms distinct.
constexpr std::int64_t kVersionsPerTerm = std::int64_t{ 1 } << 32;

// Smaller fleets receive each change at once.
constexpr std::size_t kMinPacedNodes = 32;
// Processor time of one list to one node at 0.15 cores.
constexpr Duration kPublishTimePerNode = std::chrono::milliseconds(2);
constexpr Duration kMaxPublishInterval = std::chrono::milliseconds(500);

} // namespace

Duration MemberPublishInterval(std::size_t nodes)
{
  if (nodes < kMinPacedNodes) {
    return Duration::zero();
  }
  return std::min<Duration>(kPublishTimePerNode * static_cast<Duration::rep>(nodes),
                            kMaxPublishInterval);
}

std::int64_t TermOfMembersVersion(std::int64_t membersVersion)
{
  return membersVersion / kVersionsPerTerm;
}

void LiveNodes::BeginTerm(std::uint64_t term)
{
  if (term != term_) {
    term_ = term;
    memberChanges_ = 1;
    publishedChanges_ = 1;
    publishedAt_ = TimePoint{};
    published_.clear();
    byNode_.clear();
  }
}

void LiveNodes::RecordPoll(const NodePoll& poll, TimePoint polledAt)
{
  Entry& entry = byNode_[poll.nodeId];
  if (entry.lastPollAt > polledAt ||
      IsFromEarlierProcess(poll.epoch, entry.epoch, polledAt - entry.lastPollAt)) {
    return;
  }
  entry.epoch = poll.epoch;
  entry.confirmedVersion = poll.stateVersion;
  entry.lastPollAt = polledAt;
  if (entry.member != poll.member) {
    entry.member = poll.member;
    ++memberChanges_;
  }
}

void LiveNodes::Expire(TimePoint now)
{
  for (auto& [nodeId, entry] : byNode_) {
    if (entry.member && now - entry.lastPollAt >= kMemberLease) {
      entry.member.reset();
      ++memberChanges_;
    }
  }
  std::erase_if(byNode_, [now](const auto& item) {
    return now - item.second.lastPollAt > kNodeSilenceTimeout;
  });
}

bool LiveNodes::Publish(TimePoint now)
{
  const bool isDue = now - publishedAt_ >= MemberPublishInterval(byNode_.size());
  if (memberChanges_ == publishedChanges_ || !isDue) {
    return false;
  }
  published_.clear();
  for (const auto& [nodeId, entry] : byNode_) {
    if (entry.member) {
      published_.push_back(*entry.member);
    }
  }
  publishedChanges_ = memberChanges_;
  publishedAt_ = now;
  return true;
}

std::int64_t LiveNodes::MembersVersion() const
{
  return static_cast<std::int64_t>(term_) * kVersionsPerTerm + publishedChanges_;
}

bool LiveNodes::IsFromCurrentTerm(std::int64_t membersVersion) const
{
  return TermOfMembersVersion(membersVersion) == static_cast<std::int64_t>(term_);
}

std::vector<NodeStatus> LiveNodes::Nodes(TimePoint now) const
{
  std::vector<NodeStatus> nodes;
  for (const auto& [nodeId, entry] : byNode_) {
    nodes.push_back({ .nodeId = nodeId,
                      .confirmedVersion = entry.confirmedVersion,
                      .sinceLastPoll = now - entry.lastPollAt,
                      .member = entry.member });
  }
  return nodes;
}

ConfirmationStatus LiveNodes::ConfirmationOf(std::int64_t version,
                                             const std::vector<std::string>& joinedNodeIds,
                                             Duration leadingFor) const
{
  ConfirmationStatus status{ .mayMissNodes = leadingFor <= kNodeSilenceTimeout };
  for (const auto& [nodeId, entry] : byNode_) {
    if (entry.confirmedVersion == 0) {
      continue;
    }
    const bool isFirst = status.smallestConfirmed == 0;
    status.smallestConfirmed =
      isFirst ? entry.confirmedVersion : std::min(status.smallestConfirmed, entry.confirmedVersion);
    if (entry.confirmedVersion < version) {
      status.notConfirmed.push_back(nodeId);
    }
  }
  for (const auto& nodeId : joinedNodeIds) {
    if (status.mayMissNodes && !byNode_.contains(nodeId)) {
      status.notHeard.push_back(nodeId);
    }
  }
  status.isConfirmedByAll = status.notConfirmed.empty() && !status.mayMissNodes;
  return status;
}

} // namespace acp
