#include "acaciapulley/node/detail/warmup_guard.hpp"

#include <algorithm> // min

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

// Each published change is a new list of members for all nodes, so that small corrections of a
// known end are not published.
constexpr Duration kPublishTolerance = std::chrono::milliseconds(500);

} // namespace

WarmupGuard::WarmupGuard(const WarmupGuardOptions& options)
  : options_(options)
  , limit_(options.clock->Now())
{
}

void WarmupGuard::Configure()
{
  const FleetDocumentPtr fleet = options_.stateCache->Fleet();
  const FleetService* service = fleet ? fleet->FindService(service_) : nullptr;
  limit_.Configure(service != nullptr ? WarmupLimitOptions{ .rate = service->warmupRate,
                                                            .warmupTime = service->warmupTime }
                                      : WarmupLimitOptions{});
}

void WarmupGuard::Update(const std::function<void(TimePoint now)>& action)
{
  bool needsCheck = false;
  {
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock->Now();
    Configure();
    action(now);
    const ColdReason reason = limit_.ReasonAt(now);
    const bool isNew = reason != loggedReason_;
    needsCheck = reason == ColdReason::Assumed && (isNew || isCheckWanted_);
    isCheckWanted_ = false;
    if (isNew) {
      LogChange(reason, now);
    }
    PublishColdStart(now);
  }
  // Called without the lock, because the receiver may be reporting at this moment.
  if (needsCheck && options_.requestHealthCheck) {
    options_.requestHealthCheck();
  }
}

void WarmupGuard::LogChange(ColdReason reason, TimePoint now)
{
  loggedReason_ = reason;
  if (reason == ColdReason::None) {
    Log(LogLevel::Info, "upstream_warm", { { "service", service_ } });
    return;
  }
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(limit_.ColdUntil(now) - now).count();
  Log(LogLevel::Info,
      "upstream_cold",
      { { "service", service_ },
        { "reason", std::string(NameOf(reason)) },
        { "left_ms", std::to_string(left) } });
}

/// Returns the cold start to publish; nothing without a rate limit.
std::optional<std::int64_t> WarmupGuard::ColdStartToPublish(TimePoint now)
{
  const ColdReason reason = limit_.ReasonAt(now);
  if (limit_.Options().rate <= 0) {
    return std::nullopt;
  }
  if (reason == ColdReason::None) {
    return 0;
  }
  // The end of an assumption moves until the upstream has answered; it is published once for each
  // warm-up time.
  const TimePoint until = limit_.ColdUntil(now);
  const bool isKnown = reason == ColdReason::Assumed ? now < publishedUntil_
                                                     : until <= publishedUntil_ + kPublishTolerance;
  if (isKnown && publishedMs_.value_or(0) > 0) {
    return publishedMs_;
  }
  publishedUntil_ = until;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - now).count();
  // Other nodes recognise a new cold start by its changed value.
  return left == publishedMs_ ? left + 1 : left;
}

void WarmupGuard::PublishColdStart(TimePoint now)
{
  const auto millis = ColdStartToPublish(now);
  if (millis == publishedMs_) {
    return;
  }
  publishedMs_ = millis;
  if (options_.upstream->ReplaceColdStart(millis) && options_.onColdStartChanged) {
    options_.onColdStartChanged();
  }
}

void WarmupGuard::SetService(const std::string& service)
{
  Update([&](TimePoint /*now*/) {
    service_ = service;
    Configure();
  });
}

void WarmupGuard::Apply(const WarmupReport& report)
{
  Update([&](TimePoint /*now*/) {
    if (!report.service.empty() && report.service != service_) {
      service_ = report.service;
      Configure();
    }
    limit_.Apply(report);
  });
}

void WarmupGuard::AssumeCold()
{
  Update([&](TimePoint now) {
    limit_.AssumeCold(now);
    isCheckWanted_ = true;
  });
}

bool WarmupGuard::MayStart()
{
  bool mayStart = false;
  Update([&](TimePoint now) {
    mayStart = limit_.MayStart(now);
    refused_ += mayStart ? 0 : 1;
  });
  return mayStart;
}

bool WarmupGuard::TryStart()
{
  bool isStarted = false;
  Update([&](TimePoint now) {
    isStarted = limit_.TryStart(now);
    refused_ += isStarted ? 0 : 1;
  });
  return isStarted;
}

void WarmupGuard::RecordAnswer(TimePoint startedAt)
{
  Update([&](TimePoint now) { limit_.RecordAnswer(startedAt, now); });
}

void WarmupGuard::RecordLoss()
{
  Update([&](TimePoint now) { isCheckWanted_ = limit_.RecordLoss(now); });
}

void WarmupGuard::RecordRun(TimePoint startedAt)
{
  const std::lock_guard lock(mutex_);
  limit_.RecordRunTime(options_.clock->Now() - startedAt);
}

LoadReport WarmupGuard::Bound(LoadReport load) const
{
  const std::lock_guard lock(mutex_);
  if (const auto most = limit_.ConcurrencyAt(options_.clock->Now())) {
    load.limit = std::min(load.limit, *most);
  }
  return load;
}

WarmupStats WarmupGuard::Stats() const
{
  const std::lock_guard lock(mutex_);
  return { .isCold = limit_.IsCold(options_.clock->Now()), .refused = refused_ };
}

} // namespace acp::detail
