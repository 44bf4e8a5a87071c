#pragma once

/// @file
/// The process beside one upstream.

#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"            // Clock, TimePoint
#include "acaciapulley/node/local_upstream.hpp"   // Announcement, LocalUpstream
#include "acaciapulley/retries/retry_policy.hpp"  // FleetRetryBudget
#include "acaciapulley/transport/address.hpp"     // Address
#include "acaciapulley/transport/http_server.hpp" // ServerExchange

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
  int retryBudget = 2;          ///< retries of one request over its whole call chain, 0 to 8
  const Clock* clock = nullptr;
  /// See RequestPipelineOptions. Callers and the local upstream then share the ingress, and there
  /// is no egress listener.
  bool routesByFleet = false;
  FleetRetryBudget fleetRetryBudget;
  std::string callerService;
  std::string requestIdField; ///< header field with the caller's id of a request, for the logs
  LocalUpstream::TranslationFactory makeTranslation; ///< for upstreams that speak another protocol
  /// Called for each request of the ingress with the handler that serves it, so that another
  /// protocol's requests can be translated; may be empty.
  std::function<void(ServerExchange&, const std::function<void(ServerExchange&)>& serve)>
    ingressMiddleware;
};

/// One node: its listeners, its copy of the state and its polling of control.
class NodeProcess
{
public:
  /// @throw std::runtime_error when a listener cannot be opened
  explicit NodeProcess(const NodeProcessOptions& options);
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  /// @brief Takes over an announcement of the local upstream.
  void Announce(const Announcement& announcement);

  /// @brief Adds control replicas that new settings name to those that are asked.
  void AddControlReplicas(const std::vector<Address>& replicas);

  /// @brief Returns whether requests are served: the state is recent and no stop has begun.
  [[nodiscard]] bool IsReady() const;

  /// @brief Returns the path of health checks of @p service, or nothing while no fleet document
  /// that names it is known.
  [[nodiscard]] std::optional<std::string> HealthPathOf(const std::string& service) const;

  /// @brief Makes the node not ready, so that callers move to others. Requests that can end by
  /// @p endsAt are still served.
  void BeginStop(TimePoint endsAt);

  /// @brief Tells peers to choose other upstreams. Call BeginStop before.
  void BeginDrain();

  /// @brief Lets requests in progress and their nested calls end until the moment that BeginStop
  /// was told, then stops. Implies BeginDrain.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
