#include "acaciapulley/node/detail/hop_book.hpp"

#include <utility> // move

namespace acp::detail {

HopBook::HopBook(HopLedgerOptions options, const Clock& clock)
  : clock_(clock)
  , ledger_(std::move(options))
{
}

RequestContext HopBook::Open(const RequestContext& context, const std::string& requestClass)
{
  const std::lock_guard lock(mutex_);
  ledger_.Expire(clock_.WallNow());
  auto opened = ledger_.Open(context, clock_.WallNow());
  if (opened) {
    open_[context.hopId] = { .requestClass = requestClass };
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

} // namespace acp::detail
