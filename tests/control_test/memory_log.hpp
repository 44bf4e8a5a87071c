#pragma once

#include <atomic>   // atomic
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <utility>  // exchange

#include "acaciapulley/control/control_state.hpp"      // ControlState
#include "acaciapulley/replication/replicated_log.hpp" // ReplicatedLog

namespace acp::test {

/// In-memory log of a single replica. Tests control leadership and inject lost results.
class MemoryLog final : public ReplicatedLog
{
public:
  enum class NextResult
  {
    Normal,
    LoseAnswer,  ///< commits the entry, but returns Unconfirmed
    LoseProposal ///< does not commit the entry and returns Unconfirmed
  };

  MemoryLog(StateMachine& state, const Clock& clock)
    : state_(state)
    , clock_(clock)
  {
  }

  ReplicationResult<std::string> Propose(const std::string& command, Duration /*timeout*/) override
  {
    const std::lock_guard lock(mutex_);
    if (!isLeader) {
      return Fail(ReplicationErrorCode::NotLeader, "another replica leads");
    }
    const NextResult result = std::exchange(nextResult, NextResult::Normal);
    if (result == NextResult::LoseProposal) {
      return Fail(ReplicationErrorCode::Unconfirmed, "lost");
    }
    auto reply = state_.Apply({ { term, ++index_ }, clock_.WallNow(), command });
    if (result == NextResult::LoseAnswer) {
      return Fail(ReplicationErrorCode::Unconfirmed, "answer lost");
    }
    return reply;
  }

  ReplicationResult<Duration> LeadershipConfirmationAge() override
  {
    if (!isLeader) {
      return Fail(ReplicationErrorCode::NotLeader, "another replica leads");
    }
    return age;
  }

  [[nodiscard]] std::optional<Duration> LeadershipDuration() const override
  {
    return isLeader ? std::optional(clock_.Now() - leaderSince) : std::nullopt;
  }

  ReplicationResult<void> ReplaceReplica(const std::string& lostId,
                                         const std::string& newId,
                                         Duration /*timeout*/) override
  {
    if (voter != lostId) {
      return Fail(ReplicationErrorCode::ChangeRefused, "no such voter");
    }
    voter = newId;
    return boost::outcome_v2::success();
  }

  [[nodiscard]] ReplicaStatus Status() const override
  {
    ReplicaStatus status{ .isLeader = isLeader, .term = term, .commitIndex = index_ };
    status.leaderId = leaderId;
    status.leaderRpcAddress = "127.0.0.1:7300";
    status.leaderOperatorAddress = "127.0.0.1:7310";
    status.replicas = { { .id = voter, .isVoter = true } };
    if (!followerRpcAddress.empty()) {
      status.replicas.push_back({ .id = "follower", .rpcAddress = followerRpcAddress });
    }
    return status;
  }

  bool isLeader = true;
  Duration age{};
  std::uint64_t term = 1;
  TimePoint leaderSince;
  NextResult nextResult = NextResult::Normal;
  std::string voter = "r1";
  std::string leaderId;           ///< empty if unknown
  std::string followerRpcAddress; ///< of another replica; empty if there is none

private:
  StateMachine& state_;
  const Clock& clock_;
  std::mutex mutex_;
  std::atomic<std::uint64_t> index_{ 0 };
};

} // namespace acp::test
