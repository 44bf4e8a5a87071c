#pragma once

/// @file
/// Token bucket that accepts debits for times in the past.

#include <deque> // deque

#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint
#include "acaciapulley/limits/token_messages.hpp" // TokenLimit

namespace acp {

/// A token bucket that starts empty, fills at the rate up to the burst and accepts late debits.
///
/// A late debit is entered at the time of the spend, so that the bucket regains the refill that was
/// lost while it appeared full. If each debit is entered at or after its true time, the level never
/// exceeds that of a bucket debited at the true times. Memory is bounded: the oldest debits are
/// folded into a base level, and a debit for a time before the base is entered at the base.
class TokenBucket
{
public:
  /// @param start time at which the bucket is empty
  TokenBucket(const TokenLimit& limit, TimePoint start);

  /// @brief Changes rate and burst from @p now on; tokens above the new burst are lost.
  void ChangeLimit(const TokenLimit& limit, TimePoint now);

  /// @brief Enters a spend of @p amount at @p moment, which may precede earlier debits.
  void Debit(TimePoint moment, double amount);

  /// @brief Returns the level at @p now, which must not precede any debit. May be negative.
  /// @par Complexity
  /// Linear in the number of stored debits (at most 64).
  [[nodiscard]] double LevelAt(TimePoint now) const;

  /// @brief Folds debits up to @p horizon into the base level; a later debit for that time is
  /// entered at the base.
  void Trim(TimePoint horizon);

  /// @brief Returns the current limit.
  [[nodiscard]] const TokenLimit& Limit() const { return limit_; }

private:
  struct Entry
  {
    TimePoint moment;
    double amount = 0;
  };

  void Fold(double* level, TimePoint* at, TimePoint moment, double amount) const;

  TokenLimit limit_;
  double baseLevel_ = 0;
  TimePoint baseTime_;
  std::deque<Entry> debits_; ///< in ascending order of moment, none before baseTime_
};

} // namespace acp
