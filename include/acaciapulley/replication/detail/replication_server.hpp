#pragma once

/// @file
/// The service that other replicas call.

#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <vector>     // vector

#include "acaciapulley/replication/detail/peer_channel.hpp" // HelloReply
#include "acaciapulley/replication/raft_types.hpp"          // RaftMessage
#include "acaciapulley/transport/address.hpp"               // Address

namespace apache::thrift {
class TProcessor;
} // namespace apache::thrift

namespace acp::detail {

/// Callbacks of the service, called from the connection threads.
struct ReplicationHooks
{
  std::function<HelloReply()> hello;
  std::function<void(std::vector<RaftMessage>)> deliver;
};

/// @brief Creates the Thrift processor of the service.
std::shared_ptr<apache::thrift::TProcessor> MakeReplicationProcessor(ReplicationHooks hooks);

/// A listener that serves a processor under kReplicationServiceName.
class ReplicationServer
{
public:
  /// @return the running server, or ListenFailed
  static ReplicationResult<std::unique_ptr<ReplicationServer>> Start(
    const Address& address,
    const std::shared_ptr<apache::thrift::TProcessor>& processor);

  ~ReplicationServer();
  ReplicationServer(const ReplicationServer&) = delete;
  ReplicationServer& operator=(const ReplicationServer&) = delete;

private:
  class Impl;
  explicit ReplicationServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

} // namespace acp::detail
