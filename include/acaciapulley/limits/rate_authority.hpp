#pragma once

/// @file
/// The one place that grants rate tokens: part of the control leader.

#include <cstddef>  // size_t
#include <cstdint>  // int64_t
#include <map>      // map
#include <optional> // nullopt, optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint
#include "acaciapulley/limits/limits_error.hpp"   // LimitsResult
#include "acaciapulley/limits/token_bucket.hpp"   // TokenBucket
#include "acaciapulley/limits/token_messages.hpp" // TokenAnswer, TokenAsk, TokenLimit

namespace acp {

/// Rules that keep the rate and burst. Only tests that show what each rule prevents switch one off.
struct RateGuards
{
  bool waitAfterElection = true;         ///< no grant before leases of earlier leaders have ended
  bool ignoreRepeatedAsks = true;        ///< an ask that was answered or overtaken settles nothing
  bool countOutstanding = true;          ///< unsettled tokens stay subtracted from the level
  bool boundLeasesByConfirmation = true; ///< leases end in time after the last confirmed leadership
  bool keepReserve = true; ///< nodes never hold the part that a successor grants early
};

/// How far an account may exceed its limit in the time after a leader change, as a deployment
/// allows it. With the defaults it never does.
struct RateTolerance
{
  double fraction = 0;                       ///< of rate x window + burst
  double tokens = 0;                         ///< beside that part
  Duration window = std::chrono::seconds(5); ///< the span in which an excess counts
};

/// Construction options of a RateAuthority.
struct RateAuthorityOptions
{
  Duration lease = kTokenLease;
  /// No grants when leadership was last confirmed longer ago than this.
  Duration confirmationLimit = std::chrono::milliseconds(500);
  /// Part of the burst, at least one token, that nodes never hold, so that a later leader may grant
  /// it before all earlier leases have ended. Nothing is kept of a burst below 2.
  double reserveFraction = 0.1;
  /// Part of the burst that nodes may hold in advance, all together.
  double prefetchFraction = 0.5;
  /// While tokens are scarce, nodes report within this part of the time that the rate needs to fill
  /// the burst; the interval grows to maxSettleInterval while the level is between 0.5 and 0.75 of
  /// it.
  double settleFraction = 0.1;
  Duration minSettleInterval = std::chrono::milliseconds(10);
  Duration maxSettleInterval = std::chrono::milliseconds(1000);
  /// Enters reported spends at their own time instead of the time of the report.
  bool debitAtSpendTime = true;
  std::size_t maxHoldersPerLimit = 2048;
  /// A part of this is granted before the leases of earlier leaders have ended, also by a leader
  /// that does not know its predecessor.
  RateTolerance tolerance;
  RateGuards guards;
};

/// What a new leader knows of the leader before it.
struct PreviousTerm
{
  std::int64_t term = 0;
  TimePoint knownSince; ///< when this replica first heard of that leader, on its own clock
};

/// Grants tokens to nodes so that for each service and account, in every window of length w, all
/// nodes together admit at most rate x w + burst requests (P6).
///
/// Its invariant is level + outstanding <= burst, where outstanding counts the tokens granted and
/// not yet settled. Time is that of the leader's own monotonic clock. The rate is reduced by
/// kMaxClockDrift, because this clock may run fast. Not thread-safe.
///
/// @par Example
/// @code
/// acp::RateAuthority authority({});
/// authority.BeginTerm(term, clock.Now(), acp::PreviousTerm{ .term = term - 1, .knownSince = since
/// }); authority.SetLimit(key, { .rate = 120, .burst = 120 }, clock.Now()); const auto answer =
/// authority.Acquire(ask, leadershipConfirmedAt, clock.Now());
/// @endcode
class RateAuthority
{
public:
  explicit RateAuthority(const RateAuthorityOptions& options);

  /// @brief Forgets all grants and levels and starts to count for @p term.
  ///
  /// Levels start empty. Full grants begin when every lease of an earlier leader has ended: one
  /// lease length and the drift margin from @p now. The reserve may be granted earlier, as soon as
  /// the previous leader has certainly stopped granting. That needs @p previous to be the term just
  /// before @p term and known for a lease length, so that only its leases can still run. What the
  /// tolerance allows is granted early in any case.
  /// @param term term of the leader that holds this authority, above 0 and above all earlier ones
  /// @param now moment at which the leader was elected
  /// @param previous nothing when the replica did not follow a leader before
  void BeginTerm(std::int64_t term,
                 TimePoint now,
                 const std::optional<PreviousTerm>& previous = std::nullopt);

