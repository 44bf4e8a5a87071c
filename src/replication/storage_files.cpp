#include "acaciapulley/replication/detail/storage_files.hpp"

#include <algorithm> // find

#include <fmt/format.h> // format

namespace acp::detail {

bool IsTemporary(const std::string& name)
{
  return name.ends_with(kTemporarySuffix);
}

bool Contains(const std::vector<std::string>& names, const std::string& name)
{
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::vector<std::string> NamesWithPrefix(const std::vector<std::string>& names, const char* prefix)
{
  std::vector<std::string> selected;
  for (const auto& name : names) {
    if (name.starts_with(prefix) && !IsTemporary(name)) {
      selected.push_back(name);
    }
  }
  return selected;
}

std::string SegmentName(std::uint64_t number)
{
  return fmt::format("{}{:016}", kSegmentPrefix, number);
}

std::string SnapshotName(std::uint64_t index)
{
  return fmt::format("{}{:020}", kSnapshotPrefix, index);
}

} // namespace acp::detail
