#include "acaciapulley/replication/detail/replica_impl.hpp"

#include <chrono>    // floor, milliseconds
#include <random>    // mt19937_64, random_device
#include <stdexcept> // logic_error
#include <utility>   // exchange, move

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

namespace {

/// RaftCore::Tick must be called ten times per heartbeat interval.
constexpr int kTicksPerHeartbeat = 10;

/// Messages that can be queued for the core thread. Further ones are dropped; Raft retransmits what
/// is still needed.
constexpr std::size_t kMaxInboxMessages = 20'000;
/// Data in them in bytes: four of the largest batches. Only the leader sends data.
constexpr std::size_t kMaxInboxBytes = 48U << 20U;

std::size_t SizeOf(const std::vector<RaftMessage>& messages)
{
  std::size_t size = 0;
  for (const auto& message : messages) {
    size += message.data.size();
    for (const auto& entry : message.entries) {
      size += entry.data.size();
    }
  }
  return size;
}

RaftOptions MakeCoreOptions(const ReplicaOptions& options)
{
  RaftOptions core;
  core.self = { {}, options.rpcAddress.ToString(), options.operatorAddress };
  core.electionTimeout = options.electionTimeout;
  core.heartbeatInterval = options.heartbeatInterval;
  core.firstElectionTimeout = options.firstElectionTimeout;
  core.voterSilenceTimeout = options.voterSilenceTimeout;
  core.targetVoterCount = options.targetVoterCount;
  core.random = [generator = std::make_shared<std::mt19937_64>(std::random_device{}())] {
    return (*generator)();
  };
  return core;
}

} // namespace

bool Replica::Impl::Inbox::IsEmpty() const
{
  return messages.empty() && proposals.empty() && replacements.empty() && persisted == 0 &&
         applied == 0 && !snapshot && !initialSet;
}

Replica::Impl::Impl(const ReplicaOptions& options,
                    StateMachine& machine,
                    std::unique_ptr<Storage> storage,
                    StoredState state)
  : options_(options)
  , self_({ state.hardState.identity, options.rpcAddress.ToString(), options.operatorAddress })
  , core_(MakeCoreOptions(options), std::move(state), options.clock->Now())
  , peers_(options.rpcAddress, options.replicaAddresses, options.rpcTimeout)
  , applier_(
      machine,
      { options.snapshotEveryEntries, options.snapshotEveryBytes },
      { .applied = [this](std::uint64_t index) { Post([&](Inbox& i) { i.applied = index; }); },
        .snapshotTaken =
          [this](std::uint64_t index, std::string taken) {
            Post([&](Inbox& i) { i.snapshot = StateSnapshot{ index, std::move(taken) }; });
          },
        .failed = [this](const ReplicationError& error) { ReportFailure(error); } })
  , disk_(std::move(storage),
          { .send = [this](const RaftMessage& message) { peers_.Send(message); },
            .persisted =
              [this](std::uint64_t number) { Post([&](Inbox& i) { i.persisted = number; }); },
            .failed = [this](const ReplicationError& error) { ReportFailure(error); } })
  , processor_(detail::MakeReplicationProcessor(
      { .hello = [this] { return MakeHelloReply(); },
        .deliver = [this](std::vector<RaftMessage> m) { Deliver(std::move(m)); } }))
{
  Publish();
  thread_ = std::thread([this] { Run(); });
}

Replica::Impl::~Impl()
{
  server_.reset();
  {
    const std::lock_guard lock(inboxMutex_);
    stopping_ = true;
  }
  inboxChanged_.notify_all();
  if (bootstrapThread_.joinable()) {
    bootstrapThread_.join();
  }
  thread_.join();
  applier_.FailPendingProposals({ ReplicationErrorCode::Unconfirmed, "the replica is stopping" });
}

ReplicationResult<void> Replica::Impl::Listen()
{
  if (options_.startListener) {
    auto server = detail::ReplicationServer::Start(options_.rpcAddress, processor_);
    if (!server) {
      return server.as_failure();
    }
    server_ = std::move(server.value());
  }
  // Only a replica that has bound its address may bootstrap a cluster.
  if (options_.bootstrap && MakeHelloReply().clusterId.empty()) {
    bootstrapThread_ = std::thread([this] { RunBootstrap(); });
  }
  return boost::outcome_v2::success();
}

RaftTime Replica::Impl::Time() const
{
  return { options_.clock->Now(), options_.clock->WallNow() };
}

template<typename Change>
void Replica::Impl::Post(Change change)
{
  {
    const std::lock_guard lock(inboxMutex_);
    change(inbox_);
  }
  inboxChanged_.notify_one();
}

void Replica::Impl::Deliver(std::vector<RaftMessage> messages)
{
  const std::size_t bytes = SizeOf(messages);
  Post([&](Inbox& inbox) {
    if (inbox.messages.size() < kMaxInboxMessages && inbox.messageBytes + bytes <= kMaxInboxBytes) {
      inbox.messageBytes += bytes;
      inbox.messages.insert(inbox.messages.end(),
                            std::make_move_iterator(messages.begin()),
                            std::make_move_iterator(messages.end()));
    }
  });
}

