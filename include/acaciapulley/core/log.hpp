#pragma once

/// @file
/// Structured logging: one line of key=value pairs for each event.

#include <array>            // array
#include <chrono>           // milliseconds
#include <initializer_list> // initializer_list
#include <string>           // string
#include <string_view>      // string_view
#include <utility>          // pair

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Severity of a log line.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

template<>
struct NameTable<LogLevel>
{
  static constexpr std::array<EnumName<LogLevel>, 4> kRows = { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
  } };
};

/// One key=value pair of a log line. Values that are empty or contain spaces, quotes, equals signs
/// or control characters are quoted.
using LogField = std::pair<std::string_view, std::string>;

/// Destination of log lines. Lines that cannot be written immediately are dropped, and the next
/// line written reports their number.
enum class LogOutput
{
  StandardError,
  StandardOutput,
};

/// @brief Sets the destination of log lines; the default is StandardError.
void SetLogOutput(LogOutput output);

/// @brief Sets the minimum level that is written; the default is Info.
void SetLogLevel(LogLevel level);

/// @brief Returns a log line without its time and line end.
[[nodiscard]] std::string FormatLogLine(LogLevel level,
                                        std::string_view event,
                                        std::initializer_list<LogField> fields);

/// @brief Writes one line to the output set by SetLogOutput(); never blocks and never throws. Must
/// never be given the key of a client account.
/// @par Example
/// @code
/// acp::Log(acp::LogLevel::Info, "listening", { { "address", address } });
/// @endcode
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) noexcept;

/// @brief Writes the last line of a process; takes no lock and never throws.
/// @param timeout maximum wait for room in the output
void LogLastLine(LogLevel level,
                 std::string_view event,
                 std::initializer_list<LogField> fields,
                 std::chrono::milliseconds timeout) noexcept;

} // namespace acp
