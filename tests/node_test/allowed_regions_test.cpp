#include <boost/test/unit_test.hpp>

#include "pipeline_documents.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

const acp::RegionsByDataCentre kRegions = { { "jawa-a", "jawa" },
                                            { "jawa-b", "jawa" },
                                            { "bali-a", "bali" } };

/// Adds `allowed_regions` to the route or account that starts with @p entry.
void Restrict(std::string& document, const std::string& entry, const std::string& regions)
{
  const std::string start = R"({"name":")" + entry + R"(",)";
  const auto at = document.find(start);
  BOOST_REQUIRE(at != std::string::npos);
  document.insert(at + start.size(), R"("allowed_regions":)" + regions + ",");
}

/// The lists of the routes `read`, `order` and `nested`, and of the account `unlimited`.
std::string Document(const std::string& ofRoutes, const std::string& ofAccount = "[]")
{
  std::string document = FleetDocumentText();
  for (const char* route : { "read", "order", "nested" }) {
    Restrict(document, route, ofRoutes);
  }
  Restrict(document, "unlimited", ofAccount);
  return document;
}

std::string ReplaceAll(std::string text, const std::string& from, const std::string& to)
{
  for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

/// Shortens the time for which requests wait for a member.
std::string WithShortTimeout(const std::string& document)
{
  return ReplaceAll(document, "100000", "300");
}

/// Nodes of the service `front` in four data centres; the first is the one that callers connect to.
/// The region of `timor-a` is not known.
struct Fixture
{
  FakeControl control;
  std::array<FakeUpstream, 4> upstreams;
  std::vector<std::unique_ptr<TestNode>> nodes;

  explicit Fixture(
    const std::vector<std::string>& dataCentres = { "bali-a", "jawa-a", "jawa-b", "timor-a" })
  {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      nodes.push_back(std::make_unique<TestNode>(TestNodeOptions{ .id = "n" + std::to_string(i),
                                                                  .dataCentre = dataCentres.at(i),
                                                                  .control = &control,
                                                                  .upstream = &upstreams.at(i),
                                                                  .routesByFleet = true }));
    }
    TestNode::ConnectAll({ nodes[0].get(), nodes[1].get(), nodes[2].get(), nodes[3].get() });
    nodes[0]->ReplaceRegions(kRegions);
  }

  void ApplyFleet(const std::string& text) { nodes[0]->ApplyFleet(++version, text); }

  FetchResult Send(const acp::HttpRequestHead& head)
  {
    return Fetch(nodes[0]->IngressPort(), head);
  }

  /// Returns the numbers of requests that each upstream received.
  [[nodiscard]] std::vector<std::size_t> Received() const
  {
    std::vector<std::size_t> counts;
    for (const auto& upstream : upstreams) {
      counts.push_back(upstream.Recorded().size());
    }
    return counts;
  }

  void CheckNoUpstream(const FetchResult& answer)
  {
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.outcome == "not-run");
    BOOST_TEST(answer.reason == "no_upstream");
  }

  std::int64_t version = 1;
};

constexpr int kRequests = 40;

} // namespace

BOOST_FIXTURE_TEST_SUITE(allowed_regions, Fixture)

// Guards against requests that leave the allowed region: to the local upstream, which is preferred
// otherwise, to a member in another region, and to one whose region is not known.
BOOST_AUTO_TEST_CASE(requests_reach_upstreams_in_allowed_regions_only)
{
  ApplyFleet(Document(R"(["jawa"])"));
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(Send(FleetRead("r" + std::to_string(i))).status == 200);
    BOOST_TEST(Send(FleetOrder("o" + std::to_string(i))).status == 200);
  }
  const auto counts = Received();
  BOOST_TEST(counts[0] == 0U);
  BOOST_TEST(counts[1] + counts[2] == 2U * kRequests);
  BOOST_TEST(counts[1] > 0U);
  BOOST_TEST(counts[2] > 0U);
  BOOST_TEST(counts[3] == 0U);
}

// Guards against a list that also restricts other routes and accounts, and against an empty one
// that restricts anything.
BOOST_AUTO_TEST_CASE(unrestricted_requests_prefer_the_local_upstream)
{
  ApplyFleet(Document("[]", R"(["jawa"])"));
  BOOST_TEST(Send(FleetRead("limited", kLimitedKey)).status == 200);
  // A nested call carries no account, so only the list of its own route applies.
  BOOST_TEST(Send(FleetNestedRead("nested")).status == 200);
  BOOST_TEST(Received()[0] == 2U);
  BOOST_TEST(Send(FleetRead("restricted")).status == 200);
  BOOST_TEST(Received()[0] == 2U);
  ApplyFleet(Document(R"(["jawa"])"));
  BOOST_TEST(Send(FleetQuickRead("other-route")).status == 200);
  BOOST_TEST(Received()[0] == 3U);
  BOOST_TEST(Send(FleetNestedRead("nested")).status == 200);
  BOOST_TEST(Received()[0] == 3U);
}

