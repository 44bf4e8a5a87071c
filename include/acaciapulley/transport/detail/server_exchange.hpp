#pragma once

/// @file
/// One request on a server connection and its response.

#include <functional> // function
#include <stop_token> // stop_token
#include <string>     // string

#include "acaciapulley/transport/detail/http_framing.hpp" // FramedBody, MessageFraming
#include "acaciapulley/transport/http_server.hpp"         // HttpServerOptions, ServerExchange

namespace acp::detail {

/// What an exchange asks of its connection.
struct ExchangeHooks
{
  /// Whether the request has been started before the response to the one in front of it.
  bool isAhead = false;
  /// Called before the first byte of the response; waits until the responses before it have been
  /// sent. Returns false when the connection has ended before.
  std::function<bool()> beginResponse;
  /// Checked when the response head is written; true closes the connection after the response.
  std::function<bool()> isStopping;
  /// Whether a request behind this one has been started, so that the connection must stay open.
  std::function<bool()> hasStartedNext;
};

/// ServerExchange for one request on a connection.
class ConnectionExchange final : public ServerExchange
{
public:
  /// @param callerGone stopped when the peer closes the connection
  ConnectionExchange(HttpConnection& connection,
                     const HttpServerOptions& options,
                     HttpRequestHead head,
                     const MessageFraming& framing,
                     std::stop_token callerGone,
                     ExchangeHooks hooks);

  [[nodiscard]] const HttpRequestHead& Request() const override { return head_; }
  [[nodiscard]] std::int64_t RequestBodyLength() const override { return framing_.bodyLength; }
  BodySource& RequestBody() override { return body_; }
  void Respond(const HttpResponseHead& head, const std::string& body) override;
  StreamingResult RespondStreaming(const HttpResponseHead& head,
                                   std::int64_t length,
                                   BodySource& body,
                                   const std::function<void()>& beforeLastBytes) override;
  [[nodiscard]] bool IsCallerGone() const override
  {
    return callerGone_.stop_requested() || connection_.IsPeerGone();
  }
  [[nodiscard]] std::stop_token CallerGone() const override { return callerGone_; }
  [[nodiscard]] bool IsFirstOnConnection() const override { return isFirst_; }
  void SetForwarding(Forwarding forwarding) override { forwarding_ = forwarding; }
  void Abort() override;

  /// @brief Sets the end that is reported if the connection ends before the turn of the response.
  void SetDroppedEnd(RequestEnd end) { droppedEnd_ = end; }

  /// @brief Returns whether the handler has started a response.
  [[nodiscard]] bool HasResponded() const { return hasResponded_; }

  /// @brief Records an end without a complete response; CallerGone replaces @p end if the caller
  /// has closed its connection.
  void EndUnanswered(RequestEnd end);

  /// @brief Returns whether the caller is owed a response that the handler has not sent.
  [[nodiscard]] bool IsResponseDue() const
  {
    return !hasResponded_ && !isAborted_ && !isRequestCut_;
  }

  /// @brief Responds in place of a handler that sent no response, and closes the connection.
  /// Served() still reports why the handler failed.
  void RespondToFailure();

  /// @brief Returns the result of the request; valid as long as this object.
  [[nodiscard]] ServedRequest Served() const;

  /// @brief Discards the rest of a small request body.
  /// @return whether the connection can carry another request
  bool FinishRequest();

private:
  std::string BeginResponse(const HttpResponseHead& head, std::int64_t length);
  /// Waits for the turn of this response; returns false when the connection has ended.
  bool AwaitTurn();
  bool Send(std::string_view first, std::string_view second);
  bool SendHead(const std::string& start, const std::function<void()>& beforeLastBytes);
  bool CopyBody(std::string start, bool isChunked, BodySource& body, const std::function<void()>&);

  HttpConnection& connection_;
  const HttpServerOptions& options_;
  HttpRequestHead head_;
  MessageFraming framing_;
  FramedBody body_;
  std::stop_token callerGone_;
  ExchangeHooks hooks_;
  bool isFirst_; ///< the connection has carried no response and no earlier request waits for one
  bool isDropped_ = false; ///< the connection ended before the turn of the response
  RequestEnd droppedEnd_ = RequestEnd::ConnectionCut;
  bool hasResponded_ = false;
  int status_ = 0;
  std::string outcome_;
  std::string reason_;
  bool isAborted_ = false;
  bool isRequestCut_ = false; ///< the request's body ended early
  RequestEnd end_ = RequestEnd::NoResponse;
  Forwarding forwarding_ = Forwarding::No;
  TimePoint startedAt_ = SteadyNow();
  bool isReusable_; ///< whether the connection stays open after this response
  std::uint64_t responseStart_;
  Duration sendTime_{};
};

} // namespace acp::detail
