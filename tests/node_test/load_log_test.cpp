#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <stop_token>

#include "acaciapulley/node/detail/load_log.hpp"

namespace {

using Line = std::map<std::string, std::string>;

constexpr acp::Duration kSecond = std::chrono::seconds(1);

/// A load log with a gate of one slot, on a manual clock.
struct Fixture
{
  Fixture() { gate.SetCapacity(1, {}, false); }

  /// Advances the clock by a second and returns the line written then, or nothing.
  std::optional<Line> NextLine()
  {
    line.reset();
    clock.Advance(kSecond);
    log.WriteIfDue();
    return line;
  }

  acp::BlockingGate::Permit Enter()
  {
    auto permit = gate.Acquire({ .deadline = clock.Now() + kSecond }, {});
    BOOST_REQUIRE(permit.has_value());
    return std::move(permit).value();
  }

  acp::ManualClock clock;
  acp::BlockingGate gate{ { .limit = { .adaptive = false } }, clock };
  std::shared_ptr<acp::ConnectionCounts> upstream = std::make_shared<acp::ConnectionCounts>();
  std::shared_ptr<acp::ConnectionCounts> peers = std::make_shared<acp::ConnectionCounts>();
  std::optional<Line> line;
  acp::detail::LoadLog log{ { .clock = &clock,
                              .service = [] { return std::string("addresses"); },
                              .gate = [this] { return gate.Stats(); },
                              .upstreamConnections = upstream,
                              .peerConnections = peers,
                              .write =
                                [this](std::initializer_list<acp::LogField> fields) {
                                  line = Line(fields.begin(), fields.end());
                                } } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_log)

BOOST_FIXTURE_TEST_CASE(no_line_is_written_while_all_requests_succeed, Fixture)
{
  auto permit = Enter();
  permit.Finish(acp::GateResult::Succeeded);
  log.RecordCompleted({ .account = "van", .latency = kSecond });
  BOOST_TEST(!NextLine().has_value());
}

BOOST_FIXTURE_TEST_CASE(line_counts_requests_without_a_complete_response_by_their_end, Fixture)
{
  log.RecordEnd(acp::RequestEnd::Answered);
  log.RecordEnd(acp::RequestEnd::CallerGone);
  BOOST_TEST(!NextLine().has_value());
  log.RecordEnd(acp::RequestEnd::CallerGone);
  log.RecordEnd(acp::RequestEnd::SourceEnded);
  log.RecordEnd(acp::RequestEnd::SourceEnded);
  const auto written = NextLine();
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written->at("unanswered") == "caller_gone:1,source_ended:2");
  BOOST_TEST(!NextLine().has_value());
}

BOOST_FIXTURE_TEST_CASE(at_most_one_line_a_second_is_written_under_load, Fixture)
{
  log.RecordCompleted({ .reason = acp::Reason::Overloaded, .status = 503 });
  BOOST_TEST(NextLine().has_value());
  line.reset();
  for (int i = 0; i < 100; ++i) {
    log.RecordCompleted({ .reason = acp::Reason::Overloaded, .status = 503 });
    log.WriteIfDue();
  }
  BOOST_TEST(!line.has_value());
}

BOOST_FIXTURE_TEST_CASE(line_separates_gate_refusals_from_failed_runs, Fixture)
{
  auto permit = Enter();
  std::stop_source left;
  left.request_stop();
  BOOST_TEST(
    !gate.Acquire({ .deadline = clock.Now() + kSecond, .queueTimeout = kSecond }, left.get_token())
       .has_value());
  clock.Advance(std::chrono::milliseconds(40));
  permit.Finish(acp::GateResult::Lost);
  const auto written = NextLine();
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written->at("service") == "addresses");
  BOOST_TEST(written->at("span_ms") == "1040");
  BOOST_TEST(written->at("gate") == "started:1/0,caller_gone:1");
  BOOST_TEST(written->at("runs") == "lost:1/40");
  BOOST_TEST(written->at("limit") == "1");
  BOOST_TEST(written->at("in_flight") == "0");
}

BOOST_FIXTURE_TEST_CASE(line_separates_successes_from_relayed_upstream_errors, Fixture)
{
  log.RecordCompleted({ .account = "van", .latency = 2 * kSecond });
  log.RecordCompleted({ .account = "van", .latency = kSecond, .isUpstreamError = true });
  log.RecordCompleted({ .reason = acp::Reason::QueueTimeout, .latency = kSecond, .status = 503 });
  log.RecordCompleted({ .reason = acp::Reason::QueueTimeout, .status = 503 });
  const auto written = NextLine();
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written->at("with_account") == "answered:1/2000,upstream_error:1/1000");
  BOOST_TEST(written->at("without_account") == "queue_timeout:2/500");
}

BOOST_FIXTURE_TEST_CASE(line_counts_only_events_since_the_previous_line, Fixture)
{
  upstream->Add(acp::ConnectionEvent::Opened, 5);
  peers->Add(acp::ConnectionEvent::Stale, 2);
  Enter().Finish(acp::GateResult::Lost);
  log.RecordCompleted({ .reason = acp::Reason::Overloaded, .status = 503 });
  const auto first = NextLine();
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->at("upstream_connections") == "opened:5");
  BOOST_TEST(first->at("peer_connections") == "stale:2");
  upstream->Add(acp::ConnectionEvent::TimedOut);
  Enter().Finish(acp::GateResult::Failed);
  const auto second = NextLine();
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->at("upstream_connections") == "timed_out:1");
  BOOST_TEST(second->at("peer_connections") == "");
  BOOST_TEST(second->at("runs") == "failed:1/0");
  BOOST_TEST(second->at("without_account") == "");
}

BOOST_AUTO_TEST_SUITE_END()
