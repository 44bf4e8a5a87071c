#include <boost/test/unit_test.hpp>

#include <map>    // map
#include <string> // string
#include <vector> // vector

#include "balancer_fixture.hpp" // BalancerFixture

namespace {

using std::chrono::seconds;

struct Fixture : acp::test::BalancerFixture
{
  std::string Pick(const std::vector<std::string>& tried = {})
  {
    const auto picked = balancer.Pick({ .service = "s", .tried = tried }, clock.Now());
    return picked ? picked->nodeId : "";
  }

  void Finish(const std::string& node, acp::CallResult result)
  {
    Finish(node, { .result = result, .startedAt = clock.Now() });
  }

  void Finish(const std::string& node, const acp::FinishedCall& finished)
  {
    table.FinishCall("s", node, 1, finished, clock.Now());
  }

  double Capacity(const std::string& node)
  {
    double value = 0;
    table.With("s", [&](acp::ServiceMembers& members) {
      value = members.Find(node)->CapacityAt(clock.Now());
    });
    return value;
  }

  std::map<std::string, int> PickMany(int count)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      const std::string node = Pick();
      ++counts[node];
      Finish(node, acp::CallResult::Answered);
    }
    return counts;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(balancer)

// Guards against requests to a member that is known to drain from control's list or from its own
// refusal, even when an older list arrives afterwards (P10).
BOOST_FIXTURE_TEST_CASE(draining_member_gets_no_requests, Fixture)
{
  auto leaving = Member("n1");
  leaving.isDraining = true;
  Apply({ leaving, Member("n2"), Member("n3") });
  BOOST_TEST(PickMany(200)["n1"] == 0);
  Finish("n2", acp::CallResult::Draining);
  Apply({ leaving, Member("n2"), Member("n3") });
  table.Apply(1, 1, { Member("n1") }, clock.Now());
  BOOST_TEST(PickMany(200)["n3"] == 200);
  BOOST_TEST(Pick({ "n3" }).empty());
  clock.Advance(seconds(6));
  Apply({ leaving, Member("n2"), Member("n3") });
  BOOST_TEST(PickMany(200)["n2"] > 50);
}

// Guards against requests to an upstream in an evacuated data centre: to the local one, to a member
// that only a later list contains, as a trial, or as the last one that was not tried.
BOOST_FIXTURE_TEST_CASE(member_in_an_evacuated_data_centre_gets_no_requests, Fixture)
{
  Apply({ Member("n0"), Member("n1"), Member("n2", "b") });
  BOOST_TEST(Pick() == "n0");
  Finish("n0", acp::CallResult::Answered);
  table.SetEvacuated({ "a" });
  BOOST_TEST(PickMany(100)["n2"] == 100);
  Apply({ Member("n0"), Member("n1"), Member("n2", "b"), Member("n3", "b"), Member("n4") });
  auto counts = PickMany(200);
  BOOST_TEST(counts["n2"] + counts["n3"] == 200);
  BOOST_TEST(balancer.HasUntriedMember({ .service = "s", .tried = { "n2" } }));
  BOOST_TEST(!balancer.HasUntriedMember({ .service = "s", .tried = { "n2", "n3" } }));
  table.SetEvacuated({ "a", "b" });
  BOOST_TEST(Pick().empty());
  table.SetEvacuated({});
  BOOST_TEST(PickMany(100)["n0"] == 100);
}

// Guards against requests to an evacuated data centre for a service that was unknown when the
// evacuation began.
BOOST_FIXTURE_TEST_CASE(evacuation_applies_to_services_that_are_learned_later, Fixture)
{
  table.SetEvacuated({ "a" });
  Apply({ Member("n1") });
  BOOST_TEST(Pick().empty());
  Apply({ Member("n1"), Member("n2", "b") });
  BOOST_TEST(PickMany(50)["n2"] == 50);
}

// Guards against a member that gets no requests after an evacuation because its refusal during the
// evacuation is taken for a drain: the list from control then never shows a change.
BOOST_FIXTURE_TEST_CASE(member_that_refused_during_an_evacuation_is_used_after_it, Fixture)
{
  Apply({ Member("n1", "b"), Member("n2", "c") });
  Finish("n1", acp::CallResult::Draining);
  table.SetEvacuated({ "b" });
  BOOST_TEST(PickMany(100)["n2"] == 100);
  table.SetEvacuated({});
  clock.Advance(acp::kDrainRefusalLifetime);
  BOOST_TEST(PickMany(200)["n1"] > 50);
}

// Guards against evacuated members that allow the ejection of all members which still serve.
BOOST_FIXTURE_TEST_CASE(evacuated_members_do_not_count_for_the_limit_of_ejections, Fixture)
{
  const auto countEjected = [this] {
    int ejected = 0;
    table.With("s", [&](acp::ServiceMembers& members) {
      for (const auto& member : members.Members()) {
        ejected += member.outlier.IsEjected() ? 1 : 0;
      }
    });
    return ejected;
  };
  Apply({ Member("n1"),
          Member("n2"),
          Member("n3", "b"),
          Member("n4", "b"),
          Member("n5", "b"),
          Member("n6", "b") });
  table.SetEvacuated({ "b" });
  for (int i = 0; i < 20; ++i) {
    Finish("n1", acp::CallResult::Failed);
    Finish("n2", acp::CallResult::Failed);
  }
  BOOST_TEST(countEjected() <= static_cast<int>(acp::OutlierDetector::MaxEjected(2)));
}

// Guards against an additional hop while the local upstream has capacity, and against queueing
// there while a peer is idle.
BOOST_FIXTURE_TEST_CASE(local_upstream_is_preferred_until_near_its_limit, Fixture)
{
  Apply({ Member("n0"), Member("n1") });
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(Pick() == "n0");
  }
  BOOST_TEST(Pick() == "n1");
}

