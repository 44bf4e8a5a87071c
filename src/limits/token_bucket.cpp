#include "acaciapulley/limits/token_bucket.hpp"

#include <algorithm> // max, min, upper_bound
#include <cstddef>   // size_t

namespace acp {

namespace {

// Bounds memory and the cost of LevelAt(). Beyond this the oldest debits are folded into the base,
// and debits for earlier times are entered at the base.
constexpr std::size_t kMaxDebits = 64;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

TokenBucket::TokenBucket(const TokenLimit& limit, TimePoint start)
  : limit_(limit)
  , baseTime_(start)
{
}

void TokenBucket::ChangeLimit(const TokenLimit& limit, TimePoint now)
{
  const TimePoint at = std::max(now, baseTime_);
  baseLevel_ = LevelAt(at);
  baseTime_ = at;
  debits_.clear();
  limit_ = limit;
  baseLevel_ = std::min(baseLevel_, limit_.burst);
}

void TokenBucket::Debit(TimePoint moment, double amount)
{
  const TimePoint at = std::max(moment, baseTime_);
  const auto place =
    std::upper_bound(debits_.begin(), debits_.end(), at, [](TimePoint value, const Entry& entry) {
      return value < entry.moment;
    });
  debits_.insert(place, Entry{ .moment = at, .amount = amount });
  if (debits_.size() > kMaxDebits) {
    Trim(debits_.front().moment);
  }
}

double TokenBucket::LevelAt(TimePoint now) const
{
  double level = baseLevel_;
  TimePoint at = baseTime_;
  for (const Entry& entry : debits_) {
    Fold(&level, &at, entry.moment, entry.amount);
  }
  Fold(&level, &at, now, 0);
  return level;
}

void TokenBucket::Trim(TimePoint horizon)
{
  while (!debits_.empty() && debits_.front().moment <= horizon) {
    Fold(&baseLevel_, &baseTime_, debits_.front().moment, debits_.front().amount);
    debits_.pop_front();
  }
}

void TokenBucket::Fold(double* level, TimePoint* at, TimePoint moment, double amount) const
{
  if (moment > *at) {
    *level = std::min(limit_.burst, *level + limit_.rate * Seconds(moment - *at));
    *at = moment;
  }
  *level -= amount;
}

} // namespace acp
