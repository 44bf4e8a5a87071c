#pragma once

/// @file
/// HTTP message heads and body streams, independent of the HTTP library.

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

namespace acp {

/// Header fields in insertion order; names are case-insensitive.
class HttpHeaders
{
public:
  /// @brief Appends a field.
  void Add(std::string name, std::string value);

  /// @brief Replaces all fields called @p name by one at the end.
  void Set(const std::string& name, std::string value);

  /// @brief Removes all fields called @p name.
  void Remove(std::string_view name);

  /// @brief Returns the value of the first field called @p name, or nothing.
  [[nodiscard]] std::optional<std::string> Find(std::string_view name) const;

  [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& Fields() const
  {
    return fields_;
  }

private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// @brief Returns whether two strings are equal without regard to case.
[[nodiscard]] bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// Request line and header fields of a request.
struct HttpRequestHead
{
  std::string method;
  std::string target; ///< path and query as sent
  HttpHeaders headers;
};

/// Status code and header fields of a response.
struct HttpResponseHead
{
  int status = 200;
  HttpHeaders headers;
};

/// A message body that is read in parts.
class BodySource
{
public:
  BodySource() = default;
  BodySource(const BodySource&) = delete;
  BodySource& operator=(const BodySource&) = delete;
  virtual ~BodySource() = default;

  /// @brief Reads up to @p size bytes.
  /// @return the number of bytes read; 0 at the end of a complete body
  /// @throw BodyTruncated when the body ends before the end that its framing declares
  virtual std::size_t Read(char* buffer, std::size_t size) = 0;
};

/// Thrown by BodySource::Read when the peer closed the connection or stalled within a body.
struct BodyTruncated
{};

/// Thrown by LimitedBody::Read when a body is larger than allowed.
struct BodyTooLarge
{};

/// Passes a body through and throws BodyTooLarge once it exceeds a limit, which bounds a streamed
/// body of unknown length.
class LimitedBody final : public BodySource
{
public:
  /// @param limit maximum size of the body in bytes
  LimitedBody(BodySource& source, std::size_t limit)
    : source_(source)
    , remaining_(limit)
  {
  }

  std::size_t Read(char* buffer, std::size_t size) override;

private:
  BodySource& source_;
  std::size_t remaining_;
};

/// A body held in memory.
class StringBody final : public BodySource
{
public:
  explicit StringBody(std::string text)
    : text_(std::move(text))
  {
  }

  std::size_t Read(char* buffer, std::size_t size) override;

private:
  std::string text_;
  std::size_t position_ = 0;
};

/// @brief Reads the rest of @p source, at most @p limit bytes.
/// @return the bytes, or nothing when the body is larger than @p limit
std::optional<std::string> ReadAll(BodySource& source, std::size_t limit);

} // namespace acp
