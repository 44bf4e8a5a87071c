#include "acaciapulley/admission/fair_queue.hpp"

#include <algorithm> // clamp, find_if, max, min

namespace acp {

namespace {

// Ensures that an account without a purchased rate is served eventually.
constexpr double kMinWeight = 1e-3;

} // namespace

FairQueue::FairQueue(FairQueueOptions options)
  : options_(options)
{
}

FairQueue::Location FairQueue::LocationOf(const GateRequest& request) const
{
  const int priority = std::clamp(request.priority, 0, kPriorityCount - 1);
  const auto first = options_.byPriority ? static_cast<std::size_t>(priority) : 0U;
  return { .level = first * kLevelsPerPriority + (request.isNested ? 0U : 1U),
           .account = options_.byAccount ? request.account : std::string() };
}

std::optional<GateRefusal> FairQueue::Push(const GateRequest& request, TimePoint now)
{
  const Location location = LocationOf(request);
  std::optional<GateRefusal> evicted;
  if (locations_.empty()) {
    lastEmpty_ = now;
  }
  if (locations_.size() >= options_.maxCount) {
    evicted = EvictFor(request, location);
  }
  if (!evicted || evicted->id != request.id) {
    Insert(request, location, now);
  }
  return evicted;
}

std::optional<GateRefusal> FairQueue::EvictFor(const GateRequest& request, const Location& location)
{
  std::size_t worst = levels_.size();
  while (worst > 0 && levels_[worst - 1].activeList.empty()) {
    --worst;
  }
  const GateRefusal arriving{ .id = request.id, .reason = Reason::Overloaded };
  if (worst == 0 || location.level > worst - 1) {
    return arriving;
  }
  Level& level = levels_[worst - 1];
  const bool sameLevel = location.level == worst - 1;
  const std::string account = MostOverServed(level, sameLevel ? &location.account : nullptr);
  if (sameLevel && account == location.account) {
    return arriving;
  }
  auto& entries = level.accounts.at(account).entries;
  const GateRefusal evicted{ .id = entries.back().request.id, .reason = Reason::Overloaded };
  entries.pop_back();
  locations_.erase(evicted.id);
  DropIfEmpty(level, account);
  return evicted;
}

std::string FairQueue::MostOverServed(const Level& level, const std::string* arriving) const
{
  std::string worst;
  double worstLoad = -1.0;
  for (const auto& [name, queue] : level.accounts) {
    const bool isArriving = arriving != nullptr && name == *arriving;
    const auto count = queue.entries.size() + (isArriving ? 1U : 0U);
    const double load = static_cast<double>(count) / queue.weight;
    // On a tie the arriving request is refused, so that equal accounts do not evict each other.
    if (load > worstLoad || (load == worstLoad && isArriving)) {
      worst = name;
      worstLoad = load;
    }
  }
  return worst;
}

void FairQueue::Insert(const GateRequest& request, const Location& location, TimePoint now)
{
  Level& level = levels_[location.level];
  auto [found, isNew] = level.accounts.try_emplace(location.account);
  AccountQueue& queue = found->second;
  if (isNew) {
    queue.weight = options_.byAccount ? std::max(request.weight, kMinWeight) : 1.0;
    // A new entry is served in its first round. Otherwise an account that seldom waits would need
    // several rounds to accumulate deficit each time, while accounts that always wait keep theirs.
    queue.deficit = 1.0;
    queue.activePosition = level.activeList.insert(level.activeList.end(), location.account);
    level.weightSum += queue.weight;
  }
  queue.entries.push_back({ .request = request, .queuedAt = now });
  locations_.emplace(request.id, location);
}

void FairQueue::DropIfEmpty(Level& level, const std::string& account)
{
  const auto found = level.accounts.find(account);
  if (found == level.accounts.end() || !found->second.entries.empty()) {
    return;
  }
  level.weightSum -= found->second.weight;
  level.activeList.erase(found->second.activePosition);
  level.accounts.erase(found);
}

void FairQueue::UpdateLastEmpty(TimePoint now)
{
  if (locations_.empty()) {
    lastEmpty_ = now;
  }
}

std::optional<GateRequest> FairQueue::Pop(TimePoint now)
{
  for (Level& level : levels_) {
    // Accounts with an expired head are skipped; the loop ends when all heads have expired.
    std::size_t expiredHeads = 0;
    while (!level.activeList.empty() && expiredHeads < level.activeList.size()) {
      const std::string account = level.activeList.front();
      AccountQueue& queue = level.accounts.at(account);
      const bool isExpired = ExpiryOf(queue.entries.front(), now) != Reason::None;
      if (isExpired || queue.deficit < 1.0) {
        expiredHeads = isExpired ? expiredHeads + 1 : 0;
        const double meanWeight = level.weightSum / static_cast<double>(level.activeList.size());
        queue.deficit += isExpired ? 0.0 : queue.weight / meanWeight;
        if (queue.deficit < 1.0 || isExpired) {
          level.activeList.splice(level.activeList.end(), level.activeList, queue.activePosition);
          continue;
        }
      }
      GateRequest request = queue.entries.front().request;
      queue.entries.pop_front();
      queue.deficit -= 1.0;
      if (queue.deficit < 1.0) {
        level.activeList.splice(level.activeList.end(), level.activeList, queue.activePosition);
      }
      locations_.erase(request.id);
      DropIfEmpty(level, account);
      UpdateLastEmpty(now);
      return request;
    }
  }
  return std::nullopt;
}

Duration FairQueue::AgeBound(TimePoint now) const
{
  const bool isStanding = now - lastEmpty_ > options_.burstAge;
  return isStanding ? options_.targetAge : options_.burstAge;
}

Reason FairQueue::ExpiryOf(const Entry& entry, TimePoint now) const
{
  if (entry.request.deadline <= now) {
    return Reason::DeadlineExceeded;
  }
  const Duration queueTimeout = entry.request.queueTimeout;
  const Duration bound = queueTimeout > Duration::zero() ? queueTimeout : AgeBound(now);
  return now - entry.queuedAt > bound ? Reason::QueueTimeout : Reason::None;
}

std::vector<GateRefusal> FairQueue::Expire(TimePoint now)
{
  std::vector<GateRefusal> refusals;
  for (Level& level : levels_) {
    for (auto next = level.accounts.begin(); next != level.accounts.end();) {
      const auto current = next++;
      auto& entries = current->second.entries;
      while (!entries.empty()) {
        const Reason reason = ExpiryOf(entries.front(), now);
        if (reason == Reason::None) {
          break;
        }
        refusals.push_back({ .id = entries.front().request.id, .reason = reason });
        locations_.erase(refusals.back().id);
        entries.pop_front();
      }
      DropIfEmpty(level, std::string(current->first));
    }
  }
  UpdateLastEmpty(now);
  return refusals;
}

bool FairQueue::Remove(std::uint64_t id)
{
  const auto found = locations_.find(id);
  if (found == locations_.end()) {
    return false;
  }
  const Location location = found->second;
  Level& level = levels_[location.level];
  auto& entries = level.accounts.at(location.account).entries;
  const auto entry = std::find_if(
    entries.begin(), entries.end(), [id](const Entry& each) { return each.request.id == id; });
  entries.erase(entry);
  locations_.erase(found);
  DropIfEmpty(level, location.account);
  return true;
}

std::vector<std::uint64_t> FairQueue::Clear()
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, location] : locations_) {
    ids.push_back(id);
  }
  locations_.clear();
  levels_ = {};
  return ids;
}

