#include "acaciapulley/node/upstream_registry.hpp"

#include <algorithm> // find_if
#include <utility>   // move

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

namespace {

constexpr std::size_t kMaxShownBytes = 64;
// Instances that follow each other at one address while their last calls may still be on the way.
constexpr std::size_t kMaxDepartures = 64;
// In a row; a single one may be late.
constexpr int kMissedHeartbeats = 2;

/// Returns whether @p heartbeat follows @p known in the order of starts and sequences.
bool IsNewerThan(const UpstreamHeartbeat& heartbeat, const std::optional<UpstreamHeartbeat>& known)
{
  if (!known) {
    return true;
  }
  if (heartbeat.startedAtMs != known->startedAtMs) {
    return heartbeat.startedAtMs > known->startedAtMs;
  }
  return heartbeat.announcement.instanceId != known->announcement.instanceId ||
         heartbeat.sequence > known->sequence;
}

bool IsOfInstance(const std::optional<UpstreamHeartbeat>& known, const std::string& instanceId)
{
  return known && known->announcement.instanceId == instanceId;
}

} // namespace

UpstreamRegistry::UpstreamRegistry(UpstreamRegistryOptions options)
  : options_(std::move(options))
  , startedAt_(options_.clock->Now())
  , candidates_(options_.isKnownService)
{
}

bool UpstreamRegistry::IsSameStart(const UpstreamHeartbeat& heartbeat) const
{
  if (!IsOfInstance(current_, heartbeat.announcement.instanceId)) {
    return false;
  }
  // A health check does not report the start time.
  return current_->startedAtMs == 0 || heartbeat.startedAtMs == current_->startedAtMs;
}

bool UpstreamRegistry::IsKnownService(const std::string& service) const
{
  return !options_.isKnownService || options_.isKnownService(service);
}

/// Returns whether the current upstream has announced its end or has fallen silent.
bool UpstreamRegistry::IsCurrentGone() const
{
  return current_->announcement.draining ||
         options_.clock->Now() - currentHeardAt_ >= kMissedHeartbeats * options_.heartbeatInterval;
}

UpstreamRegistry::Verdict UpstreamRegistry::Judge(const UpstreamHeartbeat& heartbeat)
{
  if (!options_.confirmsInstances) {
    return JudgeUnconfirmed(heartbeat);
  }
  if (!IsNewerThan(heartbeat, current_)) {
    return MayHaveStartedLater(heartbeat) ? Verdict::KeepCandidate : Verdict::Ignore;
  }
  if (MayHaveDeparted(heartbeat)) {
    return Verdict::KeepCandidate;
  }
  const bool isOfCurrent = IsOfInstance(current_, heartbeat.announcement.instanceId);
  if (HasDeparted(heartbeat) && !isOfCurrent) {
    return Verdict::Ignore;
  }
  const bool keepsService =
    isOfCurrent && current_->announcement.service == heartbeat.announcement.service;
  if (!current_ || (!keepsService && !IsKnownService(heartbeat.announcement.service))) {
    return Verdict::KeepCandidate;
  }
  // A health check does not report the start time, so that it cannot order two instances.
  const bool canBeOrdered = current_->startedAtMs != 0;
  return isOfCurrent || (canBeOrdered && IsCurrentGone()) ? Verdict::Apply : Verdict::KeepCandidate;
}

UpstreamRegistry::Verdict UpstreamRegistry::JudgeUnconfirmed(
  const UpstreamHeartbeat& heartbeat) const
{
  const bool displacesKnownService = current_ && !IsKnownService(heartbeat.announcement.service) &&
                                     IsKnownService(current_->announcement.service);
  return IsNewerThan(heartbeat, current_) && !displacesKnownService ? Verdict::Apply
                                                                    : Verdict::Ignore;
}

/// Returns whether @p heartbeat, which states an earlier start than the current upstream, can be of
/// its successor: the clocks of the two may differ.
bool UpstreamRegistry::MayHaveStartedLater(const UpstreamHeartbeat& heartbeat)
{
  if (!IsCurrentGone() || heartbeat.startedAtMs == current_->startedAtMs) {
    return false;
  }
  const bool isOfCurrent = IsOfInstance(current_, heartbeat.announcement.instanceId);
  if (isOfCurrent && current_->announcement.draining) {
    return false;
  }
  return MayHaveDeparted(heartbeat) || !HasDeparted(heartbeat);
}

