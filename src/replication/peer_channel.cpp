#include "acaciapulley/replication/detail/peer_channel.hpp"

#include <algorithm> // find
#include <utility>   // exchange, move

#include <thrift/TOutput.h>
#include <thrift/protocol/TMultiplexedProtocol.h>
#include <thrift/transport/TSocket.h>

#include "acaciapulley/core/log.hpp"                         // Log
#include "acaciapulley/core/random.hpp"                      // Jittered
#include "acaciapulley/replication/detail/wire_messages.hpp" // ToWire, FromWire
#include "acaciapulley/replication/replica.hpp"              // kReplicationServiceName
#include "acaciapulley/transport/detail/thrift_limits.hpp" // MakeBoundedProtocol, kMaxThriftFrameBytes
#include "gen/ReplicationService.h"

namespace acp::detail {

namespace {

using apache::thrift::protocol::TMultiplexedProtocol;
using apache::thrift::transport::TSocket;

/// Bytes that can be queued for one peer, which are sent as one frame. Further messages are
/// dropped; Raft retransmits what is still needed.
constexpr std::size_t kMaxQueuedBytes = 12U << 20U;
static_assert(kMaxQueuedBytes < kMaxThriftFrameBytes);
constexpr std::size_t kMaxQueuedMessages = 8192;

/// Fixed part of the size of a message, so that many messages without data count as well.
constexpr std::size_t kMessageOverheadBytes = 200;

/// Delay after a failed delivery, so that an unreachable peer costs few resources.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr double kRetryJitter = 0.2;

std::size_t SizeOf(const RaftMessage& message)
{
  std::size_t size = kMessageOverheadBytes + message.data.size();
  for (const auto& entry : message.entries) {
    size += entry.data.size();
  }
  return size;
}

/// Redirects the output of Thrift to the log; by default Thrift writes to standard error for each
/// refused connection.
void RedirectThriftOutput()
{
  static std::once_flag once;
  std::call_once(once, [] {
    apache::thrift::GlobalOutput.setOutputFunction([](const char* text) {
      Log(LogLevel::Debug, "thrift", { { "text", text } });
    });
  });
}

/// Logs the error of a call if the reply was malformed; failed connections are logged by Run().
void LogIfMalformed(const Address& peer, const apache::thrift::TException& error)
{
  using apache::thrift::transport::TTransportException;
  const auto* transport = dynamic_cast<const TTransportException*>(&error);
  const bool timedOut =
    transport != nullptr && transport->getType() == TTransportException::TIMED_OUT;
  if (!timedOut && IsMalformedMessage(error)) {
    Log(LogLevel::Warning,
        "replica_reply_refused",
        { { "peer", peer.ToString() }, { "error", error.what() } });
  }
}

int ToMillis(Duration span)
{
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

class PeerChannel::Connection
{
public:
  Connection(const Address& address, Duration timeout)
    : socket_(std::make_shared<TSocket>(address.ip, address.port))
    , client_(std::make_shared<TMultiplexedProtocol>(MakeBoundedProtocol(socket_, timeout),
                                                     kReplicationServiceName))
  {
    socket_->setConnTimeout(ToMillis(timeout));
    socket_->setRecvTimeout(ToMillis(timeout));
    socket_->setSendTimeout(ToMillis(timeout));
    socket_->setNoDelay(true);
    socket_->open();
  }

  wire::ReplicationServiceClient& Client() { return client_; }

private:
  std::shared_ptr<TSocket> socket_;
  wire::ReplicationServiceClient client_;
};

std::optional<HelloReply> RequestHello(const Address& address, Duration timeout)
{
  try {
    const auto socket = std::make_shared<TSocket>(address.ip, address.port);
    socket->setConnTimeout(ToMillis(timeout));
    socket->setRecvTimeout(ToMillis(timeout));
    socket->setSendTimeout(ToMillis(timeout));
    socket->open();
    wire::ReplicationServiceClient client(std::make_shared<TMultiplexedProtocol>(
      MakeBoundedProtocol(socket, timeout), kReplicationServiceName));
    wire::ReplicaHello hello;
    client.Hello(hello);
    HelloReply reply;
    reply.id = hello.id;
    reply.clusterId = hello.clusterId;
    reply.operatorAddress = hello.operatorAddress;
    if (hello.__isset.initialEntry) {
      reply.initialEntry = FromWire(hello.initialEntry);
    }
    return reply;
  } catch (const apache::thrift::TException& e) {
    LogIfMalformed(address, e);
    return std::nullopt;
  }
}

PeerChannel::PeerChannel(Address address, Duration timeout)
  : address_(std::move(address))
  , timeout_(timeout)
  , thread_([this] { Run(); })
{
}

PeerChannel::~PeerChannel()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void PeerChannel::Send(RaftMessage message)
{
  const std::size_t size = SizeOf(message);
  {
    const std::lock_guard lock(mutex_);
    if (queuedBytes_ + size > kMaxQueuedBytes || queue_.size() >= kMaxQueuedMessages) {
      return;
    }
    queuedBytes_ += size;
    queue_.push_back(std::move(message));
  }
  changed_.notify_one();
}

void PeerChannel::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    const auto batch = std::exchange(queue_, {});
    queuedBytes_ = 0;
    lock.unlock();
    const bool isDelivered = batch.empty() || Deliver(batch);
    if (!batch.empty() && isDelivered != isReachable_) {
      isReachable_ = isDelivered;
      Log(isReachable_ ? LogLevel::Info : LogLevel::Warning,
          isReachable_ ? "replica_reachable" : "replica_unreachable",
          { { "address", address_.ToString() } });
    }
    lock.lock();
    if (!isDelivered) {
      changed_.wait_for(lock, Jittered(kRetryDelay, kRetryJitter), [this] { return stopping_; });
      queue_.clear();
      queuedBytes_ = 0;
    }
  }
}

bool PeerChannel::Deliver(const std::vector<RaftMessage>& batch)
{
  std::vector<wire::ReplicaMessage> messages;
  messages.reserve(batch.size());
  for (const auto& message : batch) {
    messages.push_back(ToWire(message));
  }
  try {
    if (!connection_) {
      connection_ = std::make_unique<Connection>(address_, timeout_);
    }
    connection_->Client().Deliver(messages);
    return true;
  } catch (const apache::thrift::TException& e) {
    LogIfMalformed(address_, e);
    // After a timeout the reply may still arrive, so the connection must not be used again.
    connection_.reset();
    return false;
  }
}

PeerSet::PeerSet(Address self, std::vector<Address> configuredAddresses, Duration timeout)
  : self_(std::move(self))
  , configuredAddresses_(std::move(configuredAddresses))
  , timeout_(timeout)
{
  RedirectThriftOutput();
}

void PeerSet::SetAddress(const std::string& id, const std::string& rpcAddress)
{
  const auto address = Address::Parse(rpcAddress);
  if (address && !(address.value() == self_)) {
    const std::lock_guard lock(mutex_);
    addresses_.insert_or_assign(id, address.value());
  }
}

void PeerSet::Send(const RaftMessage& message)
{
  const std::lock_guard lock(mutex_);
  if (message.to.empty()) {
    std::vector<Address> targets = configuredAddresses_;
    for (const auto& [id, address] : addresses_) {
      if (std::find(targets.begin(), targets.end(), address) == targets.end()) {
        targets.push_back(address);
      }
    }
    for (const auto& address : targets) {
      SendTo(address, message);
    }
    return;
  }
  const auto found = addresses_.find(message.to);
  if (found != addresses_.end()) {
    SendTo(found->second, message);
  }
}

void PeerSet::SendTo(const Address& address, const RaftMessage& message)
{
  if (address == self_) {
    return;
  }
  auto& channel = channels_[address.ToString()];
  if (!channel) {
    channel = std::make_unique<PeerChannel>(address, timeout_);
  }
  channel->Send(message);
}

} // namespace acp::detail
