#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/node/upstream_registry.hpp"

namespace {

using acp::HealthAnswer;
using acp::HealthCheckResult;
using acp::UpstreamHeartbeat;

constexpr acp::Duration kSecond = std::chrono::seconds(1);

UpstreamHeartbeat MakeHeartbeat(const std::string& id,
                                std::int64_t startedAtMs,
                                int sequence,
                                bool drains = false)
{
  return { .announcement = { .service = "orders",
                             .address = { .ip = "127.0.0.1", .port = 9000 },
                             .slots = 5,
                             .maxConnections = 21,
                             .coldStartMs = 700,
                             .draining = drains,
                             .instanceId = id },
           .startedAtMs = startedAtMs,
           .sequence = sequence };
}

struct Fixture
{
  acp::ManualClock clock;
  std::vector<acp::Announcement> announced;
  acp::UpstreamRegistry registry{ { .clock = &clock, .announce = [this](const auto& a) {
                                     announced.push_back(a);
                                   } } };
};

/// The registry of a node that has just been started beside a running upstream.
struct RestartedNode
{
  explicit RestartedNode(bool confirmsInstances = true)
    : registry({ .clock = &clock,
                 .announce = [this](const auto& a) { announced.push_back(a); },
                 .isKnownService = [](const auto& service) { return service != "unknown"; },
                 .confirmsInstances = confirmsInstances })
  {
  }

  /// A check that is sent and answered now.
  void Check(HealthAnswer answer, const std::string& id = "")
  {
    clock.Advance(kSecond / 100);
    HealthCheckResult result{ .answer = answer, .instanceId = id, .askedAt = clock.Now() };
    if (answer == HealthAnswer::Ready) {
      result.found = MakeHeartbeat(id, 0, 0);
    }
    registry.ApplyHealthCheck(result);
  }

  /// Returns whether requests are sent to the upstream.
  [[nodiscard]] bool IsUsed() const { return !announced.empty() && !announced.back().draining; }

  acp::ManualClock clock;
  std::vector<acp::Announcement> announced;
  acp::UpstreamRegistry registry;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_registry, Fixture)

// Guards against a delayed heartbeat that replaces the current upstream by a stopped one.
BOOST_AUTO_TEST_CASE(heartbeats_are_ordered_by_start_and_sequence)
{
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 9)));
  BOOST_TEST(!registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 8)));
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("b", 200, 1)));
  BOOST_TEST(!registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 10)));
  BOOST_TEST(announced.back().instanceId == "b");
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("b", 300, 0)));
}

// Guards against new requests to an upstream that has deregistered.
BOOST_AUTO_TEST_CASE(deregistration_lasts_until_the_next_start)
{
  registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 1));
  registry.ApplyDeparture({ .instanceId = "other" });
  BOOST_TEST(!announced.back().draining);
  registry.ApplyDeparture({ .instanceId = "a" });
  BOOST_TEST(announced.back().draining);
  registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 2));
  BOOST_TEST(announced.back().draining);
  registry.ApplyHeartbeat(MakeHeartbeat("a", 300, 1));
  BOOST_TEST(!announced.back().draining);
}

// Guards against an upstream that gets no requests after its earlier start deregistered late.
BOOST_AUTO_TEST_CASE(late_deregistration_of_an_earlier_start_changes_nothing)
{
  registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 5, true));
  registry.ApplyHeartbeat(MakeHeartbeat("a", 200, 1));
  const auto announcements = announced.size();
  BOOST_TEST(!registry.ApplyDeparture({ .instanceId = "a", .startedAtMs = 100 }));
  BOOST_TEST(announced.size() == announcements);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 200, 2)));
  BOOST_TEST(!announced.back().draining);
  BOOST_TEST(registry.ApplyDeparture({ .instanceId = "a", .startedAtMs = 200 }));
  BOOST_TEST(announced.back().draining);
}

// Guards against an upstream that is used again because a heartbeat of the start that deregistered
// arrives late.
BOOST_AUTO_TEST_CASE(deregistration_of_a_start_without_heartbeats_is_kept)
{
  registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 5));
  BOOST_TEST(registry.ApplyDeparture({ .instanceId = "a", .startedAtMs = 200 }));
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 200, 1)));
  BOOST_TEST(announced.back().draining);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 300, 1)));
  BOOST_TEST(!announced.back().draining);
}

