#include <boost/test/unit_test.hpp>

#include <chrono> // steady_clock
#include <string> // string
#include <thread> // jthread
#include <vector> // vector

#include "acaciapulley/control/control_process.hpp"
#include "acaciapulley/control/detail/operator_api.hpp"
#include "acaciapulley/control/detail/rpc_handler.hpp"
#include "acaciapulley/control/detail/wire_codec.hpp"
#include "acaciapulley/control/evacuation_store.hpp"
#include "control_fixture.hpp"

namespace {

using acp::ControlErrorCode;
using NextResult = acp::test::MemoryLog::NextResult;
using Names = std::vector<std::string>;

constexpr int kPreviousFormat = 1;
constexpr acp::Duration kLongestHold = std::chrono::seconds(2);

/// Passes entries on and keeps the format versions in which they were written.
class FormatRecorder final : public acp::StateMachine
{
public:
  explicit FormatRecorder(acp::ControlState& state)
    : state_(state)
  {
  }

  std::string Apply(const acp::CommittedEntry& entry) override
  {
    acp::wire::ControlCommand command;
    BOOST_REQUIRE(acp::detail::DecodeWire(entry.command, &command));
    formats.push_back(command.formatVersion);
    return state_.Apply(entry);
  }

  [[nodiscard]] std::string TakeSnapshot() const override { return state_.TakeSnapshot(); }
  bool Restore(const std::string& snapshot) override { return state_.Restore(snapshot); }

  std::vector<int> formats;

private:
  acp::ControlState& state_;
};

struct EvacuationFixture : acp::test::ControlFixture
{
  auto Start(const std::string& dataCentre)
  {
    return context.SetEvacuation("sari", dataCentre, true);
  }

  auto Finish(const std::string& dataCentre)
  {
    return context.SetEvacuation("budi", dataCentre, false);
  }

  [[nodiscard]] Names AuditActions() const
  {
    Names actions;
    for (const auto& entry : state.AuditEntriesFrom(0, 100)) {
      actions.push_back(entry.action + " " + entry.subject + " " + entry.operatorName);
    }
    return actions;
  }

  acp::wire::SyncReply Sync(std::int64_t version, acp::Duration hold = {})
  {
    acp::wire::SyncRequest request;
    request.nodeId = "n1";
    request.epoch = 1;
    request.stateVersion = version;
    request.membersVersion = membersVersion;
    request.holdMs = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(hold).count());
    acp::wire::SyncReply reply;
    handler.Sync(reply, request);
    membersVersion = reply.membersVersion;
    return reply;
  }

  acp::detail::OperatorResponse Request(const std::string& method, const Names& segments)
  {
    return api.Dispatch({ .operatorName = "sari",
                          .requestId = method == "GET" ? "" : "request-1",
                          .method = method,
                          .segments = segments });
  }

  std::int64_t membersVersion = 0;
  acp::detail::RpcHandler handler{ context };
  acp::detail::OperatorApi api{ context, [](acp::Duration) {} };
};

int FormatOfSnapshot(const std::string& snapshot)
{
  acp::wire::ControlSnapshot message;
  BOOST_REQUIRE(acp::detail::DecodeWire(snapshot, &message));
  return message.formatVersion;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation, EvacuationFixture)

// Guards against a repeated order that is refused, or that wakes all nodes and fills the audit
// trail.
BOOST_AUTO_TEST_CASE(a_repeated_order_is_acknowledged_and_changes_nothing)
{
  BOOST_TEST(!Start("jawa-a").value().isResend);
  BOOST_TEST((state.EvacuatedDataCentres() == Names{ "jawa-a" }));
  const auto version = state.Version();
  BOOST_TEST(version == 1);
  BOOST_TEST(Start("jawa-a").value().isResend);
  BOOST_TEST(Finish("jawa-b").value().isResend);
  BOOST_TEST(state.Version() == version);
  BOOST_TEST(!Finish("jawa-a").value().isResend);
  BOOST_TEST(Finish("jawa-a").value().isResend);
  BOOST_TEST(state.EvacuatedDataCentres().empty());
  BOOST_TEST(state.Version() == version + 1);
  BOOST_TEST((AuditActions() ==
              Names{ "evacuation_started jawa-a sari", "evacuation_finished jawa-a budi" }));
}

