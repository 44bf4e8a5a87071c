#pragma once

/// @file
/// The number of concurrent requests above which an upstream does no more work.

#include <map>    // map
#include <string> // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Settings of ConcurrencyKnee.
struct ConcurrencyKneeOptions
{
  int slots = 1; ///< announced by the upstream; upper bound of the limit
  Duration period = std::chrono::milliseconds(200); ///< shortest time between two adjustments
};

/// A run that the upstream has completed.
struct KneeSample
{
  std::string requestClass;
  Duration usualTime{};          ///< run time divided by the work factor
  double workFactor = 1;         ///< duration of work relative to usual
  bool makesNestedCalls = false; ///< the class makes nested calls
  bool wasFull = false;          ///< the gate's limit was reached
};

/// Finds the concurrency above which an upstream does no more work per second, by experiments.
///
/// Long run times alone do not show that fewer concurrent requests would do: they may have another
/// cause, and a lower limit would then cost throughput. While the gate is full, the limit therefore
/// alternates between its value and a trial value, and the trial value is adopted when the work
/// done with it shows that it is better: a lower one that does as much work, or a higher one that
/// does more. Alternating several times keeps a change of the upstream's speed from deciding the
/// result.
///
/// Runs of classes that make nested calls are no evidence, since a slow callee needs all slots;
/// while they are a larger part of the runs, the limit returns to the announced slots.
///
/// Not thread-safe.
class ConcurrencyKnee
{
public:
  ConcurrencyKnee(const ConcurrencyKneeOptions& options, TimePoint now);

  /// @brief Sets the announced slots; the limit starts from them again.
  void SetSlots(int slots, TimePoint now);

  /// @brief Records a completed run and adjusts the limit when a period has ended.
  void OnFinish(const KneeSample& sample, TimePoint now);

  /// @brief Returns the limit: at most the slots and at least a quarter of them, rounded up.
  [[nodiscard]] int Limit() const;

private:
  /// Runs of one period.
  struct Window
  {
    int runs = 0;
    int fullRuns = 0;
    int nestedRuns = 0;
    double work = 0; // sum of reference run times, times the work factor
  };

  /// An experiment; its periods alternate between the limit and the trial limit.
  struct Experiment
  {
    bool isRunning = false;
    double trialLimit = 0;
    int period = 0;
    double workAtLimit = 0;
    double workAtTrial = 0;
  };

  void EndPeriod(double elapsedSeconds, TimePoint now);
  void BeginExperiment(TimePoint now);
  void EndExperiment(TimePoint now);
  void AbortExperiment(TimePoint now);
  [[nodiscard]] bool IsTrialPeriod() const;
  [[nodiscard]] double MinLimit() const;
  [[nodiscard]] Duration PeriodLength() const;

  ConcurrencyKneeOptions options_;
  // Run time of each class that counts as its work. It changes slowly, so that both sides of an
  // experiment use the same value.
  std::map<std::string, double> references_;
  double meanSeconds_ = 0;
  double limit_;
  Window window_;
  Experiment experiment_;
  TimePoint windowStart_;
  TimePoint nextExperimentAt_;
  bool triesHigher_ = false; // direction of the next experiment
};

} // namespace acp
