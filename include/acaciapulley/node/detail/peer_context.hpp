#pragma once

/// @file
/// Verification of the signed context that a peer or the local upstream sends with a request.

#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/retries/request_context.hpp" // ContextSigner, RequestContext

namespace acp::detail {

/// @brief Verifies the context of a request on a route of a service document.
/// @return the context, or a refusal with 403
[[nodiscard]] OrRefusal<RequestContext> VerifyContext(const ContextSigner& signer,
                                                      const Clock& clock,
                                                      const ServerExchange& exchange);

/// @brief Verifies the context of a peer's request on a fleet route. The wall clocks of hosts may
/// differ, so the deadline is computed from the remaining time that the peer sends.
/// @return the context, or a refusal with 400 or 503
[[nodiscard]] OrRefusal<RequestContext> VerifyFleetContext(const ContextSigner& signer,
                                                           const Clock& clock,
                                                           const ServerExchange& exchange);

} // namespace acp::detail
