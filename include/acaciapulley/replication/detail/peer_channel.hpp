#pragma once

/// @file
/// Sending to other replicas.

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <map>                // map
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <thread>             // thread
#include <vector>             // vector

#include "acaciapulley/core/clock.hpp"             // Duration
#include "acaciapulley/replication/raft_types.hpp" // RaftMessage
#include "acaciapulley/transport/address.hpp"      // Address

namespace acp::detail {

/// What a replica tells about itself.
struct HelloReply
{
  std::string id;
  std::string clusterId; ///< empty for a replica that belongs to none
  std::string operatorAddress;
  std::optional<LogEntry> initialEntry;
};

/// @brief Asks the replica at @p address for its identity on a connection of its own.
/// @return nothing when it does not answer in time
std::optional<HelloReply> RequestHello(const Address& address, Duration timeout);

/// Messages to one address, sent in order by a thread. What cannot be sent is dropped: the protocol
/// repeats what matters.
class PeerChannel
{
public:
  PeerChannel(Address address, Duration timeout);
  ~PeerChannel();
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  /// @brief Queues @p message; drops it when too much is waiting.
  void Send(RaftMessage message);

private:
  class Connection;

  void Run();
  bool Deliver(const std::vector<RaftMessage>& batch);

  Address address_;
  Duration timeout_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<RaftMessage> queue_;
  std::size_t queuedBytes_ = 0;
  bool stopping_ = false;
  std::unique_ptr<Connection> connection_; ///< used by the thread only
  bool isReachable_ = false;               ///< used by the thread only
  std::thread thread_;
};

/// The channels to all peers, and the addresses of the identities heard of. Safe for many threads.
class PeerSet
{
public:
  PeerSet(Address self, std::vector<Address> configuredAddresses, Duration timeout);

  /// @brief Notes that @p id is reached at @p rpcAddress.
  void SetAddress(const std::string& id, const std::string& rpcAddress);

  /// @brief Sends @p message to its addressee, or to all known addresses when it has none.
  void Send(const RaftMessage& message);

private:
  void SendTo(const Address& address, const RaftMessage& message);

  Address self_;
  std::vector<Address> configuredAddresses_;
  Duration timeout_;
  std::mutex mutex_;
  std::map<std::string, Address> addresses_;
  std::map<std::string, std::unique_ptr<PeerChannel>> channels_;
};

} // namespace acp::detail
