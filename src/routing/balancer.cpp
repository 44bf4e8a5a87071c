#include "acaciapulley/routing/balancer.hpp"

#include <algorithm> // find, max, min
#include <memory>    // make_shared
#include <random>    // mt19937_64, random_device, uniform_real_distribution
#include <utility>   // move

namespace acp {

namespace {

// Latency counts against a member only beyond this multiple of its service's average, so that noise
// does not move load away from the share by capacity, and at most this much.
constexpr double kSlowFactor = 2;
constexpr double kLargestLatencyCost = 4;

std::function<double()> SeededRandom()
{
  auto generator = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [generator] { return std::uniform_real_distribution<double>(0, 1)(*generator); };
}

bool IsTried(const PickRequest& request, const MemberState& member)
{
  return std::find(request.tried.begin(), request.tried.end(), member.info.nodeId) !=
         request.tried.end();
}

double AverageLatency(const std::vector<MemberState*>& members)
{
  double sum = 0;
  double count = 0;
  for (const MemberState* member : members) {
    if (member->latencySeconds > 0) {
      sum += member->latencySeconds;
      count += 1;
    }
  }
  return count > 0 ? sum / count : 0;
}

double CostOf(const MemberState& member, double averageLatency, TimePoint now)
{
  double cost = member.UtilisationAt(now);
  if (averageLatency > 0 && member.latencySeconds > kSlowFactor * averageLatency) {
    cost *= std::min(member.latencySeconds / averageLatency, kLargestLatencyCost);
  }
  return cost;
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

std::optional<Choice> Balancer::Pick(const PickRequest& request, TimePoint now)
{
  std::optional<Choice> choice;
  options_.members->With(request.service, [&](ServiceMembers& members) {
    MemberState* member = Choose(members, request, now);
    if (member == nullptr) {
      return;
    }
    choice = Choice{ .nodeId = member->info.nodeId,
                     .epoch = member->info.epoch,
                     .peerAddress = member->info.peerAddress,
                     .isOwn = member->info.nodeId == options_.ownNodeId,
                     .isTrial = member->outlier.IsEjected() };
    ServiceMembers::Begin(*member, now);
  });
  return choice;
}

MemberState* Balancer::Choose(ServiceMembers& members, const PickRequest& request, TimePoint now)
{
  MemberState* own = nullptr;
  std::vector<MemberState*> usable;
  std::vector<MemberState*> nearby;
  for (MemberState& member : members.Members()) {
    if (member.isDraining || IsTried(request, member)) {
      continue;
    }
    if (member.outlier.IsEjected()) {
      if (request.isIdempotent && member.outlier.IsTrialDue(now)) {
        return &member;
      }
      continue;
    }
    usable.push_back(&member);
    if (member.info.dataCentre == options_.ownDataCentre) {
      nearby.push_back(&member);
    }
    if (member.info.nodeId == options_.ownNodeId) {
      own = &member;
    }
  }
  if (usable.empty()) {
    return nullptr;
  }
  if (own != nullptr && own->UtilisationAt(now, 1) < kNearLimit) {
    return own;
  }
  const bool useNearby = !nearby.empty() && !AreNearLimit(nearby, now);
  MemberState* peer = BetterOfTwo(useNearby ? nearby : usable, now);
  // A peer costs a hop more, so it must be better off than the own upstream.
  if (own != nullptr && own->UtilisationAt(now, 1) <= peer->UtilisationAt(now, 1)) {
    return own;
  }
  return peer;
}

MemberState* Balancer::BetterOfTwo(const std::vector<MemberState*>& members, TimePoint now)
{
  MemberState* first = Draw(members, nullptr, now);
  if (members.size() == 1) {
    return first;
  }
  MemberState* second = Draw(members, first, now);
  const double average = AverageLatency(members);
  // The first was drawn by capacity, so it wins a tie; that keeps idle members' shares
  // proportional.
  return CostOf(*first, average, now) <= CostOf(*second, average, now) ? first : second;
}

MemberState* Balancer::Draw(const std::vector<MemberState*>& members,
                            const MemberState* except,
                            TimePoint now)
{
  double total = 0;
  for (const MemberState* member : members) {
    total += member == except ? 0 : member->CapacityAt(now);
  }
  double place = Random() * total;
  MemberState* last = nullptr;
  for (MemberState* member : members) {
    if (member == except) {
      continue;
    }
    last = member;
    place -= member->CapacityAt(now);
    if (place < 0) {
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
