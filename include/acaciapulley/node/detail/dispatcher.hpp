#pragma once

/// @file
/// Chooses a member for each attempt of a request, and retries within its budgets.

#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"              // Clock, TimePoint
#include "acaciapulley/node/detail/attempt.hpp"     // PendingCall
#include "acaciapulley/node/detail/executor.hpp"    // Executor
#include "acaciapulley/node/detail/peer_client.hpp" // PeerClient
#include "acaciapulley/retries/retry_policy.hpp"    // NodeRetryBudget
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
  FleetRetryBudget fleetRetryBudget; ///< of each service that fleet routes lead to
};

/// What remains of a request after its attempts.
struct DispatchResult
{
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
  bool isServerError = false; ///< the answer that was passed on is an upstream's server error
};

/// Calls may come from any thread.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatcherOptions& options);

  /// @brief Runs the request; its retriesLeft cover this node's retries and those of all callees.
  DispatchResult Run(PendingCall& call, const RequestContext& context);

private:
  [[nodiscard]] std::optional<PickedMember> PickMember(const PendingCall& call,
                                                       const std::vector<std::string>& tried);
  AttemptResult RunAttempt(PendingCall& call,
                           RequestContext context,
                           const PickedMember& picked,
                           int calleeRetries);
  /// Runs the attempt on the own upstream, which is a callee like any peer.
  AttemptResult RunLocally(PendingCall& call, const RequestContext& context);
  [[nodiscard]] RetryDecision DecideOnRetry(const PendingCall& call,
                                            const RequestContext& context,
                                            const AttemptResult& attemptResult,
                                            int attempt,
                                            int retriesLeft);

  void RecordResponse(const PendingCall& call, const AttemptResult& attemptResult);
  /// Takes the retry when it may be made.
  [[nodiscard]] bool TryRetryServerError(const PendingCall& call,
                                         const RequestContext& context,
                                         const std::vector<std::string>& tried,
                                         TimePoint attemptStart);
  /// Called with budgetMutex_ held.
  [[nodiscard]] NodeRetryBudget& RetryBudgetOf(const PendingCall& call);

  DispatcherOptions options_;
  std::mutex budgetMutex_;
  std::map<std::string, NodeRetryBudget> budgets_; ///< by service
};

} // namespace acp::detail
