#include "load_stats.hpp"

#include <algorithm>   // sort
#include <string_view> // string_view

#include <fmt/format.h> // format

namespace {

double QuantileMicros(std::vector<acp::Duration>& latencies, double quantile)
{
  if (latencies.empty()) {
    return 0.0;
  }
  std::sort(latencies.begin(), latencies.end());
  const auto last = static_cast<double>(latencies.size() - 1);
  const auto index = static_cast<std::size_t>(last * quantile);
  return std::chrono::duration<double, std::micro>(latencies[index]).count();
}

double Rate(std::int64_t count, acp::Duration span)
{
  const double seconds = std::chrono::duration<double>(span).count();
  return seconds > 0.0 ? static_cast<double>(count) / seconds : 0.0;
}

} // namespace

void LoadStats::Record(const std::string& account, const LoadResult& result, acp::Duration latency)
{
  const std::lock_guard lock(mutex_);
  auto& group = byAccount_[account];
  ++group.countByResult[result.name];
  if (result.isGood) {
    ++group.good;
    group.latencies.push_back(latency);
  }
  mismatched_ += result.isMismatched ? 1 : 0;
}

void LoadStats::CountRetry()
{
  const std::lock_guard lock(mutex_);
  ++retries_;
}

void LoadStats::CountLate()
{
  const std::lock_guard lock(mutex_);
  ++late_;
}

std::int64_t LoadStats::MismatchedCount()
{
  const std::lock_guard lock(mutex_);
  return mismatched_;
}

std::string LoadStats::ToText(acp::Duration span)
{
  const std::lock_guard lock(mutex_);
  std::string text = fmt::format("{:<24} {:<40} {:>9}\n", "account", "result", "count");
  std::vector<acp::Duration> all;
  for (const auto& [account, group] : byAccount_) {
    for (const auto& [result, count] : group.countByResult) {
      text += fmt::format("{:<24} {:<40} {:>9}\n", account, result, count);
    }
    all.insert(all.end(), group.latencies.begin(), group.latencies.end());
  }
  text += fmt::format(
    "\n{:<24} {:>9} {:>12} {:>10} {:>10}\n", "account", "good", "goodput/s", "p50 us", "p99 us");
  for (auto& [account, group] : byAccount_) {
    text += fmt::format("{:<24} {:>9} {:>12.1f} {:>10.0f} {:>10.0f}\n",
                        account,
                        group.good,
                        Rate(group.good, span),
                        QuantileMicros(group.latencies, 0.5),
                        QuantileMicros(group.latencies, 0.99));
  }
  text += fmt::format("{:<24} {:>9} {:>12.1f} {:>10.0f} {:>10.0f}\n",
                      "all",
                      all.size(),
                      Rate(static_cast<std::int64_t>(all.size()), span),
                      QuantileMicros(all, 0.5),
                      QuantileMicros(all, 0.99));
  text +=
    fmt::format("retries {}, sent late {}, mismatched answers {}\n", retries_, late_, mismatched_);
  return text;
}

std::string LoadStats::ToJson(acp::Duration span)
{
  const std::lock_guard lock(mutex_);
  std::string accounts;
  std::vector<acp::Duration> all;
  for (auto& [account, group] : byAccount_) {
    std::string results;
    for (const auto& [result, count] : group.countByResult) {
      results +=
        fmt::format("{}\"{}\":{}", std::string_view(results.empty() ? "" : ","), result, count);
    }
    accounts += fmt::format("{}\"{}\":{{\"good\":{},\"p50_us\":{:.1f},\"p99_us\":{:.1f},"
                            "\"results\":{{{}}}}}",
                            std::string_view(accounts.empty() ? "" : ","),
                            account,
                            group.good,
                            QuantileMicros(group.latencies, 0.5),
                            QuantileMicros(group.latencies, 0.99),
                            results);
    all.insert(all.end(), group.latencies.begin(), group.latencies.end());
  }
  return fmt::format("{{\"seconds\":{:.3f},\"good\":{},\"goodput\":{:.1f},\"p50_us\":{:.1f},"
                     "\"p99_us\":{:.1f},\"retries\":{},\"late\":{},\"mismatched\":{},"
                     "\"accounts\":{{{}}}}}\n",
                     std::chrono::duration<double>(span).count(),
                     all.size(),
                     Rate(static_cast<std::int64_t>(all.size()), span),
                     QuantileMicros(all, 0.5),
                     QuantileMicros(all, 0.99),
                     retries_,
                     late_,
                     mismatched_,
                     accounts);
}
