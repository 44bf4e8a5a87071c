#include "acaciapulley/transport/http_server.hpp"

#include <array>              // array
#include <atomic>             // atomic
#include <cerrno>             // errno
#include <condition_variable> // condition_variable
#include <deque>              // deque
#include <mutex>              // mutex
#include <set>                // set
#include <stdexcept>          // runtime_error
#include <thread>             // thread
#include <utility>            // move

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <poll.h>        // poll
#include <sys/eventfd.h> // eventfd
#include <sys/socket.h>  // accept4
#include <unistd.h>      // close, write

#include "acaciapulley/core/log.hpp"                         // Log
#include "acaciapulley/core/outcome.hpp"                     // Reason, RequestOutcome
#include "acaciapulley/transport/detail/close_watcher.hpp"   // CloseWatcher
#include "acaciapulley/transport/detail/http_connection.hpp" // HttpConnection
#include "acaciapulley/transport/detail/http_framing.hpp"    // ParseRequestHead
#include "acaciapulley/transport/detail/server_exchange.hpp" // ConnectionExchange

namespace acp {

namespace {

using detail::HttpConnection;
using detail::IoStatus;
using detail::SteadyNow;

constexpr int kListenBacklog = 1024;
constexpr int kWorkerStackBytes = 256 * 1024;
constexpr int kWorkerIdleSeconds = 60;
// A thread that has just ended its connection is not yet idle in the pool.
constexpr int kSpareWorkers = 64;
constexpr std::size_t kMaxLingering = 64;
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);
constexpr int kLingerPollMs = 50;
// After a stop, a request that was on its way on an idle connection is still answered.
constexpr Duration kStopGrace = std::chrono::milliseconds(100);
constexpr Duration kRefusalTimeout = std::chrono::seconds(1);
constexpr std::string_view kHeartbeatTarget = "/.acp/heartbeat";

HttpResponseHead NotRun(int status, Reason reason)
{
  HttpResponseHead head{ .status = status };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set("Acp-Outcome", std::string(NameOf(RequestOutcome::NotRun)));
  head.headers.Set("Acp-Reason", std::string(NameOf(reason)));
  return head;
}

Poco::Net::ServerSocket Listen(const Address& address)
{
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.ip, address.port), true);
    socket.listen(kListenBacklog);
    socket.setBlocking(false);
    return socket;
  } catch (const Poco::Exception& e) {
    throw std::runtime_error("cannot listen on " + address.ToString() + ": " + e.displayText());
  }
}

/// A descriptor that becomes readable once and stays so, which wakes every thread that polls it.
class StopEvent
{
public:
  StopEvent()
    : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  {
    if (fd_ < 0) {
      throw std::runtime_error("no descriptor for the stop event");
    }
  }
  StopEvent(const StopEvent&) = delete;
  StopEvent& operator=(const StopEvent&) = delete;
  ~StopEvent() { ::close(fd_); }

  void Set()
  {
    isSet_ = true;
    const std::uint64_t one = 1;
    // Fails only when the counter is full, and then the descriptor is readable anyway.
    [[maybe_unused]] const auto written = ::write(fd_, &one, sizeof one);
  }

  [[nodiscard]] bool IsSet() const { return isSet_.load(); }
  [[nodiscard]] int Descriptor() const { return fd_; }

private:
  int fd_;
  std::atomic<bool> isSet_{ false };
};

} // namespace

class HttpServer::Impl
{
public:
  explicit Impl(HttpServerOptions options)
    : options_(std::move(options))
    , socket_(Listen(options_.address))
    , port_(socket_.address().port())
    , workers_(1, options_.maxConnections + kSpareWorkers, kWorkerIdleSeconds, kWorkerStackBytes)
    , acceptor_([this] { Accept(); })
  {
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Stop(Duration::zero()); }

  [[nodiscard]] std::uint16_t Port() const { return port_; }

  [[nodiscard]] int Connections() const
  {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(open_.size());
  }

