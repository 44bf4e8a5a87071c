#pragma once

/// @file
/// The control process: answers nodes over Thrift and operators over HTTP.

#include <cstdint> // uint16_t
#include <memory>  // shared_ptr, unique_ptr
#include <string>  // string

#include "acaciapulley/control/control_hooks.hpp"      // ControlHooks
#include "acaciapulley/control/control_state.hpp"      // ControlState
#include "acaciapulley/control/fleet_store.hpp"        // FleetChange, PutFleetResult
#include "acaciapulley/control/operator_directory.hpp" // OperatorDirectory
#include "acaciapulley/core/clock.hpp"                 // Clock, Duration
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog
#include "acaciapulley/transport/address.hpp"          // Address

namespace apache::thrift {
class TProcessor;
} // namespace apache::thrift

namespace acp {

/// Construction options of a ControlProcess. The pointers outlive it.
struct ControlProcessOptions
{
  Address rpcAddress;      ///< where nodes connect; port 0 picks a free one
  Address operatorAddress; ///< port 0 picks a free one
  OperatorDirectory operators;
  const Clock* clock = nullptr;
  ReplicatedLog* log = nullptr;  ///< drives `state`
  ControlState* state = nullptr; ///< the state machine of `log`
  ControlHooks hooks;
  /// Service of the replicated log, served on the listener for nodes under @ref
  /// replicationServiceName; null when the log has a listener of its own.
  std::shared_ptr<apache::thrift::TProcessor> replicationProcessor;
  std::string replicationServiceName;
};

/// One control process.
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
  /// @throw std::runtime_error when an address cannot be bound
  explicit ControlProcess(const ControlProcessOptions& options);
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;
  ~ControlProcess();

  /// @brief Returns the bound port for nodes.
  [[nodiscard]] std::uint16_t RpcPort() const;

  /// @brief Returns the bound port for operators.
  [[nodiscard]] std::uint16_t OperatorPort() const;

  /// @brief Replaces the fleet document.
  /// @param operatorName stands in the audit trail
  /// @return the receipt, also when the same change was accepted before; or InvalidDocument,
  /// VersionConflict, NotLeader (nothing changed), or Unconfirmed or Unavailable (it may yet come
  /// into force, so that the same change should be sent again)
  ControlResult<PutFleetResult> PutFleet(const std::string& operatorName,
                                         const FleetChange& change);

  /// @brief Returns the fleet document in force.
  /// @return the document, or NotLeader when this replica cannot confirm that it is the newest
  ControlResult<FleetChange> ReadFleet();

  /// @brief Lets operators' requests in progress end for up to @p drainTimeout, then closes. Nodes'
  /// calls end first; nodes go to another replica.
  void Stop(Duration drainTimeout);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
