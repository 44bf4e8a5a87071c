#pragma once

/// @file
/// One TCP connection that carries HTTP/1.1: buffered reads and writes with deadlines.

#include <atomic>      // atomic
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // shared_ptr
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/core/clock.hpp" // TimePoint

namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace acp::detail {

/// Result of one read or write.
enum class IoStatus
{
  Ok,
  Closed,   ///< the peer closed its side
  TimedOut, ///< the deadline passed
  Failed,   ///< the connection broke or was shut down by this side
  TooLarge, ///< the head is larger than allowed
};

/// @brief Returns the current monotonic time.
[[nodiscard]] TimePoint SteadyNow();

/// Which end of a connection a socket is.
enum class ConnectionEnd
{
  Opened,   ///< this process has opened the connection
  Accepted, ///< a caller, which may read responses slowly
};

/// Buffered I/O with deadlines on one socket. Not thread-safe, except for Shutdown() and
/// LastReceive().
class HttpConnection
{
public:
  /// Sets TCP_NODELAY and keep-alive options on the socket; on an opened one also TCP_USER_TIMEOUT,
  /// on an accepted one TCP_NOTSENT_LOWAT.
  HttpConnection(const Poco::Net::StreamSocket& socket, ConnectionEnd end);

  /// @brief Reads up to and including the empty line at the end of a head.
  /// @param limit maximum size of the head in bytes
  IoStatus ReadHead(std::size_t limit, TimePoint deadline, std::string* head);

  /// @brief Reads one line and strips its CRLF; TooLarge if it is longer than @p limit.
  IoStatus ReadLine(std::size_t limit, TimePoint deadline, std::string* line);

  /// @brief Reads at least one byte and at most @p size.
  IoStatus Read(char* buffer, std::size_t size, TimePoint deadline, std::size_t* count);

  /// @brief Writes both parts, in one packet where they fit.
  IoStatus Write(std::string_view first, std::string_view second, TimePoint deadline);

  /// @brief Records that a wait elsewhere has found input, so that the next read does not wait.
  void MarkReadable() { isReadable_ = true; }

  /// @brief Returns whether the buffer contains input that has not been consumed.
  [[nodiscard]] bool HasBuffered() const { return position_ < buffer_.size(); }

  /// @brief Returns that input; valid until the next read.
  [[nodiscard]] std::string_view Buffered() const
  {
    return std::string_view(buffer_).substr(position_);
  }

  /// @brief Reads what has arrived without waiting.
  /// @return false when the peer has closed or the connection has failed
  bool ReadAvailable();

  /// @brief Returns the complete head at the start of the buffer without consuming it; empty when
  /// there is none. Valid until the next read.
  [[nodiscard]] std::string_view BufferedHead() const;

  /// @brief Consumes the first @p count bytes of the buffer.
  void Consume(std::size_t count) { position_ += count; }

  /// @brief Frees the buffer if all of its input has been consumed.
  void ReleaseBuffer();

  /// @brief Returns whether the peer closed or broke the connection; never blocks.
  [[nodiscard]] bool IsPeerGone() const;

  /// @brief Returns whether there is anything to read, including a close by the peer.
  [[nodiscard]] bool HasInput() const;

  /// @brief Returns whether the peer has not acknowledged all output; false where that is unknown.
  [[nodiscard]] bool HasUnsentOutput() const;

  /// @brief Shuts down both directions at once and unblocks a thread that waits on the connection.
  void Shutdown();

  /// @brief Returns the number of bytes that the kernel has accepted for sending.
  [[nodiscard]] std::uint64_t SentBytes() const { return sentBytes_; }

  /// @brief Returns when the last bytes arrived, initially the time of construction. May be called
  /// from any thread.
  [[nodiscard]] TimePoint LastReceive() const { return lastReceive_.load(); }

  [[nodiscard]] TimePoint CreatedAt() const { return createdAt_; }
  [[nodiscard]] int Descriptor() const { return fd_; }

private:
  IoStatus Fill(TimePoint deadline);
  [[nodiscard]] bool IsReadable() const;
  IoStatus WaitFor(short events, TimePoint deadline);

  std::shared_ptr<Poco::Net::StreamSocket> socket_; ///< owns the descriptor
  int fd_;
  std::string buffer_;
  std::size_t position_ = 0; ///< first byte of buffer_ not yet consumed
  bool isReadable_ = false;  ///< see MarkReadable()
  std::uint64_t sentBytes_ = 0;
  int writesSinceWait_ = 0;
  TimePoint createdAt_;
  std::atomic<TimePoint> lastReceive_;
  std::atomic<bool> isShutDown_{ false }; ///< reads report Failed instead of Closed
  /// A read or write has failed. The kernel reports an error once, then the end of the input.
  bool hasFailed_ = false;
};

} // namespace acp::detail
