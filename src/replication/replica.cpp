#include "acaciapulley/replication/replica.hpp"

#include <utility> // move

#include <boost/outcome/try.hpp> // BOOST_OUTCOME_TRY

#include "acaciapulley/core/log.hpp"                        // Log
#include "acaciapulley/replication/detail/replica_impl.hpp" // Impl

namespace acp {

ReplicationResult<std::unique_ptr<Replica>> Replica::Start(const ReplicaOptions& options,
                                                           StateMachine& stateMachine)
{
  BOOST_OUTCOME_TRY(disk, FolderDisk::Open(options.dataFolder));
  auto storage = std::make_unique<FileStorage>(std::move(disk), FileStorageOptions{});
  BOOST_OUTCOME_TRY(state, storage->Load());
  if (!state.tornFile.empty()) {
    Log(LogLevel::Warning,
        "torn_tail_cut",
        { { "file", state.tornFile }, { "offset", std::to_string(state.tornOffset) } });
  }
  auto impl = std::make_unique<Impl>(options, stateMachine, std::move(storage), std::move(state));
  BOOST_OUTCOME_TRYV(impl->Listen());
  return std::unique_ptr<Replica>(new Replica(std::move(impl)));
}

Replica::Replica(std::unique_ptr<Impl> impl)
  : impl_(std::move(impl))
{
}

Replica::~Replica() = default;

ReplicationResult<std::string> Replica::Propose(const std::string& command, Duration timeout)
{
  return impl_->Propose(command, timeout);
}

ReplicationResult<Duration> Replica::LeadershipConfirmationAge()
{
  return impl_->LeadershipConfirmationAge();
}

std::optional<Duration> Replica::LeadershipDuration() const
{
  return impl_->LeadershipDuration();
}

ReplicationResult<void> Replica::ReplaceReplica(const std::string& lostId,
                                                const std::string& newId,
                                                Duration timeout)
{
  return impl_->ReplaceReplica(lostId, newId, timeout);
}

ReplicaStatus Replica::Status() const
{
  return impl_->Status();
}

std::shared_ptr<apache::thrift::TProcessor> Replica::Processor() const
{
  return impl_->Processor();
}

} // namespace acp
