#pragma once

/// @file
/// Parsing and formatting of HTTP/1.1 heads with POCO Net, strict validation, and body framing.
///
/// POCO parses status lines and writes start lines and framing fields. Request lines and fields are
/// parsed and written here: POCO limits their size and number, its collection of fields takes time
/// that grows with the square of their number, and it accepts input that two parties could
/// interpret differently: conflicting or repeated lengths, repeated keys, folded or malformed
/// lines. Bodies are framed here because POCO reports a truncated or malformed chunked body as a
/// normal end, and because its client session reconnects and resends after a write error, which
/// would run a non-idempotent request twice.

#include <cstdint>     // int64_t
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/core/clock.hpp"                       // Duration
#include "acaciapulley/transport/detail/http_connection.hpp" // HttpConnection
#include "acaciapulley/transport/http_message.hpp"           // BodySource, HttpRequestHead

namespace acp::detail {

/// Body length that stands for a chunked body.
inline constexpr std::int64_t kChunked = -1;

/// Body length that stands for a response body that ends with the connection. Its end cannot be
/// distinguished from a lost connection.
inline constexpr std::int64_t kCloseDelimited = -2;

/// How the message after the head is to be read.
struct MessageFraming
{
  std::int64_t bodyLength = 0; ///< bytes, kChunked or kCloseDelimited
  bool keepAlive = true;
  bool expectsContinue = false;
};

/// @brief Parses a request head.
/// @param text the head including the empty line at its end
/// @return nothing, or a description of the error
[[nodiscard]] std::optional<std::string> ParseRequestHead(std::string_view text,
                                                          HttpRequestHead* head,
                                                          MessageFraming* framing);

/// @brief Parses the head of a response to a request with @p method.
/// @return nothing, or a description of the error
[[nodiscard]] std::optional<std::string> ParseResponseHead(std::string_view text,
                                                           std::string_view method,
                                                           HttpResponseHead* head,
                                                           MessageFraming* framing);

/// @brief Formats a request head, with the length of the body from @p bodyLength.
[[nodiscard]] std::string FormatRequestHead(const HttpRequestHead& head,
                                            const std::string& host,
                                            std::int64_t bodyLength);

/// @brief Formats a response head, with the length of the body from @p bodyLength.
[[nodiscard]] std::string FormatResponseHead(const HttpResponseHead& head,
                                             std::int64_t bodyLength,
                                             bool keepAlive);

/// @brief Formats the interim response `100 Continue`.
[[nodiscard]] std::string FormatContinue();

/// @brief Formats the line before a chunk of @p size bytes.
[[nodiscard]] std::string FormatChunkStart(std::size_t size);

/// @brief Parses the line before a chunk and ignores its extensions.
/// @return the size of the chunk in bytes, or nothing when it is malformed
[[nodiscard]] std::optional<std::int64_t> ParseChunkLength(std::string_view line);

/// Reads a body with its framing from a connection.
class FramedBody final : public BodySource
{
public:
  /// @param idleTimeout maximum wait for the next bytes
  FramedBody(HttpConnection& connection, std::int64_t length, Duration idleTimeout);

  /// @brief Sets a hook that runs before the first read, for instance to send `100 Continue`.
  void OnFirstRead(std::function<void()> hook) { onFirstRead_ = std::move(hook); }

  /// @brief Treats the body as truncated if it is not complete by @p deadline, even while bytes
  /// keep arriving.
  void SetDeadline(TimePoint deadline) { deadline_ = deadline; }

  /// @brief Reads the next bytes. Once a read has failed, all later ones throw BodyTruncated.
  std::size_t Read(char* buffer, std::size_t size) override;

  /// @brief Returns whether the complete body was read, so that the connection can be reused.
  [[nodiscard]] bool IsComplete() const { return isComplete_; }

private:
  std::size_t ReadNext(char* buffer, std::size_t size);
  std::size_t ReadPiece(char* buffer, std::size_t size);
  [[nodiscard]] bool HasWholeChunk() const;
  std::size_t ReadPart(char* buffer, std::size_t size);
  std::size_t ReadUntilClose(char* buffer, std::size_t size);
  void StartChunk();
  void SkipTrailers();
  std::string ReadBodyLine(std::size_t limit);
  [[nodiscard]] TimePoint ReadDeadline() const;

  HttpConnection& connection_;
  std::int64_t remaining_; ///< bytes left of the body or of the current chunk
  bool isChunked_;
  bool isCloseDelimited_;
  bool inChunk_ = false;
  bool isComplete_;
  bool hasFailed_ = false;
  Duration idleTimeout_;
  TimePoint deadline_ = TimePoint::max();
  std::function<void()> onFirstRead_;
};

} // namespace acp::detail
