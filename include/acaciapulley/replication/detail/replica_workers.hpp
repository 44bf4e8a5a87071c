#pragma once

/// @file
/// The worker threads of a replica, which write to the disk and apply committed entries.

#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <functional>         // function
#include <future>             // promise
#include <map>                // map
#include <memory>             // shared_ptr, unique_ptr
#include <mutex>              // mutex
#include <string>             // string
#include <thread>             // thread
#include <utility>            // exchange, move
#include <vector>             // vector

#include "acaciapulley/replication/raft_types.hpp"     // LogEntry, RaftMessage, SnapshotPtr
#include "acaciapulley/replication/replicated_log.hpp" // StateMachine
#include "acaciapulley/replication/storage.hpp"        // Storage, WriteBatch

namespace acp::detail {

/// A queue from which a single consumer takes all items at once.
template<typename Item>
class WorkQueue
{
public:
  void Push(Item item)
  {
    {
      const std::lock_guard lock(mutex_);
      items_.push_back(std::move(item));
    }
    changed_.notify_one();
  }

  /// @brief Waits for items and removes all of them; returns none once the queue is closed.
  std::vector<Item> PopAll()
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return closed_ ? std::vector<Item>{} : std::exchange(items_, {});
  }

  void Close()
  {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    changed_.notify_all();
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Item> items_;
  bool closed_ = false;
};

/// A job for the disk thread.
struct DiskJob
{
  WriteBatch write;
  std::uint64_t number = 0;
  std::vector<RaftMessage> messagesAfterSync;
};

/// Callbacks of the disk thread.
struct DiskHooks
{
  std::function<void(const RaftMessage&)> send;
  std::function<void(std::uint64_t number)> persisted;
  std::function<void(const ReplicationError&)> failed;
};

/// Writes to the storage. All jobs that are queued when a write begins share its sync.
class DiskWorker
{
public:
  DiskWorker(std::unique_ptr<Storage> storage, DiskHooks hooks);
  ~DiskWorker();
  DiskWorker(const DiskWorker&) = delete;
  DiskWorker& operator=(const DiskWorker&) = delete;

  void Push(DiskJob job) { queue_.Push(std::move(job)); }

private:
  void Run();

  std::unique_ptr<Storage> storage_;
  DiskHooks hooks_;
  WorkQueue<DiskJob> queue_;
  std::thread thread_;
};

/// A job for the apply thread; the snapshot is restored before the entries are applied.
struct ApplyJob
{
  SnapshotPtr restore;
  std::vector<LogEntry> committed;
};

/// Callbacks of the apply thread.
struct ApplyHooks
{
  std::function<void(std::uint64_t index)> applied;
  std::function<void(std::uint64_t index, std::string state)> snapshotTaken;
  std::function<void(const ReplicationError&)> failed;
};

/// Limits at which the apply thread takes a snapshot.
struct SnapshotPolicy
{
  std::uint64_t everyEntries = 0;
  std::uint64_t everyBytes = 0;
};

using ProposalPromise = std::shared_ptr<std::promise<ReplicationResult<std::string>>>;

/// Applies committed entries and passes the results to their proposers.
class ApplyWorker
{
public:
  ApplyWorker(StateMachine& machine, SnapshotPolicy policy, ApplyHooks hooks);
  ~ApplyWorker();
  ApplyWorker(const ApplyWorker&) = delete;
  ApplyWorker& operator=(const ApplyWorker&) = delete;

  void Push(ApplyJob job) { queue_.Push(std::move(job)); }

  /// @brief Registers @p promise, which is fulfilled when the entry at @p position, or another
  /// entry with its index, is applied. Must be called before the entry is pushed.
  void AddPendingProposal(const LogPosition& position, ProposalPromise promise);

  /// @brief Fulfils the promises of all pending proposals with @p error.
  void FailPendingProposals(const ReplicationError& error);

private:
  struct PendingProposal
  {
    std::uint64_t term = 0;
    ProposalPromise promise;
  };

  void Run();
  bool Restore(const Snapshot& snapshot);
  void Apply(LogEntry entry);
  void TakeSnapshotIfDue();

  StateMachine& machine_;
  SnapshotPolicy policy_;
  ApplyHooks hooks_;
  WorkQueue<ApplyJob> queue_;
  std::mutex mutex_;
  std::map<std::uint64_t, PendingProposal> pendingProposals_;
  std::uint64_t appliedIndex_ = 0;
  std::uint64_t entriesSinceSnapshot_ = 0;
  std::uint64_t bytesSinceSnapshot_ = 0;
  std::uint64_t lastSnapshotBytes_ = 0;
  std::thread thread_;
};

} // namespace acp::detail
