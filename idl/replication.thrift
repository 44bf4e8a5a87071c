// Messages between the control replicas. Deliver carries all kinds of protocol messages (pre-vote,
// vote, append, snapshot, confirmation rounds and their replies) in one direction; a reply is a
// message of its own that travels on a connection of the replier. So no answer is ever matched to a
// call, and a connection that timed out can be closed without a doubt left.
namespace cpp acp.wire

struct ReplicaEntry {
  1: i64 term
  2: i64 index
  3: i64 timeMs
  4: i8 kind
  5: binary data
}

// The kinds and the use of the fields are those of RaftMessage in replication/raft_types.hpp.
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

// Answer to Hello. The initial entry is that of the bootstrap, from which a replica whose identity
// is in the initial set can start.
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
