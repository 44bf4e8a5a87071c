#pragma once

/// @file
/// Resolves route, service and client account of a request by the fleet document.

#include <map>    // map
#include <mutex>  // mutex
#include <string> // string
#include <vector> // vector

#include "acaciapulley/core/clock.hpp"                   // Clock
#include "acaciapulley/node/detail/request_resolver.hpp" // ResolvedRequest
#include "acaciapulley/node/refusal.hpp"                 // OrRefusal
#include "acaciapulley/node/state_cache.hpp"             // StateCache
#include "acaciapulley/retries/request_context.hpp"      // RequestContext

namespace acp::detail {

/// A caller whose key, if the route needs one, is valid.
struct AuthenticatedCaller
{
  std::string account; ///< empty on open routes and in fleets without accounts
  int priority = 0;    ///< of the account, or of the route
  bool isLimited = false;
  std::vector<std::string> allowedRegions; ///< of the account; empty: all
};

/// Resolves requests by the fleet document in the state cache, without calls to control.
///
/// Unknown routes and keys are denied only while the state is recent. Older state may lack what the
/// operator has just added, so the refusal is then a 503, after which the caller may retry.
class FleetResolver
{
public:
  FleetResolver(const StateCache& stateCache, const Clock& clock);

  /// @brief Finds the route and picks one of its destinations in proportion to their weights. Since
  /// the last change of these weights, each destination has got its share within one request.
  /// @return the request; or a refusal with 404, 413 or 503
  [[nodiscard]] OrRefusal<ResolvedRequest> Resolve(const HttpRequestHead& head,
                                                   std::int64_t bodyLength);

  /// @brief Checks the key of a caller by the document in which Resolve() found the route, even if
  /// a later one is in force by now.
  /// @return the account, or a refusal with 401 or 503
  [[nodiscard]] OrRefusal<AuthenticatedCaller> Authenticate(const HttpRequestHead& head,
                                                            const ResolvedRequest& request) const;

  /// @brief Applies the routing decision of the node at which the request entered.
  /// @return the request, or a refusal with 400
  [[nodiscard]] static OrRefusal<ResolvedRequest> ResolveForPeer(const HttpRequestHead& head,
                                                                 const RequestContext& context);

private:
  /// Credits of a route's destinations: the requests that each is behind its share.
  struct WeightedRoundRobin
  {
    std::vector<FleetDestination> destinations;
    std::vector<double> credits;
  };

  [[nodiscard]] bool MayDeny() const;
  std::string PickDestination(const FleetRoute& route);

  const StateCache& stateCache_;
  const Clock& clock_;
  std::mutex mutex_;
  std::map<std::string, WeightedRoundRobin> roundRobins_; ///< by route name
};

} // namespace acp::detail
