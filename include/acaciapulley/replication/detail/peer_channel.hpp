#pragma once

/// @file
/// Connections to other replicas.

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

/// Identity, cluster and operator address of a replica, as it reports them.
struct HelloReply
{
  std::string id;
  std::string clusterId; ///< empty if the replica belongs to no cluster
  std::string operatorAddress;
  std::optional<LogEntry> initialEntry;
};

/// @brief Requests the identity of the replica at @p address over a separate connection.
/// @return the reply, or nothing if the call fails or times out
std::optional<HelloReply> RequestHello(const Address& address, Duration timeout);

/// Sends messages to one address, in order, from its own thread. Messages that cannot be sent are
/// dropped; Raft retransmits what is still needed.
class PeerChannel
{
public:
  PeerChannel(Address address, Duration timeout);
  ~PeerChannel();
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  /// @brief Queues @p message; drops it if the queue is full.
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
  std::unique_ptr<Connection> connection_; ///< used only by the thread
  bool isReachable_ = false;               ///< used only by the thread
  std::thread thread_;
};

/// The channels to all peers, and the addresses of the known identities. Thread-safe.
class PeerSet
{
public:
  PeerSet(Address self, std::vector<Address> configuredAddresses, Duration timeout);

  /// @brief Sets the address of replica @p id. Ignores invalid addresses and the address of this
  /// replica.
  void SetAddress(const std::string& id, const std::string& rpcAddress);

  /// @brief Sends @p message to its recipient, or to all known addresses if it has none.
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
