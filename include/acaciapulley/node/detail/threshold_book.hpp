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
class ThresholdBook
{
public:
  explicit ThresholdBook(const Clock& clock, ThresholdTableOptions options = {})
    : clock_(clock)
    , table_(std::move(options))
  {
  }

  /// @brief Records a request of @p ownClass and returns whether the callees would admit it.
  [[nodiscard]] bool AdmitsRequest(const std::string& ownClass, const RequestContext& context);

  /// @brief Records a call and returns whether @p callee would admit it.
  [[nodiscard]] bool AdmitsCall(const std::string& ownClass,
                                const CalleeClass& callee,
                                const RequestContext& context);

  /// @brief Records a request of @p ownClass that was admitted elsewhere.
  void NoteRequest(const std::string& ownClass);

  /// @brief Records a call of @p ownClass that goes on to @p callee.
  void NoteCall(const std::string& ownClass, const CalleeClass& callee);

  /// @brief Takes over the header `Acp-Threshold` of an answer; a malformed one is ignored.
  void Learn(const std::string& ownClass,
             const CalleeClass& callee,
             const std::string& account,
             const std::string& header);

  /// @brief Takes over the threshold of a callee at the local upstream.
  void Learn(const std::string& ownClass,
             const CalleeClass& callee,
             const std::string& account,
             const AdmissionThreshold& threshold);

  /// @brief Returns the strictest threshold among the callees of @p ownClass.
  [[nodiscard]] AdmissionThreshold Combined(const std::string& ownClass,
                                            const std::string& account) const;

  /// @brief Returns whether some callee refuses a part of such requests.
  [[nodiscard]] bool IsOverloaded(const std::string& ownClass, const RequestContext& context) const;

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  ThresholdTable table_;
};

} // namespace acp::detail
