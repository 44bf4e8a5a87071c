#include "acaciapulley/node/request_pipeline.hpp"

#include <algorithm> // min
#include <mutex>     // mutex
#include <optional>  // optional
#include <utility>   // move

#include <fmt/format.h> // format
#include <fmt/ranges.h> // join

#include "acaciapulley/core/event_loop.hpp"               // EventLoop
#include "acaciapulley/core/log.hpp"                      // Log
#include "acaciapulley/node/detail/dispatcher.hpp"        // Dispatcher
#include "acaciapulley/node/detail/fleet_resolver.hpp"    // FleetResolver
#include "acaciapulley/node/detail/headers.hpp"           // kContextHeader
#include "acaciapulley/node/detail/ingress_admission.hpp" // AdmittedRequest, IngressAdmission
#include "acaciapulley/node/detail/peer_context.hpp"      // VerifyContext, VerifyFleetContext
#include "acaciapulley/node/detail/request_times.hpp"     // ParseMillis
#include "acaciapulley/node/detail/token_client.hpp"      // TokenClient
#include "acaciapulley/node/detail/warmup_guard.hpp"      // WarmupGuard

namespace acp {

namespace {

using detail::AdmittedRequest;
using detail::AttemptResult;
using detail::DispatchResult;
using detail::PendingCall;
using detail::Recipient;
using detail::RequestBody;
using detail::ResolvedRequest;

constexpr std::size_t kMaxAnnouncementBytes = 4096;
constexpr std::string_view kAnnounceTarget = "/.acp/upstream";
// Fraction of the announced slots that is used where no adaptive concurrency limit applies.
constexpr double kUsableSlotShare = 0.95;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

auto OverloadedRefusal(const char* message)
{
  return NotRunRefusal(503, Reason::Overloaded, message, kOverloadRetryAfter);
}

} // namespace

class RequestPipeline::Impl
{
public:
  explicit Impl(RequestPipelineOptions options);

  void HandleIngress(ServerExchange& exchange);
  void HandlePeer(ServerExchange& exchange);
  void HandleEgress(ServerExchange& exchange);
  void Announce(const Announcement& announcement);
  void SetEvacuated(const std::set<std::string>& dataCentres);

  void ReportWarmup(const WarmupReport& report) { warmup_.Apply(report); }
  void AssumeUpstreamCold() { warmup_.AssumeCold(); }

  [[nodiscard]] PipelineStats Stats() const;

private:
  using TokenPtr = std::shared_ptr<detail::TokenClient::Token>;

  [[nodiscard]] ThresholdTableOptions ThresholdOptions() const;
  [[nodiscard]] std::optional<Placement> PlacementOf(const std::string& service) const;
  /// Reports to the gate how long the current message waited for processor time.
  void RecordSchedulingDelay();
  OrRefusal<TokenPtr> ReserveToken(const ServerExchange& exchange, const AdmittedRequest& admitted);
  DispatchResult RunAdmitted(ServerExchange& exchange, const AdmittedRequest& admitted);
  OrRefusal<void> RunPeerCall(ServerExchange& exchange);
  OrRefusal<void> RunNestedCall(ServerExchange& exchange);
  OrRefusal<void> RunCallWithoutContext(ServerExchange& exchange, const ResolvedRequest& request);
  OrRefusal<void> Announce(ServerExchange& exchange);
  [[nodiscard]] bool IsEvacuated() const;
  void SetGateEvacuated(bool isEvacuated);

