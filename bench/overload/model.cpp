#include "model.hpp"

#include <algorithm> // max
#include <cmath>     // log

#include <fmt/format.h> // format

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kHopLatency = 500us;        // one way; 1 ms round trip between data centres
constexpr acp::Duration kConnectionSetupTime = 1ms; // for a new connection to the upstream
constexpr acp::Duration kHopTimeout = 300ms; // per attempt, when deadlines are not propagated
constexpr acp::Duration kFixedRetryDelay = 10ms;
constexpr acp::Duration kLostUpstreamAvoidTime = 1s; // time until control has reported the loss
constexpr int kRetriesPerHop = 3;
constexpr int kRequestRetryBudget = 2;

acp::GateOptions MakeGateOptions(const Policy& policy, const ServiceShape& shape)
{
  acp::GateOptions options;
  options.limit.slots = policy.gate ? shape.slots : 1'000'000'000;
  options.limit.adaptive = policy.adaptiveLimit && policy.gate;
  options.queue.byPriority = policy.byPriority;
  options.queue.byAccount = policy.byAccount;
  if (!policy.ageBound) {
    options.queue.targetAge = 1h;
    options.queue.burstAge = 1h;
  }
  options.threshold.enabled = policy.thresholds;
  options.threshold.byAccount = policy.byAccount;
  return options;
}

} // namespace

std::string Mesh::HopId()
{
  return fmt::format("{:016x}", nextId++);
}

FakeUpstream::FakeUpstream(Mesh& mesh, const ServiceShape& shape)
  : mesh_(mesh)
  , shape_(shape)
{
}

acp::Duration FakeUpstream::WorkTime()
{
  // Half of the service time is constant and half is exponentially distributed.
  const double factor = 0.5 - 0.5 * std::log(1.0 - mesh_.Uniform());
  return std::chrono::duration_cast<acp::Duration>(shape_.work * factor * slowdown_);
}

void FakeUpstream::Run(std::function<void(std::function<void()>)> nested,
                       std::function<void(bool)> done)
{
  if (!isAlive_) {
    done(false);
    return;
  }
  const std::uint64_t id = mesh_.nextId++;
  pending_.emplace(id, std::move(done));
  backlog_.push_back({ .id = id, .nested = std::move(nested) });
  StartNext();
}

void FakeUpstream::StartNext()
{
  while (busy_ < shape_.slots && !backlog_.empty()) {
    Job job = std::move(backlog_.front());
    backlog_.pop_front();
    ++busy_;
    acp::Duration time = WorkTime();
    if (busy_ > connections_) {
      ++connections_;
      time += kConnectionSetupTime;
    }
    mesh_.events.After(time, [this, job = std::move(job)] {
      if (pending_.contains(job.id)) {
        job.nested([this, id = job.id] { FinishJob(id); });
      }
    });
  }
}

void FakeUpstream::FinishJob(std::uint64_t id)
{
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return; // the upstream was killed while the job ran
  }
  const auto done = std::move(found->second);
  pending_.erase(found);
  --busy_;
  StartNext();
  done(true);
}

void FakeUpstream::Kill()
{
  isAlive_ = false;
  busy_ = 0;
  connections_ = 0;
  backlog_.clear();
  auto lost = std::move(pending_);
  pending_.clear();
  for (const auto& [id, done] : lost) {
    done(false);
  }
}

void FakeUpstream::Restart()
{
  isAlive_ = true;
}

Endpoint::Endpoint(Mesh& mesh, std::size_t service, std::size_t index, const ServiceShape& shape)
  : mesh_(mesh)
  , service_(service)
  , upstream_(mesh, shape)
  , gate_(MakeGateOptions(mesh.policy, shape), mesh.events.Now())
  , table_({ .enabled = mesh.policy.thresholds })
  , hopBudgets_({ .nodeId = fmt::format("node-{}-{}", service, index),
                  .epoch = 1,
                  .enforceBudget = mesh.policy.requestRetryBudget })
  , nodeBudget_({ .enabled = mesh.policy.nodeRetryBudget }, mesh.events.Now())
{
}

