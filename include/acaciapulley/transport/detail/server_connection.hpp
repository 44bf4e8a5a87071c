#pragma once

/// @file
/// One connection of an HttpServer, from accept to close.

#include <atomic>     // atomic
#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr

#include "acaciapulley/core/event_loop.hpp"                  // EventLoop
#include "acaciapulley/core/outcome.hpp"                     // Reason
#include "acaciapulley/transport/detail/close_watcher.hpp"   // CloseWatcher
#include "acaciapulley/transport/detail/http_connection.hpp" // HttpConnection
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

/// Waits for requests on an event loop and serves one at a time, so that responses keep the order
/// of pipelined requests. Input behind the current request stays unread, apart from one read into
/// the buffer, until its turn comes. An idle connection occupies neither a thread nor a stack.
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

  void WaitForRequest();
  void OnWaitEnded(WaitResult result);
  /// Runs @p step in a task or on a thread; closes the connection if neither can be had.
  void Dispatch(const std::function<void()>& step);
  void LingerAndClose();
  void Serve();
  NextStep ServeBuffered();
  NextStep ServeNext();
  void Handle(ConnectionExchange& exchange);
  void ReportServed(const ConnectionExchange& exchange);
  NextStep Refuse(const HttpResponseHead& head, const std::string& body);
  void Close();

  EventLoop& loop_;
  const ServerContext& server_;
  HttpConnection connection_;
  CloseWatcher::Watch watch_;
  EventLoop::WaitId wait_ = 0; ///< of an idle connection, else 0; used on the loop's thread only
  int requestCount_ = 0;
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