// Failure: the leader is lost between commit and answer. Guards against a resent order that the
// next leader refuses or applies a second time.
BOOST_AUTO_TEST_CASE(an_order_whose_answer_was_lost_is_acknowledged_by_the_next_leader)
{
  log.nextResult = NextResult::LoseAnswer;
  BOOST_TEST((Start("jawa-a").error().code == ControlErrorCode::Unconfirmed));
  BecomeLeaderOfNewTerm();
  BOOST_TEST(Start("jawa-a").value().isResend);
  BOOST_TEST(state.Version() == 1);
  BOOST_TEST(AuditActions().size() == 1U);
}

// Guards against a deposed leader that acknowledges an order from its own state, while a later
// leader has withdrawn it.
BOOST_AUTO_TEST_CASE(an_order_that_changes_nothing_is_acknowledged_only_through_the_log)
{
  BOOST_TEST(Start("jawa-a").has_value());
  log.nextResult = NextResult::LoseProposal;
  BOOST_TEST((Start("jawa-a").error().code == ControlErrorCode::Unconfirmed));
  log.isLeader = false;
  BOOST_TEST((Start("jawa-a").error().code == ControlErrorCode::NotLeader));
  BOOST_TEST((Finish("jawa-b").error().code == ControlErrorCode::NotLeader));
}

// Failure: an order that was delayed in a connection arrives after a later one. Guards against an
// effect that the audit trail does not show.
BOOST_AUTO_TEST_CASE(a_delayed_order_takes_effect_and_is_audited)
{
  BOOST_TEST(Start("jawa-a").has_value());
  BOOST_TEST(Finish("jawa-a").has_value());
  BOOST_TEST(!Start("jawa-a").value().isResend);
  BOOST_TEST((state.EvacuatedDataCentres() == Names{ "jawa-a" }));
  BOOST_TEST(AuditActions().size() == 3U);
}

// Guards against an evacuation that is lost or revived when replicas restart from their snapshots,
// and against replicas that diverge.
BOOST_AUTO_TEST_CASE(evacuations_survive_a_restore)
{
  for (const bool isFinished : { false, true }) {
    BOOST_TEST(Start("jawa-a").has_value());
    BOOST_TEST(Start("bali-a").has_value());
    if (isFinished) {
      BOOST_TEST(Finish("jawa-a").has_value());
      BOOST_TEST(Finish("bali-a").has_value());
    }
    acp::ControlState restored;
    BOOST_TEST(Start("sumatra-a").has_value());
    BOOST_REQUIRE(restored.Restore(state.TakeSnapshot()));
    BOOST_TEST((restored.EvacuatedDataCentres() == state.EvacuatedDataCentres()));
    BOOST_TEST((restored.TakeSnapshot() == state.TakeSnapshot()));
    BOOST_TEST(Finish("sumatra-a").has_value());
    BOOST_REQUIRE(restored.Restore(state.TakeSnapshot()));
    BOOST_TEST((restored.EvacuatedDataCentres() == state.EvacuatedDataCentres()));
    BOOST_TEST(restored.EvacuatedDataCentres().empty() == isFinished);
  }
}

// Failure: replicas of different versions. Guards against an older replica that skips the order and
// diverges, and against one that cannot be started because of an evacuation that has ended.
BOOST_AUTO_TEST_CASE(only_entries_and_snapshots_with_an_evacuation_have_the_newer_format)
{
  FormatRecorder recorder(state);
  acp::test::MemoryLog recordedLog(recorder, clock);
  acp::detail::ControlContext recorded{ .clock = clock, .log = recordedLog, .state = state };
  acp::wire::ControlCommand other;
  acp::wire::FoundFleetCommand found;
  found.secret = "s";
  other.__set_foundFleet(found);
  BOOST_TEST(recorded.Propose(other, {}).has_value());
  BOOST_TEST(FormatOfSnapshot(state.TakeSnapshot()) == kPreviousFormat);
  BOOST_TEST(recorded.SetEvacuation("sari", "jawa-a", true).has_value());
  BOOST_TEST(FormatOfSnapshot(state.TakeSnapshot()) == kPreviousFormat + 1);
  BOOST_TEST(recorded.SetEvacuation("sari", "jawa-a", false).has_value());
  BOOST_TEST(FormatOfSnapshot(state.TakeSnapshot()) == kPreviousFormat);
  BOOST_TEST((recorder.formats ==
              std::vector<int>{ kPreviousFormat, kPreviousFormat + 1, kPreviousFormat + 1 }));
}

