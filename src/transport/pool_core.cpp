#include "acaciapulley/transport/detail/pool_core.hpp"

#include <algorithm>    // find, max, min
#include <system_error> // generic_category
#include <utility>      // move

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <poll.h> // POLLOUT

#include "acaciapulley/core/event_loop.hpp" // WaitUntilReady
#include "acaciapulley/core/wait_point.hpp" // WaitPoint

namespace acp::detail {

namespace {

// A heartbeat is due on a connection that has received nothing for this long.
constexpr Duration kHeartbeatIdleTime = std::chrono::milliseconds(300);
// The heartbeat connection of an unused pool is closed after this time.
constexpr Duration kHeartbeatConnectionIdleTimeout = std::chrono::seconds(60);

} // namespace

bool SentIds::Contains(const std::string& id) const
{
  const auto hash = std::hash<std::string>{}(id);
  return std::find(hashes_.begin(), hashes_.end(), hash) != hashes_.end();
}

int PoolCore::OpenConnections() const
{
  const std::lock_guard lock(mutex_);
  return openCount_;
}

PoolCore::ConnectionPtr PoolCore::PopIdle()
{
  const bool needsHeartbeatConnection = idle_.empty() && openCount_ >= options_.maxConnections;
  if (needsHeartbeatConnection && heartbeatConnection_) {
    idle_.push_back(std::move(heartbeatConnection_));
  }
  if (idle_.empty()) {
    return nullptr;
  }
  auto connection = std::move(idle_.back());
  idle_.pop_back();
  inUse_.insert(connection.get());
  return connection;
}

// Input on an idle connection is either the close by the peer or unsolicited bytes.
bool PoolCore::IsUsable(const PooledConnection& connection) const
{
  // The response to a heartbeat shows that a connection works, like one to a request.
  const TimePoint lastAliveAt = std::max(connection.lastUsed, connection.io.LastReceive());
  return SteadyNow() - lastAliveAt <= options_.idleTimeout && !connection.io.HasInput();
}

TransportResult<PoolCore::ConnectionPtr> PoolCore::Acquire(TimePoint deadline,
                                                           const SendOptions& call)
{
  const TimePoint waitDeadline = std::min(deadline, SteadyNow() + options_.maxWait);
  std::unique_lock lock(mutex_);
  while (true) {
    if (auto connection = PopIdle()) {
      // The check makes a system call, for which other callers must not wait.
      lock.unlock();
      if (IsUsable(*connection)) {
        return connection;
      }
      Close(std::move(connection), ConnectionEvent::Stale);
      lock.lock();
      continue;
    }
    if (openCount_ < options_.maxConnections) {
      ++openCount_;
      lock.unlock();
      return Connect(deadline, call.onConnectFailed);
    }
    if (call.callerGone.stop_requested()) {
      WakeOne();
      return Fail(TransportErrorCode::Abandoned,
                  "the caller disconnected while the call waited for a connection");
    }
    if (SteadyNow() >= waitDeadline) {
      WakeOne();
      return Fail(TransportErrorCode::Unreachable,
                  "all connections to " + options_.address.ToString() + " are in use");
    }
    WaitForConnection(lock, waitDeadline, call.callerGone);
  }
}

void PoolCore::WaitForConnection(std::unique_lock<std::mutex>& lock,
                                 TimePoint waitDeadline,
                                 const std::stop_token& callerGone)
{
  WaitPoint freed;
  waiting_.push_back(&freed);
  lock.unlock();
  {
    const std::stop_callback onCallerGone(callerGone, [&freed] { freed.Wake(); });
    freed.WaitFor(waitDeadline - SteadyNow());
  }
  lock.lock();
  std::erase(waiting_, &freed);
}

// A caller that stops waiting may have received a wake-up, so it wakes the next one.
void PoolCore::WakeOne()
{
  if (!waiting_.empty()) {
    waiting_.front()->Wake();
    waiting_.pop_front();
  }
}

TransportResult<PoolCore::ConnectionPtr> PoolCore::Open(TimePoint deadline)
{
  {
    const std::lock_guard lock(mutex_);
    ++openCount_;
  }
  return Connect(deadline);
}

TransportResult<PoolCore::ConnectionPtr> PoolCore::Connect(
  TimePoint deadline,
  const std::function<void()>& onConnectFailed)
{
  const auto reportFailure = [&onConnectFailed] {
    if (onConnectFailed) {
      onConnectFailed();
    }
  };
  try {
    Poco::Net::StreamSocket socket;
    socket.connectNB(Poco::Net::SocketAddress(options_.address.ip, options_.address.port));
    const TimePoint connectDeadline = SteadyNow() + options_.connectTimeout;
    const TimePoint until = std::min(deadline, connectDeadline);
    if (WaitUntilReady(socket.impl()->sockfd(), POLLOUT, until) != WaitResult::Ready) {
      // A wait that the caller's own deadline has cut short says nothing about the peer.
      if (SteadyNow() >= connectDeadline) {
        reportFailure();
      }
      throw Poco::TimeoutException("connecting timed out");
    }
    if (const int error = socket.impl()->socketError(); error != 0) {
      reportFailure();
      throw Poco::Net::NetException(std::generic_category().message(error));
    }
    auto connection = std::make_unique<PooledConnection>(socket);
    Count(ConnectionEvent::Opened);
    const std::lock_guard lock(mutex_);
    inUse_.insert(connection.get());
    return connection;
  } catch (const Poco::Exception& e) {
    if (dynamic_cast<const Poco::Net::ConnectionRefusedException*>(&e) != nullptr) {
      reportFailure();
    }
    Count(ConnectionEvent::OpenFailed);
    Untrack(nullptr);
    return Fail(TransportErrorCode::Unreachable,
                options_.address.ToString() + ": " + e.displayText());
  }
}

void PoolCore::Release(ConnectionPtr connection)
{
  connection->lastUsed = SteadyNow();
  {
    const std::lock_guard lock(mutex_);
    inUse_.erase(connection.get());
    if (options_.sendsHeartbeats && !heartbeatConnection_) {
      heartbeatConnection_ = std::move(connection);
    } else {
      idle_.push_back(std::move(connection));
    }
    WakeOne();
  }
}

void PoolCore::Close(ConnectionPtr connection, ConnectionEvent reason)
{
  Count(reason);
  Untrack(connection.get());
}

void PoolCore::Untrack(const PooledConnection* connection)
{
  {
    const std::lock_guard lock(mutex_);
    inUse_.erase(const_cast<PooledConnection*>(connection));
    --openCount_;
    WakeOne();
  }
}

void PoolCore::Count(ConnectionEvent event, std::uint64_t count) const
{
  if (options_.counts) {
    options_.counts->Add(event, count);
  }
}

void PoolCore::RecordTimeout(const PooledConnection& connection)
{
  const std::lock_guard lock(mutex_);
  const TimePoint since = connection.io.LastReceive();
  silentSince_ = std::max(since, silentSince_.value_or(since));
}

void PoolCore::RecordResponse(const PooledConnection& connection)
{
  const std::lock_guard lock(mutex_);
  if (!silentSince_ || connection.io.CreatedAt() <= *silentSince_) {
    return;
  }
  const TimePoint silentSince = *silentSince_;
  const auto closed = std::erase_if(idle_, [silentSince](const ConnectionPtr& idle) {
    return idle->io.LastReceive() <= silentSince;
  });
  openCount_ -= static_cast<int>(closed);
  Count(ConnectionEvent::Silent, closed);
  silentSince_.reset();
}

void PoolCore::CloseIdle()
{
  const TimePoint now = SteadyNow();
  const std::lock_guard lock(mutex_);
  const auto closed = std::erase_if(idle_, [&](const ConnectionPtr& idle) {
    return now - idle->lastUsed > options_.idleTimeout || idle->io.HasInput();
  });
  openCount_ -= static_cast<int>(closed);
  Count(ConnectionEvent::Stale, closed);
  if (heartbeatConnection_ &&
      (now - heartbeatConnection_->lastUsed > kHeartbeatConnectionIdleTimeout ||
       heartbeatConnection_->io.HasInput())) {
    heartbeatConnection_.reset();
    --openCount_;
    Count(ConnectionEvent::Stale);
  }
}

std::vector<PoolCore::ConnectionPtr> PoolCore::AcquireForHeartbeat()
{
  std::vector<ConnectionPtr> due;
  const TimePoint receivedBefore = SteadyNow() - kHeartbeatIdleTime;
  const std::lock_guard lock(mutex_);
  for (auto& idle : idle_) {
    if (idle->io.LastReceive() < receivedBefore) {
      due.push_back(std::move(idle));
    }
  }
  std::erase(idle_, nullptr);
  if (heartbeatConnection_) {
    due.push_back(std::move(heartbeatConnection_));
  }
  for (const auto& connection : due) {
    inUse_.insert(connection.get());
  }
  return due;
}

void PoolCore::ReleaseAfterHeartbeat(ConnectionPtr connection)
{
  {
    const std::lock_guard lock(mutex_);
    inUse_.erase(connection.get());
    if (!heartbeatConnection_) {
      heartbeatConnection_ = std::move(connection);
    } else {
      // Less recently used than any connection that carried a request in the meantime.
      idle_.insert(idle_.begin(), std::move(connection));
    }
    WakeOne();
  }
}

void PoolCore::Retire(TimePoint openedBefore, TimePoint receivedBefore)
{
  const auto isSilent = [&](const PooledConnection& connection) {
    return connection.io.CreatedAt() < openedBefore && connection.io.LastReceive() < receivedBefore;
  };
  const std::lock_guard lock(mutex_);
  const auto closed =
    std::erase_if(idle_, [&](const ConnectionPtr& idle) { return isSilent(*idle); });
  openCount_ -= static_cast<int>(closed);
  Count(ConnectionEvent::Silent, closed);
  if (heartbeatConnection_ && isSilent(*heartbeatConnection_)) {
    heartbeatConnection_.reset();
    --openCount_;
    Count(ConnectionEvent::Silent);
  }
  for (auto* connection : inUse_) {
    if (isSilent(*connection)) {
      connection->io.Shutdown();
    }
  }
}

} // namespace acp::detail
