#include "acaciapulley/limits/token_lease_table.hpp"

#include <algorithm>  // max, min
#include <cmath>      // exp, round
#include <functional> // hash
#include <utility>    // move

namespace acp {

namespace {

// Time constant of the average rate of use.
constexpr double kUseTimeConstantSeconds = 0.5;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

std::size_t HashOf(const LimitKey& key)
{
  const std::hash<std::string> hash;
  constexpr std::size_t kFactor = 31;
  return hash(key.service) * kFactor + hash(key.account);
}

} // namespace

TokenLeaseTable::TokenLeaseTable(const TokenLeaseTableOptions& options)
  : options_(options)
{
}

TokenLeaseTable::Shard& TokenLeaseTable::ShardOf(const LimitKey& key)
{
  return shards_.at(HashOf(key) % kShardCount);
}

const TokenLeaseTable::Shard& TokenLeaseTable::ShardOf(const LimitKey& key) const
{
  return shards_.at(HashOf(key) % kShardCount);
}

ReserveResult TokenLeaseTable::TryReserve(const LimitKey& key, TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[key];
  ExpirePools(entry, now);
  // Tokens of the previous term expire first.
  for (Pool* pool : { &entry.previous, &entry.current }) {
    if (pool->available >= 1) {
      pool->available -= 1;
      pool->reserved += 1;
      RecordUse(entry, now);
      return { .status = ReserveStatus::Reserved, .reservation = { .pool = pool->id } };
    }
  }
  const Duration retryAfter = std::max(entry.refusedUntil - now, Duration::zero());
  const bool isRefused = retryAfter > options_.maxWait;
  return { .status = isRefused ? ReserveStatus::Refused : ReserveStatus::Wait,
           .reservation = {},
           .retryAfter = retryAfter,
           .mayBeWithinRate = entry.mayBeWithinRate };
}

bool TokenLeaseTable::Commit(const LimitKey& key,
                             const TokenReservation& reservation,
                             TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[key];
  ExpirePools(entry, now);
  Pool* pool = FindPool(entry, reservation);
  if (pool == nullptr || pool->reserved < 1) {
    return false;
  }
  pool->reserved -= 1;
  if (pool == &entry.current) {
    if (entry.spent <= entry.reportedSpent) {
      entry.settleAt = std::min(entry.settleAt, now + entry.settleWithin);
    }
    entry.spent += 1;
    entry.lastSpend = now;
  }
  return true;
}

void TokenLeaseTable::Release(const LimitKey& key,
                              const TokenReservation& reservation,
                              TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[key];
  ExpirePools(entry, now);
  Pool* pool = FindPool(entry, reservation);
  if (pool != nullptr && pool->reserved >= 1) {
    pool->reserved -= 1;
    pool->available += 1;
  }
}

void TokenLeaseTable::AddWaiter(const LimitKey& key)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  ++shard.entries[key].waiting;
}

void TokenLeaseTable::RemoveWaiter(const LimitKey& key)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[key];
  entry.waiting = std::max(entry.waiting - 1, 0);
}

std::optional<TokenAsk> TokenLeaseTable::DueAsk(const LimitKey& key, TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[key];
  ExpirePools(entry, now);
  return MakeAsk(key, shard, entry, now);
}

std::vector<TokenAsk> TokenLeaseTable::DueAsks(TimePoint now)
{
  std::vector<TokenAsk> asks;
  for (Shard& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto it = shard.entries.begin(); it != shard.entries.end();) {
      Entry& entry = it->second;
      ExpirePools(entry, now);
      auto ask = MakeAsk(it->first, shard, entry, now);
      const bool isIdle = !entry.pending && entry.waiting == 0 && entry.current.id == 0 &&
                          entry.previous.id == 0 && entry.lastUse + kIdleEntryRetention < now &&
                          entry.refusedUntil + kIdleEntryRetention < now;
      if (ask) {
        asks.push_back(std::move(*ask));
      }
      it = isIdle ? shard.entries.erase(it) : std::next(it);
    }
  }
  return asks;
}

void TokenLeaseTable::OnAnswer(const LimitKey& key, const TokenAnswer& answer, TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) {
    return;
  }
  Entry& entry = found->second;
  ExpirePools(entry, now);
  if (!entry.pending || entry.pending->ask.number != answer.number) {
    return;
  }
  const PendingAsk pending = std::move(*entry.pending);
  entry.pending.reset();
  if (answer.term < entry.term) {
    // Answer of a replaced leader; its successor counts from zero.
    return;
  }
  if (answer.term > entry.term) {
    entry.previous = entry.current;
    entry.current = Pool{};
    entry.term = answer.term;
    entry.received = 0;
    entry.spent = 0;
    entry.returned = 0;
    entry.reportedSpent = 0;
  }
  entry.received += answer.granted;
  if (entry.current.id == 0 && answer.granted > 0) {
    entry.current.id = shard.nextPool++;
  }
  if (entry.current.id != 0) {
    entry.current.available += answer.granted;
    const TimePoint from = options_.leaseFromAsk ? pending.sentAt : now;
    const Duration lease = Scaled(answer.lease, 1 - kMaxClockDrift);
    entry.current.leaseEnd = std::max(entry.current.leaseEnd, from + lease);
  }
  entry.settleWithin = answer.settleWithin;
  entry.settleAt = now + entry.settleWithin;
  entry.nextPrefetch = now + entry.settleWithin / 2;
  const bool isShort = answer.granted < pending.ask.needed;
  entry.mayBeWithinRate = isShort && answer.mayBeWithinRate;
  entry.refusedUntil = isShort ? now + answer.retryAfter : now;
}

