#pragma once

/// @file
/// Durable state of a replica.

#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

#include "acaciapulley/replication/disk.hpp"       // Disk
#include "acaciapulley/replication/raft_types.hpp" // HardState, LogEntry, SnapshotPtr

namespace acp {

namespace detail {
class LogReplay;
struct RecordView;
} // namespace detail

/// State that a replica loads when it starts.
struct StoredState
{
  HardState hardState;
  SnapshotPtr snapshot; ///< null if there is none
  std::vector<LogEntry> entries;
  std::string tornFile;         ///< segment whose torn tail was truncated; empty if there was none
  std::uint64_t tornOffset = 0; ///< offset at which it was truncated
};

/// Changes that are made durable together.
struct WriteBatch
{
  std::optional<HardState> hardState;
  SnapshotPtr snapshot;
  bool resetLog = false;         ///< the snapshot replaces all entries of earlier batches
  std::vector<LogEntry> entries; ///< replace all entries from the index of the first one on

  /// @brief Returns whether the batch changes nothing.
  [[nodiscard]] bool IsEmpty() const { return !hardState && !snapshot && entries.empty(); }

  /// @brief Merges @p later into this batch, so that both share one sync.
  void Merge(WriteBatch later);
};

/// Durable state of a replica. Not thread-safe.
class Storage
{
public:
  Storage() = default;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;
  virtual ~Storage() = default;

  /// @brief Loads the state; an empty folder first gets a new random identity.
  /// @return the state, Corrupt (the message names file and offset; no file is changed), or
  /// StorageFailed
  virtual ReplicationResult<StoredState> Load() = 0;

  /// @brief Makes @p batch durable. After an error the replica must stop, because it is unknown
  /// what reached the disk.
  virtual ReplicationResult<void> Write(const WriteBatch& batch) = 0;
};

/// Settings of FileStorage.
struct FileStorageOptions
{
  std::uint64_t segmentBytes = 16U << 20U;  ///< a segment that exceeds this size is closed
  std::function<std::string()> newIdentity; ///< default: NewIdentity
};

/// Storage in the files of one folder:
///
/// - `hard-state` (with the identity) and `snapshot-<index>`: checksum and contents, written under
///   a temporary name, synced and renamed;
/// - `log-<number>`: log segments, which consist of records. A record contains the entries of one
///   batch. The next record is written only after this one is synced, so only the last one can be
///   torn;
/// - `synced`: end of the synced records; the file itself is not synced. An invalid record before
///   that position is corruption even if it is the last record.
class FileStorage final : public Storage
{
public:
  FileStorage(std::unique_ptr<Disk> disk, FileStorageOptions options);
  ReplicationResult<StoredState> Load() override;
  ReplicationResult<void> Write(const WriteBatch& batch) override;

private:
  struct Segment
  {
    std::string name;
    std::uint64_t maxIndex = 0;
  };
  struct TornTail
  {
    std::string name;
    std::uint64_t offset = 0;
  };
  struct SyncedEnd
  {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
  };

  ReplicationResult<std::string> ReadChecksummedFile(const std::string& name);
  ReplicationResult<void> WriteChecksummedFile(const std::string& name,
                                               const std::string& contents);
  ReplicationResult<void> LoadHardState(StoredState& state, const std::vector<std::string>& names);
  ReplicationResult<void> LoadSnapshot(StoredState& state, const std::vector<std::string>& names);
  ReplicationResult<void> LoadLog(StoredState& state, const std::vector<std::string>& names);
  ReplicationResult<void> LoadSegment(detail::LogReplay& replay,
                                      const std::string& name,
                                      bool isLast);
  [[nodiscard]] bool IsTorn(const std::string& bytes,
                            std::uint32_t salt,
                            std::uint64_t offset,
                            const detail::RecordView& record) const;
  ReplicationResult<void> RepairAfterLoad(const std::vector<std::string>& names);
  ReplicationResult<void> StartSegment(bool resetLog, std::uint64_t nextIndex);
  ReplicationResult<void> WriteSnapshot(const Snapshot& snapshot);
  ReplicationResult<void> WriteEntries(const std::vector<LogEntry>& entries);
  ReplicationResult<void> RemoveCoveredSegments(bool all);
  SyncedEnd ReadSyncedEnd(const std::vector<std::string>& names);
  void WriteSyncedEnd();

  std::unique_ptr<Disk> disk_;
  FileStorageOptions options_;
  std::vector<Segment> segments_; ///< the last one is open for writing
  std::uint64_t segmentNumber_ = 0;
  std::uint64_t segmentSize_ = 0;
  std::uint32_t salt_ = 0;
  std::uint64_t lastIndex_ = 0;
  std::uint64_t snapshotIndex_ = 0;
  std::optional<TornTail> tornTail_;
  SyncedEnd syncedEnd_;
};

} // namespace acp
