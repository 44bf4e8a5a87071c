#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/node/upstream_finder.hpp"
#include "acaciapulley/node/upstream_registry.hpp"

// Heartbeats of another writer, of an earlier instance or of one whose clock is wrong, beside those
// of the upstream that runs.

namespace {

using acp::HealthAnswer;
using acp::UpstreamHeartbeat;

constexpr acp::Duration kSecond = std::chrono::seconds(1);

UpstreamHeartbeat MakeHeartbeat(const std::string& id,
                                std::int64_t startedAtMs,
                                std::int64_t sequence,
                                const std::string& service = "orders",
                                bool drains = false)
{
  return { .announcement = { .service = service,
                             .address = { .ip = "127.0.0.1", .port = 9000 },
                             .slots = 5,
                             .maxConnections = 21,
                             .draining = drains,
                             .instanceId = id },
           .startedAtMs = startedAtMs,
           .sequence = sequence };
}

/// The registry of a node that has just started.
struct StartedNode
{
  acp::UpstreamRegistryOptions Options()
  {
    return { .clock = &clock,
             .announce =
               [this](const auto& a) {
                 const std::lock_guard lock(mutex);
                 announced.push_back(a);
               },
             .isKnownService = [this](const auto& service) { return IsKnown(service); },
             .confirmsInstances = true };
  }

  bool IsKnown(const std::string& service)
  {
    const std::lock_guard lock(mutex);
    return services.contains(service);
  }

  void Check(HealthAnswer answer, const std::string& id)
  {
    clock.Advance(kSecond / 100);
    acp::HealthCheckResult result{ .answer = answer, .instanceId = id, .askedAt = clock.Now() };
    if (answer == HealthAnswer::Ready) {
      result.found = MakeHeartbeat(id, 0, 0);
    }
    registry.ApplyHealthCheck(result);
  }

  /// Returns the instance that gets requests; empty: none.
  std::string Used()
  {
    const std::lock_guard lock(mutex);
    return announced.empty() || announced.back().draining ? "" : announced.back().instanceId;
  }

  std::mutex mutex;
  std::set<std::string> services = { "orders", "stock" };
  std::vector<acp::Announcement> announced;
  acp::ManualClock clock;
  acp::UpstreamRegistry registry{ Options() };
};

/// A started node with a finder, beside the upstream "i" of the service "orders".
struct SearchingNode : StartedNode
{
  acp::UpstreamFinderOptions FinderOptions()
  {
    return { .clock = &clock,
             .registry = &registry,
             .service = "orders",
             .healthPathOf =
               [this](const auto& service) {
                 return IsKnown(service) ? std::optional("/" + service) : std::nullopt;
               },
             .check = [this](const acp::HealthCheck& check) { return Answer(check); } };
  }

  acp::HealthCheckResult Answer(const acp::HealthCheck& check)
  {
    clock.Advance(kSecond / 100);
    const std::lock_guard lock(mutex);
    if (!runs) {
      return {};
    }
    return { .answer = HealthAnswer::Ready,
             .instanceId = "i",
             .found = MakeHeartbeat("i", 0, 0, check.service) };
  }

  void SetRuns(bool isRunning)
  {
    const std::lock_guard lock(mutex);
    runs = isRunning;
  }

  /// Waits until "i" gets requests; returns whether it has.
  bool IsFound()
  {
    for (int i = 0; i < 500 && Used() != "i"; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return Used() == "i";
  }

  bool runs = true;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_candidates, StartedNode)

// Guards against an upstream that is shut out by heartbeats of a service outside the configuration,
// which state a later start and are heard before its own.
BOOST_AUTO_TEST_CASE(odd_heartbeats_before_the_first_do_not_shut_the_upstream_out)
{
  for (const bool drains : { false, true }) {
    StartedNode node;
    for (int i = 0; i < 12; ++i) {
      const std::string id = "odd" + std::to_string(i);
      node.registry.ApplyHeartbeat(MakeHeartbeat(id, 100'000 + i, 1, "unknown", drains));
    }
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
    node.Check(HealthAnswer::Ready, "i");
    BOOST_TEST(node.Used() == "i");
    BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 2)));
  }
}

// Guards against an upstream that is shut out by a draining heartbeat, which needs no confirmation.
BOOST_AUTO_TEST_CASE(odd_draining_heartbeat_becomes_no_upstream)
{
  registry.ApplyHeartbeat(MakeHeartbeat("odd", 100'000, 1, "stock", true));
  BOOST_TEST(announced.empty());
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  Check(HealthAnswer::Ready, "i");
  BOOST_TEST(Used() == "i");
}

// Guards against new requests to an upstream that drains, whose health check says that it is ready.
BOOST_AUTO_TEST_CASE(draining_upstream_stays_so_when_it_is_confirmed)
{
  for (const HealthAnswer answer : { HealthAnswer::Ready, HealthAnswer::NotReady }) {
    StartedNode node;
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 7, "orders", true));
    node.Check(answer, "i");
    BOOST_REQUIRE(!node.announced.empty());
    BOOST_TEST(node.Used().empty());
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 6));
    BOOST_TEST(node.Used().empty());
  }
}

