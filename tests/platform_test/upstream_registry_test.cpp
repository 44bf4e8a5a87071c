#include <boost/test/unit_test.hpp>

#include <vector>

#include "../transport_test/truncating_server.hpp"
#include "upstream_probe.hpp"
#include "upstream_registry.hpp"

namespace {

using acp::platform::HealthAnswer;
using acp::platform::Heartbeat;
using acp::platform::ProbeResult;

std::string HeartbeatBody(int sequence,
                          const std::string& state = "ready",
                          const std::string& more = "")
{
  return R"({"service":"orders","address":"127.0.0.1:9000","zone":"z","version":"v1",)"
         R"("concurrency":5,"state":")" +
         state + R"(","warmup_left_ms":700,"sequence":)" + std::to_string(sequence) + more + "}";
}

Heartbeat MakeHeartbeat(const std::string& id,
                        std::int64_t startedAtMs,
                        int sequence,
                        bool drains = false)
{
  auto beat = Heartbeat::Parse(id, HeartbeatBody(sequence, drains ? "draining" : "ready")).value();
  beat.startedAtMs = startedAtMs;
  return beat;
}

struct Fixture
{
  std::vector<acp::Announcement> announced;
  acp::platform::UpstreamRegistry registry{ { .announce = [this](const auto& a) {
    announced.push_back(a);
  } } };
};

/// The registry of a node that has just been started beside a running upstream.
struct RestartedNode
{
  explicit RestartedNode(bool confirmsFirstHeartbeat = true)
    : registry({ .announce = [this](const auto& a) { announced.push_back(a); },
                 .isKnownService = [](const auto& service) { return service != "unknown"; },
                 .confirmsFirstHeartbeat = confirmsFirstHeartbeat })
  {
  }

  std::vector<acp::Announcement> announced;
  acp::platform::UpstreamRegistry registry;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_registry, Fixture)

// Guards against requests to an upstream that does not exist, because of an invalid heartbeat.
BOOST_AUTO_TEST_CASE(invalid_heartbeats_are_rejected)
{
  BOOST_TEST(
    Heartbeat::Parse("i", HeartbeatBody(1, "ready", R"(,"born":12,"unknown":[1])")).has_value());
  BOOST_TEST(!Heartbeat::Parse("", HeartbeatBody(1)).has_value());
  BOOST_TEST(!Heartbeat::Parse("i", HeartbeatBody(1, "resting")).has_value());
  BOOST_TEST(!Heartbeat::Parse("i", "").has_value());
  BOOST_TEST(!Heartbeat::Parse("i", "[]").has_value());
  BOOST_TEST(!Heartbeat::Parse("i", "\xff\xfe{").has_value());
  BOOST_TEST(!Heartbeat::Parse("i", R"({"service":"orders"})").has_value());
  std::string text = HeartbeatBody(1);
  BOOST_TEST(!Heartbeat::Parse("i", text.replace(text.find('5'), 1, "\"5\"")).has_value());
}

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
  registry.ApplyDeregistration({ .instanceId = "other" });
  BOOST_TEST(!announced.back().draining);
  registry.ApplyDeregistration({ .instanceId = "a" });
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
  BOOST_TEST(!registry.ApplyDeregistration({ .instanceId = "a", .startedAtMs = 100 }));
  BOOST_TEST(announced.size() == announcements);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 200, 2)));
  BOOST_TEST(!announced.back().draining);
  BOOST_TEST(registry.ApplyDeregistration({ .instanceId = "a", .startedAtMs = 200 }));
  BOOST_TEST(announced.back().draining);
}

// Guards against an upstream that is used again because a heartbeat of the start that deregistered
// arrives late.
BOOST_AUTO_TEST_CASE(deregistration_of_a_start_without_heartbeats_is_kept)
{
  registry.ApplyHeartbeat(MakeHeartbeat("a", 100, 5));
  BOOST_TEST(registry.ApplyDeregistration({ .instanceId = "a", .startedAtMs = 200 }));
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 200, 1)));
  BOOST_TEST(announced.back().draining);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("a", 300, 1)));
  BOOST_TEST(!announced.back().draining);
}

// Guards against an upstream that another writer's deregistration takes out.
BOOST_AUTO_TEST_CASE(invalid_deregistrations_are_rejected)
{
  using acp::platform::Deregistration;
  BOOST_TEST(Deregistration::Parse("i", "").value().startedAtMs == 0);
  BOOST_TEST(Deregistration::Parse("i", "{}").value().startedAtMs == 0);
  BOOST_TEST(Deregistration::Parse("i", R"({"born":12,"more":[]})").value().startedAtMs == 12);
  for (const std::string body : { "[]",
                                  "{",
                                  "\xff",
                                  R"({"born":"12"})",
                                  R"({"born":-1})",
                                  R"({"born":1.5})",
                                  R"({"born":null})",
                                  R"({"born":true})",
                                  R"({"born":99999999999999999999})" }) {
    std::string problem;
    BOOST_TEST(!Deregistration::Parse("i", body, &problem).has_value(), body);
    BOOST_TEST(!problem.empty());
  }
  BOOST_TEST(!Deregistration::Parse("", "{}").has_value());
}

