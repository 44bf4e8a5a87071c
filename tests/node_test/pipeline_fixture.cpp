#include "pipeline_fixture.hpp"

#include <thread>

#include "acaciapulley/transport/http_client.hpp"
#include "pipeline_documents.hpp"

namespace acp::test {

namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(30);
const Address kAnyPort{ .ip = "127.0.0.1", .port = 0 };

struct NoReply
{};

/// A body that is truncated after its first parts.
class TruncatedBody final : public BodySource
{
public:
  std::size_t Read(char* buffer, std::size_t size) override
  {
    // Lets the server send the first parts before the body is truncated.
    if (++reads_ > 4) {
      throw BodyTruncated{};
    }
    std::fill_n(buffer, size, 'x');
    return size;
  }

private:
  int reads_ = 0;
};

HttpRequestHead FleetRequest(const std::string& method,
                             const std::string& target,
                             const std::string& key)
{
  HttpRequestHead head{ .method = method, .target = target };
  head.headers.Set("Host", "h");
  if (!key.empty()) {
    head.headers.Set("Acp-Key", key);
  }
  return head;
}

ClaimKey FromWire(const wire::ClaimKey& key)
{
  return { key.account, key.serviceName, key.idempotencyKey };
}

template<typename Error>
[[noreturn]] void ThrowFailure(const Error& error)
{
  wire::ControlFailure failure;
  failure.code = static_cast<int>(error.code);
  failure.message = error.Describe();
  throw failure;
}

} // namespace

FakeControl::FakeControl()
{
  authority_.BeginTerm(1, clock_.Now());
  for (const std::string service : { "front", "back" }) {
    for (const std::string account : { "a", "b" }) {
      authority_.SetLimit({ service, account }, { .rate = 5000, .burst = 5000 }, clock_.Now());
    }
    authority_.SetLimit({ service, "poor" }, { .rate = 1, .burst = 1 }, clock_.Now());
  }
  authority_.SetLimit(
    { kAllServices, "limited" }, { .rate = kLimitedRate, .burst = kLimitedRate }, clock_.Now());
  clock_.Advance(std::chrono::seconds(10));
}

TransportResult<void> FakeControl::Call(const std::function<void(wire::ControlServiceIf&)>& call)
{
  const std::lock_guard lock(mutex_);
  try {
    call(*this);
    return boost::outcome_v2::success();
  } catch (const wire::ControlFailure& failure) {
    return Fail(TransportErrorCode::Refused, failure.message);
  } catch (const NoReply&) {
    return Fail(TransportErrorCode::ConnectionLost, "no answer");
  }
}

void FakeControl::DeliverDelayed()
{
  const std::lock_guard lock(mutex_);
  for (const auto& apply : std::exchange(delayed_, {})) {
    try {
      apply();
    } catch (const wire::ControlFailure&) {
      // The caller no longer waits for the reply.
    }
  }
}

void FakeControl::ApplyWithFault(const std::string& call, const std::function<void()>& apply)
{
  const auto injectedFault = fault ? fault(call) : ControlFault::None;
  if (injectedFault == ControlFault::Delayed || injectedFault == ControlFault::NotCommitted) {
    delayed_.push_back(apply);
  } else if (injectedFault != ControlFault::Unreachable) {
    apply();
  }
  if (injectedFault == ControlFault::NotCommitted) {
    ThrowFailure(BasicError<TransportErrorCode>{ TransportErrorCode::Timeout, "not committed" });
  }
  if (injectedFault != ControlFault::None) {
    throw NoReply{};
  }
}

void FakeControl::Sync(wire::SyncReply& /*reply*/, const wire::SyncRequest& /*request*/) {}

void FakeControl::RelayTokens(wire::RelayedTokenReply& /*reply*/,
                              const wire::RelayedTokenRequest& /*request*/)
{
  throw NoReply{};
}

void FakeControl::RelayPolls(wire::PollRelayReply& /*reply*/,
                             const wire::PollRelayRequest& /*request*/)
{
  throw NoReply{};
}

void FakeControl::AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request)
{
  if (!grantsTokens) {
    throw NoReply{};
  }
  for (const auto& ask : request.asks) {
    const auto answer =
      authority_.Acquire({ .nodeId = request.nodeId,
                           .epoch = request.epoch,
                           .key = { ask.serviceName, ask.account },
                           .number = ask.number,
                           .term = ask.term,
                           .received = ask.received,
                           .spent = ask.spent,
                           .returned = ask.returned,
                           .spentAge = std::chrono::microseconds(ask.spentAgeMicros),
                           .needed = ask.needed,
                           .wanted = ask.wanted },
                         clock_.Now(),
                         clock_.Now());
    wire::TokenAnswer wired;
    if (answer) {
      const auto micros = [](Duration span) {
        return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
      };
      wired.term = answer.value().term;
      wired.number = answer.value().number;
      wired.granted = answer.value().granted;
      wired.leaseMicros = micros(answer.value().lease);
      wired.retryAfterMicros = micros(answer.value().retryAfter);
      wired.settleWithinMicros = micros(answer.value().settleWithin);
    } else {
      wired.errorCode = static_cast<int>(answer.error().code);
    }
    reply.answers.push_back(wired);
  }
}

