#pragma once

/// @file
/// Claims of non-idempotent requests, kept by control.

#include <functional> // function
#include <optional>   // optional
#include <string>     // string

#include "acaciapulley/core/clock.hpp"                // UnixMillis
#include "acaciapulley/node/refusal.hpp"              // OrRefusal
#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp::wire {
class ControlServiceIf;
} // namespace acp::wire

namespace acp::detail {

/// Makes one call to the control leader.
using ControlCall = std::function<TransportResult<void>(
  const std::function<void(wire::ControlServiceIf& control)>& call)>;

/// Bodies of outcomes up to this size are kept for a resend.
inline constexpr std::size_t kMaxOutcomeBodyBytes = 16'384;

/// What identifies a non-idempotent request and its resends.
struct ClaimRequest
{
  std::string account;
  std::string service;
  std::string idempotencyKey;
  std::string attemptId;   ///< unique to this attempt
  std::string fingerprint; ///< digest of the request; a resend must have the same
  UnixMillis deadline{};   ///< after it, a claim without outcome is unknown
};

/// The recorded answer of a request that ran.
struct RecordedOutcome
{
  int status = 0;
  std::string contentType;
  std::string body;
  bool isBodyKept = true;
  std::string bodyDigest; ///< SHA-256
};

/// Begins, finishes and releases claims.
class ClaimClient
{
public:
  ClaimClient(ControlCall call, std::string nodeId);

  /// @brief Asks for the right to run the request. Returns only when the claim is durable.
  /// @return nothing when this attempt may run; the record when the request ran before; or a
  /// refusal: 503 when control cannot be reached (true "not run"), 409 while another attempt runs
  /// or for another request under the same key, 400 for an expired key, 504 when the outcome of an
  /// earlier attempt is unknown
  OrRefusal<std::optional<RecordedOutcome>> Begin(const ClaimRequest& claimRequest);

  /// @brief Records the outcome.
  /// @return whether control has it; a resend gets "unknown" otherwise
  bool Finish(const ClaimRequest& claimRequest, const RecordedOutcome& outcome);

  /// @brief Records that the request may have run and that no outcome is known.
  void MarkUnknown(const ClaimRequest& claimRequest);

  /// @brief Gives the claim up; only when it is certain that nothing was sent.
  void Release(const ClaimRequest& claimRequest);

private:
  ControlCall call_;
  std::string nodeId_;
};

} // namespace acp::detail