// Guards against a running upstream that a heartbeat of another configured service displaces for
// good, since its own heartbeats state an earlier start.
BOOST_AUTO_TEST_CASE(heartbeat_of_another_known_service_does_not_displace_a_running_upstream)
{
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  Check(HealthAnswer::Ready, "i");
  for (int i = 2; i < 12; ++i) {
    BOOST_TEST(!registry.ApplyHeartbeat(MakeHeartbeat("odd", 100'000, i, "stock")));
    BOOST_TEST(Used() == "i");
    Check(HealthAnswer::Ready, "i");
    BOOST_TEST(registry.ServicesToConfirm().empty());
    clock.Advance(kSecond);
    BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, i)));
  }
}

// Guards against an upstream that gets no requests because the one before it ended without a word
// and health checks fail.
BOOST_AUTO_TEST_CASE(successor_of_a_crashed_upstream_is_used_without_a_good_health_answer)
{
  for (const HealthAnswer answer : { HealthAnswer::NotReady, HealthAnswer::Rejected }) {
    StartedNode node;
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
    node.Check(HealthAnswer::Ready, "i");
    node.registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 1));
    node.Check(answer, "j");
    BOOST_TEST(node.Used() == "j");
  }
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  Check(HealthAnswer::Ready, "i");
  registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 1));
  Check(HealthAnswer::None, "");
  clock.Advance(3 * kSecond);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 3)));
  BOOST_TEST(Used() == "j");
}

// Guards against a delay of a planned replacement, where the instance before has said that it
// leaves.
BOOST_AUTO_TEST_CASE(successor_of_a_draining_upstream_is_used_at_once)
{
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  Check(HealthAnswer::Ready, "i");
  registry.ApplyDeparture({ .instanceId = "i", .startedAtMs = 1'000 });
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 1)));
  BOOST_TEST(Used() == "j");
}

// Guards against an upstream that is shut out because the clock of the one before it was ahead.
BOOST_AUTO_TEST_CASE(successor_with_an_earlier_start_is_used_once_it_is_ready)
{
  for (const char* successor : { "j", "i" }) {
    StartedNode node;
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 9'000'000, 40));
    node.Check(HealthAnswer::Ready, "i");
    node.clock.Advance(kSecond);
    // As long as the one before is heard, it is a late heartbeat.
    BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat(successor, 2'000, 1)));
    BOOST_TEST(node.registry.ServicesToConfirm().empty());
    node.clock.Advance(3 * kSecond);
    BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat(successor, 2'000, 2)));
    node.Check(HealthAnswer::NotReady, successor);
    BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat(successor, 2'000, 3)));
    node.Check(HealthAnswer::Ready, successor);
    BOOST_TEST(node.Used() == successor);
    BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat(successor, 2'000, 4)));
  }
}

// Guards against the same where no health check is answered.
BOOST_AUTO_TEST_CASE(successor_with_an_earlier_start_is_used_once_its_heartbeats_cannot_be_late)
{
  registry.ApplyHeartbeat(MakeHeartbeat("i", 9'000'000, 40));
  Check(HealthAnswer::Ready, "i");
  clock.Advance(60 * kSecond);
  bool isUsed = false;
  int seconds = 0;
  for (; seconds < 30 && !isUsed; ++seconds) {
    isUsed = registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 1 + seconds));
    BOOST_TEST(isUsed == registry.ServicesToConfirm().empty());
    clock.Advance(kSecond);
  }
  BOOST_TEST(seconds == 21);
  BOOST_TEST(Used() == "j");
}

