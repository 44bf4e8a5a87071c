#include "acaciapulley/config/detail/path_pattern.hpp"

#include <algorithm> // min
#include <cstddef>   // size_t

namespace acp::detail {

namespace {

constexpr std::string_view kAnySegment = "*";
constexpr std::string_view kAnyRest = "**";

bool IsLiteralCharacter(char c)
{
  const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool isDigit = c >= '0' && c <= '9';
  return isLetter || isDigit || c == '-' || c == '_' || c == '.' || c == '~';
}

bool IsLiteral(std::string_view segment)
{
  for (const char c : segment) {
    if (!IsLiteralCharacter(c)) {
      return false;
    }
  }
  return !segment.empty() && segment != "." && segment != "..";
}

} // namespace

std::vector<std::string_view> SplitPath(std::string_view path)
{
  std::vector<std::string_view> segments;
  if (path.starts_with('/')) {
    path.remove_prefix(1);
  }
  if (path.empty()) {
    return segments;
  }
  std::size_t start = 0;
  while (start <= path.size()) {
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return segments;
}

std::string DescribePatternError(std::string_view pattern)
{
  if (!pattern.starts_with('/')) {
    return "does not start with /";
  }
  const auto segments = SplitPath(pattern);
  for (std::size_t i = 0; i < segments.size(); ++i) {
    const bool isLast = i + 1 == segments.size();
    if (segments[i] == kAnyRest && !isLast) {
      return "has ** before the last segment";
    }
    if (segments[i] != kAnySegment && segments[i] != kAnyRest && !IsLiteral(segments[i])) {
      return "has the invalid segment '" + std::string(segments[i]) + "'";
    }
  }
  return "";
}

bool PatternMatches(std::string_view pattern, std::string_view path)
{
  const auto wanted = SplitPath(pattern);
  const auto given = SplitPath(path);
  for (std::size_t i = 0; i < wanted.size(); ++i) {
    if (wanted[i] == kAnyRest) {
      return true;
    }
    if (i >= given.size() || given[i].empty()) {
      return false;
    }
    if (wanted[i] != kAnySegment && wanted[i] != given[i]) {
      return false;
    }
  }
  return wanted.size() == given.size();
}

bool PatternsOverlap(std::string_view first, std::string_view second)
{
  const auto a = SplitPath(first);
  const auto b = SplitPath(second);
  for (std::size_t i = 0;; ++i) {
    if ((i < a.size() && a[i] == kAnyRest) || (i < b.size() && b[i] == kAnyRest)) {
      return true;
    }
    if (i >= a.size() || i >= b.size()) {
      return a.size() == b.size();
    }
    if (a[i] != kAnySegment && b[i] != kAnySegment && a[i] != b[i]) {
      return false;
    }
  }
}

} // namespace acp::detail