// Guards against a probe that overrides a heartbeat, and against a late heartbeat that undoes the
// deregistration of a probed upstream.
BOOST_AUTO_TEST_CASE(probe_result_applies_until_the_first_heartbeat)
{
  const HealthCheckResult found{ .answer = HealthAnswer::Ready,
                                 .instanceId = "i",
                                 .found = MakeHeartbeat("i", 0, 0) };
  registry.ApplyHealthCheck(found);
  BOOST_TEST(announced.size() == 1U);
  BOOST_TEST(registry.HasUpstream());
  registry.ApplyDeparture({ .instanceId = "i" });
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7)));
  BOOST_TEST(announced.back().draining);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("j", 2000, 1)));
  BOOST_TEST(!announced.back().draining);
  registry.ApplyHealthCheck(found);
  BOOST_TEST(announced.back().instanceId == "j");
}

// Guards against a node that is started again and takes a late heartbeat for news, although its
// upstream has deregistered at the process before it.
BOOST_AUTO_TEST_CASE(first_heartbeat_after_a_start_waits_until_the_upstream_is_ready)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7));
  BOOST_TEST(node.announced.empty());
  BOOST_TEST((node.registry.ServicesToConfirm() == std::vector<std::string>{ "orders" }));
  for (int i = 0; i < 10; ++i) {
    node.registry.ApplyHealthCheck({ .answer = HealthAnswer::NotReady, .instanceId = "i" });
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 8 + i));
  }
  BOOST_TEST(node.announced.empty());
  node.registry.ApplyHealthCheck({ .answer = HealthAnswer::Ready, .instanceId = "i" });
  BOOST_REQUIRE(node.announced.size() == 1U);
  BOOST_TEST(node.announced.back().instanceId == "i");
  BOOST_TEST(!node.announced.back().draining);
  BOOST_TEST(node.registry.HasUpstream());
  // From now on the order of heartbeats is known.
  BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 3)));
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 30, true)));
  BOOST_TEST(node.announced.back().draining);
}

// Guards against a late heartbeat of an instance that no longer runs, at a node that knows the
// current one by a health check only.
BOOST_AUTO_TEST_CASE(late_heartbeat_of_another_instance_does_not_displace_a_probed_upstream)
{
  RestartedNode node;
  const HealthCheckResult current{ .answer = HealthAnswer::Ready,
                                   .instanceId = "new",
                                   .found = MakeHeartbeat("new", 0, 0) };
  node.registry.ApplyHealthCheck(current);
  node.registry.ApplyHeartbeat(MakeHeartbeat("old", 500, 90));
  BOOST_TEST(node.announced.back().instanceId == "new");
  BOOST_TEST((node.registry.ServicesToConfirm() == std::vector<std::string>{ "orders" }));
  node.registry.ApplyHealthCheck(current);
  BOOST_TEST(node.registry.HasUpstream());
  BOOST_TEST(node.announced.back().instanceId == "new");
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("new", 900, 5)));
  BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat("old", 500, 91)));
  // A later start displaces one that is heard only once a health answer names it.
  BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat("newest", 1500, 1)));
  BOOST_TEST(node.announced.back().instanceId == "new");
  node.Check(HealthAnswer::Ready, "newest");
  BOOST_TEST(node.announced.back().instanceId == "newest");
  BOOST_TEST(node.IsUsed());
}

// Guards against a deregistration that is acknowledged and forgotten because no heartbeat has come
// since the node's start.
BOOST_AUTO_TEST_CASE(deregistration_before_the_first_heartbeat_is_kept)
{
  for (const bool confirms : { false, true }) {
    RestartedNode node(confirms);
    BOOST_TEST(node.registry.ApplyDeparture({ .instanceId = "i", .startedAtMs = 1000 }));
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7));
    node.Check(HealthAnswer::Ready, "i");
    for (const auto& announcement : node.announced) {
      BOOST_TEST(announcement.draining);
    }
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 1));
    BOOST_TEST(!node.announced.back().draining);
  }
}

