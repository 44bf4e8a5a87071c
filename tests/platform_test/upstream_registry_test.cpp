#include <boost/test/unit_test.hpp>

#include <vector>

#include "../transport_test/truncating_server.hpp"
#include "upstream_probe.hpp"
#include "upstream_registry.hpp"

namespace {

using acp::platform::Heartbeat;

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
  acp::platform::UpstreamRegistry registry{ [this](const auto& a) { announced.push_back(a); } };
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
      const auto found =
        acp::platform::ProbeUpstream("orders", upstream.ListenAddress(), "/health");
      BOOST_TEST(!found.has_value(), "named by " << size << " bytes");
    }
  }
  upstream.SetResponse(head, ConnectionEnd::Close);
  BOOST_TEST(
    acp::platform::ProbeUpstream("orders", upstream.ListenAddress(), "/health").has_value());
}

// Guards against a probe that overrides a heartbeat, and against a late heartbeat that undoes the
// deregistration of a probed upstream.
BOOST_AUTO_TEST_CASE(probe_result_applies_until_the_first_heartbeat)
{
  Heartbeat found = MakeHeartbeat("i", 0, 0);
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

BOOST_AUTO_TEST_SUITE_END()
