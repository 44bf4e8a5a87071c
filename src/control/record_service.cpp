#include "acaciapulley/control/record_service.hpp"

#include <charconv> // from_chars
#include <limits>   // numeric_limits
#include <sstream>  // istringstream, ostringstream
#include <utility>  // move

#include <Poco/JSON/Object.h>
#include <Poco/URI.h>
#include <fmt/format.h> // format

#include "acaciapulley/core/log.hpp"      // Log
#include "acaciapulley/record/report.hpp" // BuildReport
#include "gen/ControlService.h"

namespace acp {

namespace {

constexpr std::int64_t kHourMillis = 3'600'000;
constexpr Duration kStoreInterval = std::chrono::seconds(60);

std::int64_t HourOf(UnixMillis time)
{
  return CountMillis(time) / kHourMillis * kHourMillis;
}

/// Parsed query string of a report request.
struct ReportQuery
{
  std::string format = "text";
  std::int64_t from = 0;
  std::int64_t to = std::numeric_limits<std::int64_t>::max();
};

bool ReadNumber(const std::string& text, std::int64_t* number)
{
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && rest == end && !text.empty();
}

ControlResult<ReportQuery> ParseQuery(const std::string& text)
{
  ReportQuery query;
  for (const auto& [name, value] : Poco::URI("/?" + text).getQueryParameters()) {
    const bool isFormat =
      name == "format" && (value == "text" || value == "json" || value == "gnuplot");
    const bool isFrom = name == "from" && ReadNumber(value, &query.from);
    const bool isTo = name == "to" && ReadNumber(value, &query.to);
    if (isFormat) {
      query.format = value;
    } else if (!isFrom && !isTo) {
      return Fail(
        ControlErrorCode::InvalidRequest,
        fmt::format(
          "invalid query parameter '{}={}'; expected format=text|json|gnuplot, from=MS or to=MS",
          name,
          value));
    }
  }
  return query;
}

std::string WrapInJson(const std::string& text)
{
  Poco::JSON::Object object;
  object.set("text", text);
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

/// Parses the rows and surges of one stored hour; skips lines that are neither.
void ParseStoredRows(const std::string& lines,
                     std::vector<TimedRow>& rows,
                     std::vector<ServiceSurge>& surges)
{
  std::istringstream in(lines);
  for (std::string line; std::getline(in, line);) {
    const auto row = DeserialiseRow(line);
    if (row) {
      rows.push_back(row.value());
      continue;
    }
    const auto surge = DeserialiseSurge(line);
    if (surge) {
      surges.push_back(surge.value());
    }
  }
}

} // namespace

RecordService::RecordService(const Clock& clock)
  : clock_(clock)
{
}

std::int64_t RecordService::Accept(const wire::SyncRequest& request)
{
  NodeReport report{ .number = request.reportNumber };
  for (const auto& line : request.report) {
    const auto row = DeserialiseRow(line);
    if (!row) {
      Log(LogLevel::Warning,
          "report_row_rejected",
          { { "node", request.nodeId }, { "error", row.error().Describe() } });
      continue;
    }
    report.from = row.value().start;
    report.to = ToUnixMillis(CountMillis(report.from) + row.value().spanMillis);
    report.rows.push_back({ .key = row.value().key, .counts = row.value().counts });
  }
  const std::lock_guard lock(mutex_);
  return collector_.Accept(request.nodeId, request.epoch, report);
}

void RecordService::TakeFinished(UnixMillis now)
{
  for (auto& row : collector_.TakeFinishedMinutes(now)) {
    Hour& hour = hours_[HourOf(row.start)];
    hour.rows.push_back(std::move(row));
    hour.rows = MergeRows(hour.rows, kHourMillis);
    hour.isDirty = true;
  }
  for (const auto& surge : collector_.TakeFinishedSurges(now)) {
    Hour& hour = hours_[HourOf(surge.surge.start)];
    hour.surges.push_back(SerialiseSurge(surge));
    hour.isDirty = true;
  }
}

std::string RecordService::SerialiseHour(const Hour& hour)
{
  std::string lines;
  for (const auto& row : hour.rows) {
    lines += SerialiseRow(row) + "\n";
  }
  for (const auto& surge : hour.surges) {
    lines += surge + "\n";
  }
  return lines;
}

std::optional<RecordToStore> RecordService::Collect(bool wasStored)
{
  const std::lock_guard lock(mutex_);
  if (pendingHour_ && !wasStored) {
    hours_[*pendingHour_].isDirty = true;
  }
  pendingHour_.reset();
  TakeFinished(clock_.WallNow());
  if (lastCollectedAt_ && clock_.Now() - *lastCollectedAt_ < kStoreInterval) {
    return std::nullopt;
  }
  for (auto& [start, hour] : hours_) {
    if (!hour.isDirty) {
      continue;
    }
    hour.isDirty = false;
    pendingHour_ = start;
    lastCollectedAt_ = clock_.Now();
    return RecordToStore{ .hourMs = start, .rows = SerialiseHour(hour) };
  }
  // Reports arrive at most minutes late, so older hours no longer change.
  std::erase_if(hours_, [this](const auto& item) {
    return item.first + 2 * kHourMillis < CountMillis(clock_.WallNow());
  });
  return std::nullopt;
}

ControlResult<std::string> RecordService::RenderReport(const ControlState& state,
                                                       const std::string& query)
{
  const auto parsed = ParseQuery(query);
  if (!parsed) {
    return boost::outcome_v2::failure(parsed.error());
  }
  const auto& reportQuery = parsed.value();
  std::vector<TimedRow> rows;
  std::vector<ServiceSurge> surges;
  for (const auto& stored :
       state.Record(ToUnixMillis(reportQuery.from), ToUnixMillis(reportQuery.to))) {
    ParseStoredRows(stored.rows, rows, surges);
  }
  {
    const std::lock_guard lock(mutex_);
    for (const auto& row : collector_.CurrentRows()) {
      if (CountMillis(row.start) >= reportQuery.from && CountMillis(row.start) < reportQuery.to) {
        rows.push_back(row);
      }
    }
    for (const auto& [service, series] : collector_.GoodputByService()) {
      for (const auto& surge : FindSurges(series)) {
        surges.push_back({ service, surge });
      }
    }
  }
  const Report report = BuildReport(rows, surges);
  if (reportQuery.format == "json") {
    return ReportJson(report);
  }
  return WrapInJson(reportQuery.format == "text" ? ReportText(report) : ReportGnuplot(report));
}

} // namespace acp
