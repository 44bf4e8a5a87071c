#include "acaciapulley/core/json_check.hpp"

#include <algorithm>    // min
#include <charconv>     // from_chars
#include <cstdint>      // int64_t, uint64_t
#include <system_error> // errc

#include <Poco/UTF8Encoding.h>
#include <fmt/format.h> // format

namespace acp {

namespace {

constexpr std::string_view kNumberChars = "+-.0123456789Ee";
constexpr std::size_t kMaxShownChars = 40;

template<typename Number>
bool Fits(std::string_view digits)
{
  Number number{};
  return std::from_chars(digits.data(), digits.data() + digits.size(), number).ec !=
         std::errc::result_out_of_range;
}

bool IsRepresentable(std::string_view digits)
{
  const bool isWhole = digits.find_first_of(".eE") == std::string_view::npos;
  if (isWhole) {
    return Fits<std::int64_t>(digits) || Fits<std::uint64_t>(digits);
  }
  return Fits<double>(digits);
}

/// Returns the length in bytes of the UTF-8 character at @p position; 0 if there is none.
std::size_t CharacterLength(std::string_view text, std::size_t position)
{
  const auto byteAt = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
  const unsigned char first = byteAt(position);
  std::size_t length = 1;
  if (first >= 0xF0) {
    length = 4;
  } else if (first >= 0xE0) {
    length = 3;
  } else if (first >= 0xC0) {
    length = 2;
  }
  if (position + length > text.size()) {
    return 0;
  }
  const auto* bytes = reinterpret_cast<const unsigned char*>(text.data() + position);
  const bool isLegal = Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length));
  return isLegal ? length : 0;
}

/// Returns the position after the string that starts at @p position; npos if it is not UTF-8.
std::size_t SkipString(std::string_view text, std::size_t position)
{
  ++position;
  while (position < text.size() && text[position] != '"') {
    if (text[position] == '\\') {
      position += 2;
      continue;
    }
    const std::size_t length = CharacterLength(text, position);
    if (length == 0) {
      return std::string_view::npos;
    }
    position += length;
  }
  return position + 1;
}

} // namespace

std::optional<std::string> FindJsonProblem(std::string_view text)
{
  std::size_t depth = 0;
  std::size_t position = 0;
  while (position < text.size()) {
    const char c = text[position];
    if (c == '"') {
      position = SkipString(text, position);
      if (position == std::string_view::npos) {
        return "a string is not UTF-8";
      }
    } else if (c == '-' || (c >= '0' && c <= '9')) {
      const std::size_t end = std::min(text.find_first_not_of(kNumberChars, position), text.size());
      const std::string_view digits = text.substr(position, end - position);
      if (!IsRepresentable(digits)) {
        return fmt::format("the number {} is too large", digits.substr(0, kMaxShownChars));
      }
      position = end;
    } else {
      if ((c == '{' || c == '[') && ++depth > kMaxJsonDepth) {
        return fmt::format("it is nested more than {} deep", kMaxJsonDepth);
      }
      depth -= (c == '}' || c == ']') && depth > 0 ? 1 : 0;
      ++position;
    }
  }
  return std::nullopt;
}

} // namespace acp
