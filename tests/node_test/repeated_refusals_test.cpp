#include <boost/test/unit_test.hpp>

#include <string>

#include "pipeline_fixture.hpp"
#include "scripted_upstream.hpp"

namespace {

using namespace acp::test;

constexpr const char* kIdField = "X-Try";
constexpr const char* kNotRunField = "X-Not-Run";

/// A protocol whose answers echo the id of their request.
acp::HttpTranslation EchoedIds(const acp::Announcement& /*announcement*/)
{
  return { .answer =
             [](const acp::HttpRequestHead& request, acp::HttpResponseHead& answer) {
               const auto echoed = answer.headers.Find(kIdField);
               const bool isRefusal = answer.headers.Find(kNotRunField).has_value();
               if (isRefusal) {
                 answer.status = 503;
                 answer.headers.Set("Acp-Outcome", "not-run");
               }
               return echoed ? echoed == request.headers.Find(kIdField) : isRefusal;
             },
           .idField = kIdField };
}

std::string EchoOf(const acp::HttpRequestHead& head)
{
  return std::string(kIdField) + ": " + head.headers.Find(kIdField).value_or("") + "\r\n";
}

std::string Refusal(const std::string& fields)
{
  return AnswerBytes(503, std::string(kNotRunField) + ": 1\r\n" + fields, "");
}

acp::HttpRequestHead WithId(acp::HttpRequestHead head, const std::string& id)
{
  head.headers.Set(kIdField, id);
  return head;
}

/// Refuses the first request of a connection and runs the others, before whose answers it writes
/// that refusal once more. The first connection alone begins with a refusal.
std::string RefuseTwice(const ScriptedRequest& request, const std::string& refusal)
{
  std::string answer = AnswerBytes(200, EchoOf(request.head), "ran");
  if (request.connection > 1) {
    return answer;
  }
  return request.place == 1 ? refusal : refusal + answer;
}

enum class Hops
{
  Upstream,       ///< the node that the caller asks is beside the upstream
  PeerAndUpstream ///< it asks a peer
};

/// A node beside a scripted upstream, one beside a sound upstream, and one without.
struct Fleet
{
  explicit Fleet(std::function<std::string(const ScriptedRequest&)> script,
                 acp::LocalUpstream::TranslationFor translationFor = EchoedIds)
    : faulty(std::move(script))
    , beside(
        { .control = &control, .routesByFleet = true, .translationFor = std::move(translationFor) })
    , other({ .id = "n2", .control = &control, .upstream = &sound, .routesByFleet = true })
    , far({ .id = "n3", .service = "back", .control = &control, .routesByFleet = true })
  {
    beside.AnnounceAt(faulty.Port());
    beside.Learn({ &beside });
    far.Learn({ &beside });
  }

  /// The sound upstream can be asked from now on, if the faulty one does not serve a request.
  void AddOther() { beside.Learn({ &beside, &other }); }

  TestNode& Entry(Hops hops) { return hops == Hops::Upstream ? beside : far; }

  FakeControl control;
  ScriptedUpstream faulty;
  FakeUpstream sound;
  TestNode beside;
  TestNode other;
  TestNode far;
};

/// Of upstreams that need no translation.
const acp::LocalUpstream::TranslationFor kOwnProtocol = nullptr;

/// Refuses in the project's own protocol.
std::string OwnRefusal()
{
  return AnswerBytes(503, "Acp-Outcome: not-run\r\n", "");
}

struct Reused
{
  std::string name;
  Answer answer;
};

/// Sends requests until one is not the first on its connection to the faulty upstream. The node
/// gives a connection back a moment after the caller has its answer.
Reused SendUntilReused(const Fleet& fleet,
                       std::uint16_t port,
                       const std::function<acp::HttpRequestHead(const std::string&)>& make)
{
  constexpr int kMostRequests = 1000;
  Reused sent;
  for (int i = 0; i < kMostRequests && fleet.faulty.PlaceOf(sent.name) <= 1; ++i) {
    sent.name = "request" + std::to_string(i);
    sent.answer = Fetch(port, WithId(make(sent.name), sent.name));
  }
  BOOST_TEST(fleet.faulty.PlaceOf(sent.name) > 1);
  return sent;
}

constexpr std::array kAllHops = { Hops::Upstream, Hops::PeerAndUpstream };

} // namespace

