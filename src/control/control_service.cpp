#include "acaciapulley/control/control_service.hpp"

#include <thread> // thread

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include "acaciapulley/control/detail/operator_api.hpp" // OperatorApi
#include "acaciapulley/control/detail/rpc_handler.hpp"  // RpcHandler
#include "acaciapulley/transport/http_server.hpp"       // HttpServer

namespace acp {

class ControlProcess::Impl
{
public:
  explicit Impl(const ControlProcessOptions& options)
    : operatorApi_(state_, *options.clock, options.operatorKeyHash)
    , operatorServer_({ .address = options.operatorAddress,
                        .maxConnections = 64,
                        .handler = [this](ServerExchange& e) { operatorApi_.Handle(e); } })
    , rpcServer_(MakeRpcServer(options))
    , rpcThread_([this] { rpcServer_->serve(); })
  {
  }

  ~Impl() { StopRpc(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Stop(Duration patience)
  {
    StopRpc();
    operatorServer_.Stop(patience);
  }

private:
  std::unique_ptr<apache::thrift::server::TServer> MakeRpcServer(
    const ControlProcessOptions& options)
  {
    using apache::thrift::protocol::TCompactProtocolFactory;
    using apache::thrift::server::TThreadedServer;
    using apache::thrift::transport::TFramedTransportFactory;
    using apache::thrift::transport::TServerSocket;
    auto handler = std::make_shared<detail::RpcHandler>(state_, *options.clock);
    return std::make_unique<TThreadedServer>(
      std::make_shared<wire::ControlServiceProcessor>(handler),
      std::make_shared<TServerSocket>(options.rpcAddress.ip, options.rpcAddress.port),
      std::make_shared<TFramedTransportFactory>(),
      std::make_shared<TCompactProtocolFactory>());
  }

  void StopRpc()
  {
    if (rpcThread_.joinable()) {
      rpcServer_->stop();
      rpcThread_.join();
    }
  }

  SharedState state_;
  detail::OperatorApi operatorApi_;
  HttpServer operatorServer_;
  std::unique_ptr<apache::thrift::server::TServer> rpcServer_;
  std::thread rpcThread_;
};

ControlProcess::ControlProcess(const ControlProcessOptions& options)
  : impl_(std::make_unique<Impl>(options))
{
}

ControlProcess::~ControlProcess() = default;

void ControlProcess::Stop(Duration patience)
{
  impl_->Stop(patience);
}

} // namespace acp
