#pragma once

/// @file
/// Responses that a node generates itself instead of relaying one of an upstream.

#include <optional> // optional
#include <string>   // string
#include <utility>  // move

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold, LoadReport
#include "acaciapulley/core/clock.hpp"            // Duration
#include "acaciapulley/core/error.hpp"            // Result
#include "acaciapulley/core/outcome.hpp"          // Reason, RequestOutcome
#include "acaciapulley/transport/http_server.hpp" // ServerExchange

namespace acp {

/// Contents of a response that the node generates itself.
struct Refusal
{
  int status = 503;
  RequestOutcome outcome = RequestOutcome::NotRun;
  Reason reason = Reason::None;
  std::string message;
  Duration retryAfter{}; ///< zero: no `Retry-After`
  /// Sent to peers only, by the node that runs the request.
  std::optional<AdmissionThreshold> threshold;
  std::optional<LoadReport> load;
  std::optional<ReportedRunTime> runTime;
  std::optional<int> unusedRetries;
};

/// A value, or the refusal to send to the caller.
template<typename T>
using OrRefusal = Result<T, Refusal>;

/// @brief Builds the refusal of a request that no upstream has received.
/// @par Example
/// @code
/// return acp::NotRunRefusal(401, acp::Reason::MissingKey, "send the key in Acp-Key");
/// @endcode
inline auto NotRunRefusal(int status, Reason reason, std::string message, Duration retryAfter = {})
{
  return boost::outcome_v2::failure(Refusal{ .status = status,
                                             .outcome = RequestOutcome::NotRun,
                                             .reason = reason,
                                             .message = std::move(message),
                                             .retryAfter = retryAfter });
}

/// @brief Builds the response to a request that an upstream may have run.
inline auto OutcomeUnknownRefusal(int status, Reason reason, std::string message)
{
  return boost::outcome_v2::failure(Refusal{ .status = status,
                                             .outcome = RequestOutcome::Unknown,
                                             .reason = reason,
                                             .message = std::move(message) });
}

/// @brief Sends @p refusal with `Acp-Outcome`, `Acp-Reason` and `Retry-After`.
void SendRefusal(ServerExchange& exchange, const Refusal& refusal);

} // namespace acp
