#pragma once

/// @file
/// What every program does at start and at stop.

#include <string> // string

namespace acp {

/// @brief Blocks SIGTERM and SIGINT in this thread and all later ones, and ignores SIGPIPE. Call it
/// before any thread is started.
void BlockStopSignals();

/// @brief Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

/// @brief Reads a file whole.
/// @throw std::runtime_error when it cannot be read
[[nodiscard]] std::string ReadFile(const std::string& path);

/// @brief Returns @p text without blanks and line ends at its end.
[[nodiscard]] std::string TrimRight(std::string text);

} // namespace acp
