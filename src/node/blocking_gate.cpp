#include "acaciapulley/node/blocking_gate.hpp"

#include <algorithm> // max, min
#include <utility>   // exchange, move

namespace acp {

namespace {

// Applies while the gate has no event scheduled.
constexpr Duration kMaxSleep = std::chrono::milliseconds(100);
// A request expires only once its queue timeout has been exceeded, so a wait may not be zero.
constexpr Duration kMinWait = std::chrono::milliseconds(1);
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

auto MakeRefusal(Reason reason)
{
  return NotRunRefusal(503, reason, "refused: " + std::string(NameOf(reason)), kOverloadRetryAfter);
}

} // namespace

BlockingGate::Permit::Permit(Permit&& other) noexcept
  : gate_(std::exchange(other.gate_, nullptr))
  , id_(other.id_)
  , startedAt_(other.startedAt_)
{
}

BlockingGate::Permit::~Permit()
{
  Finish(GateResult::Neutral);
}

void BlockingGate::Permit::Finish(GateResult result)
{
  if (auto* gate = std::exchange(gate_, nullptr)) {
    gate->Finish(id_, startedAt_, result);
  }
}

BlockingGate::BlockingGate(const GateOptions& options, const Clock& clock)
  : clock_(clock)
  , gate_(options, clock.Now())
{
}

OrRefusal<BlockingGate::Permit> BlockingGate::Acquire(GateRequest request,
                                                      const std::stop_token& callerGone)
{
  std::unique_lock lock(mutex_);
  request.id = nextId_++;
  const TimePoint arrivedAt = clock_.Now();
  const Reason refusal = OfferAndWait(lock, request, callerGone);
  if (refusal != Reason::None) {
    ++counts_.refused[refusal];
    return MakeRefusal(refusal);
  }
  const TimePoint startedAt = clock_.Now();
  ++counts_.started.count;
  counts_.started.totalTime += startedAt - arrivedAt;
  return Permit(*this, request.id, startedAt);
}

Reason BlockingGate::OfferAndWait(std::unique_lock<std::mutex>& lock,
                                  const GateRequest& request,
                                  const std::stop_token& callerGone)
{
  const auto offered = gate_.Offer(request, clock_.Now());
  if (offered.decision == OfferDecision::Queued) {
    return WaitInQueue(lock, request, callerGone);
  }
  PollLocked();
  return offered.reason;
}

Reason BlockingGate::WaitInQueue(std::unique_lock<std::mutex>& lock,
                                 const GateRequest& request,
                                 const std::stop_token& callerGone)
{
  const std::uint64_t id = request.id;
  const bool hasQueueTimeout = request.queueTimeout > Duration::zero();
  const TimePoint ownExpiry = std::min(clock_.Now() + request.queueTimeout, request.deadline);
  Waiter waiter;
  const std::stop_callback onGone(callerGone, [&waiter] { waiter.stateChanged.Wake(); });
  waiters_.emplace(id, &waiter);
  PollLocked();
  while (waiter.state == WaitState::Waiting) {
    const TimePoint now = clock_.Now();
    // A waiter with a queue timeout handles only its own expiry, so that one expiry does not wake
    // all waiters.
    const TimePoint expiry =
      hasQueueTimeout ? ownExpiry : gate_.NextPoll(now).value_or(now + kMaxSleep);
    lock.unlock();
    waiter.stateChanged.WaitFor(std::max(expiry - now, kMinWait));
    lock.lock();
    const bool gone = waiter.state == WaitState::Waiting && callerGone.stop_requested();
    if (gone && gate_.Cancel(id, clock_.Now()) == CancelOutcome::Removed) {
      waiter.state = WaitState::Refused;
      waiter.reason = Reason::CallerGone;
    }
    PollLocked();
  }
  waiters_.erase(id);
  return waiter.reason;
}

void BlockingGate::PollLocked()
{
  const auto outcome = gate_.Poll(clock_.Now());
  for (const auto id : outcome.start) {
    Waiter& waiter = *waiters_.at(id);
    waiter.state = WaitState::Started;
    waiter.stateChanged.Wake();
  }
  for (const auto& refusal : outcome.refuse) {
    const auto found = waiters_.find(refusal.id);
    if (found == waiters_.end()) {
      continue;
    }
    found->second->state = WaitState::Refused;
    found->second->reason = refusal.reason;
    found->second->stateChanged.Wake();
  }
}

void BlockingGate::Finish(std::uint64_t id, TimePoint startedAt, GateResult result)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  gate_.Finish(id, now, result);
  TimedCount& finished = counts_.finished[result];
  ++finished.count;
  finished.totalTime += now - startedAt;
  PollLocked();
}

void BlockingGate::SetCapacity(int slots, Duration coldStart, bool isDraining)
{
  const std::lock_guard lock(mutex_);
  gate_.SetCapacity(slots, coldStart, clock_.Now());
  SetDrainingLocked(isDraining);
}

void BlockingGate::SetDraining(bool isDraining)
{
  const std::lock_guard lock(mutex_);
  SetDrainingLocked(isDraining);
}

void BlockingGate::SetDrainingLocked(bool isDraining)
{
  if (isDraining) {
    gate_.Close(Reason::Draining);
  } else {
    gate_.Reopen();
  }
  PollLocked();
}

void BlockingGate::SetUsableLimit(std::optional<int> limit)
{
  const std::lock_guard lock(mutex_);
  gate_.SetUsableLimit(limit);
  PollLocked();
}

void BlockingGate::RecordSchedulingDelay(Duration delay)
{
  const std::lock_guard lock(mutex_);
  gate_.RecordSchedulingDelay(delay, clock_.Now());
  PollLocked();
}

AdmissionThreshold BlockingGate::Threshold(const std::string& account) const
{
  const std::lock_guard lock(mutex_);
  return gate_.Threshold(account);
}

LoadReport BlockingGate::Load() const
{
  const std::lock_guard lock(mutex_);
  return gate_.Load(clock_.Now());
}

GateStats BlockingGate::Stats() const
{
  const std::lock_guard lock(mutex_);
  return { .load = gate_.Load(clock_.Now()),
           .queueLength = gate_.Waiting(),
           .threshold = gate_.Threshold(""),
           .counts = counts_ };
}

} // namespace acp
