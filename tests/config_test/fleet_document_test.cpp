#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "acaciapulley/config/fleet_document.hpp"

namespace {

std::string Route(const std::string& name, const std::string& prefix, const std::string& more = "")
{
  return R"({"name":")" + name + R"(","host":"Toko.example","path_prefix":")" + prefix +
         R"(","idempotent":true,"open":false,"priority":2,"timeout_ms":1000,"target_ms":500,)"
         R"("max_attempts":2,"destinations":[{"service":"orders","weight":1}])" +
         more + "}";
}

std::string Account(const std::string& name, char keyDigit)
{
  return R"({"name":")" + name + R"(","key_hashes":[")" + std::string(64, keyDigit) +
         R"("],"rate":5,"burst":9})";
}

std::string Fleet(const std::string& routes, const std::string& accounts = "")
{
  return R"({"max_body_bytes":1000,"head_timeout_ms":3000,"idle_timeout_ms":9000,)"
         R"("services":[{"name":"orders","health_path":"/h","max_connections":9}],"routes":[)" +
         routes + R"(],"accounts":[)" + accounts + "]}";
}

std::string ErrorOf(const std::string& text)
{
  const auto parsed = acp::FleetDocument::Parse(text);
  return parsed ? "" : parsed.error().Describe();
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_document)

// Guards against a request that is routed by a shorter prefix than the longest matching one.
BOOST_AUTO_TEST_CASE(longest_matching_prefix_of_the_host_is_selected)
{
  const auto fleet =
    acp::FleetDocument::Parse(Fleet(Route("short", "/a/") + "," + Route("long", "/a/b/"))).value();
  BOOST_TEST(fleet.Match("toko.EXAMPLE:80", "/a/b/c")->requestClass.name == "long");
  BOOST_TEST(fleet.Match("toko.example", "/a/b")->requestClass.name == "short");
  BOOST_TEST(fleet.Match("toko.example", "/a/bc/d")->requestClass.name == "short");
  BOOST_TEST(fleet.Match("toko.example", "/ab/") == nullptr);
  BOOST_TEST(fleet.Match("other.example", "/a/b/c") == nullptr);
  BOOST_TEST(fleet.Match("toko.example", "no slash") == nullptr);
}

