#pragma once

/// @file
/// A disk that fails at a chosen operation.

#include <memory>  // shared_ptr
#include <string>  // string
#include <utility> // move

#include "acaciapulley/replication/disk.hpp"
#include "memory_disk.hpp"

/// What a disk refuses.
enum class DiskFault
{
  NoRoom,      ///< no byte is added; files can be created, shortened, renamed and removed
  RoomForHalf, ///< as NoRoom, but the first write is cut short
  NoCreation,  ///< as NoRoom, and no file can be created
  Dead,        ///< every operation fails
  OneError,    ///< one operation fails without effect
};

/// When a disk fails; shared by the starts of a test.
struct DiskFaultPlan
{
  DiskFault fault = DiskFault::NoRoom;
  int operationsUntilFault = -1; ///< negative: never
  bool isOver = false;
  int operations = 0; ///< number of operations so far
};

class FaultyDisk final : public acp::Disk
{
public:
  FaultyDisk(std::shared_ptr<DiskContents> contents, std::shared_ptr<DiskFaultPlan> plan)
    : contents_(contents)
    , disk_(std::move(contents))
    , plan_(std::move(plan))
  {
  }
  acp::ReplicationResult<std::vector<std::string>> List() override
  {
    return Fails() ? Error() : disk_.List();
  }
  acp::ReplicationResult<std::string> Read(const std::string& name) override
  {
    if (Fails()) {
      return Error();
    }
    return disk_.Read(name);
  }
  acp::ReplicationResult<void> Append(const std::string& name, const std::string& bytes) override
  {
    if (!FailsToWrite(name, bytes)) {
      return disk_.Append(name, bytes);
    }
    if (AllowsCreation(name)) {
      (void)disk_.Append(name, bytes.substr(0, Room(bytes)));
    }
    return Error();
  }
  acp::ReplicationResult<void> Overwrite(const std::string& name, const std::string& bytes) override
  {
    if (!FailsToWrite(name, bytes)) {
      return disk_.Overwrite(name, bytes);
    }
    if (AllowsCreation(name)) {
      (void)disk_.Overwrite(name, bytes.substr(0, Room(bytes)));
    }
    return Error();
  }
  acp::ReplicationResult<void> Sync(const std::string& name) override
  {
    return Fails() ? Error() : disk_.Sync(name);
  }
  acp::ReplicationResult<void> Truncate(const std::string& name, std::uint64_t size) override
  {
    return Fails() ? Error() : disk_.Truncate(name, size);
  }
  acp::ReplicationResult<void> Rename(const std::string& from, const std::string& to) override
  {
    return Fails() ? Error() : disk_.Rename(from, to);
  }
  acp::ReplicationResult<void> Remove(const std::string& name) override
  {
    return Fails() ? Error() : disk_.Remove(name);
  }
  acp::ReplicationResult<void> SyncFolder() override
  {
    return Fails() ? Error() : disk_.SyncFolder();
  }

private:
  static acp::ReplicationError Error()
  {
    return { acp::ReplicationErrorCode::StorageFailed, "the disk of the test refuses" };
  }

  /// Counts an operation; returns whether the fault has begun.
  bool IsFaulty()
  {
    const int number = plan_->operations++;
    if (plan_->isOver || plan_->operationsUntilFault < 0) {
      return false;
    }
    return plan_->fault == DiskFault::OneError ? number == plan_->operationsUntilFault
                                               : number >= plan_->operationsUntilFault;
  }

  bool Fails()
  {
    return IsFaulty() && (plan_->fault == DiskFault::Dead || plan_->fault == DiskFault::OneError);
  }

  bool FailsToWrite(const std::string& name, const std::string& bytes)
  {
    const bool creates = plan_->fault == DiskFault::NoCreation && !contents_->files.contains(name);
    return IsFaulty() && (!bytes.empty() || creates || plan_->fault == DiskFault::Dead ||
                          plan_->fault == DiskFault::OneError);
  }

  [[nodiscard]] bool AllowsCreation(const std::string& name) const
  {
    return plan_->fault == DiskFault::NoRoom || plan_->fault == DiskFault::RoomForHalf ||
           contents_->files.contains(name);
  }

  [[nodiscard]] std::size_t Room(const std::string& bytes)
  {
    const bool isFirst = plan_->operations == plan_->operationsUntilFault + 1;
    return plan_->fault == DiskFault::RoomForHalf && isFirst ? bytes.size() / 2 : 0;
  }

  std::shared_ptr<DiskContents> contents_;
  MemoryDisk disk_;
  std::shared_ptr<DiskFaultPlan> plan_;
};
