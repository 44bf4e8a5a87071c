#pragma once

/// @file
/// Picks a member for each attempt of a request, and retries within the retry budgets.

#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "acaciapulley/core/clock.hpp"              // Clock, TimePoint
#include "acaciapulley/node/detail/attempt.hpp"     // PendingCall
#include "acaciapulley/node/detail/executor.hpp"    // Executor
#include "acaciapulley/node/detail/peer_client.hpp" // PeerClient
#include "acaciapulley/node/region_map.hpp"         // RegionMap
#include "acaciapulley/retries/retry_policy.hpp"    // NodeRetryBudget
#include "acaciapulley/routing/balancer.hpp"        // Balancer

namespace acp::detail {

/// Construction options of a Dispatcher. The objects pointed to must outlive it.
struct DispatcherOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  const Clock* clock = nullptr;
  Executor* executor = nullptr;
  PeerClient* peers = nullptr;
  Balancer* balancer = nullptr;
  MemberTable* members = nullptr;
  FleetRetryBudget fleetRetryBudget; ///< for each service of the fleet routes
  const RegionMap* regions = nullptr;
};

/// Result of a request after its last attempt.
struct DispatchResult
{
  OrRefusal<void> result = boost::outcome_v2::success();
  int unusedRetries = 0;
  bool isServerError = false; ///< the response that was relayed is an upstream's server error
};

/// Runs a request with retries, on the local upstream or on peers. Thread-safe.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatcherOptions& options);

  /// @brief Runs a request. The retriesLeft of @p context cover the retries of this node and of all
  /// callees.
  DispatchResult Run(PendingCall& call, const RequestContext& context);

private:
  [[nodiscard]] PickRequest PickRequestOf(const PendingCall& call,
                                          const std::vector<std::string>& tried) const;
  [[nodiscard]] std::optional<PickedMember> PickMember(const PendingCall& call,
                                                       const std::vector<std::string>& tried);
  AttemptResult RunAttempt(PendingCall& call,
                           RequestContext context,
                           const PickedMember& picked,
                           int calleeRetries);
  /// Runs an attempt on the local upstream, whose threshold counts like that of any callee.
  AttemptResult RunLocally(PendingCall& call, const RequestContext& context);
  [[nodiscard]] RetryDecision DecideOnRetry(const PendingCall& call,
                                            const RequestContext& context,
                                            const AttemptResult& attemptResult,
                                            int attempt,
                                            int retriesLeft);

  void RecordResponse(const PendingCall& call, const AttemptResult& attemptResult);
  /// Acquires a retry from the node retry budget when the server error may be retried.
  [[nodiscard]] bool TryRetryServerError(const PendingCall& call,
                                         const RequestContext& context,
                                         const std::vector<std::string>& tried,
                                         TimePoint attemptStart);
  /// Requires that budgetMutex_ is held.
  [[nodiscard]] NodeRetryBudget& RetryBudgetOf(const PendingCall& call);

  DispatcherOptions options_;
  std::mutex budgetMutex_;
  std::map<std::string, NodeRetryBudget> budgets_; ///< by service
};

} // namespace acp::detail