// Guards against a limit on heads that is dropped, or that a node has no memory for, and against
// names that do not fit into the head that a node sends its peer.
BOOST_AUTO_TEST_CASE(head_limit_is_optional_and_bounded)
{
  const auto withLimit = [](const std::string& value) {
    return Fleet("").insert(1, R"("max_head_bytes":)" + value + ",");
  };
  const auto limitOf = [](const std::string& text) {
    return acp::FleetDocument::Parse(text).value().Limits().maxHeadBytes;
  };
  BOOST_TEST(limitOf(Fleet("")) == 16'384);
  BOOST_TEST(limitOf(withLimit("4096")) == 4'096);
  BOOST_TEST(limitOf(withLimit("65536")) == 65'536);
  for (const char* invalid : { "0", "65537", "\"16384\"", "null" }) {
    BOOST_TEST(ErrorOf(withLimit(invalid)).find("max_head_bytes") != std::string::npos);
  }
  BOOST_TEST(ErrorOf(Fleet(Route(std::string(1'024, 'r'), "/a/"))).empty());
  BOOST_TEST(ErrorOf(Fleet(Route(std::string(1'025, 'r'), "/a/"))).find("routes[0].name") !=
             std::string::npos);
}

// Guards against a switch for learned placement that is ignored because of a wrong name.
BOOST_AUTO_TEST_CASE(placement_of_a_service_is_optional)
{
  const auto withPlacement = [](const std::string& field) {
    std::string text = Fleet("");
    return text.replace(text.find(R"("max_connections":9)"), 19, R"("max_connections":9)" + field);
  };
  const auto placementOf = [&](const std::string& field) {
    return acp::FleetDocument::Parse(withPlacement(field)).value().FindService("orders")->placement;
  };
  BOOST_TEST((placementOf("") == std::nullopt));
  BOOST_TEST((placementOf(R"(,"placement":"learned")") == acp::Placement::Learned));
  BOOST_TEST((placementOf(R"(,"placement":"announced")") == acp::Placement::Announced));
  BOOST_TEST(!ErrorOf(withPlacement(R"(,"placement":"fast")")).empty());
}

// Guards against a document that defines accounts and has none, and is taken for one without them.
BOOST_AUTO_TEST_CASE(empty_list_of_accounts_can_require_keys)
{
  const auto withField = [](const std::string& accounts, const std::string& field) {
    std::string text = Fleet("", accounts);
    text.pop_back();
    return text + field + "}";
  };
  const std::string required = R"(,"keys_required":true)";
  BOOST_TEST(!acp::FleetDocument::Parse(Fleet("")).value().RequiresKeys());
  BOOST_TEST(acp::FleetDocument::Parse(Fleet("", Account("a", '1'))).value().RequiresKeys());
  BOOST_TEST(acp::FleetDocument::Parse(withField("", required)).value().RequiresKeys());
  BOOST_TEST(
    acp::FleetDocument::Parse(withField(Account("a", '1'), required)).value().RequiresKeys());
  BOOST_TEST(ErrorOf(withField(Account("a", '1'), R"(,"keys_required":false)")) ==
             "[100 malformed_document] keys_required: is false although there are accounts");
}

// Guards against an account with a rate that never gets a token because it has no burst.
BOOST_AUTO_TEST_CASE(rate_without_a_burst_admits_requests)
{
  const auto burstOf = [](const std::string& rate, const std::string& burst) {
    const std::string account =
      R"({"name":"a","key_hashes":[],"rate":)" + rate + R"(,"burst":)" + burst + "}";
    return acp::FleetDocument::Parse(Fleet("", account)).value().Accounts().front().limit.burst;
  };
  BOOST_TEST(burstOf("150", "0") == 15);
  BOOST_TEST(burstOf("2", "0") == 1);
  BOOST_TEST(burstOf("150", "4") == 4);
  BOOST_TEST(burstOf("0", "0") == 0);
}

// Guards against an account whose requests fail because its name fits into no context or header.
BOOST_AUTO_TEST_CASE(account_names_that_cannot_be_sent_are_rejected)
{
  BOOST_TEST(ErrorOf(Fleet("", Account(std::string(129, 'a'), '1'))) ==
             "[100 malformed_document] accounts[0].name: '" + std::string(32, 'a') +
               "...' has 129 bytes, allowed are 128");
  BOOST_TEST(ErrorOf(Fleet("", Account("a\\u0007", '1'))) ==
             "[100 malformed_document] accounts[0].name: contains a control character");
  BOOST_TEST(ErrorOf(Fleet("", Account(std::string(126, 'a') + "|%", '1'))).empty());
}

BOOST_AUTO_TEST_CASE(a_key_shared_by_two_accounts_is_rejected)
{
  const auto fleet =
    acp::FleetDocument::Parse(Fleet("", Account("a", '1') + "," + Account("b", '2'))).value();
  BOOST_TEST(fleet.FindAccountByKeyHash(std::string(64, '2'))->name == "b");
  BOOST_TEST(fleet.FindAccountByKeyHash(std::string(64, '3')) == nullptr);
  BOOST_TEST(ErrorOf(Fleet("", Account("a", '1') + "," + Account("b", '1'))) ==
             "[100 malformed_document] accounts[1].key_hashes: duplicate key hash");
}

// Guards against a rate limit that an older document without the fields gets, and against one that
// is lost or taken with another unit.
BOOST_AUTO_TEST_CASE(warmup_of_a_service_is_optional)
{
  const auto serviceWith = [](const std::string& fields) {
    std::string text = Fleet("");
    const std::string last = R"("max_connections":9)";
    return text.replace(text.find(last), last.size(), last + fields);
  };
  const auto read = [&](const std::string& fields) {
    return *acp::FleetDocument::Parse(serviceWith(fields)).value().FindService("orders");
  };
  BOOST_TEST(read("").warmupRate == 0);
  BOOST_TEST((read("").warmupTime == acp::Duration::zero()));
  const auto limited = read(R"(,"warmup_ms":3000,"warmup_rate":11.5)");
  BOOST_TEST(limited.warmupRate == 11.5);
  BOOST_TEST((limited.warmupTime == std::chrono::seconds(3)));
  BOOST_TEST(read(R"(,"warmup_rate":0)").warmupRate == 0);
  for (const std::string fields : { R"(,"warmup_rate":-1)",
                                    R"(,"warmup_rate":100001)",
                                    R"(,"warmup_rate":"11")",
                                    R"(,"warmup_ms":-1)",
                                    R"(,"warmup_ms":1.5)",
                                    R"(,"warmup_ms":3600001)" }) {
    BOOST_TEST(ErrorOf(serviceWith(fields)).find("services[0].warmup_") != std::string::npos,
               fields);
  }
}

// Guards against an invalid document that is accepted and interpreted differently from what its
// author intended.
BOOST_AUTO_TEST_CASE(invalid_fields_are_rejected_with_their_path)
{
  const std::string good = Route("r", "/a/");
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    return ErrorOf(Fleet(text.replace(text.find(from), from.size(), to)));
  };
  BOOST_TEST(ErrorOf(Fleet(good)).empty());
  BOOST_TEST(!ErrorOf(Fleet(good).substr(0, 90)).empty());
  BOOST_TEST(with(R"("service":"orders")", R"("service":"x")") ==
             "[100 malformed_document] routes[0].destinations[0].service: 'x' is not a known "
             "service");
  BOOST_TEST(with(R"("weight":1)", R"("weight":-1)").find("routes[0].destinations[0].weight") !=
             std::string::npos);
  BOOST_TEST(!with(R"("weight":1)", R"("weight":0)").empty());
  BOOST_TEST(!with(R"("timeout_ms":1000)", R"("timeout_ms":0)").empty());
  BOOST_TEST(with(R"("target_ms":500)", R"("target_ms":60999)").empty());
  BOOST_TEST(!with(R"("target_ms":500)", R"("target_ms":61000)").empty());
  BOOST_TEST(!with(R"("/a/")", R"("/a")").empty());
  BOOST_TEST(ErrorOf(Fleet(good + "," + Route("s", "/a/"))) ==
             "[100 malformed_document] routes[1].path_prefix: another route has the same host and "
             "prefix");
}

// Guards against a document without restrictions that older control wrote, and against a list that
// is lost or read as another.
BOOST_AUTO_TEST_CASE(allowed_regions_are_optional)
{
  const auto regionsOf = [](const std::string& field) {
    std::string account = Account("a", '1');
    account.insert(account.size() - 1, field);
    const auto fleet = acp::FleetDocument::Parse(Fleet(Route("r", "/a/", field), account)).value();
    BOOST_TEST(fleet.Routes().front().allowedRegions == fleet.Accounts().front().allowedRegions,
               boost::test_tools::per_element());
    return fleet.Routes().front().allowedRegions;
  };
  BOOST_TEST(regionsOf("").empty());
  BOOST_TEST(regionsOf(R"(,"allowed_regions":[])").empty());
  BOOST_TEST((regionsOf(R"(,"allowed_regions":["jawa","bali"])") ==
              std::vector<std::string>{ "jawa", "bali" }));
}

// Guards against a restriction that is dropped because its list has an invalid entry.
BOOST_AUTO_TEST_CASE(invalid_allowed_regions_are_rejected)
{
  for (const std::string list :
       { R"("jawa")", R"([""])", R"(["jawa",""])", "[1]", "[null]", "{}" }) {
    const std::string field = R"(,"allowed_regions":)" + list;
    std::string account = Account("a", '1');
    account.insert(account.size() - 1, field);
    BOOST_TEST(ErrorOf(Fleet(Route("r", "/a/", field))).find("routes[0].allowed_regions") !=
               std::string::npos);
    BOOST_TEST(ErrorOf(Fleet(Route("r", "/a/"), account)).find("accounts[0].allowed_regions") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
