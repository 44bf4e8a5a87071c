#include <boost/test/unit_test.hpp>

#include <string> // string
#include <vector> // vector

#include "acaciapulley/config/fleet_document.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "fleet_translation.hpp"
#include "platform_settings.hpp"
#include "upstream_calls.hpp"
#include "upstream_probe.hpp"
#include "wire_names.hpp"

// Entries of another writer: each names no upstream, and the process continues to follow the
// others.

namespace {

using acp::platform::ParseHeartbeat;

constexpr acp::Duration kTimeout = std::chrono::seconds(10);

/// A heartbeat whose @p field has the JSON text @p value.
std::string BodyWith(const std::string& field, const std::string& value)
{
  std::vector<std::pair<std::string, std::string>> fields = {
    { "service", R"("orders")" }, { "address", R"("127.0.0.1:9000")" },
    { "zone", R"("z")" },         { "version", R"("v1")" },
    { "concurrency", "5" },       { "state", R"("ready")" },
    { "warmup_left_ms", "0" },    { "sequence", "1" },
    { "born", "1700000000000" }
  };
  std::string body;
  bool isKnown = false;
  for (const auto& [name, usual] : fields) {
    isKnown = isKnown || name == field;
    body += (body.empty() ? "{\"" : ",\"") + name + "\":" + (name == field ? value : usual);
  }
  return body + (isKnown ? "" : ",\"" + field + "\":" + value) + "}";
}

std::string Nested(const std::string& open, const std::string& close, int depth)
{
  std::string text;
  for (int i = 0; i < depth; ++i) {
    text += open;
  }
  text += "1";
  for (int i = 0; i < depth; ++i) {
    text += close;
  }
  return text;
}

std::vector<std::string> NestedValues()
{
  std::vector<std::string> values;
  for (const int depth : { 10, 100, 127, 1'000, 2'000, 7'000, 100'000 }) {
    values.push_back(Nested("[", "]", depth));
    values.push_back(Nested(R"({"a":)", "}", depth));
    values.push_back(std::string(static_cast<std::size_t>(depth), '['));
  }
  return values;
}

const std::vector<std::string> kOddNumbers = { "18446744073709551616",
                                               "9223372036854775808",
                                               "-9223372036854775809",
                                               "99999999999999999999999999999999999999999",
                                               "1e400",
                                               "-1e400",
                                               "1e18",
                                               "5e0",
                                               "5.5",
                                               "-1",
                                               "\"5\"",
                                               "true",
                                               "null",
                                               "{}",
                                               "[5]" };

/// The listener of a node for heartbeats, as acp-platform-node starts it.
struct HeartbeatServer
{
  int Post(const std::string& instance, const std::string& body)
  {
    acp::StringBody source(body);
    acp::HttpRequestHead head{ .method = "POST",
                               .target = "/rpc?call=instances.heartbeat&of=" + instance };
    head.headers.Set("Content-Type", "application/json");
    const auto sent = pool.Send(head, source, static_cast<std::int64_t>(body.size()), kTimeout);
    return sent ? sent.value()->Response().status : 0;
  }

