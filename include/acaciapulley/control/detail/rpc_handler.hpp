#pragma once

/// @file
/// Implementation of the Thrift service for nodes.

#include <string> // string

#include "acaciapulley/control/detail/control_context.hpp" // ControlContext
#include "acaciapulley/control/detail/relay_directory.hpp" // RelayDirectory
#include "gen/ControlService.h"

namespace acp::detail {

/// One handler for all connections. Calls throw NotLeader if this replica is not the leader, except
/// AcquireTokens, which is relayed to the leader, and Sync in a large fleet, which the replica
/// answers from its own state and the leader's confirmations (PollRelay). A call that failed with
/// `unconfirmed` may be resent.
class RpcHandler final : public wire::ControlServiceIf
{
public:
  explicit RpcHandler(ControlContext& context);

  /// @throw wire::NotLeader if leadership was not confirmed within the last second, or at a relay
  /// if the leader did not confirm its state within kMaxRelayedAge
  void Sync(wire::SyncReply& reply, const wire::SyncRequest& request) override;
  void AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request) override;
  void RelayTokens(wire::RelayedTokenReply& reply,
                   const wire::RelayedTokenRequest& request) override;
  void RelayPolls(wire::PollRelayReply& reply, const wire::PollRelayRequest& request) override;

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
  void SendToRelay(const std::string& nodeId);
  Duration RequireRelayedState();
  std::string EnsureFleetSecret();
  void FillMembers(wire::SyncReply& reply, const wire::SyncRequest& request);
  void FillRelayedMembers(wire::SyncReply& reply, const wire::SyncRequest& request);
  void RecordPolls(const std::vector<RelayedPolls::Entry>& polls, const Leadership& leadership);
  [[noreturn]] void ThrowNotLeader(std::string_view call);
  [[noreturn]] void ThrowFailure(std::string_view call, int code, const std::string& message);

  ControlContext& context_;
  RelayDirectory relays_;
};

} // namespace acp::detail
