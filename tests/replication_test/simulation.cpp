#include "simulation.hpp"

#include <algorithm> // any_of, all_of
#include <utility>   // move, exchange

namespace {

constexpr std::uint64_t kSnapshotEvery = 40;
constexpr std::size_t kInitialVoters = 3;
constexpr acp::Duration kVoterSilenceTimeout = std::chrono::milliseconds(800);

std::string Join(const std::vector<std::string>& lines)
{
  std::string text;
  for (const auto& line : lines) {
    text += line + "\n";
  }
  return text;
}

} // namespace

Simulation::Simulation(const SimulationOptions& options)
  : options_(options)
  , random_(options.seed)
  , hosts_(options.replicas)
{
  initial_.clusterId = "cluster";
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    hosts_[i].address = "host" + std::to_string(i);
    Start(hosts_[i]);
    if (!options_.maintainsVoters || i < kInitialVoters) {
      initial_.voters.push_back({ hosts_[i].identity, hosts_[i].address, {} });
    }
  }
  for (auto& host : hosts_) {
    Bootstrap(host);
  }
}

void Simulation::ReportViolation(const std::string& what)
{
  if (violation_.empty()) {
    violation_ =
      "seed " + std::to_string(options_.seed) + ", " + std::to_string(millis_) + " ms: " + what;
  }
}

void Simulation::Start(Host& host)
{
  host.disk->operationsUntilCrash = -1;
  host.storage = std::make_unique<acp::FileStorage>(
    std::make_unique<MemoryDisk>(host.disk),
    acp::FileStorageOptions{ .segmentBytes = 400, .newIdentity = [this, &host] {
                              // With the guard disabled, a host that lost its disk returns with its
                              // old identity.
                              return options_.guards.noVoteWithoutCluster
                                       ? "id" + std::to_string(random_())
                                       : "id" + host.address;
                            } });
  auto state = host.storage->Load();
  if (!state) {
    ReportViolation(host.address + " cannot start: " + state.error().message);
    return;
  }
  host.identity = state.value().hardState.identity;
  acp::RaftOptions options;
  options.self = { {}, host.address, {} };
  options.maxAppendBytes = options_.maxAppendBytes;
  options.maxEntriesInFlight = options_.maxEntriesInFlight;
  options.snapshotChunkBytes = 2000;
  options.retainedEntries = 10;
  options.random = [this] { return random_(); };
  options.guards = options_.guards;
  if (options_.maintainsVoters) {
    options.voterSilenceTimeout = kVoterSilenceTimeout;
    options.targetVoterCount = options_.replicas;
  }
  host.core = std::make_unique<acp::RaftCore>(options, std::move(state.value()), clock_.Now());
}

void Simulation::Bootstrap(Host& host)
{
  // An initial voter repeats the bootstrap at each start until it is synced; a new identity is
  // refused.
  (void)host.core->Bootstrap(initial_, acp::ToUnixMillis(1));
}

void Simulation::Crash(Host& host)
{
  host.core.reset();
  host.storage.reset();
  host.disk->Crash(random_);
  host.writes.clear();
  host.syncAt = 0;
  host.state.clear();
  host.applied = 0;
  host.proposals.clear();
  host.restartAt = millis_ + static_cast<std::int64_t>(RandomBelow(800));
}

Simulation::Host* Simulation::Leader()
{
  Host* leader = nullptr;
  for (auto& host : hosts_) {
    if (host.core && host.core->Role() == acp::RaftRole::Leader &&
        (leader == nullptr || host.core->Term() > leader->core->Term())) {
      leader = &host;
    }
  }
  return leader;
}

/// Acts as the operator: replaces a lost identity with the current identity of the host.
void Simulation::RunOperator()
{
  Host* leader = Leader();
  if (leader == nullptr || lostIdentities_.empty() || (faultsEnabled_ && RandomBelow(20) != 0)) {
    return;
  }
  const std::string lost = *lostIdentities_.begin();
  const auto& membership = leader->core->CurrentMembership();
  const bool isBack = std::any_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
    return host.core && host.identity == lost &&
           host.core->Status().lastIndex >= leader->core->CommitIndex();
  });
  if (isBack) {
    lostIdentities_.clear();
    return;
  }
  if (!membership.IsVoter(lost) && leader->core->IsMembershipStable()) {
    lostIdentities_.clear();
    ++replacementCount_;
    return;
  }
  for (const auto& host : hosts_) {
    if (!options_.maintainsVoters && host.core && !membership.IsVoter(host.identity)) {
      (void)leader->core->Replace(lost, host.identity, clock_.WallNow());
    }
  }
}

