#pragma once

/// @file
/// Which instance of the local upstream is current, and whether it still takes requests.

#include <condition_variable> // condition_variable_any
#include <functional>         // function
#include <mutex>              // mutex
#include <optional>           // optional
#include <stop_token>         // stop_token
#include <string>             // string
#include <vector>             // vector

#include "acaciapulley/admission/warmup_limit.hpp"          // WarmupReport
#include "acaciapulley/core/clock.hpp"                      // Clock, Duration, TimePoint
#include "acaciapulley/node/detail/upstream_candidates.hpp" // UpstreamCandidates
#include "acaciapulley/node/upstream_heartbeat.hpp"         // HealthCheckResult, UpstreamHeartbeat

namespace acp {

/// Construction options of an UpstreamRegistry.
struct UpstreamRegistryOptions
{
  const Clock* clock = nullptr;
  /// Called with each announcement that is not older than the last one.
  std::function<void(const Announcement&)> announce;
  /// Called with each statement of how much longer the upstream stays cold; may be empty.
  std::function<void(const WarmupReport&)> reportWarmup;
  /// Returns whether the configuration has the service; by default each is known.
  std::function<bool(const std::string& service)> isKnownService;
  /// Keeps heartbeats back until their instance is known to run: the first ones after the start of
  /// the node, and those that would displace an upstream which still sends its own.
  bool confirmsInstances = false;
  /// How often an upstream sends a heartbeat. One that misses two is taken to have ended.
  Duration heartbeatInterval = std::chrono::milliseconds(1500);
  /// A heartbeat that arrives later than this after the start of the node was sent after it: longer
  /// than heartbeats are delayed and than an upstream serves after its departure.
  Duration longestDelay = std::chrono::seconds(20);
};

/// Tracks the upstream across restarts. Heartbeats are ordered by start and sequence, and a
/// departure ends one start only, since old calls may arrive late. Calls may come from any thread.
///
/// What a heartbeat says of its own place in that order proves nothing. It may be late, of another
/// writer, or of an upstream whose clock was wrong; and a node that has just started doesn't know
/// which departures the process before it has acknowledged. With
/// UpstreamRegistryOptions::confirmsInstances such heartbeats are candidates, side by side, until
/// there is evidence from after the start:
///
/// - a health check that the upstream answers with ready names the instance that runs. A check that
///   it rejects as full or does not answer proves nothing, and is repeated;
/// - for an upstream that answers none, heartbeats that arrive later than
///   UpstreamRegistryOptions::longestDelay after the start.
///
/// A later start displaces the current one at once when that one is draining or silent. While the
/// current one is neither, the other has to be named by a health answer. A candidate of a service
/// outside the configuration waits until the configuration has the service.
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistryOptions options);

  /// @brief Applies a heartbeat, or keeps it as a candidate.
  /// @return whether it was applied
  bool ApplyHeartbeat(const UpstreamHeartbeat& heartbeat);

  /// @brief Marks the upstream as draining for good, unless it has started again since. A departure
  /// of an instance that is not known yet is kept for its heartbeats.
  /// @return false when a later start of the same instance is known
  bool ApplyDeparture(const UpstreamDeparture& departure);

  /// @brief Applies the result of a health check. It confirms a candidate, or makes the upstream
  /// known before its first heartbeat.
  void ApplyHealthCheck(const HealthCheckResult& result);

  /// @brief Returns whether an upstream is known.
  [[nodiscard]] bool HasUpstream() const;

  /// @brief Returns the services of the candidates, the one heard most recently first.
  [[nodiscard]] std::vector<std::string> ServicesToConfirm();

  /// @brief Requests a health check; one that was sent before is no answer to the request.
  void RequestHealthCheck();

  /// @brief Returns whether a requested health check has not been answered with ready.
  [[nodiscard]] bool IsHealthCheckRequested() const;

  /// @brief Withdraws the request for a health check, for a service that has none.
  void DropHealthCheckRequest();

  /// @brief Waits for at most @p longest, until there is a candidate, a health check is requested
  /// or
  /// @p stop is requested.
  void AwaitNeedOfCheck(const std::stop_token& stop, Duration longest);

private:
  /// What is done with a heartbeat.
  enum class Verdict
  {
    Ignore,
    KeepCandidate,
    Apply,
  };

  struct KnownDeparture
  {
    UpstreamDeparture departure;
    TimePoint heardAt;
    bool wasKnown = false; ///< whether a heartbeat of the instance had been received
  };

  [[nodiscard]] Verdict Judge(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] Verdict JudgeUnconfirmed(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] bool IsKnownService(const std::string& service) const;
  [[nodiscard]] bool IsSameStart(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] bool IsCurrentGone() const;
  [[nodiscard]] bool MayHaveStartedLater(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] bool MayHaveDeparted(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] bool IsSentAfterStart(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] bool Proves(const HealthCheckResult& result,
                            const detail::UpstreamCandidate& candidate) const;
  [[nodiscard]] std::int64_t KnownStart(const std::string& instanceId) const;
  [[nodiscard]] KnownDeparture* FindDeparture(const std::string& instanceId);
  /// Returns whether the departure of @p heartbeat's start is known.
  bool HasDeparted(const UpstreamHeartbeat& heartbeat);
  void ForgetDeparture(const std::string& instanceId);
  void KeepDeparture(const UpstreamDeparture& departure, bool wasKnown);
  void KeepCandidate(const UpstreamHeartbeat& heartbeat);
  void ApplyRunningInstance(const HealthCheckResult& result);
  void Confirm(const UpstreamHeartbeat& heartbeat, TimePoint receivedAt, const char* evidence);
  void Apply(const UpstreamHeartbeat& heartbeat, TimePoint receivedAt);
  void AnswerCheckRequest(TimePoint askedAt);
  void ReportHealthWarmup(const HealthCheckResult& result);

  UpstreamRegistryOptions options_;
  TimePoint startedAt_;
  mutable std::mutex mutex_;
  std::optional<UpstreamHeartbeat> current_;
  TimePoint currentHeardAt_; ///< last heartbeat or health answer of the current instance
  std::vector<KnownDeparture> departures_; ///< at most one of each instance, the oldest first
  detail::UpstreamCandidates candidates_;
  HealthAnswer lastAnswer_ = HealthAnswer::None;
  /// Guards the fields below. Separate, because a check may be requested while a report is made,
  /// and taken after mutex_ where both are needed.
  mutable std::mutex checkMutex_;
  std::condition_variable_any checkNeeded_;
  bool hasCandidate_ = false;                 ///< a new one since the last AwaitNeedOfCheck()
  std::optional<TimePoint> checkRequestedAt_; ///< of a health check that has not been answered
};

} // namespace acp
