#include <chrono>  // milliseconds
#include <utility> // move

#include "acaciapulley/core/random.hpp"                     // Jittered, RandomHex
#include "acaciapulley/replication/detail/codec.hpp"        // DecodeMembership
#include "acaciapulley/replication/detail/replica_impl.hpp" // Impl

namespace acp {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(100);
constexpr double kAskJitter = 0.2;
constexpr std::size_t kClusterIdBytes = 16;

} // namespace

void Replica::Impl::RunBootstrap()
{
  std::unique_lock lock(inboxMutex_);
  while (!stopping_) {
    lock.unlock();
    auto initialSet = FindInitialSet();
    bool belongs = false;
    {
      const std::lock_guard viewLock(viewMutex_);
      belongs = !view_.clusterId.empty();
    }
    lock.lock();
    if (belongs) {
      return;
    }
    if (initialSet) {
      inbox_.initialSet = std::move(initialSet);
      inboxChanged_.notify_all();
    }
    inboxChanged_.wait_for(lock, Jittered(kAskInterval, kAskJitter), [this] { return stopping_; });
  }
}

std::optional<Replica::Impl::InitialSet> Replica::Impl::FindInitialSet()
{
  std::vector<ReplicaRecord> empty;
  for (const auto& address : options_.replicaAddresses) {
    if (address == options_.rpcAddress) {
      empty.push_back(self_);
      continue;
    }
    const auto answer = detail::AskHello(address, options_.rpcTimeout);
    if (!answer) {
      continue;
    }
    if (auto initialSet = ReadInitialSet(*answer)) {
      return initialSet;
    }
    if (answer->clusterId.empty()) {
      empty.push_back({ answer->id, address.ToString(), answer->operatorAddress });
    }
  }
  const bool isInitiator = options_.replicaAddresses.front() == options_.rpcAddress;
  if (!isInitiator || empty.size() != options_.replicaAddresses.size()) {
    return std::nullopt;
  }
  InitialSet initialSet;
  initialSet.membership.clusterId = RandomHex(kClusterIdBytes);
  initialSet.membership.voters = std::move(empty);
  initialSet.time = options_.clock->WallNow();
  return initialSet;
}

std::optional<Replica::Impl::InitialSet> Replica::Impl::ReadInitialSet(
  const detail::HelloAnswer& answer) const
{
  if (!answer.initialEntry) {
    return std::nullopt;
  }
  auto membership = detail::DecodeMembership(answer.initialEntry->data);
  // An identity made after the loss of a disk is in no initial set.
  if (!membership || !membership.value().IsVoter(self_.id)) {
    return std::nullopt;
  }
  return InitialSet{ std::move(membership.value()), answer.initialEntry->time };
}

} // namespace acp
