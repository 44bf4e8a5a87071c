#include "acaciapulley/transport/control_channel.hpp"

#include <algorithm> // find, min
#include <utility>   // move

#include <thrift/TOutput.h>
#include <thrift/transport/TSocket.h>

#include "acaciapulley/core/log.hpp"                       // Log
#include "acaciapulley/transport/detail/thrift_limits.hpp" // IsMalformedMessage, MakeBoundedProtocol
#include "gen/ControlService.h"

namespace acp {

namespace {

// More than the 7 hosts that a fleet reserves for control, to leave room for replacements.
constexpr std::size_t kMaxReplicas = 64;
// A host without power does not respond at all; the next replica is tried instead.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

int ToMillis(Duration span)
{
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

void RedirectThriftOutput()
{
  apache::thrift::GlobalOutput.setOutputFunction([](const char* text) {
    Log(LogLevel::Warning, "thrift", { { "message", text } });
  });
}

class ControlChannel::Connection
{
public:
  Connection(std::size_t replica, const Address& address, Duration timeout)
    : replica_(replica)
    , socket_(std::make_shared<TSocket>(address.ip, address.port))
    , client_(detail::MakeBoundedProtocol(socket_, timeout))
  {
    socket_->setConnTimeout(ToMillis(std::min(timeout, kConnectTimeout)));
    socket_->setRecvTimeout(ToMillis(timeout));
    socket_->setSendTimeout(ToMillis(timeout));
    socket_->setNoDelay(true);
    socket_->open();
  }

  wire::ControlServiceClient& Client() { return client_; }
  [[nodiscard]] std::size_t Replica() const { return replica_; }
  void Touch() { lastUsed_ = std::chrono::steady_clock::now(); }
  [[nodiscard]] TimePoint LastUsed() const { return lastUsed_; }

private:
  std::size_t replica_;
  std::shared_ptr<TSocket> socket_;
  wire::ControlServiceClient client_;
  TimePoint lastUsed_;
};

ControlChannel::ControlChannel(ControlChannelOptions options)
  : options_(std::move(options))
  , replicas_(options_.replicas)
{
  RedirectThriftOutput();
}

ControlChannel::~ControlChannel() = default;

bool ControlChannel::AcquireSlot(TimePoint deadline)
{
  std::unique_lock lock(mutex_);
  const bool isAcquired =
    slotFreed_.wait_until(lock, deadline, [this] { return inUse_ < options_.maxConnections; });
  inUse_ += isAcquired ? 1 : 0;
  return isAcquired;
}

void ControlChannel::ReleaseSlot()
{
  {
    const std::lock_guard lock(mutex_);
    --inUse_;
  }
  slotFreed_.notify_one();
}

std::size_t ControlChannel::LeaderIndex()
{
  const std::lock_guard lock(mutex_);
  return leaderIndex_;
}

ControlChannel::ConnectionPtr ControlChannel::PopIdle(std::size_t replica)
{
  const TimePoint oldest = std::chrono::steady_clock::now() - options_.idleTimeout;
  std::vector<ConnectionPtr> closed; // destroyed after the lock is released
  const std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    ConnectionPtr connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->Replica() == replica && connection->LastUsed() >= oldest) {
      return connection;
    }
    closed.push_back(std::move(connection));
  }
  return nullptr;
}

void ControlChannel::Release(ConnectionPtr connection)
{
  connection->Touch();
  const std::lock_guard lock(mutex_);
  idle_.push_back(std::move(connection));
}

/// Closes the idle connections to a replica that failed, since they are likely broken too.
void ControlChannel::CloseIdle(std::size_t replica)
{
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_, [replica](const ConnectionPtr& idle) { return idle->Replica() == replica; });
}

void ControlChannel::TryNextAfter(std::size_t replica, const FailedReplicas& failed)
{
  const std::lock_guard lock(mutex_);
  // Another thread may already have moved on to the leader.
  if (leaderIndex_ != replica) {
    return;
  }
  leaderIndex_ = (replica + 1) % replicas_.size();
  for (std::size_t i = 1; i < replicas_.size() && failed.contains(leaderIndex_); ++i) {
    leaderIndex_ = (leaderIndex_ + 1) % replicas_.size();
  }
}

/// Continues with the replica that @p from has named. A replica that does not know yet that the
/// named one is lost would otherwise send the call back to it until the call ends.
void ControlChannel::FollowLeaderHint(const Address& leader,
                                      std::size_t from,
                                      const FailedReplicas& failed)
{
  AddReplicas({ leader });
  {
    const std::lock_guard lock(mutex_);
    const auto found = std::find(replicas_.begin(), replicas_.end(), leader);
    const auto index = static_cast<std::size_t>(found - replicas_.begin());
    if (found != replicas_.end() && !failed.contains(index)) {
      leaderIndex_ = index;
      return;
    }
  }
  TryNextAfter(from, failed);
}

