#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

#include "pipeline_documents.hpp"
#include "pipeline_fixture.hpp"
#include "scripted_upstream.hpp"

namespace {

using namespace acp::test;

/// A node for the requests of callers, and two nodes with upstreams of `front`, whose responses
/// have the given fields.
struct Fleet
{
  explicit Fleet(const std::string& fields)
    : fast([fields](const auto&) { return ResponseBytes(200, fields, "ran"); })
    , slow([fields](const auto&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      return ResponseBytes(200, fields, "ran");
    })
    , fastNode({ .id = "n2", .control = &control, .routesByFleet = true })
    , slowNode({ .id = "n3", .control = &control, .routesByFleet = true })
    , entryNode({ .service = "back", .control = &control, .routesByFleet = true })
  {
    fastNode.AnnounceAt(fast.Port());
    slowNode.AnnounceAt(slow.Port());
    entryNode.SetMembers({ &fastNode, &slowNode });
    slowNode.SetMembers({ &fastNode, &slowNode });
  }

  void Send(const TestNode& node, int count)
  {
    for (int i = 0; i < count; ++i) {
      BOOST_TEST(Fetch(node.IngressPort(), FleetRead(std::to_string(sent++))).status == 200);
    }
  }

  FakeControl control;
  ScriptedUpstream fast;
  ScriptedUpstream slow;
  TestNode fastNode;
  TestNode slowNode;
  TestNode entryNode;
  int sent = 0;
};

std::uint64_t PicksByReport(const TestNode& node)
{
  const auto picks = node.Stats().picks;
  return picks.at(acp::ReportAge::Recent) + picks.at(acp::ReportAge::Old);
}

/// Returns the fleet document with a placement for the service `front`.
std::string DocumentWithPlacement(const std::string& placement)
{
  std::string text = FleetDocumentText();
  const std::string entry = R"("name":"front",)";
  return text.replace(
    text.find(entry), entry.size(), entry + R"("placement":")" + placement + R"(",)");
}

} // namespace

BOOST_AUTO_TEST_SUITE(learned_placement)

// Guards against run times that do not reach the callers' nodes, and against a slow local upstream
// that is preferred blindly.
BOOST_AUTO_TEST_CASE(work_factors_of_the_upstreams_enable_learned_placement)
{
  Fleet fleet("Acp-Work-Factor: 100\r\n");
  fleet.slowNode.SetMembers({ &fleet.slowNode });
  fleet.Send(fleet.slowNode, 4);
  fleet.slowNode.SetMembers({ &fleet.fastNode, &fleet.slowNode });
  fleet.Send(fleet.entryNode, 40);
  BOOST_TEST(PicksByReport(fleet.entryNode) > 20U);
  const auto stats = fleet.slowNode.Stats().runTimes;
  BOOST_TEST(stats.isInUse);
  BOOST_TEST((stats.runTimes.at("read").runTime >= std::chrono::milliseconds(20)));
  const auto before = fleet.fastNode.Stats().gate.counts.started.count;
  fleet.Send(fleet.slowNode, 100);
  BOOST_TEST(fleet.fastNode.Stats().gate.counts.started.count >= before + 20);
}

// Guards against a service without the switch that is placed by run times.
BOOST_AUTO_TEST_CASE(placement_by_announced_slots_is_the_default)
{
  Fleet fleet("");
  fleet.Send(fleet.entryNode, 20);
  BOOST_TEST(PicksByReport(fleet.entryNode) == 0U);
  BOOST_TEST(!fleet.slowNode.Stats().runTimes.isInUse);
  fleet.Send(fleet.slowNode, 20);
  BOOST_TEST(fleet.slowNode.Stats().gate.counts.started.count >= 20U);
}

// Guards against a switch in the fleet document that has no effect.
BOOST_AUTO_TEST_CASE(fleet_document_decides_on_the_placement)
{
  Fleet withoutFactor("");
  withoutFactor.fastNode.ApplyFleet(2, DocumentWithPlacement("learned"));
  withoutFactor.slowNode.ApplyFleet(2, DocumentWithPlacement("learned"));
  withoutFactor.Send(withoutFactor.entryNode, 40);
  BOOST_TEST(PicksByReport(withoutFactor.entryNode) > 20U);
  Fleet withFactor("Acp-Work-Factor: 100\r\n");
  withFactor.fastNode.ApplyFleet(2, DocumentWithPlacement("announced"));
  withFactor.slowNode.ApplyFleet(2, DocumentWithPlacement("announced"));
  withFactor.Send(withFactor.entryNode, 20);
  BOOST_TEST(PicksByReport(withFactor.entryNode) == 0U);
}

// Guards against an invalid figure that is used, or ignored without a trace.
BOOST_AUTO_TEST_CASE(invalid_work_factors_are_counted)
{
  using acp::detail::WorkFactorProblem;
  for (const auto& [value, problem] : { std::pair("0", WorkFactorProblem::Range),
                                        std::pair("10001", WorkFactorProblem::Range),
                                        std::pair("1.5", WorkFactorProblem::Number),
                                        std::pair("figures", WorkFactorProblem::Figures) }) {
    Fleet fleet("Acp-Work-Factor: " + std::string(value) + "\r\n");
    fleet.fastNode.SetMembers({ &fleet.fastNode });
    fleet.Send(fleet.fastNode, 4);
    const auto stats = fleet.fastNode.Stats().runTimes;
    BOOST_TEST(stats.ignored.at(problem) == 4U, value);
    BOOST_TEST(!stats.isInUse);
    BOOST_TEST(stats.workFactor == 1);
  }
}

// Guards against run times of an earlier instance of the upstream.
BOOST_AUTO_TEST_CASE(new_instance_discards_what_was_learned)
{
  Fleet fleet("Acp-Work-Factor: 200\r\n");
  fleet.fastNode.SetMembers({ &fleet.fastNode });
  fleet.Send(fleet.fastNode, 4);
  BOOST_TEST(fleet.fastNode.Stats().runTimes.runTimes.count("read") == 1U);
  BOOST_TEST(fleet.fastNode.Stats().runTimes.workFactor == 2);
  fleet.fastNode.AnnounceAt(fleet.slow.Port());
  BOOST_TEST(fleet.fastNode.Stats().runTimes.runTimes.empty());
  BOOST_TEST(fleet.fastNode.Stats().runTimes.workFactor == 1);
}

BOOST_AUTO_TEST_SUITE_END()