detail::HelloReply Replica::Impl::MakeHelloReply() const
{
  const std::lock_guard lock(publishedMutex_);
  return { self_.id, published_.clusterId, self_.operatorAddress, published_.initialEntry };
}

void Replica::Impl::Run()
{
  std::unique_lock lock(inboxMutex_);
  while (!stopping_) {
    const Duration tick = options_.heartbeatInterval / kTicksPerHeartbeat;
    inboxChanged_.wait_for(lock, tick, [this] { return stopping_ || !inbox_.IsEmpty(); });
    Inbox inbox = std::exchange(inbox_, {});
    lock.unlock();
    if (!failed_) {
      try {
        RunOnce(std::move(inbox));
      } catch (const std::logic_error& e) {
        ReportFailure({ ReplicationErrorCode::Corrupt, e.what() });
      }
    } else {
      AbortPending(StoppedError());
      StartProposals(std::move(inbox.proposals));
      StartReplacements(std::move(inbox.replacements));
    }
    lock.lock();
  }
  lock.unlock();
  AbortPending({ ReplicationErrorCode::Unconfirmed, "the replica is stopping" });
}

void Replica::Impl::RunOnce(Inbox inbox)
{
  if (inbox.persisted != 0) {
    core_.OnPersisted(inbox.persisted, Time());
  }
  if (inbox.applied != 0) {
    core_.OnApplied(inbox.applied);
  }
  if (inbox.snapshot) {
    core_.Compact(inbox.snapshot->index, std::move(inbox.snapshot->state));
  }
  if (inbox.initialSet) {
    Bootstrap(*inbox.initialSet);
  }
  UpdatePeerAddresses(inbox.messages);
  for (const auto& message : inbox.messages) {
    core_.Step(message, Time());
  }
  core_.Tick(Time());
  MaintainVoters();
  StartProposals(std::move(inbox.proposals));
  StartReplacements(std::move(inbox.replacements));
  Dispatch(core_.TakeReady(options_.clock->Now()));
  FinishReplacements();
  Publish();
  if (core_.IsRetired()) {
    ReportFailure({ ReplicationErrorCode::Retired,
                    "replica " + self_.id +
                      " was replaced while it was out of reach; it joins under a new identity "
                      "after a restart" });
  }
}

void Replica::Impl::MaintainVoters()
{
  if (!options_.maintainsVoters) {
    return;
  }
  if (const auto change = core_.MaintainVoters(Time())) {
    const auto silence = std::chrono::floor<std::chrono::milliseconds>(change->silence);
    Log(LogLevel::Info,
        "voter_change_started",
        { { "reason", std::string(NameOf(change->reason)) },
          { "index", std::to_string(change->position.index) },
          { "leaving", change->leavingId },
          { "silent_ms", std::to_string(silence.count()) },
          { "joining", change->learnerId },
          { "voters_before", std::to_string(change->voters) } });
  }
}

void Replica::Impl::UpdatePeerAddresses(const std::vector<RaftMessage>& messages)
{
  for (const auto& message : messages) {
    peers_.SetAddress(message.from, message.sender.rpcAddress);
  }
  for (const auto& voter : core_.CurrentMembership().voters) {
    peers_.SetAddress(voter.id, voter.rpcAddress);
  }
}

void Replica::Impl::Dispatch(RaftReady ready)
{
  const auto setSender = [this](std::vector<RaftMessage>& messages) {
    for (auto& message : messages) {
      // A forwarded message keeps the addresses of its original sender.
      if (message.from == self_.id) {
        message.sender = self_;
      }
    }
  };
  setSender(ready.messages);
  setSender(ready.messagesAfterSync);
  for (const auto& message : ready.messages) {
    peers_.Send(message);
  }
  if (!ready.write.IsEmpty() || !ready.messagesAfterSync.empty()) {
    disk_.Push({ std::move(ready.write), ready.writeNumber, std::move(ready.messagesAfterSync) });
  }
  if (ready.restore || !ready.committed.empty()) {
    applier_.Push({ std::move(ready.restore), std::move(ready.committed) });
  }
}

void Replica::Impl::StartProposals(std::vector<Proposal> proposals)
{
  for (auto& proposal : proposals) {
    if (failed_) {
      proposal.promise->set_value(StoppedError());
      continue;
    }
    auto position = core_.Propose(std::move(proposal.command), options_.clock->WallNow());
    if (position) {
      applier_.AddPendingProposal(position.value(), std::move(proposal.promise));
    } else {
      proposal.promise->set_value(position.as_failure());
    }
  }
}

void Replica::Impl::StartReplacements(std::vector<Replacement> replacements)
{
  for (auto& replacement : replacements) {
    if (failed_) {
      replacement.promise->set_value(StoppedError());
      continue;
    }
    auto position = core_.Replace(replacement.lostId, replacement.newId, options_.clock->WallNow());
    if (position) {
      replacement.term = position.value().term;
      replacements_.push_back(std::move(replacement));
    } else {
      replacement.promise->set_value(position.as_failure());
    }
  }
}