  acp::SystemClock clock;
  std::vector<acp::Announcement> announced;
  acp::UpstreamRegistry registry{ { .clock = &clock, .announce = [this](const auto& a) {
                                     announced.push_back(a);
                                   } } };
  acp::HttpServer server{ { .address = { .ip = "127.0.0.1", .port = 0 },
                            .maxConnections = 32,
                            .handler = [this](auto& e) {
                              acp::platform::ServeUpstreamCall(e, registry);
                            } } };
  acp::HttpPool pool{ { .address = { .ip = "127.0.0.1", .port = server.Port() } } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries)

// Guards against a process that ends because an entry exhausts the stack of its thread.
BOOST_AUTO_TEST_CASE(a_nested_heartbeat_ends_neither_the_process_nor_the_following)
{
  HeartbeatServer node;
  int number = 0;
  for (const std::string& value : NestedValues()) {
    for (const char* field : { "service", "born", "more" }) {
      const int status = node.Post("odd", BodyWith(field, value));
      BOOST_TEST((status == 400 || status == 413 || status == 200));
      BOOST_TEST((status != 200 || std::string(field) == "more"));
    }
    BOOST_TEST(node.Post("odd", value) != 200);
    const std::string instance = "i" + std::to_string(++number);
    BOOST_TEST(node.Post(instance, BodyWith("born", std::to_string(1'800'000'000'000 + number))) ==
               200);
    BOOST_REQUIRE(!node.announced.empty());
    BOOST_TEST(node.announced.back().instanceId == instance);
  }
}

// Guards against an upstream that does not exist, from an entry with a field of another type or out
// of range.
BOOST_AUTO_TEST_CASE(a_heartbeat_with_an_odd_number_names_no_upstream)
{
  for (const char* field : { "concurrency", "sequence", "born", "warmup_left_ms" }) {
    for (const std::string& number : kOddNumbers) {
      BOOST_TEST_CONTEXT(field << " = " << number)
      {
        BOOST_TEST(!ParseHeartbeat("i", BodyWith(field, number)).has_value());
      }
    }
  }
  BOOST_TEST(ParseHeartbeat("i", BodyWith("zone", R"("z")")).has_value());
}

// Guards against requests to an address that no upstream can have.
BOOST_AUTO_TEST_CASE(a_heartbeat_with_an_odd_address_names_no_upstream)
{
  for (const char* address : { "127.0.0.1:0",
                               "127.0.0.1:65536",
                               "127.0.0.1:-1",
                               "127.0.0.1:99999999999999999999",
                               "127.0.0.1:+80",
                               "127.0.0.1: 80",
                               "127.0.0.1:80x",
                               "127.0.0.1:",
                               "127.0.0.1",
                               ":9000",
                               "upstream:9000",
                               "0.0.0.0:9000",
                               "127.0.0.1:9000\\u0000",
                               "256.0.0.1:9000" }) {
    BOOST_TEST_CONTEXT(address)
    {
      BOOST_TEST(
        !ParseHeartbeat("i", BodyWith("address", "\"" + std::string(address) + "\"")).has_value());
    }
  }
}

// Guards against text that goes to every node with the member list although no service has it as
// its name.
BOOST_AUTO_TEST_CASE(a_heartbeat_with_odd_text_names_no_upstream)
{
  const std::vector<std::string> odd = {
    std::string(129, 'x'), "a\\u0000b", "a\\nb", "\xff\xfe", "a\xc3", "\xed\xa0\x80", ""
  };
  for (const auto& text : odd) {
    BOOST_TEST(!ParseHeartbeat("i", BodyWith("service", "\"" + text + "\"")).has_value());
  }
  BOOST_TEST(!ParseHeartbeat(std::string(129, 'i'), BodyWith("sequence", "1")).has_value());
  BOOST_TEST(!ParseHeartbeat("i\n", BodyWith("sequence", "1")).has_value());
  HeartbeatServer node;
  BOOST_TEST(node.Post("i", BodyWith("service", "\"" + std::string(1'000'000, 'x') + "\"")) == 413);
  BOOST_TEST(node.Post("i", BodyWith("sequence", "1")) == 200);
}

// Guards against an operator who cannot tell from the log what another writer got wrong.
BOOST_AUTO_TEST_CASE(a_rejected_heartbeat_names_its_field)
{
  const auto problemOf = [](const std::string& body) {
    std::string problem;
    BOOST_TEST(!ParseHeartbeat("i", body, &problem).has_value());
    return problem;
  };
  for (const char* field :
       { "service", "address", "concurrency", "state", "sequence", "warmup_left_ms" }) {
    BOOST_TEST(problemOf(BodyWith(field, "null")) == std::string(field) + " is missing");
  }
  BOOST_TEST(problemOf(BodyWith("born", "18446744073709551615")) == "born = 18446744073709551615");
  BOOST_TEST(problemOf(BodyWith("concurrency", "100001")) == "concurrency = 100001");
  BOOST_TEST(problemOf(BodyWith("state", "\"" + std::string(500, 's') + "\"")).size() < 100U);
  BOOST_TEST(problemOf(BodyWith("more", "1e400")) == "the number 1e400 is too large");
}

// Guards against a control host that ends, or accepts, on a configuration that it cannot read.
BOOST_AUTO_TEST_CASE(a_nested_configuration_is_refused)
{
  for (const std::string& value : NestedValues()) {
    BOOST_TEST(!acp::platform::TranslateConfiguration(value).has_value());
    BOOST_TEST(!acp::platform::TranslateConfiguration(R"({"routes":)" + value + "}").has_value());
    // A document that an older build stored takes the same way at start and from a snapshot.
    BOOST_TEST(!acp::FleetDocument::Parse(value).has_value());
  }
  for (const std::string& number : kOddNumbers) {
    BOOST_TEST(!acp::platform::TranslateConfiguration(R"({"version":)" + number + "}").has_value());
  }
}

// Guards against a node that ends at SIGHUP with a settings file that it cannot read: the error is
// reported as the one type that the callers handle.
BOOST_AUTO_TEST_CASE(odd_settings_are_reported_as_an_error)
{
  for (const std::string& value : NestedValues()) {
    BOOST_CHECK_THROW(acp::platform::ParsePlatformSettings(value), std::runtime_error);
    BOOST_CHECK_THROW(acp::platform::ParsePlatformSettings(R"({"node":)" + value + "}"),
                      std::runtime_error);
  }
  const std::string start = R"({"node":"n","zone":"z","ip":"127.0.0.1","listen_addrs":{},)"
                            R"("bounds":{"grace_s":6},"seed_nodes":[],"internal_ports":[)";
  for (const char* port : { "0",
                            "-1",
                            "65536",
                            "70000",
                            "18446744073709551616",
                            "1e400",
                            "7000.5",
                            "\"x\"",
                            "null",
                            "{}",
                            "[]" }) {
    BOOST_TEST_CONTEXT(port)
    {
      BOOST_CHECK_THROW(acp::platform::ParsePlatformSettings(start + port + ",7015]}"),
                        std::runtime_error);
    }
  }
  for (const char* grace : { "-1", "1e400", "1e30", "\"x\"", "null", "{}" }) {
    BOOST_TEST_CONTEXT(grace)
    {
      BOOST_CHECK_THROW(
        acp::platform::ParsePlatformSettings(
          R"({"node":"n","zone":"z","ip":"127.0.0.1","listen_addrs":{},"seed_nodes":[],)"
          R"("internal_ports":[7000,7015],"bounds":{"grace_s":)" +
          std::string(grace) + "}}"),
        std::runtime_error);
    }
  }
}

// Guards against a health answer whose counts no upstream can have.
BOOST_AUTO_TEST_CASE(an_odd_health_answer_names_no_upstream)
{
  for (const char* load : { "0,0,99999999999999999999",
                            "0,0,100001",
                            "0,0,2147483648",
                            "0,0,0",
                            "0,0,-1",
                            "0,0,1e3",
                            "0,0,",
                            "," }) {
    acp::HttpResponseHead response{ .status = 200 };
    response.headers.Set(acp::platform::kInstanceField, "i");
    response.headers.Set(acp::platform::kUpstreamLoadField, load);
    BOOST_TEST_CONTEXT(load)
    {
      BOOST_TEST(
        !acp::platform::ParseHealthResponse("orders", { .ip = "127.0.0.1", .port = 9000 }, response)
           .has_value());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