  /// @brief Puts a limit in force. Lowering holds at once for new grants; raising adds no tokens.
  void SetLimit(const LimitKey& key, const TokenLimit& limit, TimePoint now);

  /// @brief Takes a limit out of force; asks for it are refused.
  ///
  /// What nodes hold of it stays counted, in case the limit returns before their leases end.
  void RemoveLimit(const LimitKey& key, TimePoint now);

  /// @brief Settles what the node reports and grants what it may have.
  /// @param confirmedAt send time of the latest heartbeat round that a quorum answered
  /// @param now moment on the same clock
  /// @return the answer; the same answer again for a resent ask; or UnknownLimit, StaleAsk,
  ///         NotConfirmed, TooManyHolders, InvalidAsk
  /// @par Complexity
  /// Linear in the number of nodes that hold or ask for this limit.
  LimitsResult<TokenAnswer> Acquire(const TokenAsk& ask, TimePoint confirmedAt, TimePoint now);

  /// The parts of the invariant.
  struct Balance
  {
    double level = 0; ///< tokens that may be granted; negative only after a lowered limit
    double outstanding = 0;
    std::size_t holders = 0;
  };

  /// @brief Returns level and outstanding tokens of @p key, for metrics and tests.
  [[nodiscard]] Balance BalanceOf(const LimitKey& key, TimePoint now);

private:
  /// What one node holds of one limit.
  struct Holder
  {
    std::int64_t epoch = 0;
    TokenAnswer lastAnswer;
    double spent = 0; ///< total reported and entered
    double outstanding = 0;
    double prefetched = 0; ///< part of outstanding that no waiting request needed
    TimePoint leaseEnd;
    TimePoint lastAsk;
    double unmet = 0; ///< needed and not granted at the last ask
  };

  struct LimitState
  {
    TokenLimit limit; ///< with the reduced rate
    TokenBucket bucket;
    bool isEarly = false; ///< the bucket's burst is EarlyBurstOf the limit
    std::map<std::string, Holder> holders;
    double outstanding = 0;
    TimePoint nextSweep;  ///< no lease ends before this
    bool isListed = true; ///< false after RemoveLimit
  };

  [[nodiscard]] TokenLimit WithDriftMargin(const TokenLimit& limit) const;
  [[nodiscard]] double ReserveOf(const TokenLimit& limit) const;
  [[nodiscard]] double EarlyBurstOf(const TokenLimit& limit) const;
  [[nodiscard]] LimitState NewLimitState(const TokenLimit& limit, TimePoint now) const;
  void EndEarlyGrants(LimitState& state, TimePoint now) const;
  void Expire(LimitState& state, TimePoint now);
  void Settle(LimitState& state, Holder& holder, const TokenAsk& ask, TimePoint now) const;
  void DetachEarlierEpoch(LimitState& state, const TokenAsk& ask);
  [[nodiscard]] double Level(const LimitState& state, TimePoint now) const;
  [[nodiscard]] double Grantable(const LimitState& state, TimePoint now) const;
  [[nodiscard]] double Grant(const LimitState& state,
                             const TokenAsk& ask,
                             double kept,
                             TimePoint now) const;
  [[nodiscard]] Duration LeaseFrom(TimePoint confirmedAt, TimePoint now) const;
  [[nodiscard]] Duration RetryAfter(const LimitState& state, TimePoint now) const;
  [[nodiscard]] Duration SettleWithin(const LimitState& state, TimePoint now) const;

  RateAuthorityOptions options_;
  std::int64_t term_ = 0;
  bool isReserveGrantable_ = false; ///< no earlier leader can have granted its reserve
  TimePoint earlyGrantsFrom_;       ///< EarlyBurstOf is granted from here on
  TimePoint grantsFrom_;            ///< all leases of earlier leaders have ended
  std::map<LimitKey, LimitState> limits_;
};

} // namespace acp
