#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/transport/address.hpp"

namespace acp::test {

/// Extent of a run: a short one by default. ACP_ENDLESS_SECONDS sets the time of sending for each
/// case, ACP_ENDLESS_CONNECTIONS the number of connections (at most 256), ACP_ENDLESS_CASE the only
/// case to run.
struct EndlessLoad
{
  Duration span = std::chrono::milliseconds(100);
  int connections = 16;

  static EndlessLoad FromEnvironment()
  {
    EndlessLoad load;
    if (const char* seconds = std::getenv("ACP_ENDLESS_SECONDS")) {
      load.span = std::chrono::seconds(std::clamp(std::atoi(seconds), 1, 60));
    }
    if (const char* connections = std::getenv("ACP_ENDLESS_CONNECTIONS")) {
      load.connections = std::clamp(std::atoi(connections), 1, 256);
    }
    return load;
  }

  static bool IsSelected(const std::string& name)
  {
    const char* only = std::getenv("ACP_ENDLESS_CASE");
    return only == nullptr || name == only;
  }

  /// Memory that @p connections may use, in bytes: a task's stack and buffers for each, and the
  /// fragmentation of the heap.
  [[nodiscard]] std::int64_t MaxGrowth() const
  {
    return (std::int64_t{ 24 } << 20) + connections * (std::int64_t{ 512 } << 10);
  }
};

/// Returns the resident memory of the process in bytes.
inline std::int64_t ResidentBytes()
{
  std::ifstream statm("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  statm >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

/// Records the largest growth of resident memory since its construction.
class MemoryPeak
{
public:
  MemoryPeak()
    : start_(ResidentBytes())
    , sampler_([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        peak_ = std::max(peak_.load(), ResidentBytes());
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    })
  {
  }

  [[nodiscard]] std::int64_t Growth() const { return std::max(peak_.load() - start_, { 0 }); }

private:
  std::int64_t start_;
  std::atomic<std::int64_t> peak_ = 0;
  std::jthread sampler_;
};

/// Bytes without end.
struct EndlessBytes
{
  std::string start;
  std::string repeated; ///< sent again and again
};

/// Sends @p bytes until the peer closes or @p stop is requested. Returns the number of bytes sent.
inline std::uint64_t SendEndless(int fd, const EndlessBytes& bytes, const std::stop_token& stop)
{
  constexpr std::size_t kMinBlock = 65'536;
  std::string block = bytes.repeated;
  while (block.size() > 1 && block.size() < kMinBlock) {
    block += bytes.repeated;
  }
  const timeval tick{ .tv_sec = 0, .tv_usec = 50'000 };
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tick, sizeof tick);
  const int noDelay = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
  std::uint64_t sent = 0;
  std::string_view left = bytes.start;
  while (!stop.stop_requested()) {
    if (left.empty()) {
      left = block;
    }
    const auto count = ::send(fd, left.data(), left.size(), MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      break;
    }
    if (count > 0) {
      sent += static_cast<std::uint64_t>(count);
      left.remove_prefix(static_cast<std::size_t>(count));
    }
  }
  return sent;
}

/// Stops all threads at the same time, since each may take a while.
inline void StopAll(std::vector<std::jthread>& threads)
{
  for (auto& thread : threads) {
    thread.request_stop();
  }
  threads.clear();
}

/// A server that responds with bytes without end, on as many connections at a time as it has
/// threads. Requests must not have a body.
class EndlessServer
{
public:
  /// @param completeResponses number of requests on each connection that get a complete response
  EndlessServer(EndlessBytes bytes, int connections, int completeResponses = 0)
    : bytes_(std::move(bytes))
    , completeResponses_(completeResponses)
    , socket_(Poco::Net::SocketAddress("127.0.0.1", 0), 1024)
  {
    // Makes accept() return, so that a thread can end.
    socket_.setReceiveTimeout(Poco::Timespan(0, 50'000));
    for (int i = 0; i < connections; ++i) {
      threads_.emplace_back([this](const std::stop_token& stop) { Serve(stop); });
    }
  }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;
  ~EndlessServer() { StopAll(threads_); }

  [[nodiscard]] Address ListenAddress() const
  {
    return { .ip = "127.0.0.1", .port = socket_.address().port() };
  }
  [[nodiscard]] std::uint64_t SentBytes() const { return sentBytes_; }
  [[nodiscard]] int Requests() const { return requests_; }

private:
  void Serve(const std::stop_token& stop)
  {
    while (!stop.stop_requested()) {
      const int fd = ::accept(socket_.impl()->sockfd(), nullptr, nullptr);
      if (fd >= 0) {
        HandleConnection(fd, stop);
        ::close(fd);
      }
    }
  }

  void HandleConnection(int fd, const std::stop_token& stop)
  {
    for (int i = 0; ReadRequest(fd, stop); ++i) {
      ++requests_;
      if (i >= completeResponses_) {
        sentBytes_ += SendEndless(fd, bytes_, stop);
        return;
      }
      const std::string complete = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      ::send(fd, complete.data(), complete.size(), MSG_NOSIGNAL);
    }
  }

  static bool ReadRequest(int fd, const std::stop_token& stop)
  {
    const timeval tick{ .tv_sec = 0, .tv_usec = 50'000 };
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tick, sizeof tick);
    std::string head;
    std::array<char, 4096> buffer{};
    while (!head.ends_with("\r\n\r\n")) {
      const auto count = ::recv(fd, buffer.data(), buffer.size(), 0);
      const bool isWaiting = count < 0 && (errno == EAGAIN || errno == EINTR);
      if (stop.stop_requested() || (count <= 0 && !isWaiting)) {
        return false;
      }
      head.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    return true;
  }

  EndlessBytes bytes_;
  int completeResponses_;
  std::atomic<std::uint64_t> sentBytes_ = 0;
  std::atomic<int> requests_ = 0;
  Poco::Net::ServerSocket socket_;
  std::vector<std::jthread> threads_;
};

} // namespace acp::test
