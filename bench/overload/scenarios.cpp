#include "scenarios.hpp"

#include <algorithm> // max, min, sort
#include <cmath>     // log
#include <memory>    // make_unique
#include <numeric>   // accumulate
#include <utility>   // move

#include <fmt/format.h> // format

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kBucket = 100ms;
constexpr int kBucketsPerWindow = 5; // recovery is evaluated over 500 ms
constexpr acp::Duration kClientLatency = 1ms;
constexpr acp::Duration kClientRetryDelay = 50ms;
constexpr std::chrono::milliseconds kDeadline = 1s;
constexpr double kRecovered = 0.95;

double Seconds(acp::Duration span)
{
  return std::chrono::duration<double>(span).count();
}

// Calls to the deepest service by class and account.
using CallCounts = std::vector<std::vector<double>>;

// Runs one scenario and collects its metrics.
class Runner
{
public:
  Runner(const Scenario& scenario, const Policy& policy)
    : scenario_(scenario)
    , start_(mesh_.events.Now())
  {
    mesh_.random.seed(scenario.seed);
    mesh_.policy = policy;
    mesh_.classes = scenario.classes;
    for (std::size_t i = 0; i < scenario.accountWeights.size(); ++i) {
      mesh_.accounts.push_back(fmt::format("account-{}", i));
      mesh_.weights.push_back(scenario.weighted ? scenario.accountWeights[i] : 1.0);
    }
    for (std::size_t service = 0; service < scenario.services.size(); ++service) {
      auto& endpoints = mesh_.services.emplace_back();
      for (int i = 0; i < scenario.services[service].endpoints; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(
          mesh_, service, static_cast<std::size_t>(i), scenario.services[service]));
      }
    }
    const auto accounts = scenario.accountWeights.size();
    offered_.assign(mesh_.classes.size(), std::vector<double>(accounts, 0.0));
    served_ = offered_;
    completed_ = offered_;
  }

  Figures Execute()
  {
    ScheduleTrigger();
    for (std::size_t i = 0; i < mesh_.accounts.size(); ++i) {
      ScheduleArrival(i);
    }
    mesh_.events.RunUntil(End());
    return Evaluate();
  }

