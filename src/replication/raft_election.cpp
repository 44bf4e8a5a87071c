#include "acaciapulley/replication/raft_core.hpp"

namespace acp {

void RaftCore::ResetElectionTimer(TimePoint now)
{
  const Duration timeout =
    leaderHeardAt_ ? options_.electionTimeout : options_.firstElectionTimeout;
  const auto spread = static_cast<std::uint64_t>(timeout.count());
  electionDeadline_ =
    now + timeout + Duration(static_cast<Duration::rep>(options_.random() % spread));
}

bool RaftCore::IsUpToDate(const LogPosition& last) const
{
  if (!options_.guards.voteOnlyWhenUpToDate) {
    return true;
  }
  const LogPosition own = log_.Last();
  return last.term > own.term || (last.term == own.term && last.index >= own.index);
}

void RaftCore::BecomeFollower(std::uint64_t term, const std::string& leaderId, TimePoint now)
{
  if (term > hardState_.term) {
    SetHardState(term, {});
  }
  if (role_ != RaftRole::Follower) {
    ResetElectionTimer(now);
  }
  role_ = RaftRole::Follower;
  leaderId_ = leaderId;
  votes_.clear();
  progress_.clear();
  heartbeatRounds_.clear();
}

void RaftCore::StartPreVote(const RaftTime& time)
{
  role_ = RaftRole::PreCandidate;
  votes_ = { hardState_.identity };
  for (const auto& id : OtherVoters()) {
    RaftMessage message = MakeMessage(MessageKind::PreVote, id);
    message.term = hardState_.term + 1;
    message.position = log_.Last();
    Send(std::move(message));
  }
  CountVotes(time);
}

void RaftCore::BecomeCandidate(const RaftTime& time)
{
  role_ = RaftRole::Candidate;
  SetHardState(hardState_.term + 1, hardState_.identity);
  ResetElectionTimer(time.now);
  votes_.clear();
  // The candidate's own vote counts once the write that contains it is synced.
  voteWriteNumber_ = writeNumber_ + 1;
  for (const auto& id : OtherVoters()) {
    RaftMessage message = MakeMessage(MessageKind::Vote, id);
    message.position = log_.Last();
    SendAfterSync(std::move(message));
  }
  if (!options_.guards.syncBeforeReply) {
    votes_.insert(hardState_.identity);
    CountVotes(time);
  }
}

void RaftCore::CountVotes(const RaftTime& time)
{
  if (!HasQuorum(votes_)) {
    return;
  }
  if (role_ == RaftRole::PreCandidate) {
    BecomeCandidate(time);
  } else if (role_ == RaftRole::Candidate) {
    BecomeLeader(time);
  }
}

void RaftCore::StepPreVote(const RaftMessage& message, TimePoint now)
{
  const bool hearsLeader = role_ == RaftRole::Leader ||
                           (leaderHeardAt_ && now - *leaderHeardAt_ < options_.electionTimeout);
  RaftMessage reply = MakeMessage(MessageKind::PreVoteReply, message.from);
  reply.accepted = !hearsLeader && message.term > hardState_.term && IsUpToDate(message.position);
  if (reply.accepted) {
    reply.term = message.term;
  }
  Send(std::move(reply));
}

void RaftCore::StepPreVoteReply(const RaftMessage& message, const RaftTime& time)
{
  if (!message.accepted) {
    if (message.term > hardState_.term) {
      BecomeFollower(message.term, {}, time.now);
    }
    return;
  }
  if (role_ == RaftRole::PreCandidate && message.term == hardState_.term + 1) {
    votes_.insert(message.from);
    CountVotes(time);
  }
}

// A replica votes even if it is not a voter in its own log: one that has just replaced another may
// not have the membership entry yet, and its vote may already be needed. The candidate counts the
// vote only if the membership in its own log contains the identity.
void RaftCore::StepVote(const RaftMessage& message, TimePoint now)
{
  const bool canVote = hardState_.vote.empty() || hardState_.vote == message.from;
  RaftMessage reply = MakeMessage(MessageKind::VoteReply, message.from);
  reply.accepted = canVote && role_ != RaftRole::Leader && IsUpToDate(message.position);
  if (reply.accepted) {
    if (hardState_.vote.empty()) {
      SetHardState(hardState_.term, message.from);
    }
    ResetElectionTimer(now);
  }
  SendAfterSync(std::move(reply));
}

void RaftCore::StepVoteReply(const RaftMessage& message, const RaftTime& time)
{
  if (role_ == RaftRole::Candidate && message.accepted) {
    votes_.insert(message.from);
    CountVotes(time);
  }
}

} // namespace acp
