#include <algorithm> // max
#include <iterator>  // make_move_iterator
#include <utility>   // move

#include <boost/outcome/try.hpp> // BOOST_OUTCOME_TRY

#include "acaciapulley/core/random.hpp"                      // RandomHex
#include "acaciapulley/replication/detail/codec.hpp"         // ByteReader, ByteWriter
#include "acaciapulley/replication/detail/log_record.hpp"    // EncodeRecord, SegmentHeader
#include "acaciapulley/replication/detail/storage_files.hpp" // FailCorrupt, NamesWithPrefix
#include "acaciapulley/replication/storage.hpp"

namespace acp {

namespace {

using boost::outcome_v2::success;
using detail::ByteReader;
using detail::ByteWriter;

constexpr const char* kSyncedEndName = "synced";
constexpr std::size_t kSaltBytes = 4;
constexpr int kHexBase = 16;

/// Removes the entries that new entries from @p index on replace. The new entries must directly
/// follow the remaining ones.
void TruncateFrom(std::vector<LogEntry>& entries, std::uint64_t index)
{
  while (!entries.empty() && entries.back().position.index >= index) {
    entries.pop_back();
  }
}

} // namespace

namespace detail {

/// Rebuilds the log from the records of the segments.
class LogReplay
{
public:
  std::vector<LogEntry> entries;
  std::uint64_t base = 0; ///< index before the first entry

  /// Starts the next segment; returns whether its header continues the log.
  bool BeginSegment(const detail::SegmentHeader& header, bool isFirst)
  {
    canLowerBase_ = isFirst ? !header.resetLog : canLowerBase_ && !header.resetLog;
    if (isFirst || header.resetLog) {
      entries.clear();
      base = header.nextIndex - 1;
      return true;
    }
    return header.nextIndex == LastIndex() + 1;
  }

  /// Adds the entries of a record; returns whether they can be decoded and continue the log.
  bool AddRecord(std::string_view payload)
  {
    ByteReader in(payload);
    const std::uint32_t count = in.Get32();
    for (std::uint32_t i = 0; i < count && in.Ok(); ++i) {
      if (!AddEntry(detail::GetEntry(in))) {
        return false;
      }
    }
    return in.Finished();
  }

  [[nodiscard]] std::uint64_t LastIndex() const
  {
    return entries.empty() ? base : entries.back().position.index;
  }

private:
  bool AddEntry(LogEntry entry)
  {
    const std::uint64_t index = entry.position.index;
    if (index <= base) {
      // The first remaining segment may replace entries of a segment that was removed.
      if (!canLowerBase_ || index == 0) {
        return false;
      }
      base = index - 1;
    }
    TruncateFrom(entries, index);
    if (index != LastIndex() + 1) {
      return false;
    }
    entries.push_back(std::move(entry));
    return true;
  }

