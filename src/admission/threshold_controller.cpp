#include "acaciapulley/admission/threshold_controller.hpp"

#include <algorithm> // clamp, max, min, sort
#include <cmath>     // exp
#include <utility>   // pair
#include <vector>    // vector

namespace acp {

namespace {

// A share below this leaves too few arrivals to estimate the demand behind it.
constexpr double kSmallestShare = 0.005;
// Step of a share that rises: by half and by 2 percentage points in each period, which takes
// 0.4 s from 0 to 1 with a period of 50 ms.
constexpr double kRiseFactor = 1.5;
constexpr double kRiseStep = 0.02;
// Added to both at an idle upstream, in proportion to its free slots: there is room for errors.
constexpr double kIdleRiseFactor = 1.5;
constexpr double kIdleRiseStep = 0.08;
// The memory of the demand is up to this much shorter at an idle upstream. It would otherwise
// remember a surge from 0.8 to 8 times the capacity as an overload for 0.9 s after its end.
constexpr double kIdleForgetting = 3.0;
// The trim moves by 2% a period. Its lower bound is near 1 because the important priorities may
// need nearly all capacity: with 0.8, orders that needed 0.83 of it were refused after chance
// refusals. Its upper bound keeps a wrong latency estimate from closing the gate.
constexpr double kTrimStep = 0.02;
constexpr double kTrimLowest = 0.95;
constexpr double kTrimHighest = 1.5;
// Refusals up to this share of the arrivals keep the upstream busy and do not count as overload.
constexpr double kToleratedRefusals = 0.05;
// Accounts with less decayed demand than this are forgotten.
constexpr double kForgottenMass = 0.01;
// The division among accounts is estimated from about this many arrivals, but over no longer than
// kLongestComposition, so that an account that grows is limited soon.
constexpr double kCompositionArrivals = 200.0;
constexpr double kLongestComposition = 2.0; // seconds
// Announced shares reach the callers with the next answers, within about a period.
constexpr double kAppliedPerPeriod = 0.6;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ThresholdController::ThresholdController(ThresholdControllerOptions options, TimePoint now)
  : options_(options)
  , lastUpdate_(now)
  , lastSeen_(now)
{
}

void ThresholdController::OnOffer(int priority,
                                  const std::string& account,
                                  double weight,
                                  bool wasShared)
{
  const int clamped = std::clamp(priority, 0, kPriorityCount - 1);
  Priority& level = priorities_[static_cast<std::size_t>(clamped)];
  auto [found, isNew] = level.accounts.try_emplace(options_.byAccount ? account : std::string());
  Demand& demand = found->second;
  if (isNew) {
    demand.share = level.cap;
    demand.appliedShare = level.cap;
  }
  demand.weight = options_.byAccount ? std::max(weight, 1e-3) : 1.0;
  const double sent = wasShared ? 1.0 / std::max(demand.appliedShare, kSmallestShare) : 1.0;
  demand.mass += sent;
  level.mass += sent;
  level.sent += sent;
  level.arrived += 1.0;
}

void ThresholdController::OnOverloadRefusal()
{
  ++refusals_;
}

void ThresholdController::OnFinish()
{
  finished_ += 1.0;
}

void ThresholdController::Update(const GateState& state, TimePoint now)
{
  occupancy_ += state.inFlight * Seconds(now - lastSeen_);
  lastSeen_ = now;
  if (!options_.enabled || now - lastUpdate_ < options_.period) {
    return;
  }
  const Duration elapsed = now - lastUpdate_;
  lastUpdate_ = now;
  double arrived = 0.0;
  for (const Priority& priority : priorities_) {
    arrived += priority.arrived;
  }
  const bool isOverloaded =
    refusals_ > kToleratedRefusals * arrived || state.queueAge > options_.targetAge;
  refusals_ = 0;
  const double busy = static_cast<double>(state.inFlight) / std::max(1, state.limit);
  const double idle = std::clamp(1.0 - busy, 0.0, 1.0);
  Average(Seconds(elapsed), isOpen_ ? 0.0 : idle);
  if (isOpen_ && !isOverloaded) {
    trim_ = 1.0;
    return;
  }
  trim_ = isOverloaded ? std::max(trim_ - kTrimStep, kTrimLowest)
                       : std::min(trim_ + kTrimStep, kTrimHighest);
  if (finished_ <= 0.0 || occupancy_ <= 0.0) {
    return;
  }
  // Requests finished per second of occupied slot, for all slots.
  Compute(trim_ * state.limit * finished_ / occupancy_, idle);
}

void ThresholdController::Average(double elapsedSeconds, double idle)
{
  const double memory = Seconds(options_.memory);
  const double keep = std::exp(-elapsedSeconds / memory);
  occupancy_ *= keep;
  finished_ *= keep;
  const double keepDemand = std::exp(-elapsedSeconds * (1.0 + idle * kIdleForgetting) / memory);
  for (Priority& priority : priorities_) {
    priority.rate =
      keepDemand * priority.rate + (1.0 - keepDemand) * priority.sent / elapsedSeconds;
    priority.arrivalRate =
      keep * priority.arrivalRate + (1.0 - keep) * priority.arrived / elapsedSeconds;
    priority.sent = 0.0;
    priority.arrived = 0.0;
    DecayComposition(priority, elapsedSeconds);
  }
}

void ThresholdController::DecayComposition(Priority& priority, double elapsedSeconds) const
{
  const double shortest = Seconds(options_.memory);
  const double rate = std::max(priority.arrivalRate, 1e-3);
  const double span =
    std::clamp(kCompositionArrivals / rate, shortest, std::max(shortest, kLongestComposition));
  const double keep = std::exp(-elapsedSeconds / span);
  priority.mass = 0.0;
  for (auto next = priority.accounts.begin(); next != priority.accounts.end();) {
    Demand& demand = next->second;
    demand.mass *= keep;
    demand.appliedShare += kAppliedPerPeriod * (demand.share - demand.appliedShare);
    if (demand.mass < kForgottenMass) {
      next = priority.accounts.erase(next);
    } else {
      priority.mass += demand.mass;
      ++next;
    }
  }
}

double ThresholdController::RateOf(const Priority& priority, const Demand& demand)
{
  return priority.mass > 0.0 ? priority.rate * demand.mass / priority.mass : 0.0;
}

void ThresholdController::Compute(double room, double idle)
{
  const double riseFactor = kRiseFactor + idle * kIdleRiseFactor;
  const double riseStep = kRiseStep + idle * kIdleRiseStep;
  marginal_ = kPriorityCount - 1;
  isOpen_ = true;
  bool isClosed = false; // whether a more important priority has taken all room
  for (int i = 0; i < kPriorityCount; ++i) {
    Priority& priority = priorities_[static_cast<std::size_t>(i)];
    if (isClosed) {
      priority.cap = 0.0;
      Divide(priority, 0.0);
      continue;
    }
    const double demand = priority.rate;
    const double fits = demand > room ? room / demand : 1.0;
    const double risen = std::min(1.0, priority.cap * riseFactor + riseStep);
    // Closing hid the demand of this priority, so its cap rises step by step whatever arrives.
    priority.cap = std::min(fits, risen);
    Divide(priority, std::min(room, priority.cap * demand));
    room -= std::min(room, demand);
    if (priority.cap < 1.0) {
      marginal_ = i;
      isOpen_ = false;
      isClosed = true;
    }
  }
}

void ThresholdController::Divide(Priority& priority, double room)
{
  std::vector<std::pair<double, const Demand*>> byNeed; // rate per weight
  double weights = 0.0;
  for (const auto& [name, account] : priority.accounts) {
    byNeed.emplace_back(RateOf(priority, account) / account.weight, &account);
    weights += account.weight;
  }
  std::sort(byNeed.begin(), byNeed.end());
  // Water level: the rate per weight that no account exceeds. Accounts below it keep their demand.
  double level = 0.0;
  double left = room;
  for (const auto& [need, account] : byNeed) {
    level = left / weights;
    if (need >= level) {
      break;
    }
    left -= need * account->weight;
    weights -= account->weight;
  }
  for (auto& [name, account] : priority.accounts) {
    const double rate = RateOf(priority, account);
    const double fair = rate > 0.0 ? std::min(1.0, level * account.weight / rate) : priority.cap;
    account.share = priority.cap >= 1.0 ? 1.0 : fair;
  }
}

AdmissionThreshold ThresholdController::For(const std::string& account) const
{
  if (isOpen_) {
    return {};
  }
  const Priority& priority = priorities_[static_cast<std::size_t>(marginal_)];
  const auto found = priority.accounts.find(options_.byAccount ? account : std::string());
  const double share = found == priority.accounts.end() ? priority.cap : found->second.share;
  return { .priority = marginal_, .share = share };
}

} // namespace acp
