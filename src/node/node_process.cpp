#include "acaciapulley/node/node_process.hpp"

#include <algorithm> // max

#include "acaciapulley/node/request_pipeline.hpp"     // RequestPipeline
#include "acaciapulley/node/sync_loop.hpp"            // SyncLoop
#include "acaciapulley/transport/control_channel.hpp" // ControlChannel
#include "acaciapulley/transport/metrics.hpp"         // MetricsRegistry

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
    , control_({ .replicas = options.control })
    , pipeline_({ .nodeId = options.nodeId,
                  .epoch = epoch_,
                  .dataCentre = options.dataCentre,
                  .fleetSecret = options.fleetSecret,
                  .retryBudget = options.retryBudget,
                  .clock = options.clock,
                  .view = &view_,
                  .upstream = &upstream_,
                  .members = &members_,
                  .control = [this](const auto& call) { return control_.Call(call); },
                  .onAnnounced = [this] { sync_.Wake(); } })
    , sync_({ .nodeId = options.nodeId,
              .epoch = epoch_,
              .dataCentre = options.dataCentre,
              .peerAddress = options.peer,
              .channel = &control_,
              .clock = options.clock,
              .view = &view_,
              .upstream = &upstream_,
              .members = &members_ })
    , peer_(Listener("peer", options.peer, options.maxConnections, &RequestPipeline::HandlePeer))
    , egress_(
        Listener("egress", options.egress, options.maxConnections, &RequestPipeline::HandleEgress))
    , admin_({ .address = options.admin,
               .maxConnections = kAdminConnections,
               .handler = [this](ServerExchange& e) { HandleAdmin(e); } })
    , ingress_(Listener("ingress",
                        options.ingress,
                        options.maxConnections,
                        &RequestPipeline::HandleIngress))
  {
  }

  void Stop(Duration patience)
  {
    // Peers choose other nodes as soon as control has passed this on.
    upstream_.BeginStop();
    sync_.Wake();
    const TimePoint deadline = clock_.Now() + patience;
    const auto left = [&] { return std::max(deadline - clock_.Now(), Duration::zero()); };
    ingress_.Stop(left());
    peer_.Stop(left());
    // Requests that ended above may have made nested calls through the egress until now.
    egress_.Stop(left());
    admin_.Stop(left());
  }

private:
  HttpServerOptions Listener(const std::string& name,
                             const Address& address,
                             int maxConnections,
                             void (RequestPipeline::*handle)(ServerExchange&))
  {
    return { .address = address,
             .maxConnections = maxConnections,
             .handler = [this, handle](ServerExchange& e) { (pipeline_.*handle)(e); },
             .onServed = [this, name](const ServedRequest& served) { Count(name, served); } };
  }

  /// Label values come from tables, since an upstream may send any text as its reason.
  template<typename Enum>
  static std::string KnownName(std::string_view name)
  {
    return name.empty() || FromName<Enum>(name) ? std::string(name) : "other";
  }

  void Count(const std::string& listener, const ServedRequest& served)
  {
    metrics_
      .Counter("acp_requests_total",
               "Requests by listener, status and outcome.",
               { { "listener", listener },
                 { "status", std::to_string(served.status) },
                 { "outcome", KnownName<RequestOutcome>(served.outcome) },
                 { "reason", KnownName<Reason>(served.reason) } })
      .Add();
    metrics_
      .Histogram("acp_request_seconds",
                 "Time from the end of the request's head to the end of the answer.",
                 { { "listener", listener } })
      .Observe(std::chrono::duration<double>(served.time).count());
  }

  void HandleAdmin(ServerExchange& exchange)
  {
    const bool isFresh = view_.IsFresh(clock_.Now(), kKeyedFreshness);
    if (exchange.Request().target == "/healthz") {
      exchange.Respond({ .status = isFresh ? 200 : 503 }, isFresh ? "ok\n" : "state is stale\n");
    } else if (exchange.Request().target == "/metrics") {
      HttpResponseHead head{ .status = 200 };
      head.headers.Set("Content-Type", "text/plain; version=0.0.4");
      exchange.Respond(head, CollectMetrics(isFresh));
    } else {
      exchange.Respond({ .status = 404 }, "paths: /healthz, /metrics\n");
    }
  }

  std::string CollectMetrics(bool isFresh)
  {
    const auto connections = [this](const std::string& listener, const HttpServer& server) {
      metrics_
        .Gauge("acp_connections", "Open connections by listener.", { { "listener", listener } })
        .Set(server.Connections());
    };
    connections("ingress", ingress_);
    connections("peer", peer_);
    connections("egress", egress_);
    const auto pool = upstream_.Pool();
    metrics_.Gauge("acp_upstream_connections", "Open connections to the upstream.")
      .Set(pool ? pool->OpenConnections() : 0);
    metrics_.Gauge("acp_state_version", "Version of the state this node decides by.")
      .Set(static_cast<double>(view_.Version()));
    metrics_.Gauge("acp_state_fresh", "1 when keyed requests are served.").Set(isFresh ? 1 : 0);
    return metrics_.Serialize();
  }

  std::int64_t epoch_;
  const Clock& clock_;
  MetricsRegistry metrics_;
  NodeView view_;
  LocalUpstream upstream_;
  MemberTable members_;
  ControlChannel control_;
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
