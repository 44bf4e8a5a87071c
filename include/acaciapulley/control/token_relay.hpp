#pragma once

/// @file
/// Batched forwarding of token requests to the control leader.

#include <condition_variable> // condition_variable
#include <functional>         // function
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/control/control_error.hpp"     // ControlResult
#include "acaciapulley/core/clock.hpp"                // Duration
#include "acaciapulley/transport/transport_error.hpp" // TransportResult

namespace acp::wire {
class ControlServiceIf;
class TokenReply;
class TokenRequest;
} // namespace acp::wire

namespace acp {

/// Construction options of a TokenRelay.
struct TokenRelayOptions
{
  /// Performs one call to the leader.
  std::function<TransportResult<void>(const std::function<void(wire::ControlServiceIf&)>& call)>
    callLeader;
  /// Minimum pause between two calls; requests that arrive in the meantime are batched.
  Duration batchInterval = std::chrono::milliseconds(5);
  /// Below the 500 ms call timeout of a node.
  Duration maxWait = std::chrono::milliseconds(400);
};

/// Forwards token requests from a replica that is not the leader. Each replica has at most one call
/// to the leader in progress, independent of the number of nodes. Only the leader decides, and
/// leases count from the time of a node's ask, so a relay adds latency but makes no decisions.
/// Thread-safe.
///
/// @par Example
/// @code
/// acp::TokenRelay relay({ .callLeader = [&](const auto& call) { return channel.Call(call); } });
/// const auto answered = relay.Acquire(reply, request);
/// @endcode
class TokenRelay
{
public:
  explicit TokenRelay(TokenRelayOptions options);
  TokenRelay(const TokenRelay&) = delete;
  TokenRelay& operator=(const TokenRelay&) = delete;
  ~TokenRelay();

  /// @brief Forwards @p request and waits for the reply of the leader.
  /// @return success; or Unavailable, in which case the leader may have granted tokens that are now
  /// lost
  ControlResult<void> Acquire(wire::TokenReply& reply, const wire::TokenRequest& request);

private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void Run();
  void ForwardBatch(const std::vector<PendingRequestPtr>& batch);

  TokenRelayOptions options_;
  std::mutex mutex_;
  std::condition_variable queueChanged_; ///< notifies the relay thread
  std::condition_variable replyReady_;   ///< notifies the threads that wait for a reply
  std::vector<PendingRequestPtr> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp
