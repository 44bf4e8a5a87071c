#pragma once

/// @file
/// Heads of HTTP messages and streams of their bodies, independent of the HTTP library.

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

namespace acp {

/// Header fields in order; names compare without regard to case.
class HttpHeaders
{
public:
  /// @brief Appends a field.
  void Add(std::string name, std::string value);

  /// @brief Removes all fields called @p name, then appends one.
  void Set(const std::string& name, std::string value);

  /// @brief Removes all fields called @p name.
  void Remove(std::string_view name);

  /// @brief Returns the first value of @p name, or nothing.
  [[nodiscard]] std::optional<std::string> Find(std::string_view name) const;

  /// @brief Returns all fields.
  [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& Fields() const
  {
    return fields_;
  }

private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// @brief Returns whether two header names are equal without regard to case.
[[nodiscard]] bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// First line and header fields of a request.
struct HttpRequestHead
{
  std::string method;
  std::string target; ///< path and query as sent
  HttpHeaders headers;
};

/// Status line and header fields of an answer.
struct HttpResponseHead
{
  int status = 200;
  HttpHeaders headers;
};

/// A body that is read piece by piece.
class BodySource
{
public:
  BodySource() = default;
  BodySource(const BodySource&) = delete;
  BodySource& operator=(const BodySource&) = delete;
  virtual ~BodySource() = default;

  /// @brief Reads up to @p size bytes.
  /// @return the number of bytes read; 0 at the end of a complete body
  /// @throw BodyTruncated when the body ends before its framing says so
  virtual std::size_t Read(char* buffer, std::size_t size) = 0;
};

/// Raised by BodySource::Read when the peer ended or stalled within a body.
struct BodyTruncated
{};

/// Raised by LimitedBody::Read when a body is larger than allowed.
struct BodyTooLarge
{};

/// Passes a body on and raises BodyTooLarge once it exceeds a limit, so that a body of unknown
/// length is bounded while it streams.
class LimitedBody final : public BodySource
{
public:
  /// @param limit largest body in bytes
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
