#include "acaciapulley/transport/http_server.hpp"

#include <atomic>             // atomic
#include <cerrno>             // errno
#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <optional>           // optional
#include <set>                // set
#include <stdexcept>          // runtime_error
#include <system_error>       // system_category
#include <utility>            // move

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/ThreadPool.h>
#include <sys/socket.h> // accept4

#include "acaciapulley/core/event_loop.hpp"                    // EventLoops
#include "acaciapulley/core/log.hpp"                           // Log
#include "acaciapulley/transport/detail/accept_outage.hpp"     // AcceptOutage
#include "acaciapulley/transport/detail/server_connection.hpp" // ServerConnection

namespace acp {

namespace {

using detail::HttpConnection;
using detail::ServerConnection;
using detail::SteadyNow;

constexpr int kListenBacklog = 1024;
constexpr int kWorkerStackBytes = 256 * 1024;
constexpr int kWorkerIdleSeconds = 60;
// Threads that have just finished a request are not yet available in the pool.
constexpr int kSpareWorkers = 64;
// Refused connections that stay open until their peers have read the refusal.
constexpr int kMaxLingering = 64;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kListenWait = std::chrono::hours(1);

Poco::Net::ServerSocket Listen(const Address& address)
{
  try {
    Poco::Net::ServerSocket socket;
    // Without SO_REUSEPORT, with which a second process would get a part of the connections.
    socket.bind(Poco::Net::SocketAddress(address.ip, address.port), true, false);
    socket.listen(kListenBacklog);
    socket.setBlocking(false);
    return socket;
  } catch (const Poco::Exception& e) {
    throw std::runtime_error("cannot listen on " + address.ToString() + ": " + e.displayText());
  }
}

} // namespace

class HttpServer::Impl
{
public:
  explicit Impl(HttpServerOptions options)
    : options_(std::move(options))
    , socket_(Listen(options_.address))
    , port_(socket_.address().port())
    , acceptor_(EventLoops::Instance().Next())
  {
    if (!options_.runsInTasks) {
      workers_.emplace(
        1, options_.maxConnections + kSpareWorkers, kWorkerIdleSeconds, kWorkerStackBytes);
    }
    context_ = { .options = &options_,
                 .isStopping = &isStopping_,
                 .workers = workers_ ? &*workers_ : nullptr,
                 .onClosed = [this](ServerConnection& closed) { Remove(closed); } };
    acceptor_.Post([this] { WaitForConnections(); });
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Stop(Duration::zero()); }

  [[nodiscard]] std::uint16_t Port() const { return port_; }

  [[nodiscard]] int Connections() const
  {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(connections_.size());
  }

  void BeginStop()
  {
    if (isStopping_.exchange(true)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    CloseIdle();
  }

  void Stop(Duration drainTimeout)
  {
    if (hasStopped_.exchange(true)) {
      return;
    }
    isStopping_ = true;
    acceptor_.Post([this] { StopAccepting(); });
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return hasStoppedAccepting_; });
      CloseIdle();
      const bool haveAllClosed =
        changed_.wait_for(lock, drainTimeout, [this] { return connections_.empty(); });
      if (!haveAllClosed) {
        Log(LogLevel::Warning,
            "stop_cut",
            { { "connections", std::to_string(connections_.size()) } });
      }
      for (const auto& connection : connections_) {
        connection->Abort();
      }
      changed_.wait(lock, [this] { return connections_.empty(); });
    }
    if (workers_) {
      workers_->joinAll();
    }
  }

private:
  /// Requires mutex_ to be locked.
  void CloseIdle()
  {
    for (const auto& connection : connections_) {
      connection->OnStop();
    }
  }

  // Notifies with the lock held: the server may be destroyed once its last connection is removed.
  void Remove(ServerConnection& connection)
  {
    const std::lock_guard lock(mutex_);
    connections_.erase(connection.shared_from_this());
    changed_.notify_all();
  }

  void WaitForConnections()
  {
    acceptWait_ = acceptor_.Watch(
      socket_.impl()->sockfd(), SteadyNow() + kListenWait, [this](WaitResult) { OnAcceptable(); });
  }

  void OnAcceptable()
  {
    if (AcceptPending()) {
      WaitForConnections();
      return;
    }
    acceptWait_ =
      acceptor_.Watch(-1, SteadyNow() + kAcceptRetryDelay, [this](WaitResult) { OnAcceptable(); });
  }

  void StopAccepting()
  {
    acceptor_.CancelWait(acceptWait_);
    // Connections that the kernel has already accepted may carry requests.
    AcceptPending();
    socket_.close();
    const std::lock_guard lock(mutex_);
    hasStoppedAccepting_ = true;
    changed_.notify_all();
  }

  /// @return false when no file descriptor or memory is available for another connection
  bool AcceptPending()
  {
    while (true) {
      const int fd =
        ::accept4(socket_.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd >= 0) {
        acceptOutage_.RecordSuccess();
        AddConnection(Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(fd)));
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return true;
      } else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS) {
        detail::HandleAcceptFailure(
          acceptOutage_, std::system_category().message(errno), options_.maxAcceptOutage);
        return false;
      }
    }
  }

  void AddConnection(const Poco::Net::StreamSocket& socket)
  {
    if (Connections() >= options_.maxConnections) {
      RefuseConnection(socket);
      return;
    }
    auto connection =
      std::make_shared<ServerConnection>(socket, EventLoops::Instance().Next(), context_);
    const std::lock_guard lock(mutex_);
    connections_.insert(connection);
    connection->ScheduleWait();
  }

  void RefuseConnection(const Poco::Net::StreamSocket& socket)
  {
    if (*lingering_ >= kMaxLingering) {
      return;
    }
    ++*lingering_;
    // This task may outlive the server.
    acceptor_.StartNow([socket, lingering = lingering_] {
      HttpConnection connection(socket, detail::ConnectionEnd::Accepted);
      auto head = detail::RefusalHead(503, Reason::Overloaded);
      head.headers.Set("Retry-After", "1");
      detail::RefuseAndLinger(
        connection, head, "this listener has reached its maximum number of connections\n");
      --*lingering;
    });
  }

  HttpServerOptions options_;
  Poco::Net::ServerSocket socket_;
  std::uint16_t port_;
  std::optional<Poco::ThreadPool> workers_;
  detail::ServerContext context_;
  std::atomic<bool> isStopping_{ false };
  std::atomic<bool> hasStopped_{ false };
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::shared_ptr<ServerConnection>> connections_;
  bool hasStoppedAccepting_ = false;
  EventLoop& acceptor_;
  EventLoop::WaitId acceptWait_ = 0;  ///< used on the thread of acceptor_ only
  detail::AcceptOutage acceptOutage_; ///< used on the thread of acceptor_ only
  std::shared_ptr<std::atomic<int>> lingering_ = std::make_shared<std::atomic<int>>(0);
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

void HttpServer::BeginStop()
{
  impl_->BeginStop();
}

void HttpServer::Stop(Duration drainTimeout)
{
  impl_->Stop(drainTimeout);
}

} // namespace acp