const std::string& Endpoint::ClassOf(const Root& root) const
{
  return mesh_.classes[static_cast<std::size_t>(root.classIndex)].name;
}

acp::AdmissionThreshold Endpoint::ThresholdFor(const Root& root)
{
  const auto& account = mesh_.accounts[static_cast<std::size_t>(root.account)];
  const auto callees = table_.CombinedThreshold(ClassOf(root), account, mesh_.events.Now());
  return acp::Stricter(gate_.Threshold(account), callees);
}

HopResponse Endpoint::MakeRefusal(const Root& root, int retriesLeft, acp::Reason reason)
{
  return { .ok = false,
           .outcome = acp::RequestOutcome::NotRun,
           .reason = reason,
           .threshold = ThresholdFor(root),
           .retriesLeft = retriesLeft };
}

void Endpoint::HandleRoot(const Root& root, ResponseCallback done)
{
  const auto& rootClass = mesh_.classes[static_cast<std::size_t>(root.classIndex)];
  const auto& account = mesh_.accounts[static_cast<std::size_t>(root.account)];
  if (!table_.AdmitRequest(rootClass.name, account, rootClass.priority, mesh_.events.Now())) {
    done(MakeRefusal(root, 0, acp::Reason::Overloaded));
    return;
  }
  acp::RequestContext context{ .rootId = root.id,
                               .hopId = mesh_.HopId(),
                               .account = account,
                               .priority = rootClass.priority,
                               .idempotent = rootClass.idempotent,
                               .deadline = root.wallDeadline,
                               .retriesLeft = kRequestRetryBudget,
                               .issuer = "ingress",
                               .issuerEpoch = 1 };
  HandleCall(root, context, true, std::move(done));
}

void Endpoint::HandleCall(const Root& root,
                          const acp::RequestContext& context,
                          bool isFromIngress,
                          ResponseCallback done)
{
  if (service_ + 1 == mesh_.services.size()) {
    ++mesh_.deepestCounts.offered;
  }
  if (!upstream_.IsAlive()) {
    done(MakeRefusal(root, context.retriesLeft, acp::Reason::NoUpstream));
    return;
  }
  const std::uint64_t id = mesh_.nextId++;
  WaitingRequest waiting{ .root = root, .context = context, .done = std::move(done) };
  if (!mesh_.policy.gate) {
    RunUpstream(waiting, id);
    return;
  }
  const auto offered =
    gate_.Offer({ .id = id,
                  .account = context.account,
                  .weight = mesh_.weights[static_cast<std::size_t>(root.account)],
                  .priority = context.priority,
                  .requestClass = ClassOf(root),
                  .deadline = mesh_.policy.ageBound ? root.deadline : acp::TimePoint::max(),
                  .isFromIngress = isFromIngress },
                mesh_.events.Now());
  if (offered.decision == acp::OfferDecision::Refused) {
    waiting.done(MakeRefusal(root, context.retriesLeft, offered.reason));
  } else if (offered.decision == acp::OfferDecision::Start) {
    RunUpstream(waiting, id);
  } else {
    waiting_.emplace(id, std::move(waiting));
  }
  PollGate();
}

void Endpoint::PollGate()
{
  const auto polled = gate_.Poll(mesh_.events.Now());
  for (const auto& refusal : polled.refuse) {
    const auto node = waiting_.extract(refusal.id);
    const WaitingRequest& waiting = node.mapped();
    waiting.done(MakeRefusal(waiting.root, waiting.context.retriesLeft, refusal.reason));
  }
  for (const auto id : polled.start) {
    const auto node = waiting_.extract(id);
    RunUpstream(node.mapped(), id);
  }
  ScheduleTimer();
}

void Endpoint::ScheduleTimer()
{
  const auto next = gate_.NextPoll(mesh_.events.Now());
  if (!next || *next >= timerAt_ || *next == acp::TimePoint::max()) {
    return;
  }
  timerAt_ = *next;
  mesh_.events.After(*next - mesh_.events.Now() + 1us, [this] {
    timerAt_ = acp::TimePoint::max();
    PollGate();
  });
}

