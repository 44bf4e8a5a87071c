#pragma once

/// @file
/// Results of operators' changes by request id, so that a resend gets the first result.

#include <compare> // strong_ordering
#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/control/control_error.hpp" // ControlResult
#include "acaciapulley/core/clock.hpp"            // UnixMillis

namespace acp {

/// How long a request id is remembered.
inline constexpr std::chrono::milliseconds kRequestRetention = std::chrono::hours(24);

/// Most request ids that are remembered; 40 times the changes of a day.
inline constexpr std::size_t kMaxRequests = 20'000;

/// Who asked for a change, and under which id.
struct RequestOrigin
{
  std::string operatorName;
  std::string requestId;

  auto operator<=>(const RequestOrigin&) const = default;
};

/// A request that was answered.
struct AnsweredRequest
{
  RequestOrigin origin;
  UnixMillis time{};
  std::string fingerprint; ///< digest of what was asked for
  std::string reply;       ///< encoded reply

  bool operator==(const AnsweredRequest&) const = default;
};

/// Answered requests, bounded by age. Its rule: within kRequestRetention a request id has one
/// result; a request id is never dropped to make room.
class OperatorRequestStore
{
public:
  /// @brief Looks a request up.
  /// @return the answered request, or nullptr when it is new; RequestIdReused when the id was used
  /// for something else, TooManyRequests when there is no room for a new one
  ControlResult<const AnsweredRequest*> Find(const RequestOrigin& origin,
                                             const std::string& fingerprint) const;

  /// @brief Remembers a result.
  void Record(AnsweredRequest request);

  /// @brief Drops requests older than kRequestRetention.
  /// @par Complexity
  /// Logarithmic, plus the requests that are dropped; it is called for each entry of the log.
  void Expire(UnixMillis now);

  /// @brief Returns all requests ordered by origin.
  [[nodiscard]] std::vector<AnsweredRequest> All() const;

  /// @brief Replaces all.
  void Restore(const std::vector<AnsweredRequest>& requests);

private:
  std::map<RequestOrigin, AnsweredRequest> byOrigin_;
  std::multimap<std::int64_t, RequestOrigin> byTime_;
};

} // namespace acp
