#include <boost/test/unit_test.hpp>

#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include <fmt/format.h> // format

#include "acaciapulley/control/detail/operator_api.hpp"
#include "control_fixture.hpp"

namespace {

using acp::detail::OperatorApiRequest;
using acp::detail::OperatorResponse;
using NextResult = acp::test::MemoryLog::NextResult;

struct ApiFixture : acp::test::ControlFixture
{
  OperatorResponse Put(const std::string& requestId,
                       int rate,
                       const std::string& ifVersion,
                       const std::string& operatorName = "sari")
  {
    return api.Dispatch({ .operatorName = operatorName,
                          .requestId = requestId,
                          .method = "PUT",
                          .segments = { "services", "orders", "document" },
                          .ifVersion = ifVersion,
                          .body = acp::test::OrdersDocument(rate) });
  }

  OperatorResponse IssueKey(const std::string& requestId)
  {
    return api.Dispatch({ .operatorName = "sari",
                          .requestId = requestId,
                          .method = "POST",
                          .segments = { "accounts", "workshop", "keys" } });
  }

  OperatorResponse RevokeKey(const std::string& requestId, const std::string& keyId)
  {
    return api.Dispatch({ .operatorName = "sari",
                          .requestId = requestId,
                          .method = "DELETE",
                          .segments = { "accounts", "workshop", "keys", keyId } });
  }

  OperatorResponse Get(const std::vector<std::string>& segments)
  {
    return api.Dispatch({ .operatorName = "sari", .method = "GET", .segments = segments });
  }

  void Poll(const std::string& nodeId, std::int64_t version)
  {
    context.nodes.BeginTerm(log.term);
    context.nodes.RecordPoll({ .nodeId = nodeId, .epoch = 1, .stateVersion = version },
                             clock.Now());
  }