void Simulation::SendAll(std::size_t from, const std::vector<acp::RaftMessage>& messages)
{
  for (const auto& message : messages) {
    for (std::size_t to = 0; to < hosts_.size(); ++to) {
      // A message without a recipient is a Join, which is sent to all hosts.
      const bool isMeant = message.to.empty() ? to != from : hosts_[to].identity == message.to;
      const auto blocked = blockedUntil_.find({ from, to });
      if ((blocked != blockedUntil_.end() && blocked->second > millis_) ||
          (dropAppends_ && message.kind == acp::MessageKind::Append)) {
        continue;
      }
      for (auto copies = isMeant ? 1 + (RandomBelow(20) == 0 ? 1 : 0) : 0; copies > 0; --copies) {
        if (RandomBelow(100) >= lossPercent_) {
          const auto slow = slowUntil_.find({ from, to });
          const bool isSlow = slow != slowUntil_.end() && slow->second > millis_;
          const auto delay =
            static_cast<std::int64_t>(1 + RandomBelow(isSlow || RandomBelow(30) == 0 ? 400 : 8));
          network_.emplace(millis_ + delay, Packet{ from, to, message });
        }
      }
    }
  }
}

void Simulation::Deliver()
{
  while (!network_.empty() && network_.begin()->first <= millis_) {
    const Packet packet = std::move(network_.extract(network_.begin()).mapped());
    Host& host = hosts_[packet.to];
    if (!host.core) {
      continue;
    }
    if (host.frozenUntil > millis_) {
      network_.emplace(host.frozenUntil, packet); // stays in the socket buffer of the kernel
      continue;
    }
    host.core->Step(packet.message, Time());
  }
}

void Simulation::FinishWrites(std::size_t index)
{
  Host& host = hosts_[index];
  if (host.writes.empty() || host.syncAt > millis_) {
    return;
  }
  acp::WriteBatch batch;
  for (const auto& write : host.writes) {
    batch.Merge(write.batch);
  }
  (void)host.storage->Write(batch).value();
  const auto writes = std::exchange(host.writes, {});
  host.core->OnPersisted(writes.back().number, Time());
  for (const auto& write : writes) {
    SendAll(index, write.messagesAfterSync);
  }
}

void Simulation::Apply(Host& host, const acp::LogEntry& entry)
{
  if (entry.position.index != host.applied + 1) {
    ReportViolation(host.address + " applied entry " + std::to_string(entry.position.index) +
                    " after " + std::to_string(host.applied));
  }
  host.applied = entry.position.index;
  const auto [known, isNew] = appliedEntries_.emplace(entry.position.index, entry);
  if (!(known->second == entry)) {
    ReportViolation("two different entries applied at " + std::to_string(host.applied));
  }
  if (isNew && known != appliedEntries_.begin() && std::prev(known)->second.time > entry.time) {
    ReportViolation("the time of entry " + std::to_string(host.applied) + " decreases");
  }
  if (entry.kind == acp::EntryKind::Command) {
    host.state.push_back(entry.data);
  }
  const auto proposal = host.proposals.find(entry.position.index);
  if (proposal != host.proposals.end()) {
    if (proposal->second == entry.position.term) {
      acknowledged_.emplace(entry.position.index, clock_.Now());
    }
    host.proposals.erase(proposal);
  }
}

void Simulation::Restore(Host& host, const acp::Snapshot& snapshot)
{
  host.state.clear();
  host.applied = snapshot.position.index;
  for (const auto& [index, entry] : appliedEntries_) {
    if (index <= host.applied && entry.kind == acp::EntryKind::Command) {
      host.state.push_back(entry.data);
    }
  }
  if (Join(host.state) != snapshot.state) {
    ReportViolation("the snapshot at " + std::to_string(host.applied) +
                    " differs from the history");
  }
}

void Simulation::ProcessReady(std::size_t index)
{
  Host& host = hosts_[index];
  acp::RaftReady ready = host.core->TakeReady(clock_.Now());
  SendAll(index, ready.messages);
  if (ready.restore) {
    Restore(host, *ready.restore);
  }
  for (const auto& entry : ready.committed) {
    Apply(host, entry);
  }
  host.core->OnApplied(host.applied);
  if (crashLeaderOnCommit_ && !ready.committed.empty() &&
      host.core->Role() == acp::RaftRole::Leader) {
    crashLeaderOnCommit_ = false;
    Reconnect();
    throw DiskCrash{};
  }
  if (!ready.committed.empty() && host.applied % kSnapshotEvery == 0) {
    host.core->Compact(host.applied, Join(host.state));
  }
  if (!ready.write.IsEmpty() || !ready.messagesAfterSync.empty()) {
    if (host.writes.empty()) {
      host.syncAt =
        millis_ + static_cast<std::int64_t>(1 + RandomBelow(RandomBelow(20) == 0 ? 100 : 4));
    }
    host.writes.push_back(
      { std::move(ready.write), ready.writeNumber, std::move(ready.messagesAfterSync) });
  }
}