BOOST_AUTO_TEST_SUITE(repeated_refusals)

BOOST_AUTO_TEST_CASE(refusal_without_id_is_not_told_to_the_next_caller_whose_request_ran)
{
  for (const auto hops : kAllHops) {
    Fleet fleet([](const auto& request) { return RefuseTwice(request, Refusal("")); });
    const auto port = fleet.Entry(hops).Ingress();
    BOOST_TEST(Fetch(port, WithId(FleetOrder("first"), "1")).outcome == "not-run");
    const Answer second = Fetch(port, WithId(FleetOrder("second"), "2"));
    BOOST_TEST(fleet.faulty.Arrivals("second") == 1);
    BOOST_TEST(second.outcome == "ran");
  }
}

BOOST_AUTO_TEST_CASE(refusal_without_id_does_not_send_an_order_that_ran_to_a_second_upstream)
{
  Fleet fleet([](const auto& request) { return RefuseTwice(request, Refusal("")); });
  Fetch(fleet.beside.Ingress(), WithId(FleetOrder("first"), "1"));
  fleet.AddOther();
  Fetch(fleet.beside.Ingress(), WithId(FleetOrder("second"), "2"));
  BOOST_TEST(fleet.faulty.Arrivals("second") == 1);
  BOOST_TEST(fleet.sound.Runs("second") == 0);
}

BOOST_AUTO_TEST_CASE(refusal_of_an_earlier_try_is_not_told_to_a_caller_whose_later_try_ran)
{
  for (const auto hops : kAllHops) {
    Fleet fleet(
      [](const auto& request) { return RefuseTwice(request, Refusal(EchoOf(request.head))); });
    const auto port = fleet.Entry(hops).Ingress();
    BOOST_TEST(Fetch(port, WithId(FleetOrder("first"), "1")).outcome == "not-run");
    BOOST_TEST(Fetch(port, WithId(FleetOrder("again"), "1")).outcome == "ran");
  }
}

BOOST_AUTO_TEST_CASE(refusal_of_an_earlier_try_does_not_send_an_order_that_ran_to_a_second_upstream)
{
  Fleet fleet(
    [](const auto& request) { return RefuseTwice(request, Refusal(EchoOf(request.head))); });
  Fetch(fleet.beside.Ingress(), WithId(FleetOrder("first"), "1"));
  fleet.AddOther();
  Fetch(fleet.beside.Ingress(), WithId(FleetOrder("again"), "1"));
  BOOST_TEST(fleet.faulty.Arrivals("again") == 1);
  BOOST_TEST(fleet.sound.Runs("again") == 0);
}

BOOST_AUTO_TEST_CASE(late_refusal_without_id_leaves_open_whether_a_request_ran)
{
  const auto script = [](const ScriptedRequest& request) {
    const std::string answer = AnswerBytes(200, EchoOf(request.head), "ran");
    return request.place == 1 ? answer : Refusal("") + answer;
  };
  const auto order = [](const std::string& name) { return FleetOrder(name); };
  for (const auto hops : kAllHops) {
    Fleet fleet(script);
    const auto later = SendUntilReused(fleet, fleet.Entry(hops).Ingress(), order);
    BOOST_TEST(later.answer.outcome == "unknown");
    BOOST_TEST(later.answer.status == 502);
    BOOST_TEST(fleet.faulty.Arrivals(later.name) == 1);
  }
  Fleet fleet(script);
  fleet.AddOther();
  const auto later = SendUntilReused(fleet, fleet.beside.Ingress(), order);
  BOOST_TEST(later.answer.outcome == "unknown");
  BOOST_TEST(fleet.sound.Runs(later.name) == 0);
}