  std::function<void()> onPause = [] {};
  acp::detail::OperatorApi api{ context, [this](acp::Duration pause) {
                                 clock.Advance(pause);
                                 onPause();
                               } };
};

bool Contains(const OperatorResponse& response, const std::string& text)
{
  return response.json.find(text) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_api, ApiFixture)

// P12. Guards against a change that is applied twice, or not at all, when its response is lost.
BOOST_AUTO_TEST_CASE(a_resend_after_a_lost_response_gets_the_first_result)
{
  log.nextResult = NextResult::LoseAnswer;
  BOOST_TEST(Put("request-1", 1, "0").status == 504);
  BOOST_TEST(Put("request-2", 2, "1").status == 200);
  const auto again = Put("request-1", 1, "0");
  BOOST_TEST(again.status == 200);
  BOOST_TEST(Contains(again, R"("version":1)"));
  log.nextResult = NextResult::LoseProposal;
  BOOST_TEST(Put("request-3", 3, "2").status == 504);
  BOOST_TEST(Contains(Put("request-3", 3, "2"), R"("version":3)"));
  BOOST_TEST(state.DocumentOf("orders")->version == 3);
}

// P12. Guards against reporting success to two operators who change the same version concurrently.
BOOST_AUTO_TEST_CASE(a_version_conflict_names_the_operator_of_the_accepted_change)
{
  BOOST_TEST(Put("request-1", 1, "0", "sari").status == 200);
  const auto lost = Put("request-1", 2, "0", "budi");
  BOOST_TEST(lost.status == 409);
  BOOST_TEST(Contains(lost, "sari"));
  BOOST_TEST(Contains(lost, R"("next":)"));
  BOOST_TEST(Contains(Get({ "audit" }), R"("operator":"sari")"));
  BOOST_TEST(!Contains(Get({ "audit" }), R"("operator":"budi")"));
}

// P3. Guards against issuing a second, unnoticed key when the response to `key give` is lost.
BOOST_AUTO_TEST_CASE(a_resent_key_request_issues_no_second_key)
{
  log.nextResult = NextResult::LoseAnswer;
  BOOST_TEST(IssueKey("request-1").status == 504);
  const auto again = IssueKey("request-1");
  BOOST_TEST(again.status == 409);
  const auto keys = state.Keys("workshop");
  BOOST_REQUIRE(keys.size() == 1U);
  BOOST_TEST(Contains(again, keys[0].id));
  BOOST_TEST(!Contains(again, R"("key":)"));
  const auto given = IssueKey("request-2");
  BOOST_TEST(given.status == 201);
  BOOST_TEST(Contains(given, "acp_"));
  BOOST_TEST((state.TakeSnapshot().find("acp_") == std::string::npos));
}

// P5. Guards against a revocation that is reported as complete while a node still accepts the key,
// and against one that waits forever for a dead node.
BOOST_AUTO_TEST_CASE(a_revocation_waits_for_confirmations_until_its_timeout)
{
  BOOST_TEST(IssueKey("request-1").status == 201);
  BOOST_TEST(IssueKey("request-2").status == 201);
  const auto keys = state.Keys("workshop");
  Poll("n1", 2);
  Poll("n2", 2);
  onPause = [this] {
    Poll("n1", state.Version());
    Poll("n2", state.Version());
  };
  auto start = clock.Now();
  BOOST_TEST(Contains(RevokeKey("request-3", keys[0].id), R"("confirmed_by_all":true)"));
  BOOST_TEST((clock.Now() - start < std::chrono::seconds(1)));
  onPause = [this] { Poll("n1", state.Version()); };
  start = clock.Now();
  const auto partial = RevokeKey("request-4", keys[1].id);
  BOOST_TEST(Contains(partial, R"("confirmed_by_all":false)"));
  BOOST_TEST(Contains(partial, R"("not_confirmed":["n2"])"));
  BOOST_TEST((clock.Now() - start == std::chrono::seconds(5)));
  // Node n2 serves no requests once it has not polled for 15 s.
  BOOST_TEST(Contains(Get({ "status" }), R"("in_force":"no")"));
  clock.Advance(std::chrono::seconds(11));
  Poll("n1", state.Version());
  BOOST_TEST(Contains(Get({ "status" }), R"("in_force":"yes")"));
}

// P5. Guards against a new leader that reports a revocation as complete although a node that has
// not polled it yet may still accept the key.
BOOST_AUTO_TEST_CASE(a_new_leader_does_not_report_a_revocation_as_confirmed_by_all)
{
  BOOST_TEST(IssueKey("request-1").status == 201);
  BecomeLeaderOfNewTerm();
  onPause = [this] { Poll("n1", state.Version()); };
  const auto start = clock.Now();
  const auto withdrawn = RevokeKey("request-2", state.Keys("workshop")[0].id);
  BOOST_TEST(Contains(withdrawn, R"("confirmed_by_all":false)"));
  BOOST_TEST(Contains(withdrawn, R"("may_miss_nodes":true)"));
  BOOST_TEST((clock.Now() - start == std::chrono::seconds(5)));
}

// P12. Guards against a new leader that reports a change as in force before all nodes have polled.
BOOST_AUTO_TEST_CASE(a_new_leader_reports_in_force_as_unknown)
{
  Put("request-1", 1, "0");
  acp::wire::ControlCommand joined;
  joined.__isset.noteNodes = true;
  joined.noteNodes.notes.emplace_back();
  joined.noteNodes.notes[0].nodeId = "n2";
  joined.noteNodes.notes[0].event = acp::wire::NodeEvent::JOINED;
  BOOST_TEST(context.Propose(joined, {}).has_value());
  Poll("n1", 1);
  BOOST_TEST(Contains(Get({ "status" }), R"("in_force":"yes")"));
  BecomeLeaderOfNewTerm();
  Poll("n1", 1);
  const auto status = Get({ "status" });
  BOOST_TEST(Contains(status, R"("in_force":"unknown")"));
  BOOST_TEST(Contains(status, R"("not_heard":["n2"])"));
  clock.Advance(acp::kNodeSilenceTimeout + std::chrono::milliseconds(1));
  Poll("n1", 1);
  BOOST_TEST(Contains(Get({ "status" }), R"("in_force":"yes")"));
}

// Guards against invalid requests that change state although they are rejected.
BOOST_AUTO_TEST_CASE(invalid_requests_change_no_state)
{
  Put("request-1", 1, "0");
  const std::string before = state.TakeSnapshot();
  const std::vector<std::string> document = { "services", "orders", "document" };
  const std::string good = acp::test::OrdersDocument(2);
  const std::vector<OperatorApiRequest> requests = {
    { .requestId = "request-2", .method = "PUT", .segments = document, .body = good },
    { .requestId = "request-2",
      .method = "PUT",
      .segments = document,
      .ifVersion = "-1",
      .body = good },
    { .requestId = "request-2",
      .method = "PUT",
      .segments = document,
      .ifVersion = "1x",
      .body = good },
    { .requestId = "request-2",
      .method = "PUT",
      .segments = document,
      .ifVersion = "1",
      .body = "{" },
    { .requestId = "short", .method = "PUT", .segments = document, .ifVersion = "1", .body = good },
    { .requestId = "request 2",
      .method = "PUT",
      .segments = document,
      .ifVersion = "1",
      .body = good },
    { .requestId = "request-2",
      .method = "PUT",
      .segments = { "services", "other", "document" },
      .ifVersion = "1",
      .body = good },
    { .requestId = "request-2", .method = "POST", .segments = { "accounts", "A b", "keys" } },
    { .requestId = "request-2",
      .method = "POST",
      .segments = { "accounts", "a", "keys" },
      .body = "x" },
    { .requestId = "request-2", .method = "DELETE", .segments = { "accounts", "a", "keys" } },
    { .requestId = "request-2",
      .method = "POST",
      .segments = { "control", "replace" },
      .body = R"({"lost":"r1","new":"r2","force":true})" },
    { .requestId = "request-2", .method = "PATCH", .segments = document, .body = good },
    { .requestId = "request-2", .method = "PUT" },
  };
  for (const auto& request : requests) {
    const auto response = api.Dispatch(request);
    BOOST_TEST((response.status == 400 || response.status == 404));
    BOOST_TEST(Contains(response, R"("next":)"));
  }
  BOOST_TEST((state.TakeSnapshot() == before));
  BOOST_TEST(log.voter == "r1");
}

// P12. Guards against responses from a replica that is isolated or not the leader.
BOOST_AUTO_TEST_CASE(only_a_confirmed_leader_answers)
{
  Put("request-1", 1, "0");
  log.age = std::chrono::seconds(1);
  BOOST_TEST(Get({ "status" }).status == 503);
  BOOST_TEST(Put("request-2", 2, "1").status == 503);
  BOOST_TEST(Get({ "control" }).status == 200);
  log.isLeader = false;
  const auto moved = Put("request-2", 2, "1");
  BOOST_TEST(moved.status == 421);
  BOOST_TEST(moved.leader == "127.0.0.1:7310");
  BOOST_TEST(state.DocumentOf("orders")->version == 1);
}

// Guards against a resent replacement that is refused, against a replacement without an audit
// entry, and against a mistyped replica id that is recorded as replaced.
BOOST_AUTO_TEST_CASE(a_resent_replica_replacement_is_audited_once)
{
  const OperatorApiRequest request{ .operatorName = "budi",
                                    .requestId = "request-1",
                                    .method = "POST",
                                    .segments = { "control", "replace" },
                                    .body = R"({"lost":"r1","new":"r2"})" };
  OperatorApiRequest mistyped = request;
  mistyped.body = R"({"lost":"nobody","new":"r1"})";
  BOOST_TEST(api.Dispatch(mistyped).status == 409);
  BOOST_TEST(state.RetiredReplicas().empty());
  log.nextResult = NextResult::LoseAnswer;
  BOOST_TEST(api.Dispatch(request).status == 504);
  BOOST_TEST(Contains(api.Dispatch(request), R"("resend":true)"));
  BOOST_TEST(log.voter == "r2");
  BOOST_TEST(state.AuditEntriesFrom(1, 10).size() == 1U);
  BOOST_TEST(state.AuditEntriesFrom(1, 10)[0].operatorName == "budi");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(operator_directory)

// Guards against operators that are not identified in the audit trail, and against mistakes in the
// key file that remain undetected.
BOOST_AUTO_TEST_CASE(operator_key_file_maps_keys_to_names_and_rejects_mistakes)
{
  const auto operators = acp::test::TwoOperators();
  BOOST_TEST(operators.NameOf("key-budi").value() == "budi");
  BOOST_TEST(!operators.NameOf("key-unknown").has_value());
  const std::string hash(64, 'a');
  for (const std::string& text : { std::string(),
                                   hash,
                                   "sari:" + hash + "\nsari:" + std::string(64, 'b'),
                                   fmt::format("sari:{0}\nbudi:{0}", hash),
                                   "sari:" + hash.substr(1),
                                   "Sari:" + hash }) {
    BOOST_TEST(!acp::OperatorDirectory::Parse(text).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
