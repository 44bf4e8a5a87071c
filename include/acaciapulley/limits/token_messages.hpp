#pragma once

/// @file
/// Messages between a node and the rate authority: token asks and their answers.
///
/// Counters in an ask are totals since the first grant of the term to this epoch of the node, so
/// that a resent or overtaken ask cannot settle the same tokens twice.

#include <chrono>  // milliseconds, seconds
#include <compare> // operator<=>
#include <cstdint> // int64_t
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// Lease duration: how long granted tokens may be spent.
inline constexpr Duration kTokenLease = std::chrono::seconds(2);

/// Maximum drift of a host's monotonic clock, as a fraction of the measured time span.
inline constexpr double kMaxClockDrift = 0.01;

/// @brief Returns @p span times @p factor.
[[nodiscard]] constexpr Duration Scaled(Duration span, double factor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

/// Service name of a limit that applies to all services together; no service can have this name.
inline constexpr const char* kAllServices = "*";

/// Identifies a limit.
struct LimitKey
{
  std::string service;
  std::string account;

  auto operator<=>(const LimitKey&) const = default;
};

/// Rate limit that a client account has purchased for a service.
struct TokenLimit
{
  double rate = 0;  ///< tokens per second, at least 0
  double burst = 0; ///< maximum number of tokens at once, at least 0

  bool operator==(const TokenLimit&) const = default;
};

/// A node's report of the tokens it received, and its request for more. Amounts are whole tokens.
struct TokenAsk
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes with each start of the node
  LimitKey key;
  std::int64_t number = 0; ///< increases with each new ask; a resend repeats number and content
  std::int64_t term = 0;   ///< term that the totals refer to, 0 before the first answer
  double received = 0;     ///< total of the grants whose answers arrived
  double spent = 0;        ///< total of the spent tokens
  double returned = 0;     ///< total of the tokens returned unspent
  Duration spentAge{};     ///< time since the latest spend when asking, on the node's clock
  double needed = 0;       ///< tokens for the requests that wait now
  double wanted = 0;       ///< tokens for waiting requests and for those expected soon
};

/// The authority's answer to an ask.
struct TokenAnswer
{
  std::int64_t term = 0;
  std::int64_t number = 0; ///< number of the ask
  double granted = 0;      ///< whole tokens, 0 if none are available
  Duration lease{};        ///< all tokens held expire this long after the ask; 0: not renewed
  Duration retryAfter{};   ///< if granted < needed: no token is likely before this
  Duration settleWithin{}; ///< report spent and idle tokens within this time
  /// If granted < needed: true if the cause is tokens held by other nodes or the wait after an
  /// election, so that the account may be within its rate.
  bool mayBeWithinRate = false;
};

} // namespace acp
