#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "acaciapulley/accounts/key_table.hpp"
#include "acaciapulley/core/random.hpp"
#include "acaciapulley/node/detail/fleet_resolver.hpp"
#include "acaciapulley/node/detail/headers.hpp"

namespace {

using namespace std::chrono_literals;

/// A fleet document whose only account is @p account and has the key `k1`; empty: without accounts.
std::string FleetDocumentText(const std::string& account = "toko")
{
  const std::string accounts = R"({"name":")" + account + R"(","key_hashes":[")" +
                               acp::ToHex(acp::HashKey("k1")) +
                               R"("],"priority":1,"rate":0,"burst":0})";
  return R"({"max_body_bytes":1000,"head_timeout_ms":3000,"idle_timeout_ms":9000,"services":[)"
         R"({"name":"old","health_path":"","max_connections":9},)"
         R"({"name":"new","health_path":"","max_connections":9}],"routes":[{"name":"r",)"
         R"("host":"h","path_prefix":"/a/","idempotent":true,"open":false,"priority":4,)"
         R"("timeout_ms":1000,"target_ms":500,"max_attempts":2,"destinations":[)"
         R"({"service":"old","weight":90},{"service":"new","weight":10}]}],"accounts":[)" +
         (account.empty() ? "" : accounts) + "]}";
}

/// A fleet document whose route is split between services `s0`, `s1` and so on.
std::string SplitDocumentText(const std::vector<int>& weights)
{
  std::string services;
  std::string destinations;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const char* separator = i == 0 ? "" : ",";
    services +=
      fmt::format(R"({}{{"name":"s{}","health_path":"","max_connections":9}})", separator, i);
    destinations += fmt::format(R"({}{{"service":"s{}","weight":{}}})", separator, i, weights[i]);
  }
  return R"({"max_body_bytes":1000,"head_timeout_ms":3000,"idle_timeout_ms":9000,"services":[)" +
         services +
         R"(],"routes":[{"name":"r","host":"h","path_prefix":"/a/","idempotent":true,"open":true,)"
         R"("priority":4,"timeout_ms":1000,"target_ms":500,"max_attempts":2,"destinations":[)" +
         destinations + R"(]}],"accounts":[]})";
}

struct Fixture
{
  acp::ManualClock clock;
  acp::StateCache stateCache;
  acp::detail::FleetResolver resolver{ stateCache, clock };
  acp::HttpRequestHead head{ .method = "GET", .target = "/a/x?q=1" };

  Fixture() { head.headers.Set("Host", "h"); }

