#pragma once

/// @file
/// Finds the service, request class and client account of a request, or refuses it.

#include <memory> // shared_ptr
#include <string> // string

#include "acaciapulley/config/fleet_document.hpp"   // FleetDocumentPtr
#include "acaciapulley/config/service_document.hpp" // RequestClass, ServiceDocument
#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/node/region_map.hpp"         // AllowedRegions
#include "acaciapulley/node/state_cache.hpp"        // StateCache

namespace acp::detail {

/// A request whose service and class are known.
struct ResolvedRequest
{
  std::string service;
  std::string upstreamTarget; ///< path and query after the service's name
  std::shared_ptr<const ServiceDocument> document;
  const RequestClass* requestClass = nullptr; ///< owned by a document, or by `classOwner`
  bool isFleetRoute = false;                  ///< `document` is null
  /// Document in which the route was found; null where another node has chosen the route. Whatever
  /// else the request needs from the configuration is read from the same document.
  FleetDocumentPtr fleet;
  std::shared_ptr<const RequestClass> classOwner; ///< class of a request from another node
  /// Of the route and the client account. Unrestricted where another node has picked this one.
  AllowedRegions allowedRegions;
};

/// Resolves requests from the node's cached state, without network calls.
class RequestResolver
{
public:
  RequestResolver(const StateCache& stateCache, const Clock& clock);

  /// @brief Finds service and class, and checks the request against the rules of the class.
  /// @return the request, or a refusal with 400, 404, 413 or 503
  [[nodiscard]] OrRefusal<ResolvedRequest> Resolve(const HttpRequestHead& head,
                                                   std::int64_t bodyLength) const;

  /// @brief Checks the key of a caller.
  /// @return the client account, empty on a route without keys; or a refusal with 400, 401 or 403
  [[nodiscard]] OrRefusal<std::string> Authenticate(const HttpRequestHead& head,
                                                    const ResolvedRequest& request) const;

  /// @brief Checks that the cached state is recent enough for a request of @p requestClass.
  [[nodiscard]] OrRefusal<void> CheckFreshness(const RequestClass& requestClass) const;

private:
  const StateCache& stateCache_;
  const Clock& clock_;
};

} // namespace acp::detail
