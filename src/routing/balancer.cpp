#include "acaciapulley/routing/balancer.hpp"

#include <algorithm> // any_of, find, min, nth_element
#include <cstddef>   // ptrdiff_t, size_t
#include <memory>    // make_shared
#include <random>    // mt19937_64, random_device, uniform_real_distribution
#include <utility>   // move

namespace acp {

namespace {

// Latency counts against a member only beyond this multiple of its service's typical one, so that
// noise does not move load away from the share by capacity.
constexpr double kSlowFactor = 3;

// Server errors count against a member only beyond the service's typical part by this much: all
// members fail when a service that they call fails.
constexpr double kFailedExcess = 0.25;

std::function<double()> SeededRandom()
{
  auto generator = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [generator] { return std::uniform_real_distribution<double>(0, 1)(*generator); };
}

bool IsOpen(const PickRequest& request, const MemberState& member)
{
  const auto tried = std::find(request.tried.begin(), request.tried.end(), member.info.nodeId);
  return !member.isDraining && tried == request.tried.end();
}

/// The value that at least half of the members do not exceed.
double TypicalOf(std::vector<double> values)
{
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Members that are neither much slower than the service's typical one nor fail much more often.
/// Sets the handicap of all members.
std::vector<MemberState*> SoundOf(const ServiceMembers& service,
                                  const std::vector<MemberState*>& members,
                                  TimePoint now)
{
  std::vector<double> slowness;
  std::vector<double> failed;
  for (const MemberState* member : members) {
    slowness.push_back(service.SlownessAt(*member, now));
    failed.push_back(member->FailedPartAt(now));
  }
  const double typicalSlowness = TypicalOf(slowness);
  const double mostFailed = kFailedExcess + TypicalOf(failed);
  std::vector<MemberState*> sound;
  for (std::size_t i = 0; i < members.size(); ++i) {
    MemberState* member = members[i];
    const double factor = slowness[i] / typicalSlowness;
    const bool isSlow = factor > kSlowFactor;
    member->handicap = isSlow ? factor : 1;
    if (!isSlow && member->FailedPartAt(now) <= mostFailed) {
      sound.push_back(member);
    }
  }
  return sound;
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
                     .isTrial = member->outlier.IsEjected(),
                     .startedAt = now };
    ServiceMembers::Begin(*member, request.requestClass, now);
  });
  return choice;
}

bool Balancer::HasOther(const PickRequest& request) const
{
  bool hasOther = false;
  options_.members->With(request.service, [&](ServiceMembers& members) {
    hasOther =
      std::any_of(members.Members().begin(),
                  members.Members().end(),
                  [&request](const MemberState& member) { return IsOpen(request, member); });
  });
  return hasOther;
}

MemberState* Balancer::Choose(ServiceMembers& members, const PickRequest& request, TimePoint now)
{
  std::vector<MemberState*> usable;
  for (MemberState& member : members.Members()) {
    if (!IsOpen(request, member)) {
      continue;
    }
    if (member.outlier.IsEjected()) {
      if (request.isIdempotent && member.outlier.IsTrialDue(now)) {
        return &member;
      }
      continue;
    }
    usable.push_back(&member);
  }
  if (usable.empty()) {
    return nullptr;
  }
  const std::vector<MemberState*> sound = SoundOf(members, usable, now);
  return ChooseAmong(AreNearLimit(sound, now) ? usable : sound, now);
}

MemberState* Balancer::ChooseAmong(const std::vector<MemberState*>& members, TimePoint now)
{
  MemberState* own = nullptr;
  std::vector<MemberState*> nearby;
  for (MemberState* member : members) {
    if (member->info.dataCentre == options_.ownDataCentre) {
      nearby.push_back(member);
    }
    if (member->info.nodeId == options_.ownNodeId) {
      own = member;
    }
  }
  if (own != nullptr && own->UtilisationAt(now, 1) < kNearLimit) {
    return own;
  }
  const bool useNearby = !nearby.empty() && !AreNearLimit(nearby, now);
  MemberState* peer = BetterOfTwo(useNearby ? nearby : members, now);
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
  // The first was drawn by capacity, so it wins a tie; that keeps idle members' shares
  // proportional.
  return first->UtilisationAt(now) <= second->UtilisationAt(now) ? first : second;
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