  void ApplyFleetDocument(const std::string& text = FleetDocumentText(), std::int64_t version = 1)
  {
    stateCache.Apply({ .toVersion = version, .fleet = acp::ReceivedDocument{ version, text } },
                     clock.Now());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_resolver, Fixture)

// Guards against a node that denies a route because it has no fleet document yet.
BOOST_AUTO_TEST_CASE(node_without_a_fleet_document_refuses_with_503)
{
  BOOST_TEST(resolver.Resolve(head, 0).error().status == 503);
}

// Guards against the denial of a route or key that the operator has just added.
BOOST_AUTO_TEST_CASE(stale_document_does_not_deny_routes_or_keys)
{
  ApplyFleetDocument();
  head.headers.Set(acp::detail::kKeyHeader, "wrong");
  const auto request = resolver.Resolve(head, 0).value();
  BOOST_TEST(resolver.Authenticate(head, request).error().status == 401);
  head.target = "/b/";
  BOOST_TEST(resolver.Resolve(head, 0).error().status == 404);
  clock.Advance(1501ms);
  BOOST_TEST(resolver.Resolve(head, 0).error().status == 503);
  BOOST_TEST(resolver.Authenticate(head, request).error().status == 503);
}

BOOST_AUTO_TEST_CASE(key_resolves_to_account_and_priority)
{
  ApplyFleetDocument();
  head.headers.Set(acp::detail::kKeyHeader, "k1");
  const auto caller = resolver.Authenticate(head, resolver.Resolve(head, 0).value()).value();
  BOOST_TEST(caller.account == "toko");
  BOOST_TEST(caller.priority == 2);
  BOOST_TEST(!caller.isLimited);
}

// Guards against a request whose account comes from a later document than its route.
BOOST_AUTO_TEST_CASE(account_of_a_request_comes_from_the_document_of_its_route)
{
  std::int64_t version = 0;
  for (const std::string later : { "", "other" }) {
    ApplyFleetDocument(FleetDocumentText(), ++version);
    head.headers.Set(acp::detail::kKeyHeader, "k1");
    const auto request = resolver.Resolve(head, 0).value();
    ApplyFleetDocument(FleetDocumentText(later), ++version);
    BOOST_TEST(resolver.Authenticate(head, request).value().account == "toko");
    const auto next = resolver.Resolve(head, 0).value();
    BOOST_TEST(resolver.Authenticate(head, next).value().account == later);
  }
}

// Guards against shares that match the weights only over very many requests.
BOOST_AUTO_TEST_CASE(each_ten_requests_match_the_destination_weights)
{
  ApplyFleetDocument();
  for (int round = 0; round < 5; ++round) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 10; ++i) {
      ++counts[resolver.Resolve(head, 0).value().service];
    }
    BOOST_TEST(counts["old"] == 9);
    BOOST_TEST(counts["new"] == 1);
  }
}

// Guards against a destination that gets a request after its weight has become 0, and against
// shares that are off by more than a request after a change of weights.
BOOST_DATA_TEST_CASE(shares_follow_the_weights_from_the_first_request_after_a_change,
                     boost::unit_test::data::xrange(20),
                     seed)
{
  std::mt19937 random(static_cast<unsigned>(seed));
  const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
  const int parts = 2 + draw(6);
  for (int version = 1; version <= 60; ++version) {
    std::vector<int> weights;
    int total = 0;
    for (int i = 0; i < parts; ++i) {
      weights.push_back(draw(2) == 0 ? 0 : draw(100));
      total += weights.back();
    }
    if (total == 0) {
      weights[0] = total = 1;
    }
    ApplyFleetDocument(SplitDocumentText(weights), version);
    std::map<std::string, int> counts;
    const int requests = draw(200);
    for (int sent = 1; sent <= requests; ++sent) {
      ++counts[resolver.Resolve(head, 0).value().service];
      for (int i = 0; i < parts; ++i) {
        const double share = 1.0 * sent * weights[static_cast<std::size_t>(i)] / total;
        const double off = counts["s" + std::to_string(i)] - share;
        BOOST_REQUIRE_MESSAGE(std::abs(off) < 1 && (share > 0 || off == 0),
                              "seed " << seed << ": part " << i << " of version " << version
                                      << " is off by " << off << " after " << sent);
      }
    }
  }
}

// Guards against a peer with an older fleet document that makes its own routing decision.
BOOST_AUTO_TEST_CASE(peer_applies_the_routing_decision_of_the_entry_node)
{
  BOOST_TEST(acp::detail::FleetResolver::ResolveForPeer(head, {}).error().status == 400);
  head.headers.Set(acp::detail::kServiceHeader, "new");
  head.headers.Set(acp::detail::kClassHeader, "r");
  const auto request =
    acp::detail::FleetResolver::ResolveForPeer(head, { .account = "toko", .idempotent = false })
      .value();
  BOOST_TEST(request.service == "new");
  BOOST_TEST(request.upstreamTarget == "/a/x?q=1");
  BOOST_TEST(!request.requestClass->idempotent);
  BOOST_TEST(!request.requestClass->needsClaim);
  BOOST_TEST(!request.requestClass->openToAll);
}

BOOST_AUTO_TEST_SUITE_END()
