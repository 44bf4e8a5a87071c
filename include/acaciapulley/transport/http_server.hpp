#pragma once

/// @file
/// HTTP listener: connections on event loops, keep-alive, graceful stop.

#include <chrono>      // seconds
#include <cstdint>     // int64_t, uint16_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <stop_token>  // stop_token
#include <string>      // string
#include <string_view> // string_view

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

  /// @brief Streams an answer. A body that turns out truncated, or not of the declared length,
  /// aborts the connection, so that the caller's framing shows it.
  /// @param length length of the body, or -1 to send it chunked
  /// @param beforeLastBytes called after the body was read whole and before its last bytes are sent
  /// @return whether the caller was sent the whole answer
  virtual bool RespondStreaming(const HttpResponseHead& head,
                                std::int64_t length,
                                BodySource& body,
                                const std::function<void()>& beforeLastBytes) = 0;

  /// @brief Returns whether the caller closed or broke its connection; never blocks, so that it can
  /// be polled to cancel work. A caller that only ended its own sending side counts as gone.
  [[nodiscard]] virtual bool IsCallerGone() const { return false; }

  /// @brief Returns a token that is stopped soon after IsCallerGone() would become true.
  [[nodiscard]] virtual std::stop_token CallerGone() const { return {}; }

  /// @brief Returns whether this is the first request on its connection.
  [[nodiscard]] virtual bool IsFirstOnConnection() const { return false; }
};

/// A request that was answered, for metrics and logs.
struct ServedRequest
{
  int status = 0;           ///< 0 when the handler gave no answer
  std::string_view outcome; ///< value of `Acp-Outcome`, or empty
  std::string_view reason;  ///< value of `Acp-Reason`, or empty
  Duration duration{};      ///< from the end of the request's head to the end of the answer
};

/// Construction options of an HttpServer.
struct HttpServerOptions
{
  Address address;          ///< port 0 picks a free port
  int maxConnections = 256; ///< a connection over it gets 503 not-run and is closed
  std::function<void(ServerExchange& exchange)> handler; ///< called for each request
  /// The handler waits only as a task of an EventLoop may (HttpPool, WaitPoint, RunBlocking) and is
  /// called in one. False: each request in progress has a thread.
  bool runsInTasks = false;
  Duration idleTimeout = std::chrono::seconds(15);     ///< longer than HttpPoolOptions::idleTimeout
  Duration headTimeout = std::chrono::seconds(10);     ///< from a head's first byte to its last
  Duration bodyIdleTimeout = std::chrono::seconds(30); ///< longest wait for a body's next bytes
  /// A caller that has kept the server waiting for this long, and for longer than its answer takes
  /// at 64 KiB/s, is disconnected, so that a slow reader does not hold an upstream's slot.
  Duration slowReaderGrace = std::chrono::seconds(5);
  /// Field of requests that answers echo, so that callers can tell answers apart; empty: none.
  std::string echoedField;
  std::function<void(const ServedRequest& served)>
    onServed; ///< called after each request; optional
};

/// A listener. Stop() lets requests in progress end, then closes. A handler's answer with
/// `Connection: close` ends its connection.
///
/// A malformed, conflicting or oversized head is answered 400 or 413 with `Acp-Outcome: not-run`
/// before the handler is called. `GET /.acp/heartbeat` is answered 204 by the server itself.
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

  /// @brief Returns the number of open connections.
  [[nodiscard]] int Connections() const;

  /// @brief Answers with `Connection: close` and closes idle connections from now on, but goes on
  /// accepting.
  void BeginStop();

  /// @brief Stops accepting, answers requests in progress with `Connection: close`, waits up to
  /// @p drainTimeout for them, then closes. Idle connections are closed at once.
  void Stop(Duration drainTimeout);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
