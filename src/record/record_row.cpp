#include "acaciapulley/record/record_row.hpp"

#include <charconv>     // from_chars
#include <cstddef>      // size_t
#include <optional>     // optional
#include <string_view>  // string_view
#include <system_error> // errc
#include <utility>      // pair

#include "acaciapulley/core/names.hpp" // FromName, NameOf

namespace acp {

namespace {

constexpr std::string_view kRowTag = "row1";
constexpr std::size_t kFields = 12;

std::vector<std::string_view> Split(std::string_view text, char separator)
{
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return parts;
    }
    text.remove_prefix(end + 1);
  }
}

std::optional<std::int64_t> Number(std::string_view text)
{
  std::int64_t value = 0;
  const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool isWhole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
  return isWhole ? std::optional(value) : std::nullopt;
}

/// Parses `name=count,...` and passes each pair to @p take, which returns whether it is valid.
template<typename Take>
bool ReadPairs(std::string_view text, const Take& take)
{
  if (text.empty()) {
    return true;
  }
  for (const std::string_view pair : Split(text, ',')) {
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      return false;
    }
    const auto count = Number(pair.substr(equals + 1));
    if (!count || !take(pair.substr(0, equals), *count)) {
      return false;
    }
  }
  return true;
}

bool ReadNumbers(const std::vector<std::string_view>& fields, TimedRow& row)
{
  const auto start = Number(fields[1]);
  const auto span = Number(fields[2]);
  const auto offered = Number(fields[6]);
  const auto completed = Number(fields[7]);
  const auto failed = Number(fields[8]);
  const auto withinRate = Number(fields[9]);
  if (!start || !span || !offered || !completed || !failed || !withinRate) {
    return false;
  }
  row.start = ToUnixMillis(*start);
  row.spanMillis = *span;
  row.counts.offered = *offered;
  row.counts.completed = *completed;
  row.counts.failed = *failed;
  row.counts.refusedWithinRate = *withinRate;
  return true;
}

} // namespace

void RecordCounts::Merge(const RecordCounts& other)
{
  offered += other.offered;
  completed += other.completed;
  failed += other.failed;
  refusedWithinRate += other.refusedWithinRate;
  for (const auto& [reason, count] : other.refused) {
    refused[reason] += count;
  }
  latency.Merge(other.latency);
}

std::int64_t RecordCounts::Refused() const
{
  std::int64_t sum = 0;
  for (const auto& [reason, count] : refused) {
    sum += count;
  }
  return sum;
}

std::string SerialiseRow(const TimedRow& row)
{
  std::string line(kRowTag);
  const auto add = [&line](std::string_view field) {
    line += '\t';
    line += field;
  };
  add(std::to_string(CountMillis(row.start)));
  add(std::to_string(row.spanMillis));
  add(row.key.service);
  add(row.key.requestClass);
  add(row.key.account);
  const RecordCounts& counts = row.counts;
  for (const std::int64_t count :
       { counts.offered, counts.completed, counts.failed, counts.refusedWithinRate }) {
    add(std::to_string(count));
  }
  std::string pairs;
  const auto addPair = [&pairs](std::string_view name, std::int64_t count) {
    if (count != 0) {
      pairs += pairs.empty() ? "" : ",";
      pairs += name;
      pairs += '=';
      pairs += std::to_string(count);
    }
  };
  for (const auto& [reason, count] : counts.refused) {
    addPair(NameOf(reason), count);
  }
  add(pairs);
  pairs.clear();
  for (std::size_t i = 0; i < LatencyHistogram::kBuckets; ++i) {
    addPair(std::to_string(i), counts.latency.Counts().at(i));
  }
  add(pairs);
  return line;
}

RecordResult<TimedRow> DeserialiseRow(const std::string& line)
{
  const std::vector<std::string_view> fields = Split(line, '\t');
  if (fields.size() != kFields || fields[0] != kRowTag) {
    return Fail(RecordErrorCode::MalformedRow, "not a row in the format of this version");
  }
  TimedRow row;
  if (!ReadNumbers(fields, row)) {
    return Fail(RecordErrorCode::MalformedRow, "a count is not a number");
  }
  row.key = { .service = std::string(fields[3]),
              .requestClass = std::string(fields[4]),
              .account = std::string(fields[5]) };
  const bool hasReasons = ReadPairs(fields[10], [&row](std::string_view name, std::int64_t count) {
    const auto reason = FromName<Reason>(name);
    if (reason) {
      row.counts.refused[*reason] = count;
    }
    return reason.has_value();
  });
  const bool hasLatencies =
    ReadPairs(fields[11], [&row](std::string_view name, std::int64_t count) {
      const auto bucket = Number(name);
      const auto buckets = static_cast<std::int64_t>(LatencyHistogram::kBuckets);
      if (!bucket || *bucket < 0 || *bucket >= buckets) {
        return false;
      }
      row.counts.latency.AddToBucket(static_cast<std::size_t>(*bucket), count);
      return true;
    });
  if (!hasReasons || !hasLatencies) {
    return Fail(RecordErrorCode::MalformedRow, "unknown reason or latency bucket");
  }
  return row;
}

std::vector<TimedRow> MergeRows(const std::vector<TimedRow>& rows, std::int64_t spanMillis)
{
  std::map<std::pair<std::int64_t, RecordKey>, RecordCounts> merged;
  for (const TimedRow& row : rows) {
    const std::int64_t start = CountMillis(row.start);
    merged[{ start - start % spanMillis, row.key }].Merge(row.counts);
  }
  std::vector<TimedRow> result;
  result.reserve(merged.size());
  for (auto& [place, counts] : merged) {
    result.push_back({ .start = ToUnixMillis(place.first),
                       .spanMillis = spanMillis,
                       .key = place.second,
                       .counts = std::move(counts) });
  }
  return result;
}

} // namespace acp
