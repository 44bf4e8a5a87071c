#include "acaciapulley/routing/member_table.hpp"

#include <algorithm> // clamp, count_if, find_if, max, min, sort
#include <cmath>     // exp
#include <utility>   // move

namespace acp {

namespace {

// A load report is outdated after a few poll intervals.
constexpr Duration kLoadSampleLifetime = std::chrono::seconds(1);

// Time constant for the decay of refusal rates; admission reopens in about this time.
constexpr double kRefusalDecaySeconds = 1;

// Time constant for the decay of latencies and error rates of a member that gets no calls, so that
// it is tried again.
constexpr double kStatisticsDecaySeconds = 3;

// Weight of the latest call in the moving averages of a member.
constexpr double kEwmaWeight = 0.1;

// Responses needed from a member before its latency can set the baseline of a class.
constexpr int kMinLatencySamples = 5;
constexpr double kBaselineDriftPerSecond = 0.02;

constexpr double kMinLatencySeconds = 1e-6;

// A running call is overdue when it has taken this multiple of the baseline of its class.
constexpr double kOverdueRatio = 6;

// Bounds the weight of one call, so that a single slow response does not mark a member as slow.
constexpr double kMaxLatencyRatio = 16;

// Slowness up to this may be the lower bound of its values.
constexpr double kMinMeasuredSlowness = 1.2;

// Fraction of the capacity removed from a member that refuses every call; the rest keeps probing
// it.
constexpr double kMaxRefusalPenalty = 0.9;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

/// Returns the weight that a statistic last updated at @p since still has at @p now.
double DecayFactor(TimePoint since, TimePoint now, double forgetSeconds)
{
  return std::exp(-std::max(Seconds(now - since), 0.0) / forgetSeconds);
}

double RefusalRateAt(const MemberState& member, TimePoint now)
{
  return member.refusalRate * DecayFactor(member.lastRefusalAt, now, kRefusalDecaySeconds);
}

/// Applies the cold start of a member that has a rate limit while it is cold.
void ApplyColdStart(MemberState& member, TimePoint now)
{
  member.slowStart = SlowStart(now, member.info.coldStart);
  member.warmupShare.Begin(now, member.info.coldStart);
}

} // namespace

double MemberState::SlownessAt(TimePoint now) const
{
  return 1 + (slowness - 1) * DecayFactor(lastLatencyAt, now, kStatisticsDecaySeconds);
}

double MemberState::ErrorRateAt(TimePoint now) const
{
  return errorRate * DecayFactor(lastAnswerAt, now, kStatisticsDecaySeconds);
}

double MemberState::CapacityAt(TimePoint now) const
{
  const bool isLoadValid = hasLoad && now - loadAt <= kLoadSampleLifetime && load.limit > 0;
  const double slots = std::max(info.slots, 1);
  const double limit = isLoadValid ? std::min(load.limit, slots) : slots;
  const double usable = 1 - kMaxRefusalPenalty * RefusalRateAt(*this, now);
  return limit * slowStart.ShareAt(now) * usable / slownessPenalty;
}

double MemberState::UtilisationAt(TimePoint now, int more) const
{
  const bool isLoadValid = hasLoad && now - loadAt <= kLoadSampleLifetime;
  const double others = isLoadValid ? othersInFlight : 0;
  return (InFlight() + others + more) / CapacityAt(now);
}

void ServiceMembers::Apply(const std::vector<RoutedMember>& members, TimePoint now)
{
  std::vector<MemberState> next;
  for (const RoutedMember& info : members) {
    MemberState* known = Find(info.nodeId);
    if (known != nullptr && known->info.epoch == info.epoch) {
      MemberState state = std::move(*known);
      // A list older than the member's refusal must not end the drain that the refusal reported.
      state.isDraining = info.isDraining || now < state.drainingUntil;
      const bool hasNewColdStart = info.warmupRate > 0 && info.coldStart != state.info.coldStart;
      state.info = info;
      if (hasNewColdStart) {
        ApplyColdStart(state, now);
      }
      next.push_back(std::move(state));
      continue;
    }
    MemberState state;
    state.info = info;
    state.isDraining = info.isDraining;
    state.slowStart = hasList_ ? SlowStart(now, info.coldStart) : SlowStart();
    if (info.warmupRate > 0) {
      ApplyColdStart(state, now);
    }
    next.push_back(std::move(state));
  }
  std::sort(next.begin(), next.end(), [](const MemberState& left, const MemberState& right) {
    return left.info.nodeId < right.info.nodeId;
  });
  members_ = std::move(next);
  for (MemberState& state : members_) {
    state.isEvacuated = evacuated_.contains(state.info.dataCentre);
  }
  hasList_ = true;
  LimitEjections();
}

void ServiceMembers::SetEvacuated(const std::set<std::string>& dataCentres)
{
  if (dataCentres == evacuated_) {
    return;
  }
  evacuated_ = dataCentres;
  for (MemberState& state : members_) {
    state.isEvacuated = evacuated_.contains(state.info.dataCentre);
  }
  LimitEjections();
}

void ServiceMembers::ExpireDrains(TimePoint now)
{
  for (MemberState& state : members_) {
    state.isDraining = state.isDraining && (state.info.isDraining || now < state.drainingUntil);
  }
}

void ServiceMembers::BeginCall(MemberState& member, const std::string& requestClass, TimePoint now)
{
  member.running.push_back({ .startedAt = now, .requestClass = requestClass });
  if (member.outlier.IsTrialDue(now)) {
    member.outlier.BeginTrial();
  }
}

void ServiceMembers::FinishCall(const std::string& nodeId,
                                std::int64_t epoch,
                                const FinishedCall& finished,
                                TimePoint now)
{
  MemberState* member = Find(nodeId);
  if (member == nullptr || member->info.epoch != epoch) {
    return;
  }
  const CallResult result = finished.result;
  const auto ended = std::find_if(
    member->running.begin(), member->running.end(), [&finished](const RunningCall& call) {
      return call.startedAt == finished.startedAt && call.requestClass == finished.requestClass;
    });
  if (ended != member->running.end()) {
    member->running.erase(ended);
  }
  RecordLatency(*member, finished, now);
  if (result == CallResult::Cancelled) {
    member->outlier.CancelTrial();
    return;
  }
  if (result == CallResult::Failed) {
    TryEject(*member, now);
    return;
  }
  // A refusal shows that the node is alive, so it counts as a success for outlier detection.
  member->outlier.OnSuccess();
  if (result == CallResult::Draining) {
    member->isDraining = true;
    member->drainingUntil = now + kDrainRefusalLifetime;
  }
  const double refused = result == CallResult::Refused ? 1 : 0;
  member->refusalRate = (1 - kEwmaWeight) * RefusalRateAt(*member, now) + kEwmaWeight * refused;
  member->lastRefusalAt = now;
  if (result == CallResult::Answered || result == CallResult::ServerError) {
    const double failed = result == CallResult::ServerError ? 1 : 0;
    member->errorRate = (1 - kEwmaWeight) * member->ErrorRateAt(now) + kEwmaWeight * failed;
    member->lastAnswerAt = now;
  }
}

double ServiceMembers::SlownessAt(const MemberState& member, TimePoint now) const
{
  double slowness = member.SlownessAt(now);
  for (const RunningCall& call : member.running) {
    const auto baseline = baselines_.find(call.requestClass);
    if (baseline == baselines_.end()) {
      continue;
    }
    const double ratio = Seconds(now - call.startedAt) / baseline->second.seconds;
    if (ratio > std::max(kOverdueRatio, slowness)) {
      slowness = (1 - kEwmaWeight) * slowness + kEwmaWeight * std::min(ratio, kMaxLatencyRatio);
    }
  }
  return slowness;
}

void ServiceMembers::RecordLatency(MemberState& member, const FinishedCall& finished, TimePoint now)
{
  if (finished.result == CallResult::Answered) {
    UpdateBaseline(member, finished, now);
  }
  const auto baseline = baselines_.find(finished.requestClass);
  if (baseline == baselines_.end()) {
    return;
  }
  const double ratio =
    std::clamp(Seconds(now - finished.startedAt) / baseline->second.seconds, 1.0, kMaxLatencyRatio);
  const bool isUnfinished =
    finished.result == CallResult::Cancelled || finished.result == CallResult::Failed;
  // The latency of an unfinished call is a lower bound, so it is used only when it raises the
  // average.
  if (finished.result == CallResult::Answered || (isUnfinished && ratio > member.SlownessAt(now))) {
    member.slowness = (1 - kEwmaWeight) * member.SlownessAt(now) + kEwmaWeight * ratio;
    member.lastLatencyAt = now;
  }
}

void ServiceMembers::UpdateBaseline(MemberState& member,
                                    const FinishedCall& finished,
                                    TimePoint now)
{
  const double seconds = std::max(Seconds(now - finished.startedAt), kMinLatencySeconds);
  ClassLatency& latency = member.latencies[finished.requestClass];
  latency.seconds += (latency.count == 0 ? 1 : kEwmaWeight) * (seconds - latency.seconds);
  latency.count = std::min(latency.count + 1, kMinLatencySamples);
  if (latency.count < kMinLatencySamples) {
    return;
  }
  const auto [found, isNew] = baselines_.try_emplace(
    finished.requestClass, BaselineLatency{ .seconds = latency.seconds, .at = now });
  BaselineLatency& baseline = found->second;
  const double drifted =
    baseline.seconds * (1 + kBaselineDriftPerSecond * Seconds(now - baseline.at));
  baseline = { .seconds = std::min(drifted, latency.seconds), .at = now };
}

void ServiceMembers::UpdateLoad(const std::string& nodeId, const LoadSample& load, TimePoint now)
{
  MemberState* member = Find(nodeId);
  if (member == nullptr) {
    return;
  }
  member->load = load;
  member->othersInFlight = std::max(load.inFlight - member->InFlight(), 0.0);
  member->loadAt = now;
  member->hasLoad = true;
  if (load.runTime) {
    member->runTimes.Apply(*load.runTime, now);
    member->reportedInFlight.Apply(load.inFlight, member->InFlight(), load.age, now);
  }
}

double ServiceMembers::MeasuredSeconds(const MemberState& member,
                                       const std::string& requestClass,
                                       TimePoint now) const
{
  const auto baseline = baselines_.find(requestClass);
  const bool isOld = now - member.lastLatencyAt > kReportLifetime;
  if (baseline == baselines_.end() || (member.running.empty() && isOld)) {
    return 0;
  }
  // Slowness is at least 1, also for a member that is faster than the baseline, so that it says
  // something only when it is higher.
  const double slowness = SlownessAt(member, now);
  if (slowness > kMinMeasuredSlowness) {
    return baseline->second.seconds * slowness;
  }
  const auto own = member.latencies.find(requestClass);
  return own == member.latencies.end() ? 0 : own->second.seconds;
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
    serving += state.IsServing() ? 1U : 0U;
    ejected += state.IsServing() && state.outlier.IsEjected() ? 1U : 0U;
  }
  if (ejected + 1 <= OutlierDetector::MaxEjected(serving)) {
    member.outlier.Eject(now);
  }
}

