#pragma once

/// @file
/// The files of one data folder, as the storage uses them.

#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "acaciapulley/replication/replication_error.hpp" // ReplicationResult

namespace acp {

/// A folder of files. Contents are durable after Sync, names after SyncFolder. All failures are
/// ReplicationErrorCode::StorageFailed. Used by one thread at a time.
class Disk
{
public:
  Disk() = default;
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;
  virtual ~Disk() = default;

  /// @brief Returns the names of all files, sorted.
  virtual ReplicationResult<std::vector<std::string>> List() = 0;

  /// @brief Returns the whole file @p name.
  virtual ReplicationResult<std::string> Read(const std::string& name) = 0;

  /// @brief Adds @p bytes at the end of @p name, which is created when it does not exist.
  virtual ReplicationResult<void> Append(const std::string& name, const std::string& bytes) = 0;

  /// @brief Writes @p bytes over the start of @p name, which is created when it does not exist.
  virtual ReplicationResult<void> Overwrite(const std::string& name, const std::string& bytes) = 0;

  /// @brief Makes the contents of @p name durable.
  virtual ReplicationResult<void> Sync(const std::string& name) = 0;

  /// @brief Cuts @p name to @p size bytes.
  virtual ReplicationResult<void> Truncate(const std::string& name, std::uint64_t size) = 0;

  /// @brief Renames @p from to @p to, which is replaced if it exists.
  virtual ReplicationResult<void> Rename(const std::string& from, const std::string& to) = 0;

  /// @brief Removes @p name.
  virtual ReplicationResult<void> Remove(const std::string& name) = 0;

  /// @brief Makes all names durable.
  virtual ReplicationResult<void> SyncFolder() = 0;
};

/// A folder of the file system, locked against a second process for the life of the object.
///
/// @par Example
/// @code
/// auto disk = acp::FolderDisk::Open("/var/lib/acp-control");
/// @endcode
class FolderDisk final : public Disk
{
public:
  /// @brief Opens @p path, which is created when it does not exist.
  /// @return the folder, or StorageFailed when it cannot be used or another process uses it
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
  std::map<std::string, int> handles_; ///< files open for writing
};

} // namespace acp
