#include "acaciapulley/control/live_nodes.hpp"

#include <algorithm> // min

namespace acp {

namespace {

// The member list of a term has at most this many versions before numbers of the next term begin.
constexpr std::int64_t kVersionsPerTerm = std::int64_t{ 1 } << 32;

} // namespace

void LiveNodes::StartTerm(std::uint64_t term)
{
  if (term != term_) {
    term_ = term;
    changes_ = 1;
    byNode_.clear();
  }
}

void LiveNodes::Report(const NodePoll& report, TimePoint now)
{
  Entry& entry = byNode_[report.nodeId];
  if (entry.epoch > report.epoch) {
    return;
  }
  entry.epoch = report.epoch;
  entry.confirmedVersion = report.stateVersion;
  entry.heardAt = now;
  if (entry.member != report.member) {
    entry.member = report.member;
    ++changes_;
  }
}

void LiveNodes::Expire(TimePoint now)
{
  for (auto& [nodeId, entry] : byNode_) {
    if (entry.member && now - entry.heardAt >= kMemberLease) {
      entry.member.reset();
      ++changes_;
    }
  }
  std::erase_if(byNode_,
                [now](const auto& item) { return now - item.second.heardAt > kNodeSilent; });
}

std::vector<MemberInfo> LiveNodes::Members() const
{
  std::vector<MemberInfo> members;
  for (const auto& [nodeId, entry] : byNode_) {
    if (entry.member) {
      members.push_back(*entry.member);
    }
  }
  return members;
}

std::int64_t LiveNodes::MembersVersion() const
{
  return static_cast<std::int64_t>(term_) * kVersionsPerTerm + changes_;
}

bool LiveNodes::IsOfThisTerm(std::int64_t membersVersion) const
{
  return membersVersion / kVersionsPerTerm == static_cast<std::int64_t>(term_);
}

std::vector<NodeStatus> LiveNodes::Nodes(TimePoint now) const
{
  std::vector<NodeStatus> nodes;
  for (const auto& [nodeId, entry] : byNode_) {
    nodes.push_back({ .nodeId = nodeId,
                      .confirmedVersion = entry.confirmedVersion,
                      .silence = now - entry.heardAt,
                      .member = entry.member });
  }
  return nodes;
}

ForceStatus LiveNodes::ForceOf(std::int64_t version,
                               const std::vector<std::string>& known,
                               Duration leadingFor) const
{
  ForceStatus status{ .mayMissNodes = leadingFor <= kNodeSilent };
  for (const auto& [nodeId, entry] : byNode_) {
    if (entry.confirmedVersion == 0) {
      continue;
    }
    const bool isFirst = status.smallestConfirmed == 0;
    status.smallestConfirmed =
      isFirst ? entry.confirmedVersion : std::min(status.smallestConfirmed, entry.confirmedVersion);
    if (entry.confirmedVersion < version) {
      status.behind.push_back(nodeId);
    }
  }
  for (const auto& nodeId : known) {
    if (status.mayMissNodes && !byNode_.contains(nodeId)) {
      status.unheard.push_back(nodeId);
    }
  }
  status.isInForce = status.behind.empty() && !status.mayMissNodes;
  return status;
}

} // namespace acp
