// Entries of the replicated log and the snapshot of the control state. Replicas of different
// versions read each other's entries: fields may be added, but never renumbered or given another
// type.
include "control.thrift"

namespace cpp acp.wire

/// Origin of a change. Each request id identifies one change.
struct OperatorRequest {
  1: string operatorName
  2: string requestId
}

/// The body is validated before the command is proposed. Replicas do not validate it again, since
/// the rules may differ between versions of the program.
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

/// Records a completed replacement of a replica.
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

/// Node events that the leader observed.
struct NoteNodesCommand {
  1: list<NodeNote> notes
}

/// Rows of the monthly record for one hour, encoded by the module record. Rows that a source stores
/// for an hour replace its earlier rows for that hour.
struct StoreRecordCommand {
  1: i64 hourMs
  2: string source
  3: binary rows
}

/// Replaces the fleet document. `source` is the text that the operator sent; reads return it
/// unchanged.
struct PutFleetCommand {
  1: string operatorName
  2: i64 version
  3: i64 baseVersion
  4: string document
  5: binary source
}

/// Sets the secret that signs request contexts. Only the first command of this type takes effect.
struct FoundFleetCommand {
  1: binary secret
}

/// Starts or finishes the evacuation of a data centre. Replicas that do not know this command would
/// diverge by skipping it, so it is written with format version 2.
struct SetEvacuationCommand {
  1: string operatorName
  2: string dataCentre
  3: bool evacuated
}

/// Entry of the log. Exactly one of the optional fields is set.
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
  13: optional SetEvacuationCommand setEvacuation
}

/// Result of an entry, for its proposer and for operators who resend their request.
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

/// An attempt that released its claim; until `untilMs` a later BeginClaim of it is refused.
struct ReleasedAttemptRow {
  1: string attemptId
  2: i64 untilMs
}

/// `acceptedDigests` are the SHA-256 digests of all changes that were ever accepted.
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
  /// Set only while a data centre is evacuated; such a snapshot has format version 2.
  16: optional list<string> evacuatedDataCentres
}