// Guards against names that fill the state and each reply to a poll.
BOOST_AUTO_TEST_CASE(names_and_their_number_are_limited)
{
  for (const std::string& name : { std::string(), std::string(129, 'x'), std::string("a\nb") }) {
    BOOST_TEST((Start(name).error().code == ControlErrorCode::InvalidRequest));
  }
  BOOST_TEST(Start(std::string(128, 'x')).has_value());
  BOOST_TEST(Finish(std::string(128, 'x')).has_value());
  for (std::size_t i = 0; i < acp::kMaxEvacuations; ++i) {
    BOOST_TEST(Start("d" + std::to_string(i)).has_value());
  }
  BOOST_TEST((Start("more").error().code == ControlErrorCode::TooManyEvacuations));
  BOOST_TEST(Start("d0").value().isResend);
  BOOST_TEST(Finish("d0").has_value());
  BOOST_TEST(Start("more").has_value());
}

// Guards against a node that is told of the change but not of the names, or of neither.
BOOST_AUTO_TEST_CASE(each_reply_to_a_poll_names_all_evacuated_data_centres)
{
  const auto before = Sync(0);
  BOOST_TEST(before.evacuatedDataCentres.empty());
  BOOST_TEST(Start("jawa-a").has_value());
  const auto started = Sync(before.delta.toVersion);
  BOOST_TEST(started.delta.toVersion > before.delta.toVersion);
  BOOST_TEST((started.evacuatedDataCentres == Names{ "jawa-a" }));
  // Also without a change, and in a snapshot for a node that has just started.
  BOOST_TEST((Sync(started.delta.toVersion).evacuatedDataCentres == Names{ "jawa-a" }));
  BOOST_TEST((Sync(0).evacuatedDataCentres == Names{ "jawa-a" }));
  BOOST_TEST(Finish("jawa-a").has_value());
  BOOST_TEST(Sync(started.delta.toVersion).evacuatedDataCentres.empty());
}

// Guards against an order that nodes learn of only when their long poll ends.
BOOST_AUTO_TEST_CASE(a_pending_poll_returns_as_soon_as_an_order_is_applied)
{
  acp::ChangeSignal changes;
  context.changeSignal = &changes;
  state.SetAppliedCallback([&changes] { changes.Notify(); });
  // The first poll creates the secret, which is a change as well.
  Sync(0);
  const auto version = Sync(0).delta.toVersion;
  const auto start = std::chrono::steady_clock::now();
  const std::jthread order([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    (void)Start("jawa-a");
  });
  const auto reply = Sync(version, kLongestHold);
  BOOST_TEST((reply.evacuatedDataCentres == Names{ "jawa-a" }));
  BOOST_TEST((std::chrono::steady_clock::now() - start < kLongestHold));
}

// Guards against operators who cannot see or change what the platform has ordered.
BOOST_AUTO_TEST_CASE(operators_start_list_and_finish_evacuations)
{
  BOOST_TEST(Request("PUT", { "evacuations", "jawa-a" }).status == 200);
  const auto again = Request("PUT", { "evacuations", "jawa-a" });
  BOOST_TEST(again.json.find(R"("resend":true)") != std::string::npos);
  const auto listed = Request("GET", { "evacuations" });
  BOOST_TEST(listed.json.find(R"("data_centres":["jawa-a"])") != std::string::npos);
  BOOST_TEST(Request("PUT", { "evacuations", std::string(129, 'x') }).status == 400);
  BOOST_TEST(Request("PUT", { "evacuations" }).status == 404);
  BOOST_TEST(Request("POST", { "evacuations", "jawa-a" }).status == 404);
  BOOST_TEST(Request("DELETE", { "evacuations", "jawa-a" }).status == 200);
  BOOST_TEST(state.EvacuatedDataCentres().empty());
  log.isLeader = false;
  BOOST_TEST(Request("PUT", { "evacuations", "jawa-a" }).status == 421);
  BOOST_TEST(Request("GET", { "evacuations" }).status == 421);
}

// Guards against a read that answers with the state of a deposed leader.
BOOST_AUTO_TEST_CASE(the_control_process_confirms_its_leadership_before_a_read)
{
  const acp::Address any{ .ip = "127.0.0.1" };
  acp::ControlProcess process({ .rpcAddress = any,
                                .operatorAddress = any,
                                .operators = acp::test::TwoOperators(),
                                .clock = &clock,
                                .log = &log,
                                .state = &state });
  BOOST_TEST(!process.SetEvacuation("sari", "jawa-a", true).value().isResend);
  BOOST_TEST((process.ReadEvacuations().value() == Names{ "jawa-a" }));
  log.age = std::chrono::seconds(1);
  BOOST_TEST((process.ReadEvacuations().error().code == ControlErrorCode::NotLeader));
  process.Stop(std::chrono::seconds(1));
}

BOOST_AUTO_TEST_SUITE_END()
