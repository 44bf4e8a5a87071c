#pragma once

/// @file
/// Names of the header fields in docs/design.md section 3.1, and which fields a node forwards.

#include "acaciapulley/transport/http_message.hpp" // HttpHeaders

namespace acp::detail {

inline constexpr const char* kKeyHeader = "Acp-Key";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kDeadlineHeader = "Acp-Deadline-Ms";
inline constexpr const char* kContextHeader = "Acp-Context";
inline constexpr const char* kOutcomeHeader = "Acp-Outcome";
inline constexpr const char* kReasonHeader = "Acp-Reason";
inline constexpr const char* kThresholdHeader = "Acp-Threshold";
inline constexpr const char* kLoadHeader = "Acp-Load";
inline constexpr const char* kRetriesLeftHeader = "Acp-Retries-Left";

/// @brief Returns the fields of a request that go on to an upstream or peer: neither the client
/// account's key, nor fields of one connection, nor fields that only nodes may set.
/// @param stripsKey see PipelineGuards::stripKey
[[nodiscard]] HttpHeaders ForwardedRequestHeaders(const HttpHeaders& headers,
                                                  bool stripsKey = true);

/// @brief Returns the fields of an answer that go back to a caller.
[[nodiscard]] HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers);

} // namespace acp::detail
