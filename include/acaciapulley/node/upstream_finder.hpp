#pragma once

/// @file
/// Health checks of the local upstream after the start of its node.

#include <functional> // function
#include <optional>   // optional
#include <stop_token> // stop_token
#include <string>     // string
#include <thread>     // jthread
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"             // Clock, Duration, TimePoint
#include "acaciapulley/node/upstream_registry.hpp" // HealthCheckResult, UpstreamRegistry

namespace acp {

/// One health check of the local upstream.
struct HealthCheck
{
  std::string service; ///< service that the upstream is expected to belong to
  std::string path;
  Duration timeout;
  std::stop_token stop; ///< stopped when the result is no longer wanted
};

/// Construction options of an UpstreamFinder.
struct UpstreamFinderOptions
{
  const Clock* clock = nullptr;
  UpstreamRegistry* registry = nullptr;
  std::string service; ///< of the upstream, from this host's settings
  /// Returns the path of the service's health checks; nothing until the configuration has it.
  std::function<std::optional<std::string>(const std::string& service)> healthPathOf;
  /// Sends a check and waits for its result; UpstreamFinder sets the time.
  std::function<HealthCheckResult(const HealthCheck& check)> check;
};

/// A thread that checks the upstream from the start of the node until it is known, so that a node
/// which starts later than its upstream need not wait for the next heartbeat; later, while the
/// registry has candidates, or a check is requested of it: then every 500 ms until a check has been
/// answered with ready.
///
/// A full upstream lets a check wait for a slot, so that an unanswered check is followed by one
/// with twice its time-out.
class UpstreamFinder
{
public:
  explicit UpstreamFinder(UpstreamFinderOptions options);
  UpstreamFinder(const UpstreamFinder&) = delete;
  UpstreamFinder& operator=(const UpstreamFinder&) = delete;

private:
  void Run(const std::stop_token& stop);
  /// Returns the service at whose path the upstream is checked next, one after the other, this
  /// host's own first; nothing when no candidate's service has a path yet.
  std::optional<std::string> ServiceToCheck(const std::vector<std::string>& candidates,
                                            bool includesOwn);
  /// Returns false when the path of the checks is not known yet.
  bool CheckOnce(const std::string& service, const std::stop_token& stop);

  UpstreamFinderOptions options_;
  Duration timeout_;            ///< of the next check
  int unansweredChecks_ = 0;    ///< requested ones in a row
  std::size_t nextService_ = 0; ///< number of the next check
  std::jthread thread_;
};

} // namespace acp