private:
  [[nodiscard]] acp::TimePoint TriggerStart() const { return start_ + scenario_.warmUp; }
  [[nodiscard]] acp::TimePoint TriggerEnd() const
  {
    return TriggerStart() + scenario_.triggerDuration;
  }
  [[nodiscard]] acp::TimePoint End() const { return TriggerEnd() + scenario_.recoveryPeriod; }

  [[nodiscard]] bool InTrigger() const
  {
    const auto now = mesh_.events.Now();
    return now >= TriggerStart() && now < TriggerEnd();
  }

  [[nodiscard]] double CallsPerRequest() const
  {
    double calls = 0.0;
    for (const auto& each : mesh_.classes) {
      calls += each.share * each.deepestCalls;
    }
    return calls;
  }

  // Calls per second that the deepest service can handle without a fault.
  [[nodiscard]] double Capacity() const
  {
    const auto& deepest = scenario_.services.back();
    return deepest.endpoints * deepest.slots / Seconds(deepest.work);
  }

  [[nodiscard]] double CapacityInTrigger() const
  {
    if (scenario_.trigger == Trigger::SlowDeepest) {
      return Capacity() / scenario_.surge;
    }
    if (scenario_.trigger == Trigger::LostUpstream) {
      const double endpoints = scenario_.services.back().endpoints;
      return Capacity() * (endpoints - 1) / endpoints;
    }
    return Capacity();
  }

  void ScheduleTrigger()
  {
    mesh_.events.After(scenario_.warmUp, [this] { SetFault(true); });
    mesh_.events.After(scenario_.warmUp + scenario_.triggerDuration, [this] { SetFault(false); });
  }

  void SetFault(bool isOn)
  {
    startedInTrigger_ = mesh_.deepestCounts.started - startedInTrigger_;
    auto& deepest = mesh_.services.back();
    if (scenario_.trigger == Trigger::SlowDeepest) {
      for (auto& endpoint : deepest) {
        endpoint->Upstream().SetSlowdown(isOn ? scenario_.surge : 1.0);
      }
    }
    if (scenario_.trigger == Trigger::LostUpstream) {
      if (isOn) {
        deepest.front()->Kill();
      } else {
        deepest.front()->Restart();
      }
    }
  }

  [[nodiscard]] double RateOf(std::size_t account) const
  {
    const auto& weights = scenario_.accountWeights;
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    const double base =
      scenario_.baseLoad * Capacity() / CallsPerRequest() * weights[account] / sum;
    const bool isLarger = scenario_.trigger == Trigger::Surge ||
                          (scenario_.trigger == Trigger::LargeAccount && account == 0);
    return InTrigger() && isLarger ? base * scenario_.surge : base;
  }

  // Uses the rate at the start of the interval, so a step in the rate takes effect one interval
  // late.
  void ScheduleArrival(std::size_t account)
  {
    const double gap = -std::log(1.0 - mesh_.Uniform()) / RateOf(account);
    const auto delay =
      std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(gap));
    mesh_.events.After(delay, [this, account] {
      OnArrival(account);
      ScheduleArrival(account);
    });
  }

  void OnArrival(std::size_t account)
  {
    double pick = mesh_.Uniform();
    std::size_t index = 0;
    while (index + 1 < mesh_.classes.size() && pick >= mesh_.classes[index].share) {
      pick -= mesh_.classes[index].share;
      ++index;
    }
    const bool inTrigger = InTrigger();
    if (inTrigger) {
      offered_[index][account] += mesh_.classes[index].deepestCalls;
    }
    SendRequest(account, index, scenario_.clientRetries, inTrigger);
  }

  void SendRequest(std::size_t account, std::size_t index, int retries, bool fromTrigger)
  {
    const auto now = mesh_.events.Now();
    Root root{ .id = fmt::format("{:032x}", mesh_.nextId++),
               .account = static_cast<int>(account),
               .classIndex = static_cast<int>(index),
               .deadline = now + kDeadline,
               .wallDeadline = acp::ToUnixMillis(acp::CountMillis(mesh_.events.WallNow()) +
                                                 std::chrono::milliseconds(kDeadline).count()) };
    auto isFinished = std::make_shared<bool>(false);
    const auto finish = [this, account, index, retries, fromTrigger, isFinished](bool ok) {
      if (*isFinished) {
        return;
      }
      *isFinished = true;
      if (ok) {
        RecordCompleted(account, index, fromTrigger);
      } else if (retries > 0) {
        mesh_.events.After(kClientRetryDelay, [this, account, index, retries, fromTrigger] {
          SendRequest(account, index, retries - 1, fromTrigger);
        });
      }
    };
    auto& ingress = *mesh_.services.front()[mesh_.random() % mesh_.services.front().size()];
    mesh_.events.After(kClientLatency, [this, &ingress, root, finish] {
      ingress.HandleRoot(root, [this, finish](const HopResponse& response) {
        mesh_.events.After(kClientLatency, [finish, ok = response.ok] { finish(ok); });
      });
    });
    mesh_.events.After(kDeadline, [finish] { finish(false); });
  }

  void RecordCompleted(std::size_t account, std::size_t index, bool fromTrigger)
  {
    const double calls = mesh_.classes[index].deepestCalls;
    const auto bucket = static_cast<std::size_t>((mesh_.events.Now() - start_) / kBucket);
    goodput_.resize(std::max(goodput_.size(), bucket + 1), 0.0);
    goodput_[bucket] += calls;
    completedCalls_ += calls;
    if (InTrigger()) {
      served_[index][account] += calls;
    }
    if (fromTrigger) {
      completed_[index][account] += calls;
    }
  }

  // Mean goodput in calls per second; @p from and @p to count from the start of the run.
  [[nodiscard]] double Goodput(acp::Duration from, acp::Duration to) const
  {
    double calls = 0.0;
    for (auto i = static_cast<std::size_t>(from / kBucket);
         i < std::min(goodput_.size(), static_cast<std::size_t>(to / kBucket));
         ++i) {
      calls += goodput_[i];
    }
    return calls / Seconds(to - from);
  }

  // Ideal number of calls per account: priorities in order, max-min fair within each priority.
  [[nodiscard]] std::vector<double> FairCalls() const
  {
    std::vector<double> fair(mesh_.accounts.size(), 0.0);
    double capacity = CapacityInTrigger() * Seconds(scenario_.triggerDuration);
    for (const auto& demands : offered_) { // classes are sorted by priority
      double callsPerWeight = 0.0;
      double remaining = capacity;
      double weights = std::accumulate(mesh_.weights.begin(), mesh_.weights.end(), 0.0);
      std::vector<std::size_t> order(demands.size());
      std::iota(order.begin(), order.end(), std::size_t{ 0 });
      std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return demands[left] / mesh_.weights[left] < demands[right] / mesh_.weights[right];
      });
      for (const auto account : order) {
        callsPerWeight = std::max(0.0, remaining / weights);
        const double granted = std::min(demands[account], callsPerWeight * mesh_.weights[account]);
        fair[account] += granted;
        remaining -= granted;
        weights -= mesh_.weights[account];
      }
      capacity = remaining;
    }
    return fair;
  }

  [[nodiscard]] double WorstShare() const
  {
    const auto fair = FairCalls();
    double worst = 1.0;
    for (std::size_t account = 0; account < fair.size(); ++account) {
      double served = 0.0;
      for (const auto& byAccount : served_) {
        served += byAccount[account];
      }
      worst = std::min(worst, fair[account] > 0.0 ? served / fair[account] : 1.0);
    }
    return worst;
  }

  [[nodiscard]] double RecoverySeconds(double before) const
  {
    const acp::Duration window = kBucketsPerWindow * kBucket;
    for (acp::Duration from = TriggerEnd() - start_; from + window <= End() - start_;
         from += kBucket) {
      if (Goodput(from, from + window) >= kRecovered * before) {
        return Seconds(from - (TriggerEnd() - start_));
      }
    }
    return -1.0;
  }

  Figures Evaluate()
  {
    Figures figures;
    const acp::Duration end = End() - start_;
    const double before = Goodput(1s, scenario_.warmUp);
    const double demand = std::accumulate(
      offered_.begin(), offered_.end(), 0.0, [](double sum, const std::vector<double>& each) {
        return std::accumulate(each.begin(), each.end(), sum);
      });
    const double possible =
      std::min(CapacityInTrigger(), demand / Seconds(scenario_.triggerDuration));
    figures.goodputBefore = before / Capacity();
    figures.goodputDuring = Goodput(TriggerStart() - start_, TriggerEnd() - start_) / possible;
    figures.startedShare =
      static_cast<double>(startedInTrigger_) / Seconds(scenario_.triggerDuration) / possible;
    figures.goodputAfter = Goodput(end - 3s, end) / before;
    figures.worstAccountShare = WorstShare();
    figures.recoverySeconds = RecoverySeconds(before);
    figures.callsPerRequest =
      static_cast<double>(mesh_.deepestCounts.offered) / std::max(completedCalls_, 1.0);
    for (std::size_t i = 0; i < mesh_.classes.size(); ++i) {
      const double offered = std::accumulate(offered_[i].begin(), offered_[i].end(), 0.0);
      const double completed = std::accumulate(completed_[i].begin(), completed_[i].end(), 0.0);
      figures.failedShare.push_back(offered > 0.0 ? 1.0 - completed / offered : 0.0);
    }
    for (const double calls : goodput_) {
      figures.timeline.push_back(calls / Seconds(kBucket) / Capacity());
    }
    return figures;
  }

  Mesh mesh_;
  Scenario scenario_;
  acp::TimePoint start_;
  CallCounts offered_;          // by requests that arrived during the trigger
  CallCounts completed_;        // of these, calls of requests that completed at any time
  CallCounts served_;           // calls of requests that completed during the trigger
  std::vector<double> goodput_; // calls per time bucket
  double completedCalls_ = 0.0;
  long startedInTrigger_ = 0; // until the trigger ends: calls started before it
};

