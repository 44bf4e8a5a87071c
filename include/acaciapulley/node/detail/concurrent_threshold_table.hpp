#pragma once

/// @file
/// Admission thresholds of callees, shared by the request threads.

#include <mutex>   // mutex
#include <string>  // string
#include <utility> // move

#include "acaciapulley/admission/threshold_table.hpp" // CalleeClass, ThresholdTable
#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/retries/request_context.hpp"   // RequestContext

namespace acp::detail {

/// A ThresholdTable that is guarded by one mutex. Thread-safe.
class ConcurrentThresholdTable
{
public:
  explicit ConcurrentThresholdTable(const Clock& clock, ThresholdTableOptions options = {})
    : clock_(clock)
    , table_(std::move(options))
  {
  }

  /// @brief Returns whether the callees would admit a request of @p callerClass; if so, records it.
  [[nodiscard]] bool AdmitRequest(const std::string& callerClass, const RequestContext& context);

  /// @brief Records a call and returns whether @p callee would admit it.
  [[nodiscard]] bool AdmitsCall(const std::string& callerClass,
                                const CalleeClass& callee,
                                const RequestContext& context);

  /// @brief Records a request of @p callerClass that was admitted elsewhere.
  void RecordRequest(const std::string& callerClass);

  /// @brief Records a call from @p callerClass to @p callee.
  void RecordCall(const std::string& callerClass, const CalleeClass& callee);

  /// @brief Sets the threshold of @p callee from the header `Acp-Threshold` of a response; a
  /// malformed header is ignored.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const std::string& header);

  /// @brief Sets the threshold of a callee at the local upstream.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const AdmissionThreshold& threshold);

  /// @brief Returns the strictest threshold among the callees of @p callerClass.
  [[nodiscard]] AdmissionThreshold CombinedThreshold(const std::string& callerClass,
                                                     const std::string& account) const;

  /// @brief Returns whether some callee refuses a part of the requests that have the account and
  /// priority of @p context.
  [[nodiscard]] bool IsOverloaded(const std::string& callerClass,
                                  const RequestContext& context) const;

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  ThresholdTable table_;
};

} // namespace acp::detail
