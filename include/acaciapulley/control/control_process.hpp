#pragma once

/// @file
/// The control process, which serves nodes over Thrift and operators over HTTP.

#include <chrono>  // seconds
#include <cstdint> // uint16_t
#include <memory>  // shared_ptr, unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_hooks.hpp"      // ControlHooks
#include "acaciapulley/control/control_state.hpp"      // ControlState
#include "acaciapulley/control/evacuation_store.hpp"   // SetEvacuationResult
#include "acaciapulley/control/fleet_store.hpp"        // FleetChange, PutFleetResult
#include "acaciapulley/control/operator_directory.hpp" // OperatorDirectory
#include "acaciapulley/core/clock.hpp"                 // Clock, Duration
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog
#include "acaciapulley/transport/address.hpp"          // Address

namespace apache::thrift {
class TProcessor;
} // namespace apache::thrift

namespace acp {

/// A control process that has no descriptor or memory for another connection for longer than this
/// ends, so that a replica which is started anew can lead.
inline constexpr Duration kMaxAcceptOutage = std::chrono::seconds(5);

/// Construction options of a ControlProcess. The pointers must outlive it.
struct ControlProcessOptions
{
  Address rpcAddress;      ///< listening address for nodes; port 0 selects a free port
  Address operatorAddress; ///< listening address for operators; port 0 selects a free port
  OperatorDirectory operators;
  const Clock* clock = nullptr;
  ReplicatedLog* log = nullptr;  ///< applies its entries to `state`
  ControlState* state = nullptr; ///< the state machine of `log`
  ControlHooks hooks;
  /// Thrift service of the replicated log, served on the listener for nodes under the name
  /// @ref replicationServiceName; null when the log has its own listener.
  std::shared_ptr<apache::thrift::TProcessor> replicationProcessor;
  std::string replicationServiceName;
};

/// A replica of control with its servers.
///
/// @par Example
/// @code
/// acp::ControlState state;
/// const std::unique_ptr<acp::ReplicatedLog> log = StartReplica(settings, state);
/// acp::ControlProcess process({ .rpcAddress = rpc, .operatorAddress = operators,
///                               .clock = &clock, .log = log.get(), .state = &state });
/// @endcode
class ControlProcess
{
public:
  /// @throw std::runtime_error if an address cannot be bound
  explicit ControlProcess(const ControlProcessOptions& options);
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;
  ~ControlProcess();

  /// @brief Returns the port on which nodes are served.
  [[nodiscard]] std::uint16_t RpcPort() const;

  /// @brief Returns the port on which operators are served.
  [[nodiscard]] std::uint16_t OperatorPort() const;

  /// @brief Replaces the fleet document.
  /// @param operatorName name recorded in the audit trail
  /// @return the result, also if the same change was accepted before; or InvalidDocument,
  /// VersionConflict or NotLeader (nothing was changed); or Unconfirmed or Unavailable (the change
  /// may still be applied, so the caller should resend it)
  ControlResult<PutFleetResult> PutFleet(const std::string& operatorName,
                                         const FleetChange& change);

  /// @brief Returns the current fleet document.
  /// @return the document, or NotLeader if this replica cannot confirm that the document is the
  /// latest
  ControlResult<FleetChange> ReadFleet();

  /// @brief Starts or finishes the evacuation of @p dataCentre. A resent order is confirmed again.
  /// @param operatorName name recorded in the audit trail
  /// @return the result, also if the order was in force already; or InvalidRequest,
  /// TooManyEvacuations or NotLeader (nothing was changed); or Unconfirmed or Unavailable (the
  /// order may still take effect, so the caller should resend it)
  ControlResult<SetEvacuationResult> SetEvacuation(const std::string& operatorName,
                                                   const std::string& dataCentre,
                                                   bool evacuated);

  /// @brief Returns the evacuated data centres, ordered by name.
  /// @return the names, or NotLeader if this replica cannot confirm that they are the latest
  ControlResult<std::vector<std::string>> ReadEvacuations();

  /// @brief Stops serving nodes, which fail over to another replica, then waits up to
  /// @p drainTimeout for operator requests in progress and closes the listeners.
  void Stop(Duration drainTimeout);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