// Guards against unnecessary traffic between data centres, and against an overloaded data centre
// next to an idle one.
BOOST_FIXTURE_TEST_CASE(same_data_centre_is_preferred_until_near_its_limit, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3", "b") });
  std::map<std::string, int> counts;
  for (int i = 0; i < 26; ++i) {
    ++counts[Pick()];
    BOOST_TEST((i >= 18 || counts["n3"] == 0));
  }
  BOOST_TEST(counts["n3"] >= 5);
}

// Guards against retries at a member that was tried before, and against a member picked for an
// unknown service.
BOOST_FIXTURE_TEST_CASE(tried_members_are_excluded, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Pick({ "n1" }) == "n2");
  }
  BOOST_TEST(Pick({ "n1", "n2" }).empty());
  BOOST_TEST(!balancer.Pick({ .service = "other" }, clock.Now()).has_value());
}

// Guards against a failing member that stays in use, a trial with more than one request or with a
// non-idempotent request, and an ejection time that does not grow after a failed trial.
BOOST_FIXTURE_TEST_CASE(failing_member_is_ejected_and_tried_again, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  for (int i = 0; i < 5; ++i) {
    Finish("n1", acp::CallResult::Failed);
  }
  BOOST_TEST(PickMany(100)["n1"] == 0);
  clock.Advance(seconds(1));
  const auto write = balancer.Pick({ .service = "s", .isIdempotent = false }, clock.Now());
  BOOST_TEST(write->nodeId == "n2");
  BOOST_TEST(Pick() == "n1");
  BOOST_TEST(PickMany(100)["n1"] == 0);
  Finish("n1", acp::CallResult::Failed);
  clock.Advance(seconds(1));
  BOOST_TEST(PickMany(100)["n1"] == 0);
  clock.Advance(seconds(1));
  BOOST_TEST(Pick() == "n1");
  Finish("n1", acp::CallResult::Answered);
  BOOST_TEST(PickMany(100)["n1"] > 20);
}

// Guards against ejections that leave fewer than half of a service's upstreams in use, also after
// members have left the list, and against ejections for failures that are not consecutive.
BOOST_FIXTURE_TEST_CASE(at_most_half_of_the_members_are_ejected, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3"), Member("n4") });
  for (int i = 0; i < 4; ++i) {
    Finish("n4", acp::CallResult::Failed);
    Finish("n4", acp::CallResult::Failed);
    Finish("n4", acp::CallResult::Answered);
  }
  BOOST_TEST(PickMany(400)["n4"] > 50);
  for (const std::string node : { "n1", "n2", "n3" }) {
    for (int i = 0; i < 6; ++i) {
      Finish(node, acp::CallResult::Failed);
    }
  }
  auto counts = PickMany(400);
  BOOST_TEST(counts["n1"] + counts["n2"] == 0);
  BOOST_TEST(counts["n3"] > 100);
  Apply({ Member("n1"), Member("n2"), Member("n3") });
  counts = PickMany(400);
  BOOST_TEST((counts["n1"] == 0) != (counts["n2"] == 0));
}