// Guards against requests to an upstream that has left: a late heartbeat of it is taken for a
// successor with an earlier start, after calls of another writer pushed its departure out.
BOOST_AUTO_TEST_CASE(odd_departures_do_not_push_out_that_of_a_known_upstream)
{
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  Check(HealthAnswer::Ready, "i");
  registry.ApplyDeparture({ .instanceId = "i" });
  for (int i = 0; i < 1'000; ++i) {
    registry.ApplyDeparture({ .instanceId = "odd" + std::to_string(i) });
  }
  registry.ApplyHeartbeat(MakeHeartbeat("j", 2'000, 1));
  BOOST_TEST(Used() == "j");
  clock.Advance(10 * kSecond);
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 2));
  Check(HealthAnswer::Ready, "i");
  BOOST_TEST(Used() == "j");
}

// Guards against a departure that is taken for outdated because another writer states a later start
// under the id of the upstream.
BOOST_AUTO_TEST_CASE(departure_ends_an_upstream_beside_a_later_odd_start_of_its_id)
{
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  registry.ApplyHeartbeat(MakeHeartbeat("i", 100'000, 1, "unknown"));
  registry.ApplyDeparture({ .instanceId = "i", .startedAtMs = 1'000 });
  Check(HealthAnswer::Ready, "i");
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 2));
  Check(HealthAnswer::Ready, "i");
  BOOST_TEST(Used().empty());
}

// Guards against memory that grows with the heartbeats of another writer, and against heartbeats of
// unknown services that push others out of the list.
BOOST_AUTO_TEST_CASE(candidates_are_bounded_and_those_of_known_services_stay)
{
  acp::detail::UpstreamCandidates candidates(
    [](const auto& service) { return service != "unknown"; });
  candidates.Add(MakeHeartbeat("i", 1'000, 1), clock.Now());
  for (int i = 0; i < 1'000; ++i) {
    clock.Advance(kSecond);
    candidates.Add(MakeHeartbeat("odd" + std::to_string(i), 100'000 + i, 1, "unknown"),
                   clock.Now());
    BOOST_TEST(candidates.Size() <= 16U);
  }
  BOOST_TEST(candidates.FindInstance("i", true) != nullptr);
}

// Guards against an upstream that is shut out when others push it out of the list.
BOOST_AUTO_TEST_CASE(upstream_is_found_by_its_health_answer_beside_a_thousand_candidates)
{
  for (const char* service : { "unknown", "stock" }) {
    StartedNode node;
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
    for (int i = 0; i < 1'000; ++i) {
      node.registry.ApplyHeartbeat(
        MakeHeartbeat("odd" + std::to_string(i), 100'000 + i, 1, service));
    }
    node.Check(HealthAnswer::Ready, "i");
    BOOST_TEST(node.Used() == "i");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(upstream_search, SearchingNode)

// Guards against a candidate that is judged only when it comes, at a node without a configuration.
BOOST_AUTO_TEST_CASE(upstream_is_found_once_the_configuration_comes)
{
  services.clear();
  registry.ApplyHeartbeat(MakeHeartbeat("odd", 100'000, 1, "unknown"));
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  const acp::UpstreamFinder finder(FinderOptions());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(Used().empty());
  {
    const std::lock_guard lock(mutex);
    services = { "orders", "stock" };
  }
  BOOST_TEST(IsFound());
}

// Guards against an upstream that stays out because its service comes only with a later
// configuration.
BOOST_AUTO_TEST_CASE(upstream_of_a_service_that_comes_later_is_found)
{
  clock.Advance(10 * kSecond);
  registry.ApplyHeartbeat(MakeHeartbeat("odd", 100'000, 1, "unknown"));
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1, "new"));
  const acp::UpstreamFinder finder(FinderOptions());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(Used().empty());
  {
    const std::lock_guard lock(mutex);
    services.insert("new");
  }
  BOOST_TEST(IsFound());
}

// Guards against requests for a service that only another writer's heartbeat names, at an upstream
// that is known by a health answer.
BOOST_AUTO_TEST_CASE(check_for_another_writers_service_gives_the_upstream_no_service)
{
  registry.ApplyHeartbeat(MakeHeartbeat("odd", 100'000, 1, "stock"));
  clock.Advance(10 * kSecond);
  const acp::UpstreamFinder finder(FinderOptions());
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  registry.ApplyHeartbeat(MakeHeartbeat("i", 1'000, 1));
  BOOST_TEST(IsFound());
  const std::lock_guard lock(mutex);
  BOOST_TEST(std::none_of(
    announced.begin(), announced.end(), [](const auto& a) { return a.service == "stock"; }));
}

BOOST_AUTO_TEST_SUITE_END()
