#pragma once

/// @file
/// Answers that a node gives itself instead of an upstream's.

#include <optional> // optional
#include <string>   // string
#include <utility>  // move

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold, LoadReport
#include "acaciapulley/core/clock.hpp"            // Duration
#include "acaciapulley/core/error.hpp"            // Result
#include "acaciapulley/core/outcome.hpp"          // Reason, RequestOutcome
#include "acaciapulley/transport/http_server.hpp" // ServerExchange

namespace acp {

/// Why a node answers itself.
struct Refusal
{
  int status = 503;
  RequestOutcome outcome = RequestOutcome::NotRun;
  Reason reason = Reason::None;
  std::string message;
  Duration retryAfter{}; ///< zero: no `Retry-After`
  /// Sent by an executing node to its peers only.
  std::optional<AdmissionThreshold> threshold;
  std::optional<LoadReport> load;
  std::optional<int> unusedRetries;
};

/// A value, or the refusal to send to the caller.
template<typename T>
using OrRefusal = Result<T, Refusal>;

/// @brief Builds a refusal of a request that no upstream has seen.
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

/// @brief Builds the answer to a request that an upstream may have run.
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
