#pragma once

/// @file
/// One attempt to run a request, on the local upstream or on a peer.

#include <functional> // function
#include <string>     // string

#include "acaciapulley/node/detail/concurrent_threshold_table.hpp" // CalleeClass, ConcurrentThresholdTable
#include "acaciapulley/node/detail/graceful_stop.hpp"              // RequestProfile
#include "acaciapulley/node/detail/request_body.hpp"               // RequestBody
#include "acaciapulley/node/detail/request_resolver.hpp"           // ResolvedRequest
#include "acaciapulley/node/refusal.hpp"                           // OrRefusal
#include "acaciapulley/retries/request_context.hpp"                // RequestContext
#include "acaciapulley/routing/member_table.hpp"                   // CallResult
#include "acaciapulley/transport/http_server.hpp"                  // ServerExchange
#include "acaciapulley/transport/request_end.hpp"                  // Forwarding

namespace acp::detail {

/// Receiver of a response. Peers also get load, threshold and unused retries.
enum class Recipient
{
  Caller,
  Peer,
};

/// A request that is to be sent to an upstream.
struct PendingCall
{
  ServerExchange& exchange;
  const ResolvedRequest& request;
  RequestBody& body;
  Recipient recipient = Recipient::Caller;
  bool isFromIngress = false; ///< a caller's request that arrived at this node's ingress
  /// `service/class` that makes the call; thresholds of its callees are kept under this name.
  std::string callerClass;
  /// Of requests from the ingress, or of the local upstream's calls.
  ConcurrentThresholdTable* thresholds = nullptr;
  Forwarding forwarding = Forwarding::No; ///< of all attempts so far
  Duration queueTimeout{};                ///< 0: the bounds of the gate apply
  std::string callerService; ///< service of the host where a request on a fleet route originated
  /// Commits the rate token right before the request is sent; false when its lease has expired.
  /// Empty when no token is needed.
  std::function<bool()> commitToken;
  /// Called when the upstream has responded with a server error. Returns true when the response is
  /// to be discarded because a retry follows, which has then been acquired from the retry budget.
  /// Empty when every response is relayed.
  std::function<bool()> tryRetryServerError;
};

/// Result of an attempt.
struct AttemptResult
{
  /// Success: the caller has received a response, or its connection was aborted. Otherwise nothing
  /// has been sent to the caller yet.
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
  bool nothingSent = false; ///< no byte of the request has left this node
  CallResult callResult = CallResult::Answered;
  /// The upstream's response was discarded; see PendingCall::tryRetryServerError.
  bool isRetryTaken = false;
};

inline constexpr int kMinServerErrorStatus = 500;

/// @brief Returns `service/class`, the name under which thresholds are kept.
[[nodiscard]] inline std::string QualifiedClassName(const ResolvedRequest& request)
{
  return request.service + "/" + request.requestClass->name;
}

/// @brief Returns the callee of a call, the key of its threshold.
[[nodiscard]] inline CalleeClass CalleeOf(const ResolvedRequest& request)
{
  return { .service = request.service, .requestClass = request.requestClass->name };
}

/// @brief Returns the properties that decide whether a call can finish within a graceful stop.
[[nodiscard]] inline RequestProfile RequestProfileOf(const PendingCall& call,
                                                     const RequestContext& context)
{
  const RequestSource own =
    call.isFromIngress ? RequestSource::Caller : RequestSource::LocalUpstream;
  return { .source = call.recipient == Recipient::Peer ? RequestSource::Peer : own,
           .requestClass = *call.request.requestClass,
           .deadline = context.deadline };
}

/// @brief Returns the result that routing records for a refusal.
[[nodiscard]] inline CallResult CallResultOf(const Refusal& refusal)
{
  if (refusal.reason == Reason::Draining) {
    return CallResult::Draining;
  }
  if (refusal.reason == Reason::CallerGone) {
    return CallResult::Cancelled;
  }
  const bool isUnreachable = refusal.reason == Reason::UpstreamUnreachable;
  const bool isRefusal = refusal.outcome == RequestOutcome::NotRun && !isUnreachable;
  return isRefusal ? CallResult::Refused : CallResult::Failed;
}

/// @brief Builds the refusal of a request whose caller disconnected before it was sent.
[[nodiscard]] inline Refusal CallerGoneRefusal(const std::string& where)
{
  return { .reason = Reason::CallerGone,
           .message = "the caller disconnected; not sent to " + where };
}

/// @brief Builds the result of a failed attempt.
[[nodiscard]] inline AttemptResult FailedAttempt(const Refusal& refusal,
                                                 bool nothingSent,
                                                 int unused)
{
  return { .result = boost::outcome_v2::failure(refusal),
           .unusedRetries = unused,
           .nothingSent = nothingSent,
           .callResult = CallResultOf(refusal) };
}

} // namespace acp::detail