void ControlChannel::AddReplicas(const std::vector<Address>& replicas)
{
  const std::lock_guard lock(mutex_);
  for (const auto& address : replicas) {
    const bool isKnown = std::find(replicas_.begin(), replicas_.end(), address) != replicas_.end();
    if (!isKnown && replicas_.size() < kMaxReplicas) {
      replicas_.push_back(address);
    }
  }
}

void ControlChannel::Prefer(const Address& replica)
{
  AddReplicas({ replica });
  const std::lock_guard lock(mutex_);
  const auto found = std::find(replicas_.begin(), replicas_.end(), replica);
  if (found != replicas_.end()) {
    leaderIndex_ = static_cast<std::size_t>(found - replicas_.begin());
  }
}

Address ControlChannel::Preferred()
{
  const std::lock_guard lock(mutex_);
  return replicas_.empty() ? Address{} : replicas_[leaderIndex_];
}

Address ControlChannel::AddressOf(std::size_t replica)
{
  const std::lock_guard lock(mutex_);
  return replicas_[replica];
}

std::size_t ControlChannel::ReplicaCount()
{
  const std::lock_guard lock(mutex_);
  return replicas_.size();
}

TransportResult<void> ControlChannel::CallReplica(const ControlCall& call,
                                                  std::size_t replica,
                                                  FailedReplicas& failed)
{
  const Address address = AddressOf(replica);
  const std::string where = address.ToString();
  bool isConnected = false;
  bool isReused = false;
  try {
    ConnectionPtr connection = PopIdle(replica);
    isReused = connection != nullptr;
    if (!connection) {
      connection = std::make_unique<Connection>(replica, address, options_.timeout);
    }
    isConnected = true;
    try {
      call(connection->Client());
    } catch (const wire::NotLeader&) {
      Release(std::move(connection));
      throw;
    } catch (const wire::ControlFailure&) {
      Release(std::move(connection));
      throw;
    }
    Release(std::move(connection));
    return boost::outcome_v2::success();
  } catch (const wire::NotLeader& e) {
    failed.insert(replica);
    const auto hint = Address::Parse(e.leaderRpcAddress);
    if (hint) {
      FollowLeaderHint(hint.value(), replica, failed);
    } else {
      TryNextAfter(replica, failed);
    }
    return Fail(TransportErrorCode::NotLeader, where + " is not the leader");
  } catch (const wire::ControlFailure& e) {
    return Fail(TransportErrorCode::Refused, e.message);
  } catch (const apache::thrift::TException& e) {
    const auto* transport = dynamic_cast<const TTransportException*>(&e);
    const bool timedOut =
      transport != nullptr && transport->getType() == TTransportException::TIMED_OUT;
    CloseIdle(replica);
    // The end of a connection that was kept open does not show that its replica is lost.
    if (timedOut || !isReused) {
      failed.insert(replica);
    }
    TryNextAfter(replica, failed);
    if (!isConnected) {
      return Fail(TransportErrorCode::Unreachable, where + ": " + e.what());
    }
    if (!timedOut && detail::IsMalformedMessage(e)) {
      Log(LogLevel::Warning, "control_reply_refused", { { "peer", where }, { "error", e.what() } });
    }
    return Fail(timedOut ? TransportErrorCode::Timeout : TransportErrorCode::ConnectionLost,
                where + ": " + e.what());
  }
}

TransportResult<void> ControlChannel::CallWithFailover(const ControlCall& call, TimePoint deadline)
{
  TransportResult<void> result =
    Fail(TransportErrorCode::NotLeader, "no control replica is configured");
  FailedReplicas failed;
  // One extra attempt reaches the leader that the last follower named.
  for (std::size_t i = 0; i < ReplicaCount() + 1; ++i) {
    result = CallReplica(call, LeaderIndex(), failed);
    const bool isFinal = result || result.error().code == TransportErrorCode::Refused;
    if (isFinal || std::chrono::steady_clock::now() >= deadline) {
      return result;
    }
  }
  return result;
}

TransportResult<void> ControlChannel::Call(const ControlCall& call)
{
  if (ReplicaCount() == 0) {
    return Fail(TransportErrorCode::NotLeader, "no control replica is configured");
  }
  const TimePoint start = std::chrono::steady_clock::now();
  if (!AcquireSlot(start + options_.timeout)) {
    return Fail(TransportErrorCode::Unreachable, "all connections to control are in use");
  }
  // Also released if the call throws an exception that is not Thrift's.
  const std::unique_ptr<ControlChannel, void (*)(ControlChannel*)> slot(
    this, [](ControlChannel* channel) { channel->ReleaseSlot(); });
  return CallWithFailover(call, start + options_.callBudget);
}

} // namespace acp
