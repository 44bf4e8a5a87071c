#pragma once

/// @file
/// Results of operator requests by request id, so that a resent request gets its first result.

#include <compare> // strong_ordering
#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult
#include "acaciapulley/core/clock.hpp"            // UnixMillis

namespace acp {

/// How long the result of a request is retained.
inline constexpr std::chrono::milliseconds kRequestRetention = std::chrono::hours(24);

/// Maximum number of retained request ids; 40 times the number of changes per day.
inline constexpr std::size_t kMaxRequests = 20'000;

/// Operator and request id of a change.
struct RequestOrigin
{
  std::string operatorName;
  std::string requestId;

  auto operator<=>(const RequestOrigin&) const = default;
};

/// A completed request with its result.
struct AnsweredRequest
{
  RequestOrigin origin;
  UnixMillis time{};
  std::string fingerprint; ///< digest of the requested change
  std::string reply;       ///< encoded reply

  bool operator==(const AnsweredRequest&) const = default;
};

/// Answered requests, bounded by age. Within kRequestRetention a request id has exactly one result;
/// no request id is evicted early, new requests are refused instead.
class OperatorRequestStore
{
public:
  /// @brief Finds the result of a request.
  /// @return the answered request, or nullptr if it is new; RequestIdReused if the id was used for
  /// a different change; TooManyRequests if the store is full
  ControlResult<const AnsweredRequest*> Find(const RequestOrigin& origin,
                                             const std::string& fingerprint) const;

  /// @brief Records the result of a request.
  void Record(AnsweredRequest request);

  /// @brief Removes requests older than kRequestRetention.
  /// @par Complexity
  /// Constant, plus logarithmic for each removed request; it is called for each log entry.
  void Expire(UnixMillis now);

  /// @brief Returns all requests ordered by origin.
  [[nodiscard]] std::vector<AnsweredRequest> All() const;

  /// @brief Replaces the contents, as part of restoring a snapshot.
  void Restore(const std::vector<AnsweredRequest>& requests);

private:
  std::map<RequestOrigin, AnsweredRequest> byOrigin_;
  std::multimap<std::int64_t, RequestOrigin> byTime_;
};

} // namespace acp
