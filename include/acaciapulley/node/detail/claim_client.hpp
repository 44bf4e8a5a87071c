#pragma once

/// @file
/// Claims for non-idempotent requests, stored by control.

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

/// Response bodies up to this size are stored with the outcome for resends.
inline constexpr std::size_t kMaxOutcomeBodyBytes = 16'384;

/// One attempt's request for a claim. Account, service and idempotency key identify the claim;
/// resends repeat them.
struct ClaimRequest
{
  std::string account;
  std::string service;
  std::string idempotencyKey;
  std::string attemptId;   ///< unique to this attempt
  std::string fingerprint; ///< digest of the request; resends must have the same
  UnixMillis deadline{};   ///< after it, a claim without an outcome is unknown
};

/// The recorded response to a request that ran.
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

  /// @brief Requests the claim. Returns only after a granted claim is durable.
  /// @return nothing when this attempt may run; the outcome when the request ran before; or a
  /// refusal: 400 for an invalid or expired key, 409 while another attempt runs or when the key was
  /// used for a different request, 503 when control cannot be reached or the deadline has passed
  /// (the request has not run), 504 when the outcome of an earlier attempt is unknown
  OrRefusal<std::optional<RecordedOutcome>> Begin(const ClaimRequest& claimRequest);

  /// @brief Records the outcome.
  /// @return whether control has stored it; otherwise the outcome is unknown to resends
  bool Finish(const ClaimRequest& claimRequest, const RecordedOutcome& outcome);

  /// @brief Records that the request may have run and that its outcome is unknown.
  void MarkUnknown(const ClaimRequest& claimRequest);

  /// @brief Releases the claim. Requires that the request has certainly not run.
  void Release(const ClaimRequest& claimRequest);

private:
  ControlCall call_;
  std::string nodeId_;
};

} // namespace acp::detail
