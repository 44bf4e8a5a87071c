#pragma once

/// @file
/// Settings and start of the replica of the log that drives the control state.

#include <memory> // unique_ptr

#include "acaciapulley/control/control_state.hpp" // ControlState
#include "acaciapulley/core/clock.hpp"            // Clock
#include "acaciapulley/replication/replica.hpp"   // Replica
#include "acaciapulley/transport/settings.hpp"    // Settings

namespace acp {

/// @brief Declares the settings of the replica.
void AddReplicaSettings(Settings& settings);

/// @brief Starts the replica; it is served on the rpc listener of the control process.
/// @throw std::runtime_error when the settings or the data folder cannot be used
[[nodiscard]] std::unique_ptr<Replica> StartReplica(const Settings& settings,
                                                    const Clock& clock,
                                                    ControlState& state);

} // namespace acp
