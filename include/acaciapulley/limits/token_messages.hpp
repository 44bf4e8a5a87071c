#pragma once

/// @file
/// What a node asks the rate authority, and what it answers.
///
/// Counters in an ask are totals since the term's first grant to this start of the node, so that a
/// resend or an overtaken ask cannot settle the same tokens twice.

#include <chrono>  // milliseconds, seconds
#include <compare> // operator<=>
#include <cstdint> // int64_t
#include <string>  // string

#include "acaciapulley/core/clock.hpp" // Duration

namespace acp {

/// How long granted tokens may be spent.
inline constexpr Duration kTokenLease = std::chrono::seconds(2);

/// Largest deviation of a host's monotonic clock from true time, as a part of the span measured.
inline constexpr double kMaxClockDrift = 0.01;

/// @brief Returns @p span times @p factor.
[[nodiscard]] constexpr Duration Scaled(Duration span, double factor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

/// Service of a limit that counts over all services together; no service can have this name.
inline constexpr const char* kAllServices = "*";

/// What tokens are for.
struct LimitKey
{
  std::string service;
  std::string account;

  auto operator<=>(const LimitKey&) const = default;
};

/// What a client account bought from a service.
struct TokenLimit
{
  double rate = 0;  ///< tokens per second, at least 0
  double burst = 0; ///< largest number of tokens at once, at least 0

  bool operator==(const TokenLimit&) const = default;
};

/// A node's report of the tokens it got, and its wish for more. Amounts are whole tokens.
struct TokenAsk
{
  std::string nodeId;
  std::int64_t epoch = 0; ///< changes on each start of the node
  LimitKey key;
  std::int64_t number = 0; ///< grows by one with each new ask; a resend repeats number and content
  std::int64_t term = 0;   ///< leader's term that the totals refer to, 0 before the first answer
  double received = 0;     ///< total of grants whose answers arrived
  double spent = 0;        ///< total spent
  double returned = 0;     ///< total given back unspent
  Duration spentAge{};     ///< time since the latest spend, on the node's clock, when asking
  double needed = 0;       ///< tokens for requests that wait now
  double wanted = 0;       ///< tokens for requests that wait and for those expected soon
};

/// The authority's answer.
struct TokenAnswer
{
  std::int64_t term = 0;
  std::int64_t number = 0; ///< number of the ask
  double granted = 0;      ///< whole tokens, 0 when none are to be had
  Duration lease{};        ///< all tokens held end this long after the ask; 0: nothing renewed
  Duration retryAfter{};   ///< when granted < needed: a token is unlikely before this
  Duration settleWithin{}; ///< report spent and idle tokens within this time
  /// When granted < needed: tokens that others hold, or the wait after an election, caused it, so
  /// the account may have been within its rate.
  bool mayBeWithinRate = false;
};

} // namespace acp
