#pragma once

/// @file
/// Implementation of the Thrift service for nodes.

#include "acaciapulley/control/detail/control_context.hpp" // ControlContext
#include "gen/ControlService.h"

namespace acp::detail {

/// One handler for all connections. Calls throw NotLeader if this replica is not the leader, except
/// AcquireTokens, which is relayed to the leader. A call that failed with `unconfirmed` may be
/// resent.
class RpcHandler final : public wire::ControlServiceIf
{
public:
  explicit RpcHandler(ControlContext& context);

  /// @throw wire::NotLeader if leadership was not confirmed within the last second
  void Sync(wire::SyncReply& reply, const wire::SyncRequest& request) override;
  void AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request) override;
  void RelayTokens(wire::RelayedTokenReply& reply,
                   const wire::RelayedTokenRequest& request) override;

  /// @throw wire::ControlFailure with a ClaimsErrorCode or ControlErrorCode if the claim is not
  /// granted; after `unconfirmed`, a resend of the same attempt may still be granted
  void BeginClaim(wire::BeginClaimReply& reply, const wire::BeginClaimRequest& request) override;
  void FinishClaim(const wire::FinishClaimRequest& request) override;
  void ReleaseClaim(const wire::ReleaseClaimRequest& request) override;

private:
  void GrantTokens(std::string_view call,
                   wire::TokenReply& reply,
                   const wire::TokenRequest& request);
  Duration RequireLeadership(std::string_view call);
  wire::CommandReply Propose(std::string_view call, const wire::ControlCommand& command);
  void FillState(wire::SyncReply& reply, const wire::SyncRequest& request, Duration held);
  std::string EnsureFleetSecret();
  void FillMembers(wire::SyncReply& reply, const wire::SyncRequest& request);
  [[noreturn]] void ThrowNotLeader(std::string_view call);
  [[noreturn]] void ThrowFailure(std::string_view call, int code, const std::string& message);

  ControlContext& context_;
};

} // namespace acp::detail
