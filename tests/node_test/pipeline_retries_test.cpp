#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

/// How the upstream of `front` calls `back`.
enum class NestedCallPattern
{
  Single,
  SameContext, ///< three calls with the same context
  NoContext,   ///< three calls without context, on the open route
};

/// Counts the retries among the recorded requests, where each call has its own target.
int CountRetries(const std::vector<RecordedRequest>& first,
                 const std::vector<RecordedRequest>& second)
{
  std::map<std::string, int> attempts;
  for (const auto& all : { first, second }) {
    for (const auto& recorded : all) {
      ++attempts[recorded.head.target];
    }
  }
  int retries = 0;
  for (const auto& [target, count] : attempts) {
    retries += count - 1;
  }
  return retries;
}

/// Sends one request through `front` to `back`, each with two failing upstreams.
/// @return the retries that it caused
int CountRetriesOfOneRequest(NestedCallPattern pattern, unsigned int seed)
{
  FakeControl control;
  std::array<FakeUpstream, 4> upstreams;
  std::vector<std::unique_ptr<TestNode>> nodes;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    nodes.push_back(std::make_unique<TestNode>(TestNodeOptions{ .id = "n" + std::to_string(i),
                                                                .service = i < 2 ? "front" : "back",
                                                                .control = &control,
                                                                .upstream = &upstreams.at(i) }));
  }
  TestNode::ConnectAll({ nodes[0].get(), nodes[1].get(), nodes[2].get(), nodes[3].get() });
  std::mt19937 random(seed);
  std::mutex mutex;
  std::atomic<int> nested = 0;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    upstreams.at(i).chooseBehaviour = [&] {
      const std::lock_guard lock(mutex);
      constexpr std::array kBehaviours = { UpstreamBehaviour::CloseAfterRun,
                                           UpstreamBehaviour::RefuseAsNotRun,
                                           UpstreamBehaviour::CloseBeforeRun };
      return random() % 5 == 0 ? UpstreamBehaviour::Succeed
                               : kBehaviours.at(random() % kBehaviours.size());
    };
  }
  for (std::size_t i = 0; i < 2; ++i) {
    upstreams.at(i).onRun = [&, egress = nodes[i]->EgressPort()](const RecordedRequest& recorded) {
      for (int call = 0; call < (pattern == NestedCallPattern::Single ? 1 : 3); ++call) {
        const std::string number = std::to_string(nested++);
        auto head = ReadRequest(pattern == NestedCallPattern::NoContext ? "/back/open?" + number
                                                                        : "/back/items/" + number,
                                "");
        if (pattern != NestedCallPattern::NoContext) {
          head.headers.Add("Acp-Context", recorded.head.headers.Find("Acp-Context").value_or(""));
        }
        Fetch(egress, head);
      }
    };
  }
  Fetch(nodes[0]->IngressPort(), ReadRequest("/front/items/root"));
  return CountRetries(upstreams[0].Recorded(), upstreams[1].Recorded()) +
         CountRetries(upstreams[2].Recorded(), upstreams[3].Recorded());
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipeline_retries)

// P1. Guards against retries that multiply along a call chain when an upstream reuses its context
// or omits it.
BOOST_AUTO_TEST_CASE(retries_of_a_chain_stay_within_the_budget_of_the_root)
{
  for (const auto pattern : { NestedCallPattern::Single,
                              NestedCallPattern::SameContext,
                              NestedCallPattern::NoContext }) {
    int most = 0;
    for (unsigned int seed = 1; seed <= 25; ++seed) {
      const int retries = CountRetriesOfOneRequest(pattern, seed);
      BOOST_TEST(retries <= kRetryBudget,
                 "calls " << static_cast<int>(pattern) << ", seed " << seed << ": " << retries);
      most = std::max(most, retries);
    }
    BOOST_TEST(most > 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
