#include <boost/test/unit_test.hpp>

#include <cstdint> // int64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "balancer_fixture.hpp" // BalancerFixture

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kClass = "read";

/// A table of one service with 10 slots for each member, and the balancer of node n0 in data centre
/// a. Requests end at once, unless a test keeps them running.
struct Fixture : acp::test::BalancerFixture
{
  void Report(const std::string& node,
              double millis,
              acp::Duration age = {},
              double inFlight = 0,
              std::int64_t instance = 1)
  {
    table.UpdateLoad("s",
                     node,
                     { .inFlight = inFlight,
                       .limit = 10,
                       .runTime = acp::RunTimeReport{ .requestClass = kClass,
                                                      .seconds = millis / 1'000,
                                                      .age = age,
                                                      .instance = instance } },
                     clock.Now());
  }

  std::string Pick()
  {
    return balancer.Pick({ .service = "s", .requestClass = kClass }, clock.Now())->nodeId;
  }

  /// Ends a request that took @p millis.
  void Finish(const std::string& node,
              int millis,
              acp::CallResult result = acp::CallResult::Answered)
  {
    table.FinishCall(
      "s",
      node,
      1,
      { .result = result, .startedAt = clock.Now() - milliseconds(millis), .requestClass = kClass },
      clock.Now());
  }