// Guards against one list that replaces the other. With no region in common nothing runs, and the
// caller is told at once instead of after the time for which requests wait for members.
BOOST_AUTO_TEST_CASE(lists_of_route_and_account_both_apply)
{
  ApplyFleet(Document(R"(["jawa","bali"])", R"(["bali","timor"])"));
  BOOST_TEST(Send(FleetRead("both")).status == 200);
  BOOST_TEST(Received()[0] == 1U);
  ApplyFleet(Document(R"(["jawa"])", R"(["bali"])"));
  for (const auto& head : { FleetRead("none"), FleetOrder("none") }) {
    const auto start = std::chrono::steady_clock::now();
    CheckNoUpstream(Send(head));
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::seconds(10)));
  }
  BOOST_TEST((Received() == std::vector<std::size_t>{ 1, 0, 0, 0 }));
}

// Guards against a region that no data centre has and that counts as no restriction.
BOOST_AUTO_TEST_CASE(unknown_region_has_no_members)
{
  ApplyFleet(WithShortTimeout(Document(R"(["sumatra"])")));
  CheckNoUpstream(Send(FleetRead("unknown")));
  CheckNoUpstream(Send(FleetOrder("unknown")));
  BOOST_TEST((Received() == std::vector<std::size_t>{ 0, 0, 0, 0 }));
}

// Guards against a retry in another region after the allowed members have failed.
BOOST_AUTO_TEST_CASE(retries_stay_in_allowed_regions)
{
  ApplyFleet(ReplaceAll(Document(R"(["jawa"])"), R"("max_attempts":2)", R"("max_attempts":4)"));
  for (const std::size_t i : { 1U, 2U }) {
    upstreams.at(i).chooseBehaviour = [] { return UpstreamBehaviour::CloseAfterRun; };
  }
  const auto answer = Send(FleetRead("lost"));
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST((Received() == std::vector<std::size_t>{ 0, 1, 1, 0 }));
}

// Guards against a discarded server error whose retry has no allowed member left: the response must
// reach the caller.
BOOST_AUTO_TEST_CASE(server_error_is_passed_on_when_no_other_member_is_allowed)
{
  ApplyFleet(Document(R"(["bali"])"));
  upstreams.at(0).chooseBehaviour = [] { return UpstreamBehaviour::CloseAfterRun; };
  BOOST_TEST(Send(FleetRead("lost")).status == 502);
  BOOST_TEST((Received() == std::vector<std::size_t>{ 1, 0, 0, 0 }));
}

// Guards against a fallback to another region while all allowed members drain.
BOOST_AUTO_TEST_CASE(draining_members_are_not_replaced_by_forbidden_ones)
{
  ApplyFleet(WithShortTimeout(Document(R"(["jawa"])")));
  nodes[1]->Announce(true);
  nodes[2]->Announce(true);
  for (int i = 0; i < 3; ++i) {
    const auto answer = Send(FleetRead("r" + std::to_string(i)));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.outcome == "not-run");
  }
  BOOST_TEST((Received() == std::vector<std::size_t>{ 0, 0, 0, 0 }));
}

// Guards against settings that change without effect: a data centre moves to another region, and
// one gets a region.
BOOST_AUTO_TEST_CASE(replaced_regions_take_effect_without_a_restart)
{
  ApplyFleet(Document(R"(["jawa"])"));
  nodes[0]->ReplaceRegions({ { "jawa-a", "bali" }, { "timor-a", "jawa" } });
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(Send(FleetRead("r" + std::to_string(i))).status == 200);
  }
  BOOST_TEST((Received() == std::vector<std::size_t>{ 0, 0, 0, kRequests }));
  nodes[0]->ReplaceRegions(kRegions);
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(Send(FleetRead("s" + std::to_string(i))).status == 200);
  }
  const auto counts = Received();
  BOOST_TEST(counts[0] == 0U);
  BOOST_TEST(counts[1] + counts[2] == static_cast<std::size_t>(kRequests));
  BOOST_TEST(counts[3] == static_cast<std::size_t>(kRequests));
}

// Guards against a peer that needs the new field: one that has an older fleet document, and no
// regions in its settings, runs what another node has picked it for.
BOOST_AUTO_TEST_CASE(peer_without_the_field_runs_restricted_requests)
{
  ApplyFleet(Document(R"(["jawa"])"));
  nodes[1]->ApplyFleet(2, FleetDocumentText());
  nodes[2]->ApplyFleet(2, FleetDocumentText());
  BOOST_TEST(Send(FleetRead("read")).status == 200);
  BOOST_TEST(Send(FleetOrder("order")).status == 200);
  const auto counts = Received();
  BOOST_TEST(counts[1] + counts[2] == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
