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
    auto founding = FindFounding();
    bool belongs = false;
    {
      const std::lock_guard viewLock(viewMutex_);
      belongs = !view_.clusterId.empty();
    }
    lock.lock();
    if (belongs) {
      return;
    }
    if (founding) {
      inbox_.founding = std::move(founding);
      inboxChanged_.notify_all();
    }
    inboxChanged_.wait_for(lock, Jittered(kAskInterval, kAskJitter), [this] { return stopping_; });
  }
}

std::optional<Replica::Impl::Founding> Replica::Impl::FindFounding()
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
    if (auto founding = ReadInitialSet(*answer)) {
      return founding;
    }
    if (answer->clusterId.empty()) {
      empty.push_back({ answer->id, address.ToString(), answer->operatorAddress });
    }
  }
  const bool isFounder = options_.replicaAddresses.front() == options_.rpcAddress;
  if (!isFounder || empty.size() != options_.replicaAddresses.size()) {
    return std::nullopt;
  }
  Founding founding;
  founding.membership.clusterId = RandomHex(kClusterIdBytes);
  founding.membership.voters = std::move(empty);
  founding.time = options_.clock->WallNow();
  return founding;
}

std::optional<Replica::Impl::Founding> Replica::Impl::ReadInitialSet(
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
  return Founding{ std::move(membership.value()), answer.initialEntry->time };
}

} // namespace acp
