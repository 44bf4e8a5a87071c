#pragma once

/// @file
/// Finds the service, class and client account of a request, or the reason to refuse it.

#include <memory> // shared_ptr
#include <string> // string

#include "acaciapulley/config/service_document.hpp" // RequestClass, ServiceDocument
#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/node/state_cache.hpp"        // StateCache

namespace acp::detail {

/// A request whose service and class are known.
struct ResolvedRequest
{
  std::string service;
  std::string upstreamTarget; ///< path and query after the service's name
  std::shared_ptr<const ServiceDocument> document;
  const RequestClass* requestClass = nullptr; ///< owned by the document, or by `classOwner`
  bool isFleetRoute = false;                  ///< found by the fleet document; `document` is null
  std::shared_ptr<const void> classOwner;     ///< keeps the class of a fleet route
};

/// Decides from the node's copy of the state; sends nothing.
class RequestResolver
{
public:
  RequestResolver(const StateCache& stateCache, const Clock& clock);

  /// @brief Finds service and class, and checks what the class demands of every request.
  /// @return the request, or a refusal with 400, 404, 413 or 503
  [[nodiscard]] OrRefusal<ResolvedRequest> Resolve(const HttpRequestHead& head,
                                                   std::int64_t bodyLength) const;

  /// @brief Checks the key of a caller.
  /// @return the client account, empty on a route open to all; or a refusal with 400, 401 or 403
  [[nodiscard]] OrRefusal<std::string> Authenticate(const HttpRequestHead& head,
                                                    const ResolvedRequest& request) const;

  /// @brief Checks that the state is recent enough for a request of @p requestClass.
  [[nodiscard]] OrRefusal<void> CheckFreshness(const RequestClass& requestClass) const;

private:
  const StateCache& stateCache_;
  const Clock& clock_;
};

} // namespace acp::detail
