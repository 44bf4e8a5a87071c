#pragma once

/// @file
/// HTTP connections to upstreams, peers and control, kept in pools.

#include <cstdint>    // int64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"                // Duration
#include "acaciapulley/transport/address.hpp"         // Address
#include "acaciapulley/transport/http_message.hpp"    // BodySource, HttpRequestHead
#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp {

/// An answer whose body is still being read. Destroying it before the body's end closes the
/// connection.
class ClientExchange
{
public:
  ClientExchange() = default;
  ClientExchange(const ClientExchange&) = delete;
  ClientExchange& operator=(const ClientExchange&) = delete;
  virtual ~ClientExchange() = default;

  /// @brief Returns the head of the answer.
  [[nodiscard]] virtual const HttpResponseHead& Response() const = 0;

  /// @brief Returns the declared length of the body, or -1 when it is chunked.
  [[nodiscard]] virtual std::int64_t BodyLength() const = 0;

  /// @brief Returns the body.
  virtual BodySource& Body() = 0;
};

/// Construction options of an HttpPool.
struct HttpPoolOptions
{
  Address address;
  int maxConnections = 64; ///< more calls at once fail with Unreachable
  Duration connectTimeout = std::chrono::seconds(1);
  Duration maxIdle = std::chrono::seconds(5); ///< idle connections older than this are closed
};

/// Connections to one address; the most recently used one is taken first.
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions options);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;
  ~HttpPool();

  /// @brief Sends a request and waits for the head of its answer.
  /// @param body body of the request
  /// @param bodyLength its length, or -1 to send it chunked
  /// @param timeout longest silence while sending or waiting
  /// @return the answer; Unreachable means that nothing was sent, every other error that the
  /// request may have arrived
  /// @par Example
  /// @code
  /// acp::StringBody empty("");
  /// auto answer = pool.Send({ .method = "GET", .target = "/" }, empty, 0, timeout);
  /// @endcode
  TransportResult<std::unique_ptr<ClientExchange>> Send(const HttpRequestHead& head,
                                                        BodySource& body,
                                                        std::int64_t bodyLength,
                                                        Duration timeout);

private:
  class Connection;
  class Exchange;

  std::unique_ptr<Connection> TakeIdle();
  TransportResult<std::unique_ptr<Connection>> Open();
  void GiveBack(std::unique_ptr<Connection> connection);
  void Forget();

  HttpPoolOptions options_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_;
  int open_ = 0;
};

} // namespace acp
