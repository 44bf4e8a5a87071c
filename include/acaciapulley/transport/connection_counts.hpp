#pragma once

/// @file
/// Counters of pooled connections: opened, failed to open, and closed by reason.

#include <array>   // array
#include <atomic>  // atomic
#include <cstddef> // size_t
#include <cstdint> // uint64_t

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// The opening of a pooled connection, or the reason why it was closed.
enum class ConnectionEvent
{
  Opened,
  OpenFailed,
  TimedOut,  ///< closed: no response by the deadline of its request
  Cancelled, ///< closed: the caller disconnected while its request was in progress
  Broken,    ///< closed: the peer broke the connection or sent an invalid response
  Unread,    ///< closed: the response body was truncated or not read to its end
  NotKept,   ///< closed after a complete response, because it must not be reused
  Stale,     ///< closed: idle for too long, or already closed by the peer
  Silent,    ///< closed: the peer no longer responds on connections of its age
};

template<>
struct NameTable<ConnectionEvent>
{
  static constexpr std::array<EnumName<ConnectionEvent>, 9> kRows = { {
    { ConnectionEvent::Opened, "opened" },
    { ConnectionEvent::OpenFailed, "open_failed" },
    { ConnectionEvent::TimedOut, "timed_out" },
    { ConnectionEvent::Cancelled, "cancelled" },
    { ConnectionEvent::Broken, "broken" },
    { ConnectionEvent::Unread, "unread" },
    { ConnectionEvent::NotKept, "not_kept" },
    { ConnectionEvent::Stale, "stale" },
    { ConnectionEvent::Silent, "silent" },
  } };
};

/// Event counts since the start, shared by one or more pools. Calls may come from any thread.
class ConnectionCounts
{
public:
  /// @brief Adds @p count events.
  void Add(ConnectionEvent event, std::uint64_t count = 1)
  {
    counts_[static_cast<std::size_t>(event)].fetch_add(count, std::memory_order_relaxed);
  }

  /// @brief Returns the number of events of one kind.
  [[nodiscard]] std::uint64_t Of(ConnectionEvent event) const
  {
    return counts_[static_cast<std::size_t>(event)].load(std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, NameTable<ConnectionEvent>::kRows.size()> counts_{};
};

} // namespace acp