  /// Picks members for requests that end without a result.
  std::map<std::string, int> PickMany(int count)
  {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      const std::string node = Pick();
      ++counts[node];
      Finish(node, 0, acp::CallResult::Cancelled);
    }
    return counts;
  }

  std::uint64_t Picks(acp::ReportAge age) { return balancer.PickCounts().at(age); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(learned_placement)

// Guards against a slow local upstream that keeps all requests of its node although a hop costs
// less, and against a hop that gains nothing.
BOOST_FIXTURE_TEST_CASE(local_upstream_is_preferred_only_within_the_cost_of_a_hop, Fixture)
{
  Apply({ Member("n0"), Member("n1") });
  Report("n0", 20);
  Report("n1", 10);
  BOOST_TEST(PickMany(100)["n1"] == 100);
  Report("n0", 10.3);
  BOOST_TEST(PickMany(100)["n0"] == 100);
}

// Guards against a node that keeps all requests because it knows nothing of its peers.
BOOST_FIXTURE_TEST_CASE(peers_without_reports_are_tried_beside_the_local_upstream, Fixture)
{
  Apply({ Member("n0"), Member("n1") });
  Report("n0", 20);
  const int tried = PickMany(400)["n1"];
  BOOST_TEST(tried > 5);
  BOOST_TEST(tried < 80);
  Report("n1", 10);
  BOOST_TEST(PickMany(100)["n1"] == 100);
}

// Guards against requests that cross data centres for less than the round trip costs, and against
// waiting in an overloaded data centre next to an idle one.
BOOST_FIXTURE_TEST_CASE(other_data_centre_is_used_when_it_saves_more_than_the_round_trip, Fixture)
{
  Apply({ Member("n1"), Member("n2", "b") });
  Report("n1", 10);
  Report("n2", 5);
  BOOST_TEST(PickMany(100)["n1"] == 100);
  Report("n1", 20);
  BOOST_TEST(PickMany(100)["n2"] == 100);
  Report("n1", 10, {}, 20);
  BOOST_TEST(PickMany(100)["n2"] == 100);
}

// Guards against a member that is judged by a report which is no longer true: after 2 s it counts
// half, and after 5 s not at all.
BOOST_FIXTURE_TEST_CASE(old_reports_lose_their_effect, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3") });
  const auto reportOthers = [&] {
    Report("n1", 10);
    Report("n2", 10);
  };
  Report("n3", 100);
  reportOthers();
  BOOST_TEST(PickMany(300)["n3"] == 0);
  // Its sampling weight is the full share, but its expected time is still above that of the others.
  clock.Advance(milliseconds(2'500));
  reportOthers();
  BOOST_TEST(PickMany(300)["n3"] == 0);
  clock.Advance(milliseconds(3'000));
  reportOthers();
  BOOST_TEST(PickMany(300)["n3"] > 60);
  BOOST_TEST(Picks(acp::ReportAge::Missing) > 60U);
}

// Guards against decisions by old reports when all of them are lost, as in a partition: placement
// is then by announced slots, as without the feature.
BOOST_FIXTURE_TEST_CASE(announced_slots_are_used_when_all_reports_are_lost, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  Report("n1", 10);
  Report("n2", 40);
  BOOST_TEST(PickMany(200)["n2"] == 0);
  BOOST_TEST(Picks(acp::ReportAge::Announced) == 0U);
  clock.Advance(milliseconds(5'100));
  BOOST_TEST(PickMany(200)["n2"] > 60);
  BOOST_TEST(Picks(acp::ReportAge::Announced) == 200U);
}

// Guards against a member that attracts all requests by reporting run times that are too small, or
// by repeating an old one.
BOOST_FIXTURE_TEST_CASE(own_measurements_replace_false_reports, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  for (int i = 0; i < 40; ++i) {
    Finish("n1", 60);
    Finish("n2", 10);
  }
  Report("n1", 1);
  Report("n2", 10);
  BOOST_TEST(PickMany(200)["n2"] == 200);
  // Without calls the measurement decays, and the member is tried again.
  clock.Advance(seconds(10));
  Report("n1", 1);
  Report("n2", 10);
  BOOST_TEST(PickMany(200)["n1"] > 0);
}

// Guards against a fast member that is taken for one with false reports, because the other members,
// which set the baseline of the latencies, are slow.
BOOST_FIXTURE_TEST_CASE(report_below_the_baseline_is_believed, Fixture)
{
  Apply({ Member("n0"), Member("n1") });
  for (int i = 0; i < 10; ++i) {
    Finish("n0", 20);
  }
  Finish("n1", 2);
  Report("n0", 20);
  Report("n1", 1);
  BOOST_TEST(PickMany(100)["n1"] == 100);
}

// Guards against an honest member in another data centre that is taken for one with false reports,
// because this node's measurements include the way there.
BOOST_FIXTURE_TEST_CASE(round_trip_is_not_taken_for_run_time, Fixture)
{
  Apply({ Member("n1", "b"), Member("n2", "b") });
  for (int i = 0; i < 40; ++i) {
    Finish("n1", 12);
    Finish("n2", 12);
  }
  Report("n1", 3);
  Report("n2", 30);
  BOOST_TEST(PickMany(200)["n1"] == 200);
}

// Guards against a member that gets more requests although it no longer answers.
BOOST_FIXTURE_TEST_CASE(overdue_calls_count_as_run_time, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  for (int i = 0; i < 20; ++i) {
    Finish("n1", 10);
    Finish("n2", 20);
  }
  Report("n1", 10);
  Report("n2", 20);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Pick() == "n1");
  }
  clock.Advance(milliseconds(800));
  Report("n2", 20);
  BOOST_TEST(PickMany(50)["n2"] == 50);
}

// Guards against run times of an earlier instance of an upstream that are used for the next one.
BOOST_FIXTURE_TEST_CASE(report_of_a_new_instance_discards_earlier_ones, Fixture)
{
  acp::ReportedRunTimes reports;
  reports.Apply({ .requestClass = "read", .seconds = 0.01, .instance = 1 }, clock.Now());
  reports.Apply({ .requestClass = "write", .seconds = 0.02, .instance = 1 }, clock.Now());
  BOOST_TEST((reports.Find("read", clock.Now()) != nullptr));
  reports.Apply({ .requestClass = "write", .seconds = 0.05, .instance = 2 }, clock.Now());
  BOOST_TEST((reports.Find("read", clock.Now()) == nullptr));
  BOOST_TEST(reports.Find("write", clock.Now())->seconds == 0.05);
  // A new epoch of the member's node discards its whole state.
  Apply({ Member("n1"), Member("n2") });
  Report("n1", 10);
  Report("n2", 90);
  auto restarted = Member("n2");
  restarted.epoch = 2;
  Apply({ Member("n1"), restarted });
  int restartedPicks = 0;
  for (int i = 0; i < 300; ++i) {
    const auto picked =
      balancer.Pick({ .service = "s", .requestClass = kClass }, clock.Now()).value();
    restartedPicks += picked.nodeId == "n2" ? 1 : 0;
    table.FinishCall("s",
                     picked.nodeId,
                     picked.epoch,
                     { .result = acp::CallResult::Cancelled,
                       .startedAt = picked.startedAt,
                       .requestClass = kClass },
                     clock.Now());
  }
  BOOST_TEST(restartedPicks > 60);
}

// Guards against a response of an earlier instance that arrives late and replaces the run times of
// the one that runs now.
BOOST_FIXTURE_TEST_CASE(late_report_of_an_earlier_instance_is_ignored, Fixture)
{
  acp::ReportedRunTimes reports;
  reports.Apply({ .requestClass = kClass, .seconds = 0.05, .instance = 2 }, clock.Now());
  reports.Apply({ .requestClass = kClass, .seconds = 0.01, .instance = 1 }, clock.Now());
  BOOST_TEST(reports.Find(kClass, clock.Now())->seconds == 0.05);
}

// Guards against a member that never gets requests again after a time without them.
BOOST_FIXTURE_TEST_CASE(member_without_requests_gets_its_share_again, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3") });
  for (const std::string node : { "n1", "n2" }) {
    Report(node, 10);
  }
  // n3 has never reported.
  const auto counts = PickMany(600);
  BOOST_TEST(counts.at("n3") > 120);
}

// Guards against a share of zero for the slowest member under high load.
BOOST_FIXTURE_TEST_CASE(slow_member_is_used_when_the_others_are_full, Fixture)
{
  Apply({ Member("n1"), Member("n2") });
  Report("n1", 10);
  Report("n2", 40);
  std::map<std::string, int> counts;
  for (int i = 0; i < 16; ++i) {
    ++counts[Pick()];
  }
  BOOST_TEST(counts["n1"] >= 8);
  BOOST_TEST(counts["n2"] >= 2);
}

// Guards against a member that fails quickly and attracts requests by that.
BOOST_FIXTURE_TEST_CASE(failing_members_are_left_out_while_others_have_room, Fixture)
{
  Apply({ Member("n1"), Member("n2"), Member("n3") });
  for (int i = 0; i < 20; ++i) {
    Finish("n1", 1, acp::CallResult::ServerError);
    Finish("n2", 10);
    Finish("n3", 10);
  }
  for (const std::string node : { "n1", "n2", "n3" }) {
    Report(node, 10);
  }
  BOOST_TEST(PickMany(100)["n1"] == 0);
  std::map<std::string, int> counts;
  for (int i = 0; i < 30; ++i) {
    ++counts[Pick()];
  }
  BOOST_TEST(counts["n1"] > 3);
}

// Guards against many nodes that send to the same member, because an old report shows it as idle.
BOOST_AUTO_TEST_CASE(old_number_of_requests_is_replaced_by_an_estimate)
{
  const acp::TimePoint start(seconds(1'000));
  acp::ReportedInFlight reported;
  BOOST_TEST(reported.EstimateAt(3, 0.5, 0.05, start) == 3);
  for (int i = 0; i < 100; ++i) {
    reported.Apply(40, 10, {}, start + milliseconds(100 * i));
  }
  const acp::TimePoint last = start + milliseconds(9'900);
  reported.Apply(10, 10, {}, last);
  BOOST_TEST(reported.EstimateAt(10, 0.25, 0.05, last) == 10);
  const double later = reported.EstimateAt(10, 0.25, 0.05, last + seconds(1));
  BOOST_TEST(later > 35);
  BOOST_TEST(later < 45);
  BOOST_TEST(reported.EstimateAt(10, 0.25, 0.05, last + seconds(6)) == 10);
}

// Guards against an expected time that does not rise with the utilisation, or that jumps.
BOOST_AUTO_TEST_CASE(wait_factor_rises_with_utilisation)
{
  BOOST_TEST(acp::WaitFactor(1, 40) < 1.001);
  BOOST_TEST(acp::WaitFactor(20, 40) < 1.1);
  for (const double capacity : { 0.5, 1.0, 8.0, 40.0 }) {
    double before = 1;
    for (int i = 0; i <= 40; ++i) {
      const double factor = acp::WaitFactor(i * capacity / 20, capacity);
      BOOST_TEST(factor >= before);
      before = factor;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
