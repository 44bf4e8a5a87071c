#pragma once

/// @file
/// Log lines about single requests, limited in rate.

#include <cstdint> // uint64_t
#include <mutex>   // mutex
#include <string>  // string

#include "acaciapulley/core/clock.hpp"            // Clock
#include "acaciapulley/node/request_pipeline.hpp" // CompletedRequest
#include "acaciapulley/node/state_cache.hpp"      // StateCache
#include "acaciapulley/transport/http_server.hpp" // ServedRequest

namespace acp::detail {

/// Construction options of a RequestLog. What is pointed to outlives it.
struct RequestLogOptions
{
  const Clock* clock = nullptr;
  const StateCache* stateCache = nullptr;
  std::string requestIdField; ///< header field with the caller's request id
};

/// Logs requests that the node refused or failed, and those that ended without a complete response:
/// at most 20 lines a second, 40 at once. The next line has the number of lines left out.
///
/// Calls may come from any thread.
class RequestLog
{
public:
  explicit RequestLog(RequestLogOptions options);

  /// @brief Logs a response of the node itself; those of upstreams are only counted.
  void LogOwnResponse(const CompletedRequest& completed);

  /// @brief Logs a request without a complete response, unless its caller has disconnected.
  void LogUnanswered(const std::string& listener, const ServedRequest& served);

private:
  /// @return whether a line may be written now; otherwise it counts as suppressed
  bool TryAcquire();

  /// @return the number of lines suppressed since the last call
  std::uint64_t TakeSuppressedCount();

  RequestLogOptions options_;
  std::mutex mutex_;
  double available_;
  TimePoint refilledAt_{};
  std::uint64_t suppressed_ = 0;
};

} // namespace acp::detail