// Guards against a cold member that gets its full share at once after joining or restarting, and
// against slow start of warm members when this node has just started.
BOOST_FIXTURE_TEST_CASE(cold_member_ramps_up, Fixture)
{
  auto member = Member("n1");
  auto cold = Member("n2");
  member.coldStart = seconds(10);
  cold.coldStart = seconds(10);
  Apply({ member });
  BOOST_TEST(Capacity("n1") == 10.0);
  Apply({ member, cold });
  BOOST_TEST(Capacity("n2") == 1.0);
  clock.Advance(seconds(5));
  BOOST_TEST(Capacity("n2") == 5.0);
  clock.Advance(seconds(5));
  BOOST_TEST(Capacity("n2") == 10.0);
  member.epoch = 2;
  Apply({ member, cold });
  BOOST_TEST(Capacity("n1") == 1.0);
}

// Guards against a member that keeps what its node's earlier process announced, because the clock
// of the host was set back in between.
BOOST_FIXTURE_TEST_CASE(member_with_an_earlier_epoch_replaces_the_known_one, Fixture)
{
  auto member = Member("n1");
  member.epoch = 9;
  Apply({ member });
  member.epoch = 2;
  member.slots = 30;
  Apply({ member });
  BOOST_TEST(Capacity("n1") == 30.0);
}

// Guards against slow upstreams that keep their share, also when they are the local one or the only
// one of the local data centre, against latencies compared across classes, and against slow members
// that are not used when the others are near their limit or are never tried again.
BOOST_FIXTURE_TEST_CASE(slow_members_are_left_out_while_others_have_room, Fixture)
{
  Apply({ Member("n0"), Member("n1"), Member("n2", "b"), Member("n3", "b") });
  constexpr std::chrono::milliseconds kFast(40);
  constexpr std::chrono::milliseconds kSlow(480);
  for (int i = 0; i < 40; ++i) {
    for (const std::string node : { "n0", "n1", "n2", "n3" }) {
      const bool isSlow = node == "n0" || node == "n1";
      Finish(node, { .startedAt = clock.Now() - (isSlow ? kSlow : kFast), .requestClass = "read" });
    }
    Finish("n2", { .startedAt = clock.Now() - std::chrono::seconds(2), .requestClass = "export" });
  }
  auto counts = PickMany(100);
  BOOST_TEST(counts["n0"] + counts["n1"] == 0);
  BOOST_TEST(counts["n2"] > 20);
  counts.clear();
  for (int i = 0; i < 30; ++i) {
    ++counts[Pick()];
    BOOST_TEST((i >= 18 || counts["n0"] + counts["n1"] == 0));
  }
  // Upstreams that are 12 times slower get about a twelfth of the load of the others.
  BOOST_TEST(counts["n0"] + counts["n1"] >= 1);
  BOOST_TEST(counts["n0"] + counts["n1"] <= 4);
  clock.Advance(seconds(15));
  BOOST_TEST(PickMany(100)["n0"] > 0);
}

// Guards against requests that are sent to an upstream which no longer responds, until the first of
// them time out.
BOOST_FIXTURE_TEST_CASE(members_with_overdue_calls_are_left_out, Fixture)
{
  Apply({ Member("n1"), Member("n2", "b"), Member("n3", "b") });
  for (int i = 0; i < 20; ++i) {
    for (const std::string node : { "n1", "n2", "n3" }) {
      Finish(node, { .startedAt = clock.Now() - std::chrono::milliseconds(40) });
    }
  }
  BOOST_TEST(PickMany(50)["n1"] == 50);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(Pick() == "n1");
  }
  clock.Advance(std::chrono::milliseconds(400));
  BOOST_TEST(PickMany(50)["n1"] == 0);
}

// Guards against a member that keeps its share while it is the only one to fail requests, and
// against members that are excluded because all of them fail.
BOOST_FIXTURE_TEST_CASE(members_that_fail_more_often_than_the_others_are_left_out, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3") });
  const auto fail = [&](const std::string& node, bool fails) {
    Finish(node, fails ? acp::CallResult::ServerError : acp::CallResult::Answered);
  };
  for (int i = 0; i < 20; ++i) {
    fail("n1", i % 2 == 0);
    fail("n2", false);
    fail("n3", false);
  }
  BOOST_TEST(PickMany(100)["n1"] == 0);
  for (int i = 0; i < 20; ++i) {
    for (const std::string node : { "n1", "n2", "n3" }) {
      fail(node, true);
    }
  }
  BOOST_TEST(PickMany(100)["n1"] > 10);
}

