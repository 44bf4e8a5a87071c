#pragma once

/// @file
/// The connections of one HttpPool: which are idle, in use, or to be retired.

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <cstdint>            // uint64_t
#include <deque>              // deque
#include <functional>         // hash
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

/// Ids of the requests that a connection has carried; a late answer to one of them may still come.
class SentIds
{
public:
  /// @brief Notes an id that is about to be sent.
  void Add(const std::string& id) { hashes_.push_back(std::hash<std::string>{}(id)); }

  /// @brief Returns whether an id has been sent. Two ids with one hash count as the same.
  [[nodiscard]] bool Contains(const std::string& id) const;

  /// @brief Returns whether no further id may be added, which bounds memory and search.
  [[nodiscard]] bool IsFull() const { return hashes_.size() >= kMaxIds; }

private:
  // A new connection for as many requests costs little against them.
  static constexpr std::size_t kMaxIds = 512;

  std::vector<std::size_t> hashes_;
};

/// A connection of a pool and when it last carried a request.
struct PooledConnection
{
  explicit PooledConnection(const Poco::Net::StreamSocket& socket)
    : io(socket)
    , lastUsed(io.CreatedAt())
  {
  }

  HttpConnection io;
  TimePoint lastUsed;
  SentIds ids;
};

/// Bookkeeping of a pool's connections. Calls may come from any thread.
class PoolCore : public std::enable_shared_from_this<PoolCore>
{
public:
  using ConnectionPtr = std::unique_ptr<PooledConnection>;

  explicit PoolCore(HttpPoolOptions options)
    : options_(std::move(options))
  {
  }

  /// @brief Takes the most recently used idle connection, else opens one.
  TransportResult<ConnectionPtr> Acquire(TimePoint deadline, const SendOptions& call);

  /// @brief Opens a connection although idle ones may exist.
  TransportResult<ConnectionPtr> Open(TimePoint deadline);

  /// @brief Takes back a connection whose exchange ended cleanly.
  void Release(ConnectionPtr connection);

  /// @brief Closes a connection that cannot be used again.
  void Close(ConnectionPtr connection, ConnectionEvent reason);

  /// @brief Notes that @p connection gave no answer in time.
  void RecordTimeout(const PooledConnection& connection);

  /// @brief Notes an answer; one on a connection opened after a silence closes the idle connections
  /// that have not been heard since.
  void RecordResponse(const PooledConnection& connection);

  /// @brief Closes idle connections that are too old.
  void CloseIdle();

  /// @brief Takes the connections on which a heartbeat is due.
  std::vector<ConnectionPtr> AcquireForHeartbeat();

  /// @brief Takes back a connection that answered a heartbeat; its idle time goes on.
  void ReleaseAfterHeartbeat(ConnectionPtr connection);

  /// @brief Closes all connections opened before @p openedBefore and not heard since @p
  /// receivedBefore; requests waiting on them end with ConnectionLost.
  void Retire(TimePoint openedBefore, TimePoint receivedBefore);

  [[nodiscard]] const HttpPoolOptions& Options() const { return options_; }
  [[nodiscard]] int OpenConnections() const;

private:
  ConnectionPtr PopIdle();
  [[nodiscard]] bool IsUsable(const PooledConnection& connection) const;
  TransportResult<ConnectionPtr> Connect(TimePoint deadline);
  void WaitForConnection(std::unique_lock<std::mutex>& lock,
                         TimePoint waitDeadline,
                         const std::stop_token& callerGone);
  void WakeOne();
  void Untrack(const PooledConnection* connection);
  void Count(ConnectionEvent event, std::uint64_t count = 1) const;

  const HttpPoolOptions options_;
  mutable std::mutex mutex_;
  std::deque<WaitPoint*> waiting_;  ///< for a connection, in the order of their arrival
  std::vector<ConnectionPtr> idle_; ///< the most recently used one is last
  /// Kept for heartbeats only, so that a silence is noticed while all others are in use.
  ConnectionPtr heartbeatConnection_;
  std::set<PooledConnection*> inUse_;
  int openCount_ = 0;
  std::optional<TimePoint> silentSince_;
};

/// Sends heartbeats and closes idle connections for all pools of the process, on one thread.
class PoolMaintainer
{
public:
  /// @brief Returns the process's keeper; its thread starts with the first call.
  static PoolMaintainer& Instance();

  PoolMaintainer(const PoolMaintainer&) = delete;
  PoolMaintainer& operator=(const PoolMaintainer&) = delete;

  /// @brief Looks after @p pool for as long as it lives.
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
