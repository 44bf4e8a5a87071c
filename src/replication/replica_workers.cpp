#include "acaciapulley/replication/detail/replica_workers.hpp"

#include <algorithm> // clamp
#include <utility>   // move

namespace acp::detail {

namespace {

constexpr std::uint64_t kMaxIntervalFactor = 4;

} // namespace

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
  for (auto jobs = queue_.PopAll(); !jobs.empty(); jobs = queue_.PopAll()) {
    WriteBatch batch;
    for (auto& job : jobs) {
      batch.Merge(std::move(job.write));
    }
    if (!batch.IsEmpty()) {
      const auto written = storage_->Write(batch);
      if (!written) {
        // No further reply may be sent, because it is unknown what reached the disk.
        hooks_.failed(written.error());
        return;
      }
    }
    for (const auto& job : jobs) {
      for (const auto& message : job.messagesAfterSync) {
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

void ApplyWorker::AddPendingProposal(const LogPosition& position, ProposalPromise promise)
{
  const std::lock_guard lock(mutex_);
  auto& pending = pendingProposals_[position.index];
  if (pending.promise) {
    // The older entry was removed from this log, but another replica may still have it.
    pending.promise->set_value(Fail(ReplicationErrorCode::Unconfirmed,
                                    "the proposal's entry was removed from the local log"));
  }
  pending = { position.term, std::move(promise) };
}

void ApplyWorker::FailPendingProposals(const ReplicationError& error)
{
  const std::lock_guard lock(mutex_);
  for (auto& [index, pending] : pendingProposals_) {
    pending.promise->set_value(Fail(error.code, error.message));
  }
  pendingProposals_.clear();
}

void ApplyWorker::Run()
{
  for (auto jobs = queue_.PopAll(); !jobs.empty(); jobs = queue_.PopAll()) {
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
    TakeSnapshotIfDue();
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
  const auto end = pendingProposals_.upper_bound(appliedIndex_);
  for (auto pending = pendingProposals_.begin(); pending != end;
       pending = pendingProposals_.erase(pending)) {
    pending->second.promise->set_value(
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
    const auto found = pendingProposals_.find(appliedIndex_);
    if (found == pendingProposals_.end()) {
      return;
    }
    isSameEntry = found->second.term == entry.position.term;
    promise = std::move(found->second.promise);
    pendingProposals_.erase(found);
  }
  if (isSameEntry) {
    promise->set_value(std::move(result));
  } else {
    promise->set_value(
      Fail(ReplicationErrorCode::NotLeader, "another entry took the place of the proposal"));
  }
}

void ApplyWorker::TakeSnapshotIfDue()
{
  // A large state is written less often than a small one, but the log has a bound.
  const std::uint64_t everyBytes = std::clamp<std::uint64_t>(
    lastSnapshotBytes_, policy_.everyBytes, policy_.everyBytes * kMaxIntervalFactor);
  if (entriesSinceSnapshot_ < policy_.everyEntries && bytesSinceSnapshot_ < everyBytes) {
    return;
  }
  entriesSinceSnapshot_ = 0;
  bytesSinceSnapshot_ = 0;
  std::string snapshot = machine_.TakeSnapshot();
  lastSnapshotBytes_ = snapshot.size();
  hooks_.snapshotTaken(appliedIndex_, std::move(snapshot));
}

} // namespace acp::detail
