#pragma once

/// @file
/// File operations in one data folder, as the storage needs them.

#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/replication/replication_error.hpp" // ReplicationResult

namespace acp {

/// Interface to the files of one folder. File contents are durable after Sync, file names after
/// SyncFolder. Every error is ReplicationErrorCode::StorageFailed. Not thread-safe.
class Disk
{
public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  /// @brief Returns the names of all files, sorted.
  virtual ReplicationResult<std::vector<std::string>> List() = 0;

  /// @brief Returns the contents of @p name.
  virtual ReplicationResult<std::string> Read(const std::string& name) = 0;

  /// @brief Appends @p bytes to @p name; creates the file if it does not exist.
  virtual ReplicationResult<void> Append(const std::string& name, const std::string& bytes) = 0;

  /// @brief Overwrites the start of @p name with @p bytes; creates the file if it does not exist.
  virtual ReplicationResult<void> Overwrite(const std::string& name, const std::string& bytes) = 0;

  /// @brief Makes the contents of @p name durable.
  virtual ReplicationResult<void> Sync(const std::string& name) = 0;

  /// @brief Truncates @p name to @p size bytes.
  virtual ReplicationResult<void> Truncate(const std::string& name, std::uint64_t size) = 0;

  /// @brief Renames @p from to @p to; replaces @p to if it exists.
  virtual ReplicationResult<void> Rename(const std::string& from, const std::string& to) = 0;

  /// @brief Removes @p name.
  virtual ReplicationResult<void> Remove(const std::string& name) = 0;

  /// @brief Makes all created, renamed and removed file names durable.
  virtual ReplicationResult<void> SyncFolder() = 0;
};

/// Disk in a file system folder. The folder stays locked for the lifetime of the object, so that no
/// second process uses it.
///
/// @par Example
/// @code
/// auto disk = acp::FolderDisk::Open("/var/lib/acp-control");
/// @endcode
class FolderDisk final : public Disk
{
public:
  /// @brief Opens @p path; creates the folder if it does not exist.
  /// @return the disk, or StorageFailed if the folder cannot be used or another process has locked
  /// it
  static ReplicationResult<std::unique_ptr<FolderDisk>> Open(const std::string& path);

  ~FolderDisk() override;
  ReplicationResult<std::vector<std::string>> List() override;
  ReplicationResult<std::string> Read(const std::string& name) override;
  ReplicationResult<void> Append(const std::string& name, const std::string& bytes) override;
  ReplicationResult<void> Overwrite(const std::string& name, const std::string& bytes) override;
  ReplicationResult<void> Sync(const std::string& name) override;
  ReplicationResult<void> Truncate(const std::string& name, std::uint64_t size) override;
  ReplicationResult<void> Rename(const std::string& from, const std::string& to) override;
  ReplicationResult<void> Remove(const std::string& name) override;
  ReplicationResult<void> SyncFolder() override;

private:
  FolderDisk(std::string path, int folder, int lock);
  ReplicationResult<int> OpenHandle(const std::string& name);
  void CloseHandle(const std::string& name);

  std::string path_;
  int folderHandle_;
  int lockHandle_;
  std::map<std::string, int> handles_; ///< descriptors of the files open for writing
};

} // namespace acp
