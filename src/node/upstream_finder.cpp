#include "acaciapulley/node/upstream_finder.hpp"

#include <algorithm>          // find, min, rotate
#include <chrono>             // milliseconds, minutes, seconds
#include <condition_variable> // condition_variable_any
#include <mutex>              // mutex, unique_lock
#include <utility>            // move

namespace acp {

namespace {

/// Heartbeats arrive more often than this, so that later checks would find nothing new without one
/// that has to be confirmed.
constexpr Duration kStartWindow = std::chrono::seconds(3);
/// Longest wait for a heartbeat; a stop ends it sooner.
constexpr Duration kIdleInterval = std::chrono::minutes(1);
/// How often the path of health checks is asked for, which control sends.
constexpr Duration kPathPollInterval = std::chrono::milliseconds(20);
/// Between two checks; a check is cheap while the upstream is starting and refuses connections.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
/// After the start window, while the upstream says that it is not ready, or the path is not known.
constexpr Duration kLateCheckInterval = std::chrono::seconds(1);
/// Between two requested checks.
constexpr Duration kRequestedCheckInterval = std::chrono::milliseconds(500);
/// After this many requested checks without an answer they become rarer, for an upstream that is
/// gone for good.
constexpr int kPromptChecks = 20;
constexpr Duration kRareCheckInterval = std::chrono::seconds(5);
/// An upstream with a free slot answers within a few milliseconds.
constexpr Duration kFirstTimeout = std::chrono::seconds(1);
constexpr Duration kLongestTimeout = std::chrono::seconds(4);

void SleepUnlessStopped(const std::stop_token& stop, Duration span)
{
  std::mutex mutex;
  std::condition_variable_any never;
  std::unique_lock lock(mutex);
  never.wait_for(lock, stop, span, [] { return false; });
}

} // namespace

UpstreamFinder::UpstreamFinder(UpstreamFinderOptions options)
  : options_(std::move(options))
  , timeout_(kFirstTimeout)
  , thread_([this](const std::stop_token& stop) { Run(stop); })
{
}

void UpstreamFinder::Run(const std::stop_token& stop)
{
  const TimePoint startWindowEnd = options_.clock->Now() + kStartWindow;
  while (!stop.stop_requested()) {
    const bool isStarting = options_.clock->Now() < startWindowEnd;
    const bool isRequested = options_.registry->IsHealthCheckRequested();
    const std::vector<std::string> candidates = options_.registry->ServicesToConfirm();
    const bool isSearching = isStarting && !options_.registry->HasUpstream();
    if (!isRequested && candidates.empty() && !isSearching) {
      options_.registry->AwaitNeedOfCheck(stop, kIdleInterval);
      continue;
    }
    const auto service = ServiceToCheck(candidates, isRequested || isSearching);
    const bool hasPath = service && CheckOnce(*service, stop);
    if (!options_.registry->HasUpstream()) {
      const Duration early = hasPath ? kCheckInterval : kPathPollInterval;
      SleepUnlessStopped(stop, isStarting ? early : kLateCheckInterval);
    } else if (isRequested) {
      const bool isAnswered = !options_.registry->IsHealthCheckRequested();
      unansweredChecks_ = isAnswered ? 0 : unansweredChecks_ + 1;
      SleepUnlessStopped(
        stop, unansweredChecks_ < kPromptChecks ? kRequestedCheckInterval : kRareCheckInterval);
    } else if (!candidates.empty()) {
      SleepUnlessStopped(stop, hasPath ? kCheckInterval : kLateCheckInterval);
    }
  }
}

std::optional<std::string> UpstreamFinder::ServiceToCheck(
  const std::vector<std::string>& candidates,
  bool includesOwn)
{
  std::vector<std::string> services;
  for (const std::string& service : candidates) {
    if (options_.healthPathOf(service)) {
      services.push_back(service);
    }
  }
  const auto own = std::find(services.begin(), services.end(), options_.service);
  if (own != services.end()) {
    std::rotate(services.begin(), own, own + 1);
  } else if (includesOwn) {
    services.push_back(options_.service);
  }
  if (services.empty()) {
    return std::nullopt;
  }
  return services[nextService_++ % services.size()];
}

bool UpstreamFinder::CheckOnce(const std::string& service, const std::stop_token& stop)
{
  const auto path = options_.healthPathOf(service);
  if (!path) {
    return false;
  }
  if (path->empty()) {
    options_.registry->DropHealthCheckRequest();
    return true;
  }
  const TimePoint askedAt = options_.clock->Now();
  HealthCheckResult result =
    options_.check({ .service = service, .path = *path, .timeout = timeout_, .stop = stop });
  result.askedAt = askedAt;
  if (service != options_.service) {
    // The answer does not state the service, which another writer's heartbeat may have named.
    result.found.reset();
  }
  options_.registry->ApplyHealthCheck(result);
  const bool hasTimedOut =
    result.answer == HealthAnswer::None && options_.clock->Now() - askedAt >= timeout_;
  timeout_ = hasTimedOut ? std::min(timeout_ * 2, kLongestTimeout) : kFirstTimeout;
  return true;
}

} // namespace acp
