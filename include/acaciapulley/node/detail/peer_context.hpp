#pragma once

/// @file
/// The signed context that a peer or the local upstream sends with a request.

#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/retries/request_context.hpp" // ContextSigner, RequestContext

namespace acp::detail {

/// @brief Checks the context of a request on a document's route.
/// @return the context, or a refusal with 403
[[nodiscard]] OrRefusal<RequestContext> VerifyContext(const ContextSigner& signer,
                                                      const Clock& clock,
                                                      const ServerExchange& exchange);

/// @brief Checks the context of a peer's request on a fleet route. Hosts' wall clocks may differ:
/// the deadline follows from the time that the peer says is left.
/// @return the context, or a refusal with 400 or 503
[[nodiscard]] OrRefusal<RequestContext> VerifyFleetContext(const ContextSigner& signer,
                                                           const Clock& clock,
                                                           const ServerExchange& exchange);

} // namespace acp::detail
