#include "acaciapulley/node/upstream_registry.hpp"

#include <algorithm> // find_if
#include <utility>   // move

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

namespace {

constexpr std::size_t kMaxShownBytes = 64;
// Instances that follow each other at one address while their last calls may still be on the way.
constexpr std::size_t kMaxDepartures = 16;

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

bool UpstreamRegistry::IsOfUnknownService(const UpstreamHeartbeat& heartbeat) const
{
  return options_.isKnownService && current_ &&
         !options_.isKnownService(heartbeat.announcement.service) &&
         options_.isKnownService(current_->announcement.service);
}

/// A health check does not report the start time, so that it cannot order two instances.
bool UpstreamRegistry::IsOtherThanChecked(const UpstreamHeartbeat& heartbeat) const
{
  return current_ && current_->startedAtMs == 0 &&
         current_->announcement.instanceId != heartbeat.announcement.instanceId;
}

bool UpstreamRegistry::MustConfirm(const UpstreamHeartbeat& heartbeat)
{
  if (!options_.confirmsFirstHeartbeat) {
    return false;
  }
  if (IsOtherThanChecked(heartbeat)) {
    return true;
  }
  if (MayHaveDeparted(heartbeat)) {
    return true;
  }
  return !isConfirmed_ && !heartbeat.announcement.draining && !HasDeparted(heartbeat);
}

/// Returns whether its instance departed without stating which start ended.
bool UpstreamRegistry::MayHaveDeparted(const UpstreamHeartbeat& heartbeat)
{
  const KnownDeparture* known = FindDeparture(heartbeat.announcement.instanceId);
  return known != nullptr && known->departure.startedAtMs == 0 && !IsSameStart(heartbeat);
}

/// Returns whether @p heartbeat, which must be confirmed, proves by itself that its upstream runs.
bool UpstreamRegistry::IsSentAfterStart(const UpstreamHeartbeat& heartbeat) const
{
  return options_.clock->Now() - startedAt_ >= options_.longestDelay && !saidNotReady_ &&
         IsOfInstance(keptBack_, heartbeat.announcement.instanceId) &&
         keptBack_->startedAtMs == heartbeat.startedAtMs && IsNewerThan(heartbeat, keptBack_);
}

bool UpstreamRegistry::ApplyHeartbeat(const UpstreamHeartbeat& heartbeat)
{
  const std::lock_guard lock(mutex_);
  if (!IsNewerThan(heartbeat, current_)) {
    return false;
  }
  if (IsOfUnknownService(heartbeat)) {
    Log(LogLevel::Warning,
        "heartbeat_of_unknown_service",
        { { "instance", heartbeat.announcement.instanceId.substr(0, kMaxShownBytes) },
          { "service", heartbeat.announcement.service.substr(0, kMaxShownBytes) } });
    return false;
  }
  if (MustConfirm(heartbeat)) {
    if (MayHaveDeparted(heartbeat) || !IsSentAfterStart(heartbeat)) {
      KeepBack(heartbeat);
      return false;
    }
    Confirm(heartbeat, options_.clock->Now(), "heartbeats");
    return true;
  }
  if (keptBack_ && !IsNewerThan(*keptBack_, heartbeat)) {
    keptBack_.reset();
  }
  Apply(heartbeat, options_.clock->Now());
  return true;
}

void UpstreamRegistry::KeepBack(const UpstreamHeartbeat& heartbeat)
{
  if (!IsNewerThan(heartbeat, keptBack_)) {
    return;
  }
  const bool isSameStart = IsOfInstance(keptBack_, heartbeat.announcement.instanceId) &&
                           keptBack_->startedAtMs == heartbeat.startedAtMs;
  if (!isSameStart) {
    saidNotReady_ = false;
    Log(LogLevel::Info,
        "upstream_to_confirm",
        { { "instance", heartbeat.announcement.instanceId },
          { "started_at_ms", std::to_string(heartbeat.startedAtMs) } });
  }
  keptBack_ = heartbeat;
  keptBackAt_ = options_.clock->Now();
  {
    const std::lock_guard lock(checkMutex_);
    hasKeptBack_ = true;
  }
  checkNeeded_.notify_all();
}

void UpstreamRegistry::ApplyHealthCheck(const HealthCheckResult& result)
{
  const std::lock_guard lock(mutex_);
  if (keptBack_ && result.answer != lastAnswer_) {
    Log(LogLevel::Info,
        "upstream_health_answer",
        { { "answer", std::string(NameOf(result.answer)) },
          { "instance", result.instanceId.substr(0, kMaxShownBytes) },
          { "kept_back", keptBack_->announcement.instanceId } });
  }
  lastAnswer_ = result.answer;
  // An upstream that has said that it leaves may then fall silent.
  saidNotReady_ = saidNotReady_ || result.answer == HealthAnswer::NotReady;
  if (result.answer == HealthAnswer::Ready) {
    AnswerCheckRequest(result.askedAt);
    // First, so that the announcement that may follow is made with the reported state.
    ReportHealthWarmup(result);
    ApplyReady(result);
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

void UpstreamRegistry::ApplyReady(const HealthCheckResult& result)
{
  if (const KnownDeparture* departure = FindDeparture(result.instanceId)) {
    if (result.askedAt <= departure->heardAt) {
      return;
    }
    if (departure->departure.startedAtMs == 0) {
      // The instance runs, so that the departure was that of an earlier start.
      ForgetDeparture(result.instanceId);
    }
  }
  if (IsOfInstance(keptBack_, result.instanceId)) {
    Confirm(*keptBack_, keptBackAt_, "health_answer");
  } else if (!isConfirmed_ && result.found) {
    // A heartbeat that is kept back is of an instance that no longer runs here.
    Confirm(*result.found, result.askedAt, "health_answer");
  } else {
    keptBack_.reset();
  }
}

void UpstreamRegistry::Confirm(const UpstreamHeartbeat& heartbeat,
                               TimePoint receivedAt,
                               const char* evidence)
{
  Log(LogLevel::Info,
      "upstream_confirmed",
      { { "instance", heartbeat.announcement.instanceId }, { "by", evidence } });
  isConfirmed_ = true;
  if (IsNewerThan(heartbeat, current_)) {
    Apply(heartbeat, receivedAt);
  }
  // The argument may be the heartbeat that was kept back.
  keptBack_.reset();
}

bool UpstreamRegistry::HasUpstream() const
{
  const std::lock_guard lock(mutex_);
  return current_.has_value() && !keptBack_;
}

std::string UpstreamRegistry::ServiceToConfirm() const
{
  const std::lock_guard lock(mutex_);
  return keptBack_ ? keptBack_->announcement.service : "";
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
    lock, stop, longest, [this] { return hasKeptBack_ || checkRequestedAt_.has_value(); });
  hasKeptBack_ = false;
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
  if (options_.reportWarmup) {
    // The heartbeat's own time, which may say that the same start has become cold again.
    options_.reportWarmup({ .service = heartbeat.announcement.service,
                            .left = std::chrono::milliseconds(heartbeat.announcement.coldStartMs),
                            .receivedAt = receivedAt });
  }
  options_.announce(applied.announcement);
}

const UpstreamHeartbeat* UpstreamRegistry::FindKnown(const std::string& instanceId) const
{
  if (IsOfInstance(current_, instanceId)) {
    return &*current_;
  }
  return IsOfInstance(keptBack_, instanceId) ? &*keptBack_ : nullptr;
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

void UpstreamRegistry::KeepDeparture(const UpstreamDeparture& departure)
{
  ForgetDeparture(departure.instanceId);
  if (departures_.size() == kMaxDepartures) {
    departures_.erase(departures_.begin());
  }
  departures_.push_back({ .departure = departure, .heardAt = options_.clock->Now() });
}

bool UpstreamRegistry::ApplyDeparture(const UpstreamDeparture& departure)
{
  const std::lock_guard lock(mutex_);
  const UpstreamHeartbeat* known = FindKnown(departure.instanceId);
  const std::int64_t knownStartMs = known != nullptr ? known->startedAtMs : 0;
  if (departure.startedAtMs != 0 && departure.startedAtMs < knownStartMs) {
    Log(LogLevel::Info,
        "departure_outdated",
        { { "instance", departure.instanceId },
          { "started_at_ms", std::to_string(departure.startedAtMs) },
          { "known_started_at_ms", std::to_string(knownStartMs) } });
    return false;
  }
  Log(LogLevel::Info, "upstream_left", { { "instance", departure.instanceId } });
  KeepDeparture(
    { .instanceId = departure.instanceId,
      .startedAtMs = departure.startedAtMs != 0 ? departure.startedAtMs : knownStartMs });
  if (IsOfInstance(keptBack_, departure.instanceId)) {
    keptBack_.reset();
  }
  if (IsOfInstance(current_, departure.instanceId)) {
    current_->announcement.draining = true;
    options_.announce(current_->announcement);
  }
  return true;
}

} // namespace acp
