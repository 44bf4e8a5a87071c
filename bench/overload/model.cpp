#include "model.hpp"

#include <algorithm> // max
#include <cmath>     // log

#include <fmt/format.h> // format

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kHopLatency = 500us;   // one way; 1 ms between data centres and back
constexpr acp::Duration kConnectionCost = 1ms; // of a new connection to the upstream
constexpr acp::Duration kPlainTimeout = 300ms; // per hop and attempt without deadlines
constexpr acp::Duration kPlainRetryDelay = 10ms;
constexpr acp::Duration kAvoidLost = 1s; // until control has told about a lost upstream
constexpr int kPlainRetries = 3;
constexpr int kRootBudget = 2;

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
  // Half of the time is constant and half exponential.
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
  open_.emplace(id, std::move(done));
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
      time += kConnectionCost;
    }
    mesh_.events.After(time, [this, job = std::move(job)] {
      if (open_.contains(job.id)) {
        job.nested([this, id = job.id] { End(id); });
      }
    });
  }
}

void FakeUpstream::End(std::uint64_t id)
{
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return; // lost in between
  }
  const auto done = std::move(found->second);
  open_.erase(found);
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
  auto lost = std::move(open_);
  open_.clear();
  for (const auto& [id, done] : lost) {
    done(false);
  }
}

void FakeUpstream::Revive()
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
                  .enforceBudget = mesh.policy.conservedBudget })
  , nodeBudget_({ .enabled = mesh.policy.ratioBudget }, mesh.events.Now())
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

Answer Endpoint::Refused(const Root& root, int retriesLeft, acp::Reason reason)
{
  return { .ok = false,
           .outcome = acp::RequestOutcome::NotRun,
           .reason = reason,
           .threshold = ThresholdFor(root),
           .retriesLeft = retriesLeft };
}

void Endpoint::HandleRoot(const Root& root, AnswerCallback done)
{
  const auto& rootClass = mesh_.classes[static_cast<std::size_t>(root.classIndex)];
  const auto& account = mesh_.accounts[static_cast<std::size_t>(root.account)];
  if (!table_.AdmitRequest(rootClass.name, account, rootClass.priority, mesh_.events.Now())) {
    done(Refused(root, 0, acp::Reason::Overloaded));
    return;
  }
  acp::RequestContext context{ .rootId = root.id,
                               .hopId = mesh_.HopId(),
                               .account = account,
                               .priority = rootClass.priority,
                               .idempotent = rootClass.idempotent,
                               .deadline = root.wallDeadline,
                               .retriesLeft = kRootBudget,
                               .issuer = "ingress",
                               .issuerEpoch = 1 };
  HandleCall(root, context, true, std::move(done));
}

