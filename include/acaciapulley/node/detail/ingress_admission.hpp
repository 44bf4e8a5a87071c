#pragma once

/// @file
/// Decides whether a request that enters at this node may run.

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp"                             // Clock, Duration
#include "acaciapulley/limits/token_messages.hpp"                  // LimitKey
#include "acaciapulley/node/detail/concurrent_threshold_table.hpp" // ConcurrentThresholdTable
#include "acaciapulley/node/detail/fleet_resolver.hpp"             // FleetResolver
#include "acaciapulley/node/detail/hop_registry.hpp"               // HopRegistry
#include "acaciapulley/node/detail/request_resolver.hpp" // RequestResolver, ResolvedRequest
#include "acaciapulley/node/refusal.hpp"                 // OrRefusal
#include "acaciapulley/node/request_pipeline.hpp"        // CompletedRequest
#include "acaciapulley/node/state_cache.hpp"             // StateCache
#include "acaciapulley/retries/request_context.hpp"      // RequestContext
#include "acaciapulley/transport/http_server.hpp"        // ServerExchange

namespace acp::detail {

/// A request that entered at this node and may run.
struct AdmittedRequest
{
  ResolvedRequest request;
  RequestContext context;
  std::optional<LimitKey> limitKey; ///< whose token the request needs
  Duration queueTimeout{};          ///< see PendingCall::queueTimeout
  std::string parentClass;          ///< of a nested call whose parent is known
  bool isNested = false;            ///< made by the local upstream, for a request that it runs
};

/// What a IngressAdmission works with; all that is pointed to outlives it.
struct IngressAdmissionOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  int retryBudget = 0; ///< retries of one request over its whole call chain
  bool routesByFleet = false;
  const Clock* clock = nullptr;
  StateCache* stateCache = nullptr;
  const RequestResolver* resolver = nullptr;
  const HopRegistry* hops = nullptr;
  ConcurrentThresholdTable* thresholds = nullptr; ///< met by callers' requests that enter here
};

/// Finds route, account and context of a request, and refuses what the services that it needs have
/// no room for. Sends nothing. Calls may come from any thread.
class IngressAdmission
{
public:
  explicit IngressAdmission(IngressAdmissionOptions options);

  /// @brief Decides about a request; waits for the first state of a node that has just started.
  /// @param completed receives service, class and account as far as they are found
  /// @return the request, or a refusal
  [[nodiscard]] OrRefusal<AdmittedRequest> Admit(const ServerExchange& exchange,
                                                 CompletedRequest& completed);

  /// @brief Starts the context of a request that came without one.
  /// @return the context, or a refusal with 400 when the caller's time cannot be read
  [[nodiscard]] OrRefusal<RequestContext> NewContext(const HttpRequestHead& head,
                                                     const ResolvedRequest& request,
                                                     const std::string& account) const;

private:
  OrRefusal<AdmittedRequest> AdmitByServiceDocument(const ServerExchange& exchange,
                                                    CompletedRequest& completed);
  OrRefusal<AdmittedRequest> AdmitByFleetDocument(const ServerExchange& exchange,
                                                  CompletedRequest& completed);
  /// Gives a nested call priority and account of the request to which it belongs.
  void InheritFromParent(AdmittedRequest& admitted) const;

  IngressAdmissionOptions options_;
  FleetResolver fleetResolver_;
};

} // namespace acp::detail
