#pragma once

/// @file
/// Learnt thresholds, shared by the request threads.

#include <mutex>  // mutex
#include <string> // string

#include "acaciapulley/admission/threshold_table.hpp" // CalleeClass, ThresholdTable
#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/retries/request_context.hpp"   // RequestContext

namespace acp::detail {

/// A ThresholdTable under one lock. Calls may come from any thread.
class ThresholdBook
{
public:
  explicit ThresholdBook(const Clock& clock)
    : clock_(clock)
  {
  }

  /// @brief Records a request of @p ownClass and returns whether the callees would admit it.
  [[nodiscard]] bool AdmitsRequest(const std::string& ownClass, const RequestContext& context);

  /// @brief Records a call and returns whether @p callee would admit it.
  [[nodiscard]] bool AdmitsCall(const std::string& ownClass,
                                const CalleeClass& callee,
                                const RequestContext& context);

  /// @brief Records that a caller's request of @p ownClass goes on to a peer, the callee.
  void NoteForwarded(const std::string& ownClass, const CalleeClass& callee);

  /// @brief Takes over the header `Acp-Threshold` of an answer; a malformed one is ignored.
  void Learn(const std::string& ownClass,
             const CalleeClass& callee,
             const std::string& account,
             const std::string& header);

  /// @brief Returns the strictest threshold among the callees of @p ownClass.
  [[nodiscard]] AdmissionThreshold Combined(const std::string& ownClass,
                                            const std::string& account) const;

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  ThresholdTable table_;
};

} // namespace acp::detail
