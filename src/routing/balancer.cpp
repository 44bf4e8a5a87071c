#include "acaciapulley/routing/balancer.hpp"

#include <algorithm> // any_of, find, min, nth_element
#include <cstddef>   // ptrdiff_t, size_t
#include <memory>    // make_shared
#include <random>    // mt19937_64, random_device, uniform_real_distribution
#include <utility>   // move

#include "acaciapulley/routing/detail/learned_placement.hpp" // LearnedPlacement

namespace acp {

namespace {

// A member counts as slow only above this multiple of its service's median slowness, so that noise
// does not shift load away from the distribution by capacity.
constexpr double kSlowFactor = 3;

// Server errors count against a member only above the service's median error rate plus this margin,
// because all members fail when a service that they call fails.
constexpr double kErrorRateMargin = 0.25;

std::function<double()> SeededRandom()
{
  auto generator = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [generator] { return std::uniform_real_distribution<double>(0, 1)(*generator); };
}

bool IsEligible(const PickRequest& request, const MemberState& member)
{
  if (request.allowedDataCentres && !request.allowedDataCentres(member.info.dataCentre)) {
    return false;
  }
  const auto tried = std::find(request.tried.begin(), request.tried.end(), member.info.nodeId);
  return member.IsServing() && tried == request.tried.end();
}

/// Returns the lower median, which at least half of the values do not exceed.
double LowerMedian(std::vector<double> values)
{
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Returns the members that are neither much slower nor fail much more often than the service's
/// median. Sets the slownessPenalty of all members.
std::vector<MemberState*> SelectHealthy(const ServiceMembers& service,
                                        const std::vector<MemberState*>& members,
                                        TimePoint now)
{
  std::vector<double> slowness;
  std::vector<double> errorRates;
  for (const MemberState* member : members) {
    slowness.push_back(service.SlownessAt(*member, now));
    errorRates.push_back(member->ErrorRateAt(now));
  }
  const double typicalSlowness = LowerMedian(slowness);
  const double maxErrorRate = kErrorRateMargin + LowerMedian(errorRates);
  std::vector<MemberState*> healthy;
  for (std::size_t i = 0; i < members.size(); ++i) {
    MemberState* member = members[i];
    const double factor = slowness[i] / typicalSlowness;
    const bool isSlow = factor > kSlowFactor;
    member->slownessPenalty = isSlow ? factor : 1;
    if (!isSlow && member->ErrorRateAt(now) <= maxErrorRate) {
      healthy.push_back(member);
    }
  }
  return healthy;
}

bool AreNearLimit(const std::vector<MemberState*>& members, TimePoint now)
{
  double used = 0;
  double capacity = 0;
  for (const MemberState* member : members) {
    const double own = member->CapacityAt(now);
    capacity += own;
    used += std::min(member->UtilisationAt(now), 1.0) * own;
  }
  return used >= Balancer::kNearLimit * capacity;
}

} // namespace

Balancer::Balancer(BalancerOptions options)
  : options_(std::move(options))
{
  if (!options_.random) {
    options_.random = SeededRandom();
  }
}

std::optional<PickedMember> Balancer::Pick(const PickRequest& request, TimePoint now)
{
  std::optional<PickedMember> picked;
  options_.members->With(request.service, [&](ServiceMembers& members) {
    MemberState* member = PickMember(members, request, now);
    if (member == nullptr) {
      return;
    }
    picked = PickedMember{ .nodeId = member->info.nodeId,
                           .epoch = member->info.epoch,
                           .peerAddress = member->info.peerAddress,
                           .isLocal = member->info.nodeId == options_.localNodeId,
                           .isTrial = member->outlier.IsEjected(),
                           .startedAt = now };
    ServiceMembers::BeginCall(*member, request.requestClass, now);
    if (member->info.warmupRate > 0 && member->warmupShare.IsCold(now)) {
      member->warmupShare.Take();
    }
  });
  return picked;
}

bool Balancer::HasUntriedMember(const PickRequest& request) const
{
  bool hasOther = false;
  options_.members->With(request.service, [&](ServiceMembers& members) {
    hasOther =
      std::any_of(members.Members().begin(),
                  members.Members().end(),
                  [&request](const MemberState& member) { return IsEligible(request, member); });
  });
  return hasOther;
}

MemberState* Balancer::PickMember(ServiceMembers& members,
                                  const PickRequest& request,
                                  TimePoint now)
{
  members.ExpireDrains(now);
  std::vector<MemberState*> usable;
  std::vector<MemberState*> ejected;
  std::vector<MemberState*> aboveShare;
  for (MemberState& member : members.Members()) {
    if (!IsEligible(request, member)) {
      continue;
    }
    const bool isAboveShare = IsAboveWarmupShare(member, now);
    if (member.outlier.IsEjected()) {
      if (!isAboveShare && request.isIdempotent && member.outlier.IsTrialDue(now)) {
        return &member;
      }
      ejected.push_back(&member);
      continue;
    }
    (isAboveShare ? aboveShare : usable).push_back(&member);
  }
  if (usable.empty()) {
    usable = std::move(aboveShare);
  }
  // The number of ejected members is limited for the whole service, so all those that this request
  // may use can be ejected.
  if (usable.empty() && request.allowedDataCentres && request.isIdempotent &&
      request.tried.empty()) {
    usable = std::move(ejected);
  }
  if (usable.empty()) {
    return nullptr;
  }
  if (MemberState* member = PickByExpectedTime(members, usable, request, now)) {
    return member;
  }
  CountPick(ReportAge::Announced);
  const std::vector<MemberState*> healthy = SelectHealthy(members, usable, now);
  return PickByUtilisation(AreNearLimit(healthy, now) ? usable : healthy, now);
}

/// Returns whether one more request to the cold member would exceed this node's share of its rate.
bool Balancer::IsAboveWarmupShare(MemberState& member, TimePoint now)
{
  return member.info.warmupRate > 0 && member.warmupShare.IsCold(now) &&
         !member.warmupShare.HasToken(
           now, member.info.warmupRate, options_.members->Size(), [this] { return Random(); });
}

MemberState* Balancer::PickByExpectedTime(const ServiceMembers& members,
                                          const std::vector<MemberState*>& usable,
                                          const PickRequest& request,
                                          TimePoint now)
{
  const auto placement =
    detail::LearnedPlacement::Create({ .members = &members,
                                       .usable = &usable,
                                       .requestClass = request.requestClass,
                                       .localNodeId = options_.localNodeId,
                                       .localDataCentre = options_.localDataCentre,
                                       .costs = options_.learned,
                                       .random = [this] { return Random(); } },
                                     now);
  if (!placement) {
    return nullptr;
  }
  const detail::ExpectedMember& picked = placement->Pick();
  CountPick(picked.reportAge);
  return picked.member;
}

std::map<ReportAge, std::uint64_t> Balancer::PickCounts() const
{
  std::map<ReportAge, std::uint64_t> counts;
  for (const auto& row : NameTable<ReportAge>::kRows) {
    counts[row.value] = pickCounts_.at(static_cast<std::size_t>(row.value));
  }
  return counts;
}

MemberState* Balancer::PickByUtilisation(const std::vector<MemberState*>& members, TimePoint now)
{
  MemberState* local = nullptr;
  std::vector<MemberState*> nearby;
  for (MemberState* member : members) {
    if (member->info.dataCentre == options_.localDataCentre) {
      nearby.push_back(member);
    }
    if (member->info.nodeId == options_.localNodeId) {
      local = member;
    }
  }
  if (local != nullptr && local->UtilisationAt(now, 1) < kNearLimit) {
    return local;
  }
  const bool useNearby = !nearby.empty() && !AreNearLimit(nearby, now);
  MemberState* peer = BetterOfTwo(useNearby ? nearby : members, now);
  // A peer costs an additional hop, so it must be less utilised than the local upstream.
  if (local != nullptr && local->UtilisationAt(now, 1) <= peer->UtilisationAt(now, 1)) {
    return local;
  }
  return peer;
}

MemberState* Balancer::BetterOfTwo(const std::vector<MemberState*>& members, TimePoint now)
{
  MemberState* first = SampleByCapacity(members, nullptr, now);
  if (members.size() == 1) {
    return first;
  }
  MemberState* second = SampleByCapacity(members, first, now);
  // The first was sampled from all members by capacity and therefore wins a tie, which keeps the
  // load of idle members proportional to their capacities.
  return first->UtilisationAt(now) <= second->UtilisationAt(now) ? first : second;
}

MemberState* Balancer::SampleByCapacity(const std::vector<MemberState*>& members,
                                        const MemberState* except,
                                        TimePoint now)
{
  double total = 0;
  for (const MemberState* member : members) {
    total += member == except ? 0 : member->CapacityAt(now);
  }
  double remaining = Random() * total;
  MemberState* last = nullptr;
  for (MemberState* member : members) {
    if (member == except) {
      continue;
    }
    last = member;
    remaining -= member->CapacityAt(now);
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

double Balancer::Random()
{
  const std::lock_guard lock(randomMutex_);
  return options_.random();
}

} // namespace acp
