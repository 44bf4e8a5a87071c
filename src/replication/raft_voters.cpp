#include <algorithm> // find_if
#include <utility>   // move

#include "acaciapulley/replication/detail/codec.hpp" // EncodeMembership
#include "acaciapulley/replication/raft_core.hpp"

namespace acp {

namespace {

/// A learner has caught up if it lacks at most this many committed entries.
constexpr std::uint64_t kMaxLearnerLagEntries = 100;

auto Refuse(const std::string& why)
{
  return Fail(ReplicationErrorCode::ChangeRefused, why);
}

} // namespace

ReplicationResult<void> RaftCore::CheckVoterChange(const std::string& learnerId) const
{
  if (role_ != RaftRole::Leader) {
    return Fail(ReplicationErrorCode::NotLeader,
                "replica " + hardState_.identity + " does not lead");
  }
  if (!IsMembershipStable() || commitIndex_ < termStartIndex_) {
    return Refuse("another change of the voter set is not yet committed");
  }
  const auto learner = progress_.find(learnerId);
  if (learner == progress_.end() || learner->second.learner.id.empty()) {
    return Refuse("replica " + learnerId + " is not a learner of this leader");
  }
  if (!learner->second.HasAnswered()) {
    return Refuse("replica " + learnerId + " has not answered this leader since it joined");
  }
  if (learner->second.matchIndex + kMaxLearnerLagEntries < commitIndex_) {
    return Refuse("replica " + learnerId + " has not caught up: it has entry " +
                  std::to_string(learner->second.matchIndex) + " of " +
                  std::to_string(commitIndex_));
  }
  return boost::outcome_v2::success();
}

LogPosition RaftCore::BeginVoterChange(Membership next,
                                       const std::string& learnerId,
                                       UnixMillis wall)
{
  next.oldVoters = log_.NewestMembership().voters;
  progress_.at(learnerId).learner = {};
  return AppendAsLeader(EntryKind::Membership, detail::EncodeMembership(next), wall);
}

ReplicationResult<LogPosition> RaftCore::Replace(const std::string& lostId,
                                                 const std::string& newId,
                                                 UnixMillis wall)
{
  if (const auto checked = CheckVoterChange(newId); !checked) {
    return checked.as_failure();
  }
  if (lostId == hardState_.identity) {
    return Refuse("replica " + lostId + " leads, so it is not lost");
  }
  Membership next = log_.NewestMembership();
  const auto lost = std::find_if(
    next.voters.begin(), next.voters.end(), [&](const auto& voter) { return voter.id == lostId; });
  if (lost == next.voters.end()) {
    return Refuse("replica " + lostId + " is not in the set");
  }
  *lost = progress_.at(newId).learner;
  return BeginVoterChange(std::move(next), newId, wall);
}

std::optional<VoterChange> RaftCore::MaintainVoters(const RaftTime& time)
{
  if (role_ != RaftRole::Leader || !IsMembershipStable() || commitIndex_ < termStartIndex_) {
    return std::nullopt;
  }
  if (auto change = RetireReplacedLearner(time)) {
    return change;
  }
  if (auto change = ReplaceVoterWithLostDisk(time)) {
    return change;
  }
  const ReplicaRecord* learner = ReachableLearner(time.now);
  if (learner == nullptr) {
    return std::nullopt;
  }
  if (auto change = ReplaceSilentVoter(*learner, time)) {
    return change;
  }
  return AddVoter(*learner, time);
}

std::optional<VoterChange> RaftCore::RetireReplacedLearner(const RaftTime& time)
{
  for (const auto& [earlierId, earlier] : progress_) {
    if (earlier.learner.id.empty()) {
      continue;
    }
    for (const auto& [laterId, later] : progress_) {
      if (laterId == earlierId || AddressOf(laterId) != earlier.learner.rpcAddress ||
          !later.IsLaterThan(earlier)) {
        continue;
      }
      VoterChange change{ .reason = VoterChangeReason::LearnerReplaced,
                          .leavingId = earlierId,
                          .learnerId = laterId,
                          .silence = SilenceOf(earlierId, time.now),
                          .voters = log_.NewestMembership().voters.size() };
      Membership next = log_.NewestMembership();
      next.retiredIds.push_back(earlierId);
      progress_.erase(change.leavingId);
      change.position =
        AppendAsLeader(EntryKind::Membership, detail::EncodeMembership(next), time.wall);
      return change;
    }
  }
  return std::nullopt;
}

std::optional<VoterChange> RaftCore::ReplaceVoterWithLostDisk(const RaftTime& time)
{
  for (const auto& [id, progress] : progress_) {
    const ReplicaRecord& learner = progress.learner;
    if (learner.id.empty() || !IsReachableLearner(id, time.now)) {
      continue;
    }
    for (const auto& voter : log_.NewestMembership().voters) {
      const auto earlier = progress_.find(voter.id);
      if (voter.rpcAddress != learner.rpcAddress || earlier == progress_.end() ||
          !progress.IsLaterThan(earlier->second)) {
        continue;
      }
      VoterChange change{ .reason = VoterChangeReason::HostReturnedEmpty,
                          .leavingId = voter.id,
                          .learnerId = learner.id,
                          .silence = SilenceOf(voter.id, time.now),
                          .voters = log_.NewestMembership().voters.size() };
      const auto replaced = Replace(voter.id, learner.id, time.wall);
      if (!replaced) {
        return std::nullopt;
      }
      change.position = replaced.value();
      return change;
    }
  }
  return std::nullopt;
}

std::optional<VoterChange> RaftCore::ReplaceSilentVoter(const ReplicaRecord& learner,
                                                        const RaftTime& time)
{
  if (options_.voterSilenceTimeout == Duration::zero()) {
    return std::nullopt;
  }
  Membership next = log_.NewestMembership();
  const auto silent =
    std::find_if(next.voters.begin(), next.voters.end(), [&](const ReplicaRecord& voter) {
      return SilenceOf(voter.id, time.now) >= options_.voterSilenceTimeout;
    });
  if (silent == next.voters.end()) {
    return std::nullopt;
  }
  VoterChange change{ .reason = VoterChangeReason::VoterSilent,
                      .leavingId = silent->id,
                      .learnerId = learner.id,
                      .silence = SilenceOf(silent->id, time.now),
                      .voters = next.voters.size() };
  // The voter may be isolated or frozen with its disk intact, so its identity is not retired.
  next.demotedIds.push_back(silent->id);
  *silent = learner;
  change.position = BeginVoterChange(std::move(next), change.learnerId, time.wall);
  return change;
}

std::optional<VoterChange> RaftCore::AddVoter(const ReplicaRecord& learner, const RaftTime& time)
{
  Membership next = log_.NewestMembership();
  if (next.voters.size() >= options_.targetVoterCount) {
    return std::nullopt;
  }
  VoterChange change{ .reason = VoterChangeReason::SetTooSmall,
                      .learnerId = learner.id,
                      .voters = next.voters.size() };
  next.voters.push_back(learner);
  change.position = BeginVoterChange(std::move(next), change.learnerId, time.wall);
  return change;
}

const ReplicaRecord* RaftCore::ReachableLearner(TimePoint now) const
{
  for (const auto& [id, progress] : progress_) {
    if (IsReachableLearner(id, now) && CheckVoterChange(id)) {
      return &progress.learner;
    }
  }
  return nullptr;
}

bool RaftCore::IsReachableLearner(const std::string& id, TimePoint now) const
{
  return progress_.at(id).HasAnswered() && SilenceOf(id, now) < options_.electionTimeout;
}

std::string RaftCore::AddressOf(const std::string& id) const
{
  const auto found = progress_.find(id);
  if (found != progress_.end() && !found->second.learner.id.empty()) {
    return found->second.learner.rpcAddress;
  }
  for (const auto& voter : log_.NewestMembership().voters) {
    if (voter.id == id) {
      return voter.rpcAddress;
    }
  }
  return {};
}

Duration RaftCore::SilenceOf(const std::string& id, TimePoint now) const
{
  const auto found = progress_.find(id);
  return found == progress_.end() ? Duration::zero() : now - found->second.lastHeardAt;
}

} // namespace acp