  RequestPipelineOptions options_;
  ContextSigner signer_;
  detail::RequestResolver resolver_;
  BlockingGate gate_;
  detail::WarmupGuard warmup_;
  detail::HopRegistry hops_;
  detail::ConcurrentThresholdTable ingressThresholds_; ///< of requests from the ingress
  detail::ConcurrentThresholdTable nestedThresholds_;  ///< of the local upstream's calls
  detail::IngressAdmission admission_;
  detail::RunTimeRecorder runTimes_;
  detail::ClaimClient claims_;
  detail::TokenClient tokens_;
  Balancer balancer_;
  detail::Executor executor_;
  detail::PeerClient peers_;
  detail::Dispatcher dispatcher_;
  mutable std::mutex drainMutex_; ///< guards the fields below and the gate's state of draining
  bool isUpstreamDraining_ = false;
  bool isEvacuated_ = false; ///< the data centre of this node is evacuated
};

RequestPipeline::Impl::Impl(RequestPipelineOptions options)
  : options_(std::move(options))
  , signer_([this] {
    return options_.routesByFleet ? options_.stateCache->FleetSecret() : options_.fleetSecret;
  })
  , resolver_(*options_.stateCache, *options_.clock)
  , gate_({ .limit = { .adaptive = !options_.routesByFleet,
                       .usableShare = options_.routesByFleet ? kUsableSlotShare : 1.0 },
            .threshold = { .byAccount = !options_.routesByFleet } },
          *options_.clock)
  , warmup_({ .clock = options_.clock,
              .stateCache = options_.stateCache,
              .upstream = options_.upstream,
              .requestHealthCheck = options_.requestHealthCheck,
              .onColdStartChanged = options_.onAnnouncementChanged })
  , hops_({ .nodeId = options_.nodeId, .epoch = options_.epoch }, *options_.clock)
  , ingressThresholds_(*options_.clock, ThresholdOptions())
  , nestedThresholds_(*options_.clock, ThresholdOptions())
  , admission_({ .nodeId = options_.nodeId,
                 .epoch = options_.epoch,
                 .retryBudget = options_.retryBudget,
                 .routesByFleet = options_.routesByFleet,
                 .clock = options_.clock,
                 .stateCache = options_.stateCache,
                 .resolver = &resolver_,
                 .hops = &hops_,
                 .thresholds = &ingressThresholds_ })
  , runTimes_({ .clock = options_.clock,
                .placementOf = [this](const std::string& service) { return PlacementOf(service); },
                .onUsableLimit = [this](auto limit) { gate_.SetUsableLimit(limit); } })
  , claims_(options_.claimControl, options_.nodeId)
  , tokens_({ .nodeId = options_.nodeId,
              .epoch = options_.epoch,
              .clock = options_.clock,
              .call = options_.tokenControl })
  , balancer_({ .localNodeId = options_.nodeId,
                .localDataCentre = options_.dataCentre,
                .members = options_.members })
  , executor_({ .clock = options_.clock,
                .resolver = &resolver_,
                .signer = &signer_,
                .upstream = options_.upstream,
                .gate = &gate_,
                .warmup = &warmup_,
                .hops = &hops_,
                .claims = &claims_,
                .thresholds = &nestedThresholds_,
                .runTimes = &runTimes_,
                .stop = options_.stop,
                .guards = options_.guards })
  , peers_({ .clock = options_.clock,
             .signer = &signer_,
             .members = options_.members,
             .connections = options_.peerConnections,
             .stop = options_.stop,
             .guards = options_.guards })
  , dispatcher_({ .nodeId = options_.nodeId,
                  .epoch = options_.epoch,
                  .clock = options_.clock,
                  .executor = &executor_,
                  .peers = &peers_,
                  .balancer = &balancer_,
                  .members = options_.members,
                  .fleetRetryBudget = options_.fleetRetryBudget,
                  .regions = options_.regions })
{
}

PipelineStats RequestPipeline::Impl::Stats() const
{
  PipelineStats stats{ .tokenCalls = tokens_.CallCounts(),
                       .gate = gate_.Stats(),
                       .isEvacuated = IsEvacuated(),
                       .runTimes = runTimes_.Stats(),
                       .picks = balancer_.PickCounts() };
  const detail::WarmupStats warmup = warmup_.Stats();
  if (warmup.refused > 0) {
    stats.gate.counts.refused[Reason::WarmingUp] = warmup.refused;
  }
  stats.isUpstreamCold = warmup.isCold;
  return stats;
}

ThresholdTableOptions RequestPipeline::Impl::ThresholdOptions() const
{
  return { .seed = options_.nodeId, .byAccount = !options_.routesByFleet };
}

std::optional<Placement> RequestPipeline::Impl::PlacementOf(const std::string& service) const
{
  const FleetDocumentPtr fleet = options_.stateCache->Fleet();
  const FleetService* found = fleet ? fleet->FindService(service) : nullptr;
  return found != nullptr ? found->placement : std::nullopt;
}

OrRefusal<RequestPipeline::Impl::TokenPtr> RequestPipeline::Impl::ReserveToken(
  const ServerExchange& exchange,
  const AdmittedRequest& admitted)
{
  if (!admitted.limitKey) {
    return TokenPtr();
  }
  return tokens_.Reserve(*admitted.limitKey, exchange.CallerGone());
}

DispatchResult RequestPipeline::Impl::RunAdmitted(ServerExchange& exchange,
                                                  const AdmittedRequest& admitted)
{
  const bool hasParent = !admitted.parentClass.empty();
  auto& thresholds = hasParent ? nestedThresholds_ : ingressThresholds_;
  const std::string callerClass =
    hasParent ? admitted.parentClass : detail::QualifiedClassName(admitted.request);
  thresholds.RecordCall(callerClass, detail::CalleeOf(admitted.request));
  if (hasParent) {
    runTimes_.RecordNestedCall(callerClass);
  }
  RequestBody body(exchange.RequestBody(),
                   exchange.RequestBodyLength(),
                   admitted.request.requestClass->maxBodyBytes);
  auto prefetched = body.Prefetch();
  if (!prefetched) {
    return { .result = prefetched };
  }
  PendingCall call{ .exchange = exchange,
                    .request = admitted.request,
                    .body = body,
                    .recipient = Recipient::Caller,
                    .isFromIngress = !admitted.isNested,
                    .callerClass = callerClass,
                    .thresholds = &thresholds,
                    .queueTimeout = admitted.queueTimeout,
                    .callerService = options_.callerService };
  const auto entry = options_.stop->Admit(RequestProfileOf(call, admitted.context));
  if (!entry) {
    return { .result = boost::outcome_v2::failure(entry.error()) };
  }
  // Reserved only after the body was prefetched, so that a slow caller does not occupy a token.
  const auto token = ReserveToken(exchange, admitted);
  if (!token) {
    return { .result = boost::outcome_v2::failure(token.error()) };
  }
  if (token.value()) {
    call.commitToken = [&token] { return token.value()->Commit(); };
  }
  return dispatcher_.Run(call, admitted.context);
}

void RequestPipeline::Impl::RecordSchedulingDelay()
{
  const EventLoop* loop = EventLoop::Current();
  if (options_.routesByFleet && loop != nullptr) {
    gate_.RecordSchedulingDelay(loop->SchedulingDelay());
  }
}

void RequestPipeline::Impl::HandleIngress(ServerExchange& exchange)
{
  const TimePoint start = options_.clock->Now();
  CompletedRequest completed;
  OrRefusal<void> result = boost::outcome_v2::success();
  RecordSchedulingDelay();
  const auto admitted = admission_.Admit(exchange, completed);
  if (admitted) {
    const DispatchResult dispatchResult = RunAdmitted(exchange, admitted.value());
    result = dispatchResult.result;
    completed.isUpstreamError = dispatchResult.isServerError;
  } else {
    result = boost::outcome_v2::failure(admitted.error());
  }
  if (!result) {
    completed.outcome = result.error().outcome;
    completed.reason = result.error().reason;
    completed.status = result.error().status;
    completed.message = result.error().message;
    completed.requestId = exchange.Request().headers.Find(options_.requestIdField).value_or("");
    SendRefusal(exchange, result.error());
  }
  completed.latency = options_.clock->Now() - start;
  if (options_.onRequestCompleted) {
    options_.onRequestCompleted(completed);
  }
}

OrRefusal<void> RequestPipeline::Impl::RunPeerCall(ServerExchange& exchange)
{
  const auto context = options_.routesByFleet
                         ? detail::VerifyFleetContext(signer_, *options_.clock, exchange)
                         : detail::VerifyContext(signer_, *options_.clock, exchange);
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  const auto resolved =
    options_.routesByFleet
      ? detail::FleetResolver::ResolveForPeer(exchange.Request(), context.value())
      : resolver_.Resolve(exchange.Request(), exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  RequestBody body(exchange.RequestBody(),
                   exchange.RequestBodyLength(),
                   resolved.value().requestClass->maxBodyBytes);
  auto prefetched = body.Prefetch();
  if (!prefetched) {
    return prefetched;
  }
  PendingCall call{ .exchange = exchange,
                    .request = resolved.value(),
                    .body = body,
                    .recipient = Recipient::Peer,
                    .callerClass = detail::QualifiedClassName(resolved.value()),
                    .thresholds = &nestedThresholds_,
                    .queueTimeout =
                      detail::ParseMillis(exchange.Request().headers, detail::kQueueTimeoutHeader),
                    .callerService =
                      exchange.Request().headers.Find(detail::kCallerServiceHeader).value_or("") };
  const auto entry = options_.stop->Admit(RequestProfileOf(call, context.value()));
  if (!entry) {
    return boost::outcome_v2::failure(entry.error());
  }
  AttemptResult attemptResult = executor_.Run(call, context.value());
  if (!attemptResult.result) {
    // Refusals carry the same load data as responses, since callers need it most under overload.
    attemptResult.result.error().unusedRetries = attemptResult.unusedRetries;
    attemptResult.result.error().threshold =
      executor_.Threshold(resolved.value(), context.value().account);
    attemptResult.result.error().load = executor_.Load();
    attemptResult.result.error().runTime = runTimes_.ReportOf(resolved.value().requestClass->name);
  }
  return attemptResult.result;
}

OrRefusal<void> RequestPipeline::Impl::RunCallWithoutContext(ServerExchange& exchange,
                                                             const ResolvedRequest& request)
{
  if (!request.requestClass->openToAll) {
    return NotRunRefusal(
      403, Reason::InvalidContext, "a nested call to this route needs Acp-Context");
  }
  auto context = admission_.NewContext(exchange.Request(), request, "");
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  runTimes_.RecordNestedCall("");
  AdmittedRequest admitted{ .request = request, .context = std::move(context).value() };
  // The call may belong to a request whose context the upstream omitted. A separate retry budget
  // would multiply that request's retries.
  admitted.context.retriesLeft = 0;
  return RunAdmitted(exchange, admitted).result;
}

OrRefusal<void> RequestPipeline::Impl::RunNestedCall(ServerExchange& exchange)
{
  const auto& head = exchange.Request();
  const auto resolved = resolver_.Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  const auto& request = resolved.value();
  auto fresh = resolver_.CheckFreshness(*request.requestClass);
  if (!fresh) {
    return fresh;
  }
  if (!head.headers.Find(detail::kContextHeader)) {
    return RunCallWithoutContext(exchange, request);
  }
  const auto parent = detail::VerifyContext(signer_, *options_.clock, exchange);
  if (!parent) {
    return boost::outcome_v2::failure(parent.error());
  }
  const std::string callerClass = hops_.RequestClassOf(parent.value().hopId);
  runTimes_.RecordNestedCall(callerClass);
  if (!nestedThresholds_.AdmitsCall(
        callerClass, { request.service, request.requestClass->name }, parent.value())) {
    hops_.RecordRefusedCall(parent.value().hopId);
    return OverloadedRefusal("the called service is overloaded");
  }
  RequestBody body(
    exchange.RequestBody(), exchange.RequestBodyLength(), request.requestClass->maxBodyBytes);
  auto prefetched = body.Prefetch();
  if (!prefetched) {
    return prefetched;
  }
  PendingCall call{ .exchange = exchange,
                    .request = request,
                    .body = body,
                    .recipient = Recipient::Caller,
                    .callerClass = callerClass,
                    .thresholds = &nestedThresholds_ };
  const RetryReservation reservation = hops_.ReserveRetries(parent.value());
  RequestContext child = parent.value();
  child.retriesLeft = reservation.granted;
  const auto dispatchResult = dispatcher_.Run(call, child);
  hops_.ReleaseRetries(reservation, dispatchResult.unusedRetries);
  if (!dispatchResult.result && dispatchResult.result.error().outcome == RequestOutcome::NotRun) {
    hops_.RecordRefusedCall(parent.value().hopId);
  }
  return dispatchResult.result;
}

OrRefusal<void> RequestPipeline::Impl::Announce(ServerExchange& exchange)
{
  const auto body = ReadAll(exchange.RequestBody(), kMaxAnnouncementBytes);
  if (!body) {
    return NotRunRefusal(413, Reason::TooLarge, "the announcement is larger than 4 KiB");
  }
  const auto announced = Announcement::Parse(*body);
  if (!announced) {
    return NotRunRefusal(400, Reason::BadRequest, announced.error().Describe());
  }
  Announce(announced.value());
  exchange.Respond({ .status = 204 }, "");
  return boost::outcome_v2::success();
}

void RequestPipeline::Impl::Announce(const Announcement& announcement)
{
  warmup_.SetService(announcement.service);
  const auto before = options_.upstream->Current();
  if (!options_.upstream->Announce(announcement)) {
    return;
  }
  const bool isSameInstance = before && before->service == announcement.service &&
                              before->address == announcement.address &&
                              before->instanceId == announcement.instanceId;
  runTimes_.SetSlots(announcement.slots);
  if (!isSameInstance) {
    runTimes_.Reset();
  }
  {
    const std::lock_guard lock(drainMutex_);
    isUpstreamDraining_ = announcement.draining;
    gate_.SetCapacity(announcement.slots,
                      std::chrono::milliseconds(announcement.coldStartMs),
                      isUpstreamDraining_ || isEvacuated_);
  }
  options_.onAnnouncementChanged();
}

bool RequestPipeline::Impl::IsEvacuated() const
{
  const std::lock_guard lock(drainMutex_);
  return isEvacuated_;
}

void RequestPipeline::Impl::SetGateEvacuated(bool isEvacuated)
{
  const std::lock_guard lock(drainMutex_);
  isEvacuated_ = isEvacuated;
  gate_.SetDraining(isUpstreamDraining_ || isEvacuated_);
}

void RequestPipeline::Impl::SetEvacuated(const std::set<std::string>& dataCentres)
{
  const bool wasEvacuated = IsEvacuated();
  const bool isEvacuated = dataCentres.contains(options_.dataCentre);
  Log(LogLevel::Info,
      "evacuation_in_force",
      { { "data_centres", fmt::format("{}", fmt::join(dataCentres, ",")) },
        { "own", isEvacuated ? "yes" : "no" } });
  // Members first, so that the requests which the gate refuses are not sent back to it.
  if (isEvacuated) {
    options_.members->SetEvacuated(dataCentres);
  }
  if (wasEvacuated && !isEvacuated && options_.onEvacuationEnded) {
    options_.onEvacuationEnded();
  }
  if (wasEvacuated != isEvacuated) {
    SetGateEvacuated(isEvacuated);
  }
  options_.members->SetEvacuated(dataCentres);
}

void RequestPipeline::Impl::HandlePeer(ServerExchange& exchange)
{
  RecordSchedulingDelay();
  const auto result = RunPeerCall(exchange);
  if (!result) {
    SendRefusal(exchange, result.error());
  }
}

void RequestPipeline::Impl::HandleEgress(ServerExchange& exchange)
{
  const bool isAnnouncement = exchange.Request().target == kAnnounceTarget;
  const auto result = isAnnouncement ? Announce(exchange) : RunNestedCall(exchange);
  if (!result) {
    SendRefusal(exchange, result.error());
  }
}

RequestPipeline::RequestPipeline(RequestPipelineOptions options)
  : impl_(std::make_unique<Impl>(std::move(options)))
{
}

RequestPipeline::~RequestPipeline() = default;

void RequestPipeline::HandleIngress(ServerExchange& exchange)
{
  impl_->HandleIngress(exchange);
}

void RequestPipeline::Announce(const Announcement& announcement)
{
  impl_->Announce(announcement);
}

void RequestPipeline::SetEvacuated(const std::set<std::string>& dataCentres)
{
  impl_->SetEvacuated(dataCentres);
}

void RequestPipeline::ReportWarmup(const WarmupReport& report)
{
  impl_->ReportWarmup(report);
}

void RequestPipeline::AssumeUpstreamCold()
{
  impl_->AssumeUpstreamCold();
}

void RequestPipeline::HandlePeer(ServerExchange& exchange)
{
  impl_->HandlePeer(exchange);
}

void RequestPipeline::HandleEgress(ServerExchange& exchange)
{
  impl_->HandleEgress(exchange);
}

PipelineStats RequestPipeline::Stats() const
{
  return impl_->Stats();
}

} // namespace acp