// Guards against an upstream that a heartbeat for a service outside the configuration displaces.
BOOST_AUTO_TEST_CASE(heartbeat_of_an_unknown_service_displaces_nothing)
{
  RestartedNode node(false);
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 1)));
  auto other = MakeHeartbeat("j", 2000, 1);
  other.announcement.service = "unknown";
  BOOST_TEST(!node.registry.ApplyHeartbeat(other));
  BOOST_TEST(node.announced.back().instanceId == "i");
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 2)));
}

// Guards against requests to an upstream that has left, because late heartbeats are taken for a
// sign of life while it has no room for health checks or leaves them unanswered.
BOOST_AUTO_TEST_CASE(late_heartbeats_do_not_bring_a_departed_upstream_back_however_many)
{
  for (const HealthAnswer answer :
       { HealthAnswer::None, HealthAnswer::Rejected, HealthAnswer::NotReady }) {
    RestartedNode node;
    for (int i = 0; i < 50; ++i) {
      node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, i));
      node.Check(answer, "i");
      node.clock.Advance(kSecond / 5);
    }
    BOOST_TEST(node.announced.empty());
  }
}

// Guards against an upstream without requests because its node was started while it was full.
BOOST_AUTO_TEST_CASE(full_upstream_is_used_as_soon_as_it_has_room_for_a_health_check)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 1));
  node.Check(HealthAnswer::Rejected);
  node.Check(HealthAnswer::None);
  BOOST_TEST(!node.IsUsed());
  node.Check(HealthAnswer::Ready, "i");
  BOOST_TEST(node.IsUsed());
}

// Guards against an upstream without requests because its health checks get no answer.
BOOST_AUTO_TEST_CASE(upstream_without_health_answers_is_used_once_heartbeats_cannot_be_late)
{
  for (const HealthAnswer answer : { HealthAnswer::None, HealthAnswer::Rejected }) {
    RestartedNode node;
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 1));
    node.Check(answer);
    node.clock.Advance(19 * kSecond);
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 13));
    BOOST_TEST(!node.IsUsed());
    node.clock.Advance(2 * kSecond);
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 12));
    BOOST_TEST(!node.IsUsed());
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 14));
    BOOST_TEST(node.IsUsed());
    BOOST_TEST(node.registry.HasUpstream());
  }
}

// Guards against an upstream that says that it leaves, falls silent, and is used again.
BOOST_AUTO_TEST_CASE(silence_after_a_health_answer_that_says_not_ready_proves_nothing)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 1));
  node.Check(HealthAnswer::NotReady, "i");
  node.Check(HealthAnswer::None);
  node.clock.Advance(30 * kSecond);
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 2));
  BOOST_TEST(!node.IsUsed());
  // Another start has not said so.
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 1));
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 2));
  BOOST_TEST(node.IsUsed());
}

// Guards against an acknowledged departure that is forgotten because another instance is known, or
// the departed one's heartbeat is kept back.
BOOST_AUTO_TEST_CASE(departure_of_an_instance_that_is_not_current_is_kept)
{
  for (const std::int64_t statedStart : { std::int64_t{ 0 }, std::int64_t{ 1000 } }) {
    RestartedNode known;
    known.registry.ApplyHeartbeat(MakeHeartbeat("i", 500, 1));
    known.Check(HealthAnswer::Ready, "i");
    BOOST_TEST(known.registry.ApplyDeparture({ .instanceId = "j", .startedAtMs = statedStart }));
    BOOST_TEST(known.IsUsed());
    known.registry.ApplyHeartbeat(MakeHeartbeat("j", 1000, 7));
    BOOST_TEST(!(known.announced.back().instanceId == "j" && known.IsUsed()));

    RestartedNode keepsBack;
    keepsBack.registry.ApplyHeartbeat(MakeHeartbeat("j", 1000, 7));
    BOOST_TEST(
      keepsBack.registry.ApplyDeparture({ .instanceId = "j", .startedAtMs = statedStart }));
    BOOST_TEST(keepsBack.registry.ServicesToConfirm().empty());
    keepsBack.registry.ApplyHeartbeat(MakeHeartbeat("j", 1000, 8));
    keepsBack.clock.Advance(30 * kSecond);
    keepsBack.registry.ApplyHeartbeat(MakeHeartbeat("j", 1000, 9));
    BOOST_TEST(!keepsBack.IsUsed());
  }
}

