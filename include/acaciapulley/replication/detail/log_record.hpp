#pragma once

/// @file
/// Records of log segments. A record consists of payload length, header checksum, payload checksum
/// and payload.

#include <cstdint>     // uint32_t, uint64_t
#include <string>      // string
#include <string_view> // string_view

namespace acp::detail {

/// The record read at an offset of a segment.
struct RecordView
{
  bool headerValid = false;
  bool valid = false;
  std::string_view payload; ///< meaningful if valid
  std::uint64_t end = 0;    ///< offset after the record; meaningful if the header is valid
};

/// @brief Encodes @p payload as the record at @p offset. The header checksum includes the offset
/// and the salt, which is random for each segment, so that data inside a payload is not mistaken
/// for a record.
std::string EncodeRecord(std::string_view payload, std::uint32_t salt, std::uint64_t offset);

/// @brief Reads the record at @p offset of @p segment.
RecordView ReadRecord(std::string_view segment, std::uint32_t salt, std::uint64_t offset);

/// @brief Returns whether a valid record starts anywhere after @p offset.
/// @par Complexity
/// One checksum over eight bytes for each remaining byte.
bool HasRecordAfter(std::string_view segment, std::uint32_t salt, std::uint64_t offset);

/// First record of a segment.
struct SegmentHeader
{
  std::uint32_t salt = 0;
  std::uint64_t number = 0;
  std::uint64_t nextIndex = 0; ///< index after the last entry of the earlier segments
  bool resetLog = false;       ///< entries of the earlier segments are discarded
};

std::string EncodeSegmentHeader(const SegmentHeader& header);

/// @brief Decodes a segment header; its salt is 0 if @p payload is not a valid one.
SegmentHeader DecodeSegmentHeader(std::string_view payload);

} // namespace acp::detail
