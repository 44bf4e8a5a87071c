#pragma once

/// @file
/// Rate limit of an upstream that is cold after its start.

#include <array>    // array
#include <deque>    // deque
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint
#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Why an upstream counts as cold.
enum class ColdReason
{
  None,         ///< it does not
  Announced,    ///< by an announcement
  HealthAnswer, ///< by its response to a health check
  Assumed,      ///< there is evidence of a restart, and no report from after it
};

template<>
struct NameTable<ColdReason>
{
  static constexpr std::array<EnumName<ColdReason>, 4> kRows = { {
    { ColdReason::None, "none" },
    { ColdReason::Announced, "announced" },
    { ColdReason::HealthAnswer, "health_answer" },
    { ColdReason::Assumed, "assumed" },
  } };
};

/// An upstream's statement of how much longer it stays cold.
struct WarmupReport
{
  ColdReason source = ColdReason::Announced; ///< Announced or HealthAnswer
  std::string service;                       ///< empty when not known
  Duration left{};                           ///< 0: warm
  TimePoint askedAt;                         ///< for HealthAnswer: when the check was sent
  TimePoint receivedAt;
};

/// Settings of a WarmupLimit, from the configuration of the upstream's service.
struct WarmupLimitOptions
{
  double rate = 0;       ///< requests per second while the upstream is cold; 0: no limit
  Duration warmupTime{}; ///< for which an upstream stays cold after its start
};

/// Limits the requests that are started at a cold upstream within each second, and tracks until
/// when the upstream is cold.
///
/// An announcement may arrive late and be older than a restart of its upstream, so that it can only
/// extend the time for which the upstream counts as cold. A response to a health check also
/// shortens it if the check was sent after everything else that is known.
///
/// A node that has just started knows neither the state of its upstream nor the requests that the
/// process before it has started. Therefore the upstream is assumed to be cold from the
/// construction on, and the first second counts as full.
///
/// Not thread-safe.
///
/// @par Example
/// @code
/// acp::WarmupLimit limit(clock.Now());
/// limit.Configure({ .rate = 11, .warmupTime = std::chrono::seconds(3) });
/// if (limit.TryStart(clock.Now())) { Send(); }
/// @endcode
class WarmupLimit
{
public:
  /// Requests that are lost in a row without an answer are evidence of a restart.
  static constexpr int kLostForAssumption = 3;

  explicit WarmupLimit(TimePoint now);

  /// @brief Applies new settings. Requests that were started before are counted.
  void Configure(const WarmupLimitOptions& options);

  /// @brief Returns whether a request may be started now, without counting it.
  [[nodiscard]] bool MayStart(TimePoint now);

  /// @brief Counts a request as started, also while the upstream is warm.
  /// @return false if the request is above the limit; it is not counted then
  [[nodiscard]] bool TryStart(TimePoint now);

  /// @brief Applies what the upstream reports.
  void Apply(const WarmupReport& report);

  /// @brief Counts the upstream as cold until a health check that is sent later is answered, at
  /// most for the warm-up time after the first request that is started later and answered.
  void AssumeCold(TimePoint now);

  /// @brief Records the answer to a request that was started at @p startedAt.
  void RecordAnswer(TimePoint startedAt, TimePoint now);

  /// @brief Records a request that was sent and ended without an answer. After kLostForAssumption
  /// in a row the upstream is assumed to be cold.
  /// @return whether it is assumed so from now on
  bool RecordLoss(TimePoint now);

  /// @brief Records the run time of a completed request, for ConcurrencyAt().
  void RecordRunTime(Duration runTime);

  /// @brief Returns why the upstream counts as cold; None also without a rate limit.
  [[nodiscard]] ColdReason ReasonAt(TimePoint now) const;

  /// @brief Returns whether the upstream counts as cold; false without a rate limit.
  [[nodiscard]] bool IsCold(TimePoint now) const { return ReasonAt(now) != ColdReason::None; }

  /// @brief Returns until when the upstream counts as cold if nothing else becomes known. While it
  /// is assumed to be cold and has answered nothing, that is the warm-up time from now.
  [[nodiscard]] TimePoint ColdUntil(TimePoint now) const;

  /// @brief Returns the mean number of requests in progress at the rate limit, at least 1; nothing
  /// while the upstream is not cold.
  [[nodiscard]] std::optional<int> ConcurrencyAt(TimePoint now) const;

  /// @brief Returns the settings.
  [[nodiscard]] const WarmupLimitOptions& Options() const { return options_; }

private:
  void ForgetOldStarts(TimePoint now);
  [[nodiscard]] bool IsAssumedAt(TimePoint now) const;

  WarmupLimitOptions options_;
  std::deque<TimePoint> starts_; ///< of the last second, the oldest first
  TimePoint fullUntil_;          ///< no request may be started at a cold upstream before
  TimePoint coldUntil_;          ///< according to the upstream's reports
  ColdReason coldSource_ = ColdReason::None; ///< of coldUntil_
  TimePoint announcedAt_;                    ///< when the last announcement was received
  TimePoint checkedAt_;                      ///< when the last answered health check was sent
  bool isAssumed_ = true;
  TimePoint assumedAt_;
  std::optional<TimePoint> firstAnswerAt_; ///< of a request started since assumedAt_
  int lostInARow_ = 0;
  double meanRunSeconds_ = 0;
};

} // namespace acp
