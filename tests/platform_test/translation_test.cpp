#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <Poco/String.h>

#include "acaciapulley/accounts/key_table.hpp"
#include "acaciapulley/config/fleet_document.hpp"
#include "acaciapulley/core/random.hpp"
#include "acaciapulley/node/detail/headers.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "fleet_translation.hpp"
#include "platform_settings.hpp"
#include "request_translation.hpp"
#include "wire_names.hpp"

namespace {

using namespace acp::platform;

const std::string kConfiguration =
  R"({"version":"0000000c","base_version":"00000005","later":{"x":1},"routes":[)"
  R"({"name":"r1","host":"h.example","path_prefix":"/a/","type":"idempotent","timeout_ms":6000,)"
  R"("target_latency_ms":1500,"priority":2,"traffic_split":[{"service":"s1","weight":90},)"
  R"({"service":"s2","weight":10}],"max_attempts":2,"public":false},)"
  R"({"name":"r2","host":"g.example","path_prefix":"/b/","type":"non_idempotent",)"
  R"("timeout_ms":800,"priority":0,"service":"s2","max_attempts":1,"public":true}],"services":[)"
  R"({"name":"s1","health_check_path":"/health","max_connections":89},)"
  R"({"name":"s2","max_connections":28}],"limits":{"max_header_bytes":16384,)"
  R"("max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[)"
  R"({"name":"t1","api_keys":["key1","key2"],"priority":1,"rate_per_s":150,"burst":75}]})";

std::string WithReplacement(const std::string& from, const std::string& to)
{
  std::string text = kConfiguration;
  return text.replace(text.find(from), from.size(), to);
}

/// A request of a caller; answers are dropped.
class OutsideExchange final : public acp::ServerExchange
{
public:
  explicit OutsideExchange(acp::HttpRequestHead head)
    : head_(std::move(head))
  {
  }
  [[nodiscard]] const acp::HttpRequestHead& Request() const override { return head_; }
  [[nodiscard]] std::int64_t RequestBodyLength() const override { return 0; }
  acp::BodySource& RequestBody() override { return body_; }
  void Respond(const acp::HttpResponseHead& /*head*/, const std::string& /*body*/) override {}
  acp::StreamingResult RespondStreaming(const acp::HttpResponseHead& /*head*/,
                                        std::int64_t /*length*/,
                                        acp::BodySource& /*body*/,
                                        const std::function<void()>& /*beforeLastBytes*/) override
  {
    return {};
  }
  void Abort() override {}

private:
  acp::HttpRequestHead head_;
  acp::StringBody body_{ "" };
};

/// Returns the request head that a node sends to its upstream for @p outside: with one hop the node
/// at which the request entered, with two a peer of it.
acp::HttpRequestHead ForwardedHead(const acp::HttpRequestHead& outside, int hops)
{
  acp::HttpRequestHead forwarded;
  OutsideExchange exchange(outside);
  ServeTranslated(exchange, [&](acp::ServerExchange& translated) {
    forwarded = translated.Request();
    for (int hop = 0; hop < hops; ++hop) {
      forwarded.headers = acp::detail::ForwardedRequestHeaders(forwarded.headers, true);
    }
  });
  return forwarded;
}

} // namespace

BOOST_AUTO_TEST_SUITE(translation)

// Guards against a limit on heads that the listeners do not get, and against a document that nodes
// of earlier versions refuse although it has the default.
BOOST_AUTO_TEST_CASE(head_limit_is_translated_unless_it_is_the_default)
{
  const auto documentWith = [](const std::string& field) {
    const auto change =
      TranslateConfiguration(WithReplacement(R"("max_header_bytes":16384,)", field));
    return change ? change.value().document : "refused: " + change.error().message;
  };
  BOOST_TEST(documentWith("").find("max_head_bytes") == std::string::npos);
  BOOST_TEST(documentWith(R"("max_header_bytes":16384,)") == documentWith(""));
  BOOST_TEST(documentWith(R"("max_header_bytes":32768,)").find(R"("max_head_bytes":32768)") !=
             std::string::npos);
  BOOST_TEST(documentWith(R"("max_header_bytes":"x",)") ==
             "refused: limits.max_header_bytes: is not a number");
}

