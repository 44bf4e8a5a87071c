#include "acaciapulley/record/record_counters.hpp"

#include <functional> // hash
#include <string>     // string
#include <utility>    // move

namespace acp {

namespace {

std::size_t HashOf(const RecordKey& key)
{
  const std::hash<std::string> hash;
  constexpr std::size_t kFactor = 31;
  return (hash(key.service) * kFactor + hash(key.requestClass)) * kFactor + hash(key.account);
}

} // namespace

RecordCounters::RecordCounters(UnixMillis start)
  : countedUntil_(start)
{
}

template<typename Change>
void RecordCounters::Count(const RecordKey& key, const Change& change)
{
  Shard& shard = shards_.at(HashOf(key) % kShards);
  const std::lock_guard lock(shard.mutex);
  const bool isFull = shard.counts.size() >= kMaxKeys / kShards && !shard.counts.contains(key);
  change(shard.counts[isFull ? RecordKey{ .account = kOtherAccount } : key]);
}

void RecordCounters::CountOffered(const RecordKey& key)
{
  Count(key, [](RecordCounts& counts) { ++counts.offered; });
}

void RecordCounters::CountCompleted(const RecordKey& key, Duration latency)
{
  Count(key, [latency](RecordCounts& counts) {
    ++counts.completed;
    counts.latency.Add(latency);
  });
}

void RecordCounters::CountFailed(const RecordKey& key)
{
  Count(key, [](RecordCounts& counts) { ++counts.failed; });
}

void RecordCounters::CountRefused(const RecordKey& key, Reason reason, bool withinRate)
{
  Count(key, [reason, withinRate](RecordCounts& counts) {
    ++counts.refused[reason];
    counts.refusedWithinRate += withinRate ? 1 : 0;
  });
}

NodeReport RecordCounters::CurrentReport(UnixMillis now)
{
  const std::lock_guard lock(reportMutex_);
  if (pending_) {
    return *pending_;
  }
  NodeReport report{ .number = ++lastNumber_, .from = countedUntil_, .to = now };
  for (Shard& shard : shards_) {
    std::map<RecordKey, RecordCounts> counts;
    {
      const std::lock_guard shardLock(shard.mutex);
      counts.swap(shard.counts);
    }
    for (auto& [key, values] : counts) {
      report.rows.push_back({ .key = key, .counts = std::move(values) });
    }
  }
  countedUntil_ = now;
  pending_ = report;
  return report;
}

void RecordCounters::AcknowledgeReport(std::int64_t number)
{
  const std::lock_guard lock(reportMutex_);
  if (pending_ && pending_->number <= number) {
    pending_.reset();
  }
}

} // namespace acp
