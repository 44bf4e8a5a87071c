#include "acaciapulley/record/record_collector.hpp"

#include <algorithm> // clamp, max
#include <utility>   // move

namespace acp {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

// A report over a longer interval, as after a long partition, is counted in its last seconds.
constexpr std::int64_t kMaxSecondsPerReport = 60;

} // namespace

std::int64_t RecordCollector::Accept(const std::string& nodeId,
                                     std::int64_t epoch,
                                     const NodeReport& report)
{
  LastReport& last = lastReports_[nodeId];
  if (epoch < last.epoch) {
    return report.number;
  }
  if (epoch > last.epoch) {
    last = { .epoch = epoch, .number = 0 };
  }
  if (report.number <= last.number) {
    return last.number;
  }
  last.number = report.number;
  auto& minute = minutes_[CountMillis(report.to) / kMinuteMillis];
  for (const NodeReportRow& row : report.rows) {
    minute[row.key].Merge(row.counts);
    AddToSeconds(report, row);
  }
  return last.number;
}

std::vector<TimedRow> RecordCollector::TakeFinishedMinutes(UnixMillis now, std::int64_t delayMillis)
{
  const std::int64_t end = (CountMillis(now) - delayMillis) / kMinuteMillis;
  std::vector<TimedRow> rows;
  while (!minutes_.empty() && minutes_.begin()->first < end) {
    const auto first = minutes_.begin();
    for (auto& [key, counts] : first->second) {
      rows.push_back({ .start = ToUnixMillis(first->first * kMinuteMillis),
                       .spanMillis = kMinuteMillis,
                       .key = key,
                       .counts = std::move(counts) });
    }
    minutes_.erase(first);
  }
  return rows;
}

std::vector<ServiceSurge> RecordCollector::TakeFinishedSurges(UnixMillis now)
{
  const std::int64_t settledUntil = CountMillis(now) - kSurgeSettleSeconds * kMillisPerSecond;
  std::vector<ServiceSurge> result;
  for (const auto& [service, series] : GoodputByService()) {
    std::int64_t& takenUntil = surgesTakenUntil_[service];
    for (const Surge& surge : FindSurges(series)) {
      const std::int64_t start = CountMillis(surge.start);
      if (start > takenUntil && CountMillis(surge.triggerEnd) <= settledUntil) {
        result.push_back({ .service = service, .surge = surge });
        takenUntil = start;
      }
    }
  }
  return result;
}

std::vector<TimedRow> RecordCollector::CurrentRows() const
{
  std::vector<TimedRow> rows;
  for (const auto& [minute, counts] : minutes_) {
    for (const auto& [key, values] : counts) {
      rows.push_back({ .start = ToUnixMillis(minute * kMinuteMillis),
                       .spanMillis = kMinuteMillis,
                       .key = key,
                       .counts = values });
    }
  }
  return rows;
}

std::map<std::string, GoodputSeries> RecordCollector::GoodputByService() const
{
  std::map<std::string, GoodputSeries> result;
  for (const auto& [service, seconds] : seconds_) {
    result[service] = { .start = ToUnixMillis(seconds.first * kMillisPerSecond),
                        .seconds = { seconds.counts.begin(), seconds.counts.end() } };
  }
  return result;
}

void RecordCollector::AddToSeconds(const NodeReport& report, const NodeReportRow& row)
{
  // The interval is (from, to]; a report of one second usually overlaps two seconds of the series.
  const std::int64_t to = CountMillis(report.to);
  const std::int64_t from =
    std::clamp(CountMillis(report.from), to - kMaxSecondsPerReport * kMillisPerSecond, to);
  const std::int64_t span = std::max<std::int64_t>(to - from, 1);
  const auto upTo = [&](std::int64_t count, std::int64_t time) {
    return count * (time - from) / span;
  };
  Seconds& seconds = seconds_[row.key.service];
  std::int64_t at = to - span;
  while (at < to) {
    const std::int64_t second = at / kMillisPerSecond;
    const std::int64_t next = std::min((second + 1) * kMillisPerSecond, to);
    SecondCounts* counts = FindOrAddSecond(seconds, second);
    if (counts != nullptr) {
      counts->offered += upTo(row.counts.offered, next) - upTo(row.counts.offered, at);
      counts->completed += upTo(row.counts.completed, next) - upTo(row.counts.completed, at);
    }
    at = next;
  }
}

SecondCounts* RecordCollector::FindOrAddSecond(Seconds& seconds, std::int64_t second)
{
  if (seconds.counts.empty()) {
    seconds.first = second;
  }
  const auto size = static_cast<std::int64_t>(seconds.counts.size());
  if (second >= seconds.first + size + kSecondsKept) {
    // After a gap longer than kSecondsKept no second of the series remains.
    seconds.counts.clear();
    seconds.first = second;
  }
  while (second >= seconds.first + static_cast<std::int64_t>(seconds.counts.size())) {
    seconds.counts.emplace_back();
  }
  while (static_cast<std::int64_t>(seconds.counts.size()) > kSecondsKept) {
    seconds.counts.pop_front();
    ++seconds.first;
  }
  if (second < seconds.first) {
    return nullptr;
  }
  return &seconds.counts[static_cast<std::size_t>(second - seconds.first)];
}

} // namespace acp
