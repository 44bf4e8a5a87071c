#include "acaciapulley/replication/detail/log_record.hpp"

#include "acaciapulley/replication/detail/codec.hpp" // ByteReader, ByteWriter, Checksum

namespace acp::detail {

namespace {

constexpr std::size_t kHeaderBytes = 12;
constexpr std::uint32_t kSegmentMagic = 0x4C504341; // "ACPL"
constexpr unsigned kHalfBits = 32;

std::uint32_t HeaderChecksum(std::uint32_t size,
                             std::uint32_t payloadChecksum,
                             std::uint32_t salt,
                             std::uint64_t offset)
{
  ByteWriter out;
  out.Put32(size);
  out.Put32(payloadChecksum);
  const auto folded = static_cast<std::uint32_t>(offset ^ (offset >> kHalfBits));
  return Checksum(out.Take(), salt ^ folded);
}

} // namespace

std::string EncodeRecord(std::string_view payload, std::uint32_t salt, std::uint64_t offset)
{
  const auto size = static_cast<std::uint32_t>(payload.size());
  const std::uint32_t payloadChecksum = Checksum(payload, salt);
  ByteWriter out;
  out.Put32(size);
  out.Put32(HeaderChecksum(size, payloadChecksum, salt, offset));
  out.Put32(payloadChecksum);
  return out.Take().append(payload);
}

RecordView ReadRecord(std::string_view segment, std::uint32_t salt, std::uint64_t offset)
{
  RecordView view;
  if (offset + kHeaderBytes > segment.size()) {
    return view;
  }
  ByteReader in(segment.substr(offset, kHeaderBytes));
  const std::uint32_t size = in.Get32();
  const std::uint32_t headerChecksum = in.Get32();
  const std::uint32_t payloadChecksum = in.Get32();
  view.headerValid = headerChecksum == HeaderChecksum(size, payloadChecksum, salt, offset);
  if (!view.headerValid) {
    return view;
  }
  view.end = offset + kHeaderBytes + size;
  if (view.end <= segment.size()) {
    view.payload = segment.substr(offset + kHeaderBytes, size);
    view.valid = Checksum(view.payload, salt) == payloadChecksum;
  }
  return view;
}

bool HasRecordAfter(std::string_view segment, std::uint32_t salt, std::uint64_t offset)
{
  for (std::uint64_t at = offset + 1; at + kHeaderBytes <= segment.size(); ++at) {
    if (ReadRecord(segment, salt, at).valid) {
      return true;
    }
  }
  return false;
}

std::string EncodeSegmentHeader(const SegmentHeader& header)
{
  ByteWriter out;
  out.Put32(kSegmentMagic);
  out.Put32(header.salt);
  out.Put64(header.number);
  out.Put64(header.nextIndex);
  out.Put8(header.resetLog ? 1 : 0);
  return out.Take();
}

SegmentHeader DecodeSegmentHeader(std::string_view payload)
{
  ByteReader in(payload);
  SegmentHeader header;
  const std::uint32_t magic = in.Get32();
  header.salt = in.Get32();
  header.number = in.Get64();
  header.nextIndex = in.Get64();
  header.resetLog = in.Get8() != 0;
  return magic == kSegmentMagic && in.Finished() ? header : SegmentHeader{};
}

} // namespace acp::detail
