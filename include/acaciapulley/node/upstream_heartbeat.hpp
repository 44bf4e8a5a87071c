#pragma once

/// @file
/// What the local upstream says of itself: heartbeats, departures and health answers.

#include <array>    // array
#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp"          // Duration, TimePoint
#include "acaciapulley/core/names.hpp"          // EnumName, NameTable
#include "acaciapulley/node/local_upstream.hpp" // Announcement

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

} // namespace acp
