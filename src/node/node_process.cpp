#include "acaciapulley/node/node_process.hpp"

#include <algorithm> // max, min
#include <atomic>    // atomic
#include <map>       // map
#include <mutex>     // mutex
#include <optional>  // optional
#include <tuple>     // tie
#include <utility>   // exchange, move
#include <vector>    // vector

#include "acaciapulley/config/fleet_document.hpp"        // FleetLimits
#include "acaciapulley/core/log.hpp"                     // Log
#include "acaciapulley/node/detail/graceful_stop.hpp"    // StopListeners, GracefulStop
#include "acaciapulley/node/detail/headers.hpp"          // kAttemptHeader
#include "acaciapulley/node/detail/listener_metrics.hpp" // ListenerMetrics
#include "acaciapulley/node/detail/load_log.hpp"         // LoadLog
#include "acaciapulley/node/detail/request_log.hpp"      // RequestLog
#include "acaciapulley/node/request_pipeline.hpp"        // RequestPipeline
#include "acaciapulley/node/sync_loop.hpp"               // SyncLoop
#include "acaciapulley/record/record_counters.hpp"       // RecordCounters
#include "acaciapulley/transport/control_channel.hpp"    // ControlChannel
#include "acaciapulley/transport/metrics.hpp"            // MetricsRegistry

namespace acp {

namespace {

constexpr int kMaxAdminConnections = 16;
// Well below the state age beyond which a node no longer denies keys and routes.
constexpr Duration kSyncMaxHold = std::chrono::milliseconds(500);
constexpr Duration kSyncTimeout = std::chrono::milliseconds(1000);
// Each request of a connection that runs concurrently occupies a stack and a connection to a peer.
constexpr int kMaxPipelined = 8;

CallerLimits ToCallerLimits(const FleetLimits& limits)
{
  return { .maxHeadBytes = static_cast<std::size_t>(limits.maxHeadBytes),
           .headTimeout = limits.headTimeout,
           .idleTimeout = limits.idleTimeout };
}

} // namespace

class NodeProcess::Impl
{
public:
  explicit Impl(const NodeProcessOptions& options)
    : epoch_(CountMillis(options.clock->WallNow()))
    , clock_(*options.clock)
    , invalidLoadsByReason_(options.invalidLoadsByReason)
    , requestLog_({ .clock = options.clock,
                    .stateCache = &stateCache_,
                    .requestIdField = options.requestIdField })
    , upstream_(options.makeTranslation, upstreamConnections_)
    , regions_(options.regionOf)
    , record_(options.clock->WallNow())
    , stop_(*options.clock)
    , control_({ .replicas = options.control })
    , tokenChannel_({ .replicas = options.control, .maxConnections = 1 })
    , syncChannel_({ .replicas = options.control, .timeout = kSyncTimeout })
    , pipeline_(
        { .nodeId = options.nodeId,
          .epoch = epoch_,
          .dataCentre = options.dataCentre,
          .fleetSecret = options.fleetSecret,
          .retryBudget = options.retryBudget,
          .routesByFleet = options.routesByFleet,
          .fleetRetryBudget = options.fleetRetryBudget,
          .callerService = options.callerService,
          .requestIdField = options.requestIdField,
          .clock = options.clock,
          .stateCache = &stateCache_,
          .upstream = &upstream_,
          .members = &members_,
          .regions = &regions_,
          .stop = &stop_,
          .claimControl = [this](const auto& call) { return control_.Call(call); },
          .tokenControl = [this](const auto& call) { return tokenChannel_.Call(call); },
          .peerConnections = peerConnections_,
          .onAnnouncementChanged = [this] { syncLoop_.Wake(); },
          // The upstreams of the data centre may have become cold without a request that shows it.
          .onEvacuationEnded = [this] { pipeline_.AssumeUpstreamCold(); },
          .requestHealthCheck = options.requestHealthCheck,
          .onRequestCompleted =
            [this](const CompletedRequest& completed) { RecordCompleted(completed); } })
    , loadLog_({ .clock = options.clock,
                 .service = [this] { return UpstreamService(); },
                 .gate = [this] { return pipeline_.Stats().gate; },
                 .upstreamConnections = upstreamConnections_,
                 .peerConnections = peerConnections_,
                 .write = [](auto fields) { Log(LogLevel::Info, "node_load", fields); } })
    , syncLoop_({ .nodeId = options.nodeId,
                  .epoch = epoch_,
                  .dataCentre = options.dataCentre,
                  .peerAddress = options.peer,
                  .syncChannel = &syncChannel_,
                  .clock = options.clock,
                  .stateCache = &stateCache_,
                  .upstream = &upstream_,
                  .members = &members_,
                  .record = &record_,
                  .claimChannel = &control_,
                  .tokenChannel = &tokenChannel_,
                  .onEvacuationChanged =
                    [this](const auto& dataCentres) { pipeline_.SetEvacuated(dataCentres); },
                  .maxHold = kSyncMaxHold })
    , peer_(PeerListenerOptions(options))
    , admin_({ .address = options.admin,
               .maxConnections = kMaxAdminConnections,
               .handler = [this](ServerExchange& e) { HandleAdmin(e); } })
    , ingress_(IngressListenerOptions(options))
  {
    if (!options.routesByFleet) {
      egress_.emplace(ListenerOptions(
        "egress", options.egress, options.maxConnections, &RequestPipeline::HandleEgress));
    }
  }

