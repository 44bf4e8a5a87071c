#pragma once

/// @file
/// What the servers of one control process share.

#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/control/control_hooks.hpp"          // ControlHooks
#include "acaciapulley/control/control_state.hpp"          // ControlState
#include "acaciapulley/control/detail/control_metrics.hpp" // ControlMetrics
#include "acaciapulley/control/live_nodes.hpp"             // LiveNodes
#include "acaciapulley/control/operator_directory.hpp"     // OperatorDirectory
#include "acaciapulley/control/token_relay.hpp"            // TokenRelay
#include "acaciapulley/core/change_signal.hpp"             // ChangeSignal
#include "acaciapulley/core/clock.hpp"                     // Clock
#include "acaciapulley/replication/replicated_log.hpp"     // ReplicatedLog
#include "gen/command_types.h"

namespace acp::detail {

/// A replica answers reads only when it confirmed its leadership within this time.
inline constexpr Duration kMaxLeadershipAge = std::chrono::seconds(1);

/// Shared parts. The nodes are guarded by their mutex, the rest guards itself.
struct ControlContext
{
  const Clock& clock;
  ReplicatedLog& log;
  ControlState& state;
  ControlHooks hooks;
  OperatorDirectory operators;
  ControlMetrics metrics;
  std::mutex nodesMutex;
  LiveNodes nodes;
  TokenRelay* relay = nullptr;          ///< null: only the leader answers token requests
  ChangeSignal* changeSignal = nullptr; ///< of state and members; null: syncs are never held

  /// @brief Returns how long ago leadership was confirmed.
  /// @return the age, below kMaxLeadershipAge, or NotLeader
  ControlResult<Duration> ConfirmedLeadershipAge();

  /// @brief Returns term and time of leadership; the time is 0 when this replica does not lead.
  [[nodiscard]] Leadership CurrentLeadership() const;

  /// @brief Proposes @p command and waits for its result.
  /// @return the reply, which may carry a refusal; or NotLeader (nothing changed), Unconfirmed or
  /// Unavailable
  ControlResult<wire::CommandReply> Propose(const wire::ControlCommand& command, Duration timeout);

  /// @brief Returns which nodes have confirmed @p version, after forgetting silent ones.
  [[nodiscard]] ConfirmationStatus ConfirmationOf(std::int64_t version);
};

} // namespace acp::detail