/// Returns whether its instance departed without stating which start ended.
bool UpstreamRegistry::MayHaveDeparted(const UpstreamHeartbeat& heartbeat)
{
  const KnownDeparture* known = FindDeparture(heartbeat.announcement.instanceId);
  return known != nullptr && known->departure.startedAtMs == 0 && !IsSameStart(heartbeat);
}

/// Returns whether @p heartbeat, of a candidate, proves by itself that its upstream runs.
bool UpstreamRegistry::IsSentAfterStart(const UpstreamHeartbeat& heartbeat)
{
  const detail::UpstreamCandidate* known = candidates_.FindStart(heartbeat);
  if (known == nullptr || known->saidNotReady || known->heartbeat.sequence >= heartbeat.sequence ||
      !IsKnownService(heartbeat.announcement.service) || MayHaveDeparted(heartbeat)) {
    return false;
  }
  const TimePoint now = options_.clock->Now();
  if (current_ && !IsCurrentGone()) {
    return false;
  }
  const TimePoint earliest = IsNewerThan(heartbeat, current_) ? startedAt_ : known->firstHeardAt;
  return now - earliest >= options_.longestDelay;
}

bool UpstreamRegistry::ApplyHeartbeat(const UpstreamHeartbeat& heartbeat)
{
  const std::lock_guard lock(mutex_);
  const Verdict verdict = Judge(heartbeat);
  if (current_ && !IsKnownService(heartbeat.announcement.service) &&
      IsKnownService(current_->announcement.service)) {
    Log(LogLevel::Warning,
        "heartbeat_of_unknown_service",
        { { "instance", heartbeat.announcement.instanceId.substr(0, kMaxShownBytes) },
          { "service", heartbeat.announcement.service.substr(0, kMaxShownBytes) } });
  }
  if (verdict == Verdict::Ignore) {
    return false;
  }
  if (verdict == Verdict::Apply) {
    candidates_.RemoveInstance(heartbeat.announcement.instanceId, heartbeat.startedAtMs);
    Apply(heartbeat, options_.clock->Now());
    return true;
  }
  if (!IsSentAfterStart(heartbeat)) {
    KeepCandidate(heartbeat);
    return false;
  }
  Confirm(heartbeat, options_.clock->Now(), "heartbeats");
  return true;
}

void UpstreamRegistry::KeepCandidate(const UpstreamHeartbeat& heartbeat)
{
  if (candidates_.Add(heartbeat, options_.clock->Now())) {
    Log(LogLevel::Info,
        "upstream_to_confirm",
        { { "instance", heartbeat.announcement.instanceId },
          { "service", heartbeat.announcement.service },
          { "started_at_ms", std::to_string(heartbeat.startedAtMs) },
          { "current", current_ ? current_->announcement.instanceId : "" } });
  }
  {
    const std::lock_guard lock(checkMutex_);
    hasCandidate_ = true;
  }
  checkNeeded_.notify_all();
}

void UpstreamRegistry::ApplyHealthCheck(const HealthCheckResult& result)
{
  const std::lock_guard lock(mutex_);
  if (candidates_.Size() > 0 && result.answer != lastAnswer_) {
    Log(LogLevel::Info,
        "upstream_health_answer",
        { { "answer", std::string(NameOf(result.answer)) },
          { "instance", result.instanceId.substr(0, kMaxShownBytes) } });
  }
  lastAnswer_ = result.answer;
  if (result.answer == HealthAnswer::NotReady) {
    // An upstream that has said that it leaves may then fall silent.
    candidates_.MarkNotReady(result.askedAt);
  }
  if (result.answer == HealthAnswer::Ready) {
    AnswerCheckRequest(result.askedAt);
    // First, so that the announcement that may follow is made with the reported state.
    ReportHealthWarmup(result);
  }
  if (!result.instanceId.empty()) {
    ApplyRunningInstance(result);
  }
}

void UpstreamRegistry::AnswerCheckRequest(TimePoint askedAt)
{
  const std::lock_guard lock(checkMutex_);
  if (checkRequestedAt_ && askedAt >= *checkRequestedAt_) {
    checkRequestedAt_.reset();
  }
}

void UpstreamRegistry::ReportHealthWarmup(const HealthCheckResult& result)
{
  if (options_.reportWarmup && result.warmupLeft) {
    options_.reportWarmup({ .source = ColdReason::HealthAnswer,
                            .service = result.found ? result.found->announcement.service : "",
                            .left = *result.warmupLeft,
                            .askedAt = result.askedAt,
                            .receivedAt = options_.clock->Now() });
  }
}

