#pragma once

/// @file
/// Faulty Thrift peers for tests: raw sockets, hand-written frames, and the memory of this process.

#include <atomic>     // atomic
#include <chrono>     // steady_clock
#include <cstdint>    // uint32_t, uint64_t
#include <fstream>    // ifstream
#include <functional> // function
#include <mutex>      // mutex
#include <stdexcept>  // runtime_error
#include <string>     // string
#include <thread>     // thread
#include <utility>    // exchange, move
#include <vector>     // vector

#include <arpa/inet.h>  // inet_pton, htons
#include <netinet/in.h> // sockaddr_in
#include <poll.h>       // poll
#include <sys/socket.h> // socket, send, recv
#include <unistd.h>     // close, sysconf

#include "acaciapulley/transport/address.hpp" // Address

namespace acp::test {

inline constexpr std::size_t kMebibyte = std::size_t{ 1 } << 20U;

/// Returns the resident memory of this process in bytes.
inline std::size_t ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Measures the highest resident memory above that at the start, with a thread of its own.
class PeakMemory
{
public:
  PeakMemory()
    : start_(ResidentBytes())
    , thread_([this] { Run(); })
  {
  }
  ~PeakMemory()
  {
    stopping_ = true;
    thread_.join();
  }
  PeakMemory(const PeakMemory&) = delete;
  PeakMemory& operator=(const PeakMemory&) = delete;