// Guards against requests to an upstream that is draining or does not state its identity.
BOOST_AUTO_TEST_CASE(only_a_healthy_response_with_identity_and_slots_is_accepted)
{
  const auto address = acp::Address::Parse("127.0.0.1:9000").value();
  const auto read = [&](int status, const std::string& instance, const std::string& load) {
    acp::HttpResponseHead response{ .status = status };
    response.headers.Set("Acaciapulley-Instance-Id", instance);
    response.headers.Set("Acaciapulley-Server-Load", load);
    return acp::platform::ParseHealthResponse("orders", address, response);
  };
  const auto found = read(200, "i", "3,0,8");
  BOOST_TEST(found->announcement.slots == 8);
  BOOST_TEST(found->announcement.instanceId == "i");
  BOOST_TEST(found->announcement.service == "orders");
  BOOST_TEST(!read(503, "i", "3,0,8").has_value());
  BOOST_TEST(!read(200, "", "3,0,8").has_value());
  for (const std::string load : { "", "8", "3,0,", "3,0,0", "3,0,x", "3,0,8x" }) {
    BOOST_TEST(!read(200, "i", load).has_value());
  }
}

// Guards against an upstream that is identified by the truncated head of a health response.
BOOST_AUTO_TEST_CASE(truncated_health_response_is_rejected)
{
  using namespace acp::test;
  const std::string head = "HTTP/1.1 200 OK\r\nAcaciapulley-Instance-Id: i-1\r\n"
                           "Acaciapulley-Server-Load: 3,0,88\r\nContent-Length: 0\r\n\r\n";
  TruncatingServer upstream;
  for (const ConnectionEnd end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      upstream.SetResponse(head.substr(0, size), end);
      const auto probe =
        acp::platform::ProbeUpstream("orders", upstream.ListenAddress(), "/health");
      BOOST_TEST(!probe.found.has_value(), "named by " << size << " bytes");
      BOOST_TEST((probe.answer == acp::platform::HealthAnswer::None));
    }
  }
  upstream.SetResponse(head, ConnectionEnd::Close);
  BOOST_TEST(
    acp::platform::ProbeUpstream("orders", upstream.ListenAddress(), "/health").found.has_value());
}

// Guards against a probe that overrides a heartbeat, and against a late heartbeat that undoes the
// deregistration of a probed upstream.
BOOST_AUTO_TEST_CASE(probe_result_applies_until_the_first_heartbeat)
{
  const ProbeResult found{ .answer = HealthAnswer::Ready,
                           .instanceId = "i",
                           .found = MakeHeartbeat("i", 0, 0) };
  registry.ApplyProbe(found);
  BOOST_TEST(announced.size() == 1U);
  BOOST_TEST(registry.HasUpstream());
  registry.ApplyDeregistration({ .instanceId = "i" });
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7)));
  BOOST_TEST(announced.back().draining);
  BOOST_TEST(registry.ApplyHeartbeat(MakeHeartbeat("j", 2000, 1)));
  BOOST_TEST(!announced.back().draining);
  registry.ApplyProbe(found);
  BOOST_TEST(announced.back().instanceId == "j");
}

// Guards against a node that is started again and takes a late heartbeat for news, although its
// upstream has deregistered at the process before it.
BOOST_AUTO_TEST_CASE(first_heartbeat_after_a_start_waits_until_the_upstream_is_ready)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7));
  BOOST_TEST(node.announced.empty());
  BOOST_TEST(node.registry.ServiceToConfirm() == "orders");
  for (int i = 0; i < 10; ++i) {
    node.registry.ApplyProbe({ .answer = HealthAnswer::NotReady, .instanceId = "i" });
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 8 + i));
  }
  BOOST_TEST(node.announced.empty());
  node.registry.ApplyProbe({ .answer = HealthAnswer::Ready, .instanceId = "i" });
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
  const ProbeResult current{ .answer = HealthAnswer::Ready,
                             .instanceId = "new",
                             .found = MakeHeartbeat("new", 0, 0) };
  node.registry.ApplyProbe(current);
  node.registry.ApplyHeartbeat(MakeHeartbeat("old", 500, 90));
  BOOST_TEST(node.announced.back().instanceId == "new");
  BOOST_TEST(node.registry.ServiceToConfirm() == "orders");
  node.registry.ApplyProbe(current);
  BOOST_TEST(node.registry.HasUpstream());
  BOOST_TEST(node.announced.back().instanceId == "new");
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("new", 900, 5)));
  BOOST_TEST(!node.registry.ApplyHeartbeat(MakeHeartbeat("old", 500, 91)));
  BOOST_TEST(node.registry.ApplyHeartbeat(MakeHeartbeat("newest", 1500, 1)));
}

// Guards against a deregistration that is acknowledged and forgotten because no heartbeat has come
// since the node's start.
BOOST_AUTO_TEST_CASE(deregistration_before_the_first_heartbeat_is_kept)
{
  for (const bool confirms : { false, true }) {
    RestartedNode node(confirms);
    BOOST_TEST(node.registry.ApplyDeregistration({ .instanceId = "i", .startedAtMs = 1000 }));
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 7));
    node.registry.ApplyProbe({ .answer = HealthAnswer::Ready, .instanceId = "i" });
    for (const auto& announcement : node.announced) {
      BOOST_TEST(announcement.draining);
    }
    node.registry.ApplyHeartbeat(MakeHeartbeat("i", 2000, 1));
    BOOST_TEST(!node.announced.back().draining);
  }
}

// Guards against an upstream without requests because its health checks get no answer.
BOOST_AUTO_TEST_CASE(upstream_without_health_answers_is_used_while_it_sends_heartbeats)
{
  RestartedNode node;
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 1));
  for (int i = 0; i < 5; ++i) {
    node.registry.ApplyProbe({});
  }
  BOOST_TEST(node.announced.empty());
  node.registry.ApplyHeartbeat(MakeHeartbeat("i", 1000, 2));
  node.registry.ApplyProbe({});
  BOOST_TEST(node.announced.size() == 1U);
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

BOOST_AUTO_TEST_SUITE_END()
