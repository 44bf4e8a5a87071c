#include "acaciapulley/node/state_cache.hpp"

#include <cstdint> // uint64_t
#include <mutex>   // unique_lock
#include <utility> // move

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

void StateCache::Apply(const ReceivedChanges& changes, TimePoint confirmedAt)
{
  const std::unique_lock lock(mutex_);
  if (changes.toVersion < version_) {
    // A reply that was overtaken by a later one must not restore older state.
    return;
  }
  if (changes.isSnapshot) {
    documents_.clear();
    keys_.Clear();
  }
  for (const auto& received : changes.documents) {
    auto parsed = ServiceDocument::Parse(received.body);
    if (!parsed) {
      Log(LogLevel::Error, "document_rejected", { { "error", parsed.error().Describe() } });
      continue;
    }
    const std::string service = parsed.value().Service();
    documents_[service] = std::make_shared<ServiceDocument>(std::move(parsed).value());
  }
  for (const auto& record : changes.issuedKeys) {
    // Changes may arrive twice, which is not an error.
    (void)keys_.Issue(record);
  }
  for (const auto& id : changes.revokedKeyIds) {
    (void)keys_.Revoke(id);
  }
  if (changes.fleet) {
    ApplyFleetDocument(*changes.fleet);
  }
  if (!changes.fleetSecret.empty()) {
    fleetSecret_ = changes.fleetSecret;
  }
  evacuated_ = changes.evacuatedDataCentres;
  version_ = changes.toVersion;
  if (!confirmedAt_ || *confirmedAt_ < confirmedAt) {
    confirmedAt_ = confirmedAt;
  }
  changes_.Notify();
}

void StateCache::AwaitFirstState(const Clock& clock,
                                 Duration maxWait,
                                 const std::stop_token& stopToken) const
{
  const TimePoint deadline = clock.Now() + maxWait;
  std::uint64_t seen = changes_.Count();
  while (Version() == 0 && !stopToken.stop_requested()) {
    const TimePoint now = clock.Now();
    if (now >= deadline) {
      return;
    }
    changes_.WaitForChange(seen, deadline - now, stopToken);
    seen = changes_.Count();
  }
}

void StateCache::ApplyFleetDocument(const ReceivedDocument& received)
{
  auto parsed = FleetDocument::Parse(received.body);
  if (!parsed) {
    Log(LogLevel::Error, "fleet_document_rejected", { { "error", parsed.error().Describe() } });
    return;
  }
  fleet_ = std::make_shared<const FleetDocument>(std::move(parsed).value());
  fleetVersion_ = received.version;
  Log(LogLevel::Info, "fleet_document_in_force", { { "version", std::to_string(fleetVersion_) } });
}

FleetDocumentPtr StateCache::Fleet() const
{
  const std::shared_lock lock(mutex_);
  return fleet_;
}

std::int64_t StateCache::FleetVersion() const
{
  const std::shared_lock lock(mutex_);
  return fleetVersion_;
}

std::string StateCache::FleetSecret() const
{
  const std::shared_lock lock(mutex_);
  return fleetSecret_;
}

std::set<std::string> StateCache::EvacuatedDataCentres() const
{
  const std::shared_lock lock(mutex_);
  return evacuated_;
}

std::int64_t StateCache::Version() const
{
  const std::shared_lock lock(mutex_);
  return version_;
}

bool StateCache::IsFresh(TimePoint now, Duration maxAge) const
{
  const std::shared_lock lock(mutex_);
  return confirmedAt_ && now - *confirmedAt_ <= maxAge;
}

Duration StateCache::Age(TimePoint now) const
{
  const std::shared_lock lock(mutex_);
  return confirmedAt_ ? now - *confirmedAt_ : Duration::max();
}

std::shared_ptr<const ServiceDocument> StateCache::DocumentOf(const std::string& service) const
{
  const std::shared_lock lock(mutex_);
  const auto found = documents_.find(service);
  return found == documents_.end() ? nullptr : found->second;
}

std::optional<std::string> StateCache::FindAccountByKey(const std::string& keyText) const
{
  const std::shared_lock lock(mutex_);
  return keys_.FindAccount(keyText);
}

} // namespace acp
