#include <boost/test/unit_test.hpp>

#include <string> // string
#include <vector> // vector

#include "acaciapulley/core/json_reader.hpp"
#include "acaciapulley/record/record_collector.hpp"
#include "acaciapulley/record/record_counters.hpp"
#include "acaciapulley/record/report.hpp"

namespace {

constexpr std::int64_t kStart = 1'700'000'040'000;

const acp::RecordKey kKey{ .service = "orders", .requestClass = "dye", .account = "batik-solo" };

acp::UnixMillis At(std::int64_t offset)
{
  return acp::ToUnixMillis(kStart + offset);
}

acp::TimedRow Row(const std::string& account, acp::RecordCounts counts)
{
  return { .start = At(0),
           .spanMillis = 60'000,
           .key = { .service = "orders", .requestClass = "dye", .account = account },
           .counts = std::move(counts) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(record)

// Guards against a report that is counted twice after a lost reply or changes between resends, and
// against counts that are lost between two reports.
BOOST_AUTO_TEST_CASE(resent_report_is_counted_once)
{
  acp::RecordCounters counters(At(0));
  acp::RecordCollector collector;
  counters.CountOffered(kKey);
  counters.CountCompleted(kKey, std::chrono::milliseconds(3));
  const auto first = counters.CurrentReport(At(1000));
  BOOST_TEST(collector.Accept("n", 1, first) == 1);
  counters.CountOffered(kKey);
  counters.CountRefused(kKey, acp::Reason::RateExceeded, true);
  const auto again = counters.CurrentReport(At(2000));
  BOOST_TEST(again.number == first.number);
  BOOST_TEST(again.rows.front().counts.offered == 1);
  counters.AcknowledgeReport(collector.Accept("n", 1, again));
  counters.AcknowledgeReport(collector.Accept("n", 1, counters.CurrentReport(At(3000))));
  const auto rows = collector.CurrentRows();
  BOOST_TEST(rows.size() == 1U);
  BOOST_TEST(rows.front().counts.offered == 2);
  BOOST_TEST(rows.front().counts.completed == 1);
  BOOST_TEST(rows.front().counts.refusedWithinRate == 1);
}

// Guards against reports of a restarted node that are ignored as old ones, and against late reports
// of its earlier epoch that are counted.
BOOST_AUTO_TEST_CASE(each_start_of_a_node_counts_its_own_reports)
{
  acp::RecordCollector collector;
  const acp::RecordCounts one{ .offered = 1 };
  const auto report = [&](std::int64_t number) {
    return acp::NodeReport{
      .number = number, .from = At(0), .to = At(1000), .rows = { { .key = kKey, .counts = one } }
    };
  };
  BOOST_TEST(collector.Accept("n", 1, report(7)) == 7);
  BOOST_TEST(collector.Accept("n", 2, report(1)) == 1);
  collector.Accept("n", 1, report(8));
  BOOST_TEST(collector.CurrentRows().front().counts.offered == 2);
}

// Guards against memory that grows with every new account, and against requests that are not
// counted once the bound is reached.
BOOST_AUTO_TEST_CASE(number_of_keys_is_bounded)
{
  acp::RecordCounters counters(At(0));
  constexpr std::int64_t kRequests = 10'000;
  for (std::int64_t i = 0; i < kRequests; ++i) {
    counters.CountOffered({ .service = "s", .requestClass = "c", .account = std::to_string(i) });
  }
  const auto report = counters.CurrentReport(At(1000));
  std::int64_t offered = 0;
  for (const auto& row : report.rows) {
    offered += row.counts.offered;
  }
  BOOST_TEST(report.rows.size() <= acp::RecordCounters::kMaxKeys + 16);
  BOOST_TEST(offered == kRequests);
}

// Guards against stored rows and surges that are read back differently, and against corrupt ones
// that are accepted.
BOOST_AUTO_TEST_CASE(serialised_rows_and_surges_are_read_back_unchanged)
{
  acp::RecordCounts counts{ .offered = 5, .completed = 2, .failed = 1, .refusedWithinRate = 1 };
  counts.refused[acp::Reason::RateExceeded] = 2;
  counts.latency.Add(std::chrono::milliseconds(3));
  counts.latency.Add(std::chrono::hours(3));
  const auto row = Row("batik-solo", counts);
  const std::string line = acp::SerialiseRow(row);
  BOOST_TEST((acp::DeserialiseRow(line).value() == row));
  for (const std::string& damaged : { std::string(), line + "x", line.substr(4), line + "\t1" }) {
    BOOST_TEST((acp::DeserialiseRow(damaged).error().code == acp::RecordErrorCode::MalformedRow));
  }
  const acp::Surge surge{ .start = At(0), .triggerEnd = At(5000), .goodputBefore = 99.5 };
  const std::string text = acp::SerialiseSurge({ .service = "orders", .surge = surge });
  BOOST_TEST((acp::DeserialiseSurge(text).value().surge == surge));
  BOOST_TEST(!acp::DeserialiseSurge(text + "\t1").has_value());
}

// Guards against totals that depend on the order of minutes, and against minutes that are returned
// twice or too early.
BOOST_AUTO_TEST_CASE(finished_minutes_are_taken_once_and_merge_to_hours)
{
  acp::RecordCollector collector;
  for (std::int64_t i = 1; i <= 180; ++i) {
    const acp::RecordCounts one{ .offered = 1 };
    collector.Accept("n",
                     1,
                     { .number = i,
                       .from = At((i - 1) * 1000),
                       .to = At(i * 1000 - 1),
                       .rows = { { .key = kKey, .counts = one } } });
  }
  auto rows = collector.TakeFinishedMinutes(At(120'000));
  BOOST_TEST(rows.size() == 1U);
  const auto later = collector.TakeFinishedMinutes(At(300'000));
  rows.insert(rows.begin(), later.begin(), later.end());
  BOOST_TEST(collector.TakeFinishedMinutes(At(300'000)).empty());
  const auto hours = acp::MergeRows(rows, 3'600'000);
  BOOST_TEST(hours.size() == 1U);
  BOOST_TEST(hours.front().counts.offered == 180);
}

// Guards against a recovery time measured from the wrong second, a surge that is missed or reported
// twice, and a drop of demand or the noise of a small service that is reported as a surge.
BOOST_AUTO_TEST_CASE(surge_and_recovery_are_detected)
{
  acp::GoodputSeries series{ .start = At(0) };
  const auto add = [&](int seconds, std::int64_t offered, std::int64_t completed) {
    for (int i = 0; i < seconds; ++i) {
      series.seconds.push_back({ .offered = offered, .completed = completed });
    }
  };
  add(60, 100, 100);
  add(10, 1000, 60);
  add(4, 100, 70);
  add(60, 100, 99);
  add(60, 40, 40);
  const auto surges = acp::FindSurges(series);
  BOOST_TEST(surges.size() == 1U);
  BOOST_TEST(CountMillis(surges[0].start) == CountMillis(At(60'000)));
  BOOST_TEST(CountMillis(surges[0].triggerEnd) == CountMillis(At(70'000)));
  BOOST_TEST(surges[0].recoveryMillis.value() == 4000);
  BOOST_TEST(surges[0].goodputBefore == 100.0);
  BOOST_TEST(surges[0].lowestGoodput == 60.0);
  acp::GoodputSeries quiet{ .start = At(0) };
  for (std::int64_t i = 0; i < 600; ++i) {
    const std::int64_t requests = 4 + i * 7919 % 17;
    quiet.seconds.push_back({ .offered = requests, .completed = requests });
  }
  BOOST_TEST(acp::FindSurges(quiet).empty());
  series.seconds.resize(72);
  BOOST_TEST(!acp::FindSurges(series).front().recoveryMillis.has_value());
}

// Guards against a report that is counted in only one second of the series, which would hide the
// second in which goodput recovered, and against a surge that is stored twice.
BOOST_AUTO_TEST_CASE(collector_finds_surges_in_reports)
{
  acp::RecordCollector collector;
  for (std::int64_t i = 1; i <= 300; ++i) {
    const bool isSurge = i > 60 && i <= 70;
    const acp::RecordCounts counts{ .offered = isSurge ? 1000 : 100, .completed = 100 };
    collector.Accept("n",
                     1,
                     { .number = i,
                       .from = At(i * 1000 - 500),
                       .to = At(i * 1000 + 500),
                       .rows = { { .key = kKey, .counts = counts } } });
  }
  const auto series = collector.GoodputByService().at("orders");
  BOOST_TEST(series.seconds[30].offered == 100);
  BOOST_TEST(collector.TakeFinishedSurges(At(100'000)).empty());
  BOOST_TEST(collector.TakeFinishedSurges(At(300'000)).size() == 1U);
  BOOST_TEST(collector.TakeFinishedSurges(At(300'000)).empty());
}

// Guards against a report that lists the wrong worst-served account, counts requests beyond an
// account's rate against the service, or is not valid JSON.
BOOST_AUTO_TEST_CASE(report_names_the_worst_served_account)
{
  acp::RecordCounts greedy{ .offered = 1000, .completed = 100 };
  greedy.refused[acp::Reason::RateExceeded] = 900;
  acp::RecordCounts small{ .offered = 100, .completed = 80, .refusedWithinRate = 5 };
  small.refused[acp::Reason::Overloaded] = 15;
  small.refused[acp::Reason::RateExceeded] = 5;
  const acp::Surge surge{ .start = At(0), .triggerEnd = At(5000), .recoveryMillis = 2000 };
  const auto report = acp::BuildReport({ Row("greedy", greedy), Row("small", small) },
                                       { { .service = "orders", .surge = surge } });
  const auto& service = report.services.front();
  BOOST_TEST(service.accounts.front().account == "small");
  BOOST_TEST(service.accounts.front().served == 0.8);
  BOOST_TEST(service.accounts.back().served == 1.0);
  BOOST_TEST(acp::ReportText(report).find("small: 80.0% served") != std::string::npos);
  BOOST_TEST(acp::ReportText(report).find("recovered in 2 s") != std::string::npos);
  auto reader = acp::JsonReader::FromText(acp::ReportJson(report));
  BOOST_TEST(reader.Objects("services").front().Objects("accounts").size() == 2U);
  const std::string script = acp::ReportGnuplot(report);
  BOOST_TEST(script.find("$service0 << END\n1700000040 18.333 3.000\nEND\n") != std::string::npos);
  BOOST_TEST(script.find("plot $service0 using 1:2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
