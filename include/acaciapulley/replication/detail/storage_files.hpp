#pragma once

/// @file
/// Names of the files in a replica's data folder, and errors that name a file and an offset.

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/replication/replication_error.hpp" // ReplicationErrorCode

namespace acp::detail {

constexpr const char* kSegmentPrefix = "log-";
constexpr const char* kSnapshotPrefix = "snapshot-";
constexpr const char* kTemporarySuffix = ".tmp";
/// Size of the checksum at the start of files that are always written as a whole.
constexpr std::size_t kChecksumBytes = 4;

bool IsTemporary(const std::string& name);
bool Contains(const std::vector<std::string>& names, const std::string& name);

/// @brief Returns the names that start with @p prefix, except those of temporary files.
std::vector<std::string> NamesWithPrefix(const std::vector<std::string>& names, const char* prefix);

std::string SegmentName(std::uint64_t number);
std::string SnapshotName(std::uint64_t index);

/// @brief Creates the failure Corrupt for an offset of a file.
inline auto FailCorrupt(const std::string& name, std::uint64_t offset, const std::string& what)
{
  return Fail(ReplicationErrorCode::Corrupt,
              name + " at offset " + std::to_string(offset) + ": " + what);
}

} // namespace acp::detail
