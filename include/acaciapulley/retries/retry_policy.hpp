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

/// Settings of RatioBudget.
struct RatioBudgetOptions
{
  double ratio = 0.1;          ///< retries earned by each successful call
  double burst = 10.0;         ///< most retries kept
  double floorPerSecond = 0.5; ///< retries earned without traffic, so that a quiet node may retry
  bool enabled = true;         ///< false: always grants (for comparison)
};

/// Retries that all nodes of a fleet together may make to one service.
struct SharedRetryBudget
{
  double ratio = 0.2;                         ///< of the requests for the service in a window
  double slack = 16;                          ///< beside that part, in a window
  Duration window = std::chrono::seconds(10); ///< any span of this length counts
};

/// @brief Returns the budget of one of @p nodes that keeps them all within @p shared.
///
/// Three quarters of the ratio stay free for the calls that repeated requests make again.
[[nodiscard]] RatioBudgetOptions ShareOf(const SharedRetryBudget& shared, std::size_t nodes);

/// Bounds the retries of one node to a share of its successful calls, so that retries cannot keep
/// an overload alive: when calls fail, no budget comes in.
///
/// Not thread-safe.
class RatioBudget
{
public:
  RatioBudget(RatioBudgetOptions options, TimePoint now);

  /// @brief Earns a part of a retry for a successful call.
  void OnSuccess();

  /// @brief Returns whether a retry may be made, without taking it.
  [[nodiscard]] bool Has(TimePoint now);

  /// @brief Takes one retry.
  /// @return false when none is left
  [[nodiscard]] bool TryTake(TimePoint now);

  /// @brief Puts other settings in force; what is above the new burst is lost.
  void Configure(const RatioBudgetOptions& options);

private:
  void EarnFloor(TimePoint now);

  RatioBudgetOptions options_;
  double retries_;
  TimePoint earnedAt_;
};

/// Settings of Backoff.
struct BackoffOptions
{
  Duration first = std::chrono::milliseconds(10);    ///< longest delay before the first retry
  Duration highest = std::chrono::milliseconds(500); ///< bound on the doubled delays
};

/// @brief Returns the jittered delay before a retry: uniform between half and all of a doubling
/// bound.
/// @param attempt 0 for the first retry
/// @param remaining time until the deadline
/// @param coin random number in [0, 1)
/// @return the delay, or nothing when it would leave less than itself for the retry to run
[[nodiscard]] std::optional<Duration> BackoffDelay(const BackoffOptions& options,
                                                   int attempt,
                                                   Duration remaining,
                                                   double coin);

/// What is known about a failed call.
struct FailedCall
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  bool nothingSent = false; ///< no byte of the request has left this node
  bool idempotent = false;  ///< class of the root request
  bool mayPass = true;      ///< false: the refusal is of a kind that a retry repeats (4xx)
  int attempt = 0;          ///< retries made before
  int retriesLeft = 0;      ///< drawn from the hop's budget and not used
  Duration remaining{};     ///< time until the deadline
};

/// Why a failed call is or is not made again.
enum class RetryVerdict
{
  Retry,
  NotSafe,  ///< it may have run and is not idempotent
  Useless,  ///< the upstream has answered, or a retry gets the same refusal
  NoBudget, ///< the request's retries are used up
  NoRatio,  ///< the node's retries are used up
  NoTime,   ///< the deadline is too close
};

template<>
struct NameTable<RetryVerdict>
{
  static constexpr std::array<EnumName<RetryVerdict>, 6> kRows = { {
    { RetryVerdict::Retry, "retry" },
    { RetryVerdict::NotSafe, "not_safe" },
    { RetryVerdict::Useless, "useless" },
    { RetryVerdict::NoBudget, "no_budget" },
    { RetryVerdict::NoRatio, "no_ratio" },
    { RetryVerdict::NoTime, "no_time" },
  } };
};

/// Answer of DecideRetry().
struct RetryDecision
{
  RetryVerdict verdict = RetryVerdict::Useless;
  Duration delay{}; ///< before the retry
};

/// @brief Decides about a failed call; takes one retry from @p ratio when the verdict is Retry.
/// @param coin random number in [0, 1)
/// @par Example
/// @code
/// const auto decision = acp::DecideRetry(failed, backoff, ratio, now, coin);
/// if (decision.verdict == acp::RetryVerdict::Retry) { Schedule(decision.delay); }
/// @endcode
[[nodiscard]] RetryDecision DecideRetry(const FailedCall& call,
                                        const BackoffOptions& backoff,
                                        RatioBudget& ratio,
                                        TimePoint now,
                                        double coin);

} // namespace acp
