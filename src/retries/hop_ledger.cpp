#include "acaciapulley/retries/hop_ledger.hpp"

#include <algorithm> // clamp, max, min
#include <utility>   // move

namespace acp {

HopLedger::HopLedger(HopLedgerOptions options)
  : options_(std::move(options))
{
}

RetriesResult<RequestContext> HopLedger::Open(const RequestContext& context, UnixMillis now)
{
  Expire(now);
  const std::int64_t expiry = CountMillis(context.deadline) + kMaxClockSkew.count();
  if (expiry < CountMillis(now)) {
    return Fail(RetriesErrorCode::ExpiredContext, "the deadline has passed");
  }
  if (hops_.contains(context.hopId)) {
    return Fail(RetriesErrorCode::DuplicateHop, "hop " + context.hopId + " was opened before");
  }
  if (hops_.size() >= options_.maxHops) {
    return Fail(RetriesErrorCode::LedgerFull, "too many open hops");
  }
  Hop hop;
  hop.remaining = std::clamp(context.retriesLeft, 0, kMaxRetryBudget);
  hop.expiry = expiries_.emplace(expiry, context.hopId);
  hops_.emplace(context.hopId, std::move(hop));
  RequestContext forUpstream = context;
  forUpstream.retriesLeft = 0;
  forUpstream.issuer = options_.nodeId;
  forUpstream.issuerEpoch = options_.epoch;
  return forUpstream;
}

RetryDraw HopLedger::Draw(const RequestContext& context, int wanted, UnixMillis now)
{
  Expire(now);
  const bool isOwn = context.issuer == options_.nodeId && context.issuerEpoch == options_.epoch;
  const auto found = hops_.find(context.hopId);
  if (!isOwn || found == hops_.end() || !found->second.isOpen) {
    return {};
  }
  Hop& hop = found->second;
  const int granted = std::clamp(wanted, 0, hop.remaining);
  if (granted == 0 || hop.draws.size() >= options_.maxDraws) {
    return {};
  }
  hop.remaining -= options_.conserves ? granted : 0;
  const RetryDraw draw{ .ticket = nextTicket_++, .granted = granted };
  hop.draws.emplace(draw.ticket, granted);
  hopOfTicket_.emplace(draw.ticket, context.hopId);
  return draw;
}

int HopLedger::Return(std::uint64_t ticket, int unused)
{
  const auto found = hopOfTicket_.find(ticket);
  if (found == hopOfTicket_.end()) {
    return 0;
  }
  Hop& hop = hops_.at(found->second);
  const int returned = std::clamp(unused, 0, hop.draws.at(ticket));
  hop.draws.erase(ticket);
  hopOfTicket_.erase(found);
  if (!hop.isOpen || !options_.conserves) {
    return 0;
  }
  hop.remaining += returned;
  return returned;
}

int HopLedger::Close(const std::string& hopId)
{
  const auto found = hops_.find(hopId);
  if (found == hops_.end() || !found->second.isOpen) {
    return 0;
  }
  const int remaining = found->second.remaining;
  found->second.isOpen = false;
  found->second.remaining = 0;
  return remaining;
}

void HopLedger::Expire(UnixMillis now)
{
  while (!expiries_.empty() && expiries_.begin()->first < CountMillis(now)) {
    const std::string hopId = expiries_.begin()->second;
    Forget(hopId);
  }
}

void HopLedger::Forget(const std::string& hopId)
{
  const auto found = hops_.find(hopId);
  for (const auto& [ticket, granted] : found->second.draws) {
    hopOfTicket_.erase(ticket);
  }
  expiries_.erase(found->second.expiry);
  hops_.erase(found);
}

int HopLedger::Remaining(const std::string& hopId) const
{
  const auto found = hops_.find(hopId);
  return found == hops_.end() ? 0 : found->second.remaining;
}

} // namespace acp
