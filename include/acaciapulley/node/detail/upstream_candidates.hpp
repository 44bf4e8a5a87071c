#pragma once

/// @file
/// Heartbeats whose instance is not known to run at the address of the local upstream.

#include <cstddef>    // size_t
#include <cstdint>    // int64_t
#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"              // TimePoint
#include "acaciapulley/node/upstream_heartbeat.hpp" // UpstreamHeartbeat

namespace acp::detail {

/// The newest heartbeat of one start of an instance.
struct UpstreamCandidate
{
  UpstreamHeartbeat heartbeat;
  TimePoint firstHeardAt;
  TimePoint lastHeardAt;
  bool saidNotReady = false; ///< in a health answer since it was first heard
};

/// A bounded list of candidates, one for each instance, start and service. No candidate excludes
/// another, since a heartbeat of another writer may state any start. Not thread-safe.
class UpstreamCandidates
{
public:
  /// Returns whether the configuration has the service.
  using ServicePredicate = std::function<bool(const std::string& service)>;

  /// @param isKnownService candidates of services that it rejects give way first; may be empty
  explicit UpstreamCandidates(ServicePredicate isKnownService);

  /// @brief Adds a heartbeat, unless a newer one of the same start is listed. In a full list it
  /// replaces the candidate that was heard least recently, one of an unknown service first.
  /// @return whether the start is new in the list
  bool Add(const UpstreamHeartbeat& heartbeat, TimePoint now);

  /// @brief Returns the candidate of the start that @p heartbeat belongs to, or nullptr.
  [[nodiscard]] const UpstreamCandidate* FindStart(const UpstreamHeartbeat& heartbeat) const;

  /// @brief Returns the latest start of an instance, or nullptr.
  /// @param ofKnownService whether candidates of unknown services are passed over
  [[nodiscard]] const UpstreamCandidate* FindInstance(const std::string& instanceId,
                                                      bool ofKnownService) const;

  [[nodiscard]] std::size_t Size() const { return candidates_.size(); }

  /// @brief Returns the services of all candidates, the one heard most recently first.
  [[nodiscard]] std::vector<std::string> Services() const;

  /// @brief Records that an upstream which was asked at @p askedAt said that it is not ready.
  void MarkNotReady(TimePoint askedAt);

  /// @brief Removes the candidates whose last heartbeat was received at @p time or earlier.
  void RemoveHeardUntil(TimePoint time);

  /// @brief Removes those of other instances than @p instanceId, which ran at @p time, unless a
  /// heartbeat of theirs was received later.
  /// @return how many were removed
  std::size_t RemoveOthers(const std::string& instanceId, TimePoint time);

  /// @brief Removes the starts of an instance up to @p lastStartMs.
  void RemoveInstance(const std::string& instanceId, std::int64_t lastStartMs);

private:
  [[nodiscard]] bool IsKnown(const UpstreamCandidate& candidate) const;
  void RemoveLeastUseful();

  ServicePredicate isKnownService_;
  std::vector<UpstreamCandidate> candidates_;
};

} // namespace acp::detail
