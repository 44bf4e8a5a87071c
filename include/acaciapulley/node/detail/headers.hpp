#pragma once

/// @file
/// Names of the header fields in docs/design.md section 3.1, and rules for forwarding fields.

#include <cstddef> // size_t

#include "acaciapulley/transport/http_message.hpp" // HttpHeaders

namespace acp::detail {

inline constexpr const char* kKeyHeader = "Acp-Key";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kDeadlineHeader = "Acp-Deadline-Ms";
inline constexpr const char* kContextHeader = "Acp-Context";
/// Id of one attempt of a request. Peers echo it in responses; upstreams may.
inline constexpr const char* kAttemptHeader = "Acp-Attempt";
inline constexpr const char* kOutcomeHeader = "Acp-Outcome";
inline constexpr const char* kReasonHeader = "Acp-Reason";
inline constexpr const char* kThresholdHeader = "Acp-Threshold";
inline constexpr const char* kLoadHeader = "Acp-Load";
/// Mean run time of the request's class at the executing node, where placement is learned.
inline constexpr const char* kRunTimeHeader = "Acp-Run-Time";
/// Duration of work on an upstream's host in percent (100: as usual), in responses of upstreams.
/// An adapter that could not read the figure sets a name of WorkFactorProblem instead.
inline constexpr const char* kWorkFactorHeader = "Acp-Work-Factor";
inline constexpr const char* kRetriesLeftHeader = "Acp-Retries-Left";
/// Queue timeout of a request on a fleet route, in milliseconds.
inline constexpr const char* kQueueTimeoutHeader = "Acp-Patience-Ms";
/// Target latency of a request on a fleet route, in milliseconds; absent when none is set.
inline constexpr const char* kTargetHeader = "Acp-Target-Ms";
/// `Retry-After` in milliseconds.
inline constexpr const char* kRetryAfterHeader = "Acp-Retry-After-Ms";
/// Service and class that the ingress node has selected by the fleet document.
inline constexpr const char* kServiceHeader = "Acp-Service";
inline constexpr const char* kClassHeader = "Acp-Class";
/// Set between nodes for a route that needs no key; a nested call is counted for the account of its
/// parent.
inline constexpr const char* kOpenHeader = "Acp-Open";
/// Client account, sent to upstreams of fleet routes.
inline constexpr const char* kAccountHeader = "Acp-Account";
/// Service of the host where the request originated.
inline constexpr const char* kCallerServiceHeader = "Acp-Caller-Service";

/// Upper bound of the fields that a node adds to a head for its peer: the signed context, the names
/// of class, service and caller's service, times and ids; in responses outcome, load, threshold and
/// run time.
inline constexpr std::size_t kMaxHopFieldBytes = 8'192;

/// @brief Returns the largest head that a node sends its peer for one of @p bytes. Fields are
/// written with a space behind the colon, which the shortest ones, of four bytes, may not have had.
[[nodiscard]] constexpr std::size_t HopHeadBytes(std::size_t bytes)
{
  return bytes + bytes / 4 + kMaxHopFieldBytes;
}

/// @brief Returns the fields of a request that are forwarded to an upstream or peer: all but the
/// client account's key, hop-by-hop fields, and fields that only nodes may set.
/// @param stripKey see PipelineGuards::stripKey
[[nodiscard]] HttpHeaders ForwardedRequestHeaders(const HttpHeaders& headers, bool stripKey = true);

/// @brief Returns the fields of a response that are forwarded to a caller.
[[nodiscard]] HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers);

} // namespace acp::detail
