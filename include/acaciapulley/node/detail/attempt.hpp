#pragma once

/// @file
/// One attempt to run a request, here or on a peer.

#include <functional> // function
#include <string>     // string

#include "acaciapulley/node/detail/request_body.hpp"     // RequestBody
#include "acaciapulley/node/detail/request_resolver.hpp" // ResolvedRequest
#include "acaciapulley/node/detail/stop_times.hpp"       // StopCandidate
#include "acaciapulley/node/detail/threshold_book.hpp"   // CalleeClass, ThresholdBook
#include "acaciapulley/node/refusal.hpp"                 // OrRefusal
#include "acaciapulley/retries/request_context.hpp"      // RequestContext
#include "acaciapulley/routing/member_table.hpp"         // CallResult
#include "acaciapulley/transport/http_server.hpp"        // ServerExchange

namespace acp::detail {

/// Who receives the answer; peers also get load, thresholds and unused retries.
enum class Audience
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
  Audience audience = Audience::Caller;
  bool entersHere = false; ///< a caller's request that came through this node's own ingress
  /// `service/class` that makes the call; thresholds are learnt under it.
  std::string ownClass;
  ThresholdBook* thresholds = nullptr; ///< of callers' requests, or of the own upstream's runs
  Duration patience{};                 ///< longest wait at the gate; 0: the gate's own bounds apply
  std::string callerService; ///< service of the host on which a fleet route's request began
  /// Spends the rate token right before the request leaves; false when its lease has ended. Empty
  /// when none is needed.
  std::function<bool()> commitToken;
  /// Asked when the upstream has answered with a server error; true when the answer is to be
  /// dropped, since another attempt follows. Empty when each answer is delivered.
  std::function<bool()> mayReplaceAnswer;
};

/// How an attempt ended.
struct AttemptEnd
{
  /// Success: the caller has an answer, or saw its connection aborted. Otherwise nothing was sent
  /// to the caller yet.
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
  bool nothingSent = false; ///< no byte of the request has left this node
  CallResult routing = CallResult::Answered;
  bool isReplaced = false; ///< the upstream's answer was dropped; see PendingCall::mayReplaceAnswer
};

inline constexpr int kFirstServerError = 500;

/// @brief Returns `service/class`, the name under which thresholds are kept.
[[nodiscard]] inline std::string ClassName(const ResolvedRequest& request)
{
  return request.service + "/" + request.requestClass->name;
}

/// @brief Returns the callee of a call, under which its threshold is kept.
[[nodiscard]] inline CalleeClass CalleeOf(const ResolvedRequest& request)
{
  return { .service = request.service, .requestClass = request.requestClass->name };
}

/// @brief Returns what decides whether a call can end before a stop does.
[[nodiscard]] inline StopCandidate StopCandidateOf(const PendingCall& call,
                                                   const RequestContext& context)
{
  const RequestSource own = call.entersHere ? RequestSource::Caller : RequestSource::OwnUpstream;
  return { .source = call.audience == Audience::Peer ? RequestSource::Peer : own,
           .requestClass = *call.request.requestClass,
           .deadline = context.deadline };
}

/// @brief Returns the result that routing learns from a refusal.
[[nodiscard]] inline CallResult RoutingResult(const Refusal& refusal)
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
[[nodiscard]] inline Refusal CallerLeft(const std::string& where)
{
  return { .reason = Reason::CallerGone, .message = "the caller left; not sent to " + where };
}

/// @brief Builds the end of an attempt that failed.
[[nodiscard]] inline AttemptEnd FailedAttempt(const Refusal& refusal, bool nothingSent, int unused)
{
  return { .result = boost::outcome_v2::failure(refusal),
           .unusedRetries = unused,
           .nothingSent = nothingSent,
           .routing = RoutingResult(refusal) };
}

} // namespace acp::detail
