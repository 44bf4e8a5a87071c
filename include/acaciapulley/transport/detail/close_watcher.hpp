#pragma once

/// @file
/// Notification when peers close their connections.

#include <cstdint>    // uint64_t
#include <map>        // map
#include <mutex>      // mutex
#include <optional>   // optional
#include <stop_token> // stop_source, stop_token
#include <thread>     // thread

namespace acp::detail {

/// Watches sockets for a close by the peer, on one thread for the whole process, so that a request
/// is notified wherever it waits. A peer that only shut down its sending side counts as closed.
class CloseWatcher
{
public:
  /// Watches a socket during the lifetime of this object; the socket must outlive it.
  class Watch
  {
  public:
    Watch(CloseWatcher& watcher, int descriptor);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch();

    /// @brief Returns the token that is stopped when the peer closes the connection.
    [[nodiscard]] std::stop_token Closed() const { return source_.get_token(); }

  private:
    CloseWatcher& watcher_;
    std::stop_source source_;
    std::uint64_t id_;
  };

  /// @brief Returns the watcher of the process; the first call starts its thread.
  /// @throw std::runtime_error when no file descriptor is available
  static CloseWatcher& Instance();

  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

private:
  struct WatchedSocket
  {
    int descriptor;
    std::stop_source source;
  };

  CloseWatcher();
  ~CloseWatcher();

  std::uint64_t Add(int descriptor, const std::stop_source& source);
  void Remove(std::uint64_t id);
  void Run();
  /// Stops watching a closed socket and returns its stop source.
  std::optional<std::stop_source> RemoveClosed(std::uint64_t id);

  int epoll_;
  int stopEvent_;
  std::mutex mutex_;
  std::uint64_t nextId_ = 1;
  std::map<std::uint64_t, WatchedSocket> watched_;
  std::thread thread_;
};

} // namespace acp::detail
