#pragma once

/// @file
/// Learnt thresholds, shared by the request threads.

#include <mutex>   // mutex
#include <string>  // string
#include <utility> // move

#include "acaciapulley/admission/threshold_table.hpp" // CalleeClass, ThresholdTable
#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/retries/request_context.hpp"   // RequestContext

namespace acp::detail {

/// A ThresholdTable under one lock. Calls may come from any thread.
class ConcurrentThresholdTable
{
public:
  explicit ConcurrentThresholdTable(const Clock& clock, ThresholdTableOptions options = {})
    : clock_(clock)
    , table_(std::move(options))
  {
  }

  /// @brief Records a request of @p callerClass and returns whether the callees would admit it.
  [[nodiscard]] bool AdmitRequest(const std::string& callerClass, const RequestContext& context);

  /// @brief Records a call and returns whether @p callee would admit it.
  [[nodiscard]] bool AdmitsCall(const std::string& callerClass,
                                const CalleeClass& callee,
                                const RequestContext& context);

  /// @brief Records a request of @p callerClass that was admitted elsewhere.
  void RecordRequest(const std::string& callerClass);

  /// @brief Records a call of @p callerClass that goes on to @p callee.
  void RecordCall(const std::string& callerClass, const CalleeClass& callee);

  /// @brief Takes over the header `Acp-Threshold` of an answer; a malformed one is ignored.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const std::string& header);

  /// @brief Takes over the threshold of a callee at the local upstream.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const AdmissionThreshold& threshold);

  /// @brief Returns the strictest threshold among the callees of @p callerClass.
  [[nodiscard]] AdmissionThreshold CombinedThreshold(const std::string& callerClass,
                                                     const std::string& account) const;

  /// @brief Returns whether some callee refuses a part of such requests.
  [[nodiscard]] bool IsOverloaded(const std::string& callerClass,
                                  const RequestContext& context) const;

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  ThresholdTable table_;
};

} // namespace acp::detail
