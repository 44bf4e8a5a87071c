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

} // namespace

HopBook::HopBook(HopLedgerOptions options, const Clock& clock, std::function<double()> random)
  : clock_(clock)
  , ledger_(std::move(options))
  , random_(random ? std::move(random) : UniformRandom)
{
}

RequestContext HopBook::Open(const RequestContext& context, const std::string& requestClass)
{
  const std::lock_guard lock(mutex_);
  ledger_.Expire(clock_.WallNow());
  auto opened = ledger_.Open(context, clock_.WallNow());
  if (opened) {
    const auto deadline = deadlines_.emplace(CountMillis(context.deadline), context.hopId);
    open_[context.hopId] = { .requestClass = requestClass,
                             .context = context,
                             .deadline = deadline };
    return std::move(opened).value();
  }
  RequestContext withoutRetries = context;
  withoutRetries.retriesLeft = 0;
  return withoutRetries;
}

RetryDraw HopBook::Draw(const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const int left = ledger_.Remaining(context.hopId);
  return ledger_.Draw(context, left, clock_.WallNow());
}

void HopBook::Return(const RetryDraw& draw, int unused)
{
  const std::lock_guard lock(mutex_);
  ledger_.Return(draw.ticket, unused);
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
  if (found != open_.end()) {
    deadlines_.erase(found->second.deadline);
    open_.erase(found);
  }
  return { .unusedRetries = ledger_.Close(hopId), .hadRefusedCall = hadRefusedCall };
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
  const auto parent = FindParent(CountMillis(deadline));
  if (parent == deadlines_.end()) {
    return std::nullopt;
  }
  const OpenHop& hop = open_.at(parent->second);
  return ParentHop{ .requestClass = hop.requestClass, .context = hop.context };
}

HopBook::Deadlines::const_iterator HopBook::FindParent(std::int64_t deadline) const
{
  const auto later = deadlines_.upper_bound(deadline + kDeadlineRoundingMs);
  if (later != deadlines_.begin() && std::prev(later)->first + kDeadlineDriftMs >= deadline) {
    return std::prev(later);
  }
  if (later == deadlines_.end()) {
    return later;
  }
  const auto span = static_cast<double>(std::prev(deadlines_.end())->first - later->first);
  return deadlines_.lower_bound(later->first + static_cast<std::int64_t>(random_() * span));
}

} // namespace acp::detail
