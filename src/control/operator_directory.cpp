#include "acaciapulley/control/operator_directory.hpp"

#include <algorithm> // all_of, min
#include <set>       // set

#include <fmt/format.h> // format

#include "acaciapulley/core/random.hpp" // Sha256, ToHex

namespace acp {

namespace {

constexpr std::size_t kHashDigits = 64;
constexpr std::size_t kMaxNameLength = 64;

bool IsHexDigit(char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool IsNameCharacter(char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsOperatorName(std::string_view name)
{
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string_view TrimLine(std::string_view line)
{
  const std::size_t end = line.find_last_not_of(" \t\r");
  return end == std::string_view::npos ? std::string_view{} : line.substr(0, end + 1);
}

} // namespace

ControlResult<OperatorDirectory> OperatorDirectory::Parse(std::string_view text)
{
  OperatorDirectory directory;
  std::set<std::string> names;
  int number = 0;
  while (!text.empty()) {
    ++number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = TrimLine(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == '#') {
      continue;
    }
    const std::size_t colon = line.find(':');
    const std::string name(line.substr(0, std::min(colon, line.size())));
    const std::string hash(colon == std::string_view::npos ? "" : line.substr(colon + 1));
    const bool isHash =
      hash.size() == kHashDigits && std::all_of(hash.begin(), hash.end(), IsHexDigit);
    if (!IsOperatorName(name) || !isHash) {
      return Fail(
        ControlErrorCode::InvalidOperators,
        fmt::format("line {} is not name:sha256, with a name of the characters a-z, 0-9, -, _ "
                    "and . and a hash of 64 lower-case hexadecimal digits",
                    number));
    }
    if (!names.insert(name).second || !directory.nameByHash_.emplace(hash, name).second) {
      return Fail(ControlErrorCode::InvalidOperators,
                  fmt::format("line {} contains a duplicate name or key", number));
    }
  }
  if (names.empty()) {
    return Fail(ControlErrorCode::InvalidOperators, "the file contains no operator");
  }
  return directory;
}

std::optional<std::string> OperatorDirectory::NameOf(const std::string& keyText) const
{
  const auto found = nameByHash_.find(ToHex(Sha256(keyText)));
  return found == nameByHash_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace acp