void Endpoint::HandleCall(const Root& root,
                          const acp::RequestContext& context,
                          bool entersHere,
                          AnswerCallback done)
{
  if (service_ + 1 == mesh_.services.size()) {
    ++mesh_.deep.offered;
  }
  if (!upstream_.IsAlive()) {
    done(Refused(root, context.retriesLeft, acp::Reason::NoUpstream));
    return;
  }
  const std::uint64_t id = mesh_.nextId++;
  Waiting waiting{ .root = root, .context = context, .done = std::move(done) };
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
                  .isFromIngress = entersHere },
                mesh_.events.Now());
  if (offered.decision == acp::OfferDecision::Refused) {
    waiting.done(Refused(root, context.retriesLeft, offered.reason));
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
    const Waiting& waiting = node.mapped();
    waiting.done(Refused(waiting.root, waiting.context.retriesLeft, refusal.reason));
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

void Endpoint::RunUpstream(const Waiting& waiting, std::uint64_t gateId)
{
  const bool isDeepest = service_ + 1 == mesh_.services.size();
  mesh_.deep.started += isDeepest ? 1 : 0;
  const auto now = mesh_.events.Now();
  const auto opened = hopBudgets_.Open(waiting.context, mesh_.events.WallNow());
  acp::RequestContext own = waiting.context;
  own.retriesLeft = 0;
  if (opened) {
    own = opened.value();
  }
  table_.OnRequest(ClassOf(waiting.root), now);
  auto answer = std::make_shared<Answer>();
  answer->ok = true;
  answer->outcome = acp::RequestOutcome::Ran;
  const Root root = waiting.root;
  auto nested = [this, root, own, isDeepest, answer](std::function<void()> end) {
    if (isDeepest) {
      end();
      return;
    }
    const bool isLastCaller = service_ + 2 == mesh_.services.size();
    const auto& rootClass = mesh_.classes[static_cast<std::size_t>(root.classIndex)];
    NestedCalls(root,
                own,
                isLastCaller ? rootClass.deepestCalls : 1,
                [answer, end = std::move(end)](const Answer& callee) {
                  answer->ok = callee.ok;
                  end();
                });
  };
  upstream_.Run(std::move(nested),
                [this, root, own, gateId, answer, done = waiting.done](bool isAlive) {
                  auto result = answer->ok ? acp::GateResult::Succeeded : acp::GateResult::Neutral;
                  if (!isAlive) {
                    result = acp::GateResult::Lost;
                    answer->ok = false;
                    answer->outcome = acp::RequestOutcome::Unknown;
                    answer->reason = acp::Reason::UpstreamConnectionLost;
                  }
                  gate_.Finish(gateId, mesh_.events.Now(), result);
                  answer->retriesLeft = hopBudgets_.Close(own.hopId);
                  answer->threshold = ThresholdFor(root);
                  answer->inFlight = gate_.Load(mesh_.events.Now()).inFlight;
                  done(*answer);
                  if (mesh_.policy.gate) {
                    PollGate();
                  }
                });
}

void Endpoint::NestedCalls(const Root& root,
                           const acp::RequestContext& own,
                           int left,
                           const AnswerCallback& done)
{
  StartCall(root, own, [this, root, own, left, done](const Answer& answer) {
    if (!answer.ok || left <= 1) {
      done(answer);
      return;
    }
    NestedCalls(root, own, left - 1, done);
  });
}

std::size_t Endpoint::PickCallee()
{
  auto& callees = mesh_.services[service_ + 1];
  outstanding_.resize(callees.size());
  std::size_t best = mesh_.random() % callees.size();
  for (std::size_t i = 0; i < callees.size(); ++i) {
    // Starts at a random place, so that ties spread.
    const std::size_t each = (best + i) % callees.size();
    const bool isUsable = callees[each]->IsUsable(mesh_.events.Now());
    const bool isBestUsable = callees[best]->IsUsable(mesh_.events.Now());
    if (isUsable && (!isBestUsable || outstanding_[each] < outstanding_[best])) {
      best = each;
    }
  }
  return best;
}

void Endpoint::StartCall(const Root& root, const acp::RequestContext& parent, AnswerCallback done)
{
  auto call = std::make_shared<Call>();
  call->root = root;
  call->parent = parent;
  call->done = std::move(done);
  if (mesh_.policy.conservedBudget) {
    call->reservation = hopBudgets_.Reserve(parent, acp::kMaxRetryBudget, mesh_.events.WallNow());
    call->left = call->reservation.granted;
  } else {
    call->left = kPlainRetries;
  }
  table_.OnCall(
    ClassOf(root), { .service = "next", .requestClass = ClassOf(root) }, mesh_.events.Now());
  Attempt(call);
}

void Endpoint::Attempt(const std::shared_ptr<Call>& call)
{
  const std::size_t pick = PickCallee();
  Endpoint* callee = mesh_.services[service_ + 1][pick].get();
  const auto split = acp::SplitReservation(call->left);
  acp::RequestContext context = call->parent;
  context.hopId = mesh_.HopId();
  context.retriesLeft = mesh_.policy.conservedBudget ? split.callee : 0;
  ++outstanding_[pick];
  auto isSettled = std::make_shared<bool>(false);
  const auto settle =
    [this, call, callee, pick, isSettled, kept = split.caller](const Answer& answer) {
      if (*isSettled) {
        return;
      }
      *isSettled = true;
      --outstanding_[pick];
      if (answer.reason == acp::Reason::NoUpstream) {
        callee->Avoid(mesh_.events.Now() + kAvoidLost);
      }
      OnAttemptEnd(call, answer, kept);
    };
  mesh_.events.After(kHopLatency, [this, callee, call, context, settle] {
    callee->HandleCall(call->root, context, false, [this, settle](const Answer& answer) {
      mesh_.events.After(kHopLatency, [settle, answer] { settle(answer); });
    });
  });
  if (!mesh_.policy.conservedBudget) {
    mesh_.events.After(kPlainTimeout, [settle] {
      settle({ .ok = false,
               .outcome = acp::RequestOutcome::Unknown,
               .reason = acp::Reason::UpstreamTimeout });
    });
  }
}

void Endpoint::OnAttemptEnd(const std::shared_ptr<Call>& call, const Answer& answer, int kept)
{
  const auto now = mesh_.events.Now();
  const auto& account = mesh_.accounts[static_cast<std::size_t>(call->root.account)];
  if (answer.reason != acp::Reason::UpstreamTimeout) {
    table_.UpdateThreshold(ClassOf(call->root),
                           { .service = "next", .requestClass = ClassOf(call->root) },
                           account,
                           answer.threshold,
                           now);
  }
  if (answer.ok) {
    nodeBudget_.OnSuccess();
  }
  if (!mesh_.policy.conservedBudget) {
    PlainRetry(call, answer);
    return;
  }
  call->left = kept + answer.retriesLeft;
  const acp::FailedCall failed{ .outcome = answer.outcome,
                                .nothingSent = false,
                                .idempotent = call->parent.idempotent,
                                .attempt = call->attempt,
                                .retriesLeft = call->left,
                                .remaining = call->root.deadline - now };
  const auto decision = answer.ok ? acp::RetryDecision{}
                                  : acp::DecideRetry(failed, {}, nodeBudget_, now, mesh_.Uniform());
  if (decision.verdict == acp::RetryVerdict::Retry) {
    --call->left;
    ++call->attempt;
    mesh_.events.After(decision.delay, [this, call] { Attempt(call); });
    return;
  }
  hopBudgets_.Release(call->reservation.id, call->left);
  call->done(answer);
}

void Endpoint::PlainRetry(const std::shared_ptr<Call>& call, const Answer& answer)
{
  const bool mayTake = !mesh_.policy.ratioBudget || nodeBudget_.TryAcquire(mesh_.events.Now());
  if (answer.ok || call->left == 0 || !mayTake) {
    call->done(answer);
    return;
  }
  --call->left;
  mesh_.events.After(kPlainRetryDelay, [this, call] { Attempt(call); });
}

void Endpoint::Kill()
{
  gate_.Close(acp::Reason::NoUpstream);
  upstream_.Kill();
  PollGate();
}

void Endpoint::Revive()
{
  upstream_.Revive();
  gate_.Reopen();
}

} // namespace bench