  void Announce(const Announcement& announcement) { pipeline_.Announce(announcement); }
  void ReportWarmup(const WarmupReport& report) { pipeline_.ReportWarmup(report); }
  void AssumeUpstreamCold() { pipeline_.AssumeUpstreamCold(); }

  void AddControlReplicas(const std::vector<Address>& replicas)
  {
    for (ControlChannel* channel : { &control_, &tokenChannel_, &syncChannel_ }) {
      channel->AddReplicas(replicas);
    }
  }

  void ReplaceRegions(RegionsByDataCentre regionOf)
  {
    regions_.Replace(std::move(regionOf));
    members_.Changes().Notify();
  }

  [[nodiscard]] bool IsReady() const
  {
    return !stopping_ && stateCache_.IsFresh(clock_.Now(), kKeyedMaxStateAge);
  }

  [[nodiscard]] std::optional<std::string> HealthPathOf(const std::string& service) const
  {
    const FleetDocumentPtr fleet = stateCache_.Fleet();
    const FleetService* found = fleet ? fleet->FindService(service) : nullptr;
    return found != nullptr ? std::optional(found->healthPath) : std::nullopt;
  }

  void BeginStop(TimePoint endsAt)
  {
    stopping_ = true;
    stop_.Begin(endsAt);
  }

  void BeginDrain()
  {
    // Peers pick other nodes as soon as control has distributed this.
    upstream_.BeginStop();
    syncLoop_.Wake();
  }

  void Stop()
  {
    BeginDrain();
    std::vector<HttpServer*> listeners = { &ingress_, &peer_ };
    if (egress_) {
      listeners.push_back(&*egress_);
    }
    detail::StopListeners(stop_, listeners);
    admin_.Stop(stop_.RemainingTime());
  }

private:
  HttpServerOptions ListenerOptions(const std::string& name,
                                    const Address& address,
                                    int maxConnections,
                                    void (RequestPipeline::*handle)(ServerExchange&))
  {
    return { .address = address,
             .maxConnections = maxConnections,
             .handler = [this, handle](ServerExchange& e) { (pipeline_.*handle)(e); },
             .runsInTasks = true,
             .onServed =
               [this, name, counts = std::make_shared<detail::ListenerMetrics>(metrics_, name)](
                 const ServedRequest& served) {
                 counts->Count(served);
                 requestLog_.LogUnanswered(name, served);
                 loadLog_.RecordEnd(served.end);
                 loadLog_.WriteIfDue();
               } };
  }

  HttpServerOptions PeerListenerOptions(const NodeProcessOptions& options)
  {
    HttpServerOptions peer =
      ListenerOptions("peer", options.peer, options.maxConnections, &RequestPipeline::HandlePeer);
    peer.echoedField = detail::kAttemptHeader;
    peer.answersHeartbeats = true;
    // The node that sends has checked the head against the limits of its own document.
    peer.limits.maxHeadBytes = detail::HopHeadBytes(kLargestMaxHeadBytes);
    return peer;
  }

