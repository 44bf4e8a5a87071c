#include <algorithm> // min
#include <iterator>  // back_inserter
#include <string>    // string, to_string

#include <fmt/format.h> // format_to

#include "acaciapulley/core/names.hpp"    // NameOf
#include "acaciapulley/record/report.hpp" // Report

namespace acp {

namespace {

constexpr double kPercent = 100;
constexpr double kMillisPerSecond = 1000;

// The text lists only the worst-served accounts; JSON lists all.
constexpr std::size_t kAccountsInText = 5;

double Millis(Duration span)
{
  return std::chrono::duration<double, std::milli>(span).count();
}

/// Quotes @p text for JSON.
std::string Quoted(const std::string& text)
{
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (static_cast<unsigned char>(c) < 0x20U) {
      fmt::format_to(std::back_inserter(quoted), "\\u{:04x}", static_cast<int>(c));
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

/// Appends the items, written by @p write, separated by commas.
template<typename Items, typename Write>
void AddList(std::string& out, const Items& items, const Write& write)
{
  bool isFirst = true;
  for (const auto& item : items) {
    out += isFirst ? "" : ",";
    isFirst = false;
    write(item);
  }
}

void AddCounts(std::string& out, const RecordCounts& counts)
{
  fmt::format_to(std::back_inserter(out),
                 "\"offered\":{},\"completed\":{},\"failed\":{},\"refusedWithinRate\":{},"
                 "\"refused\":{{",
                 counts.offered,
                 counts.completed,
                 counts.failed,
                 counts.refusedWithinRate);
  AddList(out, counts.refused, [&out](const auto& item) {
    fmt::format_to(std::back_inserter(out), "\"{}\":{}", NameOf(item.first), item.second);
  });
  out += '}';
}

void AddSurge(std::string& out, const Surge& surge)
{
  fmt::format_to(std::back_inserter(out),
                 "{{\"start\":{},\"triggerEnd\":{},\"recoveryMillis\":{},\"offeredBefore\":{:.1f},"
                 "\"goodputBefore\":{:.1f},\"highestOffered\":{:.0f},\"lowestGoodput\":{:.0f}}}",
                 CountMillis(surge.start),
                 CountMillis(surge.triggerEnd),
                 surge.recoveryMillis ? std::to_string(*surge.recoveryMillis) : "null",
                 surge.offeredBefore,
                 surge.goodputBefore,
                 surge.highestOffered,
                 surge.lowestGoodput);
}

void AddService(std::string& out, const ServiceReport& service)
{
  out += "{\"service\":" + Quoted(service.service) + ',';
  AddCounts(out, service.counts);
  fmt::format_to(
    std::back_inserter(out),
    ",\"latencyP50Millis\":{},\"latencyP99Millis\":{},\"refusedWithinRatePart\":{:.6f},"
    "\"accounts\":[",
    Millis(service.latencyP50),
    Millis(service.latencyP99),
    service.refusedWithinRatePart);
  AddList(out, service.accounts, [&out](const AccountReport& account) {
    out += "{\"account\":" + Quoted(account.account) + ',';
    AddCounts(out, account.counts);
    fmt::format_to(std::back_inserter(out), ",\"served\":{:.4f}}}", account.served);
  });
  out += "],\"surges\":[";
  AddList(out, service.surges, [&out](const Surge& surge) { AddSurge(out, surge); });
  out += "],\"goodput\":[";
  AddList(out, service.goodput, [&out](const TimedRow& row) {
    fmt::format_to(std::back_inserter(out),
                   "{{\"start\":{},\"spanMillis\":{},\"offered\":{},\"completed\":{}}}",
                   CountMillis(row.start),
                   row.spanMillis,
                   row.counts.offered,
                   row.counts.completed);
  });
  out += "]}";
}

} // namespace

std::string ReportText(const Report& report)
{
  std::string text =
    fmt::format("period: {} to {} (Unix ms)\n", CountMillis(report.from), CountMillis(report.to));
  const auto out = std::back_inserter(text);
  for (const ServiceReport& service : report.services) {
    const RecordCounts& counts = service.counts;
    fmt::format_to(out, "\nservice {}\n", service.service);
    fmt::format_to(out,
                   "  offered {}, completed {}, failed {}, refused {}\n",
                   counts.offered,
                   counts.completed,
                   counts.failed,
                   counts.Refused());
    for (const auto& [reason, count] : counts.refused) {
      fmt::format_to(out, "    {}: {}\n", NameOf(reason), count);
    }
    fmt::format_to(out,
                   "  refused within rate: {} ({:.3f}% of offered)\n",
                   counts.refusedWithinRate,
                   kPercent * service.refusedWithinRatePart);
    fmt::format_to(out,
                   "  latency: half within {} ms, 99% within {} ms\n",
                   Millis(service.latencyP50),
                   Millis(service.latencyP99));
    fmt::format_to(out, "  worst-served accounts:\n");
    for (std::size_t i = 0; i < std::min(service.accounts.size(), kAccountsInText); ++i) {
      const AccountReport& account = service.accounts[i];
      fmt::format_to(out, "    {}: {:.1f}% served\n", account.account, kPercent * account.served);
    }
    for (const Surge& surge : service.surges) {
      fmt::format_to(out,
                     "  surge at {}: {:.0f}/s offered ({:.0f}/s before), goodput down to {:.0f}/s "
                     "from {:.0f}/s, {}\n",
                     CountMillis(surge.start),
                     surge.highestOffered,
                     surge.offeredBefore,
                     surge.lowestGoodput,
                     surge.goodputBefore,
                     surge.recoveryMillis
                       ? fmt::format("recovered in {} s",
                                     static_cast<double>(*surge.recoveryMillis) / kMillisPerSecond)
                       : "not recovered");
    }
  }
  return text;
}

std::string ReportJson(const Report& report)
{
  std::string out = fmt::format(
    "{{\"from\":{},\"to\":{},\"services\":[", CountMillis(report.from), CountMillis(report.to));
  AddList(out, report.services, [&out](const ServiceReport& service) { AddService(out, service); });
  return out + "]}\n";
}

std::string ReportGnuplot(const Report& report)
{
  std::string script = "set xdata time\nset timefmt '%s'\nset format x '%d.%m %H:%M'\n"
                       "set ylabel 'requests per second'\nset yrange [0:*]\nset key outside\n";
  const auto out = std::back_inserter(script);
  std::size_t index = 0;
  for (const ServiceReport& service : report.services) {
    fmt::format_to(out, "$service{} << END\n", index++);
    for (const TimedRow& row : service.goodput) {
      const double seconds = static_cast<double>(row.spanMillis) / kMillisPerSecond;
      fmt::format_to(out,
                     "{} {:.3f} {:.3f}\n",
                     CountMillis(row.start) / static_cast<std::int64_t>(kMillisPerSecond),
                     static_cast<double>(row.counts.offered) / seconds,
                     static_cast<double>(row.counts.completed) / seconds);
    }
    script += "END\n";
  }
  index = 0;
  for (const ServiceReport& service : report.services) {
    fmt::format_to(out,
                   "{}$service{} using 1:2 with lines dashtype 2 title '{} offered', \\\n"
                   "     $service{} using 1:3 with lines title '{} completed'",
                   index == 0 ? "plot " : ", \\\n     ",
                   index,
                   service.service,
                   index,
                   service.service);
    ++index;
  }
  return script + '\n';
}

} // namespace acp