std::vector<RootClass> MixedClasses()
{
  return {
    { .name = "order", .priority = 1, .idempotent = false, .share = 0.1, .deepestCalls = 1 },
    { .name = "bundle", .priority = 4, .idempotent = true, .share = 0.2, .deepestCalls = 2 },
    { .name = "lookup", .priority = 6, .idempotent = true, .share = 0.7, .deepestCalls = 1 },
  };
}

} // namespace

Figures Run(const Scenario& scenario, const Policy& policy)
{
  return Runner(scenario, policy).Execute();
}

Scenario AssociationChain(int depth)
{
  Scenario scenario;
  scenario.services.assign(static_cast<std::size_t>(depth), { .slots = 50, .work = 2ms });
  scenario.services.back() = { .slots = 15, .work = 20ms };
  scenario.classes = MixedClasses();
  scenario.accountWeights = { 200, 200, 50, 50, 50, 50, 50, 50 };
  return scenario;
}

Scenario KilometerboekChain()
{
  Scenario scenario;
  scenario.services.assign(4, { .slots = 110, .work = 2ms });
  scenario.services.back() = { .slots = 25, .work = 20ms };
  scenario.classes = MixedClasses();
  scenario.accountWeights = { 400, 400, 100, 100, 100, 100, 100, 100 };
  return scenario;
}

} // namespace bench
