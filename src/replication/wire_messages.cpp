#include "acaciapulley/replication/detail/wire_messages.hpp"

namespace acp::detail {

namespace {

// Thrift has no unsigned integers; terms and indexes never reach the sign bit.
std::int64_t Signed(std::uint64_t value)
{
  return static_cast<std::int64_t>(value);
}

std::uint64_t Unsigned(std::int64_t value)
{
  return static_cast<std::uint64_t>(value);
}

} // namespace

wire::ReplicaEntry ToWire(const LogEntry& entry)
{
  wire::ReplicaEntry out;
  out.term = Signed(entry.position.term);
  out.index = Signed(entry.position.index);
  out.timeMs = CountMillis(entry.time);
  out.kind = static_cast<std::int8_t>(entry.kind);
  out.data = entry.data;
  return out;
}

LogEntry FromWire(const wire::ReplicaEntry& entry)
{
  LogEntry out;
  out.position = { .term = Unsigned(entry.term), .index = Unsigned(entry.index) };
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
  out.term = Signed(message.term);
  out.accepted = message.accepted;
  out.positionTerm = Signed(message.position.term);
  out.positionIndex = Signed(message.position.index);
  out.commitIndex = Signed(message.commitIndex);
  out.matchIndex = Signed(message.matchIndex);
  out.round = Signed(message.round);
  out.entries.reserve(message.entries.size());
  for (const auto& entry : message.entries) {
    out.entries.push_back(ToWire(entry));
  }
  out.offset = Signed(message.offset);
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
  out.term = Unsigned(message.term);
  out.accepted = message.accepted;
  out.position = { .term = Unsigned(message.positionTerm),
                   .index = Unsigned(message.positionIndex) };
  out.commitIndex = Unsigned(message.commitIndex);
  out.matchIndex = Unsigned(message.matchIndex);
  out.round = Unsigned(message.round);
  out.entries.reserve(message.entries.size());
  for (const auto& entry : message.entries) {
    out.entries.push_back(FromWire(entry));
  }
  out.offset = Unsigned(message.offset);
  out.isLast = message.isLast;
  out.data = message.data;
  out.sender = { message.fromId, message.senderRpcAddress, message.senderOperatorAddress };
  return out;
}

} // namespace acp::detail
