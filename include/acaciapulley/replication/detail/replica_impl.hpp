#pragma once

/// @file
/// The core thread of a replica, which runs RaftCore.

#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <cstdint>            // uint64_t
#include <future>             // promise
#include <memory>             // shared_ptr, unique_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/replication/detail/peer_channel.hpp"       // HelloReply, PeerSet
#include "acaciapulley/replication/detail/replica_workers.hpp"    // ApplyWorker, DiskWorker
#include "acaciapulley/replication/detail/replication_server.hpp" // ReplicationServer
#include "acaciapulley/replication/raft_core.hpp"                 // RaftCore
#include "acaciapulley/replication/replica.hpp"                   // Replica, ReplicaOptions

namespace acp {

class Replica::Impl
{
public:
  Impl(const ReplicaOptions& options,
       StateMachine& machine,
       std::unique_ptr<Storage> storage,
       StoredState state);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// @brief Starts the listener, unless the owner serves the processor, and the bootstrap if
  /// enabled.
  ReplicationResult<void> Listen();

  ReplicationResult<std::string> Propose(const std::string& command, Duration timeout);
  ReplicationResult<Duration> LeadershipConfirmationAge() const;
  std::optional<Duration> LeadershipDuration() const;
  ReplicationResult<void> ReplaceReplica(const std::string& lostId,
                                         const std::string& newId,
                                         Duration timeout);
  ReplicaStatus Status() const;
  std::shared_ptr<apache::thrift::TProcessor> Processor() const { return processor_; }

private:
  struct Proposal
  {
    std::string command;
    detail::ProposalPromise promise;
  };
  struct Replacement
  {
    std::string lostId;
    std::string newId;
    std::shared_ptr<std::promise<ReplicationResult<void>>> promise;
    std::uint64_t term = 0; ///< term in which the change was started
  };
  struct StateSnapshot
  {
    std::uint64_t index = 0;
    std::string state;
  };
  struct InitialSet
  {
    Membership membership;
    UnixMillis time{};
  };
  /// Input from the other threads for the core thread.
  struct Inbox
  {
    std::vector<RaftMessage> messages;
    std::size_t messageBytes = 0; ///< data of the messages and their entries
    std::vector<Proposal> proposals;
    std::vector<Replacement> replacements;
    std::uint64_t persisted = 0;
    std::uint64_t applied = 0;
    std::optional<StateSnapshot> snapshot;
    std::optional<InitialSet> initialSet;

    [[nodiscard]] bool IsEmpty() const;
  };
  /// State that the core thread publishes to the other threads.
  struct PublishedState
  {
    ReplicaStatus status;
    std::optional<TimePoint> confirmedAt;
    std::optional<TimePoint> leaderSince;
    std::string clusterId;
    std::optional<LogEntry> initialEntry;
  };

  void Run();
  void RunOnce(Inbox inbox);
  void Dispatch(RaftReady ready);
  void StartProposals(std::vector<Proposal> proposals);
  void StartReplacements(std::vector<Replacement> replacements);
  void FinishReplacements();
  void Bootstrap(const InitialSet& initialSet);
  void Publish();
  void MaintainVoters();
  void UpdatePeerAddresses(const std::vector<RaftMessage>& messages);
  void AbortPending(const ReplicationError& error);
  void ReportFailure(const ReplicationError& error);
  [[nodiscard]] ReplicationError StoppedError() const;

  void RunBootstrap();
  std::optional<InitialSet> FindInitialSet();
  bool MayBootstrapWith(std::size_t reachable);
  std::optional<InitialSet> ReadInitialSet(const detail::HelloReply& reply) const;

  template<typename Change>
  void Post(Change change);
  detail::HelloReply MakeHelloReply() const;
  void Deliver(std::vector<RaftMessage> messages);
  [[nodiscard]] RaftTime Time() const;

  ReplicaOptions options_;
  ReplicaRecord self_;
  RaftCore core_; ///< used only by the core thread
  detail::PeerSet peers_;
  std::vector<Replacement> replacements_;

  mutable std::mutex publishedMutex_;
  PublishedState published_;
  std::string failure_; ///< description of the error that stopped the replica

  std::mutex inboxMutex_;
  std::condition_variable inboxChanged_;
  Inbox inbox_;
  bool stopping_ = false;
  std::atomic<bool> failed_{ false };

  detail::ApplyWorker applier_;
  detail::DiskWorker disk_;
  std::shared_ptr<apache::thrift::TProcessor> processor_;
  std::unique_ptr<detail::ReplicationServer> server_;
  std::thread thread_;
  std::thread bootstrapThread_;
  std::optional<TimePoint> restMissingSince_; ///< used by the bootstrap thread only
};

} // namespace acp
