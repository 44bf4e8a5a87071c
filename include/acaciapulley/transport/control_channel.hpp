#pragma once

/// @file
/// Thrift calls to the control leader.

#include <chrono>             // milliseconds, seconds
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <functional>         // function
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <set>                // set
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
  /// Limit on connecting to one replica, and on each wait for its reply.
  Duration timeout = std::chrono::milliseconds(500);
  /// No further replica is tried once a call has taken this long.
  Duration callBudget = std::chrono::milliseconds(1'500);
  int maxConnections = 8; ///< concurrent calls; further ones wait for up to `timeout`
  Duration idleTimeout = std::chrono::seconds(5);
};

/// A channel to the control replica that is the leader. Calls may come from any thread.
///
/// A connection is closed after any transport failure: the plain Thrift client does not match
/// replies to calls, so a late reply would be returned to the next call.
class ControlChannel
{
public:
  explicit ControlChannel(ControlChannelOptions options);
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;
  ~ControlChannel();

  /// @brief Makes one call; follows leader hints and tries each replica once. A hint to a replica
  /// that has already failed in this call is not followed.
  /// @param call receives the client and makes exactly one call on it; may run again with
  /// another replica, even if an earlier one has executed it and the reply was lost
  /// @return nothing, or NotLeader, Unreachable, Timeout, ConnectionLost or Refused
  /// @par Example
  /// @code
  /// const auto done = channel.Call([&](acp::wire::ControlServiceIf& control) {
  ///   control.Sync(reply, request);
  /// });
  /// @endcode
  TransportResult<void> Call(const std::function<void(wire::ControlServiceIf& control)>& call);

  /// @brief Adds replicas that control has reported, so that nodes still reach control once the
  /// hosts of its initial replicas are gone. Addresses are never removed.
  void AddReplicas(const std::vector<Address>& replicas);

  /// @brief Makes the next call start at @p replica; after a failure calls move on to others.
  void Prefer(const Address& replica);

  /// @brief Returns the replica at which the next call starts.
  [[nodiscard]] Address Preferred();

private:
  class Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;
  using ControlCall = std::function<void(wire::ControlServiceIf& control)>;
  /// Indices of the replicas that have failed in one call.
  using FailedReplicas = std::set<std::size_t>;

  bool AcquireSlot(TimePoint deadline);
  void ReleaseSlot();
  std::size_t LeaderIndex();
  Address AddressOf(std::size_t replica);
  std::size_t ReplicaCount();
  ConnectionPtr PopIdle(std::size_t replica);
  void Release(ConnectionPtr connection);
  void CloseIdle(std::size_t replica);
  void TryNextAfter(std::size_t replica, const FailedReplicas& failed);
  void FollowLeaderHint(const Address& leader, std::size_t from, const FailedReplicas& failed);
  TransportResult<void> CallReplica(const ControlCall& call,
                                    std::size_t replica,
                                    FailedReplicas& failed);
  TransportResult<void> CallWithFailover(const ControlCall& call, TimePoint deadline);

  const ControlChannelOptions options_;
  std::mutex mutex_;
  std::condition_variable slotFreed_;
  std::vector<Address> replicas_;
  std::size_t leaderIndex_ = 0;
  int inUse_ = 0;
  std::vector<ConnectionPtr> idle_;
};

/// @brief Sends the output of the Thrift library, by default on standard error, through Log.
void RedirectThriftOutput();

} // namespace acp
