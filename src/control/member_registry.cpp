#include "acaciapulley/control/member_registry.hpp"

namespace acp {

void MemberRegistry::Report(const MemberInfo& member, TimePoint now)
{
  Entry& entry = byNode_[member.nodeId];
  if (entry.info.epoch > member.epoch) {
    return;
  }
  entry.leaseEnd = now + kMemberLease;
  if (entry.info != member) {
    entry.info = member;
    ++version_;
  }
}

void MemberRegistry::Expire(TimePoint now)
{
  const auto removed =
    std::erase_if(byNode_, [now](const auto& item) { return item.second.leaseEnd <= now; });
  if (removed > 0) {
    ++version_;
  }
}

std::vector<MemberInfo> MemberRegistry::Members() const
{
  std::vector<MemberInfo> members;
  for (const auto& [nodeId, entry] : byNode_) {
    members.push_back(entry.info);
  }
  return members;
}

} // namespace acp