// Guards against a departure without a start that is forgotten after the node's start, and against
// an instance that gets no requests since an earlier start of it departed late.
BOOST_AUTO_TEST_CASE(departure_without_a_start_ends_an_instance_until_it_says_that_it_is_ready)
{
  RestartedNode node;
  node.clock.Advance(kSecond);
  BOOST_TEST(node.registry.ApplyDeparture({ .instanceId = "i" }));
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7));
  BOOST_TEST(!node.IsUsed());
  // Sent before the departure, so that it does not outweigh it.
  node.registry.ApplyHealthCheck({ .answer = HealthAnswer::Ready,
                                   .instanceId = "i",
                                   .found = MakeHeartbeat("i", 0, 0),
                                   .askedAt = node.clock.Now() - kSecond / 2 });
  BOOST_TEST(!node.IsUsed());
  node.Check(HealthAnswer::NotReady, "i");
  BOOST_TEST(!node.IsUsed());
  node.Check(HealthAnswer::Ready, "i");
  BOOST_TEST(node.IsUsed());
}

// Guards against an upstream that started again under its id and gets no requests, since an earlier
// start has departed and no health check is answered.
BOOST_AUTO_TEST_CASE(start_after_a_departure_under_the_same_id_needs_no_health_answer)
{
  RestartedNode node;
  node.registry.ApplyDeparture({ .instanceId = "i", .startedAtMs = 1000 });
  node.clock.Advance(30 * kSecond);
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 1));
  node.Check(HealthAnswer::None);
  BOOST_TEST(!node.IsUsed());
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 2));
  BOOST_TEST(node.IsUsed());
}

// Guards against requests for the wrong service where the address went to another one around the
// node's start.
BOOST_AUTO_TEST_CASE(service_in_a_heartbeat_replaces_the_service_that_a_check_assumed)
{
  RestartedNode node;
  node.Check(HealthAnswer::Ready, "j");
  BOOST_TEST(node.announced.back().service == "orders");
  auto stated = MakeHeartbeat("j", 1000, 1);
  stated.announcement.service = "stock";
  BOOST_TEST(node.registry.ApplyHeartbeat(stated));
  BOOST_TEST(node.announced.back().service == "stock");
}

// Guards against a late call of an ended instance that stops requests to the current one.
BOOST_AUTO_TEST_CASE(late_drain_of_another_instance_does_not_displace_a_probed_upstream)
{
  RestartedNode node;
  node.Check(HealthAnswer::Ready, "new");
  node.registry.ApplyHeartbeat(MakeHeartbeat("old", 500, 90, true));
  BOOST_TEST(node.IsUsed());
  BOOST_TEST(node.announced.back().instanceId == "new");
}