Duration FairQueue::OldestAge(TimePoint now) const
{
  Duration oldest{};
  for (const Level& level : levels_) {
    for (const auto& [name, queue] : level.accounts) {
      oldest = std::max(oldest, now - queue.entries.front().queuedAt);
    }
  }
  return oldest;
}

std::optional<TimePoint> FairQueue::NextExpiry(TimePoint now) const
{
  std::optional<TimePoint> next;
  for (const Level& level : levels_) {
    for (const auto& [name, queue] : level.accounts) {
      const Entry& head = queue.entries.front();
      // The age bound drops from burstAge to targetAge once the queue has been non-empty for
      // burstAge.
      const TimePoint standingFrom = lastEmpty_ + options_.burstAge;
      const TimePoint ageExpiry =
        std::max(std::min(head.queuedAt + options_.burstAge,
                          std::max(standingFrom, head.queuedAt + options_.targetAge)),
                 now);
      const bool hasQueueTimeout = head.request.queueTimeout > Duration::zero();
      const TimePoint waitExpiry =
        hasQueueTimeout ? head.queuedAt + head.request.queueTimeout : ageExpiry;
      const TimePoint expiry = std::min(std::max(waitExpiry, now), head.request.deadline);
      next = next ? std::min(*next, expiry) : expiry;
    }
  }
  return next;
}

} // namespace acp
