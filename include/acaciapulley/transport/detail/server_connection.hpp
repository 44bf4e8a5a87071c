#pragma once

/// @file
/// One connection of an HttpServer, from accept to close.

#include <atomic>     // atomic
#include <deque>      // deque
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr, unique_ptr
#include <stop_token> // stop_source
#include <string>     // string

#include "acaciapulley/core/event_loop.hpp"                  // EventLoop
#include "acaciapulley/core/outcome.hpp"                     // Reason
#include "acaciapulley/core/wait_point.hpp"                  // WaitPoint
#include "acaciapulley/transport/detail/close_watcher.hpp"   // CloseWatcher
#include "acaciapulley/transport/detail/http_connection.hpp" // HttpConnection
#include "acaciapulley/transport/detail/http_framing.hpp"    // MessageFraming
#include "acaciapulley/transport/http_server.hpp"            // HttpServerOptions

namespace Poco {
class ThreadPool;
} // namespace Poco

namespace acp::detail {

class ConnectionExchange;
class ServerConnection;

/// State of the server that its connections use. The server exists until onClosed() returns.
struct ServerContext
{
  const HttpServerOptions* options = nullptr;
  const std::atomic<bool>* isStopping = nullptr;
  Poco::ThreadPool* workers = nullptr; ///< for blocking handlers; null: handlers run in tasks
  /// Called once; the connection does not access the server afterwards.
  std::function<void(ServerConnection& connection)> onClosed;
};

/// Waits for requests on an event loop and serves them. An idle connection occupies neither a
/// thread nor a stack.
///
/// Without HttpServerOptions::maxPipelined, requests are served one at a time, and input behind the
/// current one stays unread, apart from one read into the buffer, until its turn comes. With it,
/// requests that the caller sends ahead are started while those in front of them run, each in a
/// task of its own; their responses wait for their turn. A request is started ahead only if it may
/// be repeated (GET or HEAD), since the response in front of it may end the connection. All tasks
/// and callbacks of a connection run on the thread of one loop.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(const Poco::Net::StreamSocket& socket,
                   EventLoop& loop,
                   const ServerContext& server);

  /// @brief Waits for the next request. May be called from any thread.
  void ScheduleWait();

  /// @brief Closes the connection soon if it is idle; a request in transit is still served.
  void OnStop();

  /// @brief Shuts down the connection at once, at the end of a stop.
  void Abort();

private:
  /// What happens to the connection after a request.
  enum class NextStep
  {
    Continue,
    Close,
    CloseAfterResponse ///< lets the peer read the response even if it has sent further requests
  };

  /// A request that has been started before the response to the one in front of it.
  struct AheadRequest
  {
    std::unique_ptr<ConnectionExchange> exchange;
    std::stop_source cancelled; ///< stopped when the connection ends
    bool hasTurn = false;       ///< the responses before it have been sent
    bool isDropped = false;     ///< the connection ends before its turn
    WaitPoint turnChanged;
    bool isFinished = false;
    NextStep next = NextStep::Close;
    WaitPoint finished;
  };

  [[nodiscard]] CallerLimits Limits() const;
  void WaitForRequest();
  void OnWaitEnded(WaitResult result);
  /// Runs @p step in a task or on a thread; closes the connection if neither can be had.
  void Dispatch(const std::function<void()>& step);
  void LingerAndClose();
  void Serve();
  NextStep ServeBuffered();
  NextStep ServeNext();
  [[nodiscard]] bool CanPipeline() const;
  /// Starts the complete requests in the buffer, and waits for further ones while they run.
  void StartNextRequests();
  void StartAhead(HttpRequestHead head, const MessageFraming& framing);
  void RunAhead(AheadRequest& request);
  [[nodiscard]] bool AwaitTurn(AheadRequest& request);
  /// Lets the first request that was started ahead respond, and waits for its end.
  NextStep FinishAhead();
  /// Cancels the requests that were started ahead, which end with @p end, and waits for them.
  void DropAhead(RequestEnd end);
  /// Input must not be waited for while a response is written: a descriptor has one wait at a time.
  void StopReadingAhead();
  NextStep StepAfter(ConnectionExchange& exchange);
  void Handle(ConnectionExchange& exchange);
  void ReportServed(const ConnectionExchange& exchange);
  NextStep Refuse(const HttpResponseHead& head, const std::string& body);
  void Close();

  EventLoop& loop_;
  const ServerContext& server_;
  HttpConnection connection_;
  CloseWatcher::Watch watch_;
  EventLoop::WaitId wait_ = 0; ///< of an idle connection, else 0; used on the loop's thread only
  EventLoop::WaitId aheadWait_ = 0;                 ///< for requests behind the current one, else 0
  std::deque<std::shared_ptr<AheadRequest>> ahead_; ///< in the order of their arrival
  bool isPipelining_ =
    false; ///< the caller has sent a request before it had the response before it
  TimePoint idleSince_;
  int requestCount_ = 0;
  RequestEnd lastEnd_ = RequestEnd::Answered; ///< of the last request that was served
  std::atomic<bool> isAborted_{ false };
};

/// @brief Builds the response head for a request that was not passed to the handler.
[[nodiscard]] HttpResponseHead RefusalHead(int status, Reason reason);

/// @brief Sends a refusal, then discards further input until the peer closes, for at most one
/// second: closing with unread input would reset the connection and lose the response.
void RefuseAndLinger(HttpConnection& connection,
                     const HttpResponseHead& head,
                     const std::string& body);

} // namespace acp::detail
