#include "acaciapulley/node/detail/load_log.hpp"

#include <chrono>      // floor, milliseconds
#include <string_view> // string_view
#include <utility>     // move

#include <fmt/format.h> // format

namespace acp::detail {

namespace {

constexpr Duration kWriteInterval = std::chrono::seconds(1);
constexpr const char* kAnswered = "answered";
constexpr const char* kUpstreamError = "upstream_error";

using EventCounts = std::map<ConnectionEvent, std::uint64_t>;

std::int64_t Millis(Duration span)
{
  return std::chrono::floor<std::chrono::milliseconds>(span).count();
}

void AppendItem(std::string& list, const std::string& item)
{
  list += list.empty() ? item : "," + item;
}

void AppendCount(std::string& list, std::string_view name, std::uint64_t count)
{
  if (count > 0) {
    AppendItem(list, fmt::format("{}:{}", name, count));
  }
}

/// Appends `NAME:COUNT/MEAN`, with the mean time in milliseconds.
void AppendTimed(std::string& list, std::string_view name, const TimedCount& timed)
{
  if (timed.count > 0) {
    const auto mean = Millis(timed.totalTime) / static_cast<std::int64_t>(timed.count);
    AppendItem(list, fmt::format("{}:{}/{}", name, timed.count, mean));
  }
}

template<typename Key>
TimedCount CountSince(const std::map<Key, TimedCount>& before,
                      const Key& key,
                      const TimedCount& now)
{
  const auto found = before.find(key);
  const TimedCount last = found == before.end() ? TimedCount{} : found->second;
  return { .count = now.count - last.count, .totalTime = now.totalTime - last.totalTime };
}

template<typename Key>
std::uint64_t CountSince(const std::map<Key, std::uint64_t>& before,
                         const Key& key,
                         std::uint64_t now)
{
  const auto found = before.find(key);
  return found == before.end() ? now : now - found->second;
}

std::string FormatCompletionCounts(const std::map<std::string, TimedCount>& ends)
{
  std::string list;
  for (const auto& [name, timed] : ends) {
    AppendTimed(list, name, timed);
  }
  return list;
}

std::string FormatGate(const GateCounts& before, const GateCounts& now)
{
  std::string list;
  AppendTimed(list,
              "started",
              { .count = now.started.count - before.started.count,
                .totalTime = now.started.totalTime - before.started.totalTime });
  for (const auto& [reason, count] : now.refused) {
    AppendCount(list, NameOf(reason), CountSince(before.refused, reason, count));
  }
  return list;
}

std::string FormatRuns(const GateCounts& before, const GateCounts& now)
{
  std::string list;
  for (const auto& [result, timed] : now.finished) {
    AppendTimed(list, NameOf(result), CountSince(before.finished, result, timed));
  }
  return list;
}

std::string FormatUnanswered(const std::map<RequestEnd, std::uint64_t>& ends)
{
  std::string list;
  for (const auto& [end, count] : ends) {
    AppendCount(list, NameOf(end), count);
  }
  return list;
}

EventCounts Snapshot(const ConnectionCounts& counts)
{
  EventCounts read;
  for (const auto& row : NameTable<ConnectionEvent>::kRows) {
    read[row.value] = counts.Of(row.value);
  }
  return read;
}

std::string FormatConnections(const EventCounts& before, const EventCounts& now)
{
  std::string list;
  for (const auto& [event, count] : now) {
    AppendCount(list, NameOf(event), CountSince(before, event, count));
  }
  return list;
}

} // namespace

LoadLog::LoadLog(LoadLogOptions options)
  : options_(std::move(options))
  , writtenAt_(options_.clock->Now())
{
}

void LoadLog::RecordCompleted(const CompletedRequest& completed)
{
  std::string name(NameOf(completed.reason));
  if (completed.status == 0) {
    name = completed.isUpstreamError ? kUpstreamError : kAnswered;
  }
  const std::lock_guard lock(mutex_);
  TimedCount& timed = (completed.account.empty() ? withoutAccount_ : withAccount_)[name];
  ++timed.count;
  timed.totalTime += completed.latency;
}

void LoadLog::RecordEnd(RequestEnd end)
{
  if (end == RequestEnd::Answered) {
    return;
  }
  const std::lock_guard lock(mutex_);
  ++unanswered_[end];
}

void LoadLog::WriteIfDue()
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = options_.clock->Now();
  const Duration span = now - writtenAt_;
  if (span < kWriteInterval) {
    return;
  }
  writtenAt_ = now;
  const GateStats gate = options_.gate();
  if (HasFailures(gate.counts)) {
    WriteLine(gate, span);
  }
  withAccount_.clear();
  withoutAccount_.clear();
  unanswered_.clear();
  previous_ = { .gate = gate.counts,
                .upstreamConnections = Snapshot(*options_.upstreamConnections),
                .peerConnections = Snapshot(*options_.peerConnections) };
}

bool LoadLog::HasFailures(const GateCounts& gate) const
{
  for (const CompletionCounts* ends : { &withAccount_, &withoutAccount_ }) {
    if (ends->size() > ends->count(kAnswered)) {
      return true;
    }
  }
  if (unanswered_.size() > unanswered_.count(RequestEnd::CallerGone)) {
    return true;
  }
  for (const auto& [reason, count] : gate.refused) {
    if (CountSince(previous_.gate.refused, reason, count) > 0) {
      return true;
    }
  }
  for (const auto& [result, timed] : gate.finished) {
    if (result != GateResult::Succeeded &&
        CountSince(previous_.gate.finished, result, timed).count > 0) {
      return true;
    }
  }
  return false;
}

void LoadLog::WriteLine(const GateStats& gate, Duration span)
{
  const auto upstream = Snapshot(*options_.upstreamConnections);
  const auto peers = Snapshot(*options_.peerConnections);
  options_.write(
    { { "span_ms", std::to_string(Millis(span)) },
      { "service", options_.service() },
      { "in_flight", std::to_string(gate.load.inFlight) },
      { "limit", std::to_string(gate.load.limit) },
      { "waiting", std::to_string(gate.queueLength) },
      { "oldest_ms", std::to_string(gate.load.queueAgeMs) },
      { "threshold", FormatThreshold(gate.threshold) },
      { "gate", FormatGate(previous_.gate, gate.counts) },
      { "runs", FormatRuns(previous_.gate, gate.counts) },
      { "with_account", FormatCompletionCounts(withAccount_) },
      { "without_account", FormatCompletionCounts(withoutAccount_) },
      { "unanswered", FormatUnanswered(unanswered_) },
      { "upstream_connections", FormatConnections(previous_.upstreamConnections, upstream) },
      { "peer_connections", FormatConnections(previous_.peerConnections, peers) } });
}

} // namespace acp::detail
