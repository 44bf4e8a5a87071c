#pragma once

/// @file
/// Names of the header fields in docs/design.md section 3.1, and which fields a node forwards.

#include "acaciapulley/transport/http_message.hpp" // HttpHeaders

namespace acp::detail {

inline constexpr const char* kKeyHeader = "Acp-Key";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kDeadlineHeader = "Acp-Deadline-Ms";
inline constexpr const char* kContextHeader = "Acp-Context";
/// Names one attempt of a request. Peers echo it in answers, upstreams may.
inline constexpr const char* kAttemptHeader = "Acp-Attempt";
inline constexpr const char* kOutcomeHeader = "Acp-Outcome";
inline constexpr const char* kReasonHeader = "Acp-Reason";
inline constexpr const char* kThresholdHeader = "Acp-Threshold";
inline constexpr const char* kLoadHeader = "Acp-Load";
inline constexpr const char* kRetriesLeftHeader = "Acp-Retries-Left";
/// Longest wait of a fleet route's request at the gate, in milliseconds.
inline constexpr const char* kQueueTimeoutHeader = "Acp-Patience-Ms";
/// Aimed latency of a fleet route's request, in milliseconds; missing when none is set.
inline constexpr const char* kTargetHeader = "Acp-Target-Ms";
/// Exact form of `Retry-After`, in milliseconds.
inline constexpr const char* kRetryAfterHeader = "Acp-Retry-After-Ms";
/// Service and class that the node at which a request entered has chosen by the fleet document.
inline constexpr const char* kServiceHeader = "Acp-Service";
inline constexpr const char* kClassHeader = "Acp-Class";
/// Set between nodes for a route that is open to all; nested calls count for their parent's
/// account.
inline constexpr const char* kOpenHeader = "Acp-Open";
/// Client account, told to upstreams of a fleet document's routes.
inline constexpr const char* kAccountHeader = "Acp-Account";
/// Service of the host on which the request began.
inline constexpr const char* kCallerServiceHeader = "Acp-Caller-Service";

/// @brief Returns the fields of a request that go on to an upstream or peer: neither the client
/// account's key, nor fields of one connection, nor fields that only nodes may set.
/// @param stripKey see PipelineGuards::stripKey
[[nodiscard]] HttpHeaders ForwardedRequestHeaders(const HttpHeaders& headers, bool stripKey = true);

/// @brief Returns the fields of an answer that go back to a caller.
[[nodiscard]] HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers);

} // namespace acp::detail
