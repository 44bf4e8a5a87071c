#include <cstddef> // size_t

#include <boost/test/unit_test.hpp>

#include "graph_load.hpp" // DeepGraph, GraphScenario, Run

namespace {

using namespace std::chrono_literals;

constexpr double kMaxRecoverySeconds = 2.0;
constexpr double kMaxWastedWork = 0.1;
constexpr std::size_t kOtherClass = 0;
constexpr std::size_t kImportantClass = 1;

// Each node has 0.4 of a processor and needs 90 us of processor time per message, i.e. 225 us.
bench::GraphScenario SurgeBeyondProcessorCapacity()
{
  bench::GraphScenario scenario{ .graph = bench::DeepGraph(), .surge = 1.7, .warmUp = 3s };
  scenario.graph.messageTime = 225us;
  scenario.surgeDuration = 8s;
  scenario.recoveryPeriod = 7s;
  scenario.aggressiveFrom = 2s;
  scenario.aggressiveUntil = 5s;
  return scenario;
}

double Served(const bench::GraphFigures& figures, std::size_t classIndex)
{
  return figures.inSurge[classIndex].completed / figures.inSurge[classIndex].requested;
}

} // namespace

BOOST_AUTO_TEST_SUITE(graph_surge)

// Guards against a metastable failure: when processor time rather than slots runs out, slot limits
// alone see no overload, and the service stays overloaded after the surge has ended.
BOOST_AUTO_TEST_CASE(service_recovers_after_a_surge_used_all_processor_time_of_a_deep_service)
{
  const auto figures = bench::Run(SurgeBeyondProcessorCapacity(),
                                  { .linksNestedCalls = true,
                                    .prefersNested = true,
                                    .sharesThresholds = true,
                                    .separatesForwarding = true,
                                    .limitsByDelay = true });
  BOOST_TEST(figures.recoverySeconds >= 0.0);
  BOOST_TEST(figures.recoverySeconds <= kMaxRecoverySeconds);
  BOOST_TEST(figures.wastedWork <= kMaxWastedWork);
  BOOST_TEST(Served(figures, kImportantClass) > Served(figures, kOtherClass));
}

BOOST_AUTO_TEST_SUITE_END()