/// Returns whether @p result, which names the instance of @p candidate, lets it be used.
bool UpstreamRegistry::Proves(const HealthCheckResult& result,
                              const detail::UpstreamCandidate& candidate) const
{
  const bool isReady = result.answer == HealthAnswer::Ready;
  if (!IsNewerThan(candidate.heartbeat, current_)) {
    return isReady && IsCurrentGone();
  }
  // An instance that runs in the place of one that has been confirmed since the start of the node
  // has made all its calls to this process. Of any other, an unknown departure may have been
  // acknowledged, unless it says that it is ready.
  const bool hasDisplaced = current_ && current_->startedAtMs != 0;
  return isReady || hasDisplaced || candidate.heartbeat.announcement.draining;
}

/// Applies a health answer that names the instance which runs.
void UpstreamRegistry::ApplyRunningInstance(const HealthCheckResult& result)
{
  const bool isReady = result.answer == HealthAnswer::Ready;
  if (const KnownDeparture* departure = FindDeparture(result.instanceId)) {
    if (result.askedAt <= departure->heardAt) {
      return;
    }
    if (departure->departure.startedAtMs == 0) {
      if (!isReady) {
        return;
      }
      // The instance runs, so that the departure was that of an earlier start.
      ForgetDeparture(result.instanceId);
    }
  }
  const auto* candidate = candidates_.FindInstance(result.instanceId, true);
  const bool isListed = candidates_.FindInstance(result.instanceId, false) != nullptr;
  if (candidate != nullptr && Proves(result, *candidate)) {
    const detail::UpstreamCandidate proved = *candidate;
    Confirm(proved.heartbeat, proved.lastHeardAt, "health_answer");
  } else if (!current_ && isReady && result.found && !isListed) {
    Confirm(*result.found, result.askedAt, "health_answer");
  } else if (IsOfInstance(current_, result.instanceId) && !isListed) {
    currentHeardAt_ = options_.clock->Now();
  }
  const std::size_t removed = candidates_.RemoveOthers(result.instanceId, result.askedAt);
  if (removed > 0) {
    Log(LogLevel::Info,
        "upstreams_not_confirmed",
        { { "count", std::to_string(removed) },
          { "running", result.instanceId.substr(0, kMaxShownBytes) } });
  }
}

void UpstreamRegistry::Confirm(const UpstreamHeartbeat& heartbeat,
                               TimePoint receivedAt,
                               const char* evidence)
{
  Log(LogLevel::Info,
      "upstream_confirmed",
      { { "instance", heartbeat.announcement.instanceId }, { "by", evidence } });
  candidates_.RemoveInstance(heartbeat.announcement.instanceId, heartbeat.startedAtMs);
  Apply(heartbeat, receivedAt);
}

bool UpstreamRegistry::HasUpstream() const
{
  const std::lock_guard lock(mutex_);
  return current_.has_value();
}

std::vector<std::string> UpstreamRegistry::ServicesToConfirm()
{
  const std::lock_guard lock(mutex_);
  if (current_) {
    // Those that displace nothing and are not heard of again need no further checks.
    candidates_.RemoveHeardUntil(options_.clock->Now() -
                                 kMissedHeartbeats * options_.heartbeatInterval);
  }
  return candidates_.Services();
}

void UpstreamRegistry::RequestHealthCheck()
{
  {
    const std::lock_guard lock(checkMutex_);
    checkRequestedAt_ = options_.clock->Now();
  }
  checkNeeded_.notify_all();
}

bool UpstreamRegistry::IsHealthCheckRequested() const
{
  const std::lock_guard lock(checkMutex_);
  return checkRequestedAt_.has_value();
}

void UpstreamRegistry::DropHealthCheckRequest()
{
  const std::lock_guard lock(checkMutex_);
  checkRequestedAt_.reset();
}

void UpstreamRegistry::AwaitNeedOfCheck(const std::stop_token& stop, Duration longest)
{
  std::unique_lock lock(checkMutex_);
  checkNeeded_.wait_for(
    lock, stop, longest, [this] { return hasCandidate_ || checkRequestedAt_.has_value(); });
  hasCandidate_ = false;
}

