#include "acaciapulley/transport/control_channel.hpp"

#include <utility> // move

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include "gen/ControlService.h"

namespace acp {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;
using apache::thrift::transport::TTransportException;

int ToMillis(Duration span)
{
  return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

class ControlChannel::Connection
{
public:
  Connection(const Address& address, Duration timeout)
    : socket_(std::make_shared<TSocket>(address.ip, address.port))
    , client_(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket_)))
  {
    socket_->setConnTimeout(ToMillis(timeout));
    socket_->setRecvTimeout(ToMillis(timeout));
    socket_->setSendTimeout(ToMillis(timeout));
    socket_->setNoDelay(true);
    socket_->open();
  }

  wire::ControlServiceClient& Client() { return client_; }

private:
  std::shared_ptr<TSocket> socket_;
  wire::ControlServiceClient client_;
};

ControlChannel::ControlChannel(ControlChannelOptions options)
  : options_(std::move(options))
{
}

ControlChannel::~ControlChannel() = default;

void ControlChannel::MoveToNextReplica()
{
  connection_.reset();
  current_ = (current_ + 1) % options_.replicas.size();
}

TransportResult<void> ControlChannel::CallOnce(
  const std::function<void(wire::ControlServiceIf& control)>& call)
{
  const std::string where = options_.replicas[current_].ToString();
  bool isConnected = false;
  try {
    if (!connection_) {
      connection_ = std::make_unique<Connection>(options_.replicas[current_], options_.timeout);
    }
    isConnected = true;
    call(connection_->Client());
    return boost::outcome_v2::success();
  } catch (const wire::NotLeader& e) {
    const auto hint = Address::Parse(e.leaderRpcAddress);
    MoveToNextReplica();
    for (std::size_t i = 0; hint && i < options_.replicas.size(); ++i) {
      if (options_.replicas[i] == hint.value()) {
        current_ = i;
      }
    }
    return Fail(TransportErrorCode::NotLeader, where + " does not lead");
  } catch (const wire::ControlFailure& e) {
    return Fail(TransportErrorCode::Refused, e.message);
  } catch (const apache::thrift::TException& e) {
    const auto* transport = dynamic_cast<const TTransportException*>(&e);
    const bool timedOut =
      transport != nullptr && transport->getType() == TTransportException::TIMED_OUT;
    MoveToNextReplica();
    if (!isConnected) {
      return Fail(TransportErrorCode::Unreachable, where + ": " + e.what());
    }
    return Fail(timedOut ? TransportErrorCode::Timeout : TransportErrorCode::ConnectionLost,
                where + ": " + e.what());
  }
}

TransportResult<void> ControlChannel::Call(
  const std::function<void(wire::ControlServiceIf& control)>& call)
{
  TransportResult<void> result = Fail(TransportErrorCode::NotLeader, "no control replica is set");
  // One extra round reaches the leader that the last follower named.
  for (std::size_t i = 0; i < options_.replicas.size() + 1; ++i) {
    result = CallOnce(call);
    if (result || result.error().code == TransportErrorCode::Refused) {
      return result;
    }
  }
  return result;
}

} // namespace acp
