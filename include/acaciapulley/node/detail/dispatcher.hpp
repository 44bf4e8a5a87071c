#pragma once

/// @file
/// Chooses a member for each attempt of a request, and retries within its budgets.

#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/node/detail/attempt.hpp"     // PendingCall
#include "acaciapulley/node/detail/executor.hpp"    // Executor
#include "acaciapulley/node/detail/peer_client.hpp" // PeerClient
#include "acaciapulley/retries/retry_policy.hpp"    // RatioBudget
#include "acaciapulley/routing/balancer.hpp"        // Balancer

namespace acp::detail {

/// What a Dispatcher works with; all outlive it.
struct DispatcherOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  const Clock* clock = nullptr;
  Executor* executor = nullptr;
  PeerClient* peers = nullptr;
  Balancer* balancer = nullptr;
  MemberTable* members = nullptr;
};

/// What remains of a request after its attempts.
struct DispatchEnd
{
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
};

/// Calls may come from any thread.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatcherOptions& options);

  /// @brief Runs the request; its retriesLeft cover this node's retries and those of all callees.
  DispatchEnd Run(PendingCall& call, const RequestContext& context);

private:
  AttemptEnd Attempt(PendingCall& call,
                     RequestContext context,
                     const Choice& choice,
                     int calleeRetries);
  [[nodiscard]] RetryDecision Decide(const PendingCall& call,
                                     const RequestContext& context,
                                     const AttemptEnd& end,
                                     int attempt,
                                     int retriesLeft);

  DispatcherOptions options_;
  std::mutex ratioMutex_;
  RatioBudget ratio_;
};

} // namespace acp::detail
