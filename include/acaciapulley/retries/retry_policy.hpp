#pragma once

/// @file
/// Decides whether and when a failed call is retried.

#include <array>    // array
#include <cstddef>  // size_t
#include <optional> // optional

#include "acaciapulley/core/clock.hpp"   // Duration, TimePoint
#include "acaciapulley/core/names.hpp"   // EnumName, NameTable
#include "acaciapulley/core/outcome.hpp" // RequestOutcome

namespace acp {

/// Settings of NodeRetryBudget.
struct NodeRetryBudgetOptions
{
  double ratio = 0.1;               ///< retries added for each successful call
  double burst = 10.0;              ///< maximum number of available retries
  double minRetriesPerSecond = 0.5; ///< retries added over time, so that an idle node can retry
  bool enabled = true;              ///< false: every retry is granted (for comparison)
};

/// Retries that all nodes of a fleet may make in total to one service.
struct FleetRetryBudget
{
  double ratio = 0.2; ///< fraction of the requests to the service in a window
  double slack = 16;  ///< retries allowed in addition, per window
  Duration window = std::chrono::seconds(10); ///< the bound holds for every interval of this length
};

/// @brief Returns the share of one of @p nodes in the fleet retry budget @p shared.
///
/// The share uses a quarter of the ratio. The other three quarters are left for the nested calls
/// that retried requests repeat.
[[nodiscard]] NodeRetryBudgetOptions NodeShareOf(const FleetRetryBudget& shared, std::size_t nodes);

/// Limits the retries of one node to a fraction of its successful calls. Failed calls add nothing
/// to the budget, so retries cannot sustain an overload.
///
/// Not thread-safe.
class NodeRetryBudget
{
public:
  NodeRetryBudget(NodeRetryBudgetOptions options, TimePoint now);

  /// @brief Adds the fraction of a retry that a successful call earns.
  void OnSuccess();

  /// @brief Returns whether a retry is available, without consuming it.
  [[nodiscard]] bool IsAvailable(TimePoint now);

  /// @brief Consumes one retry.
  /// @return false when none is available
  [[nodiscard]] bool TryAcquire(TimePoint now);

  /// @brief Replaces the settings and discards retries above the new burst.
  void Configure(const NodeRetryBudgetOptions& options);

private:
  void Refill(TimePoint now);

  NodeRetryBudgetOptions options_;
  double available_;
  TimePoint refilledAt_;
};

/// Settings of Backoff.
struct BackoffOptions
{
  Duration initialDelay = std::chrono::milliseconds(10); ///< upper bound of the first delay
  Duration maxDelay = std::chrono::milliseconds(500);    ///< upper bound of all delays
};

/// @brief Returns the jittered delay before a retry, uniform between half of the bound and the
/// bound. The bound doubles with each attempt.
/// @param attempt 0 for the first retry
/// @param remaining time until the deadline
/// @param jitter random number in [0, 1)
/// @return the delay, or nothing when less time than the delay itself would remain for the retry
[[nodiscard]] std::optional<Duration> BackoffDelay(const BackoffOptions& options,
                                                   int attempt,
                                                   Duration remaining,
                                                   double jitter);

/// Properties of a failed call on which the retry decision depends.
struct FailedCall
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  bool nothingSent = false;    ///< no byte of the request was sent
  bool idempotent = false;     ///< whether the class of the root request is idempotent
  bool retryMaySucceed = true; ///< false: a retry would be refused again, as after a 4xx status
  int attempt = 0;             ///< number of retries already made
  int retriesLeft = 0;         ///< reserved from the hop's budget and unused
  Duration remaining{};        ///< time until the deadline
};

/// Result of the retry decision for a failed call.
enum class RetryVerdict
{
  Retry,
  NotSafe,         ///< the request may have run and is not idempotent
  NotRetryable,    ///< the upstream responded, or a retry would be refused again
  NoRequestBudget, ///< the retry budget of the request is exhausted
  NoNodeBudget,    ///< the retry budget of the node is exhausted
  NoTime,          ///< the deadline is too close
};

template<>
struct NameTable<RetryVerdict>
{
  static constexpr std::array<EnumName<RetryVerdict>, 6> kRows = { {
    { RetryVerdict::Retry, "retry" },
    { RetryVerdict::NotSafe, "not_safe" },
    { RetryVerdict::NotRetryable, "useless" },
    { RetryVerdict::NoRequestBudget, "no_budget" },
    { RetryVerdict::NoNodeBudget, "no_ratio" },
    { RetryVerdict::NoTime, "no_time" },
  } };
};

/// Result of DecideRetry().
struct RetryDecision
{
  RetryVerdict verdict = RetryVerdict::NotRetryable;
  Duration delay{}; ///< before the retry
};

/// @brief Decides whether a failed call is retried. When the verdict is Retry, one retry is
/// consumed from @p nodeBudget.
/// @param jitter random number in [0, 1)
/// @par Example
/// @code
/// const auto decision = acp::DecideRetry(failed, backoff, nodeBudget, now, jitter);
/// if (decision.verdict == acp::RetryVerdict::Retry) { Schedule(decision.delay); }
/// @endcode
[[nodiscard]] RetryDecision DecideRetry(const FailedCall& call,
                                        const BackoffOptions& backoff,
                                        NodeRetryBudget& nodeBudget,
                                        TimePoint now,
                                        double jitter);

} // namespace acp
