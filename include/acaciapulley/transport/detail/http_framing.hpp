#pragma once

/// @file
/// Reading and writing of HTTP/1.1 heads by POCO Net, strict checks around it, and framing of
/// bodies.
///
/// POCO parses and writes start lines and header fields. What it accepts but two parties could read
/// differently is refused here: conflicting or repeated lengths, repeated keys, folded or malformed
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

/// Largest head of a request or an answer.
inline constexpr std::size_t kMaxHeadBytes = 16'384;

/// Length of a chunked body.
inline constexpr std::int64_t kChunked = -1;

/// Length of an answer's body that ends with the connection, which cannot be told from a loss.
inline constexpr std::int64_t kCloseDelimited = -2;

/// How the rest of a message is to be read.
struct MessageFraming
{
  std::int64_t bodyLength = 0; ///< bytes, kChunked or kCloseDelimited
  bool keepAlive = true;
  bool expectsContinue = false;
};

/// @brief Parses a request's head. POCO's limits hold: at most 100 fields, names of 256 bytes and
/// values of 8192 bytes.
/// @param text the head with the empty line that ends it
/// @return nothing, or what is wrong with it
[[nodiscard]] std::optional<std::string> ParseRequestHead(std::string_view text,
                                                          HttpRequestHead* head,
                                                          MessageFraming* framing);

/// @brief Parses the head of an answer to @p method.
/// @return nothing, or what is wrong with it
[[nodiscard]] std::optional<std::string> ParseResponseHead(std::string_view text,
                                                           std::string_view method,
                                                           HttpResponseHead* head,
                                                           MessageFraming* framing);

/// @brief Returns the bytes of a request's head; the body's length is set from @p bodyLength.
[[nodiscard]] std::string FormatRequestHead(const HttpRequestHead& head,
                                            const std::string& host,
                                            std::int64_t bodyLength);

/// @brief Returns the bytes of an answer's head; the body's length is set from @p bodyLength.
[[nodiscard]] std::string FormatResponseHead(const HttpResponseHead& head,
                                             std::int64_t bodyLength,
                                             bool keepAlive);

/// @brief Returns the bytes of the interim answer `100 Continue`.
[[nodiscard]] std::string FormatContinue();

/// @brief Returns the line before a chunk of @p size bytes.
[[nodiscard]] std::string FormatChunkStart(std::size_t size);

/// A body as framed on a connection.
class FramedBody final : public BodySource
{
public:
  /// @param idleTimeout longest wait for the next bytes
  FramedBody(HttpConnection& connection, std::int64_t length, Duration idleTimeout);

  /// @brief Sets what happens before the first bytes are read, such as sending `100 Continue`.
  void OnFirstRead(std::function<void()> hook) { onFirstRead_ = std::move(hook); }

  /// @brief Ends the body as truncated when it is not whole at @p deadline, however steadily it
  /// arrives.
  void SetDeadline(TimePoint deadline) { deadline_ = deadline; }

  /// @brief Reads the next bytes. Once it has failed, every later read raises BodyTruncated too.
  std::size_t Read(char* buffer, std::size_t size) override;

  /// @brief Returns whether the whole body was read, so that the connection can be used again.
  [[nodiscard]] bool IsComplete() const { return isComplete_; }

private:
  std::size_t ReadNext(char* buffer, std::size_t size);
  std::size_t ReadPart(char* buffer, std::size_t size);
  void StartChunk();
  void SkipTrailers();
  std::string ReadBodyLine(std::size_t limit);
  [[nodiscard]] TimePoint ReadDeadline() const;

  HttpConnection& connection_;
  std::int64_t remaining_; ///< bytes left of the body, or of the chunk
  bool isChunked_;
  bool isCloseDelimited_;
  bool inChunk_ = false;
  bool isComplete_;
  bool hasFailed_ = false; ///< a read has failed
  Duration idleTimeout_;
  TimePoint deadline_ = TimePoint::max();
  std::function<void()> onFirstRead_;
};

} // namespace acp::detail
