#pragma once

/// @file
/// Tells when the peers of sockets close them.

#include <cstdint>    // uint64_t
#include <map>        // map
#include <mutex>      // mutex
#include <optional>   // optional
#include <stop_token> // stop_source, stop_token
#include <thread>     // thread

namespace acp::detail {

/// Waits for the close of all watched sockets of the process, on one thread, so that a request
/// learns of it wherever it waits. A peer that only ended its sending side counts as closed.
class CloseWatcher
{
public:
  /// A socket that is watched for as long as this object lives; the socket must live longer.
  class Watch
  {
  public:
    Watch(CloseWatcher& watcher, int descriptor);
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;
    ~Watch();

    /// @brief Returns the token that is stopped when the peer closes the socket.
    [[nodiscard]] std::stop_token Closed() const { return source_.get_token(); }

  private:
    CloseWatcher& watcher_;
    std::stop_source source_;
    std::uint64_t id_;
  };

  /// @brief Returns the process's watcher; its thread starts with the first call.
  /// @throw std::runtime_error when the system has no descriptor for it
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
  /// Ends the watch of a closed socket.
  std::optional<std::stop_source> RemoveClosed(std::uint64_t id);

  int epoll_;
  int stopEvent_;
  std::mutex mutex_;
  std::uint64_t nextId_ = 1;
  std::map<std::uint64_t, WatchedSocket> watched_;
  std::thread thread_;
};

} // namespace acp::detail