BOOST_AUTO_TEST_CASE(configuration_is_translated_to_a_fleet_document)
{
  const auto change = TranslateConfiguration(kConfiguration).value();
  BOOST_TEST(change.version == 12);
  BOOST_TEST(change.baseVersion == 5);
  BOOST_TEST(change.source == kConfiguration);
  const auto fleet = acp::FleetDocument::Parse(change.document).value();
  const auto* route = fleet.Match("h.example", "/a/x");
  BOOST_TEST(route->destinations.size() == 2U);
  BOOST_TEST(route->destinations[0].weight == 90);
  BOOST_TEST(route->requestClass.idempotent);
  BOOST_TEST(!route->requestClass.openToAll);
  BOOST_TEST(!fleet.Match("g.example", "/b/")->requestClass.idempotent);
  BOOST_TEST(fleet.Match("g.example", "/b/")->requestClass.openToAll);
  const auto* account = fleet.FindAccountByKeyHash(acp::ToHex(acp::HashKey("key2")));
  BOOST_TEST(account->name == "t1");
  BOOST_TEST(account->limit.burst == 75);
}

// Guards against a warm-up rate that is lost on the way to the nodes, and against a limit for
// services of a configuration that names none.
BOOST_AUTO_TEST_CASE(warmup_of_a_service_is_translated)
{
  const auto read = [](const std::string& fields) {
    const std::string service = R"("name":"s2","max_connections":28)";
    const auto change = TranslateConfiguration(WithReplacement(service, service + fields)).value();
    return *acp::FleetDocument::Parse(change.document).value().FindService("s2");
  };
  const auto limited = read(R"(,"warmup_s":3.0,"warmup_per_s":11.0)");
  BOOST_TEST(limited.warmupRate == 11);
  BOOST_TEST((limited.warmupTime == std::chrono::seconds(3)));
  BOOST_TEST((read(R"(,"warmup_s":0.25)").warmupTime == std::chrono::milliseconds(250)));
  for (const std::string fields : { "", R"(,"warmup_s":null,"warmup_per_s":null)" }) {
    BOOST_TEST(read(fields).warmupRate == 0);
    BOOST_TEST((read(fields).warmupTime == acp::Duration::zero()));
  }
  // Stored documents stay as they were, so that replicas compare equal.
  BOOST_TEST(TranslateConfiguration(kConfiguration).value().document.find("warmup") ==
             std::string::npos);
  for (const std::string fields : { R"(,"warmup_s":"3")", R"(,"warmup_per_s":true)" }) {
    const std::string service = R"("name":"s2","max_connections":28)";
    BOOST_TEST(!TranslateConfiguration(WithReplacement(service, service + fields)).has_value());
  }
}

// Guards against an empty list of accounts that opens every route.
BOOST_AUTO_TEST_CASE(empty_list_of_accounts_is_not_a_missing_one)
{
  const std::string accounts =
    std::string(kConfiguration).substr(kConfiguration.find(",\"tenants"));
  const auto requiresKeys = [&](const std::string& replacement) {
    const auto change = TranslateConfiguration(WithReplacement(accounts, replacement)).value();
    return acp::FleetDocument::Parse(change.document).value().RequiresKeys();
  };
  BOOST_TEST(requiresKeys(accounts));
  BOOST_TEST(requiresKeys(R"(,"tenants":[]})"));
  BOOST_TEST(!requiresKeys(R"(,"tenants":null})"));
  BOOST_TEST(!requiresKeys("}"));
}

