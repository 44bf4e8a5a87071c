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

/// How well one client account was served.
struct AccountReport
{
  std::string account;
  RecordCounts counts;
  double served = 1; ///< completed by offered, without refusals beyond the account's rate
};

/// One service's part of a report.
struct ServiceReport
{
  std::string service;
  RecordCounts counts;
  Duration latencyP50{};
  Duration latencyP99{};
  double refusedWithinRatePart = 0;    ///< of the requests offered
  std::vector<AccountReport> accounts; ///< worst served first
  std::vector<Surge> surges;
  std::vector<TimedRow> goodput; ///< totals of all classes and accounts by span of time
};

/// A report over all services.
struct Report
{
  UnixMillis from{};
  UnixMillis to{};
  std::vector<ServiceReport> services; ///< ordered by name
};

/// @brief Builds a report.
/// @param rows rows of any spans, in any order
/// @param surges stored surges, and those that FindSurges sees in the latest series
/// @par Example
/// @code
/// const auto report = acp::BuildReport(rows, surges);
/// fmt::print("{}", acp::ReportText(report));
/// @endcode
[[nodiscard]] Report BuildReport(const std::vector<TimedRow>& rows,
                                 const std::vector<ServiceSurge>& surges);

/// @brief Returns the report as text for people.
[[nodiscard]] std::string ReportText(const Report& report);

/// @brief Returns the report as one JSON object. Times are Unix milliseconds.
[[nodiscard]] std::string ReportJson(const Report& report);

/// @brief Returns a gnuplot script with its data that plots offered load and goodput by service.
[[nodiscard]] std::string ReportGnuplot(const Report& report);

} // namespace acp
