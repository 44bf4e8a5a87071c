#pragma once

/// @file
/// Answers the nodes' Thrift calls.

#include "acaciapulley/control/shared_state.hpp" // SharedState
#include "acaciapulley/core/clock.hpp"           // Clock
#include "gen/ControlService.h"

namespace acp::detail {

/// One handler for all connections.
class RpcHandler final : public wire::ControlServiceIf
{
public:
  RpcHandler(SharedState& state, const Clock& clock);

  void Sync(wire::SyncReply& reply, const wire::SyncRequest& request) override;
  void AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request) override;
  void BeginClaim(wire::BeginClaimReply& reply, const wire::BeginClaimRequest& request) override;
  void FinishClaim(const wire::FinishClaimRequest& request) override;
  void ReleaseClaim(const wire::ReleaseClaimRequest& request) override;

private:
  SharedState& state_;
  const Clock& clock_;
};

} // namespace acp::detail
