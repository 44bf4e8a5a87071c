#pragma once

/// @file
/// HTTP server with keep-alive connections on event loops and a graceful stop.

#include <chrono>      // seconds
#include <cstddef>     // size_t
#include <cstdint>     // int64_t, uint16_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <stop_token>  // stop_token
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/core/clock.hpp"             // Duration
#include "acaciapulley/transport/address.hpp"      // Address
#include "acaciapulley/transport/http_message.hpp" // BodySource, HttpRequestHead, HttpResponseHead
#include "acaciapulley/transport/request_end.hpp"  // Forwarding, RequestEnd

namespace acp {

/// Result of ServerExchange::RespondStreaming().
enum class StreamingResult
{
  Complete,   ///< the kernel has accepted the complete response
  Incomplete, ///< the response was cut; its connection is closed
  NotStarted, ///< the body was not of its declared length or ended early, and nothing was sent;
              ///< another response may follow
};

/// One request that is being served. Send exactly one response. If the handler sends none, the
/// server responds with 500, or 502 for a forwarded request, and an unknown outcome.
class ServerExchange
{
public:
  ServerExchange() = default;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;
  virtual ~ServerExchange() = default;

  [[nodiscard]] virtual const HttpRequestHead& Request() const = 0;

  /// @brief Returns the declared length of the request's body, or -1 when it is chunked.
  [[nodiscard]] virtual std::int64_t RequestBodyLength() const = 0;

  virtual BodySource& RequestBody() = 0;

  /// @brief Sends a response whose body is in memory.
  virtual void Respond(const HttpResponseHead& head, const std::string& body) = 0;

  /// @brief Streams a response. If the body is truncated or not of the declared length after a part
  /// was sent, the connection is closed, so that the caller detects an incomplete response by its
  /// framing.
  /// @param length length of the body, or -1 to send it chunked
  /// @param beforeLastBytes called once the body has been read completely, before its last bytes
  /// are sent
  virtual StreamingResult RespondStreaming(const HttpResponseHead& head,
                                           std::int64_t length,
                                           BodySource& body,
                                           const std::function<void()>& beforeLastBytes) = 0;

  /// @brief Returns whether the caller closed or broke its connection; never blocks, so that it can
  /// be polled to cancel work. A caller that only shut down its sending side counts as gone.
  [[nodiscard]] virtual bool IsCallerGone() const { return false; }

  /// @brief Returns a token that is stopped shortly after IsCallerGone() turns true.
  [[nodiscard]] virtual std::stop_token CallerGone() const { return {}; }

  /// @brief Returns whether this is the first request on its connection.
  [[nodiscard]] virtual bool IsFirstOnConnection() const { return false; }

  /// @brief Closes the connection without a response.
  virtual void Abort() = 0;

  /// @brief Records whether the request was forwarded, for logs and metrics.
  virtual void SetForwarding(Forwarding /*forwarding*/) {}
};

/// Result of a served request, for metrics and logs.
struct ServedRequest
{
  int status = 0;           ///< 0 when the handler sent no response
  std::string_view outcome; ///< value of `Acp-Outcome`, or empty
  std::string_view reason;  ///< value of `Acp-Reason`, or empty
  Duration duration{};      ///< from the end of the request's head to the end of the response
  RequestEnd end = RequestEnd::Answered;
  Forwarding forwarding = Forwarding::No;
  Duration connectionAge{};             ///< at the end of the request
  int numberOnConnection = 0;           ///< from 1 on
  std::uint64_t sentBytes = 0;          ///< of the response, accepted by the kernel
  const HttpHeaders* request = nullptr; ///< fields of the request
};

/// What a caller may send, and for how long it may take.
struct CallerLimits
{
  std::size_t maxHeadBytes = 16'384;               ///< request line, fields and the empty line
  Duration headTimeout = std::chrono::seconds(10); ///< from the first byte of a head to its last
  /// For a connection without a request; longer than HttpPoolOptions::idleTimeout.
  Duration idleTimeout = std::chrono::seconds(15);
};

/// Construction options of an HttpServer.
struct HttpServerOptions
{
  Address address;          ///< port 0 picks a free port
  int maxConnections = 256; ///< a connection above it gets 503 not-run and is closed
  std::function<void(ServerExchange& exchange)> handler; ///< called for each request
  /// Runs the handler in a task of an EventLoop, where it may wait only by HttpPool, WaitPoint and
  /// RunBlocking. False: each request in progress has a thread.
  bool runsInTasks = false;
  /// Requests of one connection that run concurrently when its caller sends further ones before it
  /// has a response (pipelining); responses keep the order of the requests. Only GET and HEAD
  /// without a body start before the response to the request in front of them. Needs runsInTasks;
  /// 1: none.
  int maxPipelined = 1;
  CallerLimits limits;
  /// If set, returns the limits that are in force, instead of `limits`. Called for each head, and
  /// each time a connection becomes idle.
  std::function<CallerLimits()> currentLimits;
  Duration bodyIdleTimeout = std::chrono::seconds(30); ///< maximum wait for more body bytes
  /// A caller is disconnected once it has kept the server waiting for this much longer than the
  /// bytes sent take at 64 KiB/s, or for this long in one write, so that a slow reader does not
  /// occupy a slot of an upstream.
  Duration slowReaderGrace = std::chrono::seconds(5);
  /// Request field that responses echo, so that callers can match them to requests; empty: none.
  std::string echoedField;
  /// Responds with 204 to `GET /.acp/heartbeat`; see HttpPoolOptions::sendsHeartbeats. A request
  /// that has the echoed field is no heartbeat.
  bool answersHeartbeats = false;
  /// Ends the process by EndFailedProcess() when no connection can be accepted for longer than
  /// this, because no descriptor or memory is available; 0: the server goes on trying.
  Duration maxAcceptOutage{};
  std::function<void(const ServedRequest& served)>
    onServed; ///< called after each request; may be empty
};

/// An HTTP listener. Stop() lets requests in progress finish, then closes all connections. A
/// response with `Connection: close` closes its connection.
///
/// A malformed or ambiguous head, or one beyond CallerLimits::maxHeadBytes, gets 400 or 413 with
/// `Acp-Outcome: not-run`, and the handler is not called.
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

  /// @brief Closes idle connections and responds with `Connection: close` from now on, but still
  /// accepts connections.
  void BeginStop();

  /// @brief Stops accepting and waits up to @p drainTimeout for requests in progress, whose
  /// responses carry `Connection: close`; then closes all connections. Idle ones are closed at
  /// once.
  void Stop(Duration drainTimeout);

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