void FakeControl::BeginClaim(wire::BeginClaimReply& reply, const wire::BeginClaimRequest& request)
{
  // A delayed call outlives the caller's reply object.
  auto kept = std::make_shared<wire::BeginClaimReply>();
  ApplyWithFault("begin", [this, kept, request] {
    const auto decision = claims_.Begin({ .key = FromWire(request.key),
                                          .attemptId = request.attemptId,
                                          .fingerprint = request.fingerprint,
                                          .deadline = ToUnixMillis(request.deadlineMs) },
                                        clock_.WallNow());
    if (!decision) {
      ThrowFailure(decision.error());
    }
    kept->state = static_cast<wire::ClaimState::type>(decision.value().state);
    if (const auto& outcome = decision.value().outcome) {
      kept->outcome.status = outcome->status;
      kept->outcome.contentType = outcome->contentType;
      kept->outcome.body = outcome->body;
      kept->outcome.bodyKept = outcome->bodyKept;
    }
  });
  reply = *kept;
}

void FakeControl::FinishClaim(const wire::FinishClaimRequest& request)
{
  ApplyWithFault("finish", [this, request] {
    const auto& outcome = request.outcome;
    const auto done =
      request.__isset.outcomeUnknown
        ? claims_.MarkUnknown(FromWire(request.key), request.attemptId, clock_.WallNow())
        : claims_.Finish(FromWire(request.key),
                         request.attemptId,
                         { .status = outcome.status,
                           .contentType = outcome.contentType,
                           .body = outcome.body,
                           .bodyKept = outcome.bodyKept },
                         clock_.WallNow());
    if (!done) {
      ThrowFailure(done.error());
    }
  });
}

void FakeControl::ReleaseClaim(const wire::ReleaseClaimRequest& request)
{
  ApplyWithFault("release", [this, request] {
    const auto done = claims_.Release(FromWire(request.key), request.attemptId, clock_.WallNow());
    if (!done) {
      ThrowFailure(done.error());
    }
  });
}

FetchResult Fetch(std::uint16_t port,
                  const HttpRequestHead& head,
                  const std::string& body,
                  std::int64_t declared)
{
  HttpPool pool({ .address = { "127.0.0.1", port } });
  StringBody source(body);
  const auto length = declared == -2 ? static_cast<std::int64_t>(body.size()) : declared;
  const auto sent = pool.Send(head, source, length, kFetchTimeout);
  FetchResult answer;
  if (!sent) {
    return answer;
  }
  const auto& answered = sent.value()->Response();
  answer.status = answered.status;
  answer.outcome = answered.headers.Find("Acp-Outcome").value_or("");
  answer.reason = answered.headers.Find("Acp-Reason").value_or("");
  try {
    answer.body = ReadAll(sent.value()->Body(), 1'000'000).value_or("");
    answer.isComplete = true;
  } catch (const BodyTruncated&) {
    answer.isComplete = false;
  }
  return answer;
}

FakeUpstream::FakeUpstream()
  : server_(std::make_unique<HttpServer>(
      HttpServerOptions{ .address = kAnyPort,
                         .handler = [this](ServerExchange& e) { Handle(e); } }))
{
}

std::vector<RecordedRequest> FakeUpstream::Recorded() const
{
  const std::lock_guard lock(mutex_);
  return recorded_;
}

int FakeUpstream::CountRuns(const std::string& text) const
{
  int runs = 0;
  for (const auto& recorded : Recorded()) {
    const auto key = recorded.head.headers.Find("Idempotency-Key").value_or("");
    const std::string all = recorded.head.target + '\n' + key + '\n' + recorded.body;
    runs += recorded.ran && all.find(text) != std::string::npos ? 1 : 0;
  }
  return runs;
}

