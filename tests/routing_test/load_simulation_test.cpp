#include <boost/test/unit_test.hpp>

#include <algorithm>  // clamp
#include <cmath>      // abs
#include <cstdint>    // int64_t, uint64_t
#include <functional> // function, greater
#include <memory>     // make_unique, unique_ptr
#include <queue>      // priority_queue
#include <random>     // mt19937_64
#include <string>     // string, stoi, to_string
#include <utility>    // move
#include <vector>     // vector

#include "acaciapulley/routing/balancer.hpp"

namespace {

constexpr std::uint64_t kSeed = 20240611;
constexpr int kCallers = 6;
constexpr double kServiceSeconds = 0.05;

/// One call in flight.
struct Call
{
  acp::TimePoint startedAt;
  double endsAt = 0;
  std::size_t caller = 0;
  std::size_t member = 0;
  bool operator>(const Call& other) const { return endsAt > other.endsAt; }
};

struct Caller
{
  acp::MemberTable table;
  std::unique_ptr<acp::Balancer> balancer;
};

/// Callers that share members and learn of each other only through `Acp-Load`.
class Simulation
{
public:
  explicit Simulation(std::vector<acp::RoutedMember> members)
    : members_(std::move(members))
    , inFlight_(members_.size())
    , served_(members_.size())
    , overloaded_(members_.size())
    , callers_(kCallers)
  {
    for (auto& caller : callers_) {
      caller.balancer = std::make_unique<acp::Balancer>(acp::BalancerOptions{
        .localNodeId = "caller",
        .localDataCentre = "a",
        .members = &caller.table,
        .random = [this] { return std::uniform_real_distribution<double>(0, 1)(random_); } });
    }
  }

  void Apply(const std::vector<acp::RoutedMember>& members)
  {
    ++version_;
    for (auto& caller : callers_) {
      caller.table.Apply(1, version_, members, At(now_));
    }
  }

  /// Sends Poisson traffic that occupies the fraction @p load of all slots.
  void Run(double seconds, double load)
  {
    double slots = 0;
    for (const auto& member : members_) {
      slots += member.slots;
    }
    const double end = now_ + seconds;
    std::exponential_distribution<double> gap(load * slots / kServiceSeconds);
    double next = now_ + gap(random_);
    while (next < end) {
      while (!calls_.empty() && calls_.top().endsAt <= next) {
        Finish(calls_.top());
        calls_.pop();
      }
      now_ = next;
      Start();
      next += gap(random_);
    }
  }

  [[nodiscard]] const std::vector<double>& Served() const { return served_; }

  /// Fraction of the calls started at @p member that exceeded its capacity.
  [[nodiscard]] double OverloadedFraction(std::size_t member) const
  {
    return overloaded_[member] / served_[member];
  }

  void ClearCounts()
  {
    served_.assign(served_.size(), 0);
    overloaded_.assign(overloaded_.size(), 0);
  }

  /// Capacity of a member at a time in seconds, for OverloadedFraction().
  std::function<double(std::size_t, double)> capacity = [this](std::size_t member, double) {
    return static_cast<double>(members_[member].slots);
  };

private:
  static acp::TimePoint At(double seconds)
  {
    return acp::TimePoint(
      std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(1000 + seconds)));
  }

  void Start()
  {
    const auto caller = std::uniform_int_distribution<std::size_t>(0, kCallers - 1)(random_);
    const auto picked = callers_[caller].balancer->Pick({ .service = "s" }, At(now_));
    const auto member = static_cast<std::size_t>(std::stoi(picked->nodeId));
    ++inFlight_[member];
    ++served_[member];
    overloaded_[member] += inFlight_[member] > capacity(member, now_) ? 1 : 0;
    std::exponential_distribution<double> service(1 / kServiceSeconds);
    calls_.push({ .startedAt = picked->startedAt,
                  .endsAt = now_ + service(random_),
                  .caller = caller,
                  .member = member });
  }

  void Finish(const Call& call)
  {
    --inFlight_[call.member];
    auto& table = callers_[call.caller].table;
    const std::string node = std::to_string(call.member);
    const auto slots = static_cast<double>(members_[call.member].slots);
    table.FinishCall("s", node, 1, { .startedAt = call.startedAt }, At(call.endsAt));
    table.UpdateLoad(
      "s", node, { .inFlight = inFlight_[call.member], .limit = slots }, At(call.endsAt));
  }

  std::vector<acp::RoutedMember> members_;
  std::vector<double> inFlight_;
  std::vector<double> served_;
  std::vector<double> overloaded_;
  std::vector<Caller> callers_;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
  std::mt19937_64 random_{ kSeed };
  std::int64_t version_ = 0;
  double now_ = 0;
};

std::vector<acp::RoutedMember> Members(const std::vector<int>& slots,
                                       acp::Duration coldStart = std::chrono::seconds(10))
{
  std::vector<acp::RoutedMember> members;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    members.push_back({ .nodeId = std::to_string(i),
                        .epoch = 1,
                        .service = "s",
                        .dataCentre = "a",
                        .slots = slots[i],
                        .coldStart = coldStart });
  }
  return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_simulation)

// Guards against equal load on unequal upstreams, at low and at high load.
BOOST_AUTO_TEST_CASE(load_is_proportional_to_capacity)
{
  for (const double load : { 0.2, 0.5, 0.85 }) {
    const std::vector<int> slots{ 50, 50, 15, 15, 100, 30 };
    Simulation simulation(Members(slots));
    simulation.Apply(Members(slots));
    simulation.Run(60, load);
    double total = 0;
    for (const double served : simulation.Served()) {
      total += served;
    }
    for (std::size_t i = 0; i < slots.size(); ++i) {
      const double share = simulation.Served()[i] / total;
      const double fair = slots[i] / 260.0;
      BOOST_TEST(std::abs(share / fair - 1) < 0.15,
                 "seed " << kSeed << " load " << load << " member " << i << " share " << share
                         << " fair " << fair);
    }
  }
}

// Guards against a cold member that is given more than it can run while it warms up, and against
// too small a share afterwards. Without slow start the first check fails.
BOOST_AUTO_TEST_CASE(cold_member_is_not_overloaded_while_it_warms_up)
{
  for (const bool hasSlowStart : { true, false }) {
    const auto coldStart = std::chrono::seconds(hasSlowStart ? 10 : 0);
    const auto all = Members({ 50, 50, 50, 50 }, coldStart);
    Simulation simulation(all);
    simulation.Apply({ all.begin(), all.begin() + 3 });
    simulation.Run(10, 0.4);
    simulation.capacity = [](std::size_t member, double now) {
      return member == 3 ? 50 * std::clamp((now - 10) / 10, 0.1, 1.0) : 50;
    };
    simulation.Apply(all);
    simulation.ClearCounts();
    simulation.Run(10, 0.6);
    const double overloaded = simulation.OverloadedFraction(3);
    BOOST_TEST((overloaded < 0.02) == hasSlowStart,
               "seed " << kSeed << " overloaded part " << overloaded);
    simulation.ClearCounts();
    simulation.Run(20, 0.6);
    const auto& served = simulation.Served();
    const double fair = (served[0] + served[1] + served[2] + served[3]) / 4;
    BOOST_TEST(std::abs(served[3] / fair - 1) < 0.1, "seed " << kSeed << " served " << served[3]);
  }
}

BOOST_AUTO_TEST_SUITE_END()
