#include "acaciapulley/limits/rate_authority.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // floor, isfinite
#include <string>    // string, to_string

namespace acp {

namespace {

// A node whose request is waiting asks again well within this time, so it still competes.
constexpr Duration kCompetes = std::chrono::milliseconds(100);

// Idle holders are remembered this long, so that a late duplicate of an ask is recognised.
constexpr Duration kRememberIdle = std::chrono::seconds(30);

// Amounts are whole tokens up to this, which a double represents exactly.
constexpr double kMaxAmount = 1e15;

// Limits of the hint in RetryAfter.
constexpr double kLowestRate = 1e-3;
constexpr double kLongestRetrySeconds = 60;
constexpr Duration kShortestRetry = std::chrono::milliseconds(1);

// Parts of the burst that are left: at or below the first, tokens are scarce; at or above the
// second there are plenty.
constexpr double kScarcePart = 0.5;
constexpr double kPlentyPart = 0.75;

// Leaders that may follow each other within one lease and each grant early; together they stay
// within the tolerance.
constexpr double kEarlyLeaders = 4;

// Absorbs rounding when time is turned into tokens.
constexpr double kRounding = 1e-9;

bool IsAmount(double value)
{
  return std::isfinite(value) && value >= 0 && value <= kMaxAmount;
}

bool IsValid(const TokenAsk& ask)
{
  const bool amounts = IsAmount(ask.received) && IsAmount(ask.spent) && IsAmount(ask.returned) &&
                       IsAmount(ask.needed) && IsAmount(ask.wanted);
  return amounts && ask.spent + ask.returned <= ask.received && ask.spentAge >= Duration::zero();
}

Duration FromSeconds(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RateAuthority::RateAuthority(const RateAuthorityOptions& options)
  : options_(options)
{
}

void RateAuthority::BeginTerm(std::int64_t term,
                              TimePoint now,
                              const std::optional<PreviousTerm>& previous)
{
  term_ = term;
  const Duration fullWait = Scaled(options_.lease, 1 + kClockDrift);
  // An earlier leader that does not know of this term may grant so long after its last
  // confirmation.
  const double bothDrifts = (1 + kClockDrift) / (1 - kClockDrift);
  const Duration shortWait = Scaled(options_.confirmationLimit, bothDrifts);
  isReserveFree_ = previous && previous->term + 1 == term && now - previous->knownSince >= fullWait;
  grantsFrom_ = options_.guards.waitAfterElection ? now + fullWait : now;
  earlyFrom_ = std::min(now + shortWait, grantsFrom_);
  std::erase_if(accounts_, [](const auto& item) { return !item.second.isListed; });
  for (auto& [key, account] : accounts_) {
    account = NewAccount(account.limit, now);
  }
}

double RateAuthority::ReserveOf(const TokenLimit& limit) const
{
  return limit.burst < 2 ? 0 : std::max(1.0, std::floor(options_.reservePart * limit.burst));
}

double RateAuthority::EarlyBurstOf(const TokenLimit& limit) const
{
  const RateTolerance& tolerance = options_.tolerance;
  const double window = std::chrono::duration<double>(tolerance.window).count();
  const double excess = tolerance.part * (limit.rate * window + limit.burst) + tolerance.tokens;
  const double tolerated = std::floor(std::min(excess / kEarlyLeaders, limit.burst));
  return std::max(tolerated, isReserveFree_ ? ReserveOf(limit) : 0.0);
}

RateAuthority::Account RateAuthority::NewAccount(const TokenLimit& limit, TimePoint now) const
{
  // A limit that is new to this term may have been in force under an earlier leader.
  const double earlyBurst = EarlyBurstOf(limit);
  const TimePoint start = std::max(now, earlyBurst > 0 ? earlyFrom_ : grantsFrom_);
  const bool isEarly = start < grantsFrom_;
  const TokenLimit first = isEarly ? TokenLimit{ .rate = limit.rate, .burst = earlyBurst } : limit;
  return { .limit = limit,
           .bucket = TokenBucket(first, start),
           .isEarly = isEarly,
           .holders = {},
           .outstanding = 0,
           .nextSweep = now };
}

void RateAuthority::EndEarlyGrants(Account& account, TimePoint now) const
{
  if (account.isEarly && now >= grantsFrom_) {
    account.bucket.ChangeLimit(account.limit, grantsFrom_);
    account.isEarly = false;
  }
}

TokenLimit RateAuthority::Reduced(const TokenLimit& limit) const
{
  // This host's clock may count up to 1 + kClockDrift seconds in a true second.
  return { .rate = limit.rate / (1 + kClockDrift), .burst = limit.burst };
}

void RateAuthority::SetLimit(const LimitKey& key, const TokenLimit& limit, TimePoint now)
{
  const TokenLimit reduced = Reduced(limit);
  const auto found = accounts_.find(key);
  if (found == accounts_.end()) {
    accounts_.emplace(key, NewAccount(reduced, now));
    return;
  }
  Account& account = found->second;
  EndEarlyGrants(account, now);
  account.isListed = true;
  if (account.limit != reduced) {
    account.limit = reduced;
    const double burst = account.isEarly ? EarlyBurstOf(reduced) : reduced.burst;
    account.bucket.ChangeLimit({ .rate = reduced.rate, .burst = burst }, now);
  }
}

void RateAuthority::RemoveLimit(const LimitKey& key, TimePoint now)
{
  const auto found = accounts_.find(key);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  EndEarlyGrants(account, now);
  account.isListed = false;
  account.limit = { .rate = 0, .burst = 0 };
  account.bucket.ChangeLimit(account.limit, now);
}

LimitsResult<TokenAnswer> RateAuthority::Acquire(const TokenAsk& ask,
                                                 TimePoint confirmedAt,
                                                 TimePoint now)
{
  if (!IsValid(ask)) {
    return Fail(LimitsErrorCode::InvalidAsk, "amounts of ask from " + ask.nodeId);
  }
  const bool confirmed = now - confirmedAt <= options_.confirmationLimit;
  if (!confirmed && options_.guards.boundByConfirmation) {
    return Fail(LimitsErrorCode::NotConfirmed, "leadership not confirmed lately");
  }
  if (ask.term > term_) {
    // The node holds tokens of a later leader; this one must not count them as free.
    return Fail(LimitsErrorCode::NotConfirmed, "a later leader has answered " + ask.nodeId);
  }
  const auto found = accounts_.find(ask.key);
  if (found == accounts_.end() || !found->second.isListed) {
    return Fail(LimitsErrorCode::UnknownLimit, ask.key.account + " at " + ask.key.service);
  }
  Account& account = found->second;
  Expire(account, now);
  if (!account.holders.contains(ask.nodeId) &&
      account.holders.size() >= options_.maxHoldersPerLimit) {
    return Fail(LimitsErrorCode::TooManyHolders, ask.key.account + " at " + ask.key.service);
  }
  SetAsideEarlierStart(account, ask);
  Holder& holder = account.holders[ask.nodeId];
  if (holder.epoch > ask.epoch) {
    return Fail(LimitsErrorCode::StaleAsk, "earlier start of " + ask.nodeId);
  }
  if (holder.epoch == ask.epoch && options_.guards.settleOnce) {
    if (ask.number == holder.lastAnswer.number) {
      return holder.lastAnswer;
    }
    if (ask.number < holder.lastAnswer.number) {
      return Fail(LimitsErrorCode::StaleAsk, "overtaken ask of " + ask.nodeId);
    }
  }
  Settle(account, holder, ask, now);

  TokenAnswer answer{ .term = term_, .number = ask.number };
  const double kept = holder.outstanding;
  answer.granted = Grant(account, ask, kept, now);
  holder.outstanding += answer.granted;
  holder.prefetched = std::max(0.0, holder.outstanding - ask.needed);
  account.outstanding += answer.granted;
  holder.unmet = std::max(0.0, ask.needed - answer.granted);
  holder.lastAsk = now;
  answer.lease = LeaseFrom(confirmedAt, now);
  answer.settleWithin = SettleWithin(account, now);
  if (holder.unmet > 0) {
    answer.retryAfter = RetryAfter(account, now);
    answer.mayBeWithinRate = now < grantsFrom_ || account.bucket.LevelAt(now) >= 1;
  }
  if (holder.outstanding > 0) {
    holder.leaseEnd = now + Scaled(answer.lease, 1 + kClockDrift);
    account.nextSweep = std::min(account.nextSweep, holder.leaseEnd);
  }
  holder.lastAnswer = answer;
  return answer;
}

void RateAuthority::Expire(Account& account, TimePoint now)
{
  EndEarlyGrants(account, now);
  account.bucket.Trim(now - options_.lease);
  if (now < account.nextSweep) {
    return;
  }
  account.nextSweep = now + kRememberIdle;
  for (auto it = account.holders.begin(); it != account.holders.end();) {
    Holder& holder = it->second;
    if (holder.outstanding > 0 && holder.leaseEnd <= now) {
      // Nothing is known of these tokens, so they count as spent at the last possible moment.
      account.bucket.Debit(holder.leaseEnd, holder.outstanding);
      account.outstanding -= holder.outstanding;
      holder.outstanding = 0;
      holder.prefetched = 0;
    }
    if (holder.outstanding <= 0 && holder.lastAsk + kRememberIdle <= now) {
      it = account.holders.erase(it);
      continue;
    }
    const TimePoint next =
      holder.outstanding > 0 ? holder.leaseEnd : holder.lastAsk + kRememberIdle;
    account.nextSweep = std::min(account.nextSweep, next);
    ++it;
  }
}

void RateAuthority::Settle(Account& account,
                           Holder& holder,
                           const TokenAsk& ask,
                           TimePoint now) const
{
  if (holder.epoch != ask.epoch || ask.term != term_) {
    // The first ask of this start in this term. Grants that it does not know of never arrived, and
    // the node ignores their answers from now on.
    account.outstanding -= holder.outstanding;
    holder = Holder{ .epoch = ask.epoch, .spent = ask.term == term_ ? ask.spent : 0 };
    return;
  }
  const double spent = std::clamp(ask.spent - holder.spent, 0.0, holder.outstanding);
  if (spent > 0) {
    // Both clocks may drift: the age is a lower bound only after both margins.
    const double sureAge = (1 - kClockDrift) / (1 + kClockDrift);
    const Duration age =
      options_.creditSpendTime ? Scaled(ask.spentAge, sureAge) : Duration::zero();
    account.bucket.Debit(now - age, spent);
  }
  holder.spent = ask.spent;
  const double kept = ask.received - ask.spent - ask.returned;
  account.outstanding += kept - holder.outstanding;
  holder.outstanding = kept;
}

void RateAuthority::SetAsideEarlierStart(Account& account, const TokenAsk& ask)
{
  const auto found = account.holders.find(ask.nodeId);
  if (found == account.holders.end() || found->second.epoch >= ask.epoch) {
    return;
  }
  if (found->second.outstanding > 0) {
    // The earlier process may be frozen and not dead, so its tokens count until its lease ends.
    const std::string name = ask.nodeId + '\n' + std::to_string(found->second.epoch);
    account.holders.insert_or_assign(name, found->second);
  }
  account.holders.erase(found);
}

Duration RateAuthority::LeaseFrom(TimePoint confirmedAt, TimePoint now) const
{
  if (!options_.guards.boundByConfirmation) {
    return options_.lease;
  }
  // A later leader counts from its election, which is after confirmedAt. This clock may run slow.
  return options_.lease - Scaled(now - confirmedAt, 1 / (1 - kClockDrift));
}

Duration RateAuthority::RetryAfter(const Account& account, TimePoint now) const
{
  const double missing = std::max(1.0 - Level(account, now), 0.0);
  const double rate = std::max(account.bucket.Limit().rate, kLowestRate);
  const Duration untilOne = FromSeconds(std::min(missing / rate, kLongestRetrySeconds));
  const Duration untilGrants = (EarlyBurstOf(account.limit) >= 1 ? earlyFrom_ : grantsFrom_) - now;
  return std::max({ untilOne, untilGrants, kShortestRetry });
}

double RateAuthority::Level(const Account& account, TimePoint now) const
{
  const double level = account.bucket.LevelAt(now);
  return options_.guards.countOutstanding ? level - account.outstanding : level;
}

double RateAuthority::Grantable(const Account& account, TimePoint now) const
{
  const double level = std::floor(Level(account, now) + kRounding);
  const RateGuards& guards = options_.guards;
  if (account.isEarly || !guards.keepReserve || !guards.countOutstanding) {
    return level;
  }
  // The reserve is granted too, but only after the nodes have settled other tokens.
  return std::min(level, account.limit.burst - ReserveOf(account.limit) - account.outstanding);
}

double RateAuthority::Grant(const Account& account,
                            const TokenAsk& ask,
                            double kept,
                            TimePoint now) const
{
  if (now < earlyFrom_) {
    return 0;
  }
  const double level = Grantable(account, now);
  if (level < 1) {
    return 0;
  }
  double others = 0;
  double prefetched = 0;
  for (const auto& [nodeId, holder] : account.holders) {
    if (nodeId == ask.nodeId) {
      continue;
    }
    prefetched += holder.prefetched;
    if (holder.unmet > 0 && holder.lastAsk + kCompetes > now) {
      others += 1;
    }
  }
  const double needed = std::floor(ask.needed);
  const double fairShare = std::max(1.0, std::floor(level / (others + 1)));
  const double forWaiting = std::min({ needed, level, others > 0 ? fairShare : level });
  // Tokens for later requests come only from what the waiting ones of other nodes leave, and all
  // nodes together keep no more in advance than a part of the burst.
  const double allowance =
    std::floor(options_.prefetchPart * account.bucket.Limit().burst) - prefetched - kept;
  const double spare = others > 0 ? 0 : level - forWaiting;
  const double wish = std::floor(ask.wanted) - needed - kept;
  const double inAdvance = std::clamp(std::min(wish, allowance), 0.0, std::floor(spare / 2));
  return forWaiting + inAdvance;
}

Duration RateAuthority::SettleWithin(const Account& account, TimePoint now) const
{
  const TokenLimit& limit = account.bucket.Limit();
  if (limit.rate <= 0 || limit.burst <= 0) {
    return options_.longestSettle;
  }
  const double part =
    std::min(options_.settlePart * limit.burst / limit.rate, kLongestRetrySeconds);
  const Duration scarce =
    std::clamp(FromSeconds(part), options_.shortestSettle, options_.longestSettle);
  // Unreported tokens cost nothing while enough others are left.
  const double left = std::max(Level(account, now), 0.0) / limit.burst;
  const double plenty = std::clamp((left - kScarcePart) / (kPlentyPart - kScarcePart), 0.0, 1.0);
  return scarce + Scaled(options_.longestSettle - scarce, plenty);
}

RateAuthority::Balance RateAuthority::BalanceOf(const LimitKey& key, TimePoint now)
{
  const auto found = accounts_.find(key);
  if (found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  Expire(account, now);
  return { .level = Level(account, now),
           .outstanding = account.outstanding,
           .holders = account.holders.size() };
}

} // namespace acp
