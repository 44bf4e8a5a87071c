#include "acaciapulley/node/detail/request_body.hpp"

#include <algorithm> // min
#include <cstring>   // memcpy

namespace acp::detail {

RequestBody::RequestBody(BodySource& source, std::int64_t length, std::int64_t limit)
  : source_(source)
  , length_(length)
  , limit_(limit)
{
}

OrRefusal<void> RequestBody::Prefetch()
{
  if (length_ == 0) {
    isWhole_ = true;
    return boost::outcome_v2::success();
  }
  std::string buffer(kMaxReplayableBytes, '\0');
  try {
    while (prefix_.size() < kMaxReplayableBytes) {
      const std::size_t room = kMaxReplayableBytes - prefix_.size();
      const std::size_t count = source_.Read(buffer.data(), room);
      if (count == 0) {
        isWhole_ = true;
        break;
      }
      prefix_.append(buffer, 0, count);
    }
  } catch (const BodyTruncated&) {
    return NotRunRefusal(400, Reason::BadRequest, "the request body ended early");
  }
  if (static_cast<std::int64_t>(prefix_.size()) > limit_) {
    return NotRunRefusal(413, Reason::TooLarge, "the request body is larger than the class allows");
  }
  return boost::outcome_v2::success();
}

void RequestBody::Rewind()
{
  position_ = 0;
}

std::int64_t RequestBody::Length() const
{
  return isWhole_ ? static_cast<std::int64_t>(prefix_.size()) : length_;
}

std::size_t RequestBody::Read(char* buffer, std::size_t size)
{
  if (position_ < prefix_.size()) {
    const std::size_t count = std::min(size, prefix_.size() - position_);
    std::memcpy(buffer, prefix_.data() + position_, count);
    position_ += count;
    return count;
  }
  if (isWhole_) {
    return 0;
  }
  const std::size_t count = source_.Read(buffer, size);
  streamed_ += static_cast<std::int64_t>(count);
  if (static_cast<std::int64_t>(prefix_.size()) + streamed_ > limit_) {
    throw BodyTruncated{};
  }
  return count;
}

} // namespace acp::detail
