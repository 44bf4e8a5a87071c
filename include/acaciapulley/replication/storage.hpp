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

/// What a replica finds at its start.
struct StoredState
{
  HardState hardState;
  SnapshotPtr snapshot; ///< null when there is none
  std::vector<LogEntry> entries;
  std::string tornFile;         ///< segment whose torn tail was cut off; empty when there was none
  std::uint64_t tornOffset = 0; ///< where it was cut
};

/// Changes that become durable together.
struct WriteBatch
{
  std::optional<HardState> hardState;
  SnapshotPtr snapshot;
  bool resetLog = false;         ///< the snapshot replaces all entries before this batch
  std::vector<LogEntry> entries; ///< replace everything from the first one's index on

  /// @brief Returns whether the batch changes nothing.
  [[nodiscard]] bool IsEmpty() const { return !hardState && !snapshot && entries.empty(); }

  /// @brief Adds @p later, so that one sync serves both.
  void Merge(WriteBatch later);
};

/// Durable state of a replica, used by one thread at a time.
class Storage
{
public:
  Storage() = default;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;
  virtual ~Storage() = default;

  /// @brief Reads everything; gives an empty folder a new random identity first.
  /// @return the state, or Corrupt (names file and offset; nothing is changed), or StorageFailed
  virtual ReplicationResult<StoredState> Load() = 0;

  /// @brief Makes @p batch durable. After a failure the replica must stop, since it is unknown what
  /// reached the disk.
  virtual ReplicationResult<void> Write(const WriteBatch& batch) = 0;
};

/// Settings of FileStorage.
struct FileStorageOptions
{
  std::uint64_t segmentBytes = 16U << 20U;  ///< a segment beyond this size is closed
  std::function<std::string()> newIdentity; ///< 16 random bytes in hexadecimal when not set
};

/// Storage in the files of one folder:
///
/// - `identity`, `hard-state`, `snapshot-<index>`: checksum and contents, written under a temporary
///   name, synced and renamed;
/// - `log-<number>`: segments of records. A record holds the entries of one batch, so that the next
///   record is written only when this one is synced, and only the last one can be torn;
/// - `synced`: end of the synced records, written without a sync of its own. A bad record before it
///   is corruption even when it is the last.
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
