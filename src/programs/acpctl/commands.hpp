#pragma once

/// @file
/// The commands of acpctl.

#include "acaciapulley/transport/settings.hpp" // Settings

namespace acp {

/// Exit codes, as documented by `acpctl --help`.
enum class ExitCode
{
  Ok = 0,
  Refused = 1,     ///< control refused; nothing was changed
  Usage = 2,       ///< wrong arguments; nothing was sent
  Unreachable = 3, ///< no leader responded; nothing was changed
  Unknown = 4,     ///< the change may have been applied
};

/// Text for `--help`.
extern const char* const kCommandsHelp;

/// @brief Runs the command in the arguments of @p settings.
[[nodiscard]] ExitCode RunCommand(const Settings& settings);

} // namespace acp