  HttpServerOptions IngressListenerOptions(const NodeProcessOptions& options)
  {
    HttpServerOptions ingress = ListenerOptions(
      "ingress", options.ingress, options.maxConnections, &RequestPipeline::HandleIngress);
    ingress.echoedField = options.requestIdField;
    if (options.routesByFleet) {
      ingress.maxPipelined = kMaxPipelined;
      ingress.currentLimits = [this, initial = ingress.limits] {
        const FleetDocumentPtr fleet = stateCache_.Fleet();
        return fleet ? ToCallerLimits(fleet->Limits()) : initial;
      };
    }
    if (options.ingressMiddleware) {
      ingress.handler = [middleware = options.ingressMiddleware,
                         serve = std::function(ingress.handler)](ServerExchange& exchange) {
        middleware(exchange, serve);
      };
    }
    return ingress;
  }

  [[nodiscard]] std::string UpstreamService() const
  {
    const auto announced = upstream_.Current();
    return announced ? announced->service : "";
  }

  void RecordCompleted(const CompletedRequest& completed)
  {
    requestLog_.LogOwnResponse(completed);
    loadLog_.RecordCompleted(completed);
    if (completed.requestClass.empty()) {
      return;
    }
    const RecordKey key{ completed.service, completed.requestClass, completed.account };
    record_.CountOffered(key);
    if (completed.outcome == RequestOutcome::NotRun) {
      // Control was unreachable, so the account was not found to exceed its rate.
      record_.CountRefused(key, completed.reason, completed.reason == Reason::RateUnavailable);
    } else if (completed.outcome == RequestOutcome::Ran) {
      record_.CountCompleted(key, completed.latency);
    } else {
      record_.CountFailed(key);
    }
  }

  void HandleAdmin(ServerExchange& exchange)
  {
    const bool isFresh = stateCache_.IsFresh(clock_.Now(), kKeyedMaxStateAge);
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
    if (egress_) {
      connections("egress", *egress_);
    }
    const auto pool = upstream_.Pool();
    metrics_.Gauge("acp_upstream_connections", "Open connections to the upstream.")
      .Set(pool ? pool->OpenConnections() : 0);
    const auto figures = pipeline_.Stats();
    const auto calls = [this](const std::string& result, std::uint64_t count) {
      metrics_
        .Gauge(
          "acp_token_calls", "Calls for rate tokens since the start.", { { "result", result } })
        .Set(static_cast<double>(count));
    };
    calls("answered", figures.tokenCalls.calls - figures.tokenCalls.failed);
    calls("failed", figures.tokenCalls.failed);
    CollectGate(figures.gate.counts);
    metrics_.Gauge("acp_upstream_cold", "1 while the upstream is limited because it is cold.")
      .Set(figures.isUpstreamCold ? 1 : 0);
    CollectInvalidLoads();
    CollectPlacement(figures);
    CollectConnections("upstream", *upstreamConnections_);
    CollectConnections("peers", *peerConnections_);
    metrics_.Gauge("acp_state_version", "Version of the state this node decides by.")
      .Set(static_cast<double>(stateCache_.Version()));
    metrics_.Gauge("acp_evacuated", "1 when the data centre of this node is evacuated.")
      .Set(figures.isEvacuated ? 1 : 0);
    metrics_.Gauge("acp_state_fresh", "1 when keyed requests are served.").Set(isFresh ? 1 : 0);
    return metrics_.Serialize();
  }

  void CollectGate(const GateCounts& counts)
  {
    for (const auto& [reason, count] : counts.refused) {
      metrics_
        .Gauge("acp_gate_refused",
               "Requests that the gate has refused since the start.",
               { { "reason", std::string(NameOf(reason)) } })
        .Set(static_cast<double>(count));
    }
    for (const auto& [result, ended] : counts.finished) {
      metrics_
        .Gauge("acp_gate_runs",
               "Requests that have run on the upstream since the start.",
               { { "result", std::string(NameOf(result)) } })
        .Set(static_cast<double>(ended.count));
    }
  }

  void CollectInvalidLoads()
  {
    if (!invalidLoadsByReason_) {
      return;
    }
    for (const auto& [reason, count] : invalidLoadsByReason_()) {
      metrics_
        .Gauge("acp_upstream_load_invalid",
               "Invalid load reports of the upstream since the start.",
               { { "reason", reason } })
        .Set(static_cast<double>(count));
    }
  }

