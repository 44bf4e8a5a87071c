#include "acaciapulley/transport/detail/http_framing.hpp"

#include <algorithm> // max, min
#include <utility>   // exchange

namespace acp::detail {

namespace {

constexpr std::size_t kMaxChunkLineBytes = 256;
constexpr std::size_t kMaxTrailerBytes = 8'192;

} // namespace

// Bodies are not framed by POCO because it reports a truncated or malformed chunked body as a
// normal end. Its client session also reconnects and resends silently after a write error, which
// would run a non-idempotent request twice, so connections are not handled by POCO either.
FramedBody::FramedBody(HttpConnection& connection, std::int64_t length, Duration idleTimeout)
  : connection_(connection)
  , remaining_(std::max<std::int64_t>(length, 0))
  , isChunked_(length == kChunked)
  , isCloseDelimited_(length == kCloseDelimited)
  , isComplete_(length == 0)
  , idleTimeout_(idleTimeout)
{
}

TimePoint FramedBody::ReadDeadline() const
{
  return std::min(SteadyNow() + idleTimeout_, deadline_);
}

std::string FramedBody::ReadBodyLine(std::size_t limit)
{
  std::string line;
  if (connection_.ReadLine(limit, ReadDeadline(), &line) != IoStatus::Ok) {
    throw BodyTruncated{};
  }
  return line;
}

void FramedBody::SkipTrailers()
{
  std::size_t total = 0;
  while (true) {
    const std::string line = ReadBodyLine(kMaxTrailerBytes);
    total += line.size();
    if (line.empty()) {
      return;
    }
    if (total > kMaxTrailerBytes) {
      throw BodyTruncated{};
    }
  }
}

void FramedBody::StartChunk()
{
  const std::string line = ReadBodyLine(kMaxChunkLineBytes);
  const auto length = ParseChunkLength(line);
  if (!length) {
    throw BodyTruncated{};
  }
  remaining_ = *length;
  inChunk_ = remaining_ > 0;
  if (!inChunk_) {
    SkipTrailers();
    isComplete_ = true;
  }
}

std::size_t FramedBody::ReadPart(char* buffer, std::size_t size)
{
  std::size_t count = 0;
  const std::size_t wanted = std::min(size, static_cast<std::size_t>(remaining_));
  if (connection_.Read(buffer, wanted, ReadDeadline(), &count) != IoStatus::Ok) {
    throw BodyTruncated{};
  }
  remaining_ -= static_cast<std::int64_t>(count);
  return count;
}

/// Reads a body that the end of its connection completes (RFC 9112, section 6.3). A reset does not.
std::size_t FramedBody::ReadUntilClose(char* buffer, std::size_t size)
{
  std::size_t count = 0;
  const IoStatus status = connection_.Read(buffer, size, ReadDeadline(), &count);
  isComplete_ = status == IoStatus::Closed;
  if (status != IoStatus::Ok && !isComplete_) {
    throw BodyTruncated{};
  }
  return count;
}

std::size_t FramedBody::Read(char* buffer, std::size_t size)
{
  if (hasFailed_) {
    throw BodyTruncated{};
  }
  // The position after a failed read is unknown, so no later read may continue from it.
  hasFailed_ = true;
  const std::size_t count = ReadNext(buffer, size);
  hasFailed_ = false;
  return count;
}

std::size_t FramedBody::ReadNext(char* buffer, std::size_t size)
{
  if (isComplete_) {
    return 0;
  }
  if (onFirstRead_) {
    std::exchange(onFirstRead_, nullptr)();
  }
  // Checked here because reads of input that has already arrived ignore the deadline.
  if (SteadyNow() >= deadline_) {
    throw BodyTruncated{};
  }
  if (isCloseDelimited_) {
    return ReadUntilClose(buffer, size);
  }
  std::size_t count = ReadPiece(buffer, size);
  // Each read may cost the caller a packet, so small chunks that have arrived are read together.
  while (count > 0 && count < size && HasWholeChunk()) {
    count += ReadPiece(buffer + count, size - count);
  }
  return count;
}

/// Returns whether the next chunk is valid and has arrived completely, so that reading it neither
/// waits nor fails.
bool FramedBody::HasWholeChunk() const
{
  if (!isChunked_ || inChunk_ || isComplete_) {
    return false;
  }
  const std::string_view input = connection_.Buffered();
  const std::size_t lineEnd = input.substr(0, kMaxChunkLineBytes + 2).find("\r\n");
  if (lineEnd == std::string_view::npos) {
    return false;
  }
  const auto length = ParseChunkLength(input.substr(0, lineEnd));
  const std::size_t left = input.size() - lineEnd - 2;
  if (!length || *length == 0 || left < 2 || static_cast<std::size_t>(*length) > left - 2) {
    return false;
  }
  return input.substr(lineEnd + 2 + static_cast<std::size_t>(*length)).starts_with("\r\n");
}

/// Reads the next bytes of the body or of a single chunk.
std::size_t FramedBody::ReadPiece(char* buffer, std::size_t size)
{
  if (isChunked_ && !inChunk_) {
    StartChunk();
    if (isComplete_) {
      return 0;
    }
  }
  std::size_t count = 0;
  while (count < size && remaining_ > 0) {
    // Only the first part may wait, so that input that has arrived is returned without delay.
    if (count > 0 && !connection_.HasInput()) {
      break;
    }
    count += ReadPart(buffer + count, size - count);
  }
  if (remaining_ == 0 && isChunked_) {
    if (!ReadBodyLine(0).empty()) {
      throw BodyTruncated{};
    }
    inChunk_ = false;
  }
  isComplete_ = remaining_ == 0 && !isChunked_;
  return count;
}

} // namespace acp::detail
