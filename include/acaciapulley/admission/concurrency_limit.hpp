#pragma once

/// @file
/// Adaptive limit on the requests that one upstream works on at the same time.

#include <array>  // array
#include <map>    // map
#include <string> // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint
#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// How a request ended, as seen by the gate in front of its upstream.
enum class GateResult
{
  Succeeded, ///< the upstream answered
  Failed,    ///< the upstream answered with an error of its own
  Refused,   ///< the upstream refused because of its load
  Lost,      ///< no answer in time, or the connection broke
  Neutral,   ///< says nothing about the upstream: caller gone, callee failed
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
  int slots = 1;        ///< announced slots, upper bound of the limit
  Duration coldStart{}; ///< length of the ramp from a tenth of the slots
  Duration period = std::chrono::milliseconds(100); ///< time between two adjustments
  bool adaptive = true; ///< false: the limit is always the announced slots
  /// Part of the slots that is used at most, above 0 to 1. Some upstreams slow down when they are
  /// nearly full, which costs more than the slots that stay free. Fewer than 10 slots are all used.
  double usableShare = 1.0;
};

/// Follows the real capacity of one upstream between 1 and its announced slots.
///
/// Rising latency alone does not show that fewer requests at a time would help: an upstream whose
/// callee is slow needs all its slots. Therefore a reduction because of latency is a trial of one
/// period, which is kept only if throughput did not fall with it. Refusals and lost requests reduce
/// the limit at once.
///
/// Not thread-safe.
class ConcurrencyLimit
{
public:
  /// @param now start of the cold start
  ConcurrencyLimit(ConcurrencyLimitOptions options, TimePoint now);

  /// @brief Replaces slots and cold start after a new announcement; the limit stays within them.
  void SetCapacity(int slots, Duration coldStart, TimePoint now);

  /// @brief Records one finished request.
  /// @param requestClass latencies are compared only within one class
  /// @param latency time from start to end at the upstream
  /// @param wasFull the limit was reached while the request ran
  void OnFinish(const std::string& requestClass, Duration latency, GateResult result, bool wasFull);

  /// @brief Adjusts the limit when a period has passed.
  void Update(TimePoint now);

  /// @brief Returns the limit in force, at least 1 and at most the announced slots.
  [[nodiscard]] int Current(TimePoint now) const;

private:
  struct Window
  {
    int answered = 0;        // requests with an answer of the upstream
    int overloadSignals = 0; // refused or lost requests
    int failed = 0;          // errors of the upstream
    double ratioSum = 0.0;   // latency divided by the class's base
    double workSum = 0.0;    // base latency: work done, comparable between class mixes
    bool wasFull = false;
  };

  // Shortest smoothed latency of a class, which drifts up slowly to follow lasting changes.
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
  double limitBeforeTrial_ = 0.0; // 0: no trial is running
  double workRateBeforeTrial_ = 0.0;
  int trialPausePeriods_ = 0; // no trial until this many periods have passed
};

} // namespace acp
