#pragma once

/// @file
/// The monthly review: goodput, refusals, worst-served accounts and recovery.

#include <cstdint> // int64_t
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/core/clock.hpp"            // Duration, UnixMillis
#include "acaciapulley/record/record_row.hpp"     // RecordCounts, TimedRow
#include "acaciapulley/record/surge_detector.hpp" // ServiceSurge, Surge

namespace acp {

/// Service level of one client account.
struct AccountReport
{
  std::string account;
  RecordCounts counts;
  double served = 1; ///< completed / offered, excluding refusals beyond the account's rate
};

/// The section of one service in a report.
struct ServiceReport
{
  std::string service;
  RecordCounts counts;
  Duration latencyP50{};
  Duration latencyP99{};
  double refusedWithinRatePart = 0;    ///< fraction of the requests offered
  std::vector<AccountReport> accounts; ///< worst served first
  std::vector<Surge> surges;
  std::vector<TimedRow> goodput; ///< totals over all classes and accounts by span of time
};

/// A report on all services.
struct Report
{
  UnixMillis from{};
  UnixMillis to{};
  std::vector<ServiceReport> services; ///< ordered by name
};

/// @brief Builds a report.
/// @param rows rows with any spans, in any order
/// @param surges stored surges and those found by FindSurges in the latest series
/// @par Example
/// @code
/// const auto report = acp::BuildReport(rows, surges);
/// fmt::print("{}", acp::ReportText(report));
/// @endcode
[[nodiscard]] Report BuildReport(const std::vector<TimedRow>& rows,
                                 const std::vector<ServiceSurge>& surges);

/// @brief Returns the report as human-readable text.
[[nodiscard]] std::string ReportText(const Report& report);

/// @brief Returns the report as one JSON object. Times are Unix milliseconds.
[[nodiscard]] std::string ReportJson(const Report& report);

/// @brief Returns a gnuplot script, including its data, that plots offered load and goodput by
/// service.
[[nodiscard]] std::string ReportGnuplot(const Report& report);

} // namespace acp
