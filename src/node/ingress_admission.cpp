#include "acaciapulley/node/detail/ingress_admission.hpp"

#include <algorithm> // min
#include <utility>   // move

#include "acaciapulley/core/random.hpp"               // RandomHex
#include "acaciapulley/node/detail/attempt.hpp"       // QualifiedClassName
#include "acaciapulley/node/detail/request_times.hpp" // QueueTimeoutOf, RequestTimeout

namespace acp::detail {

namespace {

constexpr std::size_t kRootIdBytes = 16;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
// Median time until a new control leader serves the first state of a node that has just started
// (docs/measurements-replication.md).
constexpr Duration kMaxFirstStateWait = std::chrono::milliseconds(450);

auto OverloadedRefusal()
{
  return NotRunRefusal(
    503, Reason::Overloaded, "a service that the request needs is overloaded", kOverloadRetryAfter);
}

} // namespace

IngressAdmission::IngressAdmission(IngressAdmissionOptions options)
  : options_(std::move(options))
  , fleetResolver_(*options_.stateCache, *options_.clock)
{
}

OrRefusal<AdmittedRequest> IngressAdmission::Admit(const ServerExchange& exchange,
                                                   CompletedRequest& completed)
{
  options_.stateCache->AwaitFirstState(*options_.clock, kMaxFirstStateWait, exchange.CallerGone());
  return options_.routesByFleet ? AdmitByFleetDocument(exchange, completed)
                                : AdmitByServiceDocument(exchange, completed);
}

OrRefusal<RequestContext> IngressAdmission::NewContext(const HttpRequestHead& head,
                                                       const ResolvedRequest& request,
                                                       const std::string& account) const
{
  const auto allowed = RequestTimeout(head, *request.requestClass);
  if (!allowed) {
    return boost::outcome_v2::failure(allowed.error());
  }
  const auto now = CountMillis(options_.clock->WallNow());
  return RequestContext{ .rootId = RandomHex(kRootIdBytes),
                         .account = account,
                         .priority = request.requestClass->priority,
                         .idempotent = request.requestClass->idempotent,
                         .deadline = ToUnixMillis(now + allowed.value().count()),
                         .retriesLeft = options_.retryBudget,
                         .issuer = options_.nodeId,
                         .issuerEpoch = options_.epoch };
}

OrRefusal<AdmittedRequest> IngressAdmission::AdmitByServiceDocument(const ServerExchange& exchange,
                                                                    CompletedRequest& completed)
{
  const auto& head = exchange.Request();
  auto resolved = options_.resolver->Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  AdmittedRequest admitted{ .request = std::move(resolved).value() };
  completed.service = admitted.request.service;
  completed.requestClass = admitted.request.requestClass->name;
  const auto fresh = options_.resolver->CheckFreshness(*admitted.request.requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto account = options_.resolver->Authenticate(head, admitted.request);
  if (!account) {
    return boost::outcome_v2::failure(account.error());
  }
  completed.account = account.value();
  auto context = NewContext(head, admitted.request, account.value());
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  admitted.context = std::move(context).value();
  if (!options_.thresholds->AdmitRequest(QualifiedClassName(admitted.request), admitted.context)) {
    return OverloadedRefusal();
  }
  if (!admitted.request.requestClass->openToAll) {
    admitted.limitKey = { admitted.request.service, account.value() };
  }
  return admitted;
}

OrRefusal<AdmittedRequest> IngressAdmission::AdmitByFleetDocument(const ServerExchange& exchange,
                                                                  CompletedRequest& completed)
{
  const auto& head = exchange.Request();
  auto resolved = fleetResolver_.Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  AdmittedRequest admitted{ .request = std::move(resolved).value() };
  const RequestClass& requestClass = *admitted.request.requestClass;
  completed.service = admitted.request.service;
  completed.requestClass = requestClass.name;
  const auto fresh = options_.resolver->CheckFreshness(requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto caller = fleetResolver_.Authenticate(head, admitted.request);
  if (!caller) {
    return boost::outcome_v2::failure(caller.error());
  }
  completed.account = caller.value().account;
  admitted.request.allowedRegions.Restrict(caller.value().allowedRegions);
  auto context = NewContext(head, admitted.request, caller.value().account);
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  admitted.context = std::move(context).value();
  admitted.context.priority = caller.value().priority;
  admitted.isNested = caller.value().account.empty();
  if (admitted.isNested) {
    InheritFromParent(admitted);
  }
  const Duration remaining = std::chrono::milliseconds(CountMillis(admitted.context.deadline) -
                                                       CountMillis(options_.clock->WallNow()));
  admitted.queueTimeout = QueueTimeoutOf(requestClass, remaining, admitted.isNested);
  admitted.context.retriesLeft = std::min(options_.retryBudget, requestClass.maxAttempts - 1);
  // Work has already been done for the request that a nested call belongs to, so only the gate
  // refuses a nested call.
  if (!admitted.isNested &&
      !options_.thresholds->AdmitRequest(QualifiedClassName(admitted.request), admitted.context)) {
    return OverloadedRefusal();
  }
  if (caller.value().isLimited) {
    admitted.limitKey = { kAllServices, caller.value().account };
  }
  return admitted;
}

void IngressAdmission::InheritFromParent(AdmittedRequest& admitted) const
{
  const auto parent = options_.hops->EstimateParent(admitted.context.deadline);
  if (!parent) {
    return;
  }
  admitted.parentClass = parent->requestClass;
  admitted.context.rootId = parent->context.rootId;
  // The account of a request that is not open to all is named to the upstream, so it comes from the
  // request's own key only.
  if (admitted.request.requestClass->openToAll) {
    admitted.context.account = parent->context.account;
  }
  admitted.context.priority = parent->context.priority;
}

} // namespace acp::detail
