#include "acaciapulley/node/detail/upstream_candidates.hpp"

#include <algorithm> // any_of, find, find_if, min_element, sort
#include <utility>   // move, pair

namespace acp::detail {

namespace {

// An upstream that is pushed out by so many others between two of its heartbeats is still found by
// the answer to a health check.
constexpr std::size_t kMaxCandidates = 16;

bool IsSameStart(const UpstreamHeartbeat& a, const UpstreamHeartbeat& b)
{
  return a.announcement.instanceId == b.announcement.instanceId && a.startedAtMs == b.startedAtMs &&
         a.announcement.service == b.announcement.service;
}

} // namespace

UpstreamCandidates::UpstreamCandidates(ServicePredicate isKnownService)
  : isKnownService_(std::move(isKnownService))
{
}

bool UpstreamCandidates::IsKnown(const UpstreamCandidate& candidate) const
{
  return !isKnownService_ || isKnownService_(candidate.heartbeat.announcement.service);
}

bool UpstreamCandidates::Add(const UpstreamHeartbeat& heartbeat, TimePoint now)
{
  const auto listed = std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& known) {
    return IsSameStart(known.heartbeat, heartbeat);
  });
  if (listed != candidates_.end()) {
    if (heartbeat.sequence > listed->heartbeat.sequence) {
      listed->heartbeat = heartbeat;
      listed->lastHeardAt = now;
    }
    return false;
  }
  if (candidates_.size() == kMaxCandidates) {
    RemoveLeastUseful();
  }
  candidates_.push_back({ .heartbeat = heartbeat, .firstHeardAt = now, .lastHeardAt = now });
  return true;
}

void UpstreamCandidates::RemoveLeastUseful()
{
  const auto rank = [this](const UpstreamCandidate& candidate) {
    return std::pair(IsKnown(candidate), candidate.lastHeardAt);
  };
  candidates_.erase(
    std::min_element(candidates_.begin(), candidates_.end(), [&](const auto& a, const auto& b) {
      return rank(a) < rank(b);
    }));
}

const UpstreamCandidate* UpstreamCandidates::FindStart(const UpstreamHeartbeat& heartbeat) const
{
  const auto found = std::find_if(candidates_.begin(), candidates_.end(), [&](const auto& known) {
    return IsSameStart(known.heartbeat, heartbeat);
  });
  return found != candidates_.end() ? &*found : nullptr;
}

const UpstreamCandidate* UpstreamCandidates::FindInstance(const std::string& instanceId,
                                                          bool ofKnownService) const
{
  const UpstreamCandidate* latest = nullptr;
  for (const UpstreamCandidate& candidate : candidates_) {
    if (candidate.heartbeat.announcement.instanceId != instanceId ||
        (ofKnownService && !IsKnown(candidate))) {
      continue;
    }
    if (latest == nullptr || candidate.heartbeat.startedAtMs > latest->heartbeat.startedAtMs) {
      latest = &candidate;
    }
  }
  return latest;
}

std::vector<std::string> UpstreamCandidates::Services() const
{
  std::vector<const UpstreamCandidate*> byTime;
  for (const UpstreamCandidate& candidate : candidates_) {
    byTime.push_back(&candidate);
  }
  std::sort(byTime.begin(), byTime.end(), [](const auto* a, const auto* b) {
    return a->lastHeardAt > b->lastHeardAt;
  });
  std::vector<std::string> services;
  for (const UpstreamCandidate* candidate : byTime) {
    const std::string& service = candidate->heartbeat.announcement.service;
    if (std::find(services.begin(), services.end(), service) == services.end()) {
      services.push_back(service);
    }
  }
  return services;
}

void UpstreamCandidates::MarkNotReady(TimePoint askedAt)
{
  for (UpstreamCandidate& candidate : candidates_) {
    candidate.saidNotReady = candidate.saidNotReady || candidate.firstHeardAt <= askedAt;
  }
}

void UpstreamCandidates::RemoveHeardUntil(TimePoint time)
{
  std::erase_if(candidates_, [&](const auto& candidate) { return candidate.lastHeardAt <= time; });
}

std::size_t UpstreamCandidates::RemoveOthers(const std::string& instanceId, TimePoint time)
{
  return std::erase_if(candidates_, [&](const UpstreamCandidate& candidate) {
    return candidate.heartbeat.announcement.instanceId != instanceId &&
           candidate.lastHeardAt <= time;
  });
}

void UpstreamCandidates::RemoveInstance(const std::string& instanceId, std::int64_t lastStartMs)
{
  std::erase_if(candidates_, [&](const UpstreamCandidate& candidate) {
    return candidate.heartbeat.announcement.instanceId == instanceId &&
           candidate.heartbeat.startedAtMs <= lastStartMs;
  });
}

} // namespace acp::detail
