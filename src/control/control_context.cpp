#include "acaciapulley/control/detail/control_context.hpp"

#include <fmt/format.h> // format

#include "acaciapulley/control/detail/wire_codec.hpp" // DecodeWire, EncodeWire

namespace acp::detail {

ControlResult<Duration> ControlContext::ConfirmedLeadershipAge()
{
  const auto age = log.LeadershipConfirmationAge();
  if (!age) {
    return Fail(ControlErrorCode::NotLeader, age.error().Describe());
  }
  if (age.value() >= kMaxLeadershipAge) {
    return Fail(ControlErrorCode::NotLeader, "no quorum confirmed this leader within the last 1 s");
  }
  return age.value();
}

Leadership ControlContext::CurrentLeadership() const
{
  return { .term = log.Status().term, .leadingFor = log.LeadershipDuration().value_or(Duration{}) };
}

ControlResult<wire::CommandReply> ControlContext::Propose(const wire::ControlCommand& command,
                                                          Duration timeout)
{
  wire::ControlCommand versioned = command;
  versioned.formatVersion = kControlFormat;
  const auto applied = log.Propose(EncodeWire(versioned), timeout);
  if (!applied) {
    metrics.CountProposalFailure(NameOf(applied.error().code));
    switch (applied.error().code) {
      case ReplicationErrorCode::NotLeader:
        return Fail(ControlErrorCode::NotLeader, applied.error().Describe());
      case ReplicationErrorCode::Unconfirmed:
        return Fail(ControlErrorCode::Unconfirmed, applied.error().Describe());
      default:
        // The entry may have been replicated before this replica stopped.
        return Fail(ControlErrorCode::Unavailable, applied.error().Describe());
    }
  }
  wire::CommandReply reply;
  if (!DecodeWire(applied.value(), &reply)) {
    return Fail(ControlErrorCode::Unconfirmed, "the result of the log entry could not be read");
  }
  return reply;
}

ConfirmationStatus ControlContext::ConfirmationOf(std::int64_t version)
{
  std::vector<std::string> joinedNodeIds;
  for (const auto& node : state.JoinedNodes()) {
    joinedNodeIds.push_back(node.nodeId);
  }
  const Leadership leadership = CurrentLeadership();
  const std::lock_guard lock(nodesMutex);
  nodes.BeginTerm(leadership.term);
  nodes.Expire(clock.Now());
  return nodes.ConfirmationOf(version, joinedNodeIds, leadership.leadingFor);
}

} // namespace acp::detail
