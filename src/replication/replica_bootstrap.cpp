#include <chrono>  // milliseconds
#include <utility> // move

#include "acaciapulley/core/random.hpp"                     // Jittered, RandomHex
#include "acaciapulley/replication/detail/codec.hpp"        // DecodeMembership
#include "acaciapulley/replication/detail/replica_impl.hpp" // Impl

namespace acp {

namespace {

constexpr Duration kHelloInterval = std::chrono::milliseconds(100);
constexpr double kHelloJitter = 0.2;
constexpr std::size_t kClusterIdBytes = 16;

} // namespace

void Replica::Impl::RunBootstrap()
{
  std::unique_lock lock(inboxMutex_);
  while (!stopping_) {
    lock.unlock();
    auto initialSet = FindInitialSet();
    bool hasCluster = false;
    {
      const std::lock_guard publishedLock(publishedMutex_);
      hasCluster = !published_.clusterId.empty();
    }
    lock.lock();
    if (hasCluster) {
      return;
    }
    if (initialSet) {
      inbox_.initialSet = std::move(initialSet);
      inboxChanged_.notify_all();
    }
    inboxChanged_.wait_for(
      lock, Jittered(kHelloInterval, kHelloJitter), [this] { return stopping_; });
  }
}

std::optional<Replica::Impl::InitialSet> Replica::Impl::FindInitialSet()
{
  std::vector<ReplicaRecord> emptyReplicas;
  bool isOtherReplicaKnown = false;
  for (const auto& address : options_.replicaAddresses) {
    if (address == options_.rpcAddress) {
      emptyReplicas.push_back(self_);
      continue;
    }
    const auto reply = detail::RequestHello(address, options_.rpcTimeout);
    if (!reply) {
      continue;
    }
    if (auto initialSet = ReadInitialSet(*reply)) {
      return initialSet;
    }
    if (reply->clusterId.empty()) {
      emptyReplicas.push_back({ reply->id, address.ToString(), reply->operatorAddress });
    } else {
      isOtherReplicaKnown = true;
    }
  }
  const bool isInitiator = !emptyReplicas.empty() && emptyReplicas.front().id == self_.id;
  if (!isInitiator || isOtherReplicaKnown || !MayBootstrapWith(emptyReplicas.size())) {
    return std::nullopt;
  }
  InitialSet initialSet;
  initialSet.membership.clusterId = RandomHex(kClusterIdBytes);
  initialSet.membership.voters = std::move(emptyReplicas);
  initialSet.time = options_.clock->WallNow();
  return initialSet;
}

bool Replica::Impl::MayBootstrapWith(std::size_t reachable)
{
  const std::size_t all = options_.replicaAddresses.size();
  if (reachable == all) {
    return true;
  }
  const bool mayLeaveOut =
    options_.bootstrapWithoutRestAfter > Duration::zero() && 2 * reachable > all;
  if (!mayLeaveOut) {
    restMissingSince_.reset();
    return false;
  }
  const TimePoint now = options_.clock->Now();
  if (!restMissingSince_) {
    restMissingSince_ = now;
  }
  return now - *restMissingSince_ >= options_.bootstrapWithoutRestAfter;
}

std::optional<Replica::Impl::InitialSet> Replica::Impl::ReadInitialSet(
  const detail::HelloReply& reply) const
{
  if (!reply.initialEntry) {
    return std::nullopt;
  }
  auto membership = detail::DecodeMembership(reply.initialEntry->data);
  // An identity that was created after the loss of a disk is in no initial set.
  if (!membership || !membership.value().IsVoter(self_.id)) {
    return std::nullopt;
  }
  return InitialSet{ std::move(membership.value()), reply.initialEntry->time };
}

} // namespace acp
