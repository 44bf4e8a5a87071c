#pragma once

/// @file
/// Passes nodes' token requests on to the control leader, many in one call.

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
  /// Makes one call to the leader.
  std::function<TransportResult<void>(const std::function<void(wire::ControlServiceIf&)>& call)>
    callLeader;
  /// Requests that come within this time of a call go out together with the next one.
  Duration batchInterval = std::chrono::milliseconds(5);
  /// Below the 500 ms after which a node gives its call up.
  Duration maxWait = std::chrono::milliseconds(400);
};

/// The part of a replica that does not lead in handing out rate tokens. The leader has one call in
/// progress from each replica, however many nodes there are; it alone decides, and leases count
/// from the nodes' asks, so that a relay adds time but takes no decision. Calls may come from any
/// thread.
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

  /// @brief Passes @p request on and waits for the leader's reply.
  /// @return nothing, or Unavailable: the leader may have answered, so its grants may be lost
  ControlResult<void> Acquire(wire::TokenReply& reply, const wire::TokenRequest& request);

private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void Run();
  void ForwardBatch(const std::vector<PendingRequestPtr>& batch);

  TokenRelayOptions options_;
  std::mutex mutex_;
  std::condition_variable queueChanged_; ///< requests for the relaying thread
  std::condition_variable replyReady_;   ///< replies for the waiting ones
  std::vector<PendingRequestPtr> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace acp
