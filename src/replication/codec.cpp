#include "acaciapulley/replication/detail/codec.hpp"

#include <utility> // exchange

#include <boost/crc.hpp> // crc_optimal

namespace acp::detail {

namespace {

constexpr unsigned kBitsPerByte = 8;
// CRC-32C (Castagnoli): better error detection than CRC-32 for records of a few kilobytes.
constexpr std::uint32_t kCrcPolynomial = 0x1EDC6F41;
constexpr std::uint32_t kCrcInitial = 0xFFFFFFFF;

template<typename Integer>
void PutInteger(std::string& bytes, Integer value)
{
  for (std::size_t i = 0; i < sizeof(value); ++i) {
    bytes += static_cast<char>((value >> (kBitsPerByte * i)) & 0xFFU);
  }
}

void PutPosition(ByteWriter& out, const LogPosition& position)
{
  out.Put64(position.term);
  out.Put64(position.index);
}

LogPosition GetPosition(ByteReader& in)
{
  LogPosition position;
  position.term = in.Get64();
  position.index = in.Get64();
  return position;
}

void PutReplicas(ByteWriter& out, const std::vector<ReplicaRecord>& replicas)
{
  out.Put32(static_cast<std::uint32_t>(replicas.size()));
  for (const auto& replica : replicas) {
    out.PutString(replica.id);
    out.PutString(replica.rpcAddress);
    out.PutString(replica.operatorAddress);
  }
}

std::vector<ReplicaRecord> GetReplicas(ByteReader& in)
{
  std::vector<ReplicaRecord> replicas;
  const std::uint32_t count = in.Get32();
  for (std::uint32_t i = 0; i < count && in.Ok(); ++i) {
    ReplicaRecord& replica = replicas.emplace_back();
    replica.id = in.GetString();
    replica.rpcAddress = in.GetString();
    replica.operatorAddress = in.GetString();
  }
  return replicas;
}

void PutIds(ByteWriter& out, const std::vector<std::string>& ids)
{
  out.Put32(static_cast<std::uint32_t>(ids.size()));
  for (const auto& id : ids) {
    out.PutString(id);
  }
}

std::vector<std::string> GetIds(ByteReader& in)
{
  std::vector<std::string> ids;
  const std::uint32_t count = in.Get32();
  for (std::uint32_t i = 0; i < count && in.Ok(); ++i) {
    ids.push_back(in.GetString());
  }
  return ids;
}

} // namespace

void ByteWriter::Put8(std::uint8_t value)
{
  bytes_ += static_cast<char>(value);
}

void ByteWriter::Put32(std::uint32_t value)
{
  PutInteger(bytes_, value);
}

void ByteWriter::Put64(std::uint64_t value)
{
  PutInteger(bytes_, value);
}

void ByteWriter::PutString(std::string_view value)
{
  Put32(static_cast<std::uint32_t>(value.size()));
  bytes_ += value;
}

std::string ByteWriter::Take()
{
  return std::exchange(bytes_, {});
}

ByteReader::ByteReader(std::string_view bytes)
  : bytes_(bytes)
{
}

std::uint64_t ByteReader::GetInteger(std::size_t width)
{
  if (!ok_ || bytes_.size() < width) {
    ok_ = false;
    return 0;
  }
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < width; ++i) {
    value |= std::uint64_t{ static_cast<unsigned char>(bytes_[i]) } << (kBitsPerByte * i);
  }
  bytes_.remove_prefix(width);
  return value;
}

std::uint8_t ByteReader::Get8()
{
  return static_cast<std::uint8_t>(GetInteger(sizeof(std::uint8_t)));
}

std::uint32_t ByteReader::Get32()
{
  return static_cast<std::uint32_t>(GetInteger(sizeof(std::uint32_t)));
}

std::uint64_t ByteReader::Get64()
{
  return GetInteger(sizeof(std::uint64_t));
}

std::string ByteReader::GetString()
{
  const std::uint32_t size = Get32();
  if (!ok_ || bytes_.size() < size) {
    ok_ = false;
    return {};
  }
  std::string value(bytes_.substr(0, size));
  bytes_.remove_prefix(size);
  return value;
}

void PutEntry(ByteWriter& out, const LogEntry& entry)
{
  PutPosition(out, entry.position);
  out.Put64(static_cast<std::uint64_t>(CountMillis(entry.time)));
  out.Put8(static_cast<std::uint8_t>(entry.kind));
  out.PutString(entry.data);
}

LogEntry GetEntry(ByteReader& in)
{
  LogEntry entry;
  entry.position = GetPosition(in);
  entry.time = ToUnixMillis(static_cast<std::int64_t>(in.Get64()));
  entry.kind = static_cast<EntryKind>(in.Get8());
  entry.data = in.GetString();
  return entry;
}

std::string EncodeMembership(const Membership& membership)
{
  ByteWriter out;
  out.PutString(membership.clusterId);
  PutReplicas(out, membership.voters);
  PutReplicas(out, membership.oldVoters);
  PutIds(out, membership.retiredIds);
  // Omitted if empty, as in entries written by earlier versions.
  if (!membership.demotedIds.empty()) {
    PutIds(out, membership.demotedIds);
  }
  return out.Take();
}

ReplicationResult<Membership> DecodeMembership(std::string_view bytes)
{
  ByteReader in(bytes);
  Membership membership;
  membership.clusterId = in.GetString();
  membership.voters = GetReplicas(in);
  membership.oldVoters = GetReplicas(in);
  membership.retiredIds = GetIds(in);
  if (!in.Finished()) {
    membership.demotedIds = GetIds(in);
  }
  if (!in.Finished()) {
    return Fail(ReplicationErrorCode::InvalidMessage, "membership cannot be read");
  }
  return membership;
}

std::string EncodeSnapshot(const Snapshot& snapshot)
{
  ByteWriter out;
  PutPosition(out, snapshot.position);
  out.Put64(static_cast<std::uint64_t>(CountMillis(snapshot.time)));
  out.PutString(EncodeMembership(snapshot.membership));
  out.PutString(snapshot.state);
  return out.Take();
}

ReplicationResult<Snapshot> DecodeSnapshot(std::string_view bytes)
{
  ByteReader in(bytes);
  Snapshot snapshot;
  snapshot.position = GetPosition(in);
  snapshot.time = ToUnixMillis(static_cast<std::int64_t>(in.Get64()));
  auto membership = DecodeMembership(in.GetString());
  snapshot.state = in.GetString();
  if (!in.Finished() || !membership) {
    return Fail(ReplicationErrorCode::InvalidMessage, "snapshot cannot be read");
  }
  snapshot.membership = membership.value();
  return snapshot;
}

std::string EncodeHardState(const HardState& state)
{
  ByteWriter out;
  out.PutString(state.identity);
  out.PutString(state.clusterId);
  out.Put64(state.term);
  out.PutString(state.vote);
  return out.Take();
}

ReplicationResult<HardState> DecodeHardState(std::string_view bytes)
{
  ByteReader in(bytes);
  HardState state;
  state.identity = in.GetString();
  state.clusterId = in.GetString();
  state.term = in.Get64();
  state.vote = in.GetString();
  if (!in.Finished() || state.identity.empty()) {
    return Fail(ReplicationErrorCode::InvalidMessage, "hard state cannot be read");
  }
  return state;
}

std::uint32_t Checksum(std::string_view bytes, std::uint32_t seed)
{
  boost::crc_optimal<32, kCrcPolynomial, kCrcInitial, kCrcInitial, true, true> crc(seed ^
                                                                                   kCrcInitial);
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

} // namespace acp::detail
