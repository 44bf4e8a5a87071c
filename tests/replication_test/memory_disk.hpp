#pragma once

/// @file
/// An in-memory disk that loses or tears unsynced data in a crash.

#include <map>    // map
#include <memory> // shared_ptr
#include <random> // mt19937_64
#include <string> // string

#include "acaciapulley/replication/disk.hpp"

/// Thrown by the disk operation at which the host crashes.
struct DiskCrash
{};

/// Contents of a disk, which outlive the process that uses them.
struct DiskContents
{
  std::map<std::string, std::string> files;          ///< contents as seen by the process
  std::map<std::string, std::string> syncedContents; ///< last synced contents, by current name
  std::map<std::string, std::string> durableFiles;   ///< durable names and their durable contents
  int operationsUntilCrash = -1;                     ///< negative if no crash is planned

  void BeginOperation()
  {
    if (operationsUntilCrash >= 0 && operationsUntilCrash-- == 0) {
      throw DiskCrash{};
    }
  }

  /// Keeps the synced data and a random part of each appended tail, which may be corrupt. Names
  /// that were created, renamed or removed without a sync of the folder may be kept or lost.
  void Crash(std::mt19937_64& random)
  {
    std::map<std::string, std::string> kept = durableFiles;
    for (auto& [name, bytes] : kept) {
      const auto seen = files.find(name);
      if (seen != files.end() && seen->second.size() > bytes.size() &&
          seen->second.starts_with(bytes)) {
        const std::size_t tail = seen->second.size() - bytes.size();
        std::string part = seen->second.substr(bytes.size(), random() % (tail + 1));
        if (part.size() == tail && tail > 0 && random() % 2 == 0) {
          part[random() % tail] ^= 1; // as if one block did not reach the disk
        }
        bytes += part;
      }
    }
    for (const auto& [name, bytes] : files) {
      if (!durableFiles.contains(name) && random() % 2 == 0) {
        const auto synced = syncedContents.find(name);
        kept[name] = synced != syncedContents.end()
                       ? synced->second
                       : bytes.substr(0, random() % (bytes.size() + 1));
      }
    }
    for (const auto& [name, bytes] : durableFiles) {
      if (!files.contains(name) && random() % 2 == 0) {
        kept.erase(name);
      }
    }
    files = kept;
    syncedContents = kept;
    durableFiles = kept;
  }
};

class MemoryDisk final : public acp::Disk
{
public:
  explicit MemoryDisk(std::shared_ptr<DiskContents> contents)
    : disk_(std::move(contents))
  {
  }
  acp::ReplicationResult<std::vector<std::string>> List() override
  {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : disk_->files) {
      names.push_back(name);
    }
    return names;
  }
  acp::ReplicationResult<std::string> Read(const std::string& name) override
  {
    return disk_->files.at(name);
  }
  acp::ReplicationResult<void> Append(const std::string& name, const std::string& bytes) override
  {
    if (disk_->operationsUntilCrash == 0) {
      disk_->files[name] += bytes.substr(0, bytes.size() / 2);
    }
    disk_->BeginOperation();
    disk_->files[name] += bytes;
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> Overwrite(const std::string& name, const std::string& bytes) override
  {
    disk_->BeginOperation();
    auto& file = disk_->files[name];
    file = bytes + file.substr(std::min(file.size(), bytes.size()));
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> Sync(const std::string& name) override
  {
    disk_->BeginOperation();
    disk_->syncedContents[name] = disk_->files.at(name);
    if (disk_->durableFiles.contains(name)) {
      disk_->durableFiles[name] = disk_->syncedContents[name];
    }
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> Truncate(const std::string& name, std::uint64_t size) override
  {
    disk_->BeginOperation();
    disk_->files[name].resize(size);
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> Rename(const std::string& from, const std::string& to) override
  {
    disk_->BeginOperation();
    disk_->files[to] = disk_->files.at(from);
    disk_->syncedContents[to] = disk_->syncedContents[from];
    disk_->files.erase(from);
    disk_->syncedContents.erase(from);
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> Remove(const std::string& name) override
  {
    disk_->BeginOperation();
    disk_->files.erase(name);
    disk_->syncedContents.erase(name);
    return boost::outcome_v2::success();
  }
  acp::ReplicationResult<void> SyncFolder() override
  {
    disk_->BeginOperation();
    disk_->durableFiles.clear();
    for (const auto& [name, bytes] : disk_->files) {
      disk_->durableFiles[name] = disk_->syncedContents[name];
    }
    return boost::outcome_v2::success();
  }

private:
  std::shared_ptr<DiskContents> disk_;
};
