#pragma once

/// @file
/// Run times reported by members, and the expected time of a request at a member.

#include <array>    // array
#include <cstdint>  // int64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp" // Duration, TimePoint
#include "acaciapulley/core/names.hpp" // EnumName, NameTable

namespace acp {

/// Mean run time of a request class as a member's node reports it in `Acp-Run-Time`.
struct RunTimeReport
{
  std::string requestClass;
  double seconds = 0; ///< at the present speed of the upstream
  Duration age{};     ///< of the newest sample when the report arrived
  /// Number of the upstream's instance at its node; grows with each start of the upstream.
  std::int64_t instance = 0;
};

/// Age of the report on which a pick is based.
enum class ReportAge
{
  Recent,    ///< up to kRecentReportAge
  Old,       ///< up to kReportLifetime
  Missing,   ///< no report, or an older one
  Announced, ///< no member of the service has a report: placement by announced slots
};

template<>
struct NameTable<ReportAge>
{
  static constexpr std::array<EnumName<ReportAge>, 4> kRows = { {
    { ReportAge::Recent, "recent" },
    { ReportAge::Old, "old" },
    { ReportAge::Missing, "missing" },
    { ReportAge::Announced, "announced" },
  } };
};

/// A report older than this is moved halfway to the median of its service.
inline constexpr Duration kRecentReportAge = std::chrono::seconds(2);

/// A report older than this is not used.
inline constexpr Duration kReportLifetime = std::chrono::seconds(5);

/// @brief Returns the age group of a report of the time @p at.
[[nodiscard]] ReportAge ReportAgeOf(TimePoint at, TimePoint now);

/// The run times reported by one member, by request class.
class ReportedRunTimes
{
public:
  /// A reported run time.
  struct Entry
  {
    double seconds = 0; ///< smoothed over the age of the reports
    TimePoint at;       ///< time of the newest sample in the last report
    TimePoint appliedAt;
  };

  /// @brief Applies a report. The first report of a later instance discards all earlier ones; those
  /// of an earlier instance are ignored.
  ///
  /// A report with an age is smoothed over a time of that age: the upstream's speed changes many
  /// times a second, so a report of a second ago tells only the mean speed of that time.
  void Apply(const RunTimeReport& report, TimePoint now);

  /// @brief Returns the entry of a class that is not older than kReportLifetime, or nullptr.
  [[nodiscard]] const Entry* Find(const std::string& requestClass, TimePoint now) const;

private:
  std::map<std::string, Entry> entries_;
  std::int64_t instance_ = 0;
};

/// Requests in flight at a member, estimated from reports and from this node's own requests there.
///
/// A recent report tells the number of requests of other nodes. It is outdated after about one run
/// time. If all nodes used old numbers, all of them would send to the member that had been idle at
/// the time of the reports. The number is then estimated from this node's own requests, which it
/// always knows, and its usual share of all requests in flight.
class ReportedInFlight
{
public:
  /// @param total requests in flight at the member when the report was made
  /// @param own requests of this node that are in flight there
  /// @param age of the report when it arrived
  void Apply(double total, double own, Duration age, TimePoint now);

  /// @brief Returns the mean number of requests in flight at the member over the last seconds.
  [[nodiscard]] double MeanTotal() const { return meanTotal_; }

  /// @brief Returns the mean number of those of this node.
  [[nodiscard]] double MeanOwn() const { return meanOwn_; }

  /// @brief Returns whether a report has arrived that may still be used.
  [[nodiscard]] bool HasReport(TimePoint now) const
  {
    return hasReport_ && now - at_ <= kReportLifetime;
  }

  /// @brief Returns the estimated number of requests in flight.
  /// @param own requests of this node that are in flight there
  /// @param nodeShare this node's share of the requests in flight at such members, 0 to 1
  /// @param runSeconds run time of a request, in which the number changes
  [[nodiscard]] double EstimateAt(double own,
                                  double nodeShare,
                                  double runSeconds,
                                  TimePoint now) const;

private:
  double others_ = 0;
  double meanTotal_ = 0;
  double meanOwn_ = 0;
  TimePoint at_;        ///< time at which the last report was made
  TimePoint appliedAt_; ///< time at which it arrived
  bool hasReport_ = false;
};

/// @brief Returns the expected time of a request relative to its run time, at least 1.
///
/// Includes the delay that the request causes to those after it, so that members become equally
/// utilised at high load instead of the fastest ones being filled first.
/// @param inFlight requests at the member, including this one
/// @param capacity requests that it can run concurrently, above 0
[[nodiscard]] double WaitFactor(double inFlight, double capacity);

} // namespace acp
