#include "acaciapulley/core/log.hpp"

#include <algorithm> // min
#include <atomic>    // atomic
#include <cctype>    // isprint
#include <chrono>    // system_clock
#include <climits>   // PIPE_BUF
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <exception> // exception
#include <mutex>     // mutex

#include <fmt/chrono.h> // gmtime
#include <fmt/format.h> // format
#include <poll.h>       // poll
#include <unistd.h>     // write

namespace acp {

namespace {

std::atomic<LogLevel> gMinLevel{ LogLevel::Info };
std::atomic<LogOutput> gOutput{ LogOutput::StandardError };
std::atomic<std::uint64_t> gDroppedLines{ 0 };
std::mutex gOutputMutex;

// Writes to a pipe of up to this size are atomic, and a pipe that poll() reports as writable has
// room for one.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

bool NeedsQuotes(std::string_view value)
{
  if (value.empty()) {
    return true;
  }
  for (const char c : value) {
    if (c == ' ' || c == '"' || c == '=' || std::isprint(static_cast<unsigned char>(c)) == 0) {
      return true;
    }
  }
  return false;
}

std::string Quote(std::string_view value)
{
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (std::isprint(static_cast<unsigned char>(c)) == 0) {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

bool WriteToOutput(std::string_view line, std::chrono::milliseconds timeout)
{
  const int handle = gOutput.load() == LogOutput::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  pollfd entry{ .fd = handle, .events = POLLOUT, .revents = 0 };
  if (::poll(&entry, 1, static_cast<int>(timeout.count())) != 1 || (entry.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(handle, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

std::string FormatTimedLine(LogLevel level,
                            std::string_view event,
                            std::initializer_list<LogField> fields)
{
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count(),
                     FormatLogLine(level, event, fields));
}

/// Ends @p line, which may be too long, with the number of lines that were dropped before it.
std::string EndLine(std::string line, std::uint64_t dropped)
{
  const std::string end = dropped > 0 ? fmt::format(" lines_left_out={}\n", dropped) : "\n";
  line.resize(std::min(line.size(), kMaxLineBytes - end.size()));
  return line + end;
}

} // namespace

void SetLogOutput(LogOutput output)
{
  gOutput = output;
}

void SetLogLevel(LogLevel level)
{
  gMinLevel = level;
}

std::string FormatLogLine(LogLevel level,
                          std::string_view event,
                          std::initializer_list<LogField> fields)
{
  std::string line = fmt::format("level={} event={}", NameOf(level), event);
  for (const auto& [key, value] : fields) {
    line += fmt::format(" {}={}", key, NeedsQuotes(value) ? Quote(value) : value);
  }
  return line;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) noexcept
{
  if (level < gMinLevel.load()) {
    return;
  }
  const std::uint64_t dropped = gDroppedLines.exchange(0);
  bool isWritten = false;
  try {
    const std::string line = EndLine(FormatTimedLine(level, event, fields), dropped);
    // No other thread may fill the pipe between poll() and write().
    const std::lock_guard lock(gOutputMutex);
    isWritten = WriteToOutput(line, std::chrono::milliseconds(0));
  } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
    // There is no memory for the line; it counts as dropped.
  }
  if (!isWritten) {
    gDroppedLines += dropped + 1;
  }
}

void LogLastLine(LogLevel level,
                 std::string_view event,
                 std::initializer_list<LogField> fields,
                 std::chrono::milliseconds timeout) noexcept
{
  try {
    WriteToOutput(EndLine(FormatTimedLine(level, event, fields), gDroppedLines), timeout);
  } catch (const std::exception&) {
    WriteToOutput("level=error event=process_failed error=\"no memory for the last line\"\n",
                  timeout);
  }
}

} // namespace acp