  void CollectPlacement(const PipelineStats& figures)
  {
    const auto gauge = [this](const char* name, const char* help, const MetricLabels& labels = {}) {
      return metrics_.Gauge(name, help, labels);
    };
    gauge("acp_gate_usable_limit", "Requests that the gate lets run at the same time.")
      .Set(figures.gate.load.limit);
    gauge("acp_upstream_work_factor", "Duration of work at the upstream; 1 is as usual.")
      .Set(figures.runTimes.workFactor);
    gauge("acp_placement_learned", "1 when this node reports the run times of its upstream.")
      .Set(figures.runTimes.isInUse ? 1 : 0);
    for (const auto& [requestClass, estimate] : figures.runTimes.runTimes) {
      gauge("acp_upstream_run_time_seconds",
            "Mean run time at the upstream at its present speed, by request class.",
            { { "class", requestClass } })
        .Set(std::chrono::duration<double>(estimate.runTime).count());
    }
    for (const auto& [problem, count] : figures.runTimes.ignored) {
      gauge("acp_upstream_load_ignored",
            "Load fields of the upstream that were ignored since the start.",
            { { "reason", std::string(NameOf(problem)) } })
        .Set(static_cast<double>(count));
    }
    for (const auto& [age, count] : figures.picks) {
      gauge("acp_picks",
            "Picks of an upstream since the start, by the age of the report that they used.",
            { { "report", std::string(NameOf(age)) } })
        .Set(static_cast<double>(count));
    }
  }

  void CollectConnections(const std::string& to, const ConnectionCounts& counts)
  {
    for (const auto& row : NameTable<ConnectionEvent>::kRows) {
      metrics_
        .Gauge("acp_connection_events",
               "Connections opened, and closed by reason, since the start.",
               { { "to", to }, { "event", std::string(row.name) } })
        .Set(static_cast<double>(counts.Of(row.value)));
    }
  }

  std::int64_t epoch_;
  const Clock& clock_;
  std::function<std::map<std::string, std::uint64_t>()> invalidLoadsByReason_;
  MetricsRegistry metrics_;
  StateCache stateCache_;
  detail::RequestLog requestLog_;
  std::shared_ptr<ConnectionCounts> upstreamConnections_ = std::make_shared<ConnectionCounts>();
  std::shared_ptr<ConnectionCounts> peerConnections_ = std::make_shared<ConnectionCounts>();
  LocalUpstream upstream_;
  MemberTable members_;
  RegionMap regions_;
  RecordCounters record_;
  std::atomic<bool> stopping_{ false };
  detail::GracefulStop stop_;
  ControlChannel control_;
  ControlChannel tokenChannel_;
  ControlChannel syncChannel_; ///< for long polls
  RequestPipeline pipeline_;
  detail::LoadLog loadLog_;
  SyncLoop syncLoop_;
  HttpServer peer_;
  std::optional<HttpServer> egress_;
  HttpServer admin_;
  HttpServer ingress_;
};

NodeProcess::NodeProcess(const NodeProcessOptions& options)
  : impl_(std::make_unique<Impl>(options))
{
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::Announce(const Announcement& announcement)
{
  impl_->Announce(announcement);
}

void NodeProcess::ReportWarmup(const WarmupReport& report)
{
  impl_->ReportWarmup(report);
}

void NodeProcess::AssumeUpstreamCold()
{
  impl_->AssumeUpstreamCold();
}

void NodeProcess::AddControlReplicas(const std::vector<Address>& replicas)
{
  impl_->AddControlReplicas(replicas);
}

void NodeProcess::ReplaceRegions(RegionsByDataCentre regionOf)
{
  impl_->ReplaceRegions(std::move(regionOf));
}

bool NodeProcess::IsReady() const
{
  return impl_->IsReady();
}

std::optional<std::string> NodeProcess::HealthPathOf(const std::string& service) const
{
  return impl_->HealthPathOf(service);
}

void NodeProcess::BeginStop(TimePoint endsAt)
{
  impl_->BeginStop(endsAt);
}

void NodeProcess::BeginDrain()
{
  impl_->BeginDrain();
}

void NodeProcess::Stop()
{
  impl_->Stop();
}

} // namespace acp