void ServiceMembers::LimitEjections()
{
  std::size_t serving = 0;
  std::vector<MemberState*> ejected;
  for (MemberState& state : members_) {
    if (!state.IsServing()) {
      continue;
    }
    ++serving;
    if (state.outlier.IsEjected()) {
      ejected.push_back(&state);
    }
  }
  // Too many are ejected when members have left the list since: readmit those whose ejections end
  // first.
  std::sort(ejected.begin(), ejected.end(), [](const MemberState* left, const MemberState* right) {
    return left->outlier.EjectedUntil() < right->outlier.EjectedUntil();
  });
  const std::size_t most = OutlierDetector::MaxEjected(serving);
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
  std::map<std::string, std::shared_ptr<ServiceEntry>> services;
  {
    const std::lock_guard lock(mutex_);
    if (leaderTerm < term_ || (leaderTerm == term_ && version < version_)) {
      return;
    }
    term_ = leaderTerm;
    version_ = version;
    size_ = members.size();
    for (const auto& [service, list] : byService) {
      auto& entry = services_[service];
      if (!entry) {
        entry = std::make_shared<ServiceEntry>();
      }
    }
    services = services_;
    std::erase_if(services_, [&](const auto& item) { return !byService.contains(item.first); });
  }
  for (const auto& [service, entry] : services) {
    const std::lock_guard lock(entry->mutex);
    entry->members.SetEvacuated(evacuated_);
    entry->members.Apply(byService[service], now);
  }
  changes_.Notify();
}

