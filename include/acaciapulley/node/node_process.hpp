#pragma once

/// @file
/// The node process, which runs beside one upstream.

#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/admission/warmup_limit.hpp" // WarmupReport
#include "acaciapulley/core/clock.hpp"             // Clock, TimePoint
#include "acaciapulley/node/local_upstream.hpp"    // Announcement, LocalUpstream
#include "acaciapulley/node/region_map.hpp"        // RegionsByDataCentre
#include "acaciapulley/retries/retry_policy.hpp"   // FleetRetryBudget
#include "acaciapulley/transport/address.hpp"      // Address
#include "acaciapulley/transport/http_server.hpp"  // ServerExchange

namespace acp {

/// Construction options of a NodeProcess.
struct NodeProcessOptions
{
  std::string nodeId;
  std::string dataCentre;
  std::string fleetSecret;
  Address ingress;
  Address egress; ///< not used with routesByFleet
  Address peer;
  Address admin;
  std::vector<Address> control; ///< rpc addresses of the control replicas
  int maxConnections = 1024;    ///< for each listener
  int retryBudget = 2;          ///< retries of one root request over its whole call tree, 0 to 8
  const Clock* clock = nullptr;
  /// See RequestPipelineOptions. Callers and the local upstream then share the ingress, and there
  /// is no egress listener.
  bool routesByFleet = false;
  FleetRetryBudget fleetRetryBudget;
  RegionsByDataCentre regionOf; ///< for routes and accounts with allowed regions
  std::string callerService;
  std::string requestIdField; ///< header field with the request id of the caller, for the logs
  LocalUpstream::TranslationFactory makeTranslation; ///< for upstreams that speak another protocol
  /// Called when a health check of the local upstream is needed; must not block. May be empty.
  std::function<void()> requestHealthCheck;
  /// Returns the numbers of invalid load reports of the local upstream by reason, for the metrics;
  /// may be empty.
  std::function<std::map<std::string, std::uint64_t>()> invalidLoadsByReason;
  /// Called for each request of the ingress with the handler that serves it, for instance to
  /// translate requests of another protocol; may be empty.
  std::function<void(ServerExchange&, const std::function<void(ServerExchange&)>& serve)>
    ingressMiddleware;
};

/// One node: its listeners, its state cache and its polls of control.
class NodeProcess
{
public:
  /// @throw std::runtime_error when a listener cannot be opened
  explicit NodeProcess(const NodeProcessOptions& options);
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  /// @brief Applies an announcement of the local upstream.
  void Announce(const Announcement& announcement);

  /// @brief Applies what the local upstream reports about how much longer it stays cold.
  void ReportWarmup(const WarmupReport& report);

  /// @brief Assumes that the local upstream is cold until a health check that is sent later says
  /// otherwise, and requests one. Has no effect on a service without a rate limit for cold
  /// upstreams.
  void AssumeUpstreamCold();

  /// @brief Adds control replicas, for instance those of reloaded settings, to those it calls.
  void AddControlReplicas(const std::vector<Address>& replicas);

  /// @brief Replaces the regions of all data centres, for instance with those of reloaded settings.
  /// Requests that wait for a member are decided by the new ones.
  void ReplaceRegions(RegionsByDataCentre regionOf);

  /// @brief Returns whether the node is ready: its state is recent and no stop has begun.
  [[nodiscard]] bool IsReady() const;

  /// @brief Returns the health check path of @p service, or nothing if there is no fleet document
  /// or it does not list the service.
  [[nodiscard]] std::optional<std::string> HealthPathOf(const std::string& service) const;

  /// @brief Begins a graceful stop: the node is no longer ready, so that callers move to other
  /// nodes. Requests that can complete by @p endsAt are still served.
  void BeginStop(TimePoint endsAt);

  /// @brief Announces the upstream as draining, so that peers pick others. Call BeginStop first.
  void BeginDrain();

  /// @brief Waits for requests in progress and their nested calls until the time given to
  /// BeginStop, then stops. Implies BeginDrain.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
