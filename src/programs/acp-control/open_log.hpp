#pragma once

/// @file
/// Opens the replicated log that drives the control state.

#include <memory> // unique_ptr

#include "acaciapulley/control/control_state.hpp"      // ControlState
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog
#include "acaciapulley/transport/settings.hpp"         // Settings

namespace acp {

/// @brief Declares the settings of the replicated log.
void AddLogSettings(Settings& settings);

/// @brief Opens the log of this replica.
/// @throw std::runtime_error when it cannot be opened
[[nodiscard]] std::unique_ptr<ReplicatedLog> OpenLog(const Settings& settings, ControlState& state);

} // namespace acp
