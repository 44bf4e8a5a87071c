#pragma once

/// @file
/// Admission of requests that arrive at this node's ingress.

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

/// A request that has been admitted by the node at which it entered.
struct AdmittedRequest
{
  ResolvedRequest request;
  RequestContext context;
  std::optional<LimitKey> limitKey; ///< limit of which the request needs a token
  Duration queueTimeout{};          ///< see PendingCall::queueTimeout
  std::string parentClass;          ///< of a nested call whose parent is known
  bool isNested = false; ///< a call that the local upstream makes while it runs a request
};

/// Construction options of an IngressAdmission. The objects pointed to must outlive it.
struct IngressAdmissionOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  int retryBudget = 0; ///< retries of one root request over its whole call tree
  bool routesByFleet = false;
  const Clock* clock = nullptr;
  StateCache* stateCache = nullptr;
  const RequestResolver* resolver = nullptr;
  const HopRegistry* hops = nullptr;
  ConcurrentThresholdTable* thresholds = nullptr; ///< of requests from the ingress
};

/// Finds route, account and context of a request, and refuses it when a service that it needs is
/// overloaded. Makes no network calls. Thread-safe.
class IngressAdmission
{
public:
  explicit IngressAdmission(IngressAdmissionOptions options);

  /// @brief Admits or refuses a request. A node that has just started waits for its first state.
  /// @param completed receives service, class and account as far as they are known
  /// @return the request, or a refusal
  [[nodiscard]] OrRefusal<AdmittedRequest> Admit(const ServerExchange& exchange,
                                                 CompletedRequest& completed);

  /// @brief Creates the context of a request that carries none.
  /// @return the context, or a refusal with 400 when the caller's deadline is malformed
  [[nodiscard]] OrRefusal<RequestContext> NewContext(const HttpRequestHead& head,
                                                     const ResolvedRequest& request,
                                                     const std::string& account) const;

private:
  OrRefusal<AdmittedRequest> AdmitByServiceDocument(const ServerExchange& exchange,
                                                    CompletedRequest& completed);
  OrRefusal<AdmittedRequest> AdmitByFleetDocument(const ServerExchange& exchange,
                                                  CompletedRequest& completed);
  /// Gives a nested call the root id, account and priority of its estimated parent.
  void InheritFromParent(AdmittedRequest& admitted) const;

  IngressAdmissionOptions options_;
  FleetResolver fleetResolver_;
};

} // namespace acp::detail
