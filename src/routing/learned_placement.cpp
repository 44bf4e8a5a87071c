#include "acaciapulley/routing/detail/learned_placement.hpp"

#include <algorithm> // find, max, min, nth_element
#include <utility>   // move

namespace acp::detail {

namespace {

// A third sample pays off only where the service has many members.
constexpr std::size_t kManyMembers = 8;
constexpr std::size_t kSamples = 2;
constexpr std::size_t kSamplesOfMany = 3;
// A node's own measurement replaces a report that it exceeds by this factor: a report that is false
// or frozen would otherwise attract requests without limit.
constexpr double kFalseReportFactor = 2;
// Expected times of two samples differ by chance: without this margin most requests would go to
// other data centres for a small gain.
constexpr double kOtherDataCentreMargin = 1.25;
// Server errors count against a member only above the median error rate plus this margin, because
// all members fail when a service that they call fails.
constexpr double kErrorRateMargin = 0.25;

// Share of the requests that the local upstream would get and that go to a member without a recent
// report instead. Without them, the node of a slow upstream would never learn that others are
// faster.
constexpr double kExploredShare = 0.1;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

double LowerMedian(std::vector<double> values)
{
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

/// Returns the members that do not fail much more often than the others.
std::vector<MemberState*> SelectByErrorRate(const std::vector<MemberState*>& members, TimePoint now)
{
  std::vector<double> rates;
  rates.reserve(members.size());
  for (const MemberState* member : members) {
    rates.push_back(member->ErrorRateAt(now));
  }
  const double limit = kErrorRateMargin + LowerMedian(rates);
  std::vector<MemberState*> selected;
  for (MemberState* member : members) {
    if (member->ErrorRateAt(now) <= limit) {
      selected.push_back(member);
    }
  }
  return selected;
}

} // namespace

std::optional<LearnedPlacement> LearnedPlacement::Create(const LearnedPlacementInput& input,
                                                         TimePoint now)
{
  std::vector<double> recent;
  std::vector<double> old;
  for (const MemberState* member : *input.usable) {
    if (const auto* entry = member->runTimes.Find(input.requestClass, now)) {
      const bool isRecent = ReportAgeOf(entry->at, now) == ReportAge::Recent;
      (isRecent ? recent : old).push_back(entry->seconds);
    }
  }
  if (recent.empty() && old.empty()) {
    return std::nullopt;
  }
  const double median = LowerMedian(recent.empty() ? std::move(old) : std::move(recent));
  LearnedPlacement placement(input);
  placement.ComputeNodeShares(now);
  const std::vector<MemberState*> healthy = SelectByErrorRate(*input.usable, now);
  for (MemberState* member : healthy) {
    placement.AddMember(*member, median, now);
  }
  if (healthy.size() < input.usable->size() && placement.AreNearLimit()) {
    for (MemberState* member : *input.usable) {
      if (std::find(healthy.begin(), healthy.end(), member) == healthy.end()) {
        placement.AddMember(*member, median, now);
      }
    }
  }
  return placement;
}

void LearnedPlacement::ComputeNodeShares(TimePoint now)
{
  for (const MemberState* member : *input_.usable) {
    if (member->reportedInFlight.HasReport(now)) {
      InFlightSum& sum = inFlight_[member->info.dataCentre];
      sum.own += member->reportedInFlight.MeanOwn();
      sum.total += member->reportedInFlight.MeanTotal();
    }
  }
}

double LearnedPlacement::NodeShareAt(const std::string& dataCentre) const
{
  const auto found = inFlight_.find(dataCentre);
  return found == inFlight_.end() || found->second.total <= 0
           ? 1
           : std::min(found->second.own / found->second.total, 1.0);
}

bool LearnedPlacement::AreNearLimit() const
{
  double used = 0;
  double capacity = 0;
  for (const ExpectedMember& member : members_) {
    used += std::min(member.inFlight, member.capacity);
    capacity += member.capacity;
  }
  return used >= Balancer::kNearLimit * capacity;
}

Duration LearnedPlacement::RoundTripTo(const MemberState& member) const
{
  if (member.info.nodeId == input_.localNodeId) {
    return Duration::zero();
  }
  return member.info.dataCentre == input_.localDataCentre ? input_.costs.hopRoundTrip
                                                          : input_.costs.dataCentreRoundTrip;
}

void LearnedPlacement::AddMember(MemberState& member, double medianSeconds, TimePoint now)
{
  // Slowness is part of the expected time here.
  member.slownessPenalty = 1;
  ExpectedMember expected{ .member = &member };
  double runSeconds = medianSeconds;
  if (const auto* entry = member.runTimes.Find(input_.requestClass, now)) {
    expected.reportAge = ReportAgeOf(entry->at, now);
    runSeconds = expected.reportAge == ReportAge::Recent ? entry->seconds
                                                         : (entry->seconds + medianSeconds) / 2;
  }
  const double measured = input_.members->MeasuredSeconds(member, input_.requestClass, now) -
                          Seconds(RoundTripTo(member));
  if (measured > kFalseReportFactor * runSeconds) {
    runSeconds = measured;
  }
  // A member without a recent report gets at least its full share, so that it is measured again.
  const bool isRecent = expected.reportAge == ReportAge::Recent;
  const double weightSeconds = isRecent ? runSeconds : std::min(runSeconds, medianSeconds);
  const double capacity = member.CapacityAt(now);
  const double inFlight =
    1 + member.reportedInFlight.EstimateAt(
          member.InFlight(), NodeShareAt(member.info.dataCentre), runSeconds, now);
  expected.runSeconds = runSeconds;
  expected.expectedSeconds = runSeconds * WaitFactor(inFlight, capacity);
  expected.capacity = capacity;
  expected.inFlight = inFlight;
  expected.weight = capacity / weightSeconds;
  members_.push_back(expected);
}

const ExpectedMember* LearnedPlacement::BestSample(
  const std::vector<const ExpectedMember*>& from) const
{
  std::vector<const ExpectedMember*> left = from;
  const std::size_t samples =
    std::min(left.size(), left.size() >= kManyMembers ? kSamplesOfMany : kSamples);
  const ExpectedMember* best = nullptr;
  for (std::size_t i = 0; i < samples; ++i) {
    double total = 0;
    for (const ExpectedMember* candidate : left) {
      total += candidate->weight;
    }
    double remaining = input_.random() * total;
    std::size_t sampled = 0;
    for (; sampled + 1 < left.size(); ++sampled) {
      remaining -= left[sampled]->weight;
      if (remaining < 0) {
        break;
      }
    }
    // The first sample wins a tie, which keeps the load of idle members proportional to capacity.
    if (best == nullptr || left[sampled]->expectedSeconds < best->expectedSeconds) {
      best = left[sampled];
    }
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(sampled));
  }
  return best;
}

const ExpectedMember& LearnedPlacement::Pick() const
{
  std::vector<const ExpectedMember*> nearby;
  std::vector<const ExpectedMember*> elsewhere;
  const ExpectedMember* local = nullptr;
  for (const ExpectedMember& candidate : members_) {
    const bool isNearby = candidate.member->info.dataCentre == input_.localDataCentre;
    (isNearby ? nearby : elsewhere).push_back(&candidate);
    if (candidate.member->info.nodeId == input_.localNodeId) {
      local = &candidate;
    }
  }
  const ExpectedMember* best = BestSample(nearby);
  const ExpectedMember* remote = BestSample(elsewhere);
  const double roundTrip = Seconds(input_.costs.dataCentreRoundTrip);
  const bool isRemoteBetter =
    best == nullptr ||
    (remote != nullptr &&
     best->expectedSeconds > kOtherDataCentreMargin * remote->expectedSeconds + roundTrip);
  if (isRemoteBetter) {
    best = remote;
  }
  if (local != nullptr && local != best) {
    const double way = Seconds(RoundTripTo(*best->member));
    const bool isExplored =
      best->reportAge != ReportAge::Recent && input_.random() < kExploredShare;
    if (local->expectedSeconds <= best->expectedSeconds + way && !isExplored) {
      best = local;
    }
  }
  return *best;
}

} // namespace acp::detail
