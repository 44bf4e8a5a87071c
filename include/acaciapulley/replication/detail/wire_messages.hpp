#pragma once

/// @file
/// Conversion between the messages of RaftCore and those of idl/replication.thrift.

#include "acaciapulley/replication/raft_types.hpp" // LogEntry, RaftMessage
#include "gen/replication_types.h"                 // ReplicaEntry, ReplicaMessage

namespace acp::detail {

wire::ReplicaEntry ToWire(const LogEntry& entry);
LogEntry FromWire(const wire::ReplicaEntry& entry);
wire::ReplicaMessage ToWire(const RaftMessage& message);
RaftMessage FromWire(const wire::ReplicaMessage& message);

} // namespace acp::detail
