#pragma once

/// @file
/// Replicas to which the leader of a large fleet sends polls on.

#include <map>    // map
#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp::detail {

/// A relay is named to nodes if it has called the leader within this time: several calls of a
/// relay. A relay that does not call cannot answer polls either.
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
  /// @brief Records a call of the relay that nodes reach at @p rpcAddress. An address that nodes
  /// cannot use is ignored.
  void RecordCall(const std::string& rpcAddress, TimePoint now);

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
