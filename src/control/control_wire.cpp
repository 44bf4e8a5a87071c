#include "acaciapulley/control/detail/control_wire.hpp"

namespace acp::detail {

ClaimKey FromWire(const wire::ClaimKey& key)
{
  return { .account = key.account,
           .service = key.serviceName,
           .idempotencyKey = key.idempotencyKey };
}

ClaimAttempt FromWire(const wire::BeginClaimRequest& request)
{
  return { .key = FromWire(request.key),
           .attemptId = request.attemptId,
           .fingerprint = request.fingerprint,
           .deadline = ToUnixMillis(request.deadlineMs) };
}

ClaimOutcome FromWire(const wire::ClaimOutcome& outcome)
{
  return { .status = outcome.status,
           .contentType = outcome.contentType,
           .body = outcome.body,
           .bodyKept = outcome.bodyKept,
           .bodyDigest = outcome.bodyDigest };
}

ClaimRecord FromWire(const wire::ClaimRow& row)
{
  ClaimRecord record{ .holder = FromWire(row.holder), .isMarkedUnknown = row.markedUnknown };
  if (row.__isset.outcome) {
    record.outcome = FromWire(row.outcome);
  }
  return record;
}

KeyRecord FromWire(const wire::IssuedKey& key)
{
  return {
    .id = key.id, .hash = key.hash, .account = key.account, .issuedAt = ToUnixMillis(key.issuedAtMs)
  };
}

MemberInfo FromWire(const wire::Member& member)
{
  return { .nodeId = member.nodeId,
           .epoch = member.epoch,
           .service = member.serviceName,
           .dataCentre = member.dataCentre,
           .peerAddress = member.peerAddress,
           .slots = member.slots,
           .maxConnections = member.maxConnections,
           .coldStartMs = member.coldStartMs,
           .draining = member.draining };
}

RequestOrigin FromWire(const wire::OperatorRequest& origin)
{
  return { .operatorName = origin.operatorName, .requestId = origin.requestId };
}

AuditEntry FromWire(const wire::AuditRow& row)
{
  return { .number = row.number,
           .time = ToUnixMillis(row.timeMs),
           .operatorName = row.operatorName,
           .action = row.action,
           .subject = row.subject,
           .fromVersion = row.fromVersion,
           .toVersion = row.toVersion,
           .requestId = row.requestId };
}

wire::ClaimOutcome ToWire(const ClaimOutcome& outcome)
{
  wire::ClaimOutcome message;
  message.status = outcome.status;
  message.contentType = outcome.contentType;
  message.body = outcome.body;
  message.bodyKept = outcome.bodyKept;
  message.bodyDigest = outcome.bodyDigest;
  return message;
}

wire::BeginClaimReply ToWire(const ClaimDecision& decision)
{
  wire::BeginClaimReply reply;
  reply.state = static_cast<wire::ClaimState::type>(decision.state);
  if (decision.outcome) {
    reply.__set_outcome(ToWire(*decision.outcome));
  }
  return reply;
}

wire::ClaimRow ToWire(const ClaimRecord& record)
{
  wire::ClaimRow row;
  row.holder.key.account = record.holder.key.account;
  row.holder.key.serviceName = record.holder.key.service;
  row.holder.key.idempotencyKey = record.holder.key.idempotencyKey;
  row.holder.attemptId = record.holder.attemptId;
  row.holder.fingerprint = record.holder.fingerprint;
  row.holder.deadlineMs = CountMillis(record.holder.deadline);
  row.markedUnknown = record.isMarkedUnknown;
  if (record.outcome) {
    row.__set_outcome(ToWire(*record.outcome));
  }
  return row;
}

wire::IssuedKey ToWire(const KeyRecord& key)
{
  wire::IssuedKey message;
  message.id = key.id;
  message.hash = key.hash;
  message.account = key.account;
  message.issuedAtMs = CountMillis(key.issuedAt);
  return message;
}

wire::Member ToWire(const MemberInfo& info)
{
  wire::Member member;
  member.nodeId = info.nodeId;
  member.epoch = info.epoch;
  member.serviceName = info.service;
  member.dataCentre = info.dataCentre;
  member.peerAddress = info.peerAddress;
  member.slots = info.slots;
  member.maxConnections = info.maxConnections;
  member.coldStartMs = info.coldStartMs;
  member.draining = info.draining;
  return member;
}

wire::OperatorRequest ToWire(const RequestOrigin& origin)
{
  wire::OperatorRequest message;
  message.operatorName = origin.operatorName;
  message.requestId = origin.requestId;
  return message;
}

wire::AuditRow ToWire(const AuditEntry& entry)
{
  wire::AuditRow row;
  row.number = entry.number;
  row.timeMs = CountMillis(entry.time);
  row.operatorName = entry.operatorName;
  row.action = entry.action;
  row.subject = entry.subject;
  row.fromVersion = entry.fromVersion;
  row.toVersion = entry.toVersion;
  row.requestId = entry.requestId;
  return row;
}

wire::StateDelta ToWire(const StateChanges& changes)
{
  wire::StateDelta delta;
  delta.snapshot = changes.isSnapshot;
  delta.fromVersion = changes.fromVersion;
  delta.toVersion = changes.toVersion;
  for (const auto& document : changes.documents) {
    wire::DocumentRecord record;
    record.serviceName = document.service;
    record.version = document.version;
    record.body = document.body;
    delta.documents.push_back(record);
  }
  for (const auto& key : changes.issuedKeys) {
    delta.issuedKeys.push_back(ToWire(key));
  }
  delta.revokedKeyIds = changes.revokedKeyIds;
  return delta;
}

} // namespace acp::detail
