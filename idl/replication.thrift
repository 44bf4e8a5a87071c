// Messages between the control replicas. Deliver carries all kinds of protocol messages (pre-vote,
// vote, append, snapshot, heartbeat rounds and their replies) in one direction; a reply is a
// separate message on a connection of the replying replica. Replies are never matched to calls, so
// a connection that timed out can be closed without leaving a call in an unknown state.
namespace cpp acp.wire

struct ReplicaEntry {
  1: i64 term
  2: i64 index
  3: i64 timeMs
  4: i8 kind
  5: binary data
}

// Kinds and fields have the meaning of RaftMessage in replication/raft_types.hpp.
struct ReplicaMessage {
  1: i8 kind
  2: string clusterId
  3: string fromId
  4: string toId
  5: i64 term
  6: bool accepted
  7: i64 positionTerm
  8: i64 positionIndex
  9: i64 commitIndex
  10: i64 matchIndex
  11: i64 round
  12: list<ReplicaEntry> entries
  13: i64 offset
  14: bool isLast
  15: binary data
  16: string senderRpcAddress
  17: string senderOperatorAddress
}

// Reply to Hello. `initialEntry` is the bootstrap entry, from which a replica can start if its
// identity is in the initial voter set.
struct ReplicaHello {
  1: string id
  2: string clusterId
  3: string operatorAddress
  4: optional ReplicaEntry initialEntry
}

service ReplicationService {
  ReplicaHello Hello()
  void Deliver(1: list<ReplicaMessage> messages)
}
