#include <utility> // move

#include "simulation.hpp"

void Simulation::LoseDisk(Host& host)
{
  // The set survives one lost disk; the next may follow as soon as its replacement is committed.
  Host* leader = Leader();
  if (!lostIdentities_.empty() || leader == nullptr || !leader->core->MembershipIsSettled()) {
    return;
  }
  lostIdentities_.insert(host.identity);
  Crash(host);
  host.disk = std::make_shared<DiskContents>();
}

void Simulation::InjectSimple(std::size_t chosen)
{
  const auto until = millis_ + 100 + static_cast<std::int64_t>(Draw(1500));
  Host& host = hosts_[chosen];
  switch (Draw(10)) {
    case 0:
    case 1: // the host crashes in the middle of a write, or at once when it writes nothing
      if (host.core) {
        host.disk->operationsUntilCrash = static_cast<int>(Draw(8));
      }
      break;
    case 2: // the power fails everywhere
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
      blockedUntil_[{ chosen, Draw(hosts_.size()) }] = until;
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
      lossPercent_ = Draw(30);
      clock_.StepWall(std::chrono::milliseconds(static_cast<std::int64_t>(Draw(4000)) - 2000));
      break;
  }
}

void Simulation::After(std::int64_t millis, std::function<void()> action)
{
  planned_.emplace(millis_ + millis, std::move(action));
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

void Simulation::InjectLaggardAndLostDisk(std::size_t leader)
{
  const std::size_t laggard = (leader + 1) % hosts_.size();
  const std::size_t lost = (leader + 2) % hosts_.size();
  Isolate(laggard, 1000);
  After(static_cast<std::int64_t>(50 + Draw(200)), [this, leader, lost] {
    Reconnect();
    Isolate(leader, 1500);
    if (hosts_[lost].core) {
      LoseDisk(hosts_[lost]);
    }
  });
}

void Simulation::InjectLateAnswers(std::size_t leader)
{
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    slowUntil_[{ i, leader }] = millis_ + 100;
  }
  After(static_cast<std::int64_t>(1 + Draw(99)), [this, leader] { Isolate(leader, 1500); });
}

void Simulation::InjectOldEntries(std::size_t leader)
{
  // An entry reaches one follower only; the rest elects a leader whose first entry reaches nobody.
  const std::size_t holder = (leader + 1) % hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (i != holder) {
      blockedUntil_[{ leader, i }] = millis_ + 1000;
    }
  }
  After(50, [this, leader, holder] {
    if (hosts_[leader].core) {
      Crash(hosts_[leader]);
    }
    Isolate(holder, 2000);
    appendsAreLost_ = true;
  });
  // That leader is cut off, the entry spreads in a new term, and the new leader crashes.
  After(static_cast<std::int64_t>(700 + Draw(300)), [this] {
    Reconnect();
    appendsAreLost_ = false;
    Host* second = Leader();
    if (second != nullptr) {
      Isolate(static_cast<std::size_t>(second - hosts_.data()), 3000);
      crashOnOldCommit_ = true;
    }
  });
}

void Simulation::Inject()
{
  const Host* leader = Leader();
  FaultMix mix = options_.faults;
  if (mix == FaultMix::Any && Draw(5) == 0) {
    mix = static_cast<FaultMix>(1 + Draw(3));
  }
  if (mix == FaultMix::Any) {
    InjectSimple(leader != nullptr && Draw(2) == 0
                   ? static_cast<std::size_t>(leader - hosts_.data())
                   : Draw(hosts_.size()));
  } else if (leader != nullptr && planned_.empty()) {
    const auto index = static_cast<std::size_t>(leader - hosts_.data());
    if (mix == FaultMix::LaggardAndLostDisk) {
      InjectLaggardAndLostDisk(index);
    } else if (mix == FaultMix::LateAnswers) {
      InjectLateAnswers(index);
    } else {
      InjectOldEntries(index);
    }
  }
}
