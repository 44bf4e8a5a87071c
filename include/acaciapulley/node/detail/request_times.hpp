#pragma once

/// @file
/// How long a request may take, and how long it may wait for an upstream.

#include <chrono> // milliseconds

#include "acaciapulley/config/service_document.hpp" // RequestClass
#include "acaciapulley/core/clock.hpp"              // Duration
#include "acaciapulley/node/refusal.hpp"            // OrRefusal
#include "acaciapulley/transport/http_message.hpp"  // HttpHeaders, HttpRequestHead

namespace acp::detail {

/// @brief Returns the milliseconds in a field of a node, 0 when there are none.
[[nodiscard]] std::chrono::milliseconds ParseMillis(const HttpHeaders& headers, const char* field);

/// @brief Returns how long a request may wait for an upstream. A refused nested call wastes all the
/// work of its request, so that it waits longer than a request on which no work has been done.
/// @param remaining time until the request's deadline
[[nodiscard]] Duration QueueTimeoutOf(const RequestClass& requestClass,
                                      Duration remaining,
                                      bool isNested);

/// @brief Returns the time the caller gives, at most the deadline of the class.
/// @return the time, or a refusal with 400 when the caller's field cannot be read
[[nodiscard]] OrRefusal<std::chrono::milliseconds> RequestTimeout(const HttpRequestHead& head,
                                                                  const RequestClass& requestClass);

} // namespace acp::detail
