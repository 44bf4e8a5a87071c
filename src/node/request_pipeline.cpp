#include "acaciapulley/node/request_pipeline.hpp"

#include <algorithm> // find_if, max, min
#include <array>     // array
#include <utility>   // move

#include <fmt/format.h> // format

#include "acaciapulley/core/random.hpp" // RandomHex

namespace acp {

namespace {

constexpr std::size_t kRootIdBytes = 16;
constexpr std::size_t kHopIdBytes = 8;
constexpr int kDefaultRetryBudget = 2;
constexpr std::size_t kMaxAnnouncementBytes = 4096;
constexpr int kPeerConnections = 256;
constexpr std::string_view kAnnounceTarget = "/.acp/upstream";

// Fields that describe one connection or that the node itself sets.
constexpr std::array<std::string_view, 11> kNotForwarded = {
  "Acp-Key",        "Acp-Context",      "Connection", "Keep-Alive",  "Transfer-Encoding", "Host",
  "Content-Length", "Proxy-Connection", "Upgrade",    "Acp-Outcome", "Acp-Reason",
};

bool IsForwarded(std::string_view name)
{
  for (const auto& excluded : kNotForwarded) {
    if (EqualsIgnoreCase(name, excluded)) {
      return false;
    }
  }
  return true;
}

HttpHeaders ForwardedHeaders(const HttpHeaders& headers)
{
  HttpHeaders kept;
  for (const auto& [name, value] : headers.Fields()) {
    if (IsForwarded(name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

void Refuse(ServerExchange& exchange,
            int status,
            RequestOutcome outcome,
            Reason reason,
            const std::string& message)
{
  HttpResponseHead head{ .status = status };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set("Acp-Outcome", std::string(NameOf(outcome)));
  head.headers.Set("Acp-Reason", std::string(NameOf(reason)));
  exchange.Respond(head, message + "\n");
}

void RefuseNotRun(ServerExchange& exchange, int status, Reason reason, const std::string& message)
{
  Refuse(exchange, status, RequestOutcome::NotRun, reason, message);
}

} // namespace

RequestPipeline::RequestPipeline(RequestPipelineOptions options)
  : options_(std::move(options))
  , signer_(options_.fleetSecret)
{
}

bool RequestPipeline::Route(ServerExchange& exchange, Routed* routed)
{
  const auto& request = exchange.Request();
  const std::string& target = request.target;
  const std::size_t serviceEnd = std::min(target.find_first_of("/?", 1), target.size());
  routed->service = target.substr(1, serviceEnd - 1);
  routed->upstreamTarget = target.substr(serviceEnd);
  if (!routed->upstreamTarget.starts_with('/')) {
    routed->upstreamTarget.insert(0, "/");
  }
  routed->document = options_.view->DocumentOf(routed->service);
  if (!routed->document) {
    RefuseNotRun(exchange, 404, Reason::UnknownService, "no service '" + routed->service + "'");
    return false;
  }
  const std::string path = routed->upstreamTarget.substr(0, routed->upstreamTarget.find('?'));
  routed->requestClass = routed->document->Match(request.method, path);
  if (routed->requestClass == nullptr) {
    RefuseNotRun(exchange, 404, Reason::UnknownRoute, "no request class matches " + path);
    return false;
  }
  return true;
}

bool RequestPipeline::Authenticate(ServerExchange& exchange,
                                   const Routed& routed,
                                   std::string* account)
{
  const bool isOpen = routed.requestClass->openToAll;
  const Duration bound = isOpen ? kOpenFreshness : kKeyedFreshness;
  if (!options_.view->IsFresh(options_.clock->Now(), bound)) {
    RefuseNotRun(exchange, 503, Reason::StaleState, "this node cannot confirm its state");
    return false;
  }
  if (isOpen) {
    return true;
  }
  const auto key = exchange.Request().headers.Find("Acp-Key");
  if (!key) {
    RefuseNotRun(exchange, 401, Reason::MissingKey, "send the client account's key in Acp-Key");
    return false;
  }
  if (exchange.Request().target.find(*key) != std::string::npos) {
    RefuseNotRun(exchange, 400, Reason::KeyInUrl, "the URL must not contain the key");
    return false;
  }
  const auto owner = options_.view->CheckKey(*key);
  if (!owner) {
    RefuseNotRun(exchange, 401, Reason::InvalidKey, "the key is not in force");
    return false;
  }
  if (routed.document->LimitOf(*owner) == nullptr) {
    RefuseNotRun(exchange,
                 403,
                 Reason::AccountNotListed,
                 fmt::format("'{}' has no rate for service '{}'", *owner, routed.service));
    return false;
  }
  *account = *owner;
  return true;
}

RequestContext RequestPipeline::NewRoot(const Routed& routed, const std::string& account) const
{
  const auto deadline =
    std::chrono::duration_cast<std::chrono::milliseconds>(routed.requestClass->deadline);
  RequestContext context;
  context.rootId = RandomHex(kRootIdBytes);
  context.hopId = RandomHex(kHopIdBytes);
  context.account = account;
  context.priority = routed.requestClass->priority;
  context.idempotent = routed.requestClass->idempotent;
  context.deadline = ToUnixMillis(CountMillis(options_.clock->WallNow()) + deadline.count());
  context.retriesLeft = kDefaultRetryBudget;
  context.issuer = options_.nodeId;
  context.issuerEpoch = options_.epoch;
  return context;
}

void RequestPipeline::HandleIngress(ServerExchange& exchange)
{
  Routed routed;
  std::string account;
  if (!Route(exchange, &routed) || !Authenticate(exchange, routed, &account)) {
    return;
  }
  Dispatch(exchange, routed, NewRoot(routed, account));
}

void RequestPipeline::HandlePeer(ServerExchange& exchange)
{
  const auto header = exchange.Request().headers.Find("Acp-Context");
  const auto context = signer_.Verify(header.value_or(""), options_.clock->WallNow());
  if (!context) {
    RefuseNotRun(exchange, 403, Reason::InvalidContext, context.error().Describe());
    return;
  }
  Routed routed;
  if (Route(exchange, &routed)) {
    RunOnLocalUpstream(exchange, routed, context.value());
  }
}

void RequestPipeline::HandleEgress(ServerExchange& exchange)
{
  if (exchange.Request().target == kAnnounceTarget) {
    Announce(exchange);
    return;
  }
  Routed routed;
  if (!Route(exchange, &routed)) {
    return;
  }
  const auto header = exchange.Request().headers.Find("Acp-Context");
  if (!header) {
    if (!routed.requestClass->openToAll) {
      RefuseNotRun(exchange, 403, Reason::InvalidContext, "nested calls must carry Acp-Context");
      return;
    }
    Dispatch(exchange, routed, NewRoot(routed, ""));
    return;
  }
  auto context = signer_.Verify(*header, options_.clock->WallNow());
  if (!context) {
    RefuseNotRun(exchange, 403, Reason::InvalidContext, context.error().Describe());
    return;
  }
  RequestContext child = context.value();
  child.hopId = RandomHex(kHopIdBytes);
  Dispatch(exchange, routed, child);
}

void RequestPipeline::Dispatch(ServerExchange& exchange,
                               const Routed& routed,
                               const RequestContext& context)
{
  const auto local = options_.upstream->Current();
  if (local && local->service == routed.service && !local->draining) {
    RunOnLocalUpstream(exchange, routed, context);
    return;
  }
  const auto members = options_.view->MembersOf(routed.service);
  const auto usable = std::find_if(members.begin(), members.end(), [this](const PeerInfo& peer) {
    return !peer.draining && peer.nodeId != options_.nodeId;
  });
  if (usable == members.end()) {
    RefuseNotRun(exchange, 503, Reason::NoUpstream, "no upstream serves " + routed.service);
    return;
  }
  Forward(exchange, *PeerPool(usable->peerAddress), exchange.Request().target, context);
}

void RequestPipeline::RunOnLocalUpstream(ServerExchange& exchange,
                                         const Routed& routed,
                                         const RequestContext& context)
{
  const auto pool = options_.upstream->Pool();
  const auto local = options_.upstream->Current();
  if (!pool || !local || local->service != routed.service) {
    RefuseNotRun(exchange, 503, Reason::NoUpstream, "no upstream of the service is here");
    return;
  }
  if (local->draining) {
    RefuseNotRun(exchange, 503, Reason::Draining, "the upstream is draining");
    return;
  }
  Forward(exchange, *pool, routed.upstreamTarget, context);
}

void RequestPipeline::Forward(ServerExchange& exchange,
                              HttpPool& pool,
                              const std::string& target,
                              const RequestContext& context)
{
  const auto remaining = std::chrono::milliseconds(CountMillis(context.deadline) -
                                                   CountMillis(options_.clock->WallNow()));
  if (remaining.count() <= 0) {
    RefuseNotRun(exchange, 503, Reason::DeadlineExceeded, "the deadline has passed");
    return;
  }
  HttpRequestHead head{ .method = exchange.Request().method, .target = target };
  head.headers = ForwardedHeaders(exchange.Request().headers);
  head.headers.Set("Acp-Context", signer_.Sign(context));
  auto sent = pool.Send(head, exchange.RequestBody(), exchange.RequestBodyLength(), remaining);
  if (!sent) {
    const bool nothingSent = sent.error().code == TransportErrorCode::Unreachable;
    const bool timedOut = sent.error().code == TransportErrorCode::Timeout;
    if (nothingSent) {
      RefuseNotRun(exchange, 503, Reason::UpstreamUnreachable, sent.error().Describe());
    } else {
      Refuse(exchange,
             timedOut ? 504 : 502,
             RequestOutcome::Unknown,
             timedOut ? Reason::UpstreamTimeout : Reason::UpstreamConnectionLost,
             sent.error().Describe());
    }
    return;
  }
  const auto& answer = *sent.value();
  HttpResponseHead response{ .status = answer.Response().status };
  response.headers = ForwardedHeaders(answer.Response().headers);
  response.headers.Set("Acp-Outcome",
                       answer.Response().headers.Find("Acp-Outcome").value_or("ran"));
  if (const auto reason = answer.Response().headers.Find("Acp-Reason")) {
    response.headers.Set("Acp-Reason", *reason);
  }
  exchange.RespondStreaming(response, answer.BodyLength(), sent.value()->Body(), nullptr);
}

void RequestPipeline::Announce(ServerExchange& exchange)
{
  const auto body = ReadAll(exchange.RequestBody(), kMaxAnnouncementBytes);
  if (!body) {
    RefuseNotRun(exchange, 413, Reason::TooLarge, "the announcement is larger than 4 KiB");
    return;
  }
  const auto announcement = Announcement::Parse(*body);
  if (!announcement) {
    RefuseNotRun(exchange, 400, Reason::BadRequest, announcement.error().Describe());
    return;
  }
  options_.upstream->Announce(announcement.value());
  options_.onAnnounced();
  exchange.Respond({ .status = 204 }, "");
}

std::shared_ptr<HttpPool> RequestPipeline::PeerPool(const Address& address)
{
  const std::lock_guard lock(poolsMutex_);
  auto& pool = peerPools_[address.ToString()];
  if (!pool) {
    pool = std::make_shared<HttpPool>(HttpPoolOptions{
      .address = address, .maxConnections = kPeerConnections, .sendsHeartbeats = true });
  }
  return pool;
}

} // namespace acp
