#include "acaciapulley/core/log.hpp"

#include <atomic> // atomic
#include <cctype> // isprint
#include <chrono> // system_clock
#include <cstdio> // stderr

#include <fmt/chrono.h> // gmtime
#include <fmt/format.h> // format

namespace acp {

namespace {

std::atomic<LogLevel> gLowestLevel{ LogLevel::Info };

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

} // namespace

void SetLogLevel(LogLevel level)
{
  gLowestLevel = level;
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
  if (level < gLowestLevel.load()) {
    return;
  }
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  const std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n",
                                       fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                                       (now - seconds).count(),
                                       FormatLogLine(level, event, fields));
  fmt::print(stderr, "{}", line);
}

} // namespace acp
