#pragma once

/// @file
/// Implementation of HttpPool: idle connections, connections in use, and heartbeats.

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <cstdint>            // uint64_t
#include <deque>              // deque
#include <functional>         // function, hash
#include <memory>             // enable_shared_from_this, unique_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <set>                // set
#include <stop_token>         // stop_token
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/transport/detail/http_connection.hpp" // HttpConnection
#include "acaciapulley/transport/http_client.hpp"            // HttpPoolOptions, SendOptions

namespace acp {
class WaitPoint;
} // namespace acp

namespace acp::detail {

/// Ids of the requests sent on a connection; late responses to them may still arrive.
class SentIds
{
public:
  /// @brief Adds an id that is about to be sent.
  void Add(const std::string& id) { hashes_.push_back(std::hash<std::string>{}(id)); }

  /// @brief Returns whether an id has been sent. Ids with the same hash count as equal.
  [[nodiscard]] bool Contains(const std::string& id) const;

  /// @brief Returns whether no further id may be added, which bounds memory and look-up time.
  [[nodiscard]] bool IsFull() const { return hashes_.size() >= kMaxIds; }

private:
  // A new connection costs little compared with this number of requests.
  static constexpr std::size_t kMaxIds = 512;

  std::vector<std::size_t> hashes_;
};

/// A connection of a pool, its last use and the ids sent on it.
struct PooledConnection
{
  explicit PooledConnection(const Poco::Net::StreamSocket& socket)
    : io(socket, ConnectionEnd::Opened)
    , lastUsed(io.CreatedAt())
  {
  }

  HttpConnection io;
  TimePoint lastUsed;
  SentIds ids;
};

/// Tracks the connections of a pool. Calls may come from any thread.
class PoolCore : public std::enable_shared_from_this<PoolCore>
{
public:
  using ConnectionPtr = std::unique_ptr<PooledConnection>;

  explicit PoolCore(HttpPoolOptions options)
    : options_(std::move(options))
  {
  }

  /// @brief Acquires the most recently used idle connection, or opens one.
  TransportResult<ConnectionPtr> Acquire(TimePoint deadline, const SendOptions& call);

  /// @brief Opens a new connection even if idle ones exist.
  TransportResult<ConnectionPtr> Open(TimePoint deadline);

  /// @brief Returns a connection whose exchange ended cleanly to the pool.
  void Release(ConnectionPtr connection);

  /// @brief Closes a connection that cannot be reused, and counts @p reason.
  void Close(ConnectionPtr connection, ConnectionEvent reason);

  /// @brief Records that no response arrived on @p connection in time.
  void RecordTimeout(const PooledConnection& connection);

  /// @brief Records a response. If its connection was opened after the last bytes on one that timed
  /// out, idle connections that have received nothing since then are closed as silent.
  void RecordResponse(const PooledConnection& connection);

  /// @brief Closes connections that have been idle for too long or were closed by the peer.
  void CloseIdle();

  /// @brief Acquires the connections on which a heartbeat is due.
  std::vector<ConnectionPtr> AcquireForHeartbeat();

  /// @brief Returns a connection to the pool after a heartbeat, without resetting its idle time.
  void ReleaseAfterHeartbeat(ConnectionPtr connection);

  /// @brief Closes all connections that were opened before @p openedBefore and last received bytes
  /// before @p receivedBefore; requests waiting on them end with ConnectionLost.
  void Retire(TimePoint openedBefore, TimePoint receivedBefore);

  [[nodiscard]] const HttpPoolOptions& Options() const { return options_; }
  [[nodiscard]] int OpenConnections() const;

private:
  ConnectionPtr PopIdle();
  [[nodiscard]] bool IsUsable(const PooledConnection& connection) const;
  TransportResult<ConnectionPtr> Connect(TimePoint deadline,
                                         const std::function<void()>& onConnectFailed = nullptr);
  void WaitForConnection(std::unique_lock<std::mutex>& lock,
                         TimePoint waitDeadline,
                         const std::stop_token& callerGone);
  void WakeOne();
  void Untrack(const PooledConnection* connection);
  void Count(ConnectionEvent event, std::uint64_t count = 1) const;

  const HttpPoolOptions options_;
  mutable std::mutex mutex_;
  std::deque<WaitPoint*> waiting_;  ///< callers that wait for a connection, in order of arrival
  std::vector<ConnectionPtr> idle_; ///< the most recently used one is last
  /// Reserved for heartbeats, so that silent connections are detected while all others are in use.
  ConnectionPtr heartbeatConnection_;
  std::set<PooledConnection*> inUse_;
  int openCount_ = 0;
  std::optional<TimePoint> silentSince_;
};

/// Sends heartbeats and closes idle connections for all pools of the process, on one thread.
class PoolMaintainer
{
public:
  /// @brief Returns the maintainer of the process; the first call starts its thread.
  static PoolMaintainer& Instance();

  PoolMaintainer(const PoolMaintainer&) = delete;
  PoolMaintainer& operator=(const PoolMaintainer&) = delete;

  /// @brief Maintains @p pool for as long as it exists.
  void Add(const std::shared_ptr<PoolCore>& pool);

private:
  PoolMaintainer();
  ~PoolMaintainer();

  void Run();
  std::vector<std::shared_ptr<PoolCore>> LivePools();

  std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::vector<std::weak_ptr<PoolCore>> pools_;
  std::thread thread_;
};

} // namespace acp::detail
