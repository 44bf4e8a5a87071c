#include "acaciapulley/node/detail/root_admission.hpp"

#include <algorithm> // min
#include <utility>   // move

#include "acaciapulley/core/random.hpp"               // RandomHex
#include "acaciapulley/node/detail/attempt.hpp"       // ClassName
#include "acaciapulley/node/detail/request_times.hpp" // PatienceOf, TimeAllowed

namespace acp::detail {

namespace {

constexpr std::size_t kRootIdBytes = 16;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
// Longest wait for the first state of a node that has just started; the median time until a new
// control leader serves it (docs/measurements-replication.md).
constexpr Duration kFirstStateWait = std::chrono::milliseconds(450);

auto RefuseAsOverloaded()
{
  return NotRun(
    503, Reason::Overloaded, "a service that the request needs is overloaded", kOverloadRetryAfter);
}

} // namespace

RootAdmission::RootAdmission(RootAdmissionOptions options)
  : options_(std::move(options))
  , fleetResolver_(*options_.view, *options_.clock)
{
}

OrRefusal<Root> RootAdmission::Admit(const ServerExchange& exchange, EndedRequest& ended)
{
  options_.view->AwaitFirst(*options_.clock, kFirstStateWait, exchange.CallerGone());
  return options_.routesByFleet ? AdmitByFleet(exchange, ended) : AdmitByDocument(exchange, ended);
}

OrRefusal<RequestContext> RootAdmission::NewContext(const HttpRequestHead& head,
                                                    const ResolvedRequest& request,
                                                    const std::string& account) const
{
  const auto allowed = TimeAllowed(head, *request.requestClass);
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

OrRefusal<Root> RootAdmission::AdmitByDocument(const ServerExchange& exchange, EndedRequest& ended)
{
  const auto& head = exchange.Request();
  auto resolved = options_.resolver->Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  Root root{ .request = std::move(resolved).value() };
  ended.service = root.request.service;
  ended.requestClass = root.request.requestClass->name;
  const auto fresh = options_.resolver->CheckFreshness(*root.request.requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto account = options_.resolver->Authenticate(head, root.request);
  if (!account) {
    return boost::outcome_v2::failure(account.error());
  }
  ended.account = account.value();
  auto context = NewContext(head, root.request, account.value());
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  root.context = std::move(context).value();
  if (!options_.thresholds->AdmitsRequest(ClassName(root.request), root.context)) {
    return RefuseAsOverloaded();
  }
  if (!root.request.requestClass->openToAll) {
    root.limit = { root.request.service, account.value() };
  }
  return root;
}

OrRefusal<Root> RootAdmission::AdmitByFleet(const ServerExchange& exchange, EndedRequest& ended)
{
  const auto& head = exchange.Request();
  auto resolved = fleetResolver_.Resolve(head, exchange.RequestBodyLength());
  if (!resolved) {
    return boost::outcome_v2::failure(resolved.error());
  }
  Root root{ .request = std::move(resolved).value() };
  const RequestClass& requestClass = *root.request.requestClass;
  ended.service = root.request.service;
  ended.requestClass = requestClass.name;
  const auto fresh = options_.resolver->CheckFreshness(requestClass);
  if (!fresh) {
    return boost::outcome_v2::failure(fresh.error());
  }
  const auto caller = fleetResolver_.Authenticate(head, root.request);
  if (!caller) {
    return boost::outcome_v2::failure(caller.error());
  }
  ended.account = caller.value().account;
  auto context = NewContext(head, root.request, caller.value().account);
  if (!context) {
    return boost::outcome_v2::failure(context.error());
  }
  root.context = std::move(context).value();
  root.context.priority = caller.value().priority;
  root.isNested = caller.value().account.empty();
  if (root.isNested) {
    InheritFromParent(root);
  }
  const Duration remaining = std::chrono::milliseconds(CountMillis(root.context.deadline) -
                                                       CountMillis(options_.clock->WallNow()));
  root.patience = PatienceOf(requestClass, remaining, root.isNested);
  root.context.retriesLeft = std::min(options_.retryBudget, requestClass.maxAttempts - 1);
  // A nested call belongs to a request on which work has been done, so that only its gate refuses
  // it.
  if (!root.isNested &&
      !options_.thresholds->AdmitsRequest(ClassName(root.request), root.context)) {
    return RefuseAsOverloaded();
  }
  if (caller.value().isLimited) {
    root.limit = { kAllServices, caller.value().account };
  }
  return root;
}

void RootAdmission::InheritFromParent(Root& root) const
{
  const auto parent = options_.hops->ParentOf(root.context.deadline);
  if (!parent) {
    return;
  }
  root.parentClass = parent->requestClass;
  root.context.rootId = parent->context.rootId;
  root.context.account = parent->context.account;
  root.context.priority = parent->context.priority;
}

} // namespace acp::detail
