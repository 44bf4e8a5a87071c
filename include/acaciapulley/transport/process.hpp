#pragma once

/// @file
/// Start and end of a process, signals and file helpers shared by the programs.

#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace acp {

/// @brief Prepares the process; call it first in main(), before any thread is started.
///
/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and in threads that it starts later. Ignores
/// SIGPIPE and SIGXFSZ, so that a write to a closed connection or beyond a file limit fails with an
/// error instead. Limits the memory that the allocator keeps for threads. An exception that leaves
/// a thread ends the process by EndFailedProcess().
void PrepareProcess();

/// @brief Waits until SIGTERM or SIGINT arrives.
/// @param onReload called on this thread for each SIGHUP; may be empty
void WaitForStopSignal(const std::function<void()>& onReload = nullptr);

/// @brief Logs @p event with @p error as the last line and ends the process at once with exit
/// code 1.
///
/// May be called on any thread. Takes at most two seconds, whatever the other threads and the
/// reader of the log do: no thread is joined and no destructor runs.
/// @par Example
/// @code
/// options.onFailure = [](const acp::ReplicationError& error) {
///   acp::EndFailedProcess("control_failed", error.Describe());
/// };
/// @endcode
[[noreturn]] void EndFailedProcess(std::string_view event, const std::string& error) noexcept;

/// @brief Ends the process at once with exit code 0, after its listeners have stopped.
///
/// No thread is joined, so that a disk that hangs does not delay the end.
[[noreturn]] void EndStoppedProcess() noexcept;

/// @brief Reads a complete file.
/// @throw std::runtime_error when it cannot be read
[[nodiscard]] std::string ReadFile(const std::string& path);

/// @brief Returns @p text without trailing white space.
[[nodiscard]] std::string TrimRight(std::string text);

} // namespace acp
