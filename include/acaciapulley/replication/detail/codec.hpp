#pragma once

/// @file
/// Binary encoding of entries, memberships, snapshots and hard state. Integers are little-endian,
/// strings have a 32-bit length prefix.

#include <cstdint>     // uint8_t, uint32_t, uint64_t
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/replication/raft_types.hpp" // LogEntry, Membership, Snapshot, HardState

namespace acp::detail {

/// Encodes values into a string.
class ByteWriter
{
public:
  void Put8(std::uint8_t value);
  void Put32(std::uint32_t value);
  void Put64(std::uint64_t value);
  void PutString(std::string_view value);

  /// @brief Returns the encoded bytes and clears the writer.
  std::string Take();

private:
  std::string bytes_;
};

/// Decodes values. After the first read past the end, all values are zero or empty and `Ok` is
/// false.
class ByteReader
{
public:
  explicit ByteReader(std::string_view bytes);
  std::uint8_t Get8();
  std::uint32_t Get32();
  std::uint64_t Get64();
  std::string GetString();

  /// @brief Returns whether all reads so far succeeded.
  [[nodiscard]] bool Ok() const { return ok_; }

  /// @brief Returns whether all reads succeeded and no bytes are left.
  [[nodiscard]] bool Finished() const { return ok_ && bytes_.empty(); }

private:
  std::uint64_t GetInteger(std::size_t width);

  std::string_view bytes_;
  bool ok_ = true;
};

void PutEntry(ByteWriter& out, const LogEntry& entry);
LogEntry GetEntry(ByteReader& in);

std::string EncodeMembership(const Membership& membership);
ReplicationResult<Membership> DecodeMembership(std::string_view bytes);
std::string EncodeSnapshot(const Snapshot& snapshot);
ReplicationResult<Snapshot> DecodeSnapshot(std::string_view bytes);
std::string EncodeHardState(const HardState& state);
ReplicationResult<HardState> DecodeHardState(std::string_view bytes);

/// @brief Returns the CRC-32C of @p bytes, continued from @p seed.
std::uint32_t Checksum(std::string_view bytes, std::uint32_t seed = 0);

} // namespace acp::detail
