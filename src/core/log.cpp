#include "acaciapulley/core/log.hpp"

#include <algorithm> // min
#include <atomic>    // atomic
#include <cctype>    // isprint
#include <chrono>    // system_clock
#include <climits>   // PIPE_BUF
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <cstdio>    // stderr
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
std::mutex gStandardOutputMutex;

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

bool WriteToStandardOutput(std::string_view line)
{
  // No other thread may fill the pipe between poll() and write().
  const std::lock_guard lock(gStandardOutputMutex);
  pollfd entry{ .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
  if (::poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void Write(std::string line)
{
  if (gOutput.load() == LogOutput::StandardError) {
    fmt::print(stderr, "{}\n", line);
    return;
  }
  const std::uint64_t dropped = gDroppedLines.exchange(0);
  const std::string end = dropped > 0 ? fmt::format(" lines_left_out={}\n", dropped) : "\n";
  line.resize(std::min(line.size(), kMaxLineBytes - end.size()));
  line += end;
  if (!WriteToStandardOutput(line)) {
    gDroppedLines += dropped + 1;
  }
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

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
  if (level < gMinLevel.load()) {
    return;
  }
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  Write(fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                    (now - seconds).count(),
                    FormatLogLine(level, event, fields)));
}

} // namespace acp
