#pragma once

/// @file
/// Adaptive limit on the number of concurrent requests at one upstream.

#include <array>  // array
#include <map>    // map
#include <string> // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint
#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Outcome of a request as seen by the gate in front of its upstream.
enum class GateResult
{
  Succeeded, ///< the upstream sent a response
  Failed,    ///< the upstream responded with a server error
  Refused,   ///< the upstream refused the request because of overload
  Lost,      ///< timeout or connection failure
  Neutral,   ///< not attributable to the upstream: the caller disconnected or a callee failed
};

template<>
struct NameTable<GateResult>
{
  static constexpr std::array<EnumName<GateResult>, 5> kRows = { {
    { GateResult::Succeeded, "succeeded" },
    { GateResult::Failed, "failed" },
    { GateResult::Refused, "refused" },
    { GateResult::Lost, "lost" },
    { GateResult::Neutral, "neutral" },
  } };
};

/// Settings of ConcurrencyLimit; the defaults are explained in docs/overload.md.
struct ConcurrencyLimitOptions
{
  int slots = 1;        ///< slots announced by the upstream; upper bound of the limit
  Duration coldStart{}; ///< duration of the ramp-up from a tenth of the slots
  Duration period = std::chrono::milliseconds(100); ///< time between two adjustments
  bool adaptive = true; ///< false: the limit always equals the announced slots
  /// Maximum fraction of the slots in use, greater than 0 and at most 1. Some upstreams slow down
  /// when nearly all slots are busy, which costs more throughput than leaving a few slots free.
  /// Upstreams with fewer than 10 slots always use all of them.
  double usableShare = 1.0;
};

/// Tracks the actual capacity of one upstream, between 1 and its announced slots.
///
/// Rising latency alone does not mean that a lower limit would help: an upstream with a slow callee
/// needs all its slots. A reduction because of latency is therefore a trial of one period, which is
/// kept only if throughput did not drop. Refusals and lost requests reduce the limit immediately.
///
/// Not thread-safe.
class ConcurrencyLimit
{
public:
  /// @param now beginning of the cold start
  ConcurrencyLimit(ConcurrencyLimitOptions options, TimePoint now);

  /// @brief Sets the slots and the cold start duration from a new announcement; the limit never
  /// exceeds them.
  void SetCapacity(int slots, Duration coldStart, TimePoint now);

  /// @brief Records one completed request.
  /// @param requestClass latencies are compared only within a class
  /// @param latency time from start to completion at the upstream
  /// @param wasFull whether the limit was reached while the request was running
  void OnFinish(const std::string& requestClass, Duration latency, GateResult result, bool wasFull);

  /// @brief Adjusts the limit if a period has elapsed.
  void Update(TimePoint now);

  /// @brief Returns the current limit, at least 1 and at most the announced slots.
  [[nodiscard]] int Current(TimePoint now) const;

private:
  struct Window
  {
    int answered = 0;        // requests with a response from the upstream
    int overloadSignals = 0; // refused and lost requests
    int failed = 0;          // server errors of the upstream
    double ratioSum = 0.0;   // sum of smoothed latency divided by baseline
    double workSum = 0.0;    // sum of baselines: work done, comparable across class mixes
    bool wasFull = false;
  };

  // Lowest smoothed latency of a class; drifts upwards slowly to follow lasting changes.
  struct Baseline
  {
    double seconds = 0.0;
    double smoothed = 0.0;
  };

  void Adjust(double elapsedSeconds);
  void FinishTrial(double workRate, double meanRatio);
  void RaiseBaselines(double factor);
  [[nodiscard]] double ColdStartCap(TimePoint now) const;

  ConcurrencyLimitOptions options_;
  std::map<std::string, Baseline> baselines_;
  Window window_;
  TimePoint windowStart_;
  TimePoint coldStartBegin_;
  double limit_;
  double limitBeforeTrial_ = 0.0; // 0: no trial in progress
  double workRateBeforeTrial_ = 0.0;
  int trialPausePeriods_ = 0; // remaining periods in which no trial may start
};

} // namespace acp
