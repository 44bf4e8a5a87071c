#pragma once

/// @file
/// Whether and when a failed call is made again.

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
  double ratio = 0.1;  ///< retries earned by each successful call
  double burst = 10.0; ///< most retries kept
  double minRetriesPerSecond =
    0.5;               ///< retries earned without traffic, so that a quiet node may retry
  bool enabled = true; ///< false: always grants (for comparison)
};

/// Retries that all nodes of a fleet together may make to one service.
struct FleetRetryBudget
{
  double ratio = 0.2;                         ///< of the requests for the service in a window
  double slack = 16;                          ///< beside that part, in a window
  Duration window = std::chrono::seconds(10); ///< any span of this length counts
};

/// @brief Returns the budget of one of @p nodes that keeps them all within @p shared.
///
/// Three quarters of the ratio stay free for the calls that repeated requests make again.
[[nodiscard]] NodeRetryBudgetOptions NodeShareOf(const FleetRetryBudget& shared, std::size_t nodes);

/// Bounds the retries of one node to a share of its successful calls, so that retries cannot keep
/// an overload alive: when calls fail, no budget comes in.
///
/// Not thread-safe.
class NodeRetryBudget
{
public:
  NodeRetryBudget(NodeRetryBudgetOptions options, TimePoint now);

  /// @brief Earns a part of a retry for a successful call.
  void OnSuccess();

  /// @brief Returns whether a retry may be made, without taking it.
  [[nodiscard]] bool IsAvailable(TimePoint now);

  /// @brief Takes one retry.
  /// @return false when none is left
  [[nodiscard]] bool TryAcquire(TimePoint now);

  /// @brief Puts other settings in force; what is above the new burst is lost.
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
  Duration initialDelay = std::chrono::milliseconds(10); ///< longest delay before the first retry
  Duration maxDelay = std::chrono::milliseconds(500);    ///< bound on the doubled delays
};

/// @brief Returns the jittered delay before a retry: uniform between half and all of a doubling
/// bound.
/// @param attempt 0 for the first retry
/// @param remaining time until the deadline
/// @param jitter random number in [0, 1)
/// @return the delay, or nothing when it would leave less than itself for the retry to run
[[nodiscard]] std::optional<Duration> BackoffDelay(const BackoffOptions& options,
                                                   int attempt,
                                                   Duration remaining,
                                                   double jitter);

/// What is known about a failed call.
struct FailedCall
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  bool nothingSent = false;    ///< no byte of the request has left this node
  bool idempotent = false;     ///< class of the root request
  bool retryMaySucceed = true; ///< false: the refusal is of a kind that a retry repeats (4xx)
  int attempt = 0;             ///< retries made before
  int retriesLeft = 0;         ///< drawn from the hop's budget and not used
  Duration remaining{};        ///< time until the deadline
};

/// Why a failed call is or is not made again.
enum class RetryVerdict
{
  Retry,
  NotSafe,         ///< it may have run and is not idempotent
  NotRetryable,    ///< the upstream has answered, or a retry gets the same refusal
  NoRequestBudget, ///< the request's retries are used up
  NoNodeBudget,    ///< the node's retries are used up
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

/// Answer of DecideRetry().
struct RetryDecision
{
  RetryVerdict verdict = RetryVerdict::NotRetryable;
  Duration delay{}; ///< before the retry
};

/// @brief Decides about a failed call; takes one retry from @p nodeBudget when the verdict is
/// Retry.
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
