#pragma once

/// @file
/// Grants rate tokens; runs at the control leader only.

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

/// Checks that enforce rate and burst. Disabled only by tests that show what each check prevents.
struct RateGuards
{
  bool waitAfterElection = true;  ///< no grants before the leases of earlier leaders have expired
  bool ignoreRepeatedAsks = true; ///< an answered or overtaken ask settles no tokens
  bool countOutstanding = true;   ///< unsettled tokens are subtracted from the level
  bool boundLeasesByConfirmation = true; ///< leases count from the last confirmation of leadership
  bool keepReserve = true; ///< nodes never hold the reserve that a successor grants early
};

/// Configured excess over its limit that an account is allowed after a leader change. The defaults
/// allow none.
struct RateTolerance
{
  double fraction = 0;                       ///< fraction of rate x window + burst
  double tokens = 0;                         ///< in addition to that fraction
  Duration window = std::chrono::seconds(5); ///< time span over which the excess is measured
};

/// Construction options of a RateAuthority.
struct RateAuthorityOptions
{
  Duration lease = kTokenLease;
  /// Nothing is granted if leadership was last confirmed longer ago than this.
  Duration confirmationLimit = std::chrono::milliseconds(500);
  /// Fraction of the burst, at least one token, that nodes never hold, so that a later leader can
  /// grant it before all earlier leases have expired. A burst below 2 has no reserve.
  double reserveFraction = 0.1;
  /// Fraction of the burst that all nodes together may hold in advance.
  double prefetchFraction = 0.5;
  /// While tokens are scarce, nodes report within this fraction of the time in which the rate fills
  /// the burst. The interval grows to maxSettleInterval as the level rises from 0.5 to 0.75 of the
  /// burst.
  double settleFraction = 0.1;
  Duration minSettleInterval = std::chrono::milliseconds(10);
  Duration maxSettleInterval = std::chrono::milliseconds(1000);
  /// Debits reported spends at the time of the spend instead of the time of the report.
  bool debitAtSpendTime = true;
  std::size_t maxHoldersPerLimit = 2048;
  /// A fraction of this excess is granted before the leases of earlier leaders have expired, even
  /// by a leader that does not know its predecessor.
  RateTolerance tolerance;
  RateGuards guards;
};

/// What a new leader knows about the previous leader.
struct PreviousTerm
{
  std::int64_t term = 0;
  TimePoint knownSince; ///< when this replica first heard of that leader, on its local clock
};

/// Grants tokens to nodes so that for each service and account, in every window of length w, all
/// nodes together admit at most rate x w + burst requests (property P6).
///
/// Invariant: level + outstanding <= burst, where outstanding counts the tokens that are granted
/// and not yet settled. All times are on the leader's monotonic clock. The rate is reduced by
/// kMaxClockDrift because this clock may run fast. Not thread-safe.
///
/// @par Example
/// @code
/// acp::RateAuthority authority({});
/// const acp::PreviousTerm previous{ .term = term - 1, .knownSince = since };
/// authority.BeginTerm(term, clock.Now(), previous);
/// authority.SetLimit(key, { .rate = 120, .burst = 120 }, clock.Now());
/// const auto answer = authority.Acquire(ask, leadershipConfirmedAt, clock.Now());
/// @endcode
class RateAuthority
{
public:
  explicit RateAuthority(const RateAuthorityOptions& options);

  /// @brief Resets all grants and levels and begins @p term.
  ///
  /// Levels start empty. Full grants begin when all leases of earlier leaders have expired, one
  /// lease duration plus the drift margin after @p now. The reserve may be granted earlier, as soon
  /// as the previous leader has certainly stopped granting. This requires that @p previous is the
  /// term directly before @p term and has been known for a lease duration, so that only its leases
  /// can still be valid. What the tolerance allows is granted early in any case.
  /// @param term term of the leader, above 0 and above all earlier terms
  /// @param now time at which the leader was elected
  /// @param previous nothing if the replica has not followed a leader before
  void BeginTerm(std::int64_t term,
                 TimePoint now,
                 const std::optional<PreviousTerm>& previous = std::nullopt);

  /// @brief Sets a limit. A lower limit takes effect immediately for new grants; a higher limit
  /// adds no tokens.
  void SetLimit(const LimitKey& key, const TokenLimit& limit, TimePoint now);

  /// @brief Removes a limit; later asks for it are rejected.
  ///
  /// Tokens held by nodes stay counted in case the limit is set again before their leases expire.
  void RemoveLimit(const LimitKey& key, TimePoint now);

  /// @brief Settles the tokens that the node reports and grants it new ones.
  /// @param confirmedAt send time of the latest heartbeat round that a quorum answered
  /// @param now current time on the same clock
  /// @return the answer, which is the same again for a resent ask; or UnknownLimit, StaleAsk,
  ///         NotConfirmed, TooManyHolders, InvalidAsk
  /// @par Complexity
  /// Linear in the number of nodes that hold tokens of this limit or ask for them.
  LimitsResult<TokenAnswer> Acquire(const TokenAsk& ask, TimePoint confirmedAt, TimePoint now);

  /// Terms of the invariant.
  struct Balance
  {
    double level = 0; ///< tokens available for grants; negative only after a limit was lowered
    double outstanding = 0;
    std::size_t holders = 0;
  };

  /// @brief Returns the level and the outstanding tokens of @p key, for metrics and tests.
  [[nodiscard]] Balance BalanceOf(const LimitKey& key, TimePoint now);

private:
  /// Tokens of one limit at one node.
  struct Holder
  {
    std::int64_t epoch = 0;
    TokenAnswer lastAnswer;
    double spent = 0; ///< total that has been reported and debited
    double outstanding = 0;
    double prefetched = 0; ///< tokens in outstanding that no waiting request needed
    TimePoint leaseEnd;
    TimePoint lastAsk;
    double unmet = 0; ///< tokens needed but not granted at the last ask
  };

  struct LimitState
  {
    TokenLimit limit; ///< with the rate reduced by the drift margin
    TokenBucket bucket;
    bool isEarly = false; ///< whether the burst of the bucket is EarlyBurstOf(limit)
    std::map<std::string, Holder> holders;
    double outstanding = 0;
    TimePoint nextSweep;  ///< no lease expires before this
    bool isListed = true; ///< false after RemoveLimit()
  };

  [[nodiscard]] TokenLimit WithDriftMargin(const TokenLimit& limit) const;
  [[nodiscard]] double ReserveOf(const TokenLimit& limit) const;
  [[nodiscard]] double EarlyBurstOf(const TokenLimit& limit) const;
  [[nodiscard]] LimitState NewLimitState(const TokenLimit& limit, TimePoint now) const;
  void EndEarlyGrants(LimitState& state, TimePoint now) const;
  void Expire(LimitState& state, TimePoint now);
  void Settle(LimitState& state, Holder& holder, const TokenAsk& ask, TimePoint now) const;
  void DetachEndedProcess(LimitState& state, const TokenAsk& ask, TimePoint now);
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
  TimePoint earlyGrantsFrom_;       ///< EarlyBurstOf(limit) is granted from this time
  TimePoint grantsFrom_;            ///< all leases of earlier leaders have expired by this time
  std::map<LimitKey, LimitState> limits_;
};

} // namespace acp
