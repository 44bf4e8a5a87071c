#pragma once

/// @file
/// The body of a request that may have to be sent more than once.

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <string>  // string

#include "acaciapulley/node/refusal.hpp"           // OrRefusal
#include "acaciapulley/transport/http_message.hpp" // BodySource

namespace acp::detail {

/// Bodies up to this size are buffered for retries; larger ones are streamed once.
inline constexpr std::size_t kMaxReplayableBytes = 65'536;

/// Buffers the start of a body, so that requests with a small body can be retried.
class RequestBody final : public BodySource
{
public:
  /// @param source body as it arrives from the caller
  /// @param length declared length, or -1 when it is chunked
  /// @param limit maximum body size of the request class in bytes
  RequestBody(BodySource& source, std::int64_t length, std::int64_t limit);

  /// @brief Reads up to kMaxReplayableBytes.
  /// @return nothing, or a refusal with 400 for a truncated body or 413 for one over the limit
  OrRefusal<void> Prefetch();

  /// @brief Restarts reading at the first byte. Requires CanReplay().
  void Rewind();

  /// @brief Returns whether the whole body is buffered.
  [[nodiscard]] bool CanReplay() const { return isWhole_; }

  /// @brief Returns whether an attempt has read beyond the buffered part.
  [[nodiscard]] bool IsConsumed() const { return streamed_ > 0; }

  /// @brief Returns the length to declare, or -1 for a chunked body.
  [[nodiscard]] std::int64_t Length() const;

  /// @brief Returns the buffered part.
  [[nodiscard]] const std::string& Prefix() const { return prefix_; }

  /// @throw BodyTruncated when the caller's body ends early or is larger than the class allows
  std::size_t Read(char* buffer, std::size_t size) override;

private:
  BodySource& source_;
  std::int64_t length_;
  std::int64_t limit_;
  std::string prefix_;
  std::size_t position_ = 0;
  std::int64_t streamed_ = 0; ///< bytes passed on without being buffered
  bool isWhole_ = false;
};

} // namespace acp::detail
