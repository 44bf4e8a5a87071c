#include "acaciapulley/node/request_pipeline.hpp"

#include <algorithm> // min
#include <optional>  // optional
#include <utility>   // move

#include "acaciapulley/core/event_loop.hpp"            // EventLoop
#include "acaciapulley/node/detail/dispatcher.hpp"     // Dispatcher
#include "acaciapulley/node/detail/fleet_resolver.hpp" // FleetResolver
#include "acaciapulley/node/detail/headers.hpp"        // kContextHeader
#include "acaciapulley/node/detail/peer_context.hpp"   // VerifyContext, VerifyFleetContext
#include "acaciapulley/node/detail/request_times.hpp"  // MillisIn
#include "acaciapulley/node/detail/root_admission.hpp" // Root, RootAdmission
#include "acaciapulley/node/detail/token_client.hpp"   // TokenClient

namespace acp {

namespace {

using detail::AttemptEnd;
using detail::Audience;
using detail::DispatchEnd;
using detail::PendingCall;
using detail::RequestBody;
using detail::ResolvedRequest;
using detail::Root;

constexpr std::size_t kMaxAnnouncementBytes = 4096;
constexpr std::string_view kAnnounceTarget = "/.acp/upstream";
// Of an upstream's announced slots, where no adaptive limit finds out how many are of use.
constexpr double kUsableShare = 0.95;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

auto RefuseAsOverloaded(const char* message)
{
  return NotRun(503, Reason::Overloaded, message, kOverloadRetryAfter);
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

  [[nodiscard]] PipelineFigures Figures() const
  {
    return { tokens_.CallCounts(), gate_.Figures() };
  }

private:
  using TokenPtr = std::shared_ptr<detail::TokenClient::Token>;

  [[nodiscard]] ThresholdTableOptions ThresholdOptions() const;
  /// Tells the gate how long the present message has waited for this node's processor.
  void NoteDelay();
  OrRefusal<TokenPtr> TakeToken(const ServerExchange& exchange, const Root& root);
  DispatchEnd RunRoot(ServerExchange& exchange, const Root& root);
  OrRefusal<void> RunPeerCall(ServerExchange& exchange);
  OrRefusal<void> RunNestedCall(ServerExchange& exchange);
  OrRefusal<void> RunOpenCall(ServerExchange& exchange, const ResolvedRequest& request);
  OrRefusal<void> Announce(ServerExchange& exchange);

  RequestPipelineOptions options_;
  ContextSigner signer_;
  detail::RequestResolver resolver_;
  BlockingGate gate_;
  detail::HopBook hops_;
  detail::ThresholdBook entryThresholds_; ///< met by callers' requests that enter here
  detail::ThresholdBook runThresholds_;   ///< met by nested calls of the local upstream
  detail::RootAdmission admission_;
  detail::ClaimClient claims_;
  detail::TokenClient tokens_;
  Balancer balancer_;
  detail::Executor executor_;
  detail::PeerClient peers_;
  detail::Dispatcher dispatcher_;
};

RequestPipeline::Impl::Impl(RequestPipelineOptions options)
  : options_(std::move(options))
  , signer_([this] {
    return options_.routesByFleet ? options_.view->FleetSecret() : options_.fleetSecret;
  })
  , resolver_(*options_.view, *options_.clock)
  , gate_({ .limit = { .adaptive = !options_.routesByFleet,
                       .usableShare = options_.routesByFleet ? kUsableShare : 1.0 },
            .threshold = { .byAccount = !options_.routesByFleet } },
          *options_.clock)
  , hops_({ .nodeId = options_.nodeId, .epoch = options_.epoch }, *options_.clock)
  , entryThresholds_(*options_.clock, ThresholdOptions())
  , runThresholds_(*options_.clock, ThresholdOptions())
  , admission_({ .nodeId = options_.nodeId,
                 .epoch = options_.epoch,
                 .retryBudget = options_.retryBudget,
                 .routesByFleet = options_.routesByFleet,
                 .clock = options_.clock,
                 .view = options_.view,
                 .resolver = &resolver_,
                 .hops = &hops_,
                 .thresholds = &entryThresholds_ })
  , claims_(options_.control, options_.nodeId)
  , tokens_({ .nodeId = options_.nodeId,
              .epoch = options_.epoch,
              .clock = options_.clock,
              .call = options_.tokens })
  , balancer_({ .localNodeId = options_.nodeId,
                .localDataCentre = options_.dataCentre,
                .members = options_.members })
  , executor_({ .clock = options_.clock,
                .resolver = &resolver_,
                .signer = &signer_,
                .upstream = options_.upstream,
                .gate = &gate_,
                .hops = &hops_,
                .claims = &claims_,
                .thresholds = &runThresholds_,
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
                  .sharedRetries = options_.sharedRetries })
{
}

ThresholdTableOptions RequestPipeline::Impl::ThresholdOptions() const
{
  return { .seed = options_.nodeId, .byAccount = !options_.routesByFleet };
}

OrRefusal<RequestPipeline::Impl::TokenPtr> RequestPipeline::Impl::TakeToken(
  const ServerExchange& exchange,
  const Root& root)
{
  if (!root.limit) {
    return TokenPtr();
  }
  return tokens_.Take(*root.limit, exchange.CallerGone());
}

DispatchEnd RequestPipeline::Impl::RunRoot(ServerExchange& exchange, const Root& root)
{
  const bool hasParent = !root.parentClass.empty();
  auto& thresholds = hasParent ? runThresholds_ : entryThresholds_;
  const std::string ownClass = hasParent ? root.parentClass : detail::ClassName(root.request);
  thresholds.NoteCall(ownClass, detail::CalleeOf(root.request));
  RequestBody body(
    exchange.RequestBody(), exchange.RequestBodyLength(), root.request.requestClass->maxBodyBytes);
  auto prefetched = body.Prefetch();
  if (!prefetched) {
    return { .result = prefetched };
  }
  PendingCall call{ .exchange = exchange,
                    .request = root.request,
                    .body = body,
                    .audience = Audience::Caller,
                    .entersHere = !root.isNested,
                    .ownClass = ownClass,
                    .thresholds = &thresholds,
                    .patience = root.patience,
                    .callerService = options_.callerService };
  const auto entry = options_.stop->Enter(StopCandidateOf(call, root.context));
  if (!entry) {
    return { .result = boost::outcome_v2::failure(entry.error()) };
  }
  // Not before the body is there, so that a slow caller holds no token.
  const auto token = TakeToken(exchange, root);
  if (!token) {
    return { .result = boost::outcome_v2::failure(token.error()) };
  }
  if (token.value()) {
    call.commitToken = [&token] { return token.value()->Commit(); };
  }
  return dispatcher_.Run(call, root.context);
}

void RequestPipeline::Impl::NoteDelay()
{
  const EventLoop* loop = EventLoop::Current();
  if (options_.routesByFleet && loop != nullptr) {
    gate_.NoteDelay(loop->Delay());
  }
}

void RequestPipeline::Impl::HandleIngress(ServerExchange& exchange)
{
  const TimePoint start = options_.clock->Now();
  EndedRequest ended;
  OrRefusal<void> result = boost::outcome_v2::success();
  NoteDelay();
  const auto root = admission_.Admit(exchange, ended);
  if (root) {
    const DispatchEnd end = RunRoot(exchange, root.value());
    result = end.result;
    ended.isUpstreamError = end.gotServerError;
  } else {
    result = boost::outcome_v2::failure(root.error());
  }
  if (!result) {
    ended.outcome = result.error().outcome;
    ended.reason = result.error().reason;
    ended.status = result.error().status;
    ended.message = result.error().message;
    ended.requestId = exchange.Request().headers.Find(options_.requestIdField).value_or("");
    SendRefusal(exchange, result.error());
  }
  ended.latency = options_.clock->Now() - start;
  if (options_.onEnded) {
    options_.onEnded(ended);
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
                    .audience = Audience::Peer,
                    .ownClass = detail::ClassName(resolved.value()),
                    .thresholds = &runThresholds_,
                    .patience =
                      detail::MillisIn(exchange.Request().headers, detail::kPatienceHeader),
                    .callerService =
                      exchange.Request().headers.Find(detail::kCallerServiceHeader).value_or("") };
  const auto entry = options_.stop->Enter(StopCandidateOf(call, context.value()));
  if (!entry) {
    return boost::outcome_v2::failure(entry.error());
  }
  AttemptEnd end = executor_.Run(call, context.value());
  if (!end.result) {
    // Refusals carry the same figures as answers, so that callers learn most when it matters most.
    end.result.error().unusedRetries = end.unusedRetries;
    end.result.error().threshold = executor_.Threshold(resolved.value(), context.value().account);
    end.result.error().load = gate_.Load();
  }
  return end.result;
}

OrRefusal<void> RequestPipeline::Impl::RunOpenCall(ServerExchange& exchange,
                                                   const ResolvedRequest& request)
{
  if (!request.requestClass->openToAll) {
    return NotRun(403, Reason::InvalidContext, "a nested call to this route needs Acp-Context");
  }
  auto context = admission_.NewContext(exchange.Request(), request, "");
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  Root root{ .request = request, .context = std::move(context).value() };
  // The call may belong to a request whose context the upstream left out; a budget of its own would
  // multiply that request's retries.
  root.context.retriesLeft = 0;
  return RunRoot(exchange, root).result;
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
    return RunOpenCall(exchange, request);
  }
  const auto parent = detail::VerifyContext(signer_, *options_.clock, exchange);
  if (!parent) {
    return boost::outcome_v2::failure(parent.error());
  }
  const std::string ownClass = hops_.ClassOf(parent.value().hopId);
  if (!runThresholds_.AdmitsCall(
        ownClass, { request.service, request.requestClass->name }, parent.value())) {
    hops_.NoteRefusedCall(parent.value().hopId);
    return RefuseAsOverloaded("the called service is overloaded");
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
                    .audience = Audience::Caller,
                    .ownClass = ownClass,
                    .thresholds = &runThresholds_ };
  const RetryReservation reservation = hops_.Draw(parent.value());
  RequestContext child = parent.value();
  child.retriesLeft = reservation.granted;
  const auto end = dispatcher_.Run(call, child);
  hops_.Return(reservation, end.unusedRetries);
  if (!end.result && end.result.error().outcome == RequestOutcome::NotRun) {
    hops_.NoteRefusedCall(parent.value().hopId);
  }
  return end.result;
}

OrRefusal<void> RequestPipeline::Impl::Announce(ServerExchange& exchange)
{
  const auto body = ReadAll(exchange.RequestBody(), kMaxAnnouncementBytes);
  if (!body) {
    return NotRun(413, Reason::TooLarge, "the announcement is larger than 4 KiB");
  }
  const auto announced = Announcement::Parse(*body);
  if (!announced) {
    return NotRun(400, Reason::BadRequest, announced.error().Describe());
  }
  Announce(announced.value());
  exchange.Respond({ .status = 204 }, "");
  return boost::outcome_v2::success();
}

void RequestPipeline::Impl::Announce(const Announcement& announcement)
{
  if (options_.upstream->Current() == announcement) {
    return;
  }
  options_.upstream->Announce(announcement);
  gate_.Announce(
    announcement.slots, std::chrono::milliseconds(announcement.coldStartMs), announcement.draining);
  options_.onAnnounced();
}

void RequestPipeline::Impl::HandlePeer(ServerExchange& exchange)
{
  NoteDelay();
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

void RequestPipeline::HandlePeer(ServerExchange& exchange)
{
  impl_->HandlePeer(exchange);
}

void RequestPipeline::HandleEgress(ServerExchange& exchange)
{
  impl_->HandleEgress(exchange);
}

PipelineFigures RequestPipeline::Figures() const
{
  return impl_->Figures();
}

} // namespace acp
