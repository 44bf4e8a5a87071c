#include "acaciapulley/replication/detail/replica_workers.hpp"

namespace acp::detail {

DiskWorker::DiskWorker(std::unique_ptr<Storage> storage, DiskHooks hooks)
  : storage_(std::move(storage))
  , hooks_(std::move(hooks))
  , thread_([this] { Run(); })
{
}

DiskWorker::~DiskWorker()
{
  queue_.Close();
  thread_.join();
}

void DiskWorker::Run()
{
  for (auto jobs = queue_.TakeAll(); !jobs.empty(); jobs = queue_.TakeAll()) {
    WriteBatch batch;
    for (auto& job : jobs) {
      batch.Merge(std::move(job.write));
    }
    if (!batch.IsEmpty()) {
      const auto written = storage_->Write(batch);
      if (!written) {
        // Nothing may be answered any more, since it is unknown what reached the disk.
        hooks_.failed(written.error());
        return;
      }
    }
    for (const auto& job : jobs) {
      for (const auto& message : job.afterSync) {
        hooks_.send(message);
      }
    }
    hooks_.persisted(jobs.back().number);
  }
}

ApplyWorker::ApplyWorker(StateMachine& machine, SnapshotPolicy policy, ApplyHooks hooks)
  : machine_(machine)
  , policy_(policy)
  , hooks_(std::move(hooks))
  , thread_([this] { Run(); })
{
}

ApplyWorker::~ApplyWorker()
{
  queue_.Close();
  thread_.join();
}

void ApplyWorker::Expect(const LogPosition& position, ProposalPromise promise)
{
  const std::lock_guard lock(mutex_);
  auto& waiter = waiters_[position.index];
  if (waiter.promise) {
    // The older entry is gone here, but another replica may still hold it.
    waiter.promise->set_value(
      Fail(ReplicationErrorCode::Unconfirmed, "the proposal's entry was removed here"));
  }
  waiter = { position.term, std::move(promise) };
}

void ApplyWorker::FailAll(const ReplicationError& error)
{
  const std::lock_guard lock(mutex_);
  for (auto& [index, waiter] : waiters_) {
    waiter.promise->set_value(Fail(error.code, error.message));
  }
  waiters_.clear();
}

void ApplyWorker::Run()
{
  for (auto jobs = queue_.TakeAll(); !jobs.empty(); jobs = queue_.TakeAll()) {
    for (auto& job : jobs) {
      if (job.restore && !Restore(*job.restore)) {
        hooks_.failed({ ReplicationErrorCode::Corrupt,
                        "the state machine cannot read the snapshot at entry " +
                          std::to_string(job.restore->position.index) });
        return;
      }
      for (auto& entry : job.committed) {
        Apply(std::move(entry));
      }
    }
    hooks_.applied(appliedIndex_);
    MaybeTakeSnapshot();
  }
}

bool ApplyWorker::Restore(const Snapshot& snapshot)
{
  if (!machine_.Restore(snapshot.state)) {
    return false;
  }
  appliedIndex_ = snapshot.position.index;
  entriesSinceSnapshot_ = 0;
  bytesSinceSnapshot_ = 0;
  const std::lock_guard lock(mutex_);
  const auto end = waiters_.upper_bound(appliedIndex_);
  for (auto waiter = waiters_.begin(); waiter != end; waiter = waiters_.erase(waiter)) {
    waiter->second.promise->set_value(
      Fail(ReplicationErrorCode::Unconfirmed, "a snapshot covers the proposal's entry"));
  }
  return true;
}

void ApplyWorker::Apply(LogEntry entry)
{
  appliedIndex_ = entry.position.index;
  ++entriesSinceSnapshot_;
  bytesSinceSnapshot_ += entry.data.size();
  std::string result;
  if (entry.kind == EntryKind::Command) {
    result = machine_.Apply({ entry.position, entry.time, std::move(entry.data) });
  }
  ProposalPromise promise;
  bool isSameEntry = false;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiters_.find(appliedIndex_);
    if (found == waiters_.end()) {
      return;
    }
    isSameEntry = found->second.term == entry.position.term;
    promise = std::move(found->second.promise);
    waiters_.erase(found);
  }
  if (isSameEntry) {
    promise->set_value(std::move(result));
  } else {
    promise->set_value(
      Fail(ReplicationErrorCode::NotLeader, "another entry took the place of the proposal"));
  }
}

void ApplyWorker::MaybeTakeSnapshot()
{
  if (entriesSinceSnapshot_ < policy_.everyEntries && bytesSinceSnapshot_ < policy_.everyBytes) {
    return;
  }
  entriesSinceSnapshot_ = 0;
  bytesSinceSnapshot_ = 0;
  hooks_.snapshotTaken(appliedIndex_, machine_.TakeSnapshot());
}

} // namespace acp::detail
