#pragma once

/// @file
/// Records of the log's segments: length, checksum of the header, checksum of the payload, payload.

#include <cstdint>     // uint32_t, uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace acp::detail {

/// What stands at one offset of a segment.
struct RecordView
{
  bool headerValid = false;
  bool valid = false;
  std::string_view payload; ///< when valid
  std::uint64_t end = 0;    ///< offset after the record, when the header is valid
};

/// @brief Returns @p payload as a record at @p offset. The salt, random for each segment, and the
/// offset enter the header's checksum, so that data inside a payload is never taken for a record.
std::string EncodeRecord(std::string_view payload, std::uint32_t salt, std::uint64_t offset);

/// @brief Reads the record at @p offset of @p segment.
RecordView ReadRecord(std::string_view segment, std::uint32_t salt, std::uint64_t offset);

/// @brief Returns whether a valid record starts anywhere after @p offset.
/// @par Complexity
/// One checksum of eight bytes for each byte of the rest.
bool HasRecordAfter(std::string_view segment, std::uint32_t salt, std::uint64_t offset);

/// First record of a segment.
struct SegmentHeader
{
  std::uint32_t salt = 0;
  std::uint64_t number = 0;
  std::uint64_t nextIndex = 0; ///< index after the last entry of the segments before
  bool resetLog = false;       ///< entries of the segments before do not count
};

std::string EncodeSegmentHeader(const SegmentHeader& header);

/// @brief Reads a header; its salt is 0 when @p payload is not one.
SegmentHeader DecodeSegmentHeader(std::string_view payload);

} // namespace acp::detail