void FakeUpstream::Handle(ServerExchange& exchange)
{
  RecordedRequest recorded{ .head = exchange.Request(),
                            .body = ReadAll(exchange.RequestBody(), 1'000'000).value_or("") };
  UpstreamBehaviour behaviour = UpstreamBehaviour::Succeed;
  {
    const std::lock_guard lock(mutex_);
    behaviour = chooseBehaviour ? chooseBehaviour() : UpstreamBehaviour::Succeed;
    recorded.ran = behaviour != UpstreamBehaviour::CloseBeforeRun &&
                   behaviour != UpstreamBehaviour::RefuseAsNotRun;
    recorded_.push_back(recorded);
  }
  if (behaviour == UpstreamBehaviour::CloseBeforeRun) {
    exchange.Abort();
    return;
  }
  if (behaviour == UpstreamBehaviour::RefuseAsNotRun) {
    HttpResponseHead refusal{ .status = 503 };
    refusal.headers.Set("Acp-Outcome", "not-run");
    exchange.Respond(refusal, "busy\n");
    return;
  }
  if (onRun) {
    onRun(recorded);
  }
  if (behaviour == UpstreamBehaviour::CloseAfterRun) {
    exchange.Abort();
    return;
  }
  while (behaviour == UpstreamBehaviour::Stall && !exchange.IsCallerGone()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  if (behaviour == UpstreamBehaviour::TruncateResponse) {
    TruncatedBody cut;
    exchange.RespondStreaming({ .status = 200 }, 100'000, cut, nullptr);
    return;
  }
  exchange.Respond({ .status = 200 }, "answer to " + recorded.head.target + " " + recorded.body);
}

TestKeys::TestKeys()
  : a(GenerateKey("a", ToUnixMillis(0)))
  , b(GenerateKey("b", ToUnixMillis(0)))
  , poor(GenerateKey("poor", ToUnixMillis(0)))
  , c(GenerateKey("c", ToUnixMillis(0)))
  , unknown(GenerateKey("a", ToUnixMillis(0)))
{
}

const TestKeys& Keys()
{
  static const TestKeys keys;
  return keys;
}

TestNode::TestNode(const TestNodeOptions& options)
  : options_(options)
  , clock_(options.clock != nullptr ? *options.clock : systemClock_)
  , upstream_(options.makeTranslation)
  , stop_(clock_)
  , pipeline_({ .nodeId = options.id,
                .epoch = 1,
                .dataCentre = options.dataCentre,
                .fleetSecret = std::string(32, 's'),
                .retryBudget = kRetryBudget,
                .routesByFleet = options.routesByFleet,
                .callerService = options.service,
                .clock = &clock_,
                .stateCache = &stateCache_,
                .upstream = &upstream_,
                .members = &members_,
                .regions = &regions_,
                .stop = &stop_,
                .claimControl = [this](const auto& call) { return options_.control->Call(call); },
                .tokenControl = [this](const auto& call) { return options_.control->Call(call); },
                .onAnnouncementChanged = [] {},
                .onEvacuationEnded = options.onEvacuationEnded,
                .requestHealthCheck = options.requestHealthCheck,
                .onRequestCompleted =
                  [this](const CompletedRequest& /*completed*/) { completed_.Notify(); },
                .guards = options.guards })
  , peer_(ListenerOptions(&RequestPipeline::HandlePeer))
  , egress_(ListenerOptions(&RequestPipeline::HandleEgress))
  , ingress_(ListenerOptions(&RequestPipeline::HandleIngress))
{
  if (!options.startsWithoutState) {
    ApplyState();
  }
  if (options.upstream != nullptr) {
    Announce(false);
  }
}

void TestNode::ApplyState()
{
  const auto& keys = Keys();
  // Confirmed in the future, so that the state does not become stale on a slow machine.
  const Duration age = options_.isStale ? std::chrono::hours(1) : -std::chrono::hours(1);
  stateCache_.Apply(
    { .isSnapshot = true,
      .toVersion = 1,
      .documents = { { 1, ServiceDocumentText("front") }, { 1, ServiceDocumentText("back") } },
      .issuedKeys = { keys.a.record, keys.b.record, keys.poor.record, keys.c.record },
      .fleet = ReceivedDocument{ 1, FleetDocumentText() },
      .fleetSecret = std::string(32, 'f') },
    clock_.Now() - age);
}

void TestNode::ApplyFleet(std::int64_t version, const std::string& text)
{
  stateCache_.Apply({ .toVersion = version,
                      .fleet = ReceivedDocument{ version, text },
                      .fleetSecret = std::string(32, 'f') },
                    clock_.Now() + std::chrono::hours(1));
}

HttpServerOptions TestNode::ListenerOptions(void (RequestPipeline::*handle)(ServerExchange&))
{
  const bool isPeer = handle == &RequestPipeline::HandlePeer;
  return { .address = kAnyPort,
           .handler = [this, handle](ServerExchange& e) { (pipeline_.*handle)(e); },
           .runsInTasks = true,
           .echoedField = isPeer ? "Acp-Attempt" : "",
           .answersHeartbeats = isPeer };
}

void TestNode::ConnectAll(const std::vector<TestNode*>& nodes)
{
  for (auto* node : nodes) {
    node->SetMembers(nodes);
  }
}

void TestNode::SetMembers(const std::vector<TestNode*>& nodes)
{
  std::vector<RoutedMember> members;
  members.reserve(nodes.size());
  for (const auto* node : nodes) {
    members.push_back({ .nodeId = node->options_.id,
                        .epoch = 1,
                        .service = node->options_.service,
                        .dataCentre = node->options_.dataCentre,
                        .peerAddress = "127.0.0.1:" + std::to_string(node->PeerPort()),
                        .slots = 100 });
  }
  members_.Apply(0, 1, members, clock_.Now());
}

void TestNode::SetEvacuated(const std::set<std::string>& dataCentres)
{
  pipeline_.SetEvacuated(dataCentres);
}

void TestNode::SetForeignPeer(std::uint16_t port)
{
  members_.Apply(0,
                 1,
                 { { .nodeId = "stranger",
                     .epoch = 1,
                     .service = "front",
                     .dataCentre = "d1",
                     .peerAddress = "127.0.0.1:" + std::to_string(port),
                     .slots = 100 } },
                 clock_.Now());
}

bool TestNode::WaitForCompleted(int count, Duration longest)
{
  const TimePoint giveUpAt = clock_.Now() + longest;
  while (completed_.Count() < static_cast<std::uint64_t>(count)) {
    if (!completed_.WaitForChange(static_cast<std::uint64_t>(count) - 1, giveUpAt - clock_.Now())) {
      return false;
    }
  }
  return true;
}

int TestNode::Announce(bool isDraining)
{
  return AnnounceAt(options_.upstream->Port(), isDraining);
}

int TestNode::AnnounceAt(std::uint16_t port, bool isDraining)
{
  const std::string body = R"({"service":")" + options_.service + R"(","address":"127.0.0.1:)" +
                           std::to_string(port) + R"(","slots":)" + std::to_string(options_.slots) +
                           R"(,"max_connections":100,"draining":)" +
                           (isDraining ? "true}" : "false}");
  return Fetch(EgressPort(), { .method = "PUT", .target = "/.acp/upstream" }, body).status;
}