void UpstreamRegistry::Apply(const UpstreamHeartbeat& heartbeat, TimePoint receivedAt)
{
  const bool isSameStart = IsSameStart(heartbeat);
  UpstreamHeartbeat applied = heartbeat;
  if (isSameStart) {
    // The slow start is timed from the first heartbeat.
    applied.announcement.coldStartMs = current_->announcement.coldStartMs;
  } else {
    Log(LogLevel::Info,
        "upstream_started",
        { { "instance", applied.announcement.instanceId },
          { "service", applied.announcement.service },
          { "slots", std::to_string(applied.announcement.slots) } });
  }
  applied.announcement.draining = applied.announcement.draining || HasDeparted(applied);
  if (applied.announcement.draining && !(isSameStart && current_->announcement.draining)) {
    Log(LogLevel::Info, "upstream_draining", { { "instance", applied.announcement.instanceId } });
  }
  current_ = applied;
  currentHeardAt_ = options_.clock->Now();
  if (options_.reportWarmup) {
    // The heartbeat's own time, which may say that the same start has become cold again.
    options_.reportWarmup({ .service = heartbeat.announcement.service,
                            .left = std::chrono::milliseconds(heartbeat.announcement.coldStartMs),
                            .receivedAt = receivedAt });
  }
  options_.announce(applied.announcement);
}

/// Returns the start of an instance in its heartbeats; 0: there are none, or they do not state it.
std::int64_t UpstreamRegistry::KnownStart(const std::string& instanceId) const
{
  if (IsOfInstance(current_, instanceId)) {
    return current_->startedAtMs;
  }
  const auto* known = candidates_.FindInstance(instanceId, true);
  const auto* any = known != nullptr ? known : candidates_.FindInstance(instanceId, false);
  return any != nullptr ? any->heartbeat.startedAtMs : 0;
}

UpstreamRegistry::KnownDeparture* UpstreamRegistry::FindDeparture(const std::string& instanceId)
{
  const auto found = std::find_if(departures_.begin(), departures_.end(), [&](const auto& known) {
    return known.departure.instanceId == instanceId;
  });
  return found != departures_.end() ? &*found : nullptr;
}

bool UpstreamRegistry::HasDeparted(const UpstreamHeartbeat& heartbeat)
{
  KnownDeparture* known = FindDeparture(heartbeat.announcement.instanceId);
  if (known == nullptr) {
    return false;
  }
  if (known->departure.startedAtMs == 0) {
    // It did not state its start and ends the one that is known first.
    known->departure.startedAtMs = heartbeat.startedAtMs;
  }
  return heartbeat.startedAtMs <= known->departure.startedAtMs;
}

void UpstreamRegistry::ForgetDeparture(const std::string& instanceId)
{
  std::erase_if(departures_, [&instanceId](const auto& known) {
    return known.departure.instanceId == instanceId;
  });
}

void UpstreamRegistry::KeepDeparture(const UpstreamDeparture& departure, bool wasKnown)
{
  ForgetDeparture(departure.instanceId);
  if (departures_.size() == kMaxDepartures) {
    // Departures of instances that never sent a heartbeat may be of another writer.
    const auto unknown = std::find_if(
      departures_.begin(), departures_.end(), [](const auto& known) { return !known.wasKnown; });
    departures_.erase(unknown != departures_.end() ? unknown : departures_.begin());
  }
  departures_.push_back(
    { .departure = departure, .heardAt = options_.clock->Now(), .wasKnown = wasKnown });
}

bool UpstreamRegistry::ApplyDeparture(const UpstreamDeparture& departure)
{
  const std::lock_guard lock(mutex_);
  const bool isOfCurrent = IsOfInstance(current_, departure.instanceId);
  const bool wasKnown =
    isOfCurrent || candidates_.FindInstance(departure.instanceId, false) != nullptr;
  const std::int64_t knownStartMs = KnownStart(departure.instanceId);
  const std::int64_t endedStartMs =
    departure.startedAtMs != 0 ? departure.startedAtMs : knownStartMs;
  const bool isOutdated = endedStartMs < knownStartMs;
  if (isOutdated) {
    Log(LogLevel::Info,
        "departure_outdated",
        { { "instance", departure.instanceId },
          { "started_at_ms", std::to_string(departure.startedAtMs) },
          { "known_started_at_ms", std::to_string(knownStartMs) } });
    if (isOfCurrent) {
      return false;
    }
  } else {
    Log(LogLevel::Info, "upstream_left", { { "instance", departure.instanceId } });
  }
  // The later start of a candidate is not confirmed, so that the departure is kept beside it.
  KeepDeparture({ .instanceId = departure.instanceId, .startedAtMs = endedStartMs }, wasKnown);
  candidates_.RemoveInstance(departure.instanceId, endedStartMs);
  if (isOfCurrent) {
    current_->announcement.draining = true;
    options_.announce(current_->announcement);
  }
  return !isOutdated;
}

} // namespace acp
