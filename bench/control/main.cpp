/// @file
/// Measures claims, snapshots and polls of the control state in one thread, without disk and
/// network.

#include <chrono>  // steady_clock
#include <cstdint> // int64_t, uint64_t
#include <string>  // string

#include <fmt/format.h> // format, print

#include "acaciapulley/control/detail/rpc_handler.hpp" // RpcHandler
#include "acaciapulley/control/detail/wire_codec.hpp"  // EncodeWire

namespace {

constexpr int kClaims = 200'000;
constexpr int kNodes = 540;
constexpr int kPollRounds = 20;
constexpr int kServices = 43;
constexpr int kDocumentBytes = 4096;

/// Commits immediately, so that only the cost of the state machine is measured.
class DirectLog final : public acp::ReplicatedLog
{
public:
  DirectLog(acp::ControlState& state, const acp::Clock& clock)
    : state_(state)
    , clock_(clock)
  {
  }

  acp::ReplicationResult<std::string> Propose(const std::string& command,
                                              acp::Duration /*timeout*/) override
  {
    return state_.Apply({ { 1, ++index_ }, clock_.WallNow(), command });
  }

  acp::ReplicationResult<acp::Duration> LeadershipConfirmationAge() override
  {
    return acp::Duration{};
  }

  [[nodiscard]] std::optional<acp::Duration> LeadershipDuration() const override
  {
    return std::chrono::hours(1);
  }

  acp::ReplicationResult<void> ReplaceReplica(const std::string& /*lostId*/,
                                              const std::string& /*newId*/,
                                              acp::Duration /*timeout*/) override
  {
    return boost::outcome_v2::success();
  }

  [[nodiscard]] acp::ReplicaStatus Status() const override
  {
    return { .isLeader = true, .term = 1, .replicas = { {}, {}, {} } };
  }

private:
  acp::ControlState& state_;
  const acp::Clock& clock_;
  std::uint64_t index_ = 0;
};

class Timer
{
public:
  [[nodiscard]] double Seconds() const
  {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
  }

private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

struct Bench
{
  acp::SystemClock clock;
  acp::ControlState state;
  DirectLog log{ state, clock };
  acp::detail::ControlContext context{ .clock = clock, .log = log, .state = state };
  acp::detail::RpcHandler handler{ context };
};

void MeasureClaims(Bench& bench)
{
  const std::int64_t now = acp::CountMillis(bench.clock.WallNow());
  const Timer timer;
  for (int i = 0; i < kClaims; ++i) {
    acp::wire::BeginClaimRequest begin;
    begin.key.account = "workshop";
    begin.key.serviceName = "orders";
    begin.key.idempotencyKey = fmt::format("{}-order-{:08}", now / 1000, i);
    begin.attemptId = fmt::format("{:032}", i);
    begin.fingerprint = std::string(32, 'f');
    begin.deadlineMs = now + 60'000;
    acp::wire::BeginClaimReply reply;
    bench.handler.BeginClaim(reply, begin);
    acp::wire::FinishClaimRequest finish;
    finish.key = begin.key;
    finish.attemptId = begin.attemptId;
    finish.outcome.status = 201;
    finish.outcome.bodyKept = true;
    finish.outcome.body = std::string(200, 'b');
    bench.handler.FinishClaim(finish);
  }
  fmt::print("claims begun and finished      {:>9}\n", bench.state.ClaimCount());
  fmt::print("us for a begin and a finish    {:>9.1f}\n", timer.Seconds() * 1e6 / kClaims);
}

void MeasureSnapshot(Bench& bench)
{
  const Timer takeTimer;
  const std::string snapshot = bench.state.TakeSnapshot();
  fmt::print("snapshot MB                    {:>9.1f}\n",
             static_cast<double>(snapshot.size()) / 1e6);
  fmt::print("ms to take it                  {:>9.0f}\n", takeTimer.Seconds() * 1e3);
  const Timer restoreTimer;
  acp::ControlState other;
  const bool isRestored = other.Restore(snapshot);
  fmt::print("ms to restore it ({:>8})     {:>9.0f}\n",
             isRestored ? "ok" : "failed",
             restoreTimer.Seconds() * 1e3);
}

void PutDocuments(Bench& bench)
{
  for (int i = 0; i < kServices; ++i) {
    acp::wire::ControlCommand command;
    command.__isset.putDocument = true;
    command.putDocument.origin.operatorName = "bench";
    command.putDocument.origin.requestId = fmt::format("request-{}", i);
    command.putDocument.serviceName = fmt::format("service-{}", i);
    command.putDocument.body = std::string(kDocumentBytes, 'd');
    (void)bench.context.Propose(command, std::chrono::seconds(1));
  }
}

/// Returns the microseconds per poll, including the encoding of the reply.
/// @param isUpToDate whether the nodes already have the current versions
double MeasurePolls(Bench& bench, bool isUpToDate, std::size_t* bytes)
{
  const Timer timer;
  for (int round = 0; round < kPollRounds; ++round) {
    for (int i = 0; i < kNodes; ++i) {
      acp::wire::SyncRequest request;
      request.nodeId = fmt::format("node-{}", i);
      request.stateVersion = isUpToDate ? bench.state.Version() : 0;
      request.membersVersion = isUpToDate ? bench.context.nodes.MembersVersion() : 0;
      acp::wire::Member member;
      member.serviceName = fmt::format("service-{}", i % kServices);
      member.peerAddress = fmt::format("10.0.{}.{}:8082", i / 250, i % 250);
      request.__set_member(member);
      acp::wire::SyncReply reply;
      bench.handler.Sync(reply, request);
      *bytes = acp::detail::EncodeWire(reply).size();
    }
  }
  return timer.Seconds() * 1e6 / (kPollRounds * kNodes);
}

} // namespace

int main()
{
  Bench bench;
  PutDocuments(bench);
  std::size_t bytes = 0;
  const double snapshotPoll = MeasurePolls(bench, false, &bytes);
  fmt::print("us for a poll with a snapshot  {:>9.1f}  ({} bytes)\n", snapshotPoll, bytes);
  const double unchangedPoll = MeasurePolls(bench, true, &bytes);
  fmt::print("us for a poll without news     {:>9.1f}  ({} bytes)\n", unchangedPoll, bytes);
  MeasureClaims(bench);
  MeasureSnapshot(bench);
  return 0;
}
