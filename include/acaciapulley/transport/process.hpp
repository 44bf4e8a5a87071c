#pragma once

/// @file
/// Signal handling and file helpers shared by the programs.

#include <functional> // function
#include <string>     // string

namespace acp {

/// @brief Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later, and
/// ignores SIGPIPE. Call it before any thread is started.
void BlockStopSignals();

/// @brief Waits until SIGTERM or SIGINT arrives.
/// @param onReload called on this thread for each SIGHUP; may be empty
void WaitForStopSignal(const std::function<void()>& onReload = nullptr);

/// @brief Reads a complete file.
/// @throw std::runtime_error when it cannot be read
[[nodiscard]] std::string ReadFile(const std::string& path);

/// @brief Returns @p text without trailing white space.
[[nodiscard]] std::string TrimRight(std::string text);

} // namespace acp