// Guards against a configuration that is applied with another meaning than its author intended.
BOOST_AUTO_TEST_CASE(invalid_configuration_is_rejected)
{
  BOOST_TEST(!TranslateConfiguration(kConfiguration.substr(0, 200)).has_value());
  BOOST_TEST(!TranslateConfiguration("").has_value());
  BOOST_TEST(!TranslateConfiguration("[1]").has_value());
  BOOST_TEST(TranslateConfiguration(WithReplacement(R"("type":"idempotent")", R"("type":"maybe")"))
               .error()
               .message == "routes[0].type: 'maybe' is not a known type");
  BOOST_TEST(TranslateConfiguration(WithReplacement(R"("0000000c")", R"("zz")")).error().message ==
             "version: is not a hexadecimal number");
  BOOST_TEST(TranslateConfiguration(WithReplacement(R"("timeout_ms":6000,)", "")).error().message ==
             "routes[0].timeout_ms: is missing");
  BOOST_TEST(
    !TranslateConfiguration(WithReplacement(R"("burst":75)", R"("burst":"75")")).has_value());
}

// Guards against a configuration that is read in part, or that ends the process.
BOOST_AUTO_TEST_CASE(configuration_that_cannot_be_read_in_full_is_rejected)
{
  BOOST_TEST(!TranslateConfiguration(kConfiguration + "}").has_value());
  BOOST_TEST(!TranslateConfiguration(kConfiguration + " []").has_value());
  BOOST_TEST(!TranslateConfiguration(WithReplacement(R"("r1")", R"("\ud800")")).has_value());
  BOOST_TEST(
    !TranslateConfiguration(WithReplacement(R"("weight":10}])", R"("weight":10},])")).has_value());
  for (const char* number : { "1.5", "1e3", "true", "[]" }) {
    BOOST_TEST(!TranslateConfiguration(WithReplacement(R"("0000000c")", number)).has_value(),
               number);
  }
  for (const char* number : { "1e300", "-1e300", "18446744073709551615" }) {
    const auto change = TranslateConfiguration(WithReplacement("6000", number));
    BOOST_TEST((!change || !acp::FleetDocument::Parse(change.value().document)), number);
  }
}

// Guards against a log line with the key of a client account.
BOOST_AUTO_TEST_CASE(problem_of_a_configuration_does_not_quote_its_keys)
{
  for (std::size_t size = kConfiguration.find("key1"); size < kConfiguration.size(); ++size) {
    const auto change = TranslateConfiguration(kConfiguration.substr(0, size) + "\x01");
    BOOST_REQUIRE(!change.has_value());
    BOOST_TEST(change.error().message.find("key") == std::string::npos, change.error().message);
  }
}

// Guards against a restriction that is lost in the translation. Null and an empty list are none,
// and the document then has no field that an older node would reject.
BOOST_AUTO_TEST_CASE(allowed_regions_are_translated)
{
  const auto translate = [](const std::string& list) {
    const std::string field = R"("allowed_regions":)" + list + ",";
    std::string text = WithReplacement(R"("priority":2,)", field + R"("priority":2,)");
    const std::string rate = R"("rate_per_s":150,)";
    text.insert(text.find(rate), field);
    return TranslateConfiguration(text);
  };
  for (const std::string none : { "null", "[]" }) {
    BOOST_TEST(translate(none).value().document.find("allowed_regions") == std::string::npos);
  }
  const auto fleet =
    acp::FleetDocument::Parse(translate(R"(["jawa","bali"])").value().document).value();
  const std::vector<std::string> expected = { "jawa", "bali" };
  BOOST_TEST((fleet.Match("h.example", "/a/x")->allowedRegions == expected));
  BOOST_TEST((fleet.Accounts().front().allowedRegions == expected));
  BOOST_TEST(fleet.Match("g.example", "/b/")->allowedRegions.empty());
  for (const std::string invalid :
       { R"("jawa")", R"([""])", "[1]", "[null]", "{}", "0", "false" }) {
    BOOST_TEST(translate(invalid).error().message.find("routes[0].allowed_regions") == 0U);
  }
}

