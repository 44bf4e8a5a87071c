#include "acaciapulley/control/detail/control_context.hpp"

#include <fmt/format.h> // format

#include "acaciapulley/control/detail/wire_codec.hpp" // DecodeWire, EncodeWire
#include "acaciapulley/control/evacuation_store.hpp"  // IsDataCentreName
#include "acaciapulley/core/log.hpp"                  // Log

namespace acp::detail {

namespace {

constexpr Duration kSetEvacuationTimeout = std::chrono::seconds(3);

/// Returns the oldest format version in which @p command can be applied.
int FormatOf(const wire::ControlCommand& command)
{
  return command.__isset.setEvacuation ? kControlFormat : kBaseControlFormat;
}

} // namespace

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
  versioned.formatVersion = FormatOf(command);
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

ControlResult<SetEvacuationResult> ControlContext::SetEvacuation(const std::string& operatorName,
                                                                 const std::string& dataCentre,
                                                                 bool evacuated)
{
  // Checked before the entry is written, because a refused entry takes room in the log as well.
  if (!IsDataCentreName(dataCentre)) {
    return Fail(ControlErrorCode::InvalidRequest, "invalid name of a data centre");
  }
  wire::SetEvacuationCommand order;
  order.operatorName = operatorName;
  order.dataCentre = dataCentre;
  order.evacuated = evacuated;
  wire::ControlCommand command;
  command.__set_setEvacuation(order);
  const auto applied = Propose(command, kSetEvacuationTimeout);
  if (!applied) {
    return boost::outcome_v2::failure(applied.error());
  }
  const wire::CommandReply& reply = applied.value();
  if (reply.errorCode != 0) {
    return Fail(static_cast<ControlErrorCode>(reply.errorCode), reply.message);
  }
  Log(LogLevel::Info,
      evacuated ? "evacuation_started" : "evacuation_finished",
      { { "data_centre", dataCentre },
        { "operator", operatorName },
        { "state_version", std::to_string(reply.stateVersion) },
        { "resend", reply.isResend ? "yes" : "no" } });
  return SetEvacuationResult{ .stateVersion = reply.stateVersion, .isResend = reply.isResend };
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
