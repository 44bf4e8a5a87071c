#include <algorithm> // any_of, count_if, find

#include "acaciapulley/core/random.hpp" // RandomHex
#include "acaciapulley/replication/raft_types.hpp"

namespace acp {

namespace {

constexpr std::size_t kIdentityBytes = 16;

bool ContainsReplica(const std::vector<ReplicaRecord>& replicas, const std::string& id)
{
  return std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaRecord& replica) {
    return replica.id == id;
  });
}

bool Contains(const std::vector<std::string>& ids, const std::string& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool HasMajority(const std::vector<ReplicaRecord>& replicas, const std::set<std::string>& ids)
{
  const auto count =
    std::count_if(replicas.begin(), replicas.end(), [&](const ReplicaRecord& replica) {
      return ids.contains(replica.id);
    });
  return static_cast<std::size_t>(count) * 2 > replicas.size();
}

} // namespace

std::string NewIdentity()
{
  return RandomHex(kIdentityBytes);
}

bool Membership::IsVoter(const std::string& id) const
{
  return ContainsReplica(voters, id) || ContainsReplica(oldVoters, id);
}

bool Membership::HasQuorum(const std::set<std::string>& ids) const
{
  return HasMajority(voters, ids) && (oldVoters.empty() || HasMajority(oldVoters, ids));
}

bool Membership::IsRetired(const std::string& id) const
{
  return Contains(retiredIds, id);
}

Membership Membership::AfterJointConsensus() const
{
  Membership next = *this;
  next.oldVoters.clear();
  next.demotedIds.clear();
  for (const auto& old : oldVoters) {
    if (!next.IsVoter(old.id) && !Contains(demotedIds, old.id)) {
      next.retiredIds.push_back(old.id);
    }
  }
  return next;
}

} // namespace acp
