#include <boost/test/unit_test.hpp>

#include <string>

#include "pipeline_fixture.hpp"
#include "scripted_upstream.hpp"

namespace {

using namespace acp::test;

constexpr const char* kIdField = "X-Try";
constexpr const char* kNotRunField = "X-Not-Run";

/// Translates a protocol whose responses echo the id of their request.
acp::HttpTranslation EchoIdTranslation(const acp::Announcement& /*announcement*/)
{
  return { .response =
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

std::string EchoedIdField(const acp::HttpRequestHead& head)
{
  return std::string(kIdField) + ": " + head.headers.Find(kIdField).value_or("") + "\r\n";
}

std::string RefusalBytes(const std::string& fields)
{
  return ResponseBytes(503, std::string(kNotRunField) + ": 1\r\n" + fields, "");
}

acp::HttpRequestHead WithId(acp::HttpRequestHead head, const std::string& id)
{
  head.headers.Set(kIdField, id);
  return head;
}

/// Refuses the first request of the first connection and runs all others. On the first connection,
/// each later response is preceded by a duplicate of the refusal.
std::string DuplicateFirstRefusal(const ScriptedRequest& request, const std::string& refusal)
{
  std::string answer = ResponseBytes(200, EchoedIdField(request.head), "ran");
  if (request.connection > 1) {
    return answer;
  }
  return request.number == 1 ? refusal : refusal + answer;
}

enum class CallPath
{
  Direct,     ///< the caller sends to the upstream's own node
  ThroughPeer ///< the caller sends to another node
};

/// A node with a scripted, faulty upstream, one with a healthy upstream, and one without.
struct Fleet
{
  explicit Fleet(std::function<std::string(const ScriptedRequest&)> script,
                 acp::LocalUpstream::TranslationFactory makeTranslation = EchoIdTranslation)
    : faultyUpstream(std::move(script))
    , faultyNode({ .control = &control,
                   .routesByFleet = true,
                   .makeTranslation = std::move(makeTranslation) })
    , healthyNode(
        { .id = "n2", .control = &control, .upstream = &healthyUpstream, .routesByFleet = true })
    , remoteNode({ .id = "n3", .service = "back", .control = &control, .routesByFleet = true })
  {
    faultyNode.AnnounceAt(faultyUpstream.Port());
    faultyNode.SetMembers({ &faultyNode });
    remoteNode.SetMembers({ &faultyNode });
  }

  /// Makes the healthy upstream available for retries.
  void AddHealthyNode() { faultyNode.SetMembers({ &faultyNode, &healthyNode }); }

  TestNode& EntryNode(CallPath callPath)
  {
    return callPath == CallPath::Direct ? faultyNode : remoteNode;
  }

  FakeControl control;
  ScriptedUpstream faultyUpstream;
  FakeUpstream healthyUpstream;
  TestNode faultyNode;
  TestNode healthyNode;
  TestNode remoteNode;
};

/// For upstreams that speak the project's own protocol.
const acp::LocalUpstream::TranslationFactory kNoTranslation = nullptr;

/// Returns a refusal in the project's own protocol.
std::string NativeRefusalBytes()
{
  return ResponseBytes(503, "Acp-Outcome: not-run\r\n", "");
}

struct ReusedConnectionResult
{
  std::string name;
  FetchResult answer;
};

/// Sends requests until one reuses a connection to the faulty upstream. The node returns a
/// connection to its pool a moment after the caller has received the response.
ReusedConnectionResult SendUntilConnectionReused(
  const Fleet& fleet,
  std::uint16_t port,
  const std::function<acp::HttpRequestHead(const std::string&)>& make)
{
  constexpr int kMaxRequests = 1000;
  ReusedConnectionResult sent;
  for (int i = 0; i < kMaxRequests && fleet.faultyUpstream.NumberOf(sent.name) <= 1; ++i) {
    sent.name = "request" + std::to_string(i);
    sent.answer = Fetch(port, WithId(make(sent.name), sent.name));
  }
  BOOST_TEST(fleet.faultyUpstream.NumberOf(sent.name) > 1);
  return sent;
}

constexpr std::array kAllCallPaths = { CallPath::Direct, CallPath::ThroughPeer };

} // namespace

BOOST_AUTO_TEST_SUITE(duplicate_refusals)

BOOST_AUTO_TEST_CASE(duplicate_refusal_without_id_is_not_delivered_to_the_next_request)
{
  for (const auto callPath : kAllCallPaths) {
    Fleet fleet(
      [](const auto& request) { return DuplicateFirstRefusal(request, RefusalBytes("")); });
    const auto port = fleet.EntryNode(callPath).IngressPort();
    BOOST_TEST(Fetch(port, WithId(FleetOrder("first"), "1")).outcome == "not-run");
    const FetchResult second = Fetch(port, WithId(FleetOrder("second"), "2"));
    BOOST_TEST(fleet.faultyUpstream.CountRequests("second") == 1);
    BOOST_TEST(second.outcome == "ran");
  }
}

BOOST_AUTO_TEST_CASE(duplicate_refusal_without_id_does_not_cause_a_second_run)
{
  Fleet fleet([](const auto& request) { return DuplicateFirstRefusal(request, RefusalBytes("")); });
  Fetch(fleet.faultyNode.IngressPort(), WithId(FleetOrder("first"), "1"));
  fleet.AddHealthyNode();
  Fetch(fleet.faultyNode.IngressPort(), WithId(FleetOrder("second"), "2"));
  BOOST_TEST(fleet.faultyUpstream.CountRequests("second") == 1);
  BOOST_TEST(fleet.healthyUpstream.CountRuns("second") == 0);
}

BOOST_AUTO_TEST_CASE(duplicate_refusal_of_an_earlier_attempt_is_not_delivered_to_a_later_one)
{
  for (const auto callPath : kAllCallPaths) {
    Fleet fleet([](const auto& request) {
      return DuplicateFirstRefusal(request, RefusalBytes(EchoedIdField(request.head)));
    });
    const auto port = fleet.EntryNode(callPath).IngressPort();
    BOOST_TEST(Fetch(port, WithId(FleetOrder("first"), "1")).outcome == "not-run");
    BOOST_TEST(Fetch(port, WithId(FleetOrder("again"), "1")).outcome == "ran");
  }
}

BOOST_AUTO_TEST_CASE(duplicate_refusal_of_an_earlier_attempt_does_not_cause_a_second_run)
{
  Fleet fleet([](const auto& request) {
    return DuplicateFirstRefusal(request, RefusalBytes(EchoedIdField(request.head)));
  });
  Fetch(fleet.faultyNode.IngressPort(), WithId(FleetOrder("first"), "1"));
  fleet.AddHealthyNode();
  Fetch(fleet.faultyNode.IngressPort(), WithId(FleetOrder("again"), "1"));
  BOOST_TEST(fleet.faultyUpstream.CountRequests("again") == 1);
  BOOST_TEST(fleet.healthyUpstream.CountRuns("again") == 0);
}

BOOST_AUTO_TEST_CASE(refusal_without_id_on_a_reused_connection_makes_the_outcome_unknown)
{
  const auto script = [](const ScriptedRequest& request) {
    const std::string answer = ResponseBytes(200, EchoedIdField(request.head), "ran");
    return request.number == 1 ? answer : RefusalBytes("") + answer;
  };
  const auto order = [](const std::string& name) { return FleetOrder(name); };
  for (const auto callPath : kAllCallPaths) {
    Fleet fleet(script);
    const auto later =
      SendUntilConnectionReused(fleet, fleet.EntryNode(callPath).IngressPort(), order);
    BOOST_TEST(later.answer.outcome == "unknown");
    BOOST_TEST(later.answer.status == 502);
    BOOST_TEST(fleet.faultyUpstream.CountRequests(later.name) == 1);
  }
  Fleet fleet(script);
  fleet.AddHealthyNode();
  const auto later = SendUntilConnectionReused(fleet, fleet.faultyNode.IngressPort(), order);
  BOOST_TEST(later.answer.outcome == "unknown");
  BOOST_TEST(fleet.healthyUpstream.CountRuns(later.name) == 0);
}

BOOST_AUTO_TEST_CASE(
  refusal_without_id_on_a_reused_connection_lets_an_idempotent_request_be_retried)
{
  Fleet fleet([](const ScriptedRequest& request) {
    const std::string answer = ResponseBytes(200, EchoedIdField(request.head), "ran");
    return request.number == 1 ? answer : RefusalBytes("") + answer;
  });
  fleet.AddHealthyNode();
  const auto later = SendUntilConnectionReused(
    fleet, fleet.faultyNode.IngressPort(), [](const std::string& name) { return FleetRead(name); });
  BOOST_TEST(later.answer.outcome == "ran");
  BOOST_TEST(fleet.healthyUpstream.CountRuns(later.name) == 1);
}

BOOST_AUTO_TEST_CASE(duplicate_native_refusal_is_not_delivered_to_the_next_request)
{
  for (const auto callPath : kAllCallPaths) {
    Fleet fleet(
      [](const auto& request) { return DuplicateFirstRefusal(request, NativeRefusalBytes()); },
      kNoTranslation);
    const auto port = fleet.EntryNode(callPath).IngressPort();
    BOOST_TEST(Fetch(port, FleetOrder("first")).outcome == "not-run");
    BOOST_TEST(Fetch(port, FleetOrder("second")).outcome == "ran");
    BOOST_TEST(fleet.faultyUpstream.CountRequests("second") == 1);
  }
}

BOOST_AUTO_TEST_CASE(peer_response_without_outcome_header_makes_the_outcome_unknown)
{
  FakeControl control;
  ScriptedUpstream stranger([](const auto&) { return ResponseBytes(503, "", "not a node"); });
  TestNode near({ .control = &control, .routesByFleet = true });
  near.SetForeignPeer(stranger.Port());
  const FetchResult answer = Fetch(near.IngressPort(), FleetOrder("order"));
  BOOST_TEST(stranger.CountRequests("order") == 1);
  BOOST_TEST(answer.outcome == "unknown");
  BOOST_TEST(answer.status == 502);
}

// Guards against a new connection after each refusal, which adds load during an overload.
BOOST_AUTO_TEST_CASE(refusal_with_matching_id_keeps_the_connection_open)
{
  Fleet fleet([](const auto& request) { return RefusalBytes(EchoedIdField(request.head)); });
  for (int i = 0; i < 20; ++i) {
    const auto id = std::to_string(i);
    BOOST_TEST(Fetch(fleet.faultyNode.IngressPort(), WithId(FleetOrder(id), id)).outcome ==
               "not-run");
  }
  BOOST_TEST(fleet.faultyUpstream.CountConnections() == 1);
}

BOOST_AUTO_TEST_CASE(native_refusal_with_matching_attempt_keeps_the_connection_open)
{
  Fleet fleet(
    [](const auto& request) {
      const std::string attempt = request.head.headers.Find("Acp-Attempt").value_or("");
      return ResponseBytes(503, "Acp-Outcome: not-run\r\nAcp-Attempt: " + attempt + "\r\n", "");
    },
    kNoTranslation);
  for (int i = 0; i < 20; ++i) {
    const auto port = fleet.faultyNode.IngressPort();
    BOOST_TEST(Fetch(port, FleetOrder(std::to_string(i))).outcome == "not-run");
  }
  BOOST_TEST(fleet.faultyUpstream.CountConnections() == 1);
}

BOOST_AUTO_TEST_CASE(response_to_another_attempt_makes_the_outcome_unknown)
{
  Fleet fleet(
    [](const auto& /*request*/) {
      return ResponseBytes(503, "Acp-Outcome: not-run\r\nAcp-Attempt: of-another\r\n", "");
    },
    kNoTranslation);
  for (const auto callPath : kAllCallPaths) {
    BOOST_TEST(Fetch(fleet.EntryNode(callPath).IngressPort(), FleetOrder("order")).outcome ==
               "unknown");
  }
}

BOOST_AUTO_TEST_SUITE_END()
