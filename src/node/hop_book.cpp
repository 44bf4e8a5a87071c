#include "acaciapulley/node/detail/hop_book.hpp"

#include <iterator> // prev
#include <utility>  // move

#include "acaciapulley/core/random.hpp" // UniformRandom

namespace acp::detail {

namespace {

// A deadline travels as whole milliseconds, rounded down.
constexpr std::int64_t kDeadlineRoundingMs = 2;
// A request counts its time from its arrival at the upstream, after a connection was opened.
constexpr std::int64_t kDeadlineDriftMs = 20;
// Draws among all open hops for one that lasts long enough.
constexpr int kMostDraws = 8;

} // namespace

HopBook::HopBook(HopBudgetTableOptions options, const Clock& clock, std::function<double()> random)
  : clock_(clock)
  , hopBudgets_(std::move(options))
  , random_(random ? std::move(random) : UniformRandom)
{
}

RequestContext HopBook::Open(const RequestContext& context, const std::string& requestClass)
{
  const std::lock_guard lock(mutex_);
  hopBudgets_.Expire(clock_.WallNow());
  auto opened = hopBudgets_.Open(context, clock_.WallNow());
  if (opened) {
    Remove(context.hopId);
    open_[context.hopId] = { .requestClass = requestClass,
                             .context = context,
                             .deadline =
                               deadlines_.emplace(CountMillis(context.deadline), context.hopId),
                             .place = ids_.size() };
    ids_.push_back(context.hopId);
    return std::move(opened).value();
  }
  RequestContext withoutRetries = context;
  withoutRetries.retriesLeft = 0;
  return withoutRetries;
}

RetryReservation HopBook::Draw(const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const int left = hopBudgets_.Remaining(context.hopId);
  return hopBudgets_.Reserve(context, left, clock_.WallNow());
}

void HopBook::Return(const RetryReservation& reservation, int unused)
{
  const std::lock_guard lock(mutex_);
  hopBudgets_.Release(reservation.id, unused);
}

void HopBook::NoteRefusedCall(const std::string& hopId)
{
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(hopId);
  if (found != open_.end()) {
    found->second.hadRefusedCall = true;
  }
}

ClosedHop HopBook::Close(const std::string& hopId)
{
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(hopId);
  const bool hadRefusedCall = found != open_.end() && found->second.hadRefusedCall;
  Remove(hopId);
  return { .unusedRetries = hopBudgets_.Close(hopId), .hadRefusedCall = hadRefusedCall };
}

std::string HopBook::ClassOf(const std::string& hopId) const
{
  const std::lock_guard lock(mutex_);
  const auto found = open_.find(hopId);
  return found == open_.end() ? "" : found->second.requestClass;
}

std::optional<ParentHop> HopBook::ParentOf(UnixMillis deadline) const
{
  const std::lock_guard lock(mutex_);
  const auto id = FindParent(CountMillis(deadline));
  const auto parent = id ? open_.find(*id) : open_.end();
  if (parent == open_.end()) {
    return std::nullopt;
  }
  return ParentHop{ .requestClass = parent->second.requestClass,
                    .context = parent->second.context };
}

std::optional<std::string> HopBook::FindParent(std::int64_t deadline) const
{
  const auto later = deadlines_.upper_bound(deadline + kDeadlineRoundingMs);
  if (later != deadlines_.begin() && std::prev(later)->first + kDeadlineDriftMs >= deadline) {
    return std::prev(later)->second;
  }
  if (later == deadlines_.end()) {
    return std::nullopt;
  }
  for (int i = 0; i < kMostDraws; ++i) {
    const auto place = static_cast<std::size_t>(random_() * static_cast<double>(ids_.size()));
    const auto& drawn = open_.at(ids_[place]);
    if (drawn.deadline->first >= later->first) {
      return ids_[place];
    }
  }
  return later->second;
}

void HopBook::Remove(const std::string& hopId)
{
  const auto found = open_.find(hopId);
  if (found == open_.end()) {
    return;
  }
  deadlines_.erase(found->second.deadline);
  const std::size_t place = found->second.place;
  open_.erase(found);
  if (place + 1 < ids_.size()) {
    ids_[place] = std::move(ids_.back());
    open_.at(ids_[place]).place = place;
  }
  ids_.pop_back();
}

} // namespace acp::detail
