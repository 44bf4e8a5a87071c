#include "acaciapulley/limits/rate_authority.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // floor, isfinite
#include <string>    // string, to_string

#include "acaciapulley/core/process_epoch.hpp" // IsFromEarlierProcess

namespace acp {

namespace {

// A node with a waiting request asks again well within this time; until then it is a competitor.
constexpr Duration kContentionWindow = std::chrono::milliseconds(100);

// Idle holders are kept this long, so that late duplicates of an ask are detected.
constexpr Duration kIdleHolderRetention = std::chrono::seconds(30);

// Maximum amount of whole tokens; a double represents it exactly.
constexpr double kMaxAmount = 1e15;

// Bounds of the hint in RetryAfter().
constexpr double kMinRate = 1e-3;
constexpr double kMaxRetrySeconds = 60;
constexpr Duration kMinRetry = std::chrono::milliseconds(1);

// Remaining fraction of the burst: tokens are scarce at or below the first and plentiful at or
// above the second.
constexpr double kScarceFraction = 0.5;
constexpr double kPlentifulFraction = 0.75;

// Number of leaders that may follow each other within one lease and each grant early. Together they
// stay within the tolerance.
constexpr double kMaxEarlyLeaders = 4;

// Absorbs rounding errors when time is converted to tokens.
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
  const Duration fullWait = Scaled(options_.lease, 1 + kMaxClockDrift);
  // An earlier leader that does not know of this term may grant for this long after its last
  // confirmation.
  const double bothDrifts = (1 + kMaxClockDrift) / (1 - kMaxClockDrift);
  const Duration shortWait = Scaled(options_.confirmationLimit, bothDrifts);
  isReserveGrantable_ =
    previous && previous->term + 1 == term && now - previous->knownSince >= fullWait;
  grantsFrom_ = options_.guards.waitAfterElection ? now + fullWait : now;
  earlyGrantsFrom_ = std::min(now + shortWait, grantsFrom_);
  std::erase_if(limits_, [](const auto& item) { return !item.second.isListed; });
  for (auto& [key, state] : limits_) {
    state = NewLimitState(state.limit, now);
  }
}

double RateAuthority::ReserveOf(const TokenLimit& limit) const
{
  return limit.burst < 2 ? 0 : std::max(1.0, std::floor(options_.reserveFraction * limit.burst));
}

double RateAuthority::EarlyBurstOf(const TokenLimit& limit) const
{
  const RateTolerance& tolerance = options_.tolerance;
  const double window = std::chrono::duration<double>(tolerance.window).count();
  const double excess = tolerance.fraction * (limit.rate * window + limit.burst) + tolerance.tokens;
  const double tolerated = std::floor(std::min(excess / kMaxEarlyLeaders, limit.burst));
  return std::max(tolerated, isReserveGrantable_ ? ReserveOf(limit) : 0.0);
}

RateAuthority::LimitState RateAuthority::NewLimitState(const TokenLimit& limit, TimePoint now) const
{
  // A limit that is new in this term may have existed under an earlier leader.
  const double earlyBurst = EarlyBurstOf(limit);
  const TimePoint start = std::max(now, earlyBurst > 0 ? earlyGrantsFrom_ : grantsFrom_);
  const bool isEarly = start < grantsFrom_;
  const TokenLimit first = isEarly ? TokenLimit{ .rate = limit.rate, .burst = earlyBurst } : limit;
  return { .limit = limit,
           .bucket = TokenBucket(first, start),
           .isEarly = isEarly,
           .holders = {},
           .outstanding = 0,
           .nextSweep = now };
}

void RateAuthority::EndEarlyGrants(LimitState& state, TimePoint now) const
{
  if (state.isEarly && now >= grantsFrom_) {
    state.bucket.ChangeLimit(state.limit, grantsFrom_);
    state.isEarly = false;
  }
}

TokenLimit RateAuthority::WithDriftMargin(const TokenLimit& limit) const
{
  // This host's clock may advance up to 1 + kMaxClockDrift seconds per true second.
  return { .rate = limit.rate / (1 + kMaxClockDrift), .burst = limit.burst };
}

void RateAuthority::SetLimit(const LimitKey& key, const TokenLimit& limit, TimePoint now)
{
  const TokenLimit reduced = WithDriftMargin(limit);
  const auto found = limits_.find(key);
  if (found == limits_.end()) {
    limits_.emplace(key, NewLimitState(reduced, now));
    return;
  }
  LimitState& state = found->second;
  EndEarlyGrants(state, now);
  state.isListed = true;
  if (state.limit != reduced) {
    state.limit = reduced;
    const double burst = state.isEarly ? EarlyBurstOf(reduced) : reduced.burst;
    state.bucket.ChangeLimit({ .rate = reduced.rate, .burst = burst }, now);
  }
}

void RateAuthority::RemoveLimit(const LimitKey& key, TimePoint now)
{
  const auto found = limits_.find(key);
  if (found == limits_.end()) {
    return;
  }
  LimitState& state = found->second;
  EndEarlyGrants(state, now);
  state.isListed = false;
  state.limit = { .rate = 0, .burst = 0 };
  state.bucket.ChangeLimit(state.limit, now);
}

LimitsResult<TokenAnswer> RateAuthority::Acquire(const TokenAsk& ask,
                                                 TimePoint confirmedAt,
                                                 TimePoint now)
{
  if (!IsValid(ask)) {
    return Fail(LimitsErrorCode::InvalidAsk, "invalid amounts in the ask from node " + ask.nodeId);
  }
  const bool confirmed = now - confirmedAt <= options_.confirmationLimit;
  if (!confirmed && options_.guards.boundLeasesByConfirmation) {
    return Fail(LimitsErrorCode::NotConfirmed, "leadership was not confirmed recently");
  }
  if (ask.term > term_) {
    // The node holds tokens of a later leader, which this leader must not count as available.
    return Fail(LimitsErrorCode::NotConfirmed,
                "a later leader has already answered node " + ask.nodeId);
  }
  const auto found = limits_.find(ask.key);
  if (found == limits_.end() || !found->second.isListed) {
    return Fail(LimitsErrorCode::UnknownLimit, ask.key.account + " at " + ask.key.service);
  }
  LimitState& state = found->second;
  Expire(state, now);
  if (!state.holders.contains(ask.nodeId) && state.holders.size() >= options_.maxHoldersPerLimit) {
    return Fail(LimitsErrorCode::TooManyHolders, ask.key.account + " at " + ask.key.service);
  }
  DetachEndedProcess(state, ask, now);
  Holder& holder = state.holders[ask.nodeId];
  if (holder.epoch > ask.epoch) {
    return Fail(LimitsErrorCode::StaleAsk,
                "the ask is from an earlier epoch of node " + ask.nodeId);
  }
  if (holder.epoch == ask.epoch && options_.guards.ignoreRepeatedAsks) {
    if (ask.number == holder.lastAnswer.number) {
      return holder.lastAnswer;
    }
    if (ask.number < holder.lastAnswer.number) {
      return Fail(LimitsErrorCode::StaleAsk,
                  "the ask was overtaken by a later one of node " + ask.nodeId);
    }
  }
  Settle(state, holder, ask, now);

  TokenAnswer answer{ .term = term_, .number = ask.number };
  const double kept = holder.outstanding;
  answer.granted = Grant(state, ask, kept, now);
  holder.outstanding += answer.granted;
  holder.prefetched = std::max(0.0, holder.outstanding - ask.needed);
  state.outstanding += answer.granted;
  holder.unmet = std::max(0.0, ask.needed - answer.granted);
  holder.lastAsk = now;
  answer.lease = LeaseFrom(confirmedAt, now);
  answer.settleWithin = SettleWithin(state, now);
  if (holder.unmet > 0) {
    answer.retryAfter = RetryAfter(state, now);
    answer.mayBeWithinRate = now < grantsFrom_ || state.bucket.LevelAt(now) >= 1;
  }
  if (holder.outstanding > 0) {
    holder.leaseEnd = now + Scaled(answer.lease, 1 + kMaxClockDrift);
    state.nextSweep = std::min(state.nextSweep, holder.leaseEnd);
  }
  holder.lastAnswer = answer;
  return answer;
}

void RateAuthority::Expire(LimitState& state, TimePoint now)
{
  EndEarlyGrants(state, now);
  state.bucket.Trim(now - options_.lease);
  if (now < state.nextSweep) {
    return;
  }
  state.nextSweep = now + kIdleHolderRetention;
  for (auto it = state.holders.begin(); it != state.holders.end();) {
    Holder& holder = it->second;
    if (holder.outstanding > 0 && holder.leaseEnd <= now) {
      // The state of these tokens is unknown, so they count as spent at the last possible time.
      state.bucket.Debit(holder.leaseEnd, holder.outstanding);
      state.outstanding -= holder.outstanding;
      holder.outstanding = 0;
      holder.prefetched = 0;
    }
    if (holder.outstanding <= 0 && holder.lastAsk + kIdleHolderRetention <= now) {
      it = state.holders.erase(it);
      continue;
    }
    const TimePoint next =
      holder.outstanding > 0 ? holder.leaseEnd : holder.lastAsk + kIdleHolderRetention;
    state.nextSweep = std::min(state.nextSweep, next);
    ++it;
  }
}

void RateAuthority::Settle(LimitState& state,
                           Holder& holder,
                           const TokenAsk& ask,
                           TimePoint now) const
{
  if (holder.epoch != ask.epoch || ask.term != term_) {
    // First ask of this epoch in this term. Grants that are not in its totals never arrived, and
    // the node ignores their answers from now on.
    state.outstanding -= holder.outstanding;
    holder = Holder{ .epoch = ask.epoch, .spent = ask.term == term_ ? ask.spent : 0 };
    return;
  }
  const double spent = std::clamp(ask.spent - holder.spent, 0.0, holder.outstanding);
  if (spent > 0) {
    // Both clocks may drift: with both margins applied, the age is a lower bound.
    const double sureAge = (1 - kMaxClockDrift) / (1 + kMaxClockDrift);
    const Duration age =
      options_.debitAtSpendTime ? Scaled(ask.spentAge, sureAge) : Duration::zero();
    state.bucket.Debit(now - age, spent);
  }
  holder.spent = ask.spent;
  const double kept = ask.received - ask.spent - ask.returned;
  state.outstanding += kept - holder.outstanding;
  holder.outstanding = kept;
}

void RateAuthority::DetachEndedProcess(LimitState& state, const TokenAsk& ask, TimePoint now)
{
  const auto found = state.holders.find(ask.nodeId);
  if (found == state.holders.end() || found->second.epoch == ask.epoch ||
      IsFromEarlierProcess(ask.epoch, found->second.epoch, now - found->second.lastAsk)) {
    return;
  }
  if (found->second.outstanding > 0) {
    // The earlier process may be frozen instead of dead, so its tokens count until its lease
    // expires.
    const std::string name = ask.nodeId + '\n' + std::to_string(found->second.epoch);
    state.holders.insert_or_assign(name, found->second);
  }
  state.holders.erase(found);
}

Duration RateAuthority::LeaseFrom(TimePoint confirmedAt, TimePoint now) const
{
  if (!options_.guards.boundLeasesByConfirmation) {
    return options_.lease;
  }
  // A later leader counts from its election, which is after confirmedAt. This clock may run slow.
  return options_.lease - Scaled(now - confirmedAt, 1 / (1 - kMaxClockDrift));
}

Duration RateAuthority::RetryAfter(const LimitState& state, TimePoint now) const
{
  const double missing = std::max(1.0 - Level(state, now), 0.0);
  const double rate = std::max(state.bucket.Limit().rate, kMinRate);
  const Duration untilOne = FromSeconds(std::min(missing / rate, kMaxRetrySeconds));
  const Duration untilGrants =
    (EarlyBurstOf(state.limit) >= 1 ? earlyGrantsFrom_ : grantsFrom_) - now;
  return std::max({ untilOne, untilGrants, kMinRetry });
}

double RateAuthority::Level(const LimitState& state, TimePoint now) const
{
  const double level = state.bucket.LevelAt(now);
  return options_.guards.countOutstanding ? level - state.outstanding : level;
}

double RateAuthority::Grantable(const LimitState& state, TimePoint now) const
{
  const double level = std::floor(Level(state, now) + kRounding);
  const RateGuards& guards = options_.guards;
  if (state.isEarly || !guards.keepReserve || !guards.countOutstanding) {
    return level;
  }
  // The reserve is granted as well, but only after the nodes have settled other tokens.
  return std::min(level, state.limit.burst - ReserveOf(state.limit) - state.outstanding);
}

double RateAuthority::Grant(const LimitState& state,
                            const TokenAsk& ask,
                            double kept,
                            TimePoint now) const
{
  if (now < earlyGrantsFrom_) {
    return 0;
  }
  const double level = Grantable(state, now);
  if (level < 1) {
    return 0;
  }
  double competitors = 0;
  double prefetched = 0;
  for (const auto& [nodeId, holder] : state.holders) {
    if (nodeId == ask.nodeId) {
      continue;
    }
    prefetched += holder.prefetched;
    if (holder.unmet > 0 && holder.lastAsk + kContentionWindow > now) {
      competitors += 1;
    }
  }
  const double needed = std::floor(ask.needed);
  const double fairShare = std::max(1.0, std::floor(level / (competitors + 1)));
  const double forWaiting = std::min({ needed, level, competitors > 0 ? fairShare : level });
  // Tokens are prefetched only if no request waits at other nodes, and all nodes together hold at
  // most prefetchFraction of the burst in advance.
  const double allowance =
    std::floor(options_.prefetchFraction * state.bucket.Limit().burst) - prefetched - kept;
  const double spare = competitors > 0 ? 0 : level - forWaiting;
  const double prefetchWanted = std::floor(ask.wanted) - needed - kept;
  const double inAdvance =
    std::clamp(std::min(prefetchWanted, allowance), 0.0, std::floor(spare / 2));
  return forWaiting + inAdvance;
}

Duration RateAuthority::SettleWithin(const LimitState& state, TimePoint now) const
{
  const TokenLimit& limit = state.bucket.Limit();
  if (limit.rate <= 0 || limit.burst <= 0) {
    return options_.maxSettleInterval;
  }
  const double part =
    std::min(options_.settleFraction * limit.burst / limit.rate, kMaxRetrySeconds);
  const Duration scarce =
    std::clamp(FromSeconds(part), options_.minSettleInterval, options_.maxSettleInterval);
  // Late reports cost nothing while enough tokens are left.
  const double left = std::max(Level(state, now), 0.0) / limit.burst;
  const double plenty =
    std::clamp((left - kScarceFraction) / (kPlentifulFraction - kScarceFraction), 0.0, 1.0);
  return scarce + Scaled(options_.maxSettleInterval - scarce, plenty);
}

RateAuthority::Balance RateAuthority::BalanceOf(const LimitKey& key, TimePoint now)
{
  const auto found = limits_.find(key);
  if (found == limits_.end()) {
    return {};
  }
  LimitState& state = found->second;
  Expire(state, now);
  return { .level = Level(state, now),
           .outstanding = state.outstanding,
           .holders = state.holders.size() };
}

} // namespace acp