// Guards against a store of departures that grows with each instance at the address.
BOOST_AUTO_TEST_CASE(departures_of_the_last_instances_are_kept)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("current", 1, 1));
  node.Check(HealthAnswer::Ready, "current");
  for (int i = 0; i < 1000; ++i) {
    node.registry.ApplyDeparture({ .instanceId = "i" + std::to_string(i), .startedAtMs = 100 + i });
  }
  for (int i = 999; i > 999 - 16; --i) {
    node.registry.ApplyHeartbeat(MakeHeartbeat("i" + std::to_string(i), 100 + i, 1));
    BOOST_TEST(!(node.announced.back().instanceId != "current" && node.IsUsed()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(upstream_registry_warmup)

// Guards against an upstream that becomes cold again, under the same start, and is not reported as
// such because the first heartbeat's cold start is kept for the announcement.
BOOST_AUTO_TEST_CASE(each_heartbeat_reports_the_warmup)
{
  acp::ManualClock clock;
  std::vector<acp::WarmupReport> reports;
  std::vector<std::int64_t> announced;
  acp::UpstreamRegistry registry(
    { .clock = &clock,
      .announce = [&](const auto& a) { announced.push_back(a.coldStartMs); },
      .reportWarmup = [&](const auto& report) { reports.push_back(report); } });
  for (const int leftMs : { 700, 0, 3000 }) {
    clock.Advance(kSecond);
    auto heartbeat = MakeHeartbeat("i", 5, static_cast<int>(reports.size()) + 1);
    heartbeat.announcement.coldStartMs = leftMs;
    registry.ApplyHeartbeat(heartbeat);
    BOOST_TEST((reports.back().source == acp::ColdReason::Announced));
    BOOST_TEST((reports.back().receivedAt == clock.Now()));
    BOOST_TEST((reports.back().left == std::chrono::milliseconds(leftMs)));
  }
  BOOST_TEST((announced == std::vector<std::int64_t>{ 700, 700, 700 }));
  // An older heartbeat that arrives late reports nothing.
  registry.ApplyHeartbeat(MakeHeartbeat("i", 5, 1));
  BOOST_TEST(reports.size() == 3U);
}

// Guards against a health answer that does not reach the limit, and against one that is taken for a
// statement that the upstream is warm.
BOOST_AUTO_TEST_CASE(health_answer_reports_the_warmup_if_it_states_it)
{
  acp::ManualClock clock;
  std::vector<acp::WarmupReport> reports;
  acp::UpstreamRegistry registry(
    { .clock = &clock,
      .announce = [](const auto& /*announcement*/) {},
      .reportWarmup = [&](const auto& report) { reports.push_back(report); } });
  registry.ApplyHeartbeat(MakeHeartbeat("i", 5, 1));
  reports.clear();
  const auto askedAt = clock.Now();
  clock.Advance(kSecond);
  HealthCheckResult result{ .answer = HealthAnswer::Ready, .instanceId = "i", .askedAt = askedAt };
  registry.ApplyHealthCheck(result);
  BOOST_TEST(reports.empty());
  result.warmupLeft = kSecond;
  registry.ApplyHealthCheck(result);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].source == acp::ColdReason::HealthAnswer));
  BOOST_TEST((reports[0].askedAt == askedAt));
  BOOST_TEST((reports[0].receivedAt == clock.Now()));
  result.answer = HealthAnswer::NotReady;
  registry.ApplyHealthCheck(result);
  BOOST_TEST(reports.size() == 1U);
}

// Guards against a request for a check that is taken for answered by the process before a restart
// or by an upstream that is not ready, and against a deadlock of a report that requests a check.
BOOST_AUTO_TEST_CASE(requested_check_is_answered_only_by_a_later_one)
{
  acp::ManualClock clock;
  acp::UpstreamRegistry* requested = nullptr;
  acp::UpstreamRegistry registry(
    { .clock = &clock,
      .announce = [](const auto& /*announcement*/) {},
      .reportWarmup = [&](const auto& /*report*/) { requested->RequestHealthCheck(); } });
  requested = &registry;
  BOOST_TEST(!registry.IsHealthCheckRequested());
  const auto before = clock.Now();
  clock.Advance(kSecond);
  registry.ApplyHeartbeat(MakeHeartbeat("i", 5, 1));
  BOOST_TEST(registry.IsHealthCheckRequested());
  registry.AwaitNeedOfCheck({}, std::chrono::hours(1)); // returns at once
  HealthCheckResult result{ .answer = HealthAnswer::Ready, .instanceId = "i", .askedAt = before };
  registry.ApplyHealthCheck(result);
  BOOST_TEST(registry.IsHealthCheckRequested());
  result.askedAt = clock.Now();
  for (const auto answer : { HealthAnswer::None, HealthAnswer::Rejected, HealthAnswer::NotReady }) {
    result.answer = answer;
    registry.ApplyHealthCheck(result);
    BOOST_TEST(registry.IsHealthCheckRequested());
  }
  result.answer = HealthAnswer::Ready;
  registry.ApplyHealthCheck(result);
  BOOST_TEST(!registry.IsHealthCheckRequested());
}

BOOST_AUTO_TEST_SUITE_END()
