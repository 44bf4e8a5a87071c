#include "acaciapulley/transport/detail/http_connection.hpp"

#include <algorithm> // min
#include <array>     // array
#include <cerrno>    // errno
#include <cstring>   // memcpy
#include <utility>   // exchange

#include <Poco/Net/StreamSocket.h>
#include <linux/sockios.h> // SIOCOUTQ
#include <netinet/in.h>    // IPPROTO_TCP
#include <netinet/tcp.h>   // TCP_KEEPIDLE, TCP_USER_TIMEOUT
#include <poll.h>          // poll
#include <sys/ioctl.h>     // ioctl
#include <sys/socket.h>    // recv, sendmsg, setsockopt

#include "acaciapulley/core/event_loop.hpp" // WaitUntilReady

namespace acp::detail {

namespace {

constexpr std::size_t kReadBytes = 16'384;
// Limit on the age of unacknowledged data. While the peer's window is smaller than a segment, the
// kernel also counts the time of a peer that reads slowly, so that accepted connections have the
// deadlines of their writes instead. Heartbeats detect silent connections sooner.
constexpr int kUserTimeoutMs = 5'000;
// Bytes that the kernel accepts beyond those in flight. A larger send buffer would become writable
// again only after seconds of slow reading, and its bytes would count as read by the caller.
constexpr int kMaxUnsentBytes = 131'072;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
// Writes without a wait, after which a task lets others run.
constexpr int kMaxWritesPerTurn = 16;
constexpr Duration kMaxRound = std::chrono::minutes(1);

void SetOption(int fd, int level, int name, int value)
{
  // The result is not checked: without an option only failure detection is weaker.
  ::setsockopt(fd, level, name, &value, sizeof value);
}

bool IsRetryable(int error)
{
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/// Suspends the calling task, if any, for one round of its event loop.
void LetOtherTasksRun()
{
  if (EventLoop* loop = EventLoop::Current()) {
    const auto id = loop->NewWaitId();
    loop->Wake(id);
    loop->Wait(id, SteadyNow() + kMaxRound);
  }
}

} // namespace

TimePoint SteadyNow()
{
  return std::chrono::steady_clock::now();
}

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& socket, ConnectionEnd end)
  : socket_(std::make_shared<Poco::Net::StreamSocket>(socket))
  , fd_(socket.impl()->sockfd())
  , createdAt_(SteadyNow())
  , lastReceive_(createdAt_)
{
  SetOption(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
  if (end == ConnectionEnd::Opened) {
    SetOption(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  } else {
    SetOption(fd_, IPPROTO_TCP, TCP_NOTSENT_LOWAT, kMaxUnsentBytes);
  }
  SetOption(fd_, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd_, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd_, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd_, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

IoStatus HttpConnection::WaitFor(short events, TimePoint deadline)
{
  writesSinceWait_ = 0;
  const WaitResult result = WaitUntilReady(fd_, events, deadline);
  return result == WaitResult::Ready ? IoStatus::Ok : IoStatus::TimedOut;
}

IoStatus HttpConnection::Fill(TimePoint deadline)
{
  buffer_.erase(0, position_);
  position_ = 0;
  while (true) {
    if (!std::exchange(isReadable_, false)) {
      // Input may have arrived while the loop was busy past the deadline.
      const bool hasTimedOut = WaitFor(POLLIN, deadline) != IoStatus::Ok;
      if (hasTimedOut && !IsReadable()) {
        return IoStatus::TimedOut;
      }
    }
    std::array<char, kReadBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = ::recv(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      lastReceive_ = SteadyNow();
      buffer_.append(bytes.data(), static_cast<std::size_t>(count));
      return IoStatus::Ok;
    }
    if (count == 0) {
      return isShutDown_ || hasFailed_ ? IoStatus::Failed : IoStatus::Closed;
    }
    if (!IsRetryable(errno)) {
      hasFailed_ = true;
      return IoStatus::Failed;
    }
  }
}

bool HttpConnection::ReadAvailable()
{
  const IoStatus status = Fill(SteadyNow());
  return status == IoStatus::Ok || status == IoStatus::TimedOut;
}

std::string_view HttpConnection::BufferedHead() const
{
  const std::size_t end = Buffered().find("\r\n\r\n");
  return end == std::string_view::npos ? std::string_view() : Buffered().substr(0, end + 4);
}

IoStatus HttpConnection::ReadHead(std::size_t limit, TimePoint deadline, std::string* head)
{
  std::size_t scanned = 0;
  while (true) {
    const std::string_view unread = std::string_view(buffer_).substr(position_);
    const std::size_t end = unread.find("\r\n\r\n", scanned < 3 ? 0 : scanned - 3);
    if (end != std::string_view::npos && end + 4 <= limit) {
      head->assign(unread.substr(0, end + 4));
      position_ += end + 4;
      return IoStatus::Ok;
    }
    if (end != std::string_view::npos || unread.size() > limit) {
      return IoStatus::TooLarge;
    }
    scanned = unread.size();
    const IoStatus filled = Fill(deadline);
    if (filled != IoStatus::Ok) {
      return filled;
    }
  }
}

IoStatus HttpConnection::ReadLine(std::size_t limit, TimePoint deadline, std::string* line)
{
  while (true) {
    const std::string_view unread = std::string_view(buffer_).substr(position_);
    const std::size_t end = unread.find("\r\n");
    if (end != std::string_view::npos && end <= limit) {
      line->assign(unread.substr(0, end));
      position_ += end + 2;
      return IoStatus::Ok;
    }
    if (unread.size() > limit + 1) {
      return IoStatus::TooLarge;
    }
    const IoStatus filled = Fill(deadline);
    if (filled != IoStatus::Ok) {
      return filled;
    }
  }
}

IoStatus HttpConnection::Read(char* buffer,
                              std::size_t size,
                              TimePoint deadline,
                              std::size_t* count)
{
  if (position_ == buffer_.size()) {
    const IoStatus filled = Fill(deadline);
    if (filled != IoStatus::Ok) {
      return filled;
    }
  }
  *count = std::min(size, buffer_.size() - position_);
  std::memcpy(buffer, buffer_.data() + position_, *count);
  position_ += *count;
  return IoStatus::Ok;
}

IoStatus HttpConnection::Write(std::string_view first, std::string_view second, TimePoint deadline)
{
  // A task that always finds input and room for output must still let others run.
  if (++writesSinceWait_ > kMaxWritesPerTurn) {
    writesSinceWait_ = 0;
    LetOtherTasksRun();
  }
  while (!first.empty() || !second.empty()) {
    std::array<iovec, 2> parts = { iovec{ const_cast<char*>(first.data()), first.size() },
                                   iovec{ const_cast<char*>(second.data()), second.size() } };
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const auto count = ::sendmsg(fd_, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && !IsRetryable(errno)) {
      hasFailed_ = true;
      return IoStatus::Failed;
    }
    if (count < 0) {
      const IoStatus waited = WaitFor(POLLOUT, deadline);
      if (waited != IoStatus::Ok) {
        return waited;
      }
      continue;
    }
    auto written = static_cast<std::size_t>(count);
    sentBytes_ += written;
    const std::size_t ofFirst = std::min(written, first.size());
    first.remove_prefix(ofFirst);
    second.remove_prefix(written - ofFirst);
  }
  return IoStatus::Ok;
}

void HttpConnection::ReleaseBuffer()
{
  if (!HasBuffered()) {
    buffer_ = {};
    position_ = 0;
  }
}

bool HttpConnection::IsPeerGone() const
{
  pollfd entry{ .fd = fd_, .events = POLLRDHUP, .revents = 0 };
  return ::poll(&entry, 1, 0) > 0;
}

bool HttpConnection::IsReadable() const
{
  pollfd entry{ .fd = fd_, .events = POLLIN | POLLRDHUP, .revents = 0 };
  return ::poll(&entry, 1, 0) != 0;
}

bool HttpConnection::HasInput() const
{
  return HasBuffered() || IsReadable();
}

bool HttpConnection::HasUnsentOutput() const
{
  int bytes = 0;
  return ::ioctl(fd_, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void HttpConnection::Shutdown()
{
  isShutDown_ = true;
  ::shutdown(fd_, SHUT_RDWR);
}

} // namespace acp::detail