void Replica::Impl::FinishReplacements()
{
  for (auto i = replacements_.begin(); i != replacements_.end();) {
    const Membership& membership = core_.CurrentMembership();
    if (core_.IsMembershipStable() && membership.IsVoter(i->newId) &&
        membership.IsRetired(i->lostId)) {
      i->promise->set_value(boost::outcome_v2::success());
      Log(LogLevel::Info, "replica_replaced", { { "lost", i->lostId }, { "new", i->newId } });
    } else if (core_.Role() != RaftRole::Leader || core_.Term() != i->term) {
      i->promise->set_value(
        acp::Fail(ReplicationErrorCode::Unconfirmed, "leadership was lost during the replacement"));
    } else {
      ++i;
      continue;
    }
    i = replacements_.erase(i);
  }
}

void Replica::Impl::Bootstrap(const InitialSet& initialSet)
{
  const std::string& cluster = initialSet.membership.clusterId;
  const auto done = core_.Bootstrap(initialSet.membership, initialSet.time);
  if (done) {
    Log(LogLevel::Info, "cluster_bootstrapped", { { "cluster", cluster } });
  } else {
    Log(LogLevel::Error,
        "bootstrap_refused",
        { { "cluster", cluster }, { "error", done.error().Describe() } });
  }
}

void Replica::Impl::Publish()
{
  PublishedState published;
  published.status = core_.Status();
  published.confirmedAt = core_.ConfirmedAt();
  published.leaderSince = core_.LeaderSince();
  published.clusterId = core_.CurrentHardState().clusterId;
  published.initialEntry = core_.InitialEntry();
  const std::lock_guard lock(publishedMutex_);
  if (published.status.isLeader != published_.status.isLeader) {
    Log(LogLevel::Info,
        published.status.isLeader ? "leadership_gained" : "leadership_lost",
        { { "replica", self_.id }, { "term", std::to_string(published.status.term) } });
  }
  published_ = std::move(published);
}

void Replica::Impl::AbortPending(const ReplicationError& error)
{
  applier_.FailPendingProposals({ ReplicationErrorCode::Unconfirmed, error.message });
  for (auto& replacement : replacements_) {
    replacement.promise->set_value(acp::Fail(ReplicationErrorCode::Unconfirmed, error.message));
  }
  replacements_.clear();
  const std::lock_guard lock(publishedMutex_);
  published_.status.isLeader = false;
  published_.confirmedAt.reset();
  published_.leaderSince.reset();
}

void Replica::Impl::ReportFailure(const ReplicationError& error)
{
  {
    const std::lock_guard lock(publishedMutex_);
    if (failed_) {
      return;
    }
    failure_ = error.Describe();
    failed_ = true;
  }
  Log(LogLevel::Error, "replica_failed", { { "error", error.Describe() } });
  if (options_.onFailure) {
    options_.onFailure(error);
  }
}

ReplicationError Replica::Impl::StoppedError() const
{
  const std::lock_guard lock(publishedMutex_);
  return { ReplicationErrorCode::Stopped, "the replica has stopped: " + failure_ };
}

ReplicationResult<std::string> Replica::Impl::Propose(const std::string& command, Duration timeout)
{
  if (command.size() > options_.maxCommandBytes) {
    return acp::Fail(ReplicationErrorCode::TooLarge,
                     "a command of " + std::to_string(command.size()) + " bytes exceeds " +
                       std::to_string(options_.maxCommandBytes));
  }
  auto promise = std::make_shared<std::promise<ReplicationResult<std::string>>>();
  auto answer = promise->get_future();
  Post([&](Inbox& inbox) { inbox.proposals.push_back({ command, std::move(promise) }); });
  if (answer.wait_for(timeout) != std::future_status::ready) {
    return acp::Fail(ReplicationErrorCode::Unconfirmed, "the proposal was not committed in time");
  }
  return answer.get();
}

ReplicationResult<Duration> Replica::Impl::LeadershipConfirmationAge() const
{
  const std::lock_guard lock(publishedMutex_);
  if (!published_.confirmedAt) {
    return acp::Fail(ReplicationErrorCode::NotLeader, "replica " + self_.id + " does not lead");
  }
  return options_.clock->Now() - *published_.confirmedAt;
}

std::optional<Duration> Replica::Impl::LeadershipDuration() const
{
  const std::lock_guard lock(publishedMutex_);
  if (!published_.leaderSince) {
    return std::nullopt;
  }
  return options_.clock->Now() - *published_.leaderSince;
}

ReplicationResult<void> Replica::Impl::ReplaceReplica(const std::string& lostId,
                                                      const std::string& newId,
                                                      Duration timeout)
{
  auto promise = std::make_shared<std::promise<ReplicationResult<void>>>();
  auto answer = promise->get_future();
  Post([&](Inbox& inbox) { inbox.replacements.push_back({ lostId, newId, std::move(promise) }); });
  if (answer.wait_for(timeout) != std::future_status::ready) {
    return acp::Fail(ReplicationErrorCode::Unconfirmed,
                     "the replacement was not committed in time");
  }
  return answer.get();
}

ReplicaStatus Replica::Impl::Status() const
{
  const std::lock_guard lock(publishedMutex_);
  return published_.status;
}

} // namespace acp
