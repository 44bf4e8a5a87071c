#pragma once

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "acaciapulley/transport/address.hpp"

namespace acp::test {

/// How the server ends a connection.
enum class ConnectionEnd
{
  Close, ///< FIN
  Reset, ///< RST
};

/// The bytes of a response and their meaning.
struct RawResponse
{
  std::string name;
  std::string bytes;
  std::string body;        ///< the decoded body
  bool isDelimited = true; ///< false: the body ends with the connection

  /// Returns whether the first @p size bytes and then @p end are a complete response themselves.
  [[nodiscard]] bool IsCompleteAt(std::size_t size, ConnectionEnd end) const
  {
    return !isDelimited && end == ConnectionEnd::Close && size >= bytes.find("\r\n\r\n") + 4;
  }

  /// Returns the body of a response without length of which the first @p size bytes arrive.
  [[nodiscard]] std::string BodyAt(std::size_t size) const
  {
    return body.substr(0, body.size() - (bytes.size() - size));
  }
};

inline std::vector<RawResponse> WellFormedResponses()
{
  const std::string type = "Content-Type: text/plain\r\n";
  const std::string fixed = "HTTP/1.1 200 OK\r\n" + type + "Content-Length: 12\r\n\r\nhello, world";
  return {
    { .name = "fixed length", .bytes = fixed, .body = "hello, world" },
    { .name = "chunked",
      .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + type +
               "\r\n10\r\nhello, world, 16\r\n2;a=b\r\n!\n\r\n0\r\nX-Sum: 18\r\n\r\n",
      .body = "hello, world, 16!\n" },
    { .name = "after an interim answer",
      .bytes = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" + fixed,
      .body = "hello, world" },
    { .name = "empty", .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", .body = "" },
    { .name = "without length",
      .bytes = "HTTP/1.1 200 OK\r\n" + type + "\r\nhello, world",
      .body = "hello, world",
      .isDelimited = false },
    { .name = "HTTP/1.0",
      .bytes = "HTTP/1.0 200 OK\r\n" + type + "\r\nhello, world",
      .body = "hello, world",
      .isDelimited = false },
  };
}

/// A server that responds to each request with given bytes and ends the connection. Requests must
/// not have a body.
class TruncatingServer
{
public:
  TruncatingServer()
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this](const std::stop_token& stop) { Serve(stop); })
  {
  }

  [[nodiscard]] Address ListenAddress() const
  {
    return { .ip = "127.0.0.1", .port = socket_.address().port() };
  }

  void SetResponse(std::string bytes, ConnectionEnd end)
  {
    const std::lock_guard lock(mutex_);
    bytes_ = std::move(bytes);
    end_ = end;
  }

  /// Returns the number of requests whose head contains @p text.
  [[nodiscard]] int CountRequests(const std::string& text) const
  {
    const std::lock_guard lock(mutex_);
    int received = 0;
    for (const auto& head : heads_) {
      received += head.find(text) != std::string::npos ? 1 : 0;
    }
    return received;
  }

  /// Stops the server once the current connection has been served.
  void Stop()
  {
    thread_.request_stop();
    thread_.join();
  }

  /// Returns whether a client closed its connection before all bytes were sent.
  [[nodiscard]] bool HasClientClosedEarly() const { return hasClientClosedEarly_; }

private:
  void Serve(const std::stop_token& stop)
  {
    const Poco::Timespan tick(0, 10'000);
    while (!stop.stop_requested()) {
      if (socket_.poll(tick, Poco::Net::Socket::SELECT_READ)) {
        HandleConnection(socket_.acceptConnection());
      }
    }
  }

  void HandleConnection(Poco::Net::StreamSocket connection)
  {
    try {
      std::string head;
      std::array<char, 4096> buffer{};
      while (!head.ends_with("\r\n\r\n")) {
        const int count = connection.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count <= 0) {
          return;
        }
        head.append(buffer.data(), static_cast<std::size_t>(count));
      }
      const std::lock_guard lock(mutex_);
      heads_.push_back(head);
      if (!bytes_.empty()) {
        connection.sendBytes(bytes_.data(), static_cast<int>(bytes_.size()));
      }
      if (end_ == ConnectionEnd::Reset) {
        connection.setLinger(true, 0);
      }
      connection.close();
    } catch (const Poco::Exception&) {
      hasClientClosedEarly_ = true;
    }
  }

  mutable std::mutex mutex_;
  std::string bytes_;
  ConnectionEnd end_ = ConnectionEnd::Close;
  std::vector<std::string> heads_;
  std::atomic<bool> hasClientClosedEarly_ = false;
  Poco::Net::ServerSocket socket_;
  std::jthread thread_;
};

} // namespace acp::test
