#include "acaciapulley/node/request_pipeline.hpp"

#include <algorithm> // min
#include <optional>  // optional
#include <utility>   // move

#include "acaciapulley/core/random.hpp"                // RandomHex
#include "acaciapulley/node/detail/dispatcher.hpp"     // Dispatcher
#include "acaciapulley/node/detail/fleet_resolver.hpp" // FleetResolver
#include "acaciapulley/node/detail/headers.hpp"        // kContextHeader
#include "acaciapulley/node/detail/peer_context.hpp"   // VerifyContext, VerifyFleetContext
#include "acaciapulley/node/detail/request_times.hpp"  // MillisIn, PatienceOf, TimeAllowed
#include "acaciapulley/node/detail/token_client.hpp"   // TokenClient

namespace acp {

namespace {

using detail::AttemptEnd;
using detail::Audience;
using detail::PendingCall;
using detail::RequestBody;
using detail::ResolvedRequest;

constexpr std::size_t kRootIdBytes = 16;
constexpr std::size_t kMaxAnnouncementBytes = 4096;
constexpr std::string_view kAnnounceTarget = "/.acp/upstream";
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
// Longest wait for the first state of a node that has just started; the median time until a new
// control leader serves it (docs/measurements-replication.md).
constexpr Duration kFirstStateWait = std::chrono::milliseconds(450);

} // namespace

class RequestPipeline::Impl
{
public:
  explicit Impl(RequestPipelineOptions options);

  void HandleIngress(ServerExchange& exchange);
  void HandlePeer(ServerExchange& exchange);
  void HandleEgress(ServerExchange& exchange);
  void Announce(const Announcement& announcement);

  [[nodiscard]] detail::TokenCallCounts TokenCalls() const { return tokens_.CallCounts(); }

private:
  /// A caller's request that may run.
  struct Root
  {
    ResolvedRequest request;
    RequestContext context;
    std::optional<LimitKey> limit; ///< whose token the request needs
    std::shared_ptr<detail::TokenClient::Token> token;
    Duration patience{}; ///< see PendingCall::patience
  };

  OrRefusal<Root> AdmitRoot(ServerExchange& exchange, EndedRequest& ended);
  OrRefusal<Root> AdmitFleetRoot(ServerExchange& exchange, EndedRequest& ended);
  OrRefusal<void> TakeToken(const ServerExchange& exchange, Root& root);
  OrRefusal<void> RunRoot(ServerExchange& exchange, Root& root);
  OrRefusal<void> RunPeerCall(ServerExchange& exchange);
  OrRefusal<void> RunNestedCall(ServerExchange& exchange);
  OrRefusal<void> RunOpenCall(ServerExchange& exchange, const ResolvedRequest& request);
  OrRefusal<void> Announce(ServerExchange& exchange);
  OrRefusal<RequestContext> NewContext(const HttpRequestHead& head,
                                       const ResolvedRequest& request,
                                       const std::string& account) const;

