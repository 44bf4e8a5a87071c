#include "acaciapulley/replication/detail/wire_messages.hpp"

namespace acp::detail {

namespace {

// Thrift has no unsigned integers; terms and indexes never reach the sign bit.
std::int64_t ToSigned(std::uint64_t value)
{
  return static_cast<std::int64_t>(value);
}

std::uint64_t ToUnsigned(std::int64_t value)
{
  return static_cast<std::uint64_t>(value);
}

} // namespace

wire::ReplicaEntry ToWire(const LogEntry& entry)
{
  wire::ReplicaEntry out;
  out.term = ToSigned(entry.position.term);
  out.index = ToSigned(entry.position.index);
  out.timeMs = CountMillis(entry.time);
  out.kind = static_cast<std::int8_t>(entry.kind);
  out.data = entry.data;
  return out;
}

LogEntry FromWire(const wire::ReplicaEntry& entry)
{
  LogEntry out;
  out.position = { .term = ToUnsigned(entry.term), .index = ToUnsigned(entry.index) };
  out.time = ToUnixMillis(entry.timeMs);
  out.kind = static_cast<EntryKind>(entry.kind);
  out.data = entry.data;
  return out;
}

wire::ReplicaMessage ToWire(const RaftMessage& message)
{
  wire::ReplicaMessage out;
  out.kind = static_cast<std::int8_t>(message.kind);
  out.clusterId = message.clusterId;
  out.fromId = message.from;
  out.toId = message.to;
  out.term = ToSigned(message.term);
  out.accepted = message.accepted;
  out.positionTerm = ToSigned(message.position.term);
  out.positionIndex = ToSigned(message.position.index);
  out.commitIndex = ToSigned(message.commitIndex);
  out.matchIndex = ToSigned(message.matchIndex);
  out.round = ToSigned(message.round);
  out.entries.reserve(message.entries.size());
  for (const auto& entry : message.entries) {
    out.entries.push_back(ToWire(entry));
  }
  out.offset = ToSigned(message.offset);
  out.isLast = message.isLast;
  out.data = message.data;
  out.senderRpcAddress = message.sender.rpcAddress;
  out.senderOperatorAddress = message.sender.operatorAddress;
  return out;
}

RaftMessage FromWire(const wire::ReplicaMessage& message)
{
  RaftMessage out;
  out.kind = static_cast<MessageKind>(message.kind);
  out.clusterId = message.clusterId;
  out.from = message.fromId;
  out.to = message.toId;
  out.term = ToUnsigned(message.term);
  out.accepted = message.accepted;
  out.position = { .term = ToUnsigned(message.positionTerm),
                   .index = ToUnsigned(message.positionIndex) };
  out.commitIndex = ToUnsigned(message.commitIndex);
  out.matchIndex = ToUnsigned(message.matchIndex);
  out.round = ToUnsigned(message.round);
  out.entries.reserve(message.entries.size());
  for (const auto& entry : message.entries) {
    out.entries.push_back(FromWire(entry));
  }
  out.offset = ToUnsigned(message.offset);
  out.isLast = message.isLast;
  out.data = message.data;
  out.sender = { message.fromId, message.senderRpcAddress, message.senderOperatorAddress };
  return out;
}

} // namespace acp::detail
