#include "acaciapulley/replication/detail/replication_server.hpp"

#include <future>  // promise
#include <thread>  // thread
#include <utility> // move

#include <thrift/processor/TMultiplexedProcessor.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include "acaciapulley/replication/detail/wire_messages.hpp" // FromWire, ToWire
#include "acaciapulley/replication/replica.hpp"              // kReplicationServiceName
#include "acaciapulley/transport/detail/thrift_limits.hpp"   // Bounded..., GuardProcessor
#include "gen/ReplicationService.h"

namespace acp::detail {

namespace {

class Handler final : public wire::ReplicationServiceIf
{
public:
  explicit Handler(ReplicationHooks hooks)
    : hooks_(std::move(hooks))
  {
  }

  void Hello(wire::ReplicaHello& reply) override
  {
    const HelloReply answer = hooks_.hello();
    reply.id = answer.id;
    reply.clusterId = answer.clusterId;
    reply.operatorAddress = answer.operatorAddress;
    if (answer.initialEntry) {
      reply.__set_initialEntry(ToWire(*answer.initialEntry));
    }
  }

  void Deliver(const std::vector<wire::ReplicaMessage>& messages) override
  {
    std::vector<RaftMessage> converted;
    converted.reserve(messages.size());
    for (const auto& message : messages) {
      converted.push_back(FromWire(message));
    }
    hooks_.deliver(std::move(converted));
  }

private:
  ReplicationHooks hooks_;
};

/// Signals that the server is listening.
class ListenEventHandler final : public apache::thrift::server::TServerEventHandler
{
public:
  void preServe() override { listening.set_value(); }
  std::promise<void> listening;
};

} // namespace

std::shared_ptr<apache::thrift::TProcessor> MakeReplicationProcessor(ReplicationHooks hooks)
{
  return std::make_shared<wire::ReplicationServiceProcessor>(
    std::make_shared<Handler>(std::move(hooks)));
}

class ReplicationServer::Impl
{
public:
  Impl(const Address& address, const std::shared_ptr<apache::thrift::TProcessor>& processor)
    : listenEventHandler_(std::make_shared<ListenEventHandler>())
  {
    using namespace apache::thrift; // NOLINT(google-build-using-namespace)
    auto multiplexed = std::make_shared<TMultiplexedProcessor>();
    multiplexed->registerProcessor(kReplicationServiceName, processor);
    server_ = std::make_unique<server::TThreadedServer>(
      GuardProcessor(multiplexed),
      std::make_shared<transport::TServerSocket>(address.ip, address.port),
      std::make_shared<BoundedTransportFactory>(),
      std::make_shared<BoundedProtocolFactory>());
    server_->setServerEventHandler(listenEventHandler_);
    thread_ = std::thread([this] { Serve(); });
  }

  ~Impl()
  {
    server_->stop();
    thread_.join();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// Waits until the server is listening; rethrows the exception if it cannot listen.
  void WaitUntilListening() { listenEventHandler_->listening.get_future().get(); }

private:
  void Serve()
  {
    try {
      server_->serve();
    } catch (const apache::thrift::TException&) {
      listenEventHandler_->listening.set_exception(std::current_exception());
    }
  }

  std::shared_ptr<ListenEventHandler> listenEventHandler_;
  std::unique_ptr<apache::thrift::server::TServer> server_;
  std::thread thread_;
};

ReplicationServer::ReplicationServer(std::unique_ptr<Impl> impl)
  : impl_(std::move(impl))
{
}

ReplicationServer::~ReplicationServer() = default;

ReplicationResult<std::unique_ptr<ReplicationServer>> ReplicationServer::Start(
  const Address& address,
  const std::shared_ptr<apache::thrift::TProcessor>& processor)
{
  auto impl = std::make_unique<Impl>(address, processor);
  try {
    impl->WaitUntilListening();
  } catch (const apache::thrift::TException& e) {
    return Fail(ReplicationErrorCode::ListenFailed, address.ToString() + ": " + e.what());
  }
  return std::unique_ptr<ReplicationServer>(new ReplicationServer(std::move(impl)));
}

} // namespace acp::detail