void Endpoint::RunUpstream(const WaitingRequest& waiting, std::uint64_t gateId)
{
  const bool isDeepest = service_ + 1 == mesh_.services.size();
  mesh_.deepestCounts.started += isDeepest ? 1 : 0;
  const auto now = mesh_.events.Now();
  const auto opened = hopBudgets_.Open(waiting.context, mesh_.events.WallNow());
  acp::RequestContext hopContext = waiting.context;
  hopContext.retriesLeft = 0;
  if (opened) {
    hopContext = opened.value();
  }
  table_.OnRequest(ClassOf(waiting.root), now);
  auto response = std::make_shared<HopResponse>();
  response->ok = true;
  response->outcome = acp::RequestOutcome::Ran;
  const Root root = waiting.root;
  auto nested = [this, root, hopContext, isDeepest, response](std::function<void()> end) {
    if (isDeepest) {
      end();
      return;
    }
    const bool isLastCaller = service_ + 2 == mesh_.services.size();
    const auto& rootClass = mesh_.classes[static_cast<std::size_t>(root.classIndex)];
    StartNestedCalls(root,
                     hopContext,
                     isLastCaller ? rootClass.deepestCalls : 1,
                     [response, end = std::move(end)](const HopResponse& callee) {
                       response->ok = callee.ok;
                       end();
                     });
  };
  upstream_.Run(std::move(nested),
                [this, root, hopContext, gateId, response, done = waiting.done](bool isAlive) {
                  auto result =
                    response->ok ? acp::GateResult::Succeeded : acp::GateResult::Neutral;
                  if (!isAlive) {
                    result = acp::GateResult::Lost;
                    response->ok = false;
                    response->outcome = acp::RequestOutcome::Unknown;
                    response->reason = acp::Reason::UpstreamConnectionLost;
                  }
                  gate_.Finish(gateId, mesh_.events.Now(), result);
                  response->retriesLeft = hopBudgets_.Close(hopContext.hopId);
                  response->threshold = ThresholdFor(root);
                  response->inFlight = gate_.Load(mesh_.events.Now()).inFlight;
                  done(*response);
                  if (mesh_.policy.gate) {
                    PollGate();
                  }
                });
}

void Endpoint::StartNestedCalls(const Root& root,
                                const acp::RequestContext& hopContext,
                                int callsLeft,
                                const ResponseCallback& done)
{
  StartCall(
    root, hopContext, [this, root, hopContext, callsLeft, done](const HopResponse& response) {
      if (!response.ok || callsLeft <= 1) {
        done(response);
        return;
      }
      StartNestedCalls(root, hopContext, callsLeft - 1, done);
    });
}

std::size_t Endpoint::PickCallee()
{
  auto& callees = mesh_.services[service_ + 1];
  outstanding_.resize(callees.size());
  std::size_t best = mesh_.random() % callees.size();
  for (std::size_t i = 0; i < callees.size(); ++i) {
    // Starting at a random index spreads ties evenly.
    const std::size_t index = (best + i) % callees.size();
    const bool isUsable = callees[index]->IsUsable(mesh_.events.Now());
    const bool isBestUsable = callees[best]->IsUsable(mesh_.events.Now());
    if (isUsable && (!isBestUsable || outstanding_[index] < outstanding_[best])) {
      best = index;
    }
  }
  return best;
}

void Endpoint::StartCall(const Root& root, const acp::RequestContext& parent, ResponseCallback done)
{
  auto call = std::make_shared<Call>();
  call->root = root;
  call->parent = parent;
  call->done = std::move(done);
  if (mesh_.policy.requestRetryBudget) {
    call->reservation = hopBudgets_.Reserve(parent, acp::kMaxRetryBudget, mesh_.events.WallNow());
    call->retriesLeft = call->reservation.granted;
  } else {
    call->retriesLeft = kRetriesPerHop;
  }
  table_.OnCall(
    ClassOf(root), { .service = "next", .requestClass = ClassOf(root) }, mesh_.events.Now());
  Attempt(call);
}

