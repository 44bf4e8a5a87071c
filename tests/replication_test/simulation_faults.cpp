#include <utility> // move

#include "simulation.hpp"

void Simulation::LoseDisk(Host& host)
{
  // The voter set tolerates one lost disk; the next may be lost once the replacement is committed.
  Host* leader = Leader();
  if (!lostIdentities_.empty() || leader == nullptr || !leader->core->IsMembershipStable()) {
    return;
  }
  lostIdentities_.insert(host.identity);
  Crash(host);
  host.disk = std::make_shared<DiskContents>();
}

void Simulation::InjectSingleFault(std::size_t chosen)
{
  const auto until = millis_ + 100 + static_cast<std::int64_t>(RandomBelow(1500));
  Host& host = hosts_[chosen];
  switch (RandomBelow(10)) {
    case 0:
    case 1: // the host crashes at one of its next disk operations
      if (host.core) {
        host.disk->operationsUntilCrash = static_cast<int>(RandomBelow(8));
      }
      break;
    case 2: // all hosts lose power
      for (auto& other : hosts_) {
        if (other.core) {
          Crash(other);
        }
      }
      break;
    case 3:
    case 4: // a partition in both directions
      Isolate(chosen, until - millis_);
      break;
    case 5: // a partition in one direction
      blockedUntil_[{ chosen, RandomBelow(hosts_.size()) }] = until;
      break;
    case 6:
    case 7:
      host.frozenUntil = until;
      break;
    case 8:
      if (host.core) {
        LoseDisk(host);
      }
      break;
    default:
      lossPercent_ = RandomBelow(30);
      clock_.StepWall(
        std::chrono::milliseconds(static_cast<std::int64_t>(RandomBelow(4000)) - 2000));
      break;
  }
}

void Simulation::Schedule(std::int64_t millis, std::function<void()> action)
{
  scheduledActions_.emplace(millis_ + millis, std::move(action));
}

void Simulation::Isolate(std::size_t index, std::int64_t millis)
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    blockedUntil_[{ i, index }] = millis_ + millis;
    blockedUntil_[{ index, i }] = millis_ + millis;
  }
}

void Simulation::Reconnect()
{
  blockedUntil_.clear();
  slowUntil_.clear();
}

void Simulation::InjectLaggingReplicaAndLostDisk(std::size_t leader)
{
  const std::size_t lagging = (leader + 1) % hosts_.size();
  const std::size_t lost = (leader + 2) % hosts_.size();
  Isolate(lagging, 1000);
  Schedule(static_cast<std::int64_t>(50 + RandomBelow(200)), [this, leader, lost] {
    Reconnect();
    Isolate(leader, 1500);
    if (hosts_[lost].core) {
      LoseDisk(hosts_[lost]);
    }
  });
}

void Simulation::InjectDelayedReplies(std::size_t leader)
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    slowUntil_[{ i, leader }] = millis_ + 100;
  }
  Schedule(static_cast<std::int64_t>(1 + RandomBelow(99)),
           [this, leader] { Isolate(leader, 1500); });
}

void Simulation::InjectOldTermEntries(std::size_t leader)
{
  // An entry reaches only one follower; the others elect a leader whose first entry reaches no
  // replica.
  const std::size_t holder = (leader + 1) % hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i != holder) {
      blockedUntil_[{ leader, i }] = millis_ + 1000;
    }
  }
  Schedule(50, [this, leader, holder] {
    if (hosts_[leader].core) {
      Crash(hosts_[leader]);
    }
    Isolate(holder, 2000);
    dropAppends_ = true;
  });
  // That leader is isolated, the entry is replicated in a new term, and the new leader crashes.
  Schedule(static_cast<std::int64_t>(700 + RandomBelow(300)), [this] {
    Reconnect();
    dropAppends_ = false;
    Host* second = Leader();
    if (second != nullptr) {
      Isolate(static_cast<std::size_t>(second - hosts_.data()), 3000);
      crashLeaderOnCommit_ = true;
    }
  });
}

void Simulation::InjectFault()
{
  const Host* leader = Leader();
  FaultPattern pattern = options_.faults;
  if (pattern == FaultPattern::Any && RandomBelow(5) == 0) {
    pattern = static_cast<FaultPattern>(1 + RandomBelow(3));
  }
  if (pattern == FaultPattern::Any) {
    InjectSingleFault(leader != nullptr && RandomBelow(2) == 0
                        ? static_cast<std::size_t>(leader - hosts_.data())
                        : RandomBelow(hosts_.size()));
  } else if (leader != nullptr && scheduledActions_.empty()) {
    const auto index = static_cast<std::size_t>(leader - hosts_.data());
    if (pattern == FaultPattern::LaggingReplicaAndLostDisk) {
      InjectLaggingReplicaAndLostDisk(index);
    } else if (pattern == FaultPattern::DelayedReplies) {
      InjectDelayedReplies(index);
    } else {
      InjectOldTermEntries(index);
    }
  }
}