// Guards against a member that keeps its share while it refuses requests or reports load above its
// limit, and against one that does not regain its share afterwards.
BOOST_FIXTURE_TEST_CASE(refusals_and_reported_load_reduce_the_share, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  for (int i = 0; i < 20; ++i) {
    Finish("n1", acp::CallResult::Refused);
  }
  BOOST_TEST(Capacity("n1") < 3);
  clock.Advance(seconds(10));
  BOOST_TEST(PickMany(300)["n1"] > 100);
  table.UpdateLoad("s", "n1", { .inFlight = 30, .limit = 5 }, clock.Now());
  BOOST_TEST(PickMany(100)["n1"] == 0);
  clock.Advance(seconds(2));
  BOOST_TEST(PickMany(100)["n1"] > 20);
}

// Guards against a request that reaches a data centre it does not allow: the local one, which is
// preferred otherwise, or another when the allowed one is full, tried before, or draining.
BOOST_FIXTURE_TEST_CASE(only_allowed_data_centres_are_picked, Fixture)
{
  auto leaving = Member("n3", "b");
  leaving.isDraining = true;
  Apply({ Member("n0"), Member("n1"), Member("n2", "b"), leaving });
  const auto request = [](std::vector<std::string> tried) {
    return acp::PickRequest{ .service = "s",
                             .tried = std::move(tried),
                             .allowedDataCentres = [](const auto& name) { return name == "b"; } };
  };
  BOOST_TEST(balancer.HasUntriedMember(request({})));
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(balancer.Pick(request({}), clock.Now())->nodeId == "n2");
  }
  BOOST_TEST(!balancer.Pick(request({ "n2" }), clock.Now()).has_value());
  BOOST_TEST(!balancer.HasUntriedMember(request({ "n2" })));
  BOOST_TEST(Pick() == "n0");
}

// Guards against a request that is refused because the few members that it allows are ejected,
// which the limit for the whole service does not prevent. One that must not run twice does not go
// there.
BOOST_FIXTURE_TEST_CASE(ejected_members_are_picked_when_no_other_is_allowed, Fixture)
{
  Apply({ Member("n0"), Member("n1"), Member("n2"), Member("n3", "b") });
  for (int i = 0; i < 20; ++i) {
    Finish("n3", acp::CallResult::Failed);
  }
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(Pick({ "n0", "n1", "n2" }).empty());
  }
  acp::PickRequest request{ .service = "s",
                            .allowedDataCentres = [](const auto& name) { return name == "b"; } };
  BOOST_REQUIRE(balancer.Pick(request, clock.Now()).has_value());
  BOOST_TEST(balancer.Pick(request, clock.Now())->nodeId == "n3");
  request.tried = { "n2" };
  BOOST_TEST(!balancer.Pick(request, clock.Now()).has_value());
  request = { .service = "s", .isIdempotent = false, .allowedDataCentres = [](const auto& name) {
               return name == "b";
             } };
  BOOST_TEST(!balancer.Pick(request, clock.Now()).has_value());
}

// Guards against more than this node's share of the rate of a cold member, against a cold member
// that is left out for good, and against a share that ends later than the cold start.
BOOST_FIXTURE_TEST_CASE(cold_member_gets_only_the_share_of_its_rate, Fixture)
{
  auto cold = Member("n1");
  cold.coldStart = seconds(100);
  cold.warmupRate = 10;
  Apply({ cold, Member("n2") });
  // The share is 0.7 * 10 / 2 requests per second.
  int picked = 0;
  for (int i = 0; i < 9000; ++i) {
    clock.Advance(std::chrono::milliseconds(10));
    const std::string node = Pick();
    picked += node == "n1" ? 1 : 0;
    Finish(node, acp::CallResult::Answered);
  }
  BOOST_TEST(picked > 90 * 3.5 * 0.8);
  BOOST_TEST(picked <= 90 * 3.5 + 1);
  clock.Advance(seconds(10));
  BOOST_TEST(PickMany(100)["n1"] > 30);
}

// Guards against the first tokens of all nodes, which together exceed the rate at the moment at
// which the member becomes cold.
BOOST_AUTO_TEST_CASE(nodes_do_not_all_begin_with_a_whole_token)
{
  int picked = 0;
  constexpr int kNodes = 100;
  for (int i = 0; i < kNodes; ++i) {
    acp::MemberTable table;
    acp::Balancer balancer(
      { .localNodeId = "n0", .localDataCentre = "a", .members = &table, .random = [i] {
         return static_cast<double>(i) / kNodes;
       } });
    acp::ManualClock clock;
    std::vector<acp::RoutedMember> members;
    for (int id = 1; id <= kNodes; ++id) {
      auto member = Fixture::Member("n" + std::to_string(id));
      member.coldStart = seconds(id == 1 ? 3 : 0);
      member.warmupRate = 10;
      members.push_back(member);
    }
    table.Apply(1, 1, members, clock.Now());
    // In the first second each node sends as many requests as it may.
    for (int step = 0; step <= 100; ++step) {
      std::vector<std::string> others;
      for (int id = 2; id < kNodes; ++id) {
        others.push_back("n" + std::to_string(id));
      }
      const auto choice = balancer.Pick({ .service = "s", .tried = others }, clock.Now());
      picked += choice && choice->nodeId == "n1" ? 1 : 0;
      clock.Advance(std::chrono::milliseconds(10));
    }
  }
  BOOST_TEST(picked <= 8);
  BOOST_TEST(picked > 0);
}

