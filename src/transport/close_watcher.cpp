#include "acaciapulley/transport/detail/close_watcher.hpp"

#include <array>     // array
#include <cerrno>    // errno
#include <stdexcept> // runtime_error
#include <string>    // to_string

#include <sys/epoll.h>   // epoll_ctl, epoll_wait
#include <sys/eventfd.h> // eventfd
#include <unistd.h>      // close, write

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

constexpr std::uint64_t kStopId = 0;
constexpr int kMaxEventsPerWait = 64;

epoll_event CloseEvent(std::uint64_t id)
{
  epoll_event event{};
  event.events = EPOLLRDHUP;
  event.data.u64 = id;
  return event;
}

} // namespace

CloseWatcher::Watch::Watch(CloseWatcher& watcher, int descriptor)
  : watcher_(watcher)
  , id_(watcher.Add(descriptor, source_))
{
}

CloseWatcher::Watch::~Watch()
{
  watcher_.Remove(id_);
}

CloseWatcher& CloseWatcher::Instance()
{
  static CloseWatcher watcher;
  return watcher;
}

CloseWatcher::CloseWatcher()
  : epoll_(::epoll_create1(EPOLL_CLOEXEC))
  , stopEvent_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
  epoll_event stop{};
  stop.events = EPOLLIN;
  stop.data.u64 = kStopId;
  if (epoll_ < 0 || stopEvent_ < 0 || ::epoll_ctl(epoll_, EPOLL_CTL_ADD, stopEvent_, &stop) != 0) {
    throw std::runtime_error("cannot create the file descriptors that watch connections");
  }
  thread_ = std::thread([this] { Run(); });
}

CloseWatcher::~CloseWatcher()
{
  const std::uint64_t one = 1;
  // Fails only when the counter is at its maximum, and then the descriptor is readable anyway.
  [[maybe_unused]] const auto written = ::write(stopEvent_, &one, sizeof one);
  thread_.join();
  ::close(stopEvent_);
  ::close(epoll_);
}

std::uint64_t CloseWatcher::Add(int descriptor, const std::stop_source& source)
{
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = nextId_++;
  epoll_event event = CloseEvent(id);
  if (::epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event) != 0) {
    // The check right before a send still detects the close.
    Log(LogLevel::Warning, "connection_not_watched", { { "error", std::to_string(errno) } });
    return id;
  }
  watched_.emplace(id, WatchedSocket{ .descriptor = descriptor, .source = source });
  return id;
}

void CloseWatcher::Remove(std::uint64_t id)
{
  const std::lock_guard lock(mutex_);
  const auto found = watched_.find(id);
  if (found != watched_.end()) {
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second.descriptor, nullptr);
    watched_.erase(found);
  }
}

std::optional<std::stop_source> CloseWatcher::RemoveClosed(std::uint64_t id)
{
  const std::lock_guard lock(mutex_);
  const auto found = watched_.find(id);
  if (found == watched_.end()) {
    return std::nullopt; // this side has closed the socket in the meantime
  }
  ::epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second.descriptor, nullptr);
  std::optional<std::stop_source> source(found->second.source);
  watched_.erase(found);
  return source;
}

void CloseWatcher::Run()
{
  while (true) {
    std::array<epoll_event, kMaxEventsPerWait>
      events; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const int count = ::epoll_wait(epoll_, events.data(), kMaxEventsPerWait, -1);
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = events[static_cast<std::size_t>(i)].data.u64;
      if (id == kStopId) {
        return;
      }
      if (auto closed = RemoveClosed(id)) {
        closed->request_stop();
      }
    }
  }
}

} // namespace acp::detail
