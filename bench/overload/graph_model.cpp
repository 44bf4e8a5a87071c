#include "graph_model.hpp"

#include <algorithm> // max, min
#include <cmath>     // log
#include <iterator>  // next
#include <utility>   // move

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kHopLatency = 500us; // one way
constexpr acp::Duration kLoadSampleLifetime = 1s;
// As in detail::QueueTimeoutOf.
constexpr int kNestedQueueTimeoutDivisor = 2;
constexpr int kRootQueueTimeoutDivisor = 5;
// Prefix of caller classes for forwarded root requests: it keeps the thresholds of peers to which a
// node forwards apart from those that the calls of its local upstream receive.
constexpr const char* kForwardedPrefix = "forwarded ";

acp::GateOptions MakeGateOptions(const GraphPolicy& policy, const GraphService& service)
{
  acp::GateOptions options;
  options.limit.slots = std::max(1, static_cast<int>(policy.slotFraction * service.slots));
  options.limit.adaptive = false;
  return options;
}

acp::CalleeClass CalleeOf(const Graph& graph, const GraphClass& requestClass)
{
  return { .service = graph.services[requestClass.service].name,
           .requestClass = requestClass.name };
}

double Seconds(acp::Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

GraphNode::GraphNode(GraphMesh& mesh, std::size_t service, double speed)
  : mesh_(mesh)
  , service_(service)
  , speed_(speed)
  , gate_(MakeGateOptions(mesh.policy, mesh.graph.services[service]), mesh.events.Now())
  , table_({ .seed = std::to_string(mesh.nextId++), .byAccount = !mesh.policy.sharesThresholds })
{
  for (const GraphService& each : mesh.graph.services) {
    loadEstimates_.emplace_back(static_cast<std::size_t>(each.upstreams));
  }
}

void GraphNode::ProcessMessage(std::function<void()> action)
{
  const auto messageTime = mesh_.graph.messageTime;
  if (messageTime == acp::Duration::zero()) {
    action();
    return;
  }
  const auto readyAt = mesh_.events.Now();
  const auto startAt = std::max(processorFreeAt_, readyAt);
  processorFreeAt_ = startAt + messageTime;
  processorTime_ += messageTime;
  mesh_.events.After(processorFreeAt_ - readyAt,
                     [this, delay = startAt - readyAt, action = std::move(action)] {
                       if (mesh_.policy.limitsByDelay) {
                         gate_.RecordSchedulingDelay(delay, mesh_.events.Now());
                       }
                       action();
                     });
}

const GraphClass& GraphNode::ClassOf(const GraphRequest& request) const
{
  return mesh_.graph.classes[request.classIndex];
}

GraphResponse GraphNode::MakeResponse(const GraphRequest& request, GraphOutcome outcome)
{
  const auto now = mesh_.events.Now();
  const auto callees = table_.CombinedThreshold(ClassOf(request).name, request.account, now);
  return { .outcome = outcome,
           .threshold = acp::Stricter(gate_.Threshold(request.account), callees),
           .inFlight = gate_.Load(now).inFlight };
}

void GraphNode::HandleRoot(const GraphRequestPtr& request)
{
  const auto now = mesh_.events.Now();
  const GraphClass& requestClass = ClassOf(*request);
  const std::string callerClass =
    (mesh_.policy.separatesForwarding ? kForwardedPrefix : "") + requestClass.name;
  if (!table_.AdmitRequest(callerClass, request->account, request->priority, now)) {
    request->respond({ .outcome = GraphOutcome::Refused });
    return;
  }
  table_.OnRequest(callerClass, now);
  const auto remaining = request->deadline - now;
  request->queueTimeout =
    std::min(requestClass.targetLatency, remaining) / kRootQueueTimeoutDivisor;
  Forward(callerClass, request);
}

std::size_t GraphNode::PickUpstream(std::size_t service)
{
  auto& estimates = loadEstimates_[service];
  const auto now = mesh_.events.Now();
  const auto used = [&estimates, now](std::size_t index) {
    const LoadEstimate& estimate = estimates[index];
    return now - estimate.at <= kLoadSampleLifetime ? estimate.inFlight + estimate.sentSince : 0;
  };
  const std::size_t first = mesh_.random() % estimates.size();
  const std::size_t second = mesh_.random() % estimates.size();
  return used(first) <= used(second) ? first : second;
}

void GraphNode::Forward(const std::string& callerClass, const GraphRequestPtr& request)
{
  const GraphClass& requestClass = ClassOf(*request);
  const std::size_t index = PickUpstream(requestClass.service);
  GraphNode* callee = mesh_.services[requestClass.service][index].get();
  if (callee == this) {
    request->isFromIngress = !request->isNested;
    HandleCall(request);
    return;
  }
  ++loadEstimates_[requestClass.service][index].sentSince;
  table_.OnCall(callerClass, CalleeOf(mesh_.graph, requestClass), mesh_.events.Now());
  const auto update = [this, callerClass, &requestClass, account = request->account, index](
                        const GraphResponse& response) {
    const auto now = mesh_.events.Now();
    loadEstimates_[requestClass.service][index] = { .inFlight = response.inFlight, .at = now };
    table_.UpdateThreshold(
      callerClass, CalleeOf(mesh_.graph, requestClass), account, response.threshold, now);
  };
  request->respond = [this, update, respond = request->respond](const GraphResponse& response) {
    mesh_.events.After(kHopLatency, [this, update, respond, response] {
      ProcessMessage([update, respond, response] {
        update(response);
        respond(response);
      });
    });
  };
  mesh_.events.After(kHopLatency, [this, callee, request] {
    callee->ProcessMessage([callee, request] { callee->HandleCall(request); });
  });
}

void GraphNode::HandleCall(const GraphRequestPtr& request)
{
  if (request->isCancelled) {
    return;
  }
  mesh_.deepestCounts.offered += IsDeepest() ? 1 : 0;
  request->node = this;
  const auto offered = gate_.Offer({ .id = request->id,
                                     .account = request->account,
                                     .priority = request->priority,
                                     .requestClass = ClassOf(*request).name,
                                     .deadline = request->deadline,
                                     .isFromIngress = request->isFromIngress,
                                     .queueTimeout = request->queueTimeout,
                                     .isNested = mesh_.policy.prefersNested && request->isNested },
                                   mesh_.events.Now());
  if (offered.decision == acp::OfferDecision::Refused) {
    Refuse(request);
  } else if (offered.decision == acp::OfferDecision::Start) {
    StartRun(request);
  } else {
    waiting_.emplace(request->id, request);
  }
  Poll();
}

void GraphNode::Refuse(const GraphRequestPtr& request)
{
  mesh_.deepestCounts.refused += IsDeepest() ? 1 : 0;
  request->node = nullptr;
  request->respond(MakeResponse(*request, GraphOutcome::Refused));
}

void GraphNode::Poll()
{
  const auto polled = gate_.Poll(mesh_.events.Now());
  for (const auto& refusal : polled.refuse) {
    Refuse(waiting_.extract(refusal.id).mapped());
  }
  for (const auto id : polled.start) {
    StartRun(waiting_.extract(id).mapped());
  }
  ScheduleTimer();
}

void GraphNode::ScheduleTimer()
{
  const auto next = gate_.NextPoll(mesh_.events.Now());
  if (!next || *next >= timerAt_ || *next == acp::TimePoint::max()) {
    return;
  }
  timerAt_ = *next;
  mesh_.events.After(*next - mesh_.events.Now() + 1us, [this, at = *next] {
    if (timerAt_ == at) {
      timerAt_ = acp::TimePoint::max();
      Poll();
    }
  });
}

double GraphNode::WorkSeconds(const GraphClass& requestClass)
{
  const double varying = -std::log(1.0 - mesh_.Uniform()) * requestClass.randomFraction;
  return Seconds(requestClass.work) * (1.0 - requestClass.randomFraction + varying);
}

void GraphNode::StartRun(const GraphRequestPtr& request)
{
  const auto now = mesh_.events.Now();
  const std::uint64_t id = request->id;
  const GraphClass& requestClass = ClassOf(*request);
  mesh_.deepestCounts.started += IsDeepest() ? 1 : 0;
  Run& run = runs_[id];
  run.request = request;
  run.startedAt = now;
  run.work = WorkSeconds(requestClass);
  const bool isNearlyFull =
    static_cast<double>(runs_.size()) > Service().slowAboveFraction * Service().slots;
  const double slowdown = isNearlyFull ? Service().slowdownFactor : 1.0;
  if (mesh_.policy.separatesForwarding) {
    table_.OnRequest(requestClass.name, now);
  }
  mesh_.events.After(std::chrono::duration_cast<acp::Duration>(
                       std::chrono::duration<double>(run.work * slowdown / speed_)),
                     [this, id] { OnWorkDone(id); });
  mesh_.events.After(request->deadline - now, [this, id] { EndRun(id, GraphOutcome::Failed); });
  if (!requestClass.nested) {
    return;
  }
  if (!requestClass.nested->isConcurrent) {
    run.callsLeft = requestClass.nested->count;
    return;
  }
  for (int i = 0; i < requestClass.nested->count; ++i) {
    StartCall(id);
  }
}

void GraphNode::OnWorkDone(std::uint64_t id)
{
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  found->second.isWorkDone = true;
  EndRunIfDone(id);
}

// Returns the run to which a nested call is attributed: its caller, or a random run if the caller
// is unknown.
const GraphNode::Run* GraphNode::CallerOf(const Run& run, std::size_t callee)
{
  const bool isDeepest = callee + 1 == mesh_.graph.services.size();
  if (!isDeepest || mesh_.Uniform() < mesh_.policy.linkedFraction) {
    return &run;
  }
  const auto steps = static_cast<std::ptrdiff_t>(mesh_.random() % runs_.size());
  return &std::next(runs_.begin(), steps)->second;
}

void GraphNode::StartCall(std::uint64_t id)
{
  Run& run = runs_.at(id);
  const auto now = mesh_.events.Now();
  const GraphClass& callerClassDefinition = ClassOf(*run.request);
  const GraphClass& callee = mesh_.graph.classes[callerClassDefinition.nested->classIndex];
  auto call = std::make_shared<GraphRequest>();
  call->id = mesh_.nextId++;
  call->classIndex = callerClassDefinition.nested->classIndex;
  call->deadline = std::min(run.request->deadline, now + callee.timeout);
  call->isNested = true;
  call->deepestWork = run.request->deepestWork;
  const auto half = (call->deadline - now) / kNestedQueueTimeoutDivisor;
  const auto queueTimeout = mesh_.policy.nestedQueueTimeout;
  call->queueTimeout = queueTimeout > acp::Duration::zero() ? std::min(queueTimeout, half) : half;
  std::string callerClass = callee.name;
  if (mesh_.policy.linksNestedCalls) {
    const Run* caller = CallerOf(run, callee.service);
    call->priority = caller->request->priority;
    call->account = caller->request->account;
    callerClass = ClassOf(*caller->request).name;
  }
  ++run.callsOpen;
  run.calls.push_back(call);
  call->respond = [this, id](const GraphResponse& response) { OnCallEnd(id, response); };
  ProcessMessage([this, callerClass, call] {
    if (!call->isCancelled) {
      Forward(callerClass, call);
    }
  });
}

void GraphNode::OnCallEnd(std::uint64_t id, const GraphResponse& response)
{
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  --found->second.callsOpen;
  if (response.outcome != GraphOutcome::Completed) {
    EndRun(id, GraphOutcome::Failed);
    return;
  }
  EndRunIfDone(id);
}

void GraphNode::EndRunIfDone(std::uint64_t id)
{
  Run& run = runs_.at(id);
  if (!run.isWorkDone || run.callsOpen > 0) {
    return;
  }
  if (run.callsLeft > 0) {
    --run.callsLeft;
    run.calls.clear();
    StartCall(id);
    return;
  }
  EndRun(id, GraphOutcome::Completed);
}

void GraphNode::EndRun(std::uint64_t id, std::optional<GraphOutcome> outcome)
{
  const auto node = runs_.extract(id);
  if (node.empty()) {
    return;
  }
  const Run& run = node.mapped();
  const auto now = mesh_.events.Now();
  if (IsDeepest()) {
    const double occupied = Seconds(now - run.startedAt);
    mesh_.deepestCounts.occupied += occupied;
    mesh_.deepestCounts.worked += std::min(run.work, occupied * speed_);
    *run.request->deepestWork += outcome == GraphOutcome::Completed ? run.work : 0.0;
  }
  const bool isCompleted = outcome == GraphOutcome::Completed;
  gate_.Finish(id, now, isCompleted ? acp::GateResult::Succeeded : acp::GateResult::Neutral);
  run.request->node = nullptr;
  for (const GraphRequestPtr& call : run.calls) {
    call->isCancelled = true;
    if (call->node != nullptr) {
      call->node->Drop(call);
    }
  }
  if (outcome) {
    ProcessMessage([this, request = run.request, outcome = *outcome] {
      request->respond(MakeResponse(*request, outcome));
    });
  }
  Poll();
}

void GraphNode::Drop(const GraphRequestPtr& request)
{
  request->isCancelled = true;
  if (waiting_.erase(request->id) > 0) {
    gate_.Cancel(request->id, mesh_.events.Now());
    request->node = nullptr;
    Poll();
    return;
  }
  EndRun(request->id, std::nullopt);
}

} // namespace bench
