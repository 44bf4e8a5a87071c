#include "acaciapulley/replication/storage.hpp"

#include <algorithm> // find_if, min
#include <utility>   // move

#include <boost/outcome/try.hpp> // BOOST_OUTCOME_TRY

#include "acaciapulley/replication/detail/codec.hpp"         // ByteWriter, Checksum
#include "acaciapulley/replication/detail/storage_files.hpp" // FailCorrupt, NamesWithPrefix

namespace acp {

namespace {

using boost::outcome_v2::success;
using detail::ByteReader;
using detail::ByteWriter;

constexpr const char* kHardStateName = "hard-state";

} // namespace

FileStorage::FileStorage(std::unique_ptr<Disk> disk, FileStorageOptions options)
  : disk_(std::move(disk))
  , options_(std::move(options))
{
  if (!options_.newIdentity) {
    options_.newIdentity = NewIdentity;
  }
}

ReplicationResult<std::string> FileStorage::ReadChecksummedFile(const std::string& name)
{
  auto bytes = disk_->Read(name);
  if (!bytes) {
    return bytes;
  }
  ByteReader in(bytes.value());
  const std::uint32_t checksum = in.Get32();
  if (!in.Ok()) {
    return detail::FailCorrupt(name, 0, "the file is too short");
  }
  std::string contents = bytes.value().substr(detail::kChecksumBytes);
  if (detail::Checksum(contents) != checksum) {
    return detail::FailCorrupt(name, 0, "the checksum does not match");
  }
  return contents;
}

ReplicationResult<void> FileStorage::WriteChecksummedFile(const std::string& name,
                                                          const std::string& contents)
{
  const std::string temporary = name + detail::kTemporarySuffix;
  ByteWriter out;
  out.Put32(detail::Checksum(contents));
  BOOST_OUTCOME_TRYV(disk_->Overwrite(temporary, ""));
  BOOST_OUTCOME_TRYV(disk_->Truncate(temporary, 0));
  BOOST_OUTCOME_TRYV(disk_->Append(temporary, out.Take() + contents));
  BOOST_OUTCOME_TRYV(disk_->Sync(temporary));
  BOOST_OUTCOME_TRYV(disk_->Rename(temporary, name));
  return disk_->SyncFolder();
}

ReplicationResult<void> FileStorage::LoadHardState(StoredState& state,
                                                   const std::vector<std::string>& names)
{
  if (!detail::Contains(names, kHardStateName)) {
    const auto kept = std::find_if(
      names.begin(), names.end(), [](const auto& name) { return !detail::IsTemporary(name); });
    if (kept != names.end()) {
      return detail::FailCorrupt(
        kHardStateName, 0, "the file is missing, but " + *kept + " exists");
    }
    state.hardState.identity = options_.newIdentity();
    return WriteChecksummedFile(kHardStateName, detail::EncodeHardState(state.hardState));
  }
  BOOST_OUTCOME_TRY(contents, ReadChecksummedFile(kHardStateName));
  auto decoded = detail::DecodeHardState(contents);
  if (!decoded) {
    return detail::FailCorrupt(kHardStateName, detail::kChecksumBytes, decoded.error().message);
  }
  state.hardState = decoded.value();
  return success();
}

ReplicationResult<void> FileStorage::LoadSnapshot(StoredState& state,
                                                  const std::vector<std::string>& names)
{
  const auto snapshots = detail::NamesWithPrefix(names, detail::kSnapshotPrefix);
  if (snapshots.empty()) {
    return success();
  }
  BOOST_OUTCOME_TRY(contents, ReadChecksummedFile(snapshots.back()));
  auto decoded = detail::DecodeSnapshot(contents);
  if (!decoded) {
    return detail::FailCorrupt(snapshots.back(), detail::kChecksumBytes, decoded.error().message);
  }
  state.snapshot = std::make_shared<const Snapshot>(std::move(decoded.value()));
  snapshotIndex_ = state.snapshot->position.index;
  return success();
}

ReplicationResult<StoredState> FileStorage::Load()
{
  StoredState state;
  BOOST_OUTCOME_TRY(names, disk_->List());
  BOOST_OUTCOME_TRYV(LoadHardState(state, names));
  BOOST_OUTCOME_TRYV(LoadSnapshot(state, names));
  BOOST_OUTCOME_TRYV(LoadLog(state, names));
  if (tornTail_) {
    state.tornFile = tornTail_->name;
    state.tornOffset = tornTail_->offset;
  }
  BOOST_OUTCOME_TRYV(RepairAfterLoad(names));
  const bool resetLog = state.entries.empty() && state.snapshot;
  const std::uint64_t lastIndex =
    state.entries.empty() ? snapshotIndex_ : state.entries.back().position.index;
  BOOST_OUTCOME_TRYV(StartSegment(resetLog, lastIndex + 1));
  BOOST_OUTCOME_TRYV(RemoveCoveredSegments(resetLog));
  return state;
}

ReplicationResult<void> FileStorage::RepairAfterLoad(const std::vector<std::string>& names)
{
  if (tornTail_) {
    BOOST_OUTCOME_TRYV(disk_->Truncate(tornTail_->name, tornTail_->offset));
    if (tornTail_->offset == 0) {
      BOOST_OUTCOME_TRYV(disk_->Remove(tornTail_->name));
      segments_.pop_back();
      // The numbers of the segments have no gap.
      --segmentNumber_;
    }
  }
  // If only the process crashed, the data that was read may not be synced yet.
  if (!segments_.empty()) {
    BOOST_OUTCOME_TRYV(disk_->Sync(segments_.back().name));
  }
  for (const auto& name : names) {
    if (detail::IsTemporary(name)) {
      // Errors are ignored: the first start renames the temporary hard state after the folder is
      // listed.
      (void)disk_->Remove(name);
    }
  }
  for (const auto& name : detail::NamesWithPrefix(names, detail::kSnapshotPrefix)) {
    if (name != detail::SnapshotName(snapshotIndex_)) {
      BOOST_OUTCOME_TRYV(disk_->Remove(name));
    }
  }
  return disk_->SyncFolder();
}

ReplicationResult<void> FileStorage::Write(const WriteBatch& batch)
{
  if (batch.hardState) {
    BOOST_OUTCOME_TRYV(
      WriteChecksummedFile(kHardStateName, detail::EncodeHardState(*batch.hardState)));
  }
  if (batch.snapshot) {
    BOOST_OUTCOME_TRYV(WriteSnapshot(*batch.snapshot));
    if (batch.resetLog) {
      // A merged batch may contain a newer snapshot than the one that replaced the log.
      const std::uint64_t first =
        batch.entries.empty() ? snapshotIndex_ + 1 : batch.entries.front().position.index;
      BOOST_OUTCOME_TRYV(StartSegment(true, std::min(first, snapshotIndex_ + 1)));
      BOOST_OUTCOME_TRYV(RemoveCoveredSegments(true));
    }
  }
  if (!batch.entries.empty()) {
    BOOST_OUTCOME_TRYV(WriteEntries(batch.entries));
  }
  if (batch.snapshot) {
    BOOST_OUTCOME_TRYV(RemoveCoveredSegments(false));
  }
  return success();
}

ReplicationResult<void> FileStorage::WriteSnapshot(const Snapshot& snapshot)
{
  const std::uint64_t oldIndex = snapshotIndex_;
  if (snapshot.position.index <= oldIndex) {
    return success();
  }
  BOOST_OUTCOME_TRYV(WriteChecksummedFile(detail::SnapshotName(snapshot.position.index),
                                          detail::EncodeSnapshot(snapshot)));
  snapshotIndex_ = snapshot.position.index;
  if (oldIndex != 0) {
    BOOST_OUTCOME_TRYV(disk_->Remove(detail::SnapshotName(oldIndex)));
  }
  return success();
}

} // namespace acp