// Guards against requests that fail although a cold member could run them: when the whole service
// has become cold, as in the loss of a data centre, its nodes decide.
BOOST_FIXTURE_TEST_CASE(cold_members_are_used_when_there_is_no_other, Fixture)
{
  auto first = Member("n1");
  auto second = Member("n2");
  for (auto* member : { &first, &second }) {
    member->coldStart = seconds(100);
    member->warmupRate = 0.01;
  }
  Apply({ first, second });
  auto counts = PickMany(100);
  BOOST_TEST(counts["n1"] > 20);
  BOOST_TEST(counts["n2"] > 20);
  BOOST_TEST(Pick({ "n1" }) == "n2");
  Apply({ first, second, Member("n3") });
  BOOST_TEST(PickMany(100)["n3"] >= 98);
  BOOST_TEST(!Pick({ "n3" }).empty());
}

// Guards against an upstream that restarts beside a node which keeps running: its cold start is in
// the list, but the epoch is unchanged. Also against a cold start that begins again with each list,
// and against one that outlives the list in which the member is warm.
BOOST_FIXTURE_TEST_CASE(cold_start_is_applied_without_a_new_epoch, Fixture)
{
  auto member = Member("n1");
  member.warmupRate = 0.001;
  Apply({ member, Member("n2") });
  BOOST_TEST(PickMany(100)["n1"] > 30);
  member.coldStart = seconds(3);
  Apply({ member, Member("n2") });
  BOOST_TEST(PickMany(100)["n1"] == 0);
  BOOST_TEST(Capacity("n1") == 1.0);
  clock.Advance(seconds(2));
  Apply({ member, Member("n2") });
  BOOST_TEST(PickMany(100)["n1"] == 0);
  clock.Advance(seconds(1));
  BOOST_TEST(PickMany(100)["n1"] > 30);
  member.coldStart = std::chrono::milliseconds(3001);
  Apply({ member, Member("n2") });
  BOOST_TEST(PickMany(100)["n1"] == 0);
  member.coldStart = seconds(0);
  Apply({ member, Member("n2") });
  BOOST_TEST(PickMany(100)["n1"] > 30);
}

// Guards against changed picks for services without a rate: a cold start in a list with an
// unchanged epoch has no effect, and no random number is drawn for a share.
BOOST_AUTO_TEST_CASE(members_without_a_rate_are_picked_as_before)
{
  Fixture plain;
  Fixture changing;
  auto member = Fixture::Member("n1");
  plain.Apply({ member, Fixture::Member("n2") });
  changing.Apply({ member, Fixture::Member("n2") });
  for (int i = 0; i < 200; ++i) {
    member.coldStart = std::chrono::milliseconds(i);
    changing.Apply({ member, Fixture::Member("n2") });
    const std::string node = plain.Pick();
    BOOST_TEST(changing.Pick() == node);
    plain.Finish(node, acp::CallResult::Answered);
    changing.Finish(node, acp::CallResult::Answered);
  }
}

// Guards against an ejected cold member that gets a trial from every node at once.
BOOST_FIXTURE_TEST_CASE(trial_of_a_cold_member_needs_a_token, Fixture)
{
  auto cold = Member("n1");
  cold.warmupRate = 0.5;
  Apply({ cold, Member("n2"), Member("n3") });
  for (int i = 0; i < 5; ++i) {
    Finish("n1", acp::CallResult::Failed);
  }
  cold.coldStart = seconds(20);
  Apply({ cold, Member("n2"), Member("n3") });
  BOOST_TEST(PickMany(10)["n1"] == 0);
  clock.Advance(seconds(2));
  BOOST_TEST(PickMany(10)["n1"] == 0);
  clock.Advance(seconds(10));
  BOOST_TEST(Pick() == "n1");
}

BOOST_AUTO_TEST_SUITE_END()
