#include "acaciapulley/node/detail/hop_registry.hpp"

#include <iterator> // prev
#include <utility>  // move

#include "acaciapulley/core/random.hpp" // UniformRandom

namespace acp::detail {

namespace {

// Deadlines are sent in whole milliseconds, rounded down.
constexpr std::int64_t kDeadlineRoundingMs = 2;
// The upstream computes its deadline when the request arrives, after a connection was opened.
constexpr std::int64_t kDeadlineDriftMs = 20;
// Random samples among the open hops to find one with a late enough deadline.
constexpr int kMaxSamples = 8;

} // namespace

HopRegistry::HopRegistry(HopBudgetTableOptions options,
                         const Clock& clock,
                         std::function<double()> random)
  : clock_(clock)
  , hopBudgets_(std::move(options))
  , random_(random ? std::move(random) : UniformRandom)
{
}

RequestContext HopRegistry::Open(const RequestContext& context, const std::string& requestClass)
{
  const std::lock_guard lock(mutex_);
  hopBudgets_.Expire(clock_.WallNow());
  auto opened = hopBudgets_.Open(context, clock_.WallNow());
  if (opened) {
    Remove(context.hopId);
    openHops_[context.hopId] = { .requestClass = requestClass,
                                 .context = context,
                                 .deadline =
                                   deadlines_.emplace(CountMillis(context.deadline), context.hopId),
                                 .index = openIds_.size() };
    openIds_.push_back(context.hopId);
    return std::move(opened).value();
  }
  RequestContext withoutRetries = context;
  withoutRetries.retriesLeft = 0;
  return withoutRetries;
}

RetryReservation HopRegistry::ReserveRetries(const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const int left = hopBudgets_.Remaining(context.hopId);
  return hopBudgets_.Reserve(context, left, clock_.WallNow());
}

void HopRegistry::ReleaseRetries(const RetryReservation& reservation, int unused)
{
  const std::lock_guard lock(mutex_);
  hopBudgets_.Release(reservation.id, unused);
}

void HopRegistry::RecordRefusedCall(const std::string& hopId)
{
  const std::lock_guard lock(mutex_);
  const auto found = openHops_.find(hopId);
  if (found != openHops_.end()) {
    found->second.hadRefusedCall = true;
  }
}

ClosedHop HopRegistry::Close(const std::string& hopId)
{
  const std::lock_guard lock(mutex_);
  const auto found = openHops_.find(hopId);
  const bool hadRefusedCall = found != openHops_.end() && found->second.hadRefusedCall;
  Remove(hopId);
  return { .unusedRetries = hopBudgets_.Close(hopId), .hadRefusedCall = hadRefusedCall };
}

std::string HopRegistry::RequestClassOf(const std::string& hopId) const
{
  const std::lock_guard lock(mutex_);
  const auto found = openHops_.find(hopId);
  return found == openHops_.end() ? "" : found->second.requestClass;
}

std::optional<ParentHop> HopRegistry::EstimateParent(UnixMillis deadline) const
{
  const std::lock_guard lock(mutex_);
  const auto id = EstimateParentId(CountMillis(deadline));
  const auto parent = id ? openHops_.find(*id) : openHops_.end();
  if (parent == openHops_.end()) {
    return std::nullopt;
  }
  return ParentHop{ .requestClass = parent->second.requestClass,
                    .context = parent->second.context };
}

std::optional<std::string> HopRegistry::EstimateParentId(std::int64_t deadline) const
{
  const auto later = deadlines_.upper_bound(deadline + kDeadlineRoundingMs);
  if (later != deadlines_.begin() && std::prev(later)->first + kDeadlineDriftMs >= deadline) {
    return std::prev(later)->second;
  }
  if (later == deadlines_.end()) {
    return std::nullopt;
  }
  for (int i = 0; i < kMaxSamples; ++i) {
    const auto index = static_cast<std::size_t>(random_() * static_cast<double>(openIds_.size()));
    const auto& sampled = openHops_.at(openIds_[index]);
    if (sampled.deadline->first >= later->first) {
      return openIds_[index];
    }
  }
  return later->second;
}

void HopRegistry::Remove(const std::string& hopId)
{
  const auto found = openHops_.find(hopId);
  if (found == openHops_.end()) {
    return;
  }
  deadlines_.erase(found->second.deadline);
  const std::size_t index = found->second.index;
  openHops_.erase(found);
  if (index + 1 < openIds_.size()) {
    openIds_[index] = std::move(openIds_.back());
    openHops_.at(openIds_[index]).index = index;
  }
  openIds_.pop_back();
}

} // namespace acp::detail