void Endpoint::Attempt(const std::shared_ptr<Call>& call)
{
  const std::size_t calleeIndex = PickCallee();
  Endpoint* callee = mesh_.services[service_ + 1][calleeIndex].get();
  const auto split = acp::SplitReservation(call->retriesLeft);
  acp::RequestContext context = call->parent;
  context.hopId = mesh_.HopId();
  context.retriesLeft = mesh_.policy.requestRetryBudget ? split.callee : 0;
  ++outstanding_[calleeIndex];
  auto isFinished = std::make_shared<bool>(false);
  const auto finish = [this, call, callee, calleeIndex, isFinished, callerRetries = split.caller](
                        const HopResponse& response) {
    if (*isFinished) {
      return;
    }
    *isFinished = true;
    --outstanding_[calleeIndex];
    if (response.reason == acp::Reason::NoUpstream) {
      callee->Avoid(mesh_.events.Now() + kLostUpstreamAvoidTime);
    }
    OnAttemptEnd(call, response, callerRetries);
  };
  mesh_.events.After(kHopLatency, [this, callee, call, context, finish] {
    callee->HandleCall(call->root, context, false, [this, finish](const HopResponse& response) {
      mesh_.events.After(kHopLatency, [finish, response] { finish(response); });
    });
  });
  if (!mesh_.policy.requestRetryBudget) {
    mesh_.events.After(kHopTimeout, [finish] {
      finish({ .ok = false,
               .outcome = acp::RequestOutcome::Unknown,
               .reason = acp::Reason::UpstreamTimeout });
    });
  }
}

void Endpoint::OnAttemptEnd(const std::shared_ptr<Call>& call,
                            const HopResponse& response,
                            int callerRetries)
{
  const auto now = mesh_.events.Now();
  const auto& account = mesh_.accounts[static_cast<std::size_t>(call->root.account)];
  if (response.reason != acp::Reason::UpstreamTimeout) {
    table_.UpdateThreshold(ClassOf(call->root),
                           { .service = "next", .requestClass = ClassOf(call->root) },
                           account,
                           response.threshold,
                           now);
  }
  if (response.ok) {
    nodeBudget_.OnSuccess();
  }
  if (!mesh_.policy.requestRetryBudget) {
    RetryWithoutBudget(call, response);
    return;
  }
  call->retriesLeft = callerRetries + response.retriesLeft;
  const acp::FailedCall failed{ .outcome = response.outcome,
                                .nothingSent = false,
                                .idempotent = call->parent.idempotent,
                                .attempt = call->attempt,
                                .retriesLeft = call->retriesLeft,
                                .remaining = call->root.deadline - now };
  const auto decision = response.ok
                          ? acp::RetryDecision{}
                          : acp::DecideRetry(failed, {}, nodeBudget_, now, mesh_.Uniform());
  if (decision.verdict == acp::RetryVerdict::Retry) {
    --call->retriesLeft;
    ++call->attempt;
    mesh_.events.After(decision.delay, [this, call] { Attempt(call); });
    return;
  }
  hopBudgets_.Release(call->reservation.id, call->retriesLeft);
  call->done(response);
}

void Endpoint::RetryWithoutBudget(const std::shared_ptr<Call>& call, const HopResponse& response)
{
  const bool mayRetry = !mesh_.policy.nodeRetryBudget || nodeBudget_.TryAcquire(mesh_.events.Now());
  if (response.ok || call->retriesLeft == 0 || !mayRetry) {
    call->done(response);
    return;
  }
  --call->retriesLeft;
  mesh_.events.After(kFixedRetryDelay, [this, call] { Attempt(call); });
}

void Endpoint::Kill()
{
  gate_.Close(acp::Reason::NoUpstream);
  upstream_.Kill();
  PollGate();
}

void Endpoint::Restart()
{
  upstream_.Restart();
  gate_.Reopen();
}

} // namespace bench
