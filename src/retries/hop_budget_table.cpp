#include "acaciapulley/retries/hop_budget_table.hpp"

#include <algorithm> // clamp, max, min
#include <utility>   // move

namespace acp {

HopBudgetTable::HopBudgetTable(HopBudgetTableOptions options)
  : options_(std::move(options))
{
}

RetriesResult<RequestContext> HopBudgetTable::Open(const RequestContext& context, UnixMillis now)
{
  Expire(now);
  const std::int64_t expiry = CountMillis(context.deadline) + kMaxClockSkew.count();
  if (expiry < CountMillis(now)) {
    return Fail(RetriesErrorCode::ExpiredContext, "the deadline has passed");
  }
  if (hops_.contains(context.hopId)) {
    return Fail(RetriesErrorCode::DuplicateHop,
                "hop " + context.hopId + " has been opened already");
  }
  if (hops_.size() >= options_.maxHops) {
    return Fail(RetriesErrorCode::TooManyHops, "too many open hops");
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

RetryReservation HopBudgetTable::Reserve(const RequestContext& context, int wanted, UnixMillis now)
{
  Expire(now);
  const bool isOwn = context.issuer == options_.nodeId && context.issuerEpoch == options_.epoch;
  const auto found = hops_.find(context.hopId);
  if (!isOwn || found == hops_.end() || !found->second.isOpen) {
    return {};
  }
  Hop& hop = found->second;
  const int granted = std::clamp(wanted, 0, hop.remaining);
  if (granted == 0 || hop.reservations.size() >= options_.maxReservations) {
    return {};
  }
  hop.remaining -= options_.enforceBudget ? granted : 0;
  const RetryReservation reservation{ .id = nextReservationId_++, .granted = granted };
  hop.reservations.emplace(reservation.id, granted);
  hopByReservation_.emplace(reservation.id, context.hopId);
  return reservation;
}

int HopBudgetTable::Release(std::uint64_t reservationId, int unused)
{
  const auto found = hopByReservation_.find(reservationId);
  if (found == hopByReservation_.end()) {
    return 0;
  }
  Hop& hop = hops_.at(found->second);
  const int returned = std::clamp(unused, 0, hop.reservations.at(reservationId));
  hop.reservations.erase(reservationId);
  hopByReservation_.erase(found);
  if (!hop.isOpen || !options_.enforceBudget) {
    return 0;
  }
  hop.remaining += returned;
  return returned;
}

int HopBudgetTable::Close(const std::string& hopId)
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

void HopBudgetTable::Expire(UnixMillis now)
{
  while (!expiries_.empty() && expiries_.begin()->first < CountMillis(now)) {
    const std::string hopId = expiries_.begin()->second;
    Erase(hopId);
  }
}

void HopBudgetTable::Erase(const std::string& hopId)
{
  const auto found = hops_.find(hopId);
  for (const auto& [reservationId, granted] : found->second.reservations) {
    hopByReservation_.erase(reservationId);
  }
  expiries_.erase(found->second.expiry);
  hops_.erase(found);
}

int HopBudgetTable::Remaining(const std::string& hopId) const
{
  const auto found = hops_.find(hopId);
  return found == hops_.end() ? 0 : found->second.remaining;
}

} // namespace acp