  RequestPipelineOptions options_;
  ContextSigner signer_;
  detail::RequestResolver resolver_;
  detail::FleetResolver fleetResolver_;
  BlockingGate gate_;
  detail::HopBook hops_;
  detail::ThresholdBook thresholds_;
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
  , fleetResolver_(*options_.view, *options_.clock)
  , gate_({ .limit = { .adaptive = !options_.routesByFleet } }, *options_.clock)
  , hops_({ .nodeId = options_.nodeId, .epoch = options_.epoch }, *options_.clock)
  , thresholds_(*options_.clock)
  , claims_(options_.control, options_.nodeId)
  , tokens_({ .nodeId = options_.nodeId,
              .epoch = options_.epoch,
              .clock = options_.clock,
              .call = options_.tokens })
  , balancer_({ .ownNodeId = options_.nodeId,
                .ownDataCentre = options_.dataCentre,
                .members = options_.members })
  , executor_({ .clock = options_.clock,
                .resolver = &resolver_,
                .signer = &signer_,
                .upstream = options_.upstream,
                .gate = &gate_,
                .hops = &hops_,
                .claims = &claims_,
                .thresholds = &thresholds_,
                .stop = options_.stop,
                .guards = options_.guards })
  , peers_({ .clock = options_.clock,
             .signer = &signer_,
             .thresholds = &thresholds_,
             .members = options_.members,
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

OrRefusal<RequestContext> RequestPipeline::Impl::NewContext(const HttpRequestHead& head,
                                                            const ResolvedRequest& request,
                                                            const std::string& account) const
{
  const auto allowed = detail::TimeAllowed(head, *request.requestClass);
  if (!allowed) {
    return boost::outcome_v2::failure(allowed.error());
  }
  const auto now = CountMillis(options_.clock->WallNow());
  return RequestContext{ .rootId = RandomHex(kRootIdBytes),
                         .account = account,
                         .priority = request.requestClass->priority,
                         .idempotent = request.requestClass->idempotent,
                         .deadline = ToUnixMillis(now + allowed.value().count()),
                         .retriesLeft = options_.retryBudget,
                         .issuer = options_.nodeId,
                         .issuerEpoch = options_.epoch };
}

OrRefusal<RequestPipeline::Impl::Root> RequestPipeline::Impl::AdmitRoot(ServerExchange& exchange,
                                                                        EndedRequest& ended)
{
  const auto& head = exchange.Request();
  auto resolved = resolver_.Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  Root root{ .request = std::move(resolved).value() };
  ended.service = root.request.service;
  ended.requestClass = root.request.requestClass->name;
  const auto fresh = resolver_.CheckFreshness(*root.request.requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto account = resolver_.Authenticate(head, root.request);
  if (!account) {
    return boost::outcome_v2::failure(account.error());
  }
  ended.account = account.value();
  auto context = NewContext(head, root.request, account.value());
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  root.context = std::move(context).value();
  if (!thresholds_.AdmitsRequest(detail::ClassName(root.request), root.context)) {
    return NotRun(503,
                  Reason::Overloaded,
                  "a service that the request needs is overloaded",
                  kOverloadRetryAfter);
  }
  if (!root.request.requestClass->openToAll) {
    root.limit = { root.request.service, account.value() };
  }
  return root;
}

OrRefusal<void> RequestPipeline::Impl::TakeToken(const ServerExchange& exchange, Root& root)
{
  if (!root.limit) {
    return boost::outcome_v2::success();
  }
  auto token = tokens_.Take(*root.limit, exchange.CallerGone());
  if (!token) {
    return boost::outcome_v2::failure(token.error());
  }
  root.token = std::move(token).value();
  return boost::outcome_v2::success();
}

OrRefusal<RequestPipeline::Impl::Root> RequestPipeline::Impl::AdmitFleetRoot(
  ServerExchange& exchange,
  EndedRequest& ended)
{
  const auto& head = exchange.Request();
  auto resolved = fleetResolver_.Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  Root root{ .request = std::move(resolved).value() };
  const RequestClass& requestClass = *root.request.requestClass;
  ended.service = root.request.service;
  ended.requestClass = requestClass.name;
  const auto fresh = resolver_.CheckFreshness(requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto caller = fleetResolver_.Authenticate(head, root.request);
  if (!caller) {
    return boost::outcome_v2::failure(caller.error());
  }
  ended.account = caller.value().account;
  auto context = NewContext(head, root.request, caller.value().account);
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  root.context = std::move(context).value();
  root.context.priority = caller.value().priority;
  // A nested call belongs to a request on which work has been done, so that only its gate refuses
  // it.
  const bool isNested = caller.value().account.empty();
  const Duration remaining = std::chrono::milliseconds(CountMillis(root.context.deadline) -
                                                       CountMillis(options_.clock->WallNow()));
  root.patience = detail::PatienceOf(requestClass, remaining, isNested);
  root.context.retriesLeft = std::min(options_.retryBudget, requestClass.maxAttempts - 1);
  if (!isNested && !thresholds_.AdmitsRequest(detail::ClassName(root.request), root.context)) {
    return NotRun(503,
                  Reason::Overloaded,
                  "a service that the request needs is overloaded",
                  kOverloadRetryAfter);
  }
  if (caller.value().isLimited) {
    root.limit = { kWholeFleet, caller.value().account };
  }
  return root;
}

OrRefusal<void> RequestPipeline::Impl::RunRoot(ServerExchange& exchange, Root& root)
{
  RequestBody body(
    exchange.RequestBody(), exchange.RequestBodyLength(), root.request.requestClass->maxBodyBytes);
  auto prefetched = body.Prefetch();
  if (!prefetched) {
    return prefetched;
  }
  PendingCall call{ .exchange = exchange,
                    .request = root.request,
                    .body = body,
                    .audience = Audience::Caller,
                    .entersHere = true,
                    .ownClass = detail::ClassName(root.request),
                    .patience = root.patience,
                    .callerService = options_.callerService };
  const auto entry = options_.stop->Enter(StopCandidateOf(call, root.context));
  if (!entry) {
    return boost::outcome_v2::failure(entry.error());
  }
  // Not before the body is there, so that a slow caller holds no token.
  auto taken = TakeToken(exchange, root);
  if (!taken) {
    return taken;
  }
  if (root.token) {
    call.commitToken = [&root] { return root.token->Commit(); };
  }
  return dispatcher_.Run(call, root.context).result;
}

void RequestPipeline::Impl::HandleIngress(ServerExchange& exchange)
{
  const TimePoint start = options_.clock->Now();
  EndedRequest ended;
  OrRefusal<void> result = boost::outcome_v2::success();
  options_.view->AwaitFirst(*options_.clock, kFirstStateWait, exchange.CallerGone());
  auto root = options_.routesByFleet ? AdmitFleetRoot(exchange, ended) : AdmitRoot(exchange, ended);
  if (root) {
    result = RunRoot(exchange, root.value());
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
    end.result.error().threshold =
      Stricter(gate_.Threshold(context.value().account),
               thresholds_.Combined(call.ownClass, context.value().account));
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
  auto context = NewContext(exchange.Request(), request, "");
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  Root root{ .request = request, .context = std::move(context).value() };
  // The call may belong to a request whose context the upstream left out; a budget of its own would
  // multiply that request's retries.
  root.context.retriesLeft = 0;
  return RunRoot(exchange, root);
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
  if (!thresholds_.AdmitsCall(
        ownClass, { request.service, request.requestClass->name }, parent.value())) {
    hops_.NoteRefusedCall(parent.value().hopId);
    return NotRun(503, Reason::Overloaded, "the called service is overloaded", kOverloadRetryAfter);
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
                    .ownClass = ownClass };
  const RetryDraw draw = hops_.Draw(parent.value());
  RequestContext child = parent.value();
  child.retriesLeft = draw.granted;
  const auto end = dispatcher_.Run(call, child);
  hops_.Return(draw, end.unusedRetries);
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

detail::TokenCallCounts RequestPipeline::TokenCalls() const
{
  return impl_->TokenCalls();
}

} // namespace acp
