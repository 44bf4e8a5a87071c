#include "acaciapulley/routing/member_table.hpp"

#include <algorithm> // clamp, count_if, find_if, max, min, sort
#include <cmath>     // exp
#include <utility>   // move

namespace acp {

namespace {

// A statement of load says little after a few polls' time.
constexpr Duration kLoadValid = std::chrono::seconds(1);

// Refusals are forgotten over about this long, as admission reopens.
constexpr double kRefusalSeconds = 1;

// Latencies and server errors of a member that gets no calls are forgotten over about this long, so
// that it is tried again.
constexpr double kForgetSeconds = 3;

// Weight of the newest call in moving averages of a member.
constexpr double kNewest = 0.1;

// Fewer answers are too few to lower the base of a class.
constexpr int kFewestAnswers = 5;
constexpr double kBaseDriftPerSecond = 0.02;

constexpr double kShortestLatency = 1e-6;

// A running call counts once it has taken this many times the base latency of its class.
constexpr double kOverdueRatio = 6;

// One call counts at most this much, so that a single slow answer does not mark a member.
constexpr double kLargestRatio = 16;

// Part of the capacity taken away from a member that refuses every call; the rest still probes it.
constexpr double kRefusalCost = 0.9;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

/// The part of a statistic of @p since that still counts.
double RememberedPart(TimePoint since, TimePoint now, double forgetSeconds)
{
  return std::exp(-std::max(Seconds(now - since), 0.0) / forgetSeconds);
}

double RefusedPartAt(const MemberState& member, TimePoint now)
{
  return member.refusedPart * RememberedPart(member.lastRefusal, now, kRefusalSeconds);
}

} // namespace

double MemberState::SlownessAt(TimePoint now) const
{
  return 1 + (slowness - 1) * RememberedPart(lastLatency, now, kForgetSeconds);
}

double MemberState::FailedPartAt(TimePoint now) const
{
  return failedPart * RememberedPart(lastAnswer, now, kForgetSeconds);
}

double MemberState::CapacityAt(TimePoint now) const
{
  const bool isLoadValid = hasLoad && now - loadAt <= kLoadValid && load.limit > 0;
  const double slots = std::max(info.slots, 1);
  const double limit = isLoadValid ? std::min(load.limit, slots) : slots;
  const double usable = 1 - kRefusalCost * RefusedPartAt(*this, now);
  return limit * slowStart.ShareAt(now) * usable / handicap;
}

double MemberState::UtilisationAt(TimePoint now, int more) const
{
  const bool isLoadValid = hasLoad && now - loadAt <= kLoadValid;
  const double others = isLoadValid ? othersInFlight : 0;
  return (InFlight() + others + more) / CapacityAt(now);
}

void ServiceMembers::Apply(const std::vector<RoutedMember>& members, TimePoint now)
{
  std::vector<MemberState> next;
  for (const RoutedMember& info : members) {
    MemberState* known = Find(info.nodeId);
    if (known != nullptr && known->info.epoch > info.epoch) {
      next.push_back(std::move(*known));
      continue;
    }
    if (known != nullptr && known->info.epoch == info.epoch) {
      MemberState state = std::move(*known);
      // A list older than the member's own refusal must not end the drain that it announced.
      state.isDraining = info.isDraining || now < state.drainingUntil;
      state.info = info;
      next.push_back(std::move(state));
      continue;
    }
    MemberState state;
    state.info = info;
    state.isDraining = info.isDraining;
    state.slowStart = hasList_ ? SlowStart(now, info.coldStart) : SlowStart();
    next.push_back(std::move(state));
  }
  std::sort(next.begin(), next.end(), [](const MemberState& left, const MemberState& right) {
    return left.info.nodeId < right.info.nodeId;
  });
  members_ = std::move(next);
  hasList_ = true;
  KeepHalf();
}

void ServiceMembers::Begin(MemberState& member, const std::string& requestClass, TimePoint now)
{
  member.running.push_back({ .startedAt = now, .requestClass = requestClass });
  if (member.outlier.IsTrialDue(now)) {
    member.outlier.BeginTrial();
  }
}

void ServiceMembers::Finish(const std::string& nodeId,
                            std::int64_t epoch,
                            const CallEnd& end,
                            TimePoint now)
{
  MemberState* member = Find(nodeId);
  if (member == nullptr || member->info.epoch != epoch) {
    return;
  }
  const CallResult result = end.result;
  const auto ended =
    std::find_if(member->running.begin(), member->running.end(), [&end](const RunningCall& call) {
      return call.startedAt == end.startedAt && call.requestClass == end.requestClass;
    });
  if (ended != member->running.end()) {
    member->running.erase(ended);
  }
  NoteLatency(*member, end, now);
  if (result == CallResult::Cancelled) {
    member->outlier.CancelTrial();
    return;
  }
  if (result == CallResult::Failed) {
    TryEject(*member, now);
    return;
  }
  // A refusal comes from a live node, so it counts as a success for outlier detection.
  member->outlier.OnSuccess();
  if (result == CallResult::Draining) {
    member->isDraining = true;
    member->drainingUntil = now + kDrainRefusalCounts;
  }
  const double refused = result == CallResult::Refused ? 1 : 0;
  member->refusedPart = (1 - kNewest) * RefusedPartAt(*member, now) + kNewest * refused;
  member->lastRefusal = now;
  if (result == CallResult::Answered || result == CallResult::ServerError) {
    const double failed = result == CallResult::ServerError ? 1 : 0;
    member->failedPart = (1 - kNewest) * member->FailedPartAt(now) + kNewest * failed;
    member->lastAnswer = now;
  }
}

double ServiceMembers::SlownessAt(const MemberState& member, TimePoint now) const
{
  double slowness = member.SlownessAt(now);
  for (const RunningCall& call : member.running) {
    const auto base = bases_.find(call.requestClass);
    if (base == bases_.end()) {
      continue;
    }
    const double ratio = Seconds(now - call.startedAt) / base->second.seconds;
    if (ratio > std::max(kOverdueRatio, slowness)) {
      slowness = (1 - kNewest) * slowness + kNewest * std::min(ratio, kLargestRatio);
    }
  }
  return slowness;
}

void ServiceMembers::NoteLatency(MemberState& member, const CallEnd& end, TimePoint now)
{
  if (end.result == CallResult::Answered) {
    LowerBase(member, end, now);
  }
  const auto base = bases_.find(end.requestClass);
  if (base == bases_.end()) {
    return;
  }
  const double ratio =
    std::clamp(Seconds(now - end.startedAt) / base->second.seconds, 1.0, kLargestRatio);
  const bool isUnfinished = end.result == CallResult::Cancelled || end.result == CallResult::Failed;
  // A call that was broken off would have taken longer still.
  if (end.result == CallResult::Answered || (isUnfinished && ratio > member.SlownessAt(now))) {
    member.slowness = (1 - kNewest) * member.SlownessAt(now) + kNewest * ratio;
    member.lastLatency = now;
  }
}

void ServiceMembers::LowerBase(MemberState& member, const CallEnd& end, TimePoint now)
{
  const double seconds = std::max(Seconds(now - end.startedAt), kShortestLatency);
  ClassLatency& latency = member.latencies[end.requestClass];
  latency.seconds += (latency.count == 0 ? 1 : kNewest) * (seconds - latency.seconds);
  latency.count = std::min(latency.count + 1, kFewestAnswers);
  if (latency.count < kFewestAnswers) {
    return;
  }
  const auto [found, isNew] =
    bases_.try_emplace(end.requestClass, BaseLatency{ .seconds = latency.seconds, .at = now });
  BaseLatency& base = found->second;
  const double drifted = base.seconds * (1 + kBaseDriftPerSecond * Seconds(now - base.at));
  base = { .seconds = std::min(drifted, latency.seconds), .at = now };
}

void ServiceMembers::NoteLoad(const std::string& nodeId, const LoadSample& load, TimePoint now)
{
  MemberState* member = Find(nodeId);
  if (member == nullptr) {
    return;
  }
  member->load = load;
  member->othersInFlight = std::max(load.inFlight - member->InFlight(), 0.0);
  member->loadAt = now;
  member->hasLoad = true;
}

MemberState* ServiceMembers::Find(const std::string& nodeId)
{
  const auto found = std::find_if(members_.begin(), members_.end(), [&](const MemberState& state) {
    return state.info.nodeId == nodeId;
  });
  return found == members_.end() ? nullptr : &*found;
}

void ServiceMembers::TryEject(MemberState& member, TimePoint now)
{
  if (!member.outlier.OnFailure(now)) {
    return;
  }
  std::size_t serving = 0;
  std::size_t ejected = 0;
  for (const MemberState& state : members_) {
    serving += state.isDraining ? 0U : 1U;
    ejected += !state.isDraining && state.outlier.IsEjected() ? 1U : 0U;
  }
  if (ejected + 1 <= OutlierDetector::MostEjected(serving)) {
    member.outlier.Eject(now);
  }
}

void ServiceMembers::KeepHalf()
{
  std::size_t serving = 0;
  std::vector<MemberState*> ejected;
  for (MemberState& state : members_) {
    if (state.isDraining) {
      continue;
    }
    ++serving;
    if (state.outlier.IsEjected()) {
      ejected.push_back(&state);
    }
  }
  // Members left the list since the ejections: readmit those that are nearest to their end.
  std::sort(ejected.begin(), ejected.end(), [](const MemberState* left, const MemberState* right) {
    return left->outlier.EjectedUntil() < right->outlier.EjectedUntil();
  });
  const std::size_t most = OutlierDetector::MostEjected(serving);
  for (std::size_t i = 0; i + most < ejected.size(); ++i) {
    ejected[i]->outlier.Readmit();
  }
}

void MemberTable::Apply(std::int64_t leaderTerm,
                        std::int64_t version,
                        const std::vector<RoutedMember>& members,
                        TimePoint now)
{
  const std::lock_guard one(applyMutex_);
  std::map<std::string, std::vector<RoutedMember>> byService;
  for (const RoutedMember& member : members) {
    byService[member.service].push_back(member);
  }
  std::map<std::string, std::shared_ptr<Shard>> shards;
  {
    const std::lock_guard lock(mutex_);
    if (leaderTerm < term_ || (leaderTerm == term_ && version < version_)) {
      return;
    }
    term_ = leaderTerm;
    version_ = version;
    size_ = members.size();
    for (const auto& [service, list] : byService) {
      auto& shard = shards_[service];
      if (!shard) {
        shard = std::make_shared<Shard>();
      }
    }
    shards = shards_;
    std::erase_if(shards_, [&](const auto& item) { return !byService.contains(item.first); });
  }
  for (const auto& [service, shard] : shards) {
    const std::lock_guard lock(shard->mutex);
    shard->members.Apply(byService[service], now);
  }
  changes_.Notify();
}

void MemberTable::Finish(const std::string& service,
                         const std::string& nodeId,
                         std::int64_t epoch,
                         const CallEnd& end,
                         TimePoint now)
{
  With(service, [&](ServiceMembers& members) { members.Finish(nodeId, epoch, end, now); });
}

void MemberTable::NoteLoad(const std::string& service,
                           const std::string& nodeId,
                           const LoadSample& load,
                           TimePoint now)
{
  With(service, [&](ServiceMembers& members) { members.NoteLoad(nodeId, load, now); });
}

void MemberTable::With(const std::string& service, const std::function<void(ServiceMembers&)>& use)
{
  const std::shared_ptr<Shard> shard = Find(service);
  if (shard) {
    const std::lock_guard lock(shard->mutex);
    use(shard->members);
  }
}

std::shared_ptr<MemberTable::Shard> MemberTable::Find(const std::string& service)
{
  const std::lock_guard lock(mutex_);
  const auto found = shards_.find(service);
  return found == shards_.end() ? nullptr : found->second;
}

} // namespace acp
