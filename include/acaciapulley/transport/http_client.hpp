#pragma once

/// @file
/// HTTP client with connection pools, for upstreams, peers and control.

#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
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

/// A response whose body is still being read. Destroying it before the end of the body closes the
/// connection, which cancels the request at the peer.
class ClientExchange
{
public:
  ClientExchange() = default;
  ClientExchange(const ClientExchange&) = delete;
  ClientExchange& operator=(const ClientExchange&) = delete;
  virtual ~ClientExchange() = default;

  /// @brief Returns the head of the response.
  [[nodiscard]] virtual const HttpResponseHead& Response() const = 0;

  /// @brief Returns the declared length of the body, or -1 when it is chunked.
  [[nodiscard]] virtual std::int64_t BodyLength() const = 0;

  /// @brief Returns the body.
  virtual BodySource& Body() = 0;

  /// @brief Closes the connection at once; later reads of the body throw BodyTruncated.
  virtual void Abort() {}

  /// @brief Treats the body as truncated unless it is complete within @p span from now.
  virtual void SetBodyTimeout(Duration /*span*/) {}

  /// @brief Returns whether the response echoes the id of its request; see
  /// HttpTranslation::idField.
  [[nodiscard]] virtual bool EchoesId() const { return false; }

  /// @brief Closes the connection at the end of the exchange instead of reusing it.
  virtual void CloseAfterUse() {}
};

/// Who creates the ids by which responses are matched to requests.
enum class IdSource
{
  /// The caller's ids may repeat, and each response must echo the id of its request. No id is sent
  /// twice on one connection. A response without an id is accepted only as the first one on its
  /// connection, which is closed afterwards.
  Caller,
  /// The sender creates an id for each call. Peers may omit it; such a response is matched to its
  /// request by its position on the connection.
  Sender
};

/// Translates the project's header fields to those of another protocol and back.
struct HttpTranslation
{
  /// Called with each request before it is sent; may be empty.
  std::function<void(HttpRequestHead& request)> request;
  /// Called with each response; false means that the response does not belong to the request and
  /// ends the call with ConnectionLost. Compares the ids, if there are any. May be empty.
  std::function<bool(const HttpRequestHead& request, HttpResponseHead& response)> response;
  /// Field with the id of a request, which responses echo. Empty: responses are matched to requests
  /// by their order alone.
  std::string idField;
  IdSource idSource = IdSource::Caller;
};

/// Callers are better served by a large head than by none, so that this only bounds memory.
inline constexpr std::size_t kDefaultMaxResponseHeadBytes = 65'536;

/// Construction options of an HttpPool.
struct HttpPoolOptions
{
  Address address;
  int maxConnections = 64;
  Duration connectTimeout = std::chrono::seconds(1);
  Duration idleTimeout = std::chrono::seconds(5); ///< idle connections older than this are closed
  /// Maximum wait for a free connection when maxConnections are in use; then Unreachable.
  Duration maxWait = std::chrono::milliseconds(50);
  /// Sends `GET /.acp/heartbeat` on idle connections, and closes all older connections when one of
  /// them is silent while a new one responds. Only for addresses served by an HttpServer.
  bool sendsHeartbeats = false;
  std::size_t maxHeadBytes = kDefaultMaxResponseHeadBytes; ///< of a response
  HttpTranslation translation;              ///< for peers that speak another protocol
  std::shared_ptr<ConnectionCounts> counts; ///< may be shared by several pools; may be null
};

/// Limits and cancellation of one call.
struct SendOptions
{
  Duration timeout;           ///< from the call until the head of the response has arrived
  Duration bodyIdleTimeout{}; ///< maximum wait for the next bytes of the body; 0: as timeout
  /// Maximum time from the head to the end of the body, since a faulty server may send a body
  /// without end; 0: no limit.
  Duration bodyTimeout{};
  /// Stopped when the caller on whose behalf the call is made disconnects. From then on nothing is
  /// sent (Abandoned); a call that waits for its response ends with Cancelled, and a read of the
  /// body with BodyTruncated.
  std::stop_token callerGone;
  /// Checked right before the request is sent, since the token may be stopped late; may be empty.
  std::function<bool()> isCallerGone;
  /// Waits for the response to a request that has been sent, even if the caller disconnects.
  bool waitsAfterDisconnect = false;
  /// Called on the acquired connection right before the first byte, for each connection on which
  /// the request is tried; if it returns false, nothing is sent (Withheld). May be empty.
  std::function<bool()> maySend;
  /// Called when the peer refuses a connection or does not accept one within
  /// HttpPoolOptions::connectTimeout; may be empty.
  std::function<void()> onConnectFailed;
};

/// A pool of connections to one address; the most recently used one is reused first.
///
/// A connection whose exchange did not end cleanly is closed, so that no response reaches another
/// request. See HttpTranslation::idField for peers that may send a response more than once.
class HttpPool
{
public:
  explicit HttpPool(HttpPoolOptions options);
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;
  ~HttpPool();

  /// @brief Sends a request and waits for the head of its response.
  ///
  /// Up to 16 KiB of the body are read before a connection is acquired, so that a slow caller with
  /// a small body does not occupy one.
  /// @param body body of the request
  /// @param bodyLength its length, or -1 when it is unknown
  /// @return the response; Unreachable, BodyTooLarge, Abandoned and Withheld mean that no byte was
  /// sent, every other error that the request may have arrived
  /// @par Example
  /// @code
  /// acp::StringBody empty("");
  /// auto result = pool.Send({ .method = "GET", .target = "/" }, empty, 0, { .timeout = timeout });
  /// @endcode
  TransportResult<std::unique_ptr<ClientExchange>> Send(const HttpRequestHead& head,
                                                        BodySource& body,
                                                        std::int64_t bodyLength,
                                                        const SendOptions& options);

  /// @brief As above, with @p timeout as the only limit.
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