  /// Returns the highest growth so far in MiB.
  [[nodiscard]] std::size_t GrowthMebibytes() const
  {
    const std::size_t peak = std::max(peak_.load(), ResidentBytes());
    return peak > start_ ? (peak - start_) / kMebibyte : 0;
  }

private:
  void Run()
  {
    while (!stopping_) {
      peak_ = std::max(peak_.load(), ResidentBytes());
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  std::size_t start_;
  std::atomic<std::size_t> peak_{ 0 };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

/// A connected socket that is closed at the end. Calls return false once the other side closed.
class RawConnection
{
public:
  explicit RawConnection(int socket)
    : socket_(socket)
  {
  }
  explicit RawConnection(const Address& address)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
      throw std::runtime_error("no connection to " + address.ToString());
    }
  }
  RawConnection(RawConnection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1))
  {
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  RawConnection& operator=(RawConnection&&) = delete;
  ~RawConnection()
  {
    if (socket_ >= 0) {
      close(socket_);
    }
  }

  bool Send(const std::string& bytes)
  {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Sends @p block again and again until the other side closes, @p limit bytes were sent or
  /// @p isStopping returns true.
  void SendRepeatedly(const std::string& block,
                      std::uint64_t limit,
                      const std::function<bool()>& isStopping)
  {
    for (std::uint64_t sent = 0; sent < limit && !isStopping(); sent += block.size()) {
      if (!Send(block)) {
        return;
      }
    }
  }

  /// Returns whether the other side closes within @p limit; discards what it sends.
  bool IsClosedWithin(std::chrono::milliseconds limit)
  {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string buffer(4096, '\0');
    while (std::chrono::steady_clock::now() < end) {
      if (WaitReadable(std::chrono::milliseconds(20)) &&
          recv(socket_, buffer.data(), buffer.size(), 0) <= 0) {
        return true;
      }
    }
    return false;
  }

  /// Returns whether bytes or the end arrive within @p limit.
  bool WaitReadable(std::chrono::milliseconds limit)
  {
    pollfd waited{ .fd = socket_, .events = POLLIN, .revents = 0 };
    return poll(&waited, 1, static_cast<int>(limit.count())) > 0;
  }

  /// Reads one frame; returns whether it was complete.
  bool ReceiveFrame()
  {
    std::string size(4, '\0');
    if (!Receive(&size)) {
      return false;
    }
    std::uint32_t length = 0;
    for (const char byte : size) {
      length = (length << 8U) | static_cast<std::uint8_t>(byte);
    }
    std::string frame(length, '\0');
    return Receive(&frame);
  }

private:
  bool Receive(std::string* bytes)
  {
    std::size_t received = 0;
    while (received < bytes->size()) {
      const ssize_t count = recv(socket_, bytes->data() + received, bytes->size() - received, 0);
      if (count <= 0) {
        return false;
      }
      received += static_cast<std::size_t>(count);
    }
    return true;
  }

  int socket_;
};

/// A host that reads one frame of each connection and then runs a function on the connection.
class RawThriftServer
{
public:
  using Script = std::function<void(RawConnection&, const std::atomic<bool>& isStopping)>;

  explicit RawThriftServer(Script script)
    : script_(std::move(script))
    , listener_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        listen(listener_, SOMAXCONN) != 0 ||
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw std::runtime_error("cannot listen on 127.0.0.1");
    }
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~RawThriftServer()
  {
    stopping_ = true;
    acceptor_.join();
    for (auto& thread : connections_) {
      thread.join();
    }
    close(listener_);
  }
  RawThriftServer(const RawThriftServer&) = delete;
  RawThriftServer& operator=(const RawThriftServer&) = delete;

  [[nodiscard]] Address ListenAddress() const { return { .ip = "127.0.0.1", .port = port_ }; }

private:
  void Accept()
  {
    pollfd waited{ .fd = listener_, .events = POLLIN, .revents = 0 };
    while (!stopping_) {
      if (poll(&waited, 1, 10) > 0) {
        connections_.emplace_back([this, socket = accept(listener_, nullptr, nullptr)] {
          RawConnection connection(socket);
          if (connection.ReceiveFrame()) {
            script_(connection, stopping_);
          }
        });
      }
    }
  }

  Script script_;
  int listener_;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{ false };
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

/// Returns a 32-bit length in network byte order.
inline std::string FrameLength(std::uint32_t length)
{
  return { static_cast<char>(length >> 24U),
           static_cast<char>((length >> 16U) & 0xffU),
           static_cast<char>((length >> 8U) & 0xffU),
           static_cast<char>(length & 0xffU) };
}

inline std::string Frame(const std::string& content)
{
  return FrameLength(static_cast<std::uint32_t>(content.size())) + content;
}

/// Returns a number as in the compact protocol.
inline std::string Varint(std::uint64_t value)
{
  std::string bytes;
  while (value >= 0x80U) {
    bytes += static_cast<char>((value & 0x7fU) | 0x80U);
    value >>= 7U;
  }
  return bytes + static_cast<char>(value);
}

enum class MessageType : std::uint8_t
{
  Call = 1,
  Reply = 2,
};

/// Returns the start of a message of the compact protocol, up to its struct.
inline std::string MessageStart(MessageType type, const std::string& method)
{
  const auto typeAndVersion = (static_cast<unsigned>(type) << 5U) | 1U;
  return "\x82" + std::string(1, static_cast<char>(typeAndVersion)) + Varint(0) +
         Varint(method.size()) + method;
}

/// The start of a field, with its type in the lower and the step to its id in the upper half.
inline std::string FieldStart(unsigned step, unsigned type)
{
  return { static_cast<char>((step << 4U) | type) };
}

inline constexpr unsigned kBinaryType = 8;
inline constexpr unsigned kListType = 9;
inline constexpr unsigned kMapType = 11;
inline constexpr unsigned kStructType = 12;

/// Returns the start of a list of @p count elements.
inline std::string ListStart(unsigned elementType, std::uint64_t count)
{
  return FieldStart(15, elementType) + Varint(count);
}

/// Returns the start of a reply to Sync, within its SyncReply.
inline std::string SyncReplyStart()
{
  // The result has the id 0, which has no short form.
  return MessageStart(MessageType::Reply, "Sync") + FieldStart(0, kStructType) + Varint(0);
}

} // namespace acp::test
