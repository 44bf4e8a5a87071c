#pragma once

/// @file
/// A token bucket that accepts debits for moments in the past.

#include <deque> // deque

#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint
#include "acaciapulley/limits/token_messages.hpp" // TokenLimit

namespace acp {

/// A bucket that starts empty, fills at the rate up to the burst and may be debited late.
///
/// A debit that arrives late is entered at the moment of the spend, so that the bucket regains what
/// it could not take up while it looked full. The level at any moment is never above that of a
/// bucket that was debited at the true moments, provided that each debit is entered at or after its
/// true moment. Memory is bounded: the oldest debits are folded into a base level, and a debit
/// that arrives for a moment before the base counts at the base.
class TokenBucket
{
public:
  /// @param start moment at which the bucket is empty
  TokenBucket(const TokenLimit& limit, TimePoint start);

  /// @brief Changes rate and burst from @p now on; a level above the new burst is lost.
  void ChangeLimit(const TokenLimit& limit, TimePoint now);

  /// @brief Enters a spend of @p amount at @p moment, which may lie before earlier debits.
  void Debit(TimePoint moment, double amount);

  /// @brief Returns the level at @p now, which is at or after all debits. May be negative.
  /// @par Complexity
  /// Linear in the number of debits kept (at most 64).
  [[nodiscard]] double LevelAt(TimePoint now) const;

  /// @brief Forgets debits older than @p horizon; a later debit for that time counts from there.
  void Trim(TimePoint horizon);

  /// @brief Returns the limit in force.
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
  std::deque<Entry> debits_; ///< ascending moments, all at or after baseTime_
};

} // namespace acp
