// Entries of the replicated log and the snapshot of the control state. Replicas of different
// versions read each other's entries: fields are only added, never renumbered or given a new type.
include "control.thrift"

namespace cpp acp.wire

/// Who asked for a change. A request id is used for one change only.
struct OperatorRequest {
  1: string operatorName
  2: string requestId
}

/// The body was checked before it was proposed; replicas do not check it again, since the checks of
/// two versions of the program may differ.
struct PutDocumentCommand {
  1: OperatorRequest origin
  2: string serviceName
  3: string body
  4: i64 ifVersion
}

struct IssueKeyCommand {
  1: OperatorRequest origin
  2: control.IssuedKey record
}

struct RevokeKeyCommand {
  1: OperatorRequest origin
  2: string account
  3: string keyId
}

/// The replica set was changed.
struct ReplaceReplicaCommand {
  1: OperatorRequest origin
  2: string lostId
  3: string newId
}

enum NodeEvent {
  JOINED = 1
  DRAINING = 2
  SERVING = 3
  LOST = 4
}

struct NodeNote {
  1: string nodeId
  2: NodeEvent event
  3: string serviceName
}

/// Changes of membership that the leader saw.
struct NoteNodesCommand {
  1: list<NodeNote> notes
}

/// Rows of the monthly record of one hour, encoded by the module record. The last rows that a
/// source stores for an hour replace its earlier ones.
struct StoreRecordCommand {
  1: i64 hourMs
  2: string source
  3: binary rows
}

/// Replaces the fleet document. `source` is what the operator sent, and is read back unchanged.
struct PutFleetCommand {
  1: string operatorName
  2: i64 version
  3: i64 baseVersion
  4: string document
  5: binary source
}

/// Sets the secret that signs request contexts. Only the first one counts.
struct FoundFleetCommand {
  1: binary secret
}

/// One entry of the log. Exactly one of the optional fields is set.
struct ControlCommand {
  1: i32 formatVersion
  2: optional PutDocumentCommand putDocument
  3: optional IssueKeyCommand issueKey
  4: optional RevokeKeyCommand revokeKey
  5: optional ReplaceReplicaCommand replaceReplica
  6: optional NoteNodesCommand noteNodes
  7: optional StoreRecordCommand storeRecord
  8: optional control.BeginClaimRequest beginClaim
  9: optional control.FinishClaimRequest finishClaim
  10: optional control.ReleaseClaimRequest releaseClaim
  11: optional PutFleetCommand putFleet
  12: optional FoundFleetCommand foundFleet
}

/// Result of an entry, for its proposer and for operators who resend.
struct CommandReply {
  1: i32 errorCode
  2: string errorName
  3: string message
  4: i64 version
  5: i64 stateVersion
  6: string subject
  7: bool isResend
  8: optional control.BeginClaimReply claim
}

struct DocumentVersion {
  1: i64 version
  2: i64 timeMs
  3: string operatorName
  4: string body
  5: i64 stateVersion
}

struct DocumentHistory {
  1: string serviceName
  2: list<DocumentVersion> versions
}

struct LedgerRow {
  1: OperatorRequest origin
  2: i64 timeMs
  3: binary fingerprint
  4: CommandReply reply
}

struct AuditRow {
  1: i64 number
  2: i64 timeMs
  3: string operatorName
  4: string action
  5: string subject
  6: i64 fromVersion
  7: i64 toVersion
  8: string requestId
}

struct ClaimRow {
  1: control.BeginClaimRequest holder
  2: bool markedUnknown
  3: optional control.ClaimOutcome outcome
}

/// An attempt that gave its claim up; a Begin that arrives later is refused until then.
struct ReleasedAttemptRow {
  1: string attemptId
  2: i64 untilMs
}

/// `acceptedDigests` holds the SHA-256 of every change that was ever accepted.
struct FleetSnapshot {
  1: i64 version
  2: string document
  3: binary source
  4: list<binary> acceptedDigests
  5: binary secret
}

struct ControlSnapshot {
  1: i32 formatVersion
  2: i64 stateVersion
  3: list<DocumentHistory> documents
  4: list<control.IssuedKey> keys
  5: list<string> revokedKeyIds
  6: list<LedgerRow> ledger
  7: i64 nextAuditNumber
  8: list<AuditRow> audit
  9: i64 claimsTimeMs
  10: list<ClaimRow> claims
  11: list<NodeNote> roster
  12: list<string> retiredReplicas
  13: list<StoreRecordCommand> record
  14: list<ReleasedAttemptRow> releasedAttempts
  15: optional FleetSnapshot fleet
}
