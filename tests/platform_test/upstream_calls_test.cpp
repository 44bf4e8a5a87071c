#include <boost/test/unit_test.hpp>

#include <string>

#include "../transport_test/truncating_server.hpp"
#include "upstream_calls.hpp"
#include "upstream_probe.hpp"

namespace {

using acp::platform::ParseHeartbeat;

constexpr acp::Duration kTimeout = std::chrono::seconds(10);

std::string HeartbeatBody(int sequence,
                          const std::string& state = "ready",
                          const std::string& more = "")
{
  return R"({"service":"orders","address":"127.0.0.1:9000","zone":"z","version":"v1",)"
         R"("concurrency":5,"state":")" +
         state + R"(","warmup_left_ms":700,"sequence":)" + std::to_string(sequence) + more + "}";
}

acp::HealthCheckResult Probe(const acp::Address& address)
{
  return acp::platform::ProbeUpstream(
    address, { .service = "orders", .path = "/health", .timeout = kTimeout });
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_calls)

// Guards against requests to an upstream that does not exist, because of an invalid heartbeat.
BOOST_AUTO_TEST_CASE(invalid_heartbeats_are_rejected)
{
  BOOST_TEST(
    ParseHeartbeat("i", HeartbeatBody(1, "ready", R"(,"born":12,"unknown":[1])")).has_value());
  BOOST_TEST(!ParseHeartbeat("", HeartbeatBody(1)).has_value());
  BOOST_TEST(!ParseHeartbeat("i", HeartbeatBody(1, "resting")).has_value());
  BOOST_TEST(!ParseHeartbeat("i", "").has_value());
  BOOST_TEST(!ParseHeartbeat("i", "[]").has_value());
  BOOST_TEST(!ParseHeartbeat("i", "\xff\xfe{").has_value());
  BOOST_TEST(!ParseHeartbeat("i", R"({"service":"orders"})").has_value());
  std::string text = HeartbeatBody(1);
  BOOST_TEST(!ParseHeartbeat("i", text.replace(text.find('5'), 1, "\"5\"")).has_value());
}

// Guards against an upstream that another writer's deregistration takes out.
BOOST_AUTO_TEST_CASE(invalid_deregistrations_are_rejected)
{
  using acp::platform::ParseDeparture;
  BOOST_TEST(ParseDeparture("i", "").value().startedAtMs == 0);
  BOOST_TEST(ParseDeparture("i", "{}").value().startedAtMs == 0);
  BOOST_TEST(ParseDeparture("i", R"({"born":12,"more":[]})").value().startedAtMs == 12);
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
    BOOST_TEST(!ParseDeparture("i", body, &problem).has_value(), body);
    BOOST_TEST(!problem.empty());
  }
  BOOST_TEST(!ParseDeparture("", "{}").has_value());
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
  // The slots were read as 100 from a field with four figures.
  BOOST_TEST(read(200, "i", "3,0,8,100")->announcement.slots == 8);
  BOOST_TEST(!read(503, "i", "3,0,8").has_value());
  BOOST_TEST(!read(200, "", "3,0,8").has_value());
  for (const std::string load : { "", "8", "3,0,", "3,0,0", "3,0,x", "3,0,8x", "3,0,8,1,1" }) {
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
      const auto probe = Probe(upstream.ListenAddress());
      BOOST_TEST(!probe.found.has_value(), "named by " << size << " bytes");
      BOOST_TEST((probe.answer == acp::HealthAnswer::None));
    }
  }
  upstream.SetResponse(head, ConnectionEnd::Close);
  BOOST_TEST(Probe(upstream.ListenAddress()).found.has_value());
}

// Guards against a full upstream that is taken for one which is leaving, or for one that is ready.
BOOST_AUTO_TEST_CASE(health_answers_are_told_apart)
{
  using acp::HealthAnswer;
  acp::test::TruncatingServer upstream;
  const std::string identity = "Acaciapulley-Instance-Id: i-1\r\n";
  const std::string rejection = "Acaciapulley-Not-Executed: 1\r\n";
  const auto answer = [&](const std::string& status, const std::string& fields) {
    upstream.SetResponse("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n",
                         acp::test::ConnectionEnd::Close);
    return Probe(upstream.ListenAddress()).answer;
  };
  BOOST_TEST((answer("200", identity) == HealthAnswer::Ready));
  BOOST_TEST((answer("200", "") == HealthAnswer::None));
  BOOST_TEST((answer("503", identity) == HealthAnswer::NotReady));
  BOOST_TEST((answer("503", "") == HealthAnswer::NotReady));
  BOOST_TEST((answer("503", rejection) == HealthAnswer::Rejected));
  BOOST_TEST((answer("503", identity + rejection) == HealthAnswer::Rejected));
  BOOST_TEST((answer("429", rejection) == HealthAnswer::Rejected));
  BOOST_TEST((answer("404", identity) == HealthAnswer::None));
}

BOOST_AUTO_TEST_SUITE_END()
