#include "acaciapulley/admission/threshold_controller.hpp"

#include <algorithm> // clamp, max, min, sort
#include <cmath>     // exp
#include <utility>   // pair
#include <vector>    // vector

namespace acp {

namespace {

// Below this share too few requests arrive to estimate the demand.
constexpr double kMinShare = 0.005;
// A rising share grows by half plus 2 percentage points per period, which takes 0.4 s from 0 to 1
// with a period of 50 ms.
constexpr double kRiseFactor = 1.5;
constexpr double kRiseStep = 0.02;
// Added to both in proportion to the free slots: an idle upstream tolerates estimation errors.
constexpr double kIdleRiseFactor = 1.5;
constexpr double kIdleRiseStep = 0.08;
// At an idle upstream the averaged demand decays up to 1 + kIdleDecayFactor times as fast. Without
// this, a surge from 0.8 to 8 times the capacity counts as overload for 0.9 s after its end.
constexpr double kIdleDecayFactor = 3.0;
// The capacity factor changes by 2% per period. Its lower bound is close to 1 because the important
// priorities may need nearly all capacity: with 0.8, random refusals caused orders that needed 0.83
// of it to be refused. Its upper bound keeps a wrong latency estimate from closing the gate.
constexpr double kCapacityFactorStep = 0.02;
constexpr double kMinCapacityFactor = 0.95;
constexpr double kMaxCapacityFactor = 1.5;
// Refusals up to this share of the arrivals keep the upstream utilised and are not overload.
constexpr double kToleratedRefusals = 0.05;
// Accounts with less decayed demand than this are removed.
constexpr double kMinDecayedDemand = 0.01;
// The division among accounts is estimated from about this many arrivals, but over at most
// kMaxCompositionSeconds, so that an account with growing demand is limited quickly.
constexpr double kCompositionArrivals = 200.0;
constexpr double kMaxCompositionSeconds = 2.0;
// Announced shares reach the callers with the next responses, within about one period.
constexpr double kAppliedPerPeriod = 0.6;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ThresholdController::ThresholdController(ThresholdControllerOptions options, TimePoint now)
  : options_(options)
  , lastUpdate_(now)
  , lastOccupancyUpdate_(now)
{
}

void ThresholdController::OnOffer(int priority,
                                  const std::string& account,
                                  double weight,
                                  bool isShareApplied)
{
  const int clamped = std::clamp(priority, 0, kPriorityCount - 1);
  PriorityState& entry = priorities_[static_cast<std::size_t>(clamped)];
  auto [found, isNew] = entry.accounts.try_emplace(options_.byAccount ? account : std::string());
  Demand& demand = found->second;
  if (isNew) {
    demand.share = entry.cap;
    demand.appliedShare = entry.cap;
  }
  demand.weight = options_.byAccount ? std::max(weight, 1e-3) : 1.0;
  const double estimate = isShareApplied ? 1.0 / std::max(demand.appliedShare, kMinShare) : 1.0;
  demand.decayedDemand += estimate;
  entry.decayedDemand += estimate;
  entry.newDemand += estimate;
  entry.newArrivals += 1.0;
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
  occupancy_ += state.inFlight * Seconds(now - lastOccupancyUpdate_);
  lastOccupancyUpdate_ = now;
  if (!options_.enabled || now - lastUpdate_ < options_.period) {
    return;
  }
  const Duration elapsed = now - lastUpdate_;
  lastUpdate_ = now;
  double arrived = 0.0;
  for (const PriorityState& priority : priorities_) {
    arrived += priority.newArrivals;
  }
  const bool isOverloaded =
    refusals_ > kToleratedRefusals * arrived || state.queueAge > options_.targetAge;
  refusals_ = 0;
  const double busy = static_cast<double>(state.inFlight) / std::max(1, state.limit);
  const double idle = std::clamp(1.0 - busy, 0.0, 1.0);
  UpdateAverages(Seconds(elapsed), isOpen_ ? 0.0 : idle);
  if (isOpen_ && !isOverloaded) {
    capacityFactor_ = 1.0;
    return;
  }
  capacityFactor_ = isOverloaded
                      ? std::max(capacityFactor_ - kCapacityFactorStep, kMinCapacityFactor)
                      : std::min(capacityFactor_ + kCapacityFactorStep, kMaxCapacityFactor);
  if (finished_ <= 0.0 || occupancy_ <= 0.0) {
    return;
  }
  // Completions per second of slot occupancy, times the number of slots.
  ComputeShares(capacityFactor_ * state.limit * finished_ / occupancy_, idle);
}

void ThresholdController::UpdateAverages(double elapsedSeconds, double idle)
{
  const double timeConstant = Seconds(options_.timeConstant);
  const double decay = std::exp(-elapsedSeconds / timeConstant);
  occupancy_ *= decay;
  finished_ *= decay;
  const double demandDecay =
    std::exp(-elapsedSeconds * (1.0 + idle * kIdleDecayFactor) / timeConstant);
  for (PriorityState& priority : priorities_) {
    priority.demandRate =
      demandDecay * priority.demandRate + (1.0 - demandDecay) * priority.newDemand / elapsedSeconds;
    priority.arrivalRate =
      decay * priority.arrivalRate + (1.0 - decay) * priority.newArrivals / elapsedSeconds;
    priority.newDemand = 0.0;
    priority.newArrivals = 0.0;
    DecayComposition(priority, elapsedSeconds);
  }
}

void ThresholdController::DecayComposition(PriorityState& priority, double elapsedSeconds) const
{
  const double timeConstant = Seconds(options_.timeConstant);
  const double rate = std::max(priority.arrivalRate, 1e-3);
  const double span = std::clamp(
    kCompositionArrivals / rate, timeConstant, std::max(timeConstant, kMaxCompositionSeconds));
  const double decay = std::exp(-elapsedSeconds / span);
  priority.decayedDemand = 0.0;
  for (auto next = priority.accounts.begin(); next != priority.accounts.end();) {
    Demand& demand = next->second;
    demand.decayedDemand *= decay;
    demand.appliedShare += kAppliedPerPeriod * (demand.share - demand.appliedShare);
    if (demand.decayedDemand < kMinDecayedDemand) {
      next = priority.accounts.erase(next);
    } else {
      priority.decayedDemand += demand.decayedDemand;
      ++next;
    }
  }
}

double ThresholdController::RateOf(const PriorityState& priority, const Demand& demand)
{
  return priority.decayedDemand > 0.0
           ? priority.demandRate * demand.decayedDemand / priority.decayedDemand
           : 0.0;
}

void ThresholdController::ComputeShares(double capacity, double idle)
{
  const double riseFactor = kRiseFactor + idle * kIdleRiseFactor;
  const double riseStep = kRiseStep + idle * kIdleRiseStep;
  marginal_ = kPriorityCount - 1;
  isOpen_ = true;
  bool isClosed = false; // whether more important priorities use all capacity
  for (int i = 0; i < kPriorityCount; ++i) {
    PriorityState& priority = priorities_[static_cast<std::size_t>(i)];
    if (isClosed) {
      priority.cap = 0.0;
      DivideAmongAccounts(priority, 0.0);
      continue;
    }
    const double demand = priority.demandRate;
    const double affordableShare = demand > capacity ? capacity / demand : 1.0;
    const double raisedCap = std::min(1.0, priority.cap * riseFactor + riseStep);
    // The demand of a closed priority is unknown, so its cap rises in steps regardless of arrivals.
    priority.cap = std::min(affordableShare, raisedCap);
    DivideAmongAccounts(priority, std::min(capacity, priority.cap * demand));
    capacity -= std::min(capacity, demand);
    if (priority.cap < 1.0) {
      marginal_ = i;
      isOpen_ = false;
      isClosed = true;
    }
  }
}

void ThresholdController::DivideAmongAccounts(PriorityState& priority, double capacity)
{
  std::vector<std::pair<double, const Demand*>> byRatePerWeight; // rate per weight
  double weights = 0.0;
  for (const auto& [name, account] : priority.accounts) {
    byRatePerWeight.emplace_back(RateOf(priority, account) / account.weight, &account);
    weights += account.weight;
  }
  std::sort(byRatePerWeight.begin(), byRatePerWeight.end());
  // Max-min fair division: no account exceeds this rate per weight, and accounts below it get their
  // full demand.
  double fairRatePerWeight = 0.0;
  double remaining = capacity;
  for (const auto& [ratePerWeight, account] : byRatePerWeight) {
    fairRatePerWeight = remaining / weights;
    if (ratePerWeight >= fairRatePerWeight) {
      break;
    }
    remaining -= ratePerWeight * account->weight;
    weights -= account->weight;
  }
  for (auto& [name, account] : priority.accounts) {
    const double rate = RateOf(priority, account);
    const double fair =
      rate > 0.0 ? std::min(1.0, fairRatePerWeight * account.weight / rate) : priority.cap;
    account.share = priority.cap >= 1.0 ? 1.0 : fair;
  }
}

AdmissionThreshold ThresholdController::ThresholdFor(const std::string& account) const
{
  if (isOpen_) {
    return {};
  }
  const PriorityState& priority = priorities_[static_cast<std::size_t>(marginal_)];
  const auto found = priority.accounts.find(options_.byAccount ? account : std::string());
  const double share = found == priority.accounts.end() ? priority.cap : found->second.share;
  return { .priority = marginal_, .share = share };
}

} // namespace acp