void TokenLeaseTable::OnAskFailed(const LimitKey& key, std::int64_t number, TimePoint now)
{
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(key);
  if (found != shard.entries.end() && found->second.pending &&
      found->second.pending->ask.number == number) {
    found->second.pending->expiresAt = now;
  }
}

double TokenLeaseTable::AvailableTokens(const LimitKey& key, TimePoint now) const
{
  const Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(key);
  if (found == shard.entries.end()) {
    return 0;
  }
  double held = 0;
  for (const Pool* pool : { &found->second.previous, &found->second.current }) {
    if (pool->id != 0 && now < pool->leaseEnd) {
      held += pool->available;
    }
  }
  return held;
}

void TokenLeaseTable::ExpirePools(Entry& entry, TimePoint now)
{
  if (entry.previous.id != 0 && now >= entry.previous.leaseEnd) {
    entry.previous = Pool{};
  }
  if (entry.current.id != 0 && now >= entry.current.leaseEnd) {
    entry.returned += entry.current.available + entry.current.reserved;
    entry.current = Pool{};
  }
}

TokenLeaseTable::Pool* TokenLeaseTable::FindPool(Entry& entry, const TokenReservation& reservation)
{
  if (reservation.pool == 0) {
    return nullptr;
  }
  if (entry.current.id == reservation.pool) {
    return &entry.current;
  }
  return entry.previous.id == reservation.pool ? &entry.previous : nullptr;
}

void TokenLeaseTable::RecordUse(Entry& entry, TimePoint now)
{
  const double elapsed = std::max(Seconds(now - entry.lastUse), 0.0);
  entry.usePerSecond =
    entry.usePerSecond * std::exp(-elapsed / kUseTimeConstantSeconds) + 1 / kUseTimeConstantSeconds;
  entry.lastUse = now;
}

double TokenLeaseTable::PrefetchTarget(const Entry& entry, TimePoint now) const
{
  const double elapsed = std::max(Seconds(now - entry.lastUse), 0.0);
  const double use = entry.usePerSecond * std::exp(-elapsed / kUseTimeConstantSeconds);
  const Duration ahead =
    std::min(Scaled(entry.settleWithin, options_.prefetchIntervals), options_.maxPrefetchTime);
  return std::round(use * Seconds(ahead));
}

bool TokenLeaseTable::IsDue(const Entry& entry, TimePoint now) const
{
  if (entry.pending) {
    return now >= entry.pending->expiresAt;
  }
  const double held = entry.current.available + entry.previous.available;
  if (entry.waiting > held && now >= entry.refusedUntil) {
    return true;
  }
  const bool hasReport = entry.spent > entry.reportedSpent || entry.current.available > 0;
  if (hasReport && now >= entry.settleAt) {
    return true;
  }
  return now >= entry.nextPrefetch && now >= entry.refusedUntil &&
         held < PrefetchTarget(entry, now) / 2;
}

std::optional<TokenAsk> TokenLeaseTable::MakeAsk(const LimitKey& key,
                                                 Shard& shard,
                                                 Entry& entry,
                                                 TimePoint now)
{
  if (!IsDue(entry, now)) {
    return std::nullopt;
  }
  const double target = PrefetchTarget(entry, now);
  const double surplus = std::max(entry.current.available - target - entry.waiting, 0.0);
  entry.current.available -= surplus;
  entry.returned += surplus;
  const double needed = std::max(entry.waiting - entry.current.available, 0.0);
  TokenAsk ask{ .nodeId = options_.nodeId,
                .epoch = options_.epoch,
                .key = key,
                .number = shard.nextNumber++,
                .term = entry.term,
                .received = entry.received,
                .spent = entry.spent,
                .returned = entry.returned,
                .spentAge = now - entry.lastSpend,
                .needed = needed,
                .wanted = needed + target };
  if (entry.spent <= entry.reportedSpent) {
    ask.spentAge = Duration::zero();
  }
  entry.reportedSpent = entry.spent;
  entry.pending =
    PendingAsk{ .ask = ask, .sentAt = now, .expiresAt = now + options_.answerTimeout };
  return ask;
}

} // namespace acp
