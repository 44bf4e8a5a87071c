#pragma once

/// @file
/// The body of a request that may have to be sent more than once.

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <string>  // string

#include "acaciapulley/node/refusal.hpp"           // OrRefusal
#include "acaciapulley/transport/http_message.hpp" // BodySource

namespace acp::detail {

/// Bodies up to this size are kept for a retry; larger ones are streamed once.
inline constexpr std::size_t kMaxReplayableBytes = 65'536;

/// Reads the start of a body into memory, so that small requests can be retried.
class RequestBody final : public BodySource
{
public:
  /// @param source body as it arrives from the caller
  /// @param length declared length, or -1 when it is chunked
  /// @param limit most bytes the request class allows
  RequestBody(BodySource& source, std::int64_t length, std::int64_t limit);

  /// @brief Reads up to kMaxReplayableBytes.
  /// @return nothing, or a refusal with 400 for a truncated body or 413 for one over the limit
  OrRefusal<void> Prefetch();

  /// @brief Starts again at the first byte; only while CanReplay().
  void Rewind();

  /// @brief Returns whether the whole body is in memory.
  [[nodiscard]] bool CanReplay() const { return isWhole_; }

  /// @brief Returns whether an attempt has read beyond what is in memory.
  [[nodiscard]] bool IsConsumed() const { return streamed_ > 0; }

  /// @brief Returns the length to declare, or -1 for chunks.
  [[nodiscard]] std::int64_t Length() const;

  /// @brief Returns the part in memory.
  [[nodiscard]] const std::string& Prefix() const { return prefix_; }

  /// @throw BodyTruncated when the caller ends early or sends more than the class allows
  std::size_t Read(char* buffer, std::size_t size) override;

private:
  BodySource& source_;
  std::int64_t length_;
  std::int64_t limit_;
  std::string prefix_;
  std::size_t position_ = 0;
  std::int64_t streamed_ = 0; ///< bytes passed on that were never in memory
  bool isWhole_ = false;
};

} // namespace acp::detail