// Guards against a reload that is refused, or a node that does not start, because of settings
// without regions; and against a data centre whose region is doubtful and that counts as allowed.
BOOST_AUTO_TEST_CASE(regions_are_read_from_the_settings)
{
  const auto regionsOf = [](const std::string& fields) {
    return ParsePlatformSettings(
             R"({"node":"n","zone":"jawa-a","ip":"127.0.0.1","listen_addrs":{},"seed_nodes":[],)"
             R"("internal_ports":[7000,7015],"bounds":{"grace_s":6})" +
             fields + "}")
      .regionOf;
  };
  using Regions = acp::RegionsByDataCentre;
  BOOST_TEST(regionsOf("").empty());
  BOOST_TEST(regionsOf(R"(,"zones":null,"region":null)").empty());
  BOOST_TEST((regionsOf(R"(,"region":"jawa")") == Regions{ { "jawa-a", "jawa" } }));
  const std::string zones = R"(,"zones":{"jawa-a":"jawa","bali-a":"bali"})";
  const Regions both{ { "jawa-a", "jawa" }, { "bali-a", "bali" } };
  BOOST_TEST((regionsOf(zones) == both));
  BOOST_TEST((regionsOf(zones + R"(,"region":"jawa")") == both));
  BOOST_TEST((regionsOf(zones + R"(,"region":"timor")") == Regions{ { "bali-a", "bali" } }));
  BOOST_TEST((regionsOf(R"(,"zones":{"bali-a":"bali"},"region":"jawa")") == both));
  for (const std::string invalid :
       { "1", "[]", R"("jawa")", R"({"bali-a":1})", R"({"bali-a":""})", R"({"bali-a":null})" }) {
    BOOST_CHECK_THROW(regionsOf(R"(,"zones":)" + invalid), std::runtime_error);
  }
}

BOOST_AUTO_TEST_CASE(settings_are_read_and_unknown_fields_are_ignored)
{
  const auto settings = ParsePlatformSettings(
    R"({"node":"n1","zone":"z","ip":"10.1.0.2","bootstrap":true,"data_dir":null,"service":"s1",)"
    R"("listen_addrs":{"outbound":"10.1.0.2:8","ready":"10.1.0.2:9","control":"10.1.0.2:10"},)"
    R"("internal_ports":[7000,7015],"seed_nodes":["10.1.0.30:8540"],"bounds":{"grace_s":6,)"
    R"("quota_overage":0.1,"quota_slack":20,"quota_window_s":5,"retry_budget_ratio":0.3,)"
    R"("retry_budget_slack":47,"budget_window_s":8},"app_addr":"10.1.0.2:11",)"
    R"("fault_tolerance":{"machines":2,"zones":0},"heartbeat_interval_ms":2500,"later":[1]})");
  BOOST_TEST(settings.toleratedLosses == 2U);
  BOOST_TEST(settings.bootstrap);
  BOOST_TEST(settings.dataFolder.empty());
  BOOST_TEST(settings.InternalAddress(1).ToString() == "10.1.0.2:7001");
  BOOST_TEST(settings.SeedRpcAddresses().front().ToString() == "10.1.0.30:7000");
  BOOST_TEST((settings.gracePeriod == std::chrono::seconds(6)));
  BOOST_TEST((settings.heartbeatInterval == std::chrono::milliseconds(2500)));
  BOOST_TEST(settings.upstreamAddress.ToString() == "10.1.0.2:11");
  BOOST_TEST(settings.rateTolerance.fraction == 0.1);
  BOOST_TEST(settings.rateTolerance.tokens == 20);
  BOOST_TEST((settings.rateTolerance.window == std::chrono::seconds(5)));
  BOOST_TEST(settings.fleetRetryBudget.ratio == 0.3);
  BOOST_TEST(settings.fleetRetryBudget.slack == 47);
  BOOST_TEST((settings.fleetRetryBudget.window == std::chrono::seconds(8)));
  BOOST_CHECK_THROW(ParsePlatformSettings(R"({"node":"n1"})"), std::runtime_error);
  BOOST_CHECK_THROW(ParsePlatformSettings("{"), std::runtime_error);
}

// Guards against a key that reaches an upstream, and against a deadline that does not.
BOOST_AUTO_TEST_CASE(request_to_an_upstream_carries_only_platform_headers)
{
  const auto translation = MakeTranslation({ .instanceId = "i-7" });
  acp::HttpRequestHead request;
  request.headers.Set(kRequestIdField, "r");
  request.headers.Set(acp::detail::kContextHeader, "secret");
  request.headers.Set(acp::detail::kDeadlineHeader, "250");
  request.headers.Set(acp::detail::kAccountHeader, "toko");
  request.headers.Set(acp::detail::kCallerServiceHeader, "orders");
  translation.request(request);
  BOOST_TEST(request.headers.Find(kTimeLeftField).value() == "250");
  BOOST_TEST(request.headers.Find(kAccountField).value() == "toko");
  BOOST_TEST(request.headers.Find(kCallerServiceField).value() == "orders");
  BOOST_TEST(request.headers.Find(kExpectedInstanceField).value() == "i-7");
  BOOST_TEST(request.headers.Fields().size() == 5U);
}