void MemberTable::SetEvacuated(const std::set<std::string>& dataCentres)
{
  const std::lock_guard one(applyMutex_);
  if (dataCentres == evacuated_) {
    return;
  }
  evacuated_ = dataCentres;
  std::map<std::string, std::shared_ptr<ServiceEntry>> services;
  {
    const std::lock_guard lock(mutex_);
    services = services_;
  }
  for (const auto& [service, entry] : services) {
    const std::lock_guard lock(entry->mutex);
    entry->members.SetEvacuated(evacuated_);
  }
  changes_.Notify();
}

void MemberTable::FinishCall(const std::string& service,
                             const std::string& nodeId,
                             std::int64_t epoch,
                             const FinishedCall& finished,
                             TimePoint now)
{
  With(service, [&](ServiceMembers& members) { members.FinishCall(nodeId, epoch, finished, now); });
}

void MemberTable::UpdateLoad(const std::string& service,
                             const std::string& nodeId,
                             const LoadSample& load,
                             TimePoint now)
{
  With(service, [&](ServiceMembers& members) { members.UpdateLoad(nodeId, load, now); });
}

void MemberTable::With(const std::string& service,
                       const std::function<void(ServiceMembers&)>& action)
{
  const std::shared_ptr<ServiceEntry> entry = Find(service);
  if (entry) {
    const std::lock_guard lock(entry->mutex);
    action(entry->members);
  }
}

std::shared_ptr<MemberTable::ServiceEntry> MemberTable::Find(const std::string& service)
{
  const std::lock_guard lock(mutex_);
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : found->second;
}

} // namespace acp
