#include "acaciapulley/control/control_process.hpp"

#include <algorithm> // clamp
#include <atomic>    // atomic
#include <cstdint>   // int64_t
#include <mutex>     // timed_mutex, unique_lock
#include <stdexcept> // runtime_error
#include <thread>    // sleep_for, thread
#include <utility>   // move

#include <sys/resource.h> // getrlimit
#include <thrift/processor/TMultiplexedProcessor.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TServerSocket.h>

#include "acaciapulley/config/fleet_document.hpp"            // FleetDocument
#include "acaciapulley/control/detail/node_event_writer.hpp" // NodeEventWriter
#include "acaciapulley/control/detail/operator_api.hpp"      // OperatorApi
#include "acaciapulley/control/detail/rpc_handler.hpp"       // RpcHandler
#include "acaciapulley/control/poll_relay.hpp"               // PollRelay
#include "acaciapulley/control/token_relay.hpp"              // TokenRelay
#include "acaciapulley/core/log.hpp"                         // Log
#include "acaciapulley/transport/control_channel.hpp"        // ControlChannel
#include "acaciapulley/transport/detail/accept_outage.hpp"   // HandleAcceptFailure
#include "acaciapulley/transport/detail/thrift_limits.hpp"   // Bounded..., GuardProcessor
#include "acaciapulley/transport/http_server.hpp"            // HttpServer

namespace acp {

namespace {

constexpr int kMaxOperatorConnections = 64;
// Allows a few connections for each of 540 nodes.
constexpr int kMaxRpcConnections = 4096;
constexpr int kMinRpcConnections = 64;
constexpr std::int64_t kOtherDescriptors = 256;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr int kSendTimeoutMillis = 5000;
// Below TokenRelayOptions::maxWait, so that a failed call ends before the requests time out.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(300);
// Below kMaxRelayedAge; long enough for a leader whose nodes all poll it after a restart.
constexpr Duration kPollRelayTimeout = std::chrono::milliseconds(1200);
constexpr Duration kPutFleetTimeout = std::chrono::seconds(3);

/// A server socket that can be opened before the server thread starts, so that a failure to bind is
/// reported at start. It goes on accepting after a short shortage of descriptors or memory, for
/// which TServerFramework would end the server; a lasting one ends the process.
class ListeningSocket final : public apache::thrift::transport::TServerSocket
{
public:
  using TServerSocket::TServerSocket;

  void interrupt() override
  {
    isInterrupted_ = true;
    TServerSocket::interrupt();
  }

  void listen() override
  {
    if (!isOpen()) {
      TServerSocket::listen();
    }
  }

protected:
  std::shared_ptr<apache::thrift::transport::TTransport> acceptImpl() override
  {
    while (true) {
      try {
        auto accepted = TServerSocket::acceptImpl();
        outage_.RecordSuccess();
        return accepted;
      } catch (const apache::thrift::transport::TTransportException& e) {
        if (isInterrupted_ ||
            e.getType() == apache::thrift::transport::TTransportException::INTERRUPTED) {
          throw;
        }
        detail::HandleAcceptFailure(outage_, e.what(), kMaxAcceptOutage);
        std::this_thread::sleep_for(kAcceptRetryDelay);
      }
    }
  }

private:
  std::atomic<bool> isInterrupted_{ false };
  detail::AcceptOutage outage_; ///< used on the server's thread only
};

/// Returns the maximum number of rpc connections: files, other listeners and the replicas' own
/// connections need descriptors as well.
int MaxRpcConnections()
{
  rlimit limit{};
  const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  const auto available =
    isKnown ? static_cast<std::int64_t>(limit.rlim_cur) - kOtherDescriptors : kMaxRpcConnections;
  return static_cast<int>(
    std::clamp<std::int64_t>(available, kMinRpcConnections, kMaxRpcConnections));
}

} // namespace

class ControlProcess::Impl
{
public:
  explicit Impl(const ControlProcessOptions& options)
    : context_{ .clock = *options.clock,
                .log = *options.log,
                .state = *options.state,
                .hooks = options.hooks,
                .operators = options.operators,
                .relay = &relay_,
                .pollRelay = &pollRelay_,
                .changeSignal = &changeSignal_ }
    , relay_(
        { .callLeader = [this](const auto& call) { return CallLeader(leaderChannel_, call); } })
    , pollRelay_(
        { .clock = options.clock,
          .rpcAddress = options.rpcAddress.ToString(),
          .isFollower = [this] { return IsFollower(); },
          .appliedIndex = [this] { return context_.log.Status().appliedIndex; },
          .callLeader = [this](const auto& call) { return CallLeader(pollChannel_, call); },
          .publishAsLeader = [this] { PublishMembers(); },
          .onChanged = [this] { changeSignal_.Notify(); },
          .isLargeFleet = [this] { return context_.IsLargeFleet(); } })
    , operatorApi_(context_, [](Duration pause) { std::this_thread::sleep_for(pause); })
    , operatorServer_({ .address = options.operatorAddress,
                        .maxConnections = kMaxOperatorConnections,
                        .handler = [this](ServerExchange& e) { operatorApi_.Handle(e); },
                        .maxAcceptOutage = kMaxAcceptOutage })
    , rpcSocket_(OpenSocket(options.rpcAddress))
    , rpcServer_(MakeRpcServer(options))
    , rpcThread_([this] { rpcServer_->serve(); })
    , nodeEventWriter_(context_)
  {
    options.state->SetAppliedCallback([this] { changeSignal_.Notify(); });
  }

