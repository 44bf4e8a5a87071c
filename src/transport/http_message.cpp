#include "acaciapulley/transport/http_message.hpp"

#include <algorithm> // equal, min
#include <array>     // array
#include <cctype>    // tolower
#include <cstring>   // memcpy

namespace acp {

namespace {

constexpr std::size_t kReadChunkBytes = 16'384;

} // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b)
{
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

void HttpHeaders::Add(std::string name, std::string value)
{
  fields_.emplace_back(std::move(name), std::move(value));
}

void HttpHeaders::Set(const std::string& name, std::string value)
{
  Remove(name);
  Add(name, std::move(value));
}

void HttpHeaders::Remove(std::string_view name)
{
  std::erase_if(fields_, [name](const auto& field) { return EqualsIgnoreCase(field.first, name); });
}

std::optional<std::string> HttpHeaders::Find(std::string_view name) const
{
  for (const auto& [fieldName, value] : fields_) {
    if (EqualsIgnoreCase(fieldName, name)) {
      return value;
    }
  }
  return std::nullopt;
}

std::size_t LimitedBody::Read(char* buffer, std::size_t size)
{
  const std::size_t count = source_.Read(buffer, size);
  if (count > remaining_) {
    throw BodyTooLarge{};
  }
  remaining_ -= count;
  return count;
}

std::size_t StringBody::Read(char* buffer, std::size_t size)
{
  const std::size_t count = std::min(size, text_.size() - position_);
  std::memcpy(buffer, text_.data() + position_, count);
  position_ += count;
  return count;
}

std::optional<std::string> ReadAll(BodySource& source, std::size_t limit)
{
  std::string text;
  std::array<char, kReadChunkBytes> buffer{};
  while (true) {
    const std::size_t count = source.Read(buffer.data(), buffer.size());
    if (count == 0) {
      return text;
    }
    if (text.size() + count > limit) {
      return std::nullopt;
    }
    text.append(buffer.data(), count);
  }
}

} // namespace acp