// Guards against a value from outside in a field that only this system sets, and against a key that
// is passed on: at the upstream's own node, at a peer, and with a field given twice.
BOOST_AUTO_TEST_CASE(system_fields_from_outside_do_not_reach_an_upstream)
{
  const std::array<std::string, 15> names = { kAccountField,
                                              kCallerServiceField,
                                              kExpectedInstanceField,
                                              kClientKeyField,
                                              acp::detail::kKeyHeader,
                                              acp::detail::kContextHeader,
                                              acp::detail::kServiceHeader,
                                              acp::detail::kClassHeader,
                                              acp::detail::kAccountHeader,
                                              acp::detail::kCallerServiceHeader,
                                              acp::detail::kOpenHeader,
                                              acp::detail::kAttemptHeader,
                                              acp::detail::kTargetHeader,
                                              acp::detail::kRetriesLeftHeader,
                                              acp::detail::kThresholdHeader };
  for (const auto& name : names) {
    for (const auto& spelling : { name, Poco::toLower(name), Poco::toUpper(name) }) {
      for (const int copies : { 1, 2 }) {
        for (const int hops : { 1, 2 }) {
          acp::HttpRequestHead outside{ .method = "GET", .target = "/a/" };
          outside.headers.Set(kRequestIdField, "r");
          for (int i = 0; i < copies; ++i) {
            outside.headers.Add(spelling, "from-outside");
          }
          auto head = ForwardedHead(outside, hops);
          MakeTranslation({ .instanceId = "i-7" }).request(head);
          for (const auto& [field, value] : head.headers.Fields()) {
            BOOST_TEST(value.find("from-outside") == std::string::npos,
                       spelling << " reached an upstream as " << field);
          }
        }
      }
    }
  }
}

// Guards against a late response to another request that is mistaken for the response to this one.
BOOST_AUTO_TEST_CASE(response_without_the_request_id_is_rejected)
{
  const auto translation = MakeTranslation({});
  acp::HttpRequestHead request;
  request.headers.Set(kRequestIdField, "r1");
  acp::HttpResponseHead response{ .status = 200 };
  BOOST_TEST(!translation.response(request, response));
  response.headers.Set(kRequestIdField, "r2");
  BOOST_TEST(!translation.response(request, response));
  response.headers.Set(kRequestIdField, "r1");
  BOOST_TEST(translation.response(request, response));
  BOOST_TEST(!response.headers.Find(acp::detail::kOutcomeHeader).has_value());
}

// Guards against an earlier refusal that is mistaken for that of this request; see
// HttpTranslation::idField.
BOOST_AUTO_TEST_CASE(upstream_connections_match_responses_by_request_id)
{
  BOOST_TEST(MakeTranslation({}).idField == kRequestIdField);
}

// Guards against a retry that is not made although the upstream has not run the request.
BOOST_AUTO_TEST_CASE(only_a_stated_refusal_of_the_upstream_counts_as_not_run)
{
  const auto translation = MakeTranslation({});
  const acp::HttpRequestHead request;
  acp::HttpResponseHead plain{ .status = 503 };
  BOOST_TEST(!translation.response(request, plain));
  acp::HttpResponseHead refused{ .status = 429 };
  refused.headers.Set(kNotExecutedField, "1");
  BOOST_TEST(translation.response(request, refused));
  BOOST_TEST(refused.headers.Find(acp::detail::kOutcomeHeader).value() == "not-run");
  acp::HttpResponseHead misdirected{ .status = 421 };
  BOOST_TEST(translation.response(request, misdirected));
  BOOST_TEST(misdirected.status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