  bool canLowerBase_ = false;
};

} // namespace detail

namespace {

using detail::LogReplay;

/// Removes the entries that the snapshot covers; returns whether no entry is missing after it.
bool TrimToSnapshot(LogReplay& replay, const SnapshotPtr& snapshot)
{
  const LogPosition covered = snapshot ? snapshot->position : LogPosition{};
  if (replay.base > covered.index) {
    return false;
  }
  const std::uint64_t count = covered.index - replay.base;
  if (count > replay.entries.size()) {
    replay.entries.clear();
    return true;
  }
  // The log conflicts with a received snapshot whose log reset did not reach the disk. The snapshot
  // replaces the log.
  if (count > 0 && replay.entries[count - 1].position != covered) {
    replay.entries.clear();
    return true;
  }
  replay.entries.erase(replay.entries.begin(),
                       replay.entries.begin() + static_cast<std::ptrdiff_t>(count));
  return true;
}

std::uint32_t NewSalt()
{
  // Zero indicates a header that could not be decoded.
  const auto salt =
    static_cast<std::uint32_t>(std::stoul(RandomHex(kSaltBytes), nullptr, kHexBase));
  return salt == 0 ? 1 : salt;
}

} // namespace

void WriteBatch::Merge(WriteBatch later)
{
  if (later.hardState) {
    hardState = std::move(later.hardState);
  }
  if (later.snapshot) {
    snapshot = std::move(later.snapshot);
  }
  if (later.resetLog) {
    resetLog = true;
    entries.clear();
  }
  if (!later.entries.empty()) {
    TruncateFrom(entries, later.entries.front().position.index);
    entries.insert(entries.end(),
                   std::make_move_iterator(later.entries.begin()),
                   std::make_move_iterator(later.entries.end()));
  }
}

FileStorage::SyncedEnd FileStorage::ReadSyncedEnd(const std::vector<std::string>& names)
{
  if (!detail::Contains(names, kSyncedEndName)) {
    return {};
  }
  // The file itself may be torn; it is then ignored.
  const auto contents = ReadChecksummedFile(kSyncedEndName);
  if (!contents) {
    return {};
  }
  ByteReader in(contents.value());
  SyncedEnd end;
  end.segment = in.Get64();
  end.offset = in.Get64();
  return end;
}

void FileStorage::WriteSyncedEnd()
{
  ByteWriter out;
  out.Put64(segmentNumber_);
  out.Put64(segmentSize_);
  const std::string contents = out.Take();
  out.Put32(detail::Checksum(contents));
  // Best effort: without the synced end, a corrupt last record is treated as torn.
  (void)disk_->Overwrite(kSyncedEndName, out.Take() + contents);
}

ReplicationResult<void> FileStorage::LoadLog(StoredState& state,
                                             const std::vector<std::string>& names)
{
  syncedEnd_ = ReadSyncedEnd(names);
  LogReplay replay;
  const auto segments = detail::NamesWithPrefix(names, detail::kSegmentPrefix);
  for (const auto& name : segments) {
    BOOST_OUTCOME_TRYV(LoadSegment(replay, name, name == segments.back()));
  }
  if (syncedEnd_.segment > segmentNumber_) {
    return detail::FailCorrupt(
      detail::SegmentName(syncedEnd_.segment), 0, "the segment is missing");
  }
  if (!TrimToSnapshot(replay, state.snapshot)) {
    return detail::FailCorrupt(
      segments.front(), 0, "entries between the snapshot and this segment are missing");
  }
  state.entries = std::move(replay.entries);
  return success();
}

ReplicationResult<void> FileStorage::LoadSegment(detail::LogReplay& replay,
                                                 const std::string& name,
                                                 bool isLast)
{
  BOOST_OUTCOME_TRY(bytes, disk_->Read(name));
  const bool isFirst = segments_.empty();
  if (!isFirst && name != detail::SegmentName(segmentNumber_ + 1)) {
    return detail::FailCorrupt(
      detail::SegmentName(segmentNumber_ + 1), 0, "the segment is missing");
  }
  segments_.push_back({ .name = name });
  segmentNumber_ = std::stoull(name.substr(std::string_view(detail::kSegmentPrefix).size()));
  std::uint32_t salt = 0;
  std::uint64_t offset = 0;
  while (offset < bytes.size() || offset == 0) {
    const auto record = detail::ReadRecord(bytes, salt, offset);
    if (!record.valid) {
      const bool isTorn = isLast && IsTorn(bytes, salt, offset, record);
      if (!isTorn) {
        return detail::FailCorrupt(name, offset, "the record is corrupt");
      }
      tornTail_ = TornTail{ name, offset };
      break;
    }
    if (offset == 0) {
      const auto header = detail::DecodeSegmentHeader(record.payload);
      salt = header.salt;
      if (salt == 0 || header.number != segmentNumber_ || !replay.BeginSegment(header, isFirst)) {
        return detail::FailCorrupt(name, offset, "the segment header does not continue the log");
      }
    } else if (!replay.AddRecord(record.payload)) {
      return detail::FailCorrupt(name, offset, "the entries do not continue the log");
    }
    segments_.back().maxIndex = std::max(segments_.back().maxIndex, replay.LastIndex());
    offset = record.end;
  }
  return success();
}

bool FileStorage::IsTorn(const std::string& bytes,
                         std::uint32_t salt,
                         std::uint64_t offset,
                         const detail::RecordView& record) const
{
  const bool wasSynced = syncedEnd_.segment == segmentNumber_ && offset < syncedEnd_.offset;
  const bool endsBefore = record.headerValid && record.end < bytes.size();
  return !wasSynced && !endsBefore && !detail::HasRecordAfter(bytes, salt, offset);
}

ReplicationResult<void> FileStorage::StartSegment(bool resetLog, std::uint64_t nextIndex)
{
  ++segmentNumber_;
  salt_ = NewSalt();
  const std::string name = detail::SegmentName(segmentNumber_);
  const std::string record = detail::EncodeRecord(
    detail::EncodeSegmentHeader(
      { .salt = salt_, .number = segmentNumber_, .nextIndex = nextIndex, .resetLog = resetLog }),
    0,
    0);
  BOOST_OUTCOME_TRYV(disk_->Append(name, record));
  BOOST_OUTCOME_TRYV(disk_->Sync(name));
  BOOST_OUTCOME_TRYV(disk_->SyncFolder());
  segments_.push_back({ .name = name, .maxIndex = nextIndex - 1 });
  segmentSize_ = record.size();
  lastIndex_ = nextIndex - 1;
  WriteSyncedEnd();
  return success();
}

ReplicationResult<void> FileStorage::WriteEntries(const std::vector<LogEntry>& entries)
{
  if (segmentSize_ >= options_.segmentBytes) {
    BOOST_OUTCOME_TRYV(StartSegment(false, lastIndex_ + 1));
  }
  ByteWriter out;
  out.Put32(static_cast<std::uint32_t>(entries.size()));
  for (const auto& entry : entries) {
    detail::PutEntry(out, entry);
  }
  const std::string record = detail::EncodeRecord(out.Take(), salt_, segmentSize_);
  BOOST_OUTCOME_TRYV(disk_->Append(segments_.back().name, record));
  BOOST_OUTCOME_TRYV(disk_->Sync(segments_.back().name));
  segmentSize_ += record.size();
  lastIndex_ = entries.back().position.index;
  segments_.back().maxIndex = std::max(segments_.back().maxIndex, lastIndex_);
  WriteSyncedEnd();
  return success();
}

ReplicationResult<void> FileStorage::RemoveCoveredSegments(bool all)
{
  // Segments are removed only from the front: a later one may replace entries of an earlier one.
  while (segments_.size() > 1 && (all || segments_.front().maxIndex <= snapshotIndex_)) {
    // The folder is synced after each removal, so that a crash cannot restore a segment without its
    // successor.
    BOOST_OUTCOME_TRYV(disk_->Remove(segments_.front().name));
    BOOST_OUTCOME_TRYV(disk_->SyncFolder());
    segments_.erase(segments_.begin());
  }
  return success();
}

} // namespace acp
