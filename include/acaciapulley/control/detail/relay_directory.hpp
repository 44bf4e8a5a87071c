#pragma once

/// @file
/// Replicas to which the leader of a large fleet redirects polls.

#include <map>    // map
#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp::detail {

/// Nodes are redirected only to relays that have called the leader within this time, which is
/// several calls long. A relay whose calls do not arrive cannot answer polls either.
inline constexpr Duration kMaxRelayCallAge = std::chrono::seconds(1);

/// The relays that currently call the leader. Thread-safe.
///
/// @par Example
/// @code
/// relays.RecordCall("10.0.0.4:7100", clock.Now());
/// const std::string relay = relays.Select(nodeId, clock.Now());
/// @endcode
class RelayDirectory
{
public:
  /// @brief Records a call of the relay that nodes reach at @p rpcAddress. An invalid address is
  /// ignored; replicas of earlier versions send none.
  void RecordCall(const std::string& rpcAddress, TimePoint now);

  /// @brief Forgets all relays.
  void Clear();

  /// @brief Returns the address of the relay for @p nodeId; the same one while the relays are the
  /// same.
  /// @return an empty string if no relay has called within kMaxRelayCallAge
  [[nodiscard]] std::string Select(const std::string& nodeId, TimePoint now);

private:
  void RemoveSilent(TimePoint now);

  std::mutex mutex_;
  std::map<std::string, TimePoint> lastCallByAddress_;
};

} // namespace acp::detail
