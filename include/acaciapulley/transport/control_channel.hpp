#pragma once

/// @file
/// Calls from a node to the control leader.

#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/core/clock.hpp"                // Duration
#include "acaciapulley/transport/address.hpp"         // Address
#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp::wire {
class ControlServiceIf;
} // namespace acp::wire

namespace acp {

/// Construction options of a ControlChannel.
struct ControlChannelOptions
{
  std::vector<Address> replicas; ///< rpc addresses of all control replicas
  Duration timeout = std::chrono::milliseconds(500);
};

/// A channel to whichever control replica leads. Used by one thread at a time.
///
/// After any failure the connection is closed: the plain Thrift client does not match answers to
/// calls, so that a late answer would reach the next call.
class ControlChannel
{
public:
  explicit ControlChannel(ControlChannelOptions options);
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;
  ~ControlChannel();

  /// @brief Makes one call; follows leader hints and tries each replica once.
  /// @param call receives the client and makes exactly one call on it
  /// @return nothing, or NotLeader, Unreachable, Timeout, ConnectionLost or Refused
  /// @par Example
  /// @code
  /// const auto done = channel.Call([&](acp::wire::ControlServiceIf& control) {
  ///   control.Sync(reply, request);
  /// });
  /// @endcode
  TransportResult<void> Call(const std::function<void(wire::ControlServiceIf& control)>& call);

private:
  class Connection;

  TransportResult<void> CallOnce(const std::function<void(wire::ControlServiceIf& control)>& call);
  void MoveToNextReplica();

  ControlChannelOptions options_;
  std::size_t current_ = 0;
  std::unique_ptr<Connection> connection_;
};

} // namespace acp
