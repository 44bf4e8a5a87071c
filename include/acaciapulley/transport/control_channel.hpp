#pragma once

/// @file
/// Calls from a node to the control leader.

#include <chrono>             // milliseconds, seconds
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <functional>         // function
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <vector>             // vector

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
  /// Bound on connecting, and on each wait for the answer of one replica.
  Duration timeout = std::chrono::milliseconds(500);
  /// No further replica is tried once a call has taken this long.
  Duration callBudget = std::chrono::milliseconds(1'500);
  int maxConnections = 8; ///< calls at once; further ones wait for up to the timeout
  Duration idleTimeout = std::chrono::seconds(5);
};

/// A channel to whichever control replica leads. Calls may come from any thread.
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
  /// @param call receives the client and makes exactly one call on it; may be called again with
  /// another replica, also when an earlier one has run it without an answer
  /// @return nothing, or NotLeader, Unreachable, Timeout, ConnectionLost or Refused
  /// @par Example
  /// @code
  /// const auto done = channel.Call([&](acp::wire::ControlServiceIf& control) {
  ///   control.Sync(reply, request);
  /// });
  /// @endcode
  TransportResult<void> Call(const std::function<void(wire::ControlServiceIf& control)>& call);

  /// @brief Adds replicas that control has named, so that nodes find it after its first hosts have
  /// gone. Addresses are never removed.
  void AddReplicas(const std::vector<Address>& replicas);

  /// @brief Lets the next call begin at @p replica; further ones move on after failures.
  void Prefer(const Address& replica);

  /// @brief Returns where the next call begins.
  [[nodiscard]] Address Preferred();

private:
  class Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;
  using ControlCall = std::function<void(wire::ControlServiceIf& control)>;

  bool AcquireSlot(TimePoint deadline);
  void ReleaseSlot();
  std::size_t LeaderIndex();
  Address AddressOf(std::size_t replica);
  std::size_t ReplicaCount();
  ConnectionPtr PopIdle(std::size_t replica);
  void Release(ConnectionPtr connection);
  void CloseIdle(std::size_t replica);
  void TryNextAfter(std::size_t replica);
  void FollowLeaderHint(const Address& leader, std::size_t from);
  TransportResult<void> CallReplica(const ControlCall& call, std::size_t replica);
  TransportResult<void> CallWithFailover(const ControlCall& call, TimePoint deadline);

  const ControlChannelOptions options_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  std::vector<Address> replicas_;
  std::size_t leaderIndex_ = 0;
  int inUse_ = 0;
  std::vector<ConnectionPtr> idle_;
};

/// @brief Sends the output of the Thrift library, which it writes to standard error, through Log.
void RedirectThriftOutput();

} // namespace acp
