#pragma once

/// @file
/// Run times and work factors of the local upstream, for learned placement.

#include <array>      // array
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <mutex>      // mutex
#include <optional>   // optional
#include <string>     // string

#include "acaciapulley/admission/concurrency_knee.hpp" // ConcurrencyKnee
#include "acaciapulley/admission/load_report.hpp"      // LoadReport, ReportedRunTime
#include "acaciapulley/admission/run_time_table.hpp"   // RunStart, RunTimeTable
#include "acaciapulley/config/fleet_document.hpp"      // Placement
#include "acaciapulley/core/clock.hpp"                 // Clock
#include "acaciapulley/core/names.hpp"                 // EnumName, NameTable
#include "acaciapulley/routing/member_table.hpp"       // LoadSample
#include "acaciapulley/transport/http_message.hpp"     // HttpHeaders

namespace acp::detail {

/// Reason why the load that an upstream reported is ignored.
enum class WorkFactorProblem
{
  Figures, ///< the number of figures is wrong
  Number,  ///< a figure is not a whole number
  Range,   ///< a figure is out of range
};

} // namespace acp::detail

template<>
struct acp::NameTable<acp::detail::WorkFactorProblem>
{
  static constexpr std::array<EnumName<acp::detail::WorkFactorProblem>, 3> kRows = { {
    { acp::detail::WorkFactorProblem::Figures, "figures" },
    { acp::detail::WorkFactorProblem::Number, "number" },
    { acp::detail::WorkFactorProblem::Range, "range" },
  } };
};

namespace acp::detail {

/// Largest work factor that is accepted, in percent.
inline constexpr int kMaxWorkPercent = 10'000;

/// Construction options of a RunTimeRecorder.
struct RunTimeRecorderOptions
{
  const Clock* clock = nullptr;
  /// Returns the placement that the fleet document sets for a service, if any.
  std::function<std::optional<Placement>(const std::string& service)> placementOf;
  /// Called when the usable limit has changed; nothing means no limit below the announced slots.
  std::function<void(std::optional<int> limit)> onUsableLimit;
};

/// A response of the local upstream.
struct UpstreamResponse
{
  std::string service;
  std::string requestClass;
  bool hasRun = false;  ///< the request has run and did not end in a server error
  bool wasFull = false; ///< the gate's limit was reached
};

/// Snapshot of a RunTimeRecorder for metrics.
struct RunTimeStats
{
  bool isInUse = false;
  std::map<std::string, RunTimeEstimate> runTimes; ///< by request class
  double workFactor = 1;
  std::map<WorkFactorProblem, std::uint64_t> ignored; ///< since the start
};

/// Records the run times of the local upstream where the placement of its service is learned: by
/// its entry in the fleet document, or because its responses carry a work factor.
///
/// Thread-safe.
class RunTimeRecorder
{
public:
  explicit RunTimeRecorder(RunTimeRecorderOptions options)
    : options_(std::move(options))
    , knee_({}, options_.clock->Now())
  {
  }

  /// @brief Begins the run of a request that is about to be sent.
  [[nodiscard]] RunStart BeginRun();

  /// @brief Records the head of a response: its work factor, and the run time if it has run.
  void RecordResponse(const UpstreamResponse& response,
                      const RunStart& start,
                      const HttpHeaders& headers);

  /// @brief Returns what `Acp-Run-Time` reports for a class; nothing where placement is not learned
  /// or the run time of the class is unknown.
  [[nodiscard]] std::optional<ReportedRunTime> ReportOf(const std::string& requestClass) const;

  /// @brief Records that a class of the local upstream makes nested calls.
  /// @param requestClass `service/class`; empty when the class that made the call is not known
  void RecordNestedCall(const std::string& requestClass);

  /// @brief Sets the announced slots of the upstream.
  void SetSlots(int slots);

  /// @brief Discards what was learned, for a new instance of the upstream.
  void Reset();

  [[nodiscard]] RunTimeStats Stats() const;

private:
  void RecordWorkFactor(const std::string& text, TimePoint now);
  void UpdateUse(const std::string& service);
  [[nodiscard]] bool MakesNestedCalls(const std::string& requestClass, TimePoint now) const;
  /// Returns whether the usable limit has changed.
  [[nodiscard]] bool UpdateUsableLimit();

  RunTimeRecorderOptions options_;
  mutable std::mutex mutex_;
  RunTimeTable table_;
  ConcurrencyKnee knee_;
  std::optional<int> usableLimit_;
  std::map<std::string, TimePoint> nestedCallsAt_; ///< last nested call by `service/class`
  std::map<WorkFactorProblem, std::uint64_t> ignored_;
  bool reportsFactor_ = false; ///< the instance has sent a valid work factor
  bool isInUse_ = false;
  int instance_ = 1;
  int slots_ = 1;
  TimePoint resetAt_; ///< runs that began earlier belong to another instance
};

/// @brief Returns the load sample for the member table.
[[nodiscard]] LoadSample ToLoadSample(const std::string& requestClass,
                                      const LoadReport& load,
                                      const std::optional<ReportedRunTime>& reported);

} // namespace acp::detail
