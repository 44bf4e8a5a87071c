#pragma once

/// @file
/// Run times of requests at one upstream, measured by its co-located node.

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint

namespace acp {

/// Settings of RunTimeTable.
struct RunTimeTableOptions
{
  /// Time constant of the mean run times. A lasting change of the speed is followed to 87% within
  /// two of them.
  Duration smoothing = std::chrono::seconds(1);
  /// A class whose newest sample is older is unknown.
  Duration sampleLifetime = std::chrono::seconds(5);
  /// A work factor that is older counts as 1 (usual speed).
  Duration factorLifetime = std::chrono::seconds(1);
  std::uint64_t minSamples = 3; ///< a class with fewer samples is unknown
  std::size_t maxClasses = 256; ///< further classes are not recorded until others are forgotten
};

/// Mean run time of one request class.
struct RunTimeEstimate
{
  Duration runTime{};        ///< at the present speed of the upstream
  Duration age{};            ///< of the newest sample
  std::uint64_t samples = 0; ///< since the class was last unknown
};

/// Start of a run, for RunTimeTable::FinishRun.
struct RunStart
{
  TimePoint at;
  double factorSeconds = 0; ///< integral of the work factor up to the start
};

/// The mean run time of each request class at the usual speed of an upstream, and the current work
/// factor: the duration of work relative to the usual duration, as the upstream reports it.
///
/// Each run is divided by the mean work factor during the run, so that periods of slow work do not
/// change the mean; the present run time is the mean multiplied by the current factor. An upstream
/// that reports no factor has a factor of 1, and the means follow its speed.
///
/// Not thread-safe.
///
/// @par Example
/// @code
/// const acp::RunStart start = table.BeginRun(clock.Now());
/// Send();
/// table.FinishRun("orders", start, clock.Now());
/// const auto estimate = table.PresentRunTime("orders", clock.Now());
/// @endcode
class RunTimeTable
{
public:
  explicit RunTimeTable(const RunTimeTableOptions& options = {})
    : options_(options)
  {
  }

  /// @brief Records a work factor reported by the upstream; 1 is the usual duration of work.
  void RecordFactor(double factor, TimePoint now);

  /// @brief Returns the work factor, smoothed over the duration of about one request.
  [[nodiscard]] double FactorAt(TimePoint now) const;

  /// @brief Begins a run.
  [[nodiscard]] RunStart BeginRun(TimePoint now);

  /// @brief Records a run that the upstream has completed.
  /// @return the duration of the run at usual speed
  Duration FinishRun(const std::string& requestClass, const RunStart& start, TimePoint now);

  /// @brief Returns the mean run time of a class at the present speed.
  /// @return the estimate; nothing for a class with too few samples or without recent ones
  [[nodiscard]] std::optional<RunTimeEstimate> PresentRunTime(const std::string& requestClass,
                                                              TimePoint now) const;

  /// @brief Returns the mean run times of all classes at the present speed; zero for those that are
  /// not known any more, so that metrics do not keep an outdated value.
  [[nodiscard]] std::map<std::string, RunTimeEstimate> PresentRunTimes(TimePoint now) const;

  /// @brief Discards all samples, for a new instance of the upstream.
  void Reset() { *this = RunTimeTable(options_); }

private:
  struct ClassRunTime
  {
    double seconds = 0; // at usual speed
    std::uint64_t samples = 0;
    TimePoint newestAt;
  };

  void AdvanceIntegral(TimePoint now);
  [[nodiscard]] bool IsKnown(const ClassRunTime& entry, TimePoint now) const;
  [[nodiscard]] ClassRunTime* EntryFor(const std::string& requestClass, TimePoint now);

  RunTimeTableOptions options_;
  std::map<std::string, ClassRunTime> classes_;
  double meanSeconds_ = 0; // over all classes; the smoothing time of the factor
  double factor_ = 1;      // as last reported
  double smoothedFactor_ = 1;
  std::optional<TimePoint> factorAt_;
  TimePoint integralAt_;
  double factorSeconds_ = 0;
};

} // namespace acp