  void Stop(Duration patience)
  {
    if (!acceptor_.joinable()) {
      return;
    }
    stop_.Set();
    acceptor_.join();
    {
      std::unique_lock lock(mutex_);
      const bool ended = allClosed_.wait_for(lock, patience, [this] { return open_.empty(); });
      if (!ended) {
        Log(LogLevel::Warning, "stop_cut", { { "connections", std::to_string(open_.size()) } });
      }
      for (auto* connection : open_) {
        connection->Shutdown();
      }
      allClosed_.wait(lock, [this] { return open_.empty(); });
    }
    workers_.joinAll();
  }

private:
  /// Serves one connection, then deletes itself.
  class Worker final : public Poco::Runnable
  {
  public:
    Worker(Impl& server, const Poco::Net::StreamSocket& socket)
      : server_(server)
      , connection_(socket)
    {
      server_.Enter(connection_);
    }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;
    ~Worker() override { server_.Leave(connection_); }

    void run() override
    {
      while (ServeNext()) {
      }
      delete this;
    }

  private:
    bool WaitForRequest()
    {
      const int stopFd = server_.stop_.Descriptor();
      IoStatus status =
        connection_.WaitReadable(SteadyNow() + server_.options_.idleTimeout, stopFd);
      if (status == IoStatus::Cancelled) {
        status = connection_.WaitReadable(SteadyNow() + kStopGrace, -1);
      }
      return status == IoStatus::Ok;
    }

    bool ServeNext()
    {
      if (!WaitForRequest()) {
        return false;
      }
      std::string text;
      const auto deadline = SteadyNow() + server_.options_.headTimeout;
      const auto status = connection_.ReadHead(detail::kMaxHeadBytes, deadline, &text);
      if (status == IoStatus::TooLarge) {
        return Refuse(NotRun(413, Reason::TooLarge), "the head is larger than 16 KiB\n");
      }
      if (status != IoStatus::Ok) {
        return false;
      }
      HttpRequestHead head;
      detail::MessageFraming framing;
      if (const auto wrong = detail::ParseRequestHead(text, &head, &framing)) {
        return Refuse(NotRun(400, Reason::BadRequest), *wrong + "\n");
      }
      detail::ConnectionExchange exchange(
        connection_, server_.options_, std::move(head), framing, watch_.Closed(), [this] {
          return server_.stop_.IsSet();
        });
      Handle(exchange);
      if (server_.options_.onServed) {
        server_.options_.onServed(exchange.Served());
      }
      return exchange.IsAnswered() && exchange.FinishRequest();
    }

    void Handle(detail::ConnectionExchange& exchange)
    {
      if (exchange.Request().target == kHeartbeatTarget) {
        exchange.Respond({ .status = 204 }, "");
        return;
      }
      try {
        server_.options_.handler(exchange);
      } catch (const BodyTruncated&) {
        Log(LogLevel::Debug, "request_body_ended_early", {});
      } catch (const std::exception& e) {
        Log(LogLevel::Error, "handler_failed", { { "error", e.what() } });
      }
    }

    /// Answers without a handler and closes, since the rest of the input cannot be framed.
    bool Refuse(const HttpResponseHead& head, const std::string& body)
    {
      const auto length = static_cast<std::int64_t>(body.size());
      const std::string start = detail::FormatResponseHead(head, length, false);
      connection_.Write(start, body, SteadyNow() + kRefusalTimeout);
      server_.Linger(connection_);
      return false;
    }

    Impl& server_;
    HttpConnection connection_;
    detail::CloseWatcher::Watch watch_{ detail::CloseWatcher::Instance(),
                                        connection_.Descriptor() };
  };

  /// A refused connection. Closing it with unread input would reset it and lose the refusal.
  struct Lingering
  {
    Poco::Net::StreamSocket socket;
    TimePoint deadline;
  };

  void Enter(HttpConnection& connection)
  {
    const std::lock_guard lock(mutex_);
    open_.insert(&connection);
  }

  void Leave(HttpConnection& connection)
  {
    const std::lock_guard lock(mutex_);
    open_.erase(&connection);
    if (open_.empty()) {
      allClosed_.notify_all();
    }
  }

