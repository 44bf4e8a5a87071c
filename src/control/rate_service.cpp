#include "acaciapulley/control/rate_service.hpp"

#include <stop_token> // stop_token
#include <utility>    // move

#include "acaciapulley/config/fleet_document.hpp"   // FleetDocument
#include "acaciapulley/config/service_document.hpp" // ServiceDocument
#include "gen/ControlService.h"

namespace acp {

namespace {

TokenAsk FromWire(const wire::TokenAsk& ask, const wire::TokenRequest& request)
{
  return { .nodeId = request.nodeId,
           .epoch = request.epoch,
           .key = { ask.serviceName, ask.account },
           .number = ask.number,
           .term = ask.term,
           .received = ask.received,
           .spent = ask.spent,
           .returned = ask.returned,
           .spentAge = std::chrono::microseconds(ask.spentAgeMicros),
           .needed = ask.needed,
           .wanted = ask.wanted };
}

std::int64_t ToMicros(Duration span)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

wire::TokenAnswer ToWire(const LimitsResult<TokenAnswer>& answer, std::int64_t number)
{
  wire::TokenAnswer message;
  message.number = number;
  if (!answer) {
    message.errorCode = static_cast<std::int32_t>(answer.error().code);
    return message;
  }
  message.term = answer.value().term;
  message.number = answer.value().number;
  message.granted = answer.value().granted;
  // Rounded down, so that a lease never ends later than the authority assumes.
  message.leaseMicros = ToMicros(answer.value().lease);
  message.retryAfterMicros = ToMicros(answer.value().retryAfter);
  message.settleWithinMicros = ToMicros(answer.value().settleWithin);
  message.mayBeWithinRate = answer.value().mayBeWithinRate;
  return message;
}

/// Limits of the fleet document apply to all services together.
void AddFleetLimits(const FleetChange& change, std::map<LimitKey, TokenLimit>& limits)
{
  const auto fleet = FleetDocument::Parse(change.document);
  if (!fleet) {
    return;
  }
  for (const auto& account : fleet.value().Accounts()) {
    if (account.limit.rate > 0) {
      limits[{ kAllServices, account.name }] = { .rate = account.limit.rate,
                                                 .burst = account.limit.burst };
    }
  }
}

std::map<LimitKey, TokenLimit> LimitsOf(const std::vector<StoredDocument>& documents)
{
  std::map<LimitKey, TokenLimit> limits;
  for (const auto& stored : documents) {
    const auto document = ServiceDocument::Parse(stored.body);
    if (!document) {
      continue;
    }
    for (const auto& [account, limit] : document.value().Accounts()) {
      limits[{ stored.service, account }] = { .rate = limit.rate, .burst = limit.burst };
    }
  }
  return limits;
}

} // namespace

RateService::RateService(const ControlState& state,
                         ReplicatedLog& log,
                         const Clock& clock,
                         const RateAuthorityOptions& options)
  : state_(state)
  , log_(log)
  , clock_(clock)
  , authority_(options)
{
}

void RateService::RefreshTerm(const Leadership& leadership, TimePoint now)
{
  if (term_ == leadership.term) {
    return;
  }
  term_ = leadership.term;
  authority_.BeginTerm(
    static_cast<std::int64_t>(term_), now - leadership.leadingFor, previousTerm_);
}

void RateService::RefreshLimits(TimePoint now)
{
  const std::int64_t version = state_.Version();
  if (version == stateVersion_) {
    return;
  }
  auto limits = LimitsOf(state_.Documents());
  AddFleetLimits(state_.Fleet(), limits);
  for (const auto& [key, limit] : appliedLimits_) {
    if (!limits.contains(key)) {
      authority_.RemoveLimit(key, now);
    }
  }
  for (const auto& [key, limit] : limits) {
    const auto found = appliedLimits_.find(key);
    if (found == appliedLimits_.end() || found->second != limit) {
      authority_.SetLimit(key, limit, now);
    }
  }
  appliedLimits_ = std::move(limits);
  stateVersion_ = version;
}

void RateService::Refresh()
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  const auto leadingFor = log_.LeadershipDuration();
  const ReplicaStatus status = log_.Status();
  if (!leadingFor) {
    const auto term = static_cast<std::int64_t>(status.term);
    const bool hasLeader = !status.isLeader && !status.leaderId.empty();
    if (hasLeader && (!previousTerm_ || previousTerm_->term != term)) {
      previousTerm_ = PreviousTerm{ .term = term, .knownSince = now };
    }
    return;
  }
  if (status.term < term_) {
    return;
  }
  RefreshTerm({ .term = status.term, .leadingFor = *leadingFor }, now);
  RefreshLimits(now);
}

std::jthread StartRateRefresh(RateService& rates, Duration interval)
{
  return std::jthread([&rates, interval](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      rates.Refresh();
      std::this_thread::sleep_for(interval);
    }
  });
}

ControlResult<void> RateService::Acquire(wire::TokenReply& reply,
                                         const wire::TokenRequest& request,
                                         const Leadership& leadership)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  const auto age = log_.LeadershipConfirmationAge();
  if (!age || leadership.term < term_) {
    return Fail(ControlErrorCode::NotLeader, "this replica is not the leader");
  }
  RefreshTerm(leadership, now);
  RefreshLimits(now);
  for (const auto& ask : request.asks) {
    const auto answer = authority_.Acquire(FromWire(ask, request), now - age.value(), now);
    reply.answers.push_back(ToWire(answer, ask.number));
  }
  return boost::outcome_v2::success();
}

} // namespace acp
