#include "acaciapulley/node/node_process.hpp"

#include "acaciapulley/node/request_pipeline.hpp" // RequestPipeline
#include "acaciapulley/node/sync_loop.hpp"        // SyncLoop

namespace acp {

namespace {

constexpr int kAdminConnections = 16;

} // namespace

class NodeProcess::Impl
{
public:
  explicit Impl(const NodeProcessOptions& options)
    : epoch_(CountMillis(options.clock->WallNow()))
    , clock_(*options.clock)
    , pipeline_({ .nodeId = options.nodeId,
                  .epoch = epoch_,
                  .fleetSecret = options.fleetSecret,
                  .clock = options.clock,
                  .view = &view_,
                  .upstream = &upstream_,
                  .onAnnounced = [this] { sync_.Wake(); } })
    , sync_({ .nodeId = options.nodeId,
              .epoch = epoch_,
              .dataCentre = options.dataCentre,
              .peerAddress = options.peer,
              .control = { .replicas = options.control },
              .clock = options.clock,
              .view = &view_,
              .upstream = &upstream_ })
    , peer_({ .address = options.peer,
              .maxConnections = options.maxConnections,
              .handler = [this](ServerExchange& e) { pipeline_.HandlePeer(e); } })
    , egress_({ .address = options.egress,
                .maxConnections = options.maxConnections,
                .handler = [this](ServerExchange& e) { pipeline_.HandleEgress(e); } })
    , admin_({ .address = options.admin,
               .maxConnections = kAdminConnections,
               .handler = [this](ServerExchange& e) { HandleAdmin(e); } })
    , ingress_({ .address = options.ingress,
                 .maxConnections = options.maxConnections,
                 .handler = [this](ServerExchange& e) { pipeline_.HandleIngress(e); } })
  {
  }

  void Stop(Duration patience)
  {
    ingress_.Stop(patience);
    peer_.Stop(patience);
    egress_.Stop(patience);
    admin_.Stop(patience);
  }

private:
  void HandleAdmin(ServerExchange& exchange)
  {
    const bool isFresh = view_.IsFresh(clock_.Now(), kKeyedFreshness);
    exchange.Respond({ .status = isFresh ? 200 : 503 }, isFresh ? "ok\n" : "state is stale\n");
  }

  std::int64_t epoch_;
  const Clock& clock_;
  NodeView view_;
  LocalUpstream upstream_;
  RequestPipeline pipeline_;
  SyncLoop sync_;
  HttpServer peer_;
  HttpServer egress_;
  HttpServer admin_;
  HttpServer ingress_;
};

NodeProcess::NodeProcess(const NodeProcessOptions& options)
  : impl_(std::make_unique<Impl>(options))
{
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::Stop(Duration patience)
{
  impl_->Stop(patience);
}

} // namespace acp
