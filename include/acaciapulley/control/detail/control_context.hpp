#pragma once

/// @file
/// State shared by the servers of a control process.

#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/control/control_hooks.hpp"          // ControlHooks
#include "acaciapulley/control/control_state.hpp"          // ControlState
#include "acaciapulley/control/detail/control_metrics.hpp" // ControlMetrics
#include "acaciapulley/control/evacuation_store.hpp"       // SetEvacuationResult
#include "acaciapulley/control/live_nodes.hpp"             // LiveNodes
#include "acaciapulley/control/operator_directory.hpp"     // OperatorDirectory
#include "acaciapulley/control/poll_relay.hpp"             // PollRelay
#include "acaciapulley/control/token_relay.hpp"            // TokenRelay
#include "acaciapulley/core/change_signal.hpp"             // ChangeSignal
#include "acaciapulley/core/clock.hpp"                     // Clock
#include "acaciapulley/replication/replicated_log.hpp"     // ReplicatedLog
#include "gen/command_types.h"

namespace acp::detail {

/// A replica answers reads only if its leadership was confirmed within this time.
inline constexpr Duration kMaxLeadershipAge = std::chrono::seconds(1);

/// Shared state. `nodes` is guarded by `nodesMutex`; all other members are thread-safe.
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
  TokenRelay* relay = nullptr;          ///< null: token requests are not relayed to the leader
  PollRelay* pollRelay = nullptr;       ///< null: only the leader answers polls
  ChangeSignal* changeSignal = nullptr; ///< for state and members; null: no long polls

  /// @brief Returns whether this replica may answer polls while it is not the leader. Reports of
  /// nodes come with their polls and only the leader stores them, so a control that collects them
  /// does not relay.
  [[nodiscard]] bool MayRelayPolls() const { return pollRelay != nullptr && !hooks.acceptReport; }

  /// @brief Returns whether the log lists enough nodes for polls to be relayed. Unlike the polls
  /// that a leader has heard, this is known at once after a restart of all replicas.
  [[nodiscard]] bool IsLargeFleet() const
  {
    return MayRelayPolls() && state.JoinedNodeCount() >= kMinRelayedNodes;
  }

  /// @brief Returns the time since the leadership of this replica was confirmed.
  /// @return the age, below kMaxLeadershipAge, or NotLeader
  ControlResult<Duration> ConfirmedLeadershipAge();

  /// @brief Returns the term and the duration of leadership, which is 0 if this replica is not the
  /// leader.
  [[nodiscard]] Leadership CurrentLeadership() const;

  /// @brief Proposes @p command to the log and waits for its result.
  /// @return the reply, which may contain an error; or NotLeader (nothing was changed), Unconfirmed
  /// or Unavailable
  ControlResult<wire::CommandReply> Propose(const wire::ControlCommand& command, Duration timeout);

  /// @brief Starts or finishes the evacuation of @p dataCentre. An order that changes nothing is
  /// written to the log as well, so that only a leader with a quorum can acknowledge it.
  /// @return whether it was in force already; or InvalidRequest, TooManyEvacuations, NotLeader,
  /// Unconfirmed or Unavailable
  ControlResult<SetEvacuationResult> SetEvacuation(const std::string& operatorName,
                                                   const std::string& dataCentre,
                                                   bool evacuated);

  /// @brief Removes expired nodes and returns which nodes have confirmed @p version.
  [[nodiscard]] ConfirmationStatus ConfirmationOf(std::int64_t version);
};

} // namespace acp::detail
