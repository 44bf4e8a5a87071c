#include <boost/test/unit_test.hpp>

#include <stdexcept> // runtime_error
#include <string>    // string
#include <vector>    // vector

#include "../control_test/memory_log.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "operator_calls.hpp"
#include "platform_settings.hpp"

namespace {

using acp::platform::ZoneNames;
using Names = std::vector<std::string>;
using NextResult = acp::test::MemoryLog::NextResult;

struct Answer
{
  int status = 0;
  std::string location;
};

/// The operator's calls of a control process, over HTTP.
struct CallsFixture
{
  CallsFixture() { clock.Advance(std::chrono::hours(1)); }
  CallsFixture(const CallsFixture&) = delete;
  CallsFixture& operator=(const CallsFixture&) = delete;
  ~CallsFixture()
  {
    server.Stop(std::chrono::seconds(1));
    process.Stop(std::chrono::seconds(1));
  }

  Answer Call(const std::string& query)
  {
    acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
    acp::StringBody body("");
    const auto sent =
      pool.Send({ .method = "POST", .target = "/rpc?" + query }, body, 0, std::chrono::seconds(10));
    const acp::HttpResponseHead& head = sent.value()->Response();
    return { head.status, head.headers.Find("Location").value_or("") };
  }

  Answer Start(const std::string& zone) { return Call("call=evacuations.start&of=" + zone); }
  Answer Finish(const std::string& zone) { return Call("call=evacuations.finish&of=" + zone); }

  acp::ManualClock clock;
  acp::ControlState state;
  acp::test::MemoryLog log{ state, clock };
  acp::ControlProcess process{ { .rpcAddress = { .ip = "127.0.0.1" },
                                 .operatorAddress = { .ip = "127.0.0.1" },
                                 .clock = &clock,
                                 .log = &log,
                                 .state = &state } };
  ZoneNames reloaded = { "jawa-a", "bali-a" };
  bool isFileMissing = false;
  int reloads = 0;
  acp::platform::OperatorCalls calls{ { .control = &process,
                                        .status = [this] { return log.Status(); },
                                        .zones = { "jawa-a" },
                                        .reloadZones =
                                          [this] {
                                            ++reloads;
                                            if (isFileMissing) {
                                              throw std::runtime_error("no such file");
                                            }
                                            return reloaded;
                                          } } };
  acp::HttpServer server{ { .address = { .ip = "127.0.0.1" },
                            .handler = [this](auto& exchange) { calls.Serve(exchange); } } };
};

std::string SettingsText(const std::string& more)
{
  return R"({"node":"n","zone":"jawa-a","ip":"127.0.0.1","listen_addrs":{},)"
         R"("internal_ports":[7000],"bounds":{"grace_s":5})" +
         more + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_calls)

// Guards against a repeated order that is refused: the platform resends each order until it is
// acknowledged.
BOOST_FIXTURE_TEST_CASE(evacuations_are_started_and_finished_and_may_be_repeated, CallsFixture)
{
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(Start("jawa-a").status == 200);
    BOOST_TEST((state.EvacuatedDataCentres() == Names{ "jawa-a" }));
  }
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(Finish("jawa-a").status == 200);
    BOOST_TEST(state.EvacuatedDataCentres().empty());
  }
  BOOST_TEST(reloads == 0);
}

// Guards against an order that ends with a 400 because the replica has not read the settings since
// the zone was added, and against an evacuation of a zone that does not exist.
BOOST_FIXTURE_TEST_CASE(an_unknown_zone_is_refused_after_the_settings_were_read_again, CallsFixture)
{
  BOOST_TEST(Start("bali-a").status == 200);
  BOOST_TEST(reloads == 1);
  for (const std::string zone : { "bali-b", "", "jawa-a%0a" }) {
    BOOST_TEST(Start(zone).status == 400);
    BOOST_TEST(Finish(zone).status == 400);
  }
  BOOST_TEST(Start(std::string(129, 'x')).status == 400);
  BOOST_TEST(Call("call=evacuations.start").status == 400);
  BOOST_TEST((state.EvacuatedDataCentres() == Names{ "bali-a" }));
}

// Guards against an order that is refused for good while the settings file is being replaced.
BOOST_FIXTURE_TEST_CASE(unreadable_settings_do_not_end_the_call, CallsFixture)
{
  isFileMissing = true;
  BOOST_TEST(Start("jawa-a").status == 200);
  BOOST_TEST(Start("bali-a").status == 503);
  isFileMissing = false;
  BOOST_TEST(Start("bali-a").status == 200);
}

// Guards against an evacuation that cannot be finished because its zone left the settings.
BOOST_FIXTURE_TEST_CASE(an_evacuation_of_a_removed_zone_can_be_finished, CallsFixture)
{
  BOOST_TEST(Start("bali-a").status == 200);
  reloaded = { "jawa-a" };
  BOOST_TEST(Start("sumatra-a").status == 400);
  BOOST_TEST(Start("bali-a").status == 400);
  log.age = std::chrono::seconds(1);
  BOOST_TEST(Finish("bali-a").status == 307);
  log.age = {};
  BOOST_TEST(Finish("bali-a").status == 200);
  BOOST_TEST(state.EvacuatedDataCentres().empty());
}

// Failure: the leader is lost between commit and answer. Guards against an answer that ends the
// operator's call, or that acknowledges an order which was not confirmed.
BOOST_FIXTURE_TEST_CASE(an_unconfirmed_order_is_answered_with_503, CallsFixture)
{
  for (const auto result : { NextResult::LoseProposal, NextResult::LoseAnswer }) {
    log.nextResult = result;
    BOOST_TEST(Start("jawa-a").status == 503);
  }
  BOOST_TEST(Start("jawa-a").status == 200);
  log.nextResult = NextResult::LoseProposal;
  BOOST_TEST(Start("jawa-a").status == 503);
}

// Guards against orders that end at a replica which does not lead, also for zones that only the
// leader's settings name.
BOOST_FIXTURE_TEST_CASE(another_replica_redirects_to_the_leader, CallsFixture)
{
  log.isLeader = false;
  for (const std::string zone : { "jawa-a", "unknown" }) {
    const Answer start = Start(zone);
    BOOST_TEST(start.status == 307);
    BOOST_TEST(start.location == "http://127.0.0.1:7310/rpc?call=evacuations.start&of=" + zone);
    BOOST_TEST(Finish(zone).status == 307);
  }
  BOOST_TEST(state.EvacuatedDataCentres().empty());
}

// Guards against a host that does not start because of settings of another version.
BOOST_AUTO_TEST_CASE(zones_are_read_from_the_settings)
{
  const auto parse = [](const std::string& more) {
    return acp::platform::ParsePlatformSettings(SettingsText(more)).ZoneNames();
  };
  BOOST_TEST((parse("") == ZoneNames{ "jawa-a" }));
  BOOST_TEST((parse(R"(,"zones":null)") == ZoneNames{ "jawa-a" }));
  BOOST_TEST(
    (parse(R"(,"zones":{"jawa-a":"jawa","bali-a":"bali"})") == ZoneNames{ "bali-a", "jawa-a" }));
  BOOST_CHECK_THROW(parse(R"(,"zones":{"jawa-a":1})"), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
