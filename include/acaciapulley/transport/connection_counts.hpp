#pragma once

/// @file
/// How often connections of pools were opened, and why they were closed.

#include <array>   // array
#include <atomic>  // atomic
#include <cstddef> // size_t
#include <cstdint> // uint64_t

#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// The opening of a pooled connection, or the reason for its closing.
enum class ConnectionEvent
{
  Opened,
  OpenFailed,
  TimedOut,  ///< closed: no answer by the deadline of its request
  Cancelled, ///< closed: the caller left while its request was under way
  Broken,    ///< the other side broke off, or sent bytes that are no answer to the request
  Unread,    ///< closed: the answer's body ended early or was not read
  NotKept,   ///< closed after a whole answer, as its head announced
  Stale,     ///< closed while idle, for its age or because the other side had closed it
  Silent,    ///< closed: connections of its age give no answers any more
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

/// Events of all pools that share the counts, since their start. Calls may come from any thread.
class ConnectionCounts
{
public:
  /// @brief Counts an event.
  void Add(ConnectionEvent event, std::uint64_t count = 1)
  {
    counts_[static_cast<std::size_t>(event)].fetch_add(count, std::memory_order_relaxed);
  }

  /// @brief Returns how often the event has been counted.
  [[nodiscard]] std::uint64_t Of(ConnectionEvent event) const
  {
    return counts_[static_cast<std::size_t>(event)].load(std::memory_order_relaxed);
  }

private:
  std::array<std::atomic<std::uint64_t>, NameTable<ConnectionEvent>::kRows.size()> counts_{};
};

} // namespace acp
