#pragma once

/// @file
/// Log lines on standard error: one line of key=value pairs for each event.

#include <array>            // array
#include <initializer_list> // initializer_list
#include <string>           // string
#include <string_view>      // string_view
#include <utility>          // pair

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Importance of a log line.
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

/// One key=value pair of a log line. A value with blanks, quotes or control characters is quoted.
using LogField = std::pair<std::string_view, std::string>;

/// Where log lines go.
enum class LogOutput
{
  StandardError,
  /// A line for which the reader has no room is left out and counted, so that logging never blocks;
  /// the next line written tells the count.
  StandardOutput,
};

/// @brief Sets where log lines go; the default is StandardError.
void SetLogOutput(LogOutput output);

/// @brief Sets the lowest level that is written; the default is Info.
void SetLogLevel(LogLevel level);

/// @brief Returns the line without time and line end, for tests.
[[nodiscard]] std::string FormatLogLine(LogLevel level,
                                        std::string_view event,
                                        std::initializer_list<LogField> fields);

/// @brief Writes one line to the output that SetLogOutput chose. Never pass a client account's key.
/// @par Example
/// @code
/// acp::Log(acp::LogLevel::Info, "listening", { { "address", address } });
/// @endcode
void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace acp
