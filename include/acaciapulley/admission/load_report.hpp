#pragma once

/// @file
/// Load information that an executing node sends to its callers in the headers `Acp-Load`,
/// `Acp-Run-Time` and `Acp-Threshold`.

#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/admission/admission_error.hpp" // AdmissionResult
#include "acaciapulley/core/clock.hpp"                // Duration

namespace acp {

/// Number of priorities of request classes, 0 (most important) to 9.
inline constexpr int kPriorityCount = 10;

/// Load of one gate, the value of the header `Acp-Load`.
struct LoadReport
{
  int inFlight = 0;   ///< number of requests in flight at the upstream
  int limit = 0;      ///< current concurrency limit
  int queueAgeMs = 0; ///< age of the oldest waiting request in milliseconds
};

/// Requests of one client account that a service admits, the value of the header `Acp-Threshold`.
///
/// Priorities with a lower number than `priority` are admitted, those with a higher number are
/// refused, and of the requests at `priority` the share `share` is admitted. The share differs
/// between accounts: it results from the max-min fair division of the service's capacity.
struct AdmissionThreshold
{
  int priority = kPriorityCount - 1; ///< marginal priority, 0 to 9
  double share = 1.0;                ///< admitted share of the marginal priority, 0 to 1

  /// @brief Returns priority + share, between 0 (admits nothing) and 10 (admits everything).
  [[nodiscard]] double Level() const { return priority + share; }

  /// @brief Returns the threshold of @p level, clamped to the range 0 to 10.
  [[nodiscard]] static AdmissionThreshold FromLevel(double level);

  /// @brief Returns the admitted share of the requests of a priority.
  [[nodiscard]] double ShareOf(int requestPriority) const;
};

/// @brief Returns the stricter of two thresholds.
[[nodiscard]] AdmissionThreshold Stricter(const AdmissionThreshold& left,
                                          const AdmissionThreshold& right);

/// @brief Formats the value of `Acp-Load` as `in-flight=N;limit=N;queue-ms=N`.
[[nodiscard]] std::string FormatLoad(const LoadReport& load);

/// @brief Parses the value of `Acp-Load`; each number has at most 9 digits.
/// @return the report, or MalformedLoad
[[nodiscard]] AdmissionResult<LoadReport> ParseLoad(std::string_view text);

/// Mean run time of one request class at an upstream, the value of the header `Acp-Run-Time`.
struct ReportedRunTime
{
  Duration runTime{}; ///< at the present speed of the upstream
  Duration age{};     ///< of the newest sample
  int instance = 0;   ///< number of the upstream's instance; grows with each start
};

/// @brief Formats the value of `Acp-Run-Time` as `run-ms=N.NNN;age-ms=N;instance=N`.
[[nodiscard]] std::string FormatRunTime(const ReportedRunTime& reported);

/// @brief Parses the value of `Acp-Run-Time`.
/// @return the run time, above zero, or MalformedLoad
[[nodiscard]] AdmissionResult<ReportedRunTime> ParseRunTime(std::string_view text);

/// @brief Formats the value of `Acp-Threshold` as `priority=N;share=N`, with the share in
/// ten-thousandths.
[[nodiscard]] std::string FormatThreshold(const AdmissionThreshold& threshold);

/// @brief Parses the value of `Acp-Threshold`.
/// @return the threshold, or MalformedThreshold
[[nodiscard]] AdmissionResult<AdmissionThreshold> ParseThreshold(std::string_view text);

} // namespace acp
