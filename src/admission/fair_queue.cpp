#include "acaciapulley/admission/fair_queue.hpp"

#include <algorithm> // clamp, find_if, max, min

namespace acp {

namespace {

// Keeps an account without a purchased rate from never being served.
constexpr double kSmallestWeight = 1e-3;

} // namespace

FairQueue::FairQueue(FairQueueOptions options)
  : options_(options)
{
}

FairQueue::Place FairQueue::PlaceOf(const GateRequest& request) const
{
  const int priority = std::clamp(request.priority, 0, kPriorityCount - 1);
  const auto first = options_.byPriority ? static_cast<std::size_t>(priority) : 0U;
  return { .level = first * kLevelsPerPriority + (request.continuesWork ? 0U : 1U),
           .account = options_.byAccount ? request.account : std::string() };
}

std::optional<GateRefusal> FairQueue::Push(const GateRequest& request, TimePoint now)
{
  const Place place = PlaceOf(request);
  std::optional<GateRefusal> refused;
  if (places_.empty()) {
    lastEmpty_ = now;
  }
  if (places_.size() >= options_.maxCount) {
    refused = MakeRoom(request, place);
  }
  if (!refused || refused->id != request.id) {
    Insert(request, place, now);
  }
  return refused;
}

std::optional<GateRefusal> FairQueue::MakeRoom(const GateRequest& request, const Place& place)
{
  std::size_t worst = levels_.size();
  while (worst > 0 && levels_[worst - 1].round.empty()) {
    --worst;
  }
  const GateRefusal arriving{ .id = request.id, .reason = Reason::Overloaded };
  if (worst == 0 || place.level > worst - 1) {
    return arriving;
  }
  Level& level = levels_[worst - 1];
  const bool sameLevel = place.level == worst - 1;
  const std::string account = MostOverServed(level, sameLevel ? &place.account : nullptr);
  if (sameLevel && account == place.account) {
    return arriving;
  }
  auto& entries = level.accounts.at(account).entries;
  const GateRefusal refused{ .id = entries.back().request.id, .reason = Reason::Overloaded };
  entries.pop_back();
  places_.erase(refused.id);
  DropIfEmpty(level, account);
  return refused;
}

std::string FairQueue::MostOverServed(const Level& level, const std::string* arriving) const
{
  std::string worst;
  double worstLoad = -1.0;
  for (const auto& [name, queue] : level.accounts) {
    const bool isArriving = arriving != nullptr && name == *arriving;
    const auto count = queue.entries.size() + (isArriving ? 1U : 0U);
    const double load = static_cast<double>(count) / queue.weight;
    // On a tie the arriving request gives way, so that equal accounts do not evict each other.
    if (load > worstLoad || (load == worstLoad && isArriving)) {
      worst = name;
      worstLoad = load;
    }
  }
  return worst;
}

void FairQueue::Insert(const GateRequest& request, const Place& place, TimePoint now)
{
  Level& level = levels_[place.level];
  auto [found, isNew] = level.accounts.try_emplace(place.account);
  AccountQueue& queue = found->second;
  if (isNew) {
    queue.weight = options_.byAccount ? std::max(request.weight, kSmallestWeight) : 1.0;
    // Served in its first turn: an account that seldom waits would otherwise collect deficit over
    // several rounds each time, while accounts that always wait keep theirs.
    queue.deficit = 1.0;
    queue.turn = level.round.insert(level.round.end(), place.account);
    level.weightSum += queue.weight;
  }
  queue.entries.push_back({ .request = request, .queuedAt = now });
  places_.emplace(request.id, place);
}

void FairQueue::DropIfEmpty(Level& level, const std::string& account)
{
  const auto found = level.accounts.find(account);
  if (found == level.accounts.end() || !found->second.entries.empty()) {
    return;
  }
  level.weightSum -= found->second.weight;
  level.round.erase(found->second.turn);
  level.accounts.erase(found);
}

void FairQueue::NoteSize(TimePoint now)
{
  if (places_.empty()) {
    lastEmpty_ = now;
  }
}

std::optional<GateRequest> FairQueue::Pop(TimePoint now)
{
  for (Level& level : levels_) {
    // An account whose head has expired is passed over; more rounds than accounts find nothing.
    std::size_t expiredHeads = 0;
    while (!level.round.empty() && expiredHeads < level.round.size()) {
      const std::string account = level.round.front();
      AccountQueue& queue = level.accounts.at(account);
      const bool isExpired = ExpiryOf(queue.entries.front(), now) != Reason::None;
      if (isExpired || queue.deficit < 1.0) {
        expiredHeads = isExpired ? expiredHeads + 1 : 0;
        const double meanWeight = level.weightSum / static_cast<double>(level.round.size());
        queue.deficit += isExpired ? 0.0 : queue.weight / meanWeight;
        if (queue.deficit < 1.0 || isExpired) {
          level.round.splice(level.round.end(), level.round, queue.turn);
          continue;
        }
      }
      GateRequest request = queue.entries.front().request;
      queue.entries.pop_front();
      queue.deficit -= 1.0;
      if (queue.deficit < 1.0) {
        level.round.splice(level.round.end(), level.round, queue.turn);
      }
      places_.erase(request.id);
      DropIfEmpty(level, account);
      NoteSize(now);
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
  const Duration patience = entry.request.patience;
  const Duration bound = patience > Duration::zero() ? patience : AgeBound(now);
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
        places_.erase(refusals.back().id);
        entries.pop_front();
      }
      DropIfEmpty(level, std::string(current->first));
    }
  }
  NoteSize(now);
  return refusals;
}

bool FairQueue::Remove(std::uint64_t id)
{
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return false;
  }
  const Place place = found->second;
  Level& level = levels_[place.level];
  auto& entries = level.accounts.at(place.account).entries;
  const auto entry = std::find_if(
    entries.begin(), entries.end(), [id](const Entry& each) { return each.request.id == id; });
  entries.erase(entry);
  places_.erase(found);
  DropIfEmpty(level, place.account);
  return true;
}

std::vector<std::uint64_t> FairQueue::Clear()
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, place] : places_) {
    ids.push_back(id);
  }
  places_.clear();
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
      // The bound falls from burstAge to targetAge once requests have waited for burstAge.
      const TimePoint standing = lastEmpty_ + options_.burstAge;
      const TimePoint aged =
        std::max(std::min(head.queuedAt + options_.burstAge,
                          std::max(standing, head.queuedAt + options_.targetAge)),
                 now);
      const bool isPatient = head.request.patience > Duration::zero();
      const TimePoint waited = isPatient ? head.queuedAt + head.request.patience : aged;
      const TimePoint expiry = std::min(std::max(waited, now), head.request.deadline);
      next = next ? std::min(*next, expiry) : expiry;
    }
  }
  return next;
}

} // namespace acp
