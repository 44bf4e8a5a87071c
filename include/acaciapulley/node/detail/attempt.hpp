#pragma once

/// @file
/// One attempt to run a request, here or on a peer.

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

namespace acp::detail {

/// Who receives the answer; peers also get load, thresholds and unused retries.
enum class Recipient
{
  Caller,
  Peer,
};

/// A request on its way to an upstream.
struct PendingCall
{
  ServerExchange& exchange;
  const ResolvedRequest& request;
  RequestBody& body;
  Recipient recipient = Recipient::Caller;
  bool isFromIngress = false; ///< a caller's request that came through this node's own ingress
  /// `service/class` that makes the call; thresholds are learnt under it.
  std::string callerClass;
  ConcurrentThresholdTable* thresholds =
    nullptr;                 ///< of callers' requests, or of the own upstream's runs
  Duration queueTimeout{};   ///< longest wait at the gate; 0: the gate's own bounds apply
  std::string callerService; ///< service of the host on which a fleet route's request began
  /// Spends the rate token right before the request leaves; false when its lease has ended. Empty
  /// when none is needed.
  std::function<bool()> commitToken;
  /// Asked when the upstream has answered with a server error; true when the answer is to be
  /// dropped, since another attempt follows. Empty when each answer is delivered.
  std::function<bool()> tryRetryServerError;
};

/// How an attempt ended.
struct AttemptResult
{
  /// Success: the caller has an answer, or saw its connection aborted. Otherwise nothing was sent
  /// to the caller yet.
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
  bool nothingSent = false; ///< no byte of the request has left this node
  CallResult callResult = CallResult::Answered;
  bool isRetryTaken =
    false; ///< the upstream's answer was dropped; see PendingCall::tryRetryServerError
};

inline constexpr int kMinServerErrorStatus = 500;

/// @brief Returns `service/class`, the name under which thresholds are kept.
[[nodiscard]] inline std::string QualifiedClassName(const ResolvedRequest& request)
{
  return request.service + "/" + request.requestClass->name;
}

/// @brief Returns the callee of a call, under which its threshold is kept.
[[nodiscard]] inline CalleeClass CalleeOf(const ResolvedRequest& request)
{
  return { .service = request.service, .requestClass = request.requestClass->name };
}

/// @brief Returns what decides whether a call can end before a stop does.
[[nodiscard]] inline RequestProfile RequestProfileOf(const PendingCall& call,
                                                     const RequestContext& context)
{
  const RequestSource own =
    call.isFromIngress ? RequestSource::Caller : RequestSource::LocalUpstream;
  return { .source = call.recipient == Recipient::Peer ? RequestSource::Peer : own,
           .requestClass = *call.request.requestClass,
           .deadline = context.deadline };
}

/// @brief Returns the result that routing learns from a refusal.
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

/// @brief Builds the refusal of a request whose caller left before it was sent.
[[nodiscard]] inline Refusal CallerGoneRefusal(const std::string& where)
{
  return { .reason = Reason::CallerGone, .message = "the caller left; not sent to " + where };
}

/// @brief Builds the end of an attempt that failed.
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
