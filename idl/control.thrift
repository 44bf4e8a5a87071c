// Messages from nodes to control. Times are milliseconds; rates are per second.
namespace cpp acp.wire

/// Upstream as reported by its node. Addresses are `ip:port`.
struct Member {
  1: string nodeId
  2: i64 epoch
  3: string serviceName
  4: string dataCentre
  5: string peerAddress
  6: i32 slots
  7: i32 maxConnections
  8: i64 coldStartMs
  9: bool draining
}

struct DocumentRecord {
  1: string serviceName
  2: i64 version
  3: string body
}

struct IssuedKey {
  1: string id
  2: binary hash
  3: string account
  4: i64 issuedAtMs
}

/// Changes of configuration and keys between two state versions. A snapshot replaces all earlier
/// state.
struct StateDelta {
  1: bool snapshot
  2: i64 fromVersion
  3: i64 toVersion
  4: list<DocumentRecord> documents
  5: list<IssuedKey> issuedKeys
  6: list<string> revokedKeyIds
}

/// Fleet document in force, in the project's own format.
struct FleetRecord {
  1: i64 version
  2: string document
}

struct SyncRequest {
  1: string nodeId
  2: i64 epoch
  3: i64 stateVersion
  4: i64 membersVersion
  5: optional Member member
  6: i64 reportNumber
  /// Rows written by SerialiseRow: counters since the node's last accepted report.
  7: list<string> report
  /// Version of the fleet document that the node applies; 0: none.
  8: i64 fleetVersion
  /// Maximum time for which control may delay the answer while nothing changes (long poll).
  9: i32 holdMs
}

struct SyncReply {
  1: i64 ageMs
  2: StateDelta delta
  3: bool membersIncluded
  4: i64 membersVersion
  5: list<Member> members
  6: i64 acceptedReportNumber
  /// Set if the node does not have the current fleet document.
  7: optional FleetRecord fleet
  /// Signs request contexts; empty until the first FoundFleetCommand.
  8: binary fleetSecret
  /// Addresses at which the control replicas listen for nodes.
  9: list<string> controlAddresses
  /// Time for which the answer was delayed; the state was confirmed after that.
  10: i64 heldMs
  /// Address at which the leader listens for nodes.
  11: string leaderRpcAddress
  /// Whether nodes should poll replicas that are not the leader.
  12: bool relaysPolls
  /// Data centres whose upstreams must get no requests, complete in each reply.
  13: list<string> evacuatedDataCentres
}

/// The newest poll of a node at a replica that is not the leader.
struct RelayedPoll {
  1: string nodeId
  2: i64 epoch
  3: i64 stateVersion
  /// Time since the poll arrived at the replica.
  4: i64 ageMs
  5: optional Member member
}

struct PollRelayRequest {
  1: list<RelayedPoll> polls
  /// Version of the member list that the replica has; 0: none.
  2: i64 membersVersion
  /// Address at which the replica listens for nodes; empty from replicas of earlier versions.
  3: string relayRpcAddress
}

struct PollRelayReply {
  /// Age of the confirmation; it covers all entries of the log up to `appliedIndex`.
  1: i64 ageMs
  2: i64 appliedIndex
  3: i64 term
  4: bool membersIncluded
  5: i64 membersVersion
  6: list<Member> members
  /// The leader may not have heard all nodes yet: nodes keep the list of an earlier leader.
  7: bool membersIncomplete
  /// Whether nodes should poll replicas that are not the leader.
  8: bool relaysPolls
}

/// A node's report on the tokens of one service and account, and its request for more. The totals
/// count from the first grant of the term to this epoch of the node.
struct TokenAsk {
  1: string serviceName
  2: string account
  3: i64 number
  4: i64 term
  5: double received
  6: double spent
  7: double returned
  8: i64 spentAgeMicros
  9: double needed
  10: double wanted
}

struct TokenRequest {
  1: string nodeId
  2: i64 epoch
  3: list<TokenAsk> asks
}

/// `errorCode` is 0, or the stable number of the error that prevented an answer.
struct TokenAnswer {
  1: i64 term
  2: i64 number
  3: double granted
  4: i64 leaseMicros
  5: i64 retryAfterMicros
  6: i64 settleWithinMicros
  7: i32 errorCode
  8: bool mayBeWithinRate
}

/// One answer for each ask, in the same order.
struct TokenReply {
  1: list<TokenAnswer> answers
}

/// Requests of several nodes, relayed by a replica that is not the leader.
struct RelayedTokenRequest {
  1: list<TokenRequest> requests
}

/// One reply for each request, in the same order.
struct RelayedTokenReply {
  1: list<TokenReply> replies
}

struct ClaimKey {
  1: string account
  2: string serviceName
  3: string idempotencyKey
}

/// `attemptId` is new for each attempt, and the same if a call is repeated after a lost reply.
/// `deadlineMs` is the attempt's absolute deadline in Unix milliseconds; after it the node does not
/// dispatch the request.
struct BeginClaimRequest {
  1: ClaimKey key
  2: string attemptId
  3: string nodeId
  4: binary fingerprint
  5: i64 deadlineMs
}

enum ClaimState {
  GRANTED = 1
  IN_PROGRESS = 2
  FINISHED = 3
  UNKNOWN = 4
  EXPIRED = 5
  MISMATCH = 6
}

/// `body` is empty unless `bodyKept`; of bodies above 16 KiB only the SHA-256 digest is stored.
struct ClaimOutcome {
  1: i32 status
  2: string contentType
  3: binary body
  4: bool bodyKept
  5: binary bodyDigest
}

struct BeginClaimReply {
  1: ClaimState state
  2: optional ClaimOutcome outcome
}

struct FinishClaimRequest {
  1: ClaimKey key
  2: string attemptId
  3: ClaimOutcome outcome
  /// True: the request may have run, but its outcome is unknown; `outcome` is ignored.
  4: optional bool outcomeUnknown
}

struct ReleaseClaimRequest {
  1: ClaimKey key
  2: string attemptId
}

/// The replica is not the leader, or cannot confirm that it is.
exception NotLeader {
  1: string leaderRpcAddress
}

/// The request was refused; `code` is the stable error number.
exception ControlFailure {
  1: i32 code
  2: string message
}

service ControlService {
  SyncReply Sync(1: SyncRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  TokenReply AcquireTokens(1: TokenRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  RelayedTokenReply RelayTokens(1: RelayedTokenRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  PollRelayReply RelayPolls(1: PollRelayRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  BeginClaimReply BeginClaim(1: BeginClaimRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  void FinishClaim(1: FinishClaimRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
  void ReleaseClaim(1: ReleaseClaimRequest request) throws (1: NotLeader notLeader, 2: ControlFailure failure)
}
