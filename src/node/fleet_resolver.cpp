#include "acaciapulley/node/detail/fleet_resolver.hpp"

#include <algorithm> // min
#include <memory>    // make_shared
#include <optional>  // optional
#include <utility>   // move

#include "acaciapulley/accounts/key_table.hpp"        // HashKey
#include "acaciapulley/core/random.hpp"               // ToHex
#include "acaciapulley/node/detail/headers.hpp"       // kKeyHeader, kServiceHeader
#include "acaciapulley/node/detail/request_times.hpp" // ParseMillis

namespace acp::detail {

namespace {

constexpr Duration kStaleRetryAfter = std::chrono::milliseconds(300);
// Longest time until a new control leader serves a node (docs/measurements-replication.md).
constexpr Duration kNoStateRetryAfter = std::chrono::seconds(1);
// A node that reaches control confirms its state at least every second.
constexpr Duration kDenialMaxStateAge = std::chrono::milliseconds(1500);
constexpr std::int64_t kMaxPeerBodyBytes = 1'073'741'824;

// Highest priority, for nested calls whose parent is unknown: a refusal would waste work done.
constexpr int kNestedPriority = 0;

/// New requests have a lower priority than kNestedPriority.
int PriorityOf(int rank)
{
  return std::min(rank + 1, kLowestPriority);
}

auto StaleStateRefusal()
{
  return NotRunRefusal(503,
                       Reason::StaleState,
                       "this node has not been able to confirm its state with control",
                       kStaleRetryAfter);
}

/// Picks a destination and updates the credits, by R. Tijdeman's algorithm for the chairman
/// assignment problem (1980), which keeps every credit between -1 and 1: of the destinations that
/// are far enough behind their share, the one that would be a whole request behind first is next.
std::size_t PickByCredit(const std::vector<FleetDestination>& destinations,
                         std::vector<double>& credits)
{
  double total = 0;
  int count = 0;
  for (const auto& destination : destinations) {
    total += destination.weight;
    count += destination.weight > 0 ? 1 : 0;
  }
  const double leastCredit = count > 1 ? 1.0 / (2 * (count - 1)) : 0.0;
  std::optional<std::size_t> picked;
  std::size_t furthestBehind = 0;
  double earliest = 0;
  for (std::size_t i = 0; i < destinations.size(); ++i) {
    if (destinations[i].weight <= 0) {
      continue;
    }
    const double share = destinations[i].weight / total;
    credits[i] += share;
    if (destinations[furthestBehind].weight <= 0 || credits[i] > credits[furthestBehind]) {
      furthestBehind = i;
    }
    const double requestsLeft = (1 - leastCredit - credits[i]) / share;
    if (credits[i] >= leastCredit && (!picked || requestsLeft < earliest)) {
      picked = i;
      earliest = requestsLeft;
    }
  }
  // Without rounding errors one is always far enough behind.
  const std::size_t next = picked.value_or(furthestBehind);
  credits[next] -= 1;
  return next;
}

} // namespace

FleetResolver::FleetResolver(const StateCache& stateCache, const Clock& clock)
  : stateCache_(stateCache)
  , clock_(clock)
{
}

bool FleetResolver::MayDeny() const
{
  return stateCache_.IsFresh(clock_.Now(), kDenialMaxStateAge);
}

std::string FleetResolver::PickDestination(const FleetRoute& route)
{
  if (route.destinations.size() == 1) {
    return route.destinations.front().service;
  }
  const auto& destinations = route.destinations;
  const std::lock_guard lock(mutex_);
  WeightedRoundRobin& roundRobin = roundRobins_[route.requestClass.name];
  if (roundRobin.destinations != destinations) {
    roundRobin = { .destinations = destinations,
                   .credits = std::vector<double>(destinations.size(), 0.0) };
  }
  return destinations[PickByCredit(destinations, roundRobin.credits)].service;
}

OrRefusal<ResolvedRequest> FleetResolver::Resolve(const HttpRequestHead& head,
                                                  std::int64_t bodyLength)
{
  const FleetDocumentPtr fleet = stateCache_.Fleet();
  if (!fleet) {
    return NotRunRefusal(
      503, Reason::StaleState, "this node has no fleet document yet", kNoStateRetryAfter);
  }
  const std::string path = head.target.substr(0, head.target.find('?'));
  const FleetRoute* route = fleet->Match(head.headers.Find("Host").value_or(""), path);
  if (route == nullptr && !MayDeny()) {
    return StaleStateRefusal();
  }
  if (route == nullptr) {
    return NotRunRefusal(404, Reason::UnknownRoute, "no route matches host and path");
  }
  if (bodyLength > route->requestClass.maxBodyBytes) {
    return NotRunRefusal(413, Reason::TooLarge, "the body is larger than the fleet allows");
  }
  ResolvedRequest request;
  request.service = PickDestination(*route);
  request.upstreamTarget = head.target;
  request.requestClass = &route->requestClass;
  request.isFleetRoute = true;
  request.fleet = fleet;
  request.allowedRegions.Restrict(route->allowedRegions);
  return request;
}

OrRefusal<AuthenticatedCaller> FleetResolver::Authenticate(const HttpRequestHead& head,
                                                           const ResolvedRequest& request) const
{
  const FleetDocument& fleet = *request.fleet;
  const RequestClass& requestClass = *request.requestClass;
  if (requestClass.openToAll || !fleet.RequiresKeys()) {
    // Nested calls carry no key and belong to requests for which work has been done.
    return AuthenticatedCaller{ .priority = kNestedPriority };
  }
  const auto key = head.headers.Find(kKeyHeader);
  const FleetAccount* account = key ? fleet.FindAccountByKeyHash(ToHex(HashKey(*key))) : nullptr;
  if (account == nullptr && !MayDeny()) {
    return StaleStateRefusal();
  }
  if (account == nullptr) {
    const Reason reason = key ? Reason::InvalidKey : Reason::MissingKey;
    return NotRunRefusal(401, reason, "the client account's key is missing or not valid");
  }
  return AuthenticatedCaller{ .account = account->name,
                              .priority =
                                PriorityOf(account->priority.value_or(requestClass.priority)),
                              .isLimited = account->limit.rate > 0,
                              .allowedRegions = account->allowedRegions };
}

OrRefusal<ResolvedRequest> FleetResolver::ResolveForPeer(const HttpRequestHead& head,
                                                         const RequestContext& context)
{
  const auto service = head.headers.Find(kServiceHeader);
  const auto className = head.headers.Find(kClassHeader);
  if (!service || !className) {
    return NotRunRefusal(400, Reason::BadRequest, "a peer's request names no service or class");
  }
  auto requestClass = std::make_shared<RequestClass>();
  requestClass->name = *className;
  requestClass->priority = context.priority;
  requestClass->idempotent = context.idempotent;
  requestClass->needsClaim = false;
  requestClass->openToAll = head.headers.Find(kOpenHeader).has_value();
  requestClass->targetLatency = ParseMillis(head.headers, kTargetHeader);
  // The node at which the request entered has enforced the limit of the fleet document.
  requestClass->maxBodyBytes = kMaxPeerBodyBytes;
  ResolvedRequest request;
  request.service = *service;
  request.upstreamTarget = head.target;
  request.requestClass = requestClass.get();
  request.isFleetRoute = true;
  request.classOwner = std::move(requestClass);
  return request;
}

} // namespace acp::detail
