#include <boost/test/unit_test.hpp>

#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

/// A node in `d1`, one in `d2`, and one without an upstream in `d3` that sends requests to them.
struct DataCentres
{
  DataCentres()
    : first({ .control = &control,
              .upstream = &firstUpstream,
              .slots = 1,
              .routesByFleet = true,
              .onEvacuationEnded = [this] { onEvacuationEnded(); } })
    , second({ .id = "n2",
               .dataCentre = "d2",
               .control = &control,
               .upstream = &secondUpstream,
               .routesByFleet = true })
    , entry({ .id = "n3", .dataCentre = "d3", .control = &control, .routesByFleet = true })
  {
    for (TestNode* node : { &first, &second, &entry }) {
      node->SetMembers({ &first, &second });
    }
  }

  void Evacuate(const std::set<std::string>& dataCentres)
  {
    for (TestNode* node : { &first, &second, &entry }) {
      node->SetEvacuated(dataCentres);
    }
  }

  /// Makes @p members the members to which `entry` sends requests, without what it has measured.
  void ForgetRefusals(const std::vector<TestNode*>& members)
  {
    entry.SetMembers({});
    entry.SetMembers(members);
  }

  FakeControl control;
  FakeUpstream firstUpstream;
  FakeUpstream secondUpstream;
  std::function<void()> onEvacuationEnded = [] {};
  TestNode first;
  TestNode second;
  TestNode entry;
};

FetchResult Read(const TestNode& node, const std::string& name)
{
  return Fetch(node.IngressPort(), FleetRead(name));
}

void CheckNotRun(const FetchResult& answer, const std::string& reason)
{
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.outcome == "not-run");
  BOOST_TEST(answer.reason == reason);
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation)

// Guards against requests that reach an upstream of an evacuated data centre, and against hosts in
// it that no longer serve their callers and the nested calls of their upstreams.
BOOST_FIXTURE_TEST_CASE(requests_of_an_evacuated_data_centre_run_elsewhere, DataCentres)
{
  Evacuate({ "d1" });
  for (int i = 0; i < 10; ++i) {
    const std::string name = std::to_string(i);
    BOOST_TEST(Read(first, "own" + name).status == 200);
    BOOST_TEST(Fetch(first.IngressPort(), FleetOrder("own" + name)).status == 200);
    BOOST_TEST(Fetch(first.IngressPort(), FleetNestedRead("own" + name)).status == 200);
    BOOST_TEST(Read(entry, "other" + name).status == 200);
  }
  BOOST_TEST(firstUpstream.Recorded().empty());
  BOOST_TEST(secondUpstream.Recorded().size() == 40U);
  Evacuate({});
  BOOST_TEST(Read(first, "after").status == 200);
  BOOST_TEST(firstUpstream.CountRuns("after") == 1);
}

// Guards against an evacuation that aborts requests in progress, and against queued requests that
// are still sent.
BOOST_FIXTURE_TEST_CASE(requests_in_progress_complete_and_queued_ones_do_not_start, DataCentres)
{
  std::promise<void> released;
  firstUpstream.onRun = [release = released.get_future().share()](const RecordedRequest& seen) {
    if (seen.head.target.ends_with("hold")) {
      release.wait();
    }
  };
  const auto fetch = [this](const acp::HttpRequestHead& head) {
    return std::async(std::launch::async,
                      [this, head] { return Fetch(first.IngressPort(), head); });
  };
  // The upstream has one slot, and its node has no other member.
  first.SetMembers({ &first });
  auto holder = fetch(FleetRead("hold"));
  while (firstUpstream.Recorded().empty()) {
    std::this_thread::yield();
  }
  auto waiting = fetch(FleetQuickRead("late"));
  // Enough for the request to reach the queue; a slower one is refused on arrival.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  first.SetEvacuated({ "d1" });
  BOOST_TEST(waiting.get().status == 503);
  released.set_value();
  const auto held = holder.get();
  BOOST_TEST(held.status == 200);
  BOOST_TEST(held.isComplete);
  BOOST_TEST(firstUpstream.CountRuns("late") == 0);
}

// Failure: a node has not learned of the evacuation yet. Guards against its requests reaching the
// upstream, and against requests that fail although another data centre could run them.
BOOST_FIXTURE_TEST_CASE(a_node_in_an_evacuated_data_centre_refuses_requests_of_peers, DataCentres)
{
  first.SetEvacuated({ "d1" });
  for (int i = 0; i < 10; ++i) {
    const std::string name = std::to_string(i);
    BOOST_TEST(Read(entry, name).status == 200);
    BOOST_TEST(Fetch(entry.IngressPort(), FleetOrder(name)).status == 200);
  }
  ForgetRefusals({ &first });
  CheckNotRun(Read(entry, "only"), "draining");
  BOOST_TEST(firstUpstream.Recorded().empty());
}

// Failure: all members of a service are evacuated. Guards against a request that is sent anyway, or
// that is refused as if it might have run.
BOOST_FIXTURE_TEST_CASE(a_service_without_other_members_refuses_requests_as_not_run, DataCentres)
{
  Evacuate({ "d1", "d2" });
  // A request waits for a member for a part of its target latency.
  CheckNotRun(Fetch(first.IngressPort(), FleetQuickRead("a")), "no_upstream");
  CheckNotRun(Fetch(entry.IngressPort(), FleetQuickRead("b")), "no_upstream");
  CheckNotRun(Fetch(entry.IngressPort(), FleetQuickOrder("c")), "no_upstream");
  BOOST_TEST(firstUpstream.Recorded().empty());
  BOOST_TEST(secondUpstream.Recorded().empty());
}

// Guards against an announcement during the evacuation that opens the gate, and against an end of
// the evacuation that opens the gate of an upstream that is draining itself.
BOOST_FIXTURE_TEST_CASE(the_gate_is_open_only_without_evacuation_and_drain, DataCentres)
{
  const auto isOpen = [this](const std::string& name) {
    ForgetRefusals({ &first });
    return Fetch(entry.IngressPort(), FleetOrder(name)).status == 200;
  };
  first.SetEvacuated({ "d1" });
  first.Announce(true);
  first.Announce(false);
  BOOST_TEST(!isOpen("evacuated"));
  first.Announce(true);
  first.SetEvacuated({});
  BOOST_TEST(!isOpen("draining"));
  first.Announce(false);
  first.SetEvacuated({ "d2" });
  BOOST_TEST(isOpen("open"));
  BOOST_TEST(firstUpstream.Recorded().size() == 1U);
}

// Guards against an upstream that became cold and gets requests at the full rate before the limit
// for cold upstreams applies.
BOOST_FIXTURE_TEST_CASE(the_end_of_an_evacuation_is_reported_before_the_gate_opens, DataCentres)
{
  int ends = 0;
  onEvacuationEnded = [&] {
    ++ends;
    ForgetRefusals({ &first });
    BOOST_TEST(Read(entry, "early").status == 503);
  };
  first.SetEvacuated({ "d2" });
  first.SetEvacuated({});
  BOOST_TEST(ends == 0);
  first.SetEvacuated({ "d1" });
  first.SetEvacuated({ "d1", "d2" });
  BOOST_TEST(ends == 0);
  first.SetEvacuated({ "d2" });
  BOOST_TEST(ends == 1);
  BOOST_TEST(firstUpstream.CountRuns("early") == 0);
  BOOST_TEST(Read(first, "later").status == 200);
  BOOST_TEST(firstUpstream.CountRuns("later") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
