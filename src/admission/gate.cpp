#include "acaciapulley/admission/gate.hpp"

#include <algorithm> // min

namespace acp {

namespace {

// Numbers in Acp-Load have at most 9 digits.
constexpr std::int64_t kMaxReportedAgeMs = 999'999'999;

bool IsOverload(Reason reason)
{
  return reason == Reason::Overloaded || reason == Reason::QueueTimeout;
}

} // namespace

Gate::Gate(GateOptions options, TimePoint now)
  : limit_(options.limit, now)
  , delayLimit_(options.delay, options.limit.slots, now)
  , queue_(options.queue)
  , controller_(options.threshold, now)
{
}

int Gate::Limit(TimePoint now) const
{
  const int limit = std::min(limit_.Current(now), delayLimit_.Current());
  return usableLimit_ ? std::min(limit, *usableLimit_) : limit;
}

void Gate::RecordSchedulingDelay(Duration delay, TimePoint now)
{
  delayLimit_.OnDelay(delay, static_cast<int>(running_.size()), now);
}

void Gate::UpdateLimits(TimePoint now)
{
  limit_.Update(now);
  controller_.Update({ .limit = Limit(now),
                       .inFlight = static_cast<int>(running_.size()),
                       .queueAge = queue_.OldestAge(now) },
                     now);
}

void Gate::Start(const GateRequest& request, TimePoint now)
{
  const bool isFull = static_cast<int>(running_.size()) + 1 >= Limit(now);
  running_.emplace(
    request.id,
    Running{ .requestClass = request.requestClass, .startedAt = now, .wasFull = isFull });
}

void Gate::Refuse(const GateRefusal& refusal)
{
  if (IsOverload(refusal.reason)) {
    controller_.OnOverloadRefusal();
  }
  refused_.emplace(refusal.id, refusal.reason);
}

OfferOutcome Gate::Offer(const GateRequest& request, TimePoint now)
{
  if (queue_.Contains(request.id) || running_.contains(request.id) ||
      refused_.contains(request.id)) {
    return { .decision = OfferDecision::Refused, .reason = Reason::BadRequest };
  }
  if (closedBecause_ != Reason::None) {
    return { .decision = OfferDecision::Refused, .reason = closedBecause_ };
  }
  if (request.deadline <= now) {
    return { .decision = OfferDecision::Refused, .reason = Reason::DeadlineExceeded };
  }
  controller_.OnOffer(request.priority, request.account, request.weight, !request.isFromIngress);
  UpdateLimits(now);
  const bool hasSlot = static_cast<int>(running_.size()) < Limit(now);
  if (hasSlot && queue_.Size() == 0) {
    Start(request, now);
    return { .decision = OfferDecision::Start };
  }
  const auto evicted = queue_.Push(request, now);
  if (evicted && evicted->id == request.id) {
    controller_.OnOverloadRefusal();
    return { .decision = OfferDecision::Refused, .reason = evicted->reason };
  }
  if (evicted) {
    Refuse(*evicted);
  }
  return { .decision = OfferDecision::Queued };
}

bool Gate::Finish(std::uint64_t id, TimePoint now, GateResult result)
{
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return false;
  }
  UpdateLimits(now);
  const Running ended = found->second;
  running_.erase(found);
  const Duration latency = now - ended.startedAt;
  limit_.OnFinish(ended.requestClass, latency, result, ended.wasFull);
  controller_.OnFinish();
  return true;
}

CancelOutcome Gate::Cancel(std::uint64_t id, TimePoint now)
{
  UpdateLimits(now);
  if (queue_.Remove(id) || refused_.erase(id) > 0) {
    return CancelOutcome::Removed;
  }
  return running_.contains(id) ? CancelOutcome::Running : CancelOutcome::Unknown;
}

PollOutcome Gate::Poll(TimePoint now)
{
  PollOutcome outcome;
  UpdateLimits(now);
  for (const GateRefusal& refusal : queue_.Expire(now)) {
    Refuse(refusal);
  }
  while (static_cast<int>(running_.size()) < Limit(now)) {
    const auto request = queue_.Pop(now);
    if (!request) {
      break;
    }
    Start(*request, now);
    outcome.start.push_back(request->id);
  }
  for (const auto& [id, reason] : refused_) {
    outcome.refuse.push_back({ .id = id, .reason = reason });
  }
  refused_.clear();
  return outcome;
}

std::optional<TimePoint> Gate::NextPoll(TimePoint now) const
{
  if (!refused_.empty()) {
    return now;
  }
  return queue_.NextExpiry(now);
}

void Gate::SetCapacity(int slots, Duration coldStart, TimePoint now)
{
  limit_.SetCapacity(slots, coldStart, now);
  delayLimit_.SetSlots(slots);
}

void Gate::Close(Reason reason)
{
  closedBecause_ = reason;
  for (const std::uint64_t id : queue_.Clear()) {
    Refuse({ .id = id, .reason = reason });
  }
}

AdmissionThreshold Gate::Threshold(const std::string& account) const
{
  return controller_.ThresholdFor(account);
}

LoadReport Gate::Load(TimePoint now) const
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(queue_.OldestAge(now)).count();
  return { .inFlight = static_cast<int>(running_.size()),
           .limit = Limit(now),
           .queueAgeMs = static_cast<int>(std::min<std::int64_t>(age, kMaxReportedAgeMs)) };
}

} // namespace acp
