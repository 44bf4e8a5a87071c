#include <utility> // move

#include <fmt/format.h> // format

#include "acaciapulley/control/detail/control_state_impl.hpp" // Impl
#include "acaciapulley/control/detail/control_wire.hpp"       // FromWire, ToWire
#include "acaciapulley/control/detail/wire_codec.hpp"         // DecodeWire, EncodeWire
#include "acaciapulley/core/random.hpp"                       // Sha256

namespace acp {

namespace {

/// Operator name in audit entries for events that the leader detected itself.
constexpr const char* kControlOperatorName = "control";

template<typename Code>
wire::CommandReply Refusal(const BasicError<Code>& error)
{
  wire::CommandReply reply;
  reply.errorCode = static_cast<int>(error.code);
  reply.errorName = NameOf(error.code);
  reply.message = error.message;
  return reply;
}

wire::CommandReply Refusal(ControlErrorCode code, const std::string& message)
{
  return Refusal(ControlError{ code, message });
}

const char* ActionOf(wire::NodeEvent::type event)
{
  switch (event) {
    case wire::NodeEvent::JOINED:
      return "node_joined";
    case wire::NodeEvent::DRAINING:
      return "node_draining";
    case wire::NodeEvent::SERVING:
      return "node_serving";
    case wire::NodeEvent::LOST:
      return "node_lost";
  }
  return "node_unknown";
}

} // namespace

wire::CommandReply ControlState::Impl::Apply(const wire::ControlCommand& command, UnixMillis time)
{
  operatorRequests.Expire(time);
  if (command.__isset.putDocument) {
    return ApplyPutDocument(command.putDocument, time);
  }
  if (command.__isset.issueKey) {
    return ApplyIssueKey(command.issueKey, time);
  }
  if (command.__isset.revokeKey) {
    return ApplyRevokeKey(command.revokeKey, time);
  }
  if (command.__isset.replaceReplica) {
    return ApplyReplaceReplica(command.replaceReplica, time);
  }
  if (command.__isset.noteNodes) {
    return ApplyNoteNodes(command.noteNodes, time);
  }
  if (command.__isset.storeRecord) {
    return ApplyStoreRecord(command.storeRecord, time);
  }
  if (command.__isset.beginClaim) {
    return ApplyBeginClaim(command.beginClaim, time);
  }
  if (command.__isset.finishClaim) {
    return ApplyFinishClaim(command.finishClaim, time);
  }
  if (command.__isset.releaseClaim) {
    return ApplyReleaseClaim(command.releaseClaim, time);
  }
  if (command.__isset.putFleet) {
    return ApplyPutFleet(command.putFleet, time);
  }
  if (command.__isset.foundFleet) {
    return ApplyFoundFleet(command.foundFleet);
  }
  if (command.__isset.setEvacuation) {
    return ApplySetEvacuation(command.setEvacuation, time);
  }
  return Refusal(ControlErrorCode::InvalidCommand, "log entry contains no known command");
}

wire::CommandReply ControlState::Impl::ApplyOnce(
  const OperatorChange& change,
  UnixMillis time,
  const std::function<ControlResult<ChangeResult>()>& apply)
{
  const std::string fingerprint = Sha256(change.action + '\n' + change.content);
  const auto earlier = operatorRequests.Find(change.origin, fingerprint);
  if (!earlier) {
    return Refusal(earlier.error());
  }
  wire::CommandReply reply;
  if (earlier.value() != nullptr) {
    (void)detail::DecodeWire(earlier.value()->reply, &reply);
    reply.isResend = true;
    return reply;
  }
  const auto applied = apply();
  if (applied) {
    reply.version = applied.value().toVersion;
    reply.subject = applied.value().subject;
    reply.stateVersion = feed.Version();
    audit.Append({ .time = time,
                   .operatorName = change.origin.operatorName,
                   .action = change.action,
                   .subject = change.subject,
                   .fromVersion = applied.value().fromVersion,
                   .toVersion = applied.value().toVersion,
                   .requestId = change.origin.requestId });
  } else {
    reply = Refusal(applied.error());
  }
  // Refusals are recorded, too: a resend of a refused request must not succeed.
  operatorRequests.Record({ .origin = change.origin,
                            .time = time,
                            .fingerprint = fingerprint,
                            .reply = detail::EncodeWire(reply) });
  return reply;
}

wire::CommandReply ControlState::Impl::ApplyPutDocument(const wire::PutDocumentCommand& command,
                                                        UnixMillis time)
{
  const OperatorChange change{
    .origin = detail::FromWire(command.origin),
    .action = "config_put",
    .subject = command.serviceName,
    .content = fmt::format("{}\n{}\n{}", command.serviceName, command.ifVersion, command.body)
  };
  return ApplyOnce(change, time, [&]() -> ControlResult<ChangeResult> {
    auto stored = documents.Put({ .service = command.serviceName,
                                  .body = command.body,
                                  .changedAt = time,
                                  .operatorName = command.origin.operatorName,
                                  .stateVersion = feed.Version() + 1 },
                                command.ifVersion);
    if (!stored) {
      return boost::outcome_v2::failure(stored.error());
    }
    feed.Append({ .documents = { stored.value() } });
    return ChangeResult{ .fromVersion = command.ifVersion,
                         .toVersion = stored.value().version,
                         .subject = command.serviceName };
  });
}

wire::CommandReply ControlState::Impl::ApplyIssueKey(const wire::IssueKeyCommand& command,
                                                     UnixMillis time)
{
  const KeyRecord key = detail::FromWire(command.record);
  // The key itself is not part of the content, because a resend carries a different random key.
  const OperatorChange change{ .origin = detail::FromWire(command.origin),
                               .action = "key_give",
                               .subject = key.account + "/" + key.id,
                               .content = key.account };
  return ApplyOnce(change, time, [&]() -> ControlResult<ChangeResult> {
    const auto issued = keys.Issue(key);
    if (!issued) {
      return boost::outcome_v2::failure(issued.error());
    }
    feed.Append({ .issuedKeys = { key } });
    return ChangeResult{ .toVersion = feed.Version(), .subject = key.id };
  });
}

wire::CommandReply ControlState::Impl::ApplyRevokeKey(const wire::RevokeKeyCommand& command,
                                                      UnixMillis time)
{
  const OperatorChange change{ .origin = detail::FromWire(command.origin),
                               .action = "key_withdraw",
                               .subject = command.account + "/" + command.keyId,
                               .content = command.account + "/" + command.keyId };
  return ApplyOnce(change, time, [&]() -> ControlResult<ChangeResult> {
    const auto revoked = keys.Revoke(command.account, command.keyId);
    if (!revoked) {
      return boost::outcome_v2::failure(revoked.error());
    }
    feed.Append({ .revokedKeyIds = { command.keyId } });
    return ChangeResult{ .toVersion = feed.Version(), .subject = command.keyId };
  });
}

wire::CommandReply ControlState::Impl::ApplyReplaceReplica(
  const wire::ReplaceReplicaCommand& command,
  UnixMillis time)
{
  const OperatorChange change{ .origin = detail::FromWire(command.origin),
                               .action = "control_replace",
                               .subject = command.lostId + " by " + command.newId,
                               .content = command.lostId + "/" + command.newId };
  return ApplyOnce(change, time, [&]() -> ControlResult<ChangeResult> {
    retiredReplicas.insert(command.lostId);
    return ChangeResult{ .subject = command.newId };
  });
}

bool ControlState::Impl::ApplyNodeNote(const wire::NodeNote& note)
{
  const auto known = joinedNodes.find(note.nodeId);
  const bool isKnown = known != joinedNodes.end();
  const bool isDraining = note.event == wire::NodeEvent::DRAINING;
  switch (note.event) {
    case wire::NodeEvent::JOINED:
      return joinedNodes.emplace(note.nodeId, JoinedNode{ note.nodeId, note.serviceName }).second;
    case wire::NodeEvent::DRAINING:
    case wire::NodeEvent::SERVING:
      if (!isKnown || known->second.isDraining == isDraining) {
        return false;
      }
      known->second.isDraining = isDraining;
      return true;
    case wire::NodeEvent::LOST:
      return joinedNodes.erase(note.nodeId) > 0;
  }
  return false;
}

wire::CommandReply ControlState::Impl::ApplyNoteNodes(const wire::NoteNodesCommand& command,
                                                      UnixMillis time)
{
  for (const auto& note : command.notes) {
    if (ApplyNodeNote(note)) {
      audit.Append({ .time = time,
                     .operatorName = kControlOperatorName,
                     .action = ActionOf(note.event),
                     .subject = note.serviceName + "/" + note.nodeId });
    }
  }
  return {};
}

wire::CommandReply ControlState::Impl::ApplyStoreRecord(const wire::StoreRecordCommand& command,
                                                        UnixMillis time)
{
  if (command.rows.size() > kMaxRecordRows) {
    return Refusal(ControlErrorCode::InvalidRequest,
                   fmt::format("record rows of one hour exceed {} bytes", kMaxRecordRows));
  }
  record[{ command.hourMs, command.source }] = command.rows;
  const std::int64_t oldest = CountMillis(time) - kRecordRetention.count();
  record.erase(record.begin(), record.lower_bound({ oldest, "" }));
  return {};
}

wire::CommandReply ControlState::Impl::ApplyPutFleet(const wire::PutFleetCommand& command,
                                                     UnixMillis time)
{
  const auto put = fleet.Put({ .version = command.version,
                               .baseVersion = command.baseVersion,
                               .document = command.document,
                               .source = command.source });
  if (!put) {
    return Refusal(put.error());
  }
  if (!put.value().isResend) {
    feed.Append({});
    audit.Append({ .time = time,
                   .operatorName = command.operatorName,
                   .action = "fleet_put",
                   .subject = "fleet",
                   .fromVersion = command.baseVersion,
                   .toVersion = command.version });
  }
  wire::CommandReply reply;
  reply.version = put.value().version;
  reply.isResend = put.value().isResend;
  reply.stateVersion = feed.Version();
  return reply;
}

wire::CommandReply ControlState::Impl::ApplyFoundFleet(const wire::FoundFleetCommand& command)
{
  fleet.InitSecret(command.secret);
  feed.Append({});
  return {};
}

wire::CommandReply ControlState::Impl::ApplySetEvacuation(const wire::SetEvacuationCommand& command,
                                                          UnixMillis time)
{
  const auto changed = evacuations.Set(command.dataCentre, command.evacuated);
  if (!changed) {
    return Refusal(changed.error());
  }
  if (changed.value()) {
    feed.Append({});
    audit.Append({ .time = time,
                   .operatorName = command.operatorName,
                   .action = command.evacuated ? "evacuation_started" : "evacuation_finished",
                   .subject = command.dataCentre });
  }
  wire::CommandReply reply;
  reply.isResend = !changed.value();
  reply.subject = command.dataCentre;
  reply.stateVersion = feed.Version();
  return reply;
}

wire::CommandReply ControlState::Impl::ApplyBeginClaim(const wire::BeginClaimRequest& request,
                                                       UnixMillis time)
{
  const auto decision = claims.Begin(detail::FromWire(request), time);
  if (!decision) {
    return Refusal(decision.error());
  }
  wire::CommandReply reply;
  reply.__set_claim(detail::ToWire(decision.value()));
  return reply;
}

wire::CommandReply ControlState::Impl::ApplyFinishClaim(const wire::FinishClaimRequest& request,
                                                        UnixMillis time)
{
  const ClaimKey key = detail::FromWire(request.key);
  const bool isUnknown = request.__isset.outcomeUnknown && request.outcomeUnknown;
  const auto done =
    isUnknown ? claims.MarkUnknown(key, request.attemptId, time)
              : claims.Finish(key, request.attemptId, detail::FromWire(request.outcome), time);
  return done ? wire::CommandReply{} : Refusal(done.error());
}

wire::CommandReply ControlState::Impl::ApplyReleaseClaim(const wire::ReleaseClaimRequest& request,
                                                         UnixMillis time)
{
  const auto done = claims.Release(detail::FromWire(request.key), request.attemptId, time);
  return done ? wire::CommandReply{} : Refusal(done.error());
}

} // namespace acp
