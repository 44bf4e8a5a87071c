#pragma once

/// @file
/// Which instance of the local upstream is current, and whether it still takes requests.

#include <array>              // array
#include <condition_variable> // condition_variable_any
#include <cstdint>            // int64_t
#include <functional>         // function
#include <mutex>              // mutex
#include <optional>           // optional
#include <stop_token>         // stop_token
#include <string>             // string
#include <vector>             // vector

#include "acaciapulley/admission/warmup_limit.hpp" // WarmupReport
#include "acaciapulley/core/clock.hpp"             // Clock, Duration, TimePoint
#include "acaciapulley/core/names.hpp"             // EnumName, NameTable
#include "acaciapulley/node/local_upstream.hpp"    // Announcement

namespace acp {

/// An announcement with its place among all those of the upstreams at one address.
struct UpstreamHeartbeat
{
  Announcement announcement;
  std::int64_t startedAtMs = 0; ///< start of the upstream, Unix time; 0: not stated
  std::int64_t sequence = 0;    ///< increases with each heartbeat of one start
};

/// The last call of an upstream before it ends.
struct UpstreamDeparture
{
  std::string instanceId;
  std::int64_t startedAtMs = 0; ///< start of the upstream, Unix time; 0: not stated
};

/// What an upstream says of itself in response to a health check.
enum class HealthAnswer
{
  None,     ///< nothing that can be used
  Rejected, ///< it had no room for the check
  Ready,
  NotReady, ///< it is failing or is leaving
};

template<>
struct NameTable<HealthAnswer>
{
  static constexpr std::array<EnumName<HealthAnswer>, 4> kRows = { {
    { HealthAnswer::None, "none" },
    { HealthAnswer::Rejected, "rejected" },
    { HealthAnswer::Ready, "ready" },
    { HealthAnswer::NotReady, "not_ready" },
  } };
};

/// Result of a health check.
struct HealthCheckResult
{
  HealthAnswer answer = HealthAnswer::None;
  std::string instanceId;                 ///< empty when not stated
  std::optional<UpstreamHeartbeat> found; ///< when the upstream is ready and states its slots
  TimePoint askedAt;                      ///< when the check was sent
  std::optional<Duration> warmupLeft;     ///< how much longer the upstream stays cold, if stated
};

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
  /// Keeps the first heartbeat that says ready back until the upstream is known to run.
  bool confirmsFirstHeartbeat = false;
  /// A heartbeat that arrives later than this after the start of the node was sent after it: longer
  /// than heartbeats are delayed and than an upstream serves after its departure.
  Duration longestDelay = std::chrono::seconds(20);
};

/// Tracks the upstream across restarts. Heartbeats are ordered by start and sequence, and a
/// departure ends one start only, since old calls may arrive late. Calls may come from any thread.
///
/// A node that has just started doesn't know which calls the process before it has acknowledged, so
/// that a heartbeat which says ready may be older than an acknowledged departure, and so may any
/// number of them. With UpstreamRegistryOptions::confirmsFirstHeartbeat the first one is kept back
/// until there is evidence from after the start:
///
/// - a health check that the upstream answers with ready. A check that it rejects as full or does
///   not answer proves nothing, and is repeated;
/// - for an upstream that answers none, heartbeats that arrive later than
///   UpstreamRegistryOptions::longestDelay after the start.
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistryOptions options);

  /// @brief Applies a heartbeat.
  /// @return whether it was newer than the last one and is not kept back
  bool ApplyHeartbeat(const UpstreamHeartbeat& heartbeat);

  /// @brief Marks the upstream as draining for good, unless it has started again since. A departure
  /// of an instance that is not known yet is kept for its heartbeats.
  /// @return false when a later start of the same instance is known
  bool ApplyDeparture(const UpstreamDeparture& departure);

  /// @brief Applies the result of a health check. It confirms a heartbeat that is kept back, or
  /// makes the upstream known before its first heartbeat.
  void ApplyHealthCheck(const HealthCheckResult& result);

  /// @brief Returns whether the upstream is known and no heartbeat is kept back.
  [[nodiscard]] bool HasUpstream() const;

  /// @brief Returns the service in the heartbeat that is kept back; empty if there is none.
  [[nodiscard]] std::string ServiceToConfirm() const;

  /// @brief Requests a health check; one that was sent before is no answer to the request.
  void RequestHealthCheck();

  /// @brief Returns whether a requested health check has not been answered with ready.
  [[nodiscard]] bool IsHealthCheckRequested() const;

  /// @brief Withdraws the request for a health check, for a service that has none.
  void DropHealthCheckRequest();

  /// @brief Waits for at most @p longest, until a heartbeat is kept back, a health check is
  /// requested or @p stop is requested.
  void AwaitNeedOfCheck(const std::stop_token& stop, Duration longest);

private:
  struct KnownDeparture
  {
    UpstreamDeparture departure;
    TimePoint heardAt;
  };

  [[nodiscard]] bool IsOfUnknownService(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] bool IsOtherThanChecked(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] bool MustConfirm(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] bool MayHaveDeparted(const UpstreamHeartbeat& heartbeat);
  [[nodiscard]] bool IsSentAfterStart(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] bool IsSameStart(const UpstreamHeartbeat& heartbeat) const;
  [[nodiscard]] const UpstreamHeartbeat* FindKnown(const std::string& instanceId) const;
  [[nodiscard]] KnownDeparture* FindDeparture(const std::string& instanceId);
  /// Returns whether the departure of @p heartbeat's start is known.
  bool HasDeparted(const UpstreamHeartbeat& heartbeat);
  void ForgetDeparture(const std::string& instanceId);
  void KeepDeparture(const UpstreamDeparture& departure);
  void KeepBack(const UpstreamHeartbeat& heartbeat);
  void ApplyReady(const HealthCheckResult& result);
  void Confirm(const UpstreamHeartbeat& heartbeat, TimePoint receivedAt, const char* evidence);
  void Apply(const UpstreamHeartbeat& heartbeat, TimePoint receivedAt);
  void AnswerCheckRequest(TimePoint askedAt);
  void ReportHealthWarmup(const HealthCheckResult& result);

  UpstreamRegistryOptions options_;
  TimePoint startedAt_;
  mutable std::mutex mutex_;
  std::optional<UpstreamHeartbeat> current_;
  std::vector<KnownDeparture> departures_; ///< at most one of each instance, the oldest first
  bool isConfirmed_ = false;
  std::optional<UpstreamHeartbeat> keptBack_;
  TimePoint keptBackAt_;      ///< when the heartbeat was received
  bool saidNotReady_ = false; ///< in a health answer since the heartbeat was kept back
  HealthAnswer lastAnswer_ = HealthAnswer::None;
  /// Guards the fields below. Separate, because a check may be requested while a report is made,
  /// and taken after mutex_ where both are needed.
  mutable std::mutex checkMutex_;
  std::condition_variable_any checkNeeded_;
  bool hasKeptBack_ = false;                  ///< a heartbeat since the last AwaitNeedOfCheck()
  std::optional<TimePoint> checkRequestedAt_; ///< of a health check that has not been answered
};

} // namespace acp
