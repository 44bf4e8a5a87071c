#pragma once

/// @file
/// What an executing node tells its callers: the headers `Acp-Load` and `Acp-Threshold`.

#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/admission/admission_error.hpp" // AdmissionResult

namespace acp {

/// Number of request class priorities, 0 (most important) to 9.
inline constexpr int kPriorityCount = 10;

/// Load of one gate; value of the header `Acp-Load`.
struct LoadReport
{
  int inFlight = 0;   ///< requests that the upstream is working on
  int limit = 0;      ///< concurrency limit in force
  int queueAgeMs = 0; ///< age of the oldest waiting request in milliseconds
};

/// Which requests of one client account a service admits; value of the header `Acp-Threshold`.
///
/// Priorities below `priority` are admitted, those above are refused, and of the requests at
/// `priority` the share `share` is admitted. The share differs between accounts: it is the
/// account's max-min fair part of what the service can do.
struct AdmissionThreshold
{
  int priority = kPriorityCount - 1; ///< marginal priority, 0 to 9
  double share = 1.0;                ///< admitted share of the marginal priority, 0 to 1

  /// @brief Returns priority + share, from 0 (admits nothing) to 10 (admits everything).
  [[nodiscard]] double Level() const { return priority + share; }

  /// @brief Returns the threshold of level @p level, which is clamped to 0 to 10.
  [[nodiscard]] static AdmissionThreshold FromLevel(double level);

  /// @brief Returns the share of the requests of a priority that is admitted.
  [[nodiscard]] double ShareOf(int requestPriority) const;
};

/// @brief Returns the stricter of two thresholds.
[[nodiscard]] AdmissionThreshold Stricter(const AdmissionThreshold& left,
                                          const AdmissionThreshold& right);

/// @brief Returns `in-flight=N;limit=N;queue-ms=N`.
[[nodiscard]] std::string FormatLoad(const LoadReport& load);

/// @brief Reads the value of `Acp-Load`; each number has at most 9 digits.
/// @return the report, or MalformedLoad
[[nodiscard]] AdmissionResult<LoadReport> ParseLoad(std::string_view text);

/// @brief Returns `priority=N;share=N`, the share in ten-thousandths.
[[nodiscard]] std::string FormatThreshold(const AdmissionThreshold& threshold);

/// @brief Reads the value of `Acp-Threshold`.
/// @return the threshold, or MalformedThreshold
[[nodiscard]] AdmissionResult<AdmissionThreshold> ParseThreshold(std::string_view text);

} // namespace acp