void Simulation::CheckLeaders()
{
  for (const auto& host : hosts_) {
    if (!host.core || host.frozenUntil > millis_ || host.core->Role() != acp::RaftRole::Leader) {
      continue;
    }
    const auto [leader, isNew] = leaders_.emplace(host.core->Term(), host.identity);
    if (leader->second != host.identity) {
      ReportViolation("two leaders in term " + std::to_string(host.core->Term()));
    }
    const auto confirmedAt = host.core->ConfirmedAt();
    for (auto entry = acknowledged_.rbegin(); confirmedAt && entry != acknowledged_.rend();
         ++entry) {
      if (entry->first <= host.applied) {
        break;
      }
      if (entry->second < *confirmedAt) {
        ReportViolation("a confirmed leader lacks entry " + std::to_string(entry->first) +
                        ", acknowledged before its confirmation");
      }
    }
  }
}

void Simulation::Step()
{
  ++millis_;
  clock_.Advance(std::chrono::milliseconds(1));
  if (faultsEnabled_ && RandomBelow(options_.meanFaultIntervalMillis) == 0) {
    InjectFault();
  }
  while (!scheduledActions_.empty() && scheduledActions_.begin()->first <= millis_) {
    scheduledActions_.extract(scheduledActions_.begin()).mapped()();
  }
  Deliver();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    if (!host.core && host.restartAt <= millis_) {
      Start(host);
      Bootstrap(host);
    }
    if (!host.core || host.frozenUntil > millis_) {
      continue;
    }
    host.core->Tick(Time());
    if (options_.maintainsVoters && host.core->MaintainVoters(Time())) {
      ++voterChangeCount_;
    }
    if (host.core->Role() == acp::RaftRole::Leader && RandomBelow(8) == 0) {
      const auto position =
        host.core->Propose("command " + std::to_string(++commandCount_), clock_.WallNow());
      host.proposals[position.value().index] = position.value().term;
    }
    try {
      FinishWrites(i);
      ProcessReady(i);
    } catch (const DiskCrash&) {
      Crash(host);
    }
  }
  if (millis_ % 50 == 0) {
    RunOperator();
  }
  CheckLeaders();
}

std::string Simulation::Describe() const
{
  std::string text;
  for (const auto& host : hosts_) {
    text += "\n" + host.address + " " + host.identity;
    if (host.core) {
      const auto status = host.core->Status();
      const auto& membership = host.core->CurrentMembership();
      text += " role " + std::to_string(static_cast<int>(host.core->Role())) + " term " +
              std::to_string(status.term) + " last " + std::to_string(status.lastIndex) +
              " commit " + std::to_string(status.commitIndex) + " leader " + status.leaderId +
              " voters";
      for (const auto& voter : membership.voters) {
        text += " " + voter.id;
      }
      text += membership.oldVoters.empty() ? "" : " (joint)";
    }
  }
  for (const auto& id : lostIdentities_) {
    text += "\nlost " + id;
  }
  return text;
}

std::string Simulation::Run(int millis)
{
  try {
    for (int i = 0; i < millis && violation_.empty(); ++i) {
      Step();
    }
  } catch (const std::logic_error& e) {
    ReportViolation(e.what());
  }
  return violation_;
}

std::string Simulation::RunUntilRecovered()
{
  faultsEnabled_ = false;
  lossPercent_ = 0;
  scheduledActions_.clear();
  dropAppends_ = false;
  crashLeaderOnCommit_ = false;
  Reconnect();
  for (auto& host : hosts_) {
    host.frozenUntil = 0;
    host.disk->operationsUntilCrash = -1;
  }
  for (int i = 0; i < 300; ++i) {
    std::string violation = Run(100);
    if (!violation.empty()) {
      return violation;
    }
    const std::uint64_t last = acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
    const bool areEqual = std::all_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
      return host.core && host.applied >= last &&
             host.core->CurrentMembership().IsVoter(host.identity);
    });
    Host* leader = Leader();
    if (leader != nullptr && areEqual && lostIdentities_.empty() && leader->core->ConfirmedAt()) {
      return {};
    }
  }
  return "seed " + std::to_string(options_.seed) +
         ": no agreement 30 s after the last fault:" + Describe();
}
