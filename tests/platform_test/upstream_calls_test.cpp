#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "../transport_test/truncating_server.hpp"
#include "upstream_calls.hpp"
#include "upstream_load.hpp"
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

// Guards against the work factor, the fourth figure of the load, that is taken for the slots, and
// against a load that is believed although a part of it is not valid.
BOOST_AUTO_TEST_CASE(load_of_a_health_response_has_three_or_four_figures)
{
  const auto address = acp::Address::Parse("127.0.0.1:9000").value();
  const auto slotsOf = [&](const std::string& load) {
    acp::HttpResponseHead response{ .status = 200 };
    response.headers.Set("Acaciapulley-Instance-Id", "i");
    response.headers.Set("Acaciapulley-Server-Load", load);
    const auto found = acp::platform::ParseHealthResponse("orders", address, response);
    return found ? found->announcement.slots : 0;
  };
  BOOST_TEST(slotsOf("3,0,8") == 8);
  BOOST_TEST(slotsOf("3,0,8,250") == 8);
  for (const std::string load :
       { "3,0,8,", "3,0,8,0", "3,0,8,x", "3,0,8,100,1", "-1,0,8", "x,0,8" }) {
    BOOST_TEST(slotsOf(load) == 0, load);
  }
}

// Guards against invalid loads that are ignored without a trace of why.
BOOST_AUTO_TEST_CASE(invalid_loads_are_counted_by_reason)
{
  using acp::platform::UpstreamLoadError;
  const auto errorOf = [](const std::string& text) {
    return acp::platform::ParseUpstreamLoad(text).error();
  };
  const auto load = acp::platform::ParseUpstreamLoad("3, 1, 8, 250").value();
  BOOST_TEST(load.running == 3);
  BOOST_TEST(load.waiting == 1);
  BOOST_TEST(load.slots == 8);
  BOOST_TEST(load.workFactor.value() == 250);
  BOOST_TEST(!acp::platform::ParseUpstreamLoad("3,0,8").value().workFactor.has_value());
  for (const std::string text : { "", "8", "1,2", "1,2,3,4,5", "1,2,3,4,5,6,7" }) {
    BOOST_TEST((errorOf(text) == UpstreamLoadError::FigureCount), text);
  }
  for (const std::string text :
       { "1,2,", ",2,3", "1,2,3x", "1,2,3.5", "1,2,+3", "1 1,2,3", "1,2,3,-" }) {
    BOOST_TEST((errorOf(text) == UpstreamLoadError::NotANumber), text);
  }
  for (const std::string text : { "-1,0,8",
                                  "0,-1,8",
                                  "0,0,0",
                                  "0,0,100001",
                                  "0,0,8,0",
                                  "1000001,0,8",
                                  "0,0,99999999999999999999" }) {
    BOOST_TEST((errorOf(text) == UpstreamLoadError::OutOfRange), text);
  }
  acp::platform::InvalidLoadCounts counts;
  const auto address = acp::Address::Parse("127.0.0.1:9000").value();
  for (const std::string text : { "1", "1,2,x", "1,2,0", "1,2,x", "1,2,3" }) {
    acp::HttpResponseHead response{ .status = 200 };
    response.headers.Set("Acaciapulley-Server-Load", text);
    (void)acp::platform::ParseHealthResponse("orders", address, response, &counts);
  }
  // A response without the field states no load.
  (void)acp::platform::ParseHealthResponse("orders", address, { .status = 200 }, &counts);
  const std::map<std::string, std::uint64_t> expected = { { "figure_count", 1 },
                                                          { "not_a_number", 2 },
                                                          { "out_of_range", 1 } };
  BOOST_TEST((counts.ByReason() == expected));
}

// Guards against an upstream that is taken for warm although its response does not say so.
BOOST_AUTO_TEST_CASE(health_response_states_how_long_the_upstream_stays_cold)
{
  acp::test::TruncatingServer upstream;
  const auto probe = [&](const std::string& field) {
    upstream.SetResponse("HTTP/1.1 200 X\r\nAcaciapulley-Instance-Id: i-1\r\n"
                         "Acaciapulley-Server-Load: 3,0,8\r\n" +
                           field + "Content-Length: 0\r\n\r\n",
                         acp::test::ConnectionEnd::Close);
    return Probe(upstream.ListenAddress());
  };
  const auto cold = probe("Acaciapulley-Warmup-Ms: 2500\r\n");
  BOOST_TEST((cold.warmupLeft == acp::Duration(std::chrono::milliseconds(2500))));
  BOOST_TEST(cold.found.value().announcement.coldStartMs == 2500);
  BOOST_TEST((probe("Acaciapulley-Warmup-Ms: 0\r\n").warmupLeft == acp::Duration::zero()));
  for (const std::string value : { "-1", "x", "", "2500x", "3600001", "99999999999999999999" }) {
    const auto unknown = probe("Acaciapulley-Warmup-Ms: " + value + "\r\n");
    BOOST_TEST(!unknown.warmupLeft.has_value(), value);
    BOOST_TEST(unknown.found.value().announcement.coldStartMs == 0);
  }
  BOOST_TEST((probe("").warmupLeft == acp::Duration::zero()));
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

// Guards against an upstream that is known, or counts as alive, after a health response whose
// status is no status of HTTP.
BOOST_AUTO_TEST_CASE(health_answer_with_an_invalid_status_is_none)
{
  acp::test::TruncatingServer upstream;
  for (const std::string status :
       { "000", "00", "0", "099", "99", "-1", "-200", "600", "999", "1000", "0200" }) {
    for (const std::string rejection : { "", "Acaciapulley-Not-Executed: 1\r\n" }) {
      std::string response = "HTTP/1.1 ";
      response += status;
      response += " X\r\nAcaciapulley-Instance-Id: i-1\r\nAcaciapulley-Server-Load: 3,0,88\r\n";
      response += rejection;
      response += "Content-Length: 0\r\n\r\n";
      upstream.SetResponse(response, acp::test::ConnectionEnd::Close);
      const auto probe = Probe(upstream.ListenAddress());
      BOOST_TEST((probe.answer == acp::HealthAnswer::None), status);
      BOOST_TEST(!probe.found.has_value(), status);
      BOOST_TEST(probe.instanceId.empty(), status);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