void TestNode::ReportHealthWarmup(Duration left)
{
  pipeline_.ReportWarmup({ .source = ColdReason::HealthAnswer,
                           .service = options_.service,
                           .left = left,
                           .askedAt = clock_.Now(),
                           .receivedAt = clock_.Now() });
}

std::int64_t TestNode::AnnouncedColdStartMs() const
{
  return upstream_.Current().value().coldStartMs;
}

void TestNode::BeginStop(Duration left)
{
  stop_.Begin(clock_.Now() + left);
}

void TestNode::Stop()
{
  detail::StopListeners(stop_, { &ingress_, &peer_, &egress_ });
}

HttpRequestHead OrderRequest(const std::string& name, const std::string& key)
{
  HttpRequestHead head{ .method = "POST", .target = "/front/orders" };
  head.headers.Add("Acp-Key", key);
  head.headers.Add("Idempotency-Key", "1700000000-order-" + name);
  return head;
}

HttpRequestHead ReadRequest(const std::string& path, const std::string& key)
{
  HttpRequestHead head{ .method = "GET", .target = path };
  if (!key.empty()) {
    head.headers.Add("Acp-Key", key);
  }
  return head;
}

HttpRequestHead FleetOrder(const std::string& name, const std::string& key)
{
  return FleetRequest("POST", "/orders/" + name, key);
}

HttpRequestHead FleetNestedStockRead(const std::string& name, const RecordedRequest& parent)
{
  HttpRequestHead head{ .method = "GET", .target = "/stock/" + name };
  head.headers.Set("Host", "h");
  head.headers.Set("Acp-Deadline-Ms", parent.head.headers.Find("Acp-Deadline-Ms").value_or(""));
  return head;
}

HttpRequestHead FleetRead(const std::string& name, const std::string& key)
{
  return FleetRequest("GET", "/items/" + name, key);
}

HttpRequestHead FleetQuickOrder(const std::string& name)
{
  return FleetRequest("POST", "/quick/orders/" + name, kUnlimitedKey);
}

HttpRequestHead FleetQuickRead(const std::string& name)
{
  return FleetRequest("GET", "/quick/items/" + name, kUnlimitedKey);
}

HttpRequestHead FleetNestedRead(const std::string& name)
{
  return FleetRequest("GET", "/nested/" + name, "");
}

} // namespace acp::test