  ~Impl()
  {
    context_.state.SetAppliedCallback(nullptr);
    StopRpc();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  [[nodiscard]] std::uint16_t RpcPort() const
  {
    return static_cast<std::uint16_t>(rpcSocket_->getPort());
  }
  [[nodiscard]] std::uint16_t OperatorPort() const { return operatorServer_.Port(); }

  ControlResult<PutFleetResult> PutFleet(const std::string& operatorName, const FleetChange& change)
  {
    // One at a time, so that of several changes on top of one version only the first one is parsed
    // and takes room in the log.
    std::unique_lock lock(putFleetMutex_, std::defer_lock);
    if (!lock.try_lock_for(kPutFleetTimeout)) {
      return Fail(ControlErrorCode::Unconfirmed, "an earlier change is not confirmed yet");
    }
    if (auto settled = context_.state.SettleFleetChange(change)) {
      return *std::move(settled);
    }
    const auto document = FleetDocument::Parse(change.document);
    if (!document) {
      return Fail(ControlErrorCode::InvalidDocument, document.error().Describe());
    }
    wire::PutFleetCommand put;
    put.operatorName = operatorName;
    put.version = change.version;
    put.baseVersion = change.baseVersion;
    put.document = change.document;
    put.source = change.source;
    wire::ControlCommand command;
    command.__set_putFleet(put);
    const auto applied = context_.Propose(command, kPutFleetTimeout);
    if (!applied) {
      return boost::outcome_v2::failure(applied.error());
    }
    const wire::CommandReply& reply = applied.value();
    if (reply.errorCode != 0) {
      return Fail(static_cast<ControlErrorCode>(reply.errorCode), reply.message);
    }
    return PutFleetResult{ .version = reply.version, .isResend = reply.isResend };
  }

  ControlResult<FleetChange> ReadFleet()
  {
    const auto age = context_.ConfirmedLeadershipAge();
    if (!age) {
      return boost::outcome_v2::failure(age.error());
    }
    return context_.state.Fleet();
  }

  ControlResult<SetEvacuationResult> SetEvacuation(const std::string& operatorName,
                                                   const std::string& dataCentre,
                                                   bool evacuated)
  {
    return context_.SetEvacuation(operatorName, dataCentre, evacuated);
  }

  ControlResult<std::vector<std::string>> ReadEvacuations()
  {
    const auto age = context_.ConfirmedLeadershipAge();
    if (!age) {
      return boost::outcome_v2::failure(age.error());
    }
    return context_.state.EvacuatedDataCentres();
  }

  void Stop(Duration drainTimeout)
  {
    nodeEventWriter_.Stop();
    StopRpc();
    operatorServer_.Stop(drainTimeout);
  }

private:
  static std::shared_ptr<ListeningSocket> OpenSocket(const Address& address)
  {
    auto socket = std::make_shared<ListeningSocket>(address.ip, address.port);
    // Keep-alive frees the thread of a node that vanished; a receive timeout would not do, because
    // live nodes may call rarely.
    socket->setKeepAlive(true);
    socket->setSendTimeout(kSendTimeoutMillis);
    try {
      socket->listen();
    } catch (const apache::thrift::TException& e) {
      throw std::runtime_error("cannot listen on " + address.ToString() + ": " + e.what());
    }
    return socket;
  }

  /// Nodes call without a service name, replicas with the name of the replication service.
  std::shared_ptr<apache::thrift::TProcessor> MakeProcessor(const ControlProcessOptions& options)
  {
    auto handler = std::make_shared<detail::RpcHandler>(context_);
    auto processor = std::make_shared<apache::thrift::TMultiplexedProcessor>();
    processor->registerDefault(std::make_shared<wire::ControlServiceProcessor>(handler));
    if (options.replicationProcessor) {
      processor->registerProcessor(options.replicationServiceName, options.replicationProcessor);
    }
    return processor;
  }

  std::unique_ptr<apache::thrift::server::TServer> MakeRpcServer(
    const ControlProcessOptions& options)
  {
    using apache::thrift::server::TThreadedServer;
    auto server =
      std::make_unique<TThreadedServer>(detail::GuardProcessor(MakeProcessor(options)),
                                        rpcSocket_,
                                        std::make_shared<detail::BoundedTransportFactory>(),
                                        std::make_shared<detail::BoundedProtocolFactory>());
    server->setConcurrentClientLimit(MaxRpcConnections());
    return server;
  }

  void StopRpc()
  {
    if (rpcThread_.joinable()) {
      rpcServer_->stop();
      rpcThread_.join();
    }
  }

  [[nodiscard]] bool IsFollower() const
  {
    const ReplicaStatus status = context_.log.Status();
    return !status.isLeader && !status.leaderId.empty();
  }

  void PublishMembers()
  {
    const std::lock_guard lock(context_.nodesMutex);
    if (context_.nodes.Publish(context_.clock.Now())) {
      changeSignal_.Notify();
    }
  }

  TransportResult<void> CallLeader(ControlChannel& channel,
                                   const std::function<void(wire::ControlServiceIf&)>& call)
  {
    const auto leader = Address::Parse(context_.log.Status().leaderRpcAddress);
    if (!leader) {
      return Fail(TransportErrorCode::NotLeader, "no leader is known");
    }
    channel.Prefer(leader.value());
    return channel.Call(call);
  }

  std::timed_mutex putFleetMutex_;
  ChangeSignal changeSignal_;
  detail::ControlContext context_;
  ControlChannel leaderChannel_{
    { .timeout = kRelayTimeout, .callBudget = kRelayTimeout, .maxConnections = 1 }
  };
  ControlChannel pollChannel_{
    { .timeout = kPollRelayTimeout, .callBudget = kPollRelayTimeout, .maxConnections = 1 }
  };
  TokenRelay relay_;
  PollRelay pollRelay_;
  detail::OperatorApi operatorApi_;
  HttpServer operatorServer_;
  std::shared_ptr<ListeningSocket> rpcSocket_;
  std::unique_ptr<apache::thrift::server::TServer> rpcServer_;
  std::thread rpcThread_;
  detail::NodeEventWriter nodeEventWriter_;
};

ControlProcess::ControlProcess(const ControlProcessOptions& options)
  : impl_(std::make_unique<Impl>(options))
{
}

ControlProcess::~ControlProcess() = default;

ControlResult<PutFleetResult> ControlProcess::PutFleet(const std::string& operatorName,
                                                       const FleetChange& change)
{
  return impl_->PutFleet(operatorName, change);
}

ControlResult<FleetChange> ControlProcess::ReadFleet()
{
  return impl_->ReadFleet();
}

ControlResult<SetEvacuationResult> ControlProcess::SetEvacuation(const std::string& operatorName,
                                                                 const std::string& dataCentre,
                                                                 bool evacuated)
{
  return impl_->SetEvacuation(operatorName, dataCentre, evacuated);
}

ControlResult<std::vector<std::string>> ControlProcess::ReadEvacuations()
{
  return impl_->ReadEvacuations();
}

std::uint16_t ControlProcess::RpcPort() const
{
  return impl_->RpcPort();
}

std::uint16_t ControlProcess::OperatorPort() const
{
  return impl_->OperatorPort();
}

void ControlProcess::Stop(Duration drainTimeout)
{
  impl_->Stop(drainTimeout);
}

} // namespace acp
