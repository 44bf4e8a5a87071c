#pragma once

/// @file
/// HTTP connections to upstreams, peers and control, kept in pools.

#include <chrono>     // milliseconds, seconds
#include <cstdint>    // int64_t
#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <stop_token> // stop_token
#include <string>     // string

#include "acaciapulley/core/clock.hpp"                  // Duration
#include "acaciapulley/transport/address.hpp"           // Address
#include "acaciapulley/transport/connection_counts.hpp" // ConnectionCounts
#include "acaciapulley/transport/http_message.hpp"      // BodySource, HttpRequestHead
#include "acaciapulley/transport/transport_error.hpp"   // TransportResult

namespace acp {

namespace detail {
class PoolCore;
} // namespace detail

/// An answer whose body is still being read. Destroying it before the body's end closes the
/// connection, which cancels the request at the peer.
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

  /// @brief Closes the connection at once; a read of the body then raises BodyTruncated.
  virtual void Abort() {}

  /// @brief Ends the body as truncated when it is not whole after @p span from now.
  virtual void SetBodyTimeout(Duration /*span*/) {}

  /// @brief Returns whether the answer echoes the id of its request; see HttpTranslation::idField.
  [[nodiscard]] virtual bool EchoesId() const { return false; }

  /// @brief Has the connection closed at the end of the exchange.
  virtual void CloseAfterUse() {}
};

/// Who chooses the ids that tell answers apart.
enum class IdSource
{
  /// An id may repeat and each answer echoes its request's. A connection carries no id twice; an
  /// answer without it counts only as the first one on its connection, which is closed after it.
  Caller,
  /// The sender makes an id for each call. Peers may leave it out; such an answer belongs to its
  /// request by its place on the connection.
  Sender
};

/// Turns the project's header fields into those of another protocol, and back.
struct HttpTranslation
{
  /// Called with each request before it is sent; may be empty.
  std::function<void(HttpRequestHead& request)> request;
  /// Called with each answer; false ends the call with ConnectionLost, since the answer does not
  /// belong to the request. Compares the ids, if there are any. May be empty.
  std::function<bool(const HttpRequestHead& request, HttpResponseHead& response)> response;
  /// Field with a request's id, which answers echo. Empty: answers belong to requests by their
  /// order alone.
  std::string idField;
  IdSource idSource = IdSource::Caller;
};

/// Construction options of an HttpPool.
struct HttpPoolOptions
{
  Address address;
  int maxConnections = 64;
  Duration connectTimeout = std::chrono::seconds(1);
  Duration idleTimeout = std::chrono::seconds(5); ///< idle connections older than this are closed
  /// Longest wait for a free connection when maxConnections are in use; then Unreachable.
  Duration maxWait = std::chrono::milliseconds(50);
  /// Sends `GET /.acp/heartbeat` on idle connections, and retires all older connections when one is
  /// silent while a fresh one answers. Only for addresses served by an HttpServer.
  bool sendsHeartbeats = false;
  HttpTranslation translation;              ///< for peers that speak another protocol
  std::shared_ptr<ConnectionCounts> counts; ///< may be shared by several pools; may be null
};

/// Bounds of one call.
struct SendOptions
{
  Duration timeout;           ///< from the call until the head of the answer has arrived
  Duration bodyIdleTimeout{}; ///< longest wait for the next bytes of the body; 0 takes the timeout
  /// Longest time from the head to the end of the body, which a broken server may send without end;
  /// 0: no bound.
  Duration bodyTimeout{};
  /// Stopped when the caller for whom the call is made has gone. From then on nothing is sent
  /// (Abandoned); a call that waits for its answer ends with Cancelled, and a body with
  /// BodyTruncated.
  std::stop_token callerGone;
  /// Asked right before the request is sent, since the token may be stopped late; may be empty.
  std::function<bool()> isCallerGone;
  /// What has been sent is awaited although the caller has gone.
  bool waitsAfterDisconnect = false;
};

/// Connections to one address; the most recently used one is taken first.
///
/// A connection whose exchange did not end cleanly is closed, so that no answer reaches another
/// request. See HttpTranslation::idField for peers that may send an answer more than once.
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions options);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;
  ~HttpPool();

  /// @brief Sends a request and waits for the head of its answer.
  ///
  /// Up to 16 KiB of the body are read before a connection is taken, so that a slow caller with a
  /// small body holds none.
  /// @param body body of the request
  /// @param bodyLength its length, or -1 when it is unknown
  /// @return the answer; Unreachable, BodyTooLarge and Abandoned mean that no byte was sent, every
  /// other error that the request may have arrived
  /// @par Example
  /// @code
  /// acp::StringBody empty("");
  /// auto answer = pool.Send({ .method = "GET", .target = "/" }, empty, 0, { .timeout = timeout });
  /// @endcode
  TransportResult<std::unique_ptr<ClientExchange>> Send(const HttpRequestHead& head,
                                                        BodySource& body,
                                                        std::int64_t bodyLength,
                                                        const SendOptions& options);

  /// @brief As above, with @p timeout as the only bound.
  TransportResult<std::unique_ptr<ClientExchange>> Send(const HttpRequestHead& head,
                                                        BodySource& body,
                                                        std::int64_t bodyLength,
                                                        Duration timeout);

  /// @brief Returns the number of open connections, idle ones included.
  [[nodiscard]] int OpenConnections() const;

private:
  std::shared_ptr<detail::PoolCore> core_;
};

} // namespace acp
