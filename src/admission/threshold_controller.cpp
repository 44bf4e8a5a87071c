#include "acaciapulley/admission/threshold_controller.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp

namespace acp {

namespace {

// A share below this leaves too few arrivals to estimate the demand behind it.
constexpr double kSmallestShare = 0.005;
// Step of a share that rises: by half and by 2 percentage points in each period, which takes
// 0.6 s from 0 to 1 with a period of 50 ms.
constexpr double kRiseFactor = 1.5;
constexpr double kRiseStep = 0.02;
// The trim moves by 2% a period. Its bounds keep a wrong latency estimate from closing the gate.
constexpr double kTrimStep = 0.02;
constexpr double kTrimLowest = 0.8;
constexpr double kTrimHighest = 1.5;
// Accounts with fewer decayed arrivals than this are forgotten.
constexpr double kForgottenArrivals = 0.01;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ThresholdController::ThresholdController(ThresholdControllerOptions options, TimePoint now)
  : options_(options)
  , lastUpdate_(now)
{
}

void ThresholdController::OnOffer(int priority, const std::string& account, double weight)
{
  const int clamped = std::clamp(priority, 0, kPriorityCount - 1);
  Priority& level = priorities_[static_cast<std::size_t>(clamped)];
  auto [found, isNew] = level.accounts.try_emplace(options_.byAccount ? account : std::string());
  if (isNew) {
    found->second.share = level.share;
    found->second.averageShare = level.share;
  }
  found->second.weight = options_.byAccount ? std::max(weight, 1e-3) : 1.0;
  found->second.arrivals += 1.0;
}

void ThresholdController::OnOverloadRefusal()
{
  ++refusals_;
}

void ThresholdController::OnFinish(Duration latency)
{
  latencySum_ += Seconds(latency);
  finished_ += 1.0;
}

void ThresholdController::Update(const GateState& state, TimePoint now)
{
  if (!options_.enabled || now - lastUpdate_ < options_.period) {
    return;
  }
  const Duration elapsed = now - lastUpdate_;
  lastUpdate_ = now;
  Decay(std::exp(-Seconds(elapsed) / Seconds(options_.memory)));
  const bool isOverloaded = refusals_ > 0 || state.queueAge > options_.targetAge;
  const bool isIdle = refusals_ == 0 && state.inFlight < state.limit;
  refusals_ = 0;
  if (isOpen_ && !isOverloaded) {
    trim_ = 1.0;
    return;
  }
  if (isIdle) {
    trim_ = std::min(trim_ + kTrimStep, kTrimHighest);
  } else if (isOverloaded) {
    trim_ = std::max(trim_ - kTrimStep, kTrimLowest);
  }
  const double latency = finished_ > 0.0 ? latencySum_ / finished_ : 0.0;
  if (latency <= 0.0) {
    return;
  }
  Compute(trim_ * state.limit / latency);
}

void ThresholdController::Decay(double keep)
{
  latencySum_ *= keep;
  finished_ *= keep;
  for (Priority& priority : priorities_) {
    for (auto next = priority.accounts.begin(); next != priority.accounts.end();) {
      Demand& demand = next->second;
      demand.arrivals *= keep;
      demand.averageShare = keep * demand.averageShare + (1.0 - keep) * demand.share;
      const bool isForgotten = demand.arrivals < kForgottenArrivals;
      next = isForgotten ? priority.accounts.erase(next) : std::next(next);
    }
  }
}

double ThresholdController::DemandOf(const Demand& demand) const
{
  const double rate = demand.arrivals / Seconds(options_.memory);
  return rate / std::max(demand.averageShare, kSmallestShare);
}

double ThresholdController::DemandOf(const Priority& priority) const
{
  double sum = 0.0;
  for (const auto& [name, demand] : priority.accounts) {
    sum += DemandOf(demand);
  }
  return sum;
}

void ThresholdController::Compute(double room)
{
  marginal_ = kPriorityCount - 1;
  isOpen_ = true;
  bool isClosed = false; // whether a more important priority has taken all room
  for (int i = 0; i < kPriorityCount; ++i) {
    Priority& priority = priorities_[static_cast<std::size_t>(i)];
    if (isClosed) {
      priority.cap = 0.0;
      Divide(priority, 0.0, 1.0);
      continue;
    }
    const double demand = DemandOf(priority);
    const double fits = demand > room ? room / demand : 1.0;
    const double risen = std::min(1.0, priority.cap * kRiseFactor + kRiseStep);
    // A priority that sends nothing opens at once, or it would delay the ones behind it. Its cap
    // still rises step by step when it was closed, because closing hides its demand.
    priority.cap = std::min(fits, risen);
    Divide(priority, std::min(room, priority.cap * demand), demand);
    room -= std::min(room, demand);
    if (priority.cap < 1.0) {
      marginal_ = i;
      isOpen_ = false;
      isClosed = true;
    }
  }
}

void ThresholdController::Divide(Priority& priority, double room, double demand)
{
  priority.share = priority.cap;
  // Water level: the rate per weight that no account exceeds. Accounts below it keep their demand.
  double level = 0.0;
  double left = room;
  double weights = 0.0;
  for (const auto& [name, account] : priority.accounts) {
    weights += account.weight;
  }
  std::map<double, const Demand*> byNeed;
  for (const auto& [name, account] : priority.accounts) {
    double need = DemandOf(account) / account.weight;
    while (byNeed.contains(need)) {
      need = std::nextafter(need, 1e300);
    }
    byNeed.emplace(need, &account);
  }
  for (const auto& [need, account] : byNeed) {
    level = weights > 0.0 ? left / weights : 0.0;
    if (need >= level) {
      break;
    }
    left -= need * account->weight;
    weights -= account->weight;
    level = need;
  }
  for (auto& [name, account] : priority.accounts) {
    const double own = DemandOf(account);
    const bool isKnown = own > 0.0 && demand > 0.0;
    const double fair = isKnown ? std::min(1.0, level * account.weight / own) : priority.cap;
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
  const double share = found == priority.accounts.end() ? priority.share : found->second.share;
  return { .priority = marginal_, .share = share };
}

} // namespace acp