BOOST_AUTO_TEST_CASE(late_refusal_without_id_lets_an_idempotent_request_run_elsewhere)
{
  Fleet fleet([](const ScriptedRequest& request) {
    const std::string answer = AnswerBytes(200, EchoOf(request.head), "ran");
    return request.place == 1 ? answer : Refusal("") + answer;
  });
  fleet.AddOther();
  const auto later = SendUntilReused(
    fleet, fleet.beside.Ingress(), [](const std::string& name) { return FleetRead(name); });
  BOOST_TEST(later.answer.outcome == "ran");
  BOOST_TEST(fleet.sound.Runs(later.name) == 1);
}

BOOST_AUTO_TEST_CASE(refusal_in_the_own_protocol_is_not_told_to_the_next_caller_whose_request_ran)
{
  for (const auto hops : kAllHops) {
    Fleet fleet([](const auto& request) { return RefuseTwice(request, OwnRefusal()); },
                kOwnProtocol);
    const auto port = fleet.Entry(hops).Ingress();
    BOOST_TEST(Fetch(port, FleetOrder("first")).outcome == "not-run");
    BOOST_TEST(Fetch(port, FleetOrder("second")).outcome == "ran");
    BOOST_TEST(fleet.faulty.Arrivals("second") == 1);
  }
}

BOOST_AUTO_TEST_CASE(answer_of_a_peer_without_outcome_is_no_promise_that_a_request_has_not_run)
{
  FakeControl control;
  ScriptedUpstream stranger([](const auto&) { return AnswerBytes(503, "", "not a node"); });
  TestNode near({ .control = &control, .routesByFleet = true });
  near.LearnPeer(stranger.Port());
  const Answer answer = Fetch(near.Ingress(), FleetOrder("order"));
  BOOST_TEST(stranger.Arrivals("order") == 1);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.status == 502);
}

// Guards against a new connection for each refusal, which under overload adds to the load.
BOOST_AUTO_TEST_CASE(refusals_that_name_their_request_keep_the_connection)
{
  Fleet fleet([](const auto& request) { return Refusal(EchoOf(request.head)); });
  for (int i = 0; i < 20; ++i) {
    const auto id = std::to_string(i);
    BOOST_TEST(Fetch(fleet.beside.Ingress(), WithId(FleetOrder(id), id)).outcome == "not-run");
  }
  BOOST_TEST(fleet.faulty.Connections() == 1);
}

BOOST_AUTO_TEST_CASE(refusals_in_the_own_protocol_that_name_their_attempt_keep_the_connection)
{
  Fleet fleet(
    [](const auto& request) {
      const std::string attempt = request.head.headers.Find("Acp-Attempt").value_or("");
      return AnswerBytes(503, "Acp-Outcome: not-run\r\nAcp-Attempt: " + attempt + "\r\n", "");
    },
    kOwnProtocol);
  for (int i = 0; i < 20; ++i) {
    const auto port = fleet.beside.Ingress();
    BOOST_TEST(Fetch(port, FleetOrder(std::to_string(i))).outcome == "not-run");
  }
  BOOST_TEST(fleet.faulty.Connections() == 1);
}

BOOST_AUTO_TEST_CASE(answer_to_another_attempt_leaves_open_whether_a_request_ran)
{
  Fleet fleet(
    [](const auto& /*request*/) {
      return AnswerBytes(503, "Acp-Outcome: not-run\r\nAcp-Attempt: of-another\r\n", "");
    },
    kOwnProtocol);
  for (const auto hops : kAllHops) {
    BOOST_TEST(Fetch(fleet.Entry(hops).Ingress(), FleetOrder("order")).outcome == "unknown");
  }
}

BOOST_AUTO_TEST_SUITE_END()
