#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pipeline_documents.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr const char* kKey = "key-1";

/// A state of the configuration, and what a request with kKey gets in it.
struct ConfigurationState
{
  std::string name;
  std::optional<std::map<std::string, const char*>> keysByAccount; ///< empty: defines no accounts
  std::optional<std::string> account; ///< of a request that runs; empty: refused with 401

  [[nodiscard]] std::string Text() const
  {
    return FleetDocumentTextWith(keysByAccount ? &*keysByAccount : nullptr);
  }
};

const std::vector<ConfigurationState>& States()
{
  using Keys = std::map<std::string, const char*>;
  static const std::vector<ConfigurationState> states = {
    { "no accounts", std::nullopt, "" },
    { "an empty list", Keys{}, std::nullopt },
    { "some accounts", Keys{ { "a", kKey }, { "b", "key-2" } }, "a" },
    { "the key moved", Keys{ { "a", "key-3" }, { "b", kKey } }, "b" },
    { "the key withdrawn", Keys{ { "a", "key-3" }, { "b", "key-2" } }, std::nullopt },
    { "the account removed", Keys{ { "b", "key-2" } }, std::nullopt },
  };
  return states;
}

/// Two nodes whose upstreams run requests; all requests enter at the first one.
struct TwoNodes
{
  TwoNodes()
    : own({ .control = &control, .upstream = &ownUpstream, .routesByFleet = true })
    , peer({ .id = "n2", .control = &control, .upstream = &peerUpstream, .routesByFleet = true })
  {
    TestNode::ConnectAll({ &own, &peer });
  }

  void Apply(const ConfigurationState& state)
  {
    ++version;
    own.ApplyFleet(version, state.Text());
    peer.ApplyFleet(version, state.Text());
  }

  void RouteTo(bool isPeer)
  {
    own.Announce(isPeer);
    peer.Announce(!isPeer);
  }

  [[nodiscard]] std::vector<RecordedRequest> Runs() const
  {
    auto runs = ownUpstream.Recorded();
    const auto more = peerUpstream.Recorded();
    runs.insert(runs.end(), more.begin(), more.end());
    std::erase_if(runs, [](const RecordedRequest& run) { return !run.ran; });
    return runs;
  }

  FakeControl control;
  FakeUpstream ownUpstream;
  FakeUpstream peerUpstream;
  TestNode own;
  TestNode peer;
  std::int64_t version = 1;
};

/// Checks the runs of the request @p name against what @p state allows.
void CheckRequest(const TwoNodes& nodes,
                  const std::string& name,
                  int status,
                  const ConfigurationState& state)
{
  std::vector<RecordedRequest> runs = nodes.Runs();
  std::erase_if(runs, [&](const RecordedRequest& run) {
    return run.head.target.find(name) == std::string::npos;
  });
  BOOST_TEST_CONTEXT(name << " under " << state.name)
  {
    BOOST_TEST(status == (state.account ? 200 : 401));
    BOOST_TEST(runs.size() == (state.account ? 1U : 0U));
    for (const auto& run : runs) {
      BOOST_TEST(run.head.headers.Find("Acp-Account").value_or("") == state.account.value_or("-"));
      for (const auto& [field, value] : run.head.headers.Fields()) {
        BOOST_TEST(value.find(kKey) == std::string::npos, "the key was passed on as " << field);
        BOOST_TEST(value.find("outside") == std::string::npos, field << " comes from outside");
      }
    }
  }
}

/// A read with kKey and values of its own in fields that only nodes set.
acp::HttpRequestHead ReadWithOwnFields(const std::string& name)
{
  auto head = FleetRead(name, kKey);
  for (const char* field : { "Acp-Account", "acp-account", "Acp-Open", "Acp-Caller-Service" }) {
    head.headers.Add(field, "outside");
  }
  return head;
}

/// Sends a request before and after each change of the configuration.
void CheckAllChanges(bool isSentToPeer)
{
  for (const auto& before : States()) {
    for (const auto& after : States()) {
      TwoNodes nodes;
      nodes.RouteTo(isSentToPeer);
      nodes.Apply(before);
      int laterStatus = 0;
      bool hasRun = false;
      auto& upstream = isSentToPeer ? nodes.peerUpstream : nodes.ownUpstream;
      upstream.onRun = [&](const RecordedRequest& /*recorded*/) {
        if (!std::exchange(hasRun, true)) {
          nodes.Apply(after);
          laterStatus = Fetch(nodes.own.IngressPort(), ReadWithOwnFields("later")).status;
        }
      };
      const int status = Fetch(nodes.own.IngressPort(), ReadWithOwnFields("first")).status;
      if (!hasRun) {
        nodes.Apply(after);
        hasRun = true;
        laterStatus = Fetch(nodes.own.IngressPort(), ReadWithOwnFields("later")).status;
      }
      CheckRequest(nodes, "first", status, before);
      CheckRequest(nodes, "later", laterStatus, after);
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_changes)

// Guards against a request that takes route, key and account from different documents while the
// configuration changes, at the own upstream and over a hop.
BOOST_DATA_TEST_CASE(each_request_follows_one_configuration_while_another_comes_into_force,
                     boost::unit_test::data::make({ false, true }),
                     isSentToPeer)
{
  CheckAllChanges(isSentToPeer);
}

// Guards against a retry that takes the account from a later document than the first attempt.
BOOST_AUTO_TEST_CASE(retry_keeps_the_account_of_the_first_attempt)
{
  for (const auto& before : States()) {
    for (const auto& after : States()) {
      TwoNodes nodes;
      nodes.Apply(before);
      bool isRefused = false;
      for (auto* upstream : { &nodes.ownUpstream, &nodes.peerUpstream }) {
        upstream->chooseBehaviour = [&] {
          if (std::exchange(isRefused, true)) {
            return UpstreamBehaviour::Succeed;
          }
          nodes.Apply(after);
          return UpstreamBehaviour::RefuseAsNotRun;
        };
      }
      const int status = Fetch(nodes.own.IngressPort(), ReadWithOwnFields("first")).status;
      CheckRequest(nodes, "first", status, before);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
