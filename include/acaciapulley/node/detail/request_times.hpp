#pragma once

/// @file
/// Timeout of a request, and its queue timeout at the gate.

#include <chrono> // milliseconds

#include "acaciapulley/config/service_document.hpp" // RequestClass
#include "acaciapulley/core/clock.hpp"              // Duration
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/transport/http_message.hpp"  // HttpHeaders, HttpRequestHead

namespace acp::detail {

/// @brief Returns the value of a node's header field in milliseconds, 0 when there is none.
[[nodiscard]] std::chrono::milliseconds ParseMillis(const HttpHeaders& headers, const char* field);

/// @brief Returns the queue timeout of a request. A refused nested call wastes all work done for
/// its root request, so it may wait longer than a new request.
/// @param remaining time until the request's deadline
[[nodiscard]] Duration QueueTimeoutOf(const RequestClass& requestClass,
                                      Duration remaining,
                                      bool isNested);

/// @brief Returns the timeout that the caller sets, at most the deadline of the class.
/// @return the timeout, or a refusal with 400 when the caller's header field is malformed
[[nodiscard]] OrRefusal<std::chrono::milliseconds> RequestTimeout(const HttpRequestHead& head,
                                                                  const RequestClass& requestClass);

} // namespace acp::detail
