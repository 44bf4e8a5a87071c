#pragma once

/// @file
/// HTTP listener: a thread for each connection, keep-alive, graceful stop.

#include <cstdint>    // uint16_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string

#include "acaciapulley/core/clock.hpp"             // Duration
#include "acaciapulley/transport/address.hpp"      // Address
#include "acaciapulley/transport/http_message.hpp" // BodySource, HttpRequestHead, HttpResponseHead

namespace acp {

/// One request that is being served. Send exactly one answer.
class ServerExchange
{
public:
  ServerExchange() = default;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;
  virtual ~ServerExchange() = default;

  /// @brief Returns the head of the request.
  [[nodiscard]] virtual const HttpRequestHead& Request() const = 0;

  /// @brief Returns the declared length of the request's body, or -1 when it is chunked.
  [[nodiscard]] virtual std::int64_t RequestBodyLength() const = 0;

  /// @brief Returns the body of the request.
  virtual BodySource& RequestBody() = 0;

  /// @brief Sends a whole answer held in memory.
  virtual void Respond(const HttpResponseHead& head, const std::string& body) = 0;

  /// @brief Streams an answer. A body that turns out truncated aborts the connection, so that the
  /// caller's framing shows it.
  /// @param length length of the body, or -1 to send it chunked
  /// @param beforeLastBytes called after the body was read whole and before its last bytes are sent
  /// @return whether the caller was sent the whole answer
  virtual bool RespondStreaming(const HttpResponseHead& head,
                                std::int64_t length,
                                BodySource& body,
                                const std::function<void()>& beforeLastBytes) = 0;
};

/// Construction options of an HttpServer.
struct HttpServerOptions
{
  Address address;                                       ///< port 0 picks a free port
  int maxConnections = 256;                              ///< threads; more connections wait
  std::function<void(ServerExchange& exchange)> handler; ///< called on the connection's thread
};

/// A listener. Stop() lets requests in progress end, then closes.
///
/// @par Example
/// @code
/// acp::HttpServer server({ .address = address, .handler = [](acp::ServerExchange& exchange) {
///   exchange.Respond({ .status = 200 }, "ok\n");
/// } });
/// @endcode
class HttpServer
{
public:
  /// @throw std::runtime_error when the address cannot be bound
  explicit HttpServer(HttpServerOptions options);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// @brief Returns the bound port.
  [[nodiscard]] std::uint16_t Port() const;

  /// @brief Stops accepting, waits up to @p patience for requests in progress, then closes.
  void Stop(Duration patience);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