  /// Reads and drops input until the peer closes, for at most kLingerTime.
  static void Linger(HttpConnection& connection)
  {
    ::shutdown(connection.Descriptor(), SHUT_WR);
    const TimePoint deadline = SteadyNow() + kLingerTime;
    std::array<char, 4096> dropped; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t count = 0;
    while (connection.Read(dropped.data(), dropped.size(), deadline, &count) == IoStatus::Ok &&
           SteadyNow() < deadline) {
    }
  }

  void Accept()
  {
    const int listenFd = socket_.impl()->sockfd();
    while (!stop_.IsSet()) {
      std::array<pollfd, 2> entries = {
        pollfd{ .fd = listenFd, .events = POLLIN, .revents = 0 },
        pollfd{ .fd = stop_.Descriptor(), .events = POLLIN, .revents = 0 }
      };
      ::poll(entries.data(), entries.size(), lingering_.empty() ? -1 : kLingerPollMs);
      AcceptWaiting(listenFd);
      DropLingering();
    }
    // Connections that the kernel had already accepted may carry requests.
    AcceptWaiting(listenFd);
    socket_.close();
    lingering_.clear();
  }

  void AcceptWaiting(int listenFd)
  {
    while (true) {
      const int fd = ::accept4(listenFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return;
      }
      if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOMEM)) {
        Log(LogLevel::Error, "accept_failed", { { "error", std::to_string(errno) } });
        std::this_thread::sleep_for(kAcceptPause);
        return;
      }
      if (fd >= 0) {
        Start(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)));
      }
    }
  }

  void Start(const Poco::Net::StreamSocket& socket)
  {
    if (Connections() >= options_.maxConnections) {
      RefuseConnection(socket);
      return;
    }
    auto worker = std::make_unique<Worker>(*this, socket);
    try {
      workers_.start(*worker);
      // The worker deletes itself at the end of run().
      [[maybe_unused]] const auto* started = worker.release();
    } catch (const Poco::Exception& e) {
      Log(LogLevel::Error, "no_worker", { { "error", e.displayText() } });
    }
  }

  void RefuseConnection(const Poco::Net::StreamSocket& socket)
  {
    HttpConnection connection(socket);
    auto head = NotRun(503, Reason::Overloaded);
    head.headers.Set("Retry-After", "1");
    const std::string body = "this listener has no free connection\n";
    const auto length = static_cast<std::int64_t>(body.size());
    connection.Write(detail::FormatResponseHead(head, length, false), body, SteadyNow());
    ::shutdown(connection.Descriptor(), SHUT_WR);
    if (lingering_.size() < kMaxLingering) {
      lingering_.push_back({ .socket = socket, .deadline = SteadyNow() + kLingerTime });
    }
  }

  void DropLingering()
  {
    const TimePoint now = SteadyNow();
    std::erase_if(lingering_, [now](const Lingering& entry) {
      std::array<char, 4096> dropped; // NOLINT(cppcoreguidelines-pro-type-member-init)
      const int fd = entry.socket.impl()->sockfd();
      const auto count = ::recv(fd, dropped.data(), dropped.size(), MSG_DONTWAIT);
      const bool ended = count == 0 || (count < 0 && errno != EAGAIN);
      return ended || entry.deadline <= now;
    });
  }

  HttpServerOptions options_;
  Poco::Net::ServerSocket socket_;
  std::uint16_t port_;
  StopEvent stop_;
  mutable std::mutex mutex_;
  std::condition_variable allClosed_;
  std::set<HttpConnection*> open_;
  std::deque<Lingering> lingering_; ///< used by the accepting thread only
  Poco::ThreadPool workers_;
  std::thread acceptor_;
};

HttpServer::HttpServer(HttpServerOptions options)
  : impl_(std::make_unique<Impl>(std::move(options)))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const
{
  return impl_->Port();
}

int HttpServer::Connections() const
{
  return impl_->Connections();
}

void HttpServer::Stop(Duration patience)
{
  impl_->Stop(patience);
}

} // namespace acp
