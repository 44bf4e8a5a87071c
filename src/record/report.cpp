#include "acaciapulley/record/report.hpp"

#include <algorithm> // max, min, sort
#include <iterator>  // size
#include <map>       // map
#include <utility>   // move

namespace acp {

namespace {

// Spans of the plotted series: the smallest of these that gives at most kMaxPlotPoints points.
constexpr std::int64_t kPlotSpans[] = { 60'000, 600'000, 3'600'000, 86'400'000 };
constexpr std::int64_t kMaxPlotPoints = 1500;

constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.99;

std::int64_t PlotSpan(std::int64_t lengthMillis)
{
  for (const std::int64_t span : kPlotSpans) {
    if (lengthMillis / span <= kMaxPlotPoints) {
      return span;
    }
  }
  return kPlotSpans[std::size(kPlotSpans) - 1];
}

double ServedFraction(const RecordCounts& counts)
{
  const auto found = counts.refused.find(Reason::RateExceeded);
  const std::int64_t rateRefusals = found == counts.refused.end() ? 0 : found->second;
  // Refusals of requests beyond the account's rate do not count against the service.
  const std::int64_t beyondRate =
    std::max<std::int64_t>(rateRefusals - counts.refusedWithinRate, 0);
  const std::int64_t due = counts.offered - beyondRate;
  return due <= 0 ? 1.0 : static_cast<double>(counts.completed) / static_cast<double>(due);
}

std::vector<AccountReport> Accounts(const std::map<std::string, RecordCounts>& byAccount)
{
  std::vector<AccountReport> accounts;
  for (const auto& [account, counts] : byAccount) {
    if (!account.empty()) {
      accounts.push_back(
        { .account = account, .counts = counts, .served = ServedFraction(counts) });
    }
  }
  std::stable_sort(
    accounts.begin(), accounts.end(), [](const AccountReport& left, const AccountReport& right) {
      return left.served < right.served;
    });
  return accounts;
}

std::vector<TimedRow> Totals(const std::vector<TimedRow>& rows, std::int64_t spanMillis)
{
  std::vector<TimedRow> merged = rows;
  for (TimedRow& row : merged) {
    row.key.requestClass.clear();
    row.key.account.clear();
  }
  return MergeRows(merged, spanMillis);
}

ServiceReport BuildService(const std::string& service,
                           const std::vector<TimedRow>& rows,
                           std::int64_t plotSpan)
{
  ServiceReport result{ .service = service };
  std::map<std::string, RecordCounts> byAccount;
  for (const TimedRow& row : rows) {
    result.counts.Merge(row.counts);
    byAccount[row.key.account].Merge(row.counts);
  }
  result.latencyP50 = result.counts.latency.Quantile(kMedianQuantile);
  result.latencyP99 = result.counts.latency.Quantile(kTailQuantile);
  const auto offered = static_cast<double>(std::max<std::int64_t>(result.counts.offered, 1));
  result.refusedWithinRatePart = static_cast<double>(result.counts.refusedWithinRate) / offered;
  result.accounts = Accounts(byAccount);
  result.goodput = Totals(rows, plotSpan);
  return result;
}

} // namespace

Report BuildReport(const std::vector<TimedRow>& rows, const std::vector<ServiceSurge>& surges)
{
  Report report;
  std::map<std::string, std::vector<TimedRow>> byService;
  std::int64_t from = 0;
  std::int64_t to = 0;
  for (const TimedRow& row : rows) {
    const std::int64_t start = CountMillis(row.start);
    from = byService.empty() ? start : std::min(from, start);
    to = std::max(to, start + row.spanMillis);
    byService[row.key.service].push_back(row);
  }
  report.from = ToUnixMillis(from);
  report.to = ToUnixMillis(to);
  for (const auto& [service, serviceRows] : byService) {
    ServiceReport part = BuildService(service, serviceRows, PlotSpan(to - from));
    for (const ServiceSurge& item : surges) {
      if (item.service == service) {
        part.surges.push_back(item.surge);
      }
    }
    report.services.push_back(std::move(part));
  }
  return report;
}

} // namespace acp
