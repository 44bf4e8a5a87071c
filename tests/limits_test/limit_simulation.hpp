#pragma once

/// @file
/// Simulation of nodes and control leaders that run the real RateAuthority and TokenLeaseTable on a
/// common simulated true time. Used by the tests and by bench/limits.

#include <cstdint>    // int64_t, uint64_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // unique_ptr
#include <queue>      // priority_queue
#include <random>     // mt19937_64
#include <vector>     // vector

#include "acaciapulley/limits/rate_authority.hpp"    // RateAuthority
#include "acaciapulley/limits/token_lease_table.hpp" // TokenLeaseTable

namespace acp::test {

/// Size, load and injected faults of a simulation.
struct LimitSimulationOptions
{
  std::uint64_t seed = 1;
  int nodes = 8;
  TokenLimit limit{ .rate = 100, .burst = 100 };
  RateAuthorityOptions authority;
  TokenLeaseTableOptions table;
  double demandFraction = 0.9;   ///< requests per second as a fraction of the rate
  bool isBursty = false;         ///< requests arrive in groups of half the burst
  Duration quietPeriod{};        ///< no demand in the first half of each period; 0: never
  Duration demandMoveInterval{}; ///< interval at which all demand moves to other nodes; 0: never
  int activeNodes = 0;           ///< number of nodes with demand at a time; 0: all
  Duration oneWayDelay = std::chrono::microseconds(400);
  double lossProbability = 0;             ///< of each message
  double delayProbability = 0;            ///< of a delay of up to 3 s for each message
  double duplicateProbability = 0;        ///< of a second delivery of an ask, up to 3 s later
  double clockDrift = 0;                  ///< each clock runs at a rate of 1 + or - this
  Duration failoverInterval{};            ///< 0: never
  double repeatedFailoverProbability = 0; ///< of a second failover, one second later
  Duration isolationAfterElection = std::chrono::seconds(8); ///< of the old leader
  Duration freezeInterval{};  ///< interval at which a random node freezes for up to 5 s
  Duration restartInterval{}; ///< interval at which a random node restarts
  Duration maxDispatchDelay = std::chrono::milliseconds(5); ///< from reserving a token
  Duration warmUp = std::chrono::seconds(5);
  Duration duration = std::chrono::seconds(60);
};

/// Measurements, after the warm-up unless stated otherwise.
struct LimitSimulationResult
{
  std::int64_t offered = 0;
  std::int64_t admitted = 0;
  std::int64_t refused = 0;
  std::int64_t falselyRefused = 0;    ///< although admittedBucket_ held a token on arrival
  std::int64_t referenceAdmitted = 0; ///< by a central bucket that decides on arrival
  std::int64_t waited = 0;            ///< admitted after waiting for an answer
  double minLevel = 0;          ///< of the true bucket during the whole run; below 0 violates P6
  double asksPerNodeSecond = 0; ///< mean over the nodes with demand
  double bytesPerNodeSecond = 0;
};

/// Runs one schedule that is determined by its seed.
class LimitSimulation
{
public:
  explicit LimitSimulation(const LimitSimulationOptions& options);
  ~LimitSimulation();

  /// @brief Runs the schedule to its end.
  LimitSimulationResult Run();

private:
  struct Event
  {
    Duration at;
    std::int64_t order = 0;
    std::function<void()> action;
  };

  struct LaterEvent
  {
    bool operator()(const Event& left, const Event& right) const
    {
      return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
  };

  struct Waiter
  {
    Duration until;
    bool isWithinRate = false; ///< the true bucket held a token on arrival
  };

  struct Node
  {
    int index = 0;
    double clockRate = 1;
    std::int64_t epoch = 1;
    std::unique_ptr<TokenLeaseTable> table;
    Duration frozenUntil{};
    std::deque<Waiter> waiters;
    int leader = 0; ///< index of the leader that this node reaches
    bool followsNewLeader = true;
  };

  struct Leader
  {
    double clockRate = 1;
    std::unique_ptr<RateAuthority> authority;
    Duration electedAt{};
    bool isDead = false;
    bool isIsolated = false;
    Duration isolatedAt{};
  };

  /// Token bucket in true time, debited by admissions.
  struct TrueBucket
  {
    double level = 0;
    Duration at{};
  };

  void Schedule(Duration when, std::function<void()> action);
  void RunOnNode(int node, std::int64_t epoch, const std::function<void()>& action);
  [[nodiscard]] TimePoint LocalTime(double clockRate, Duration when) const;
  [[nodiscard]] double RandomUniform(double low, double high);
  [[nodiscard]] Duration RandomDuration(Duration low, Duration high);
  [[nodiscard]] double RandomClockRate();
  void ScheduleArrival();
  void Arrive(int node);
  void Admit(Node& node, const TokenReservation& reservation, bool hasWaited, bool isWithinRate);
  void Refuse(bool isWithinRate);
  void ServeWaiters(int node);
  void Tick(int node);
  void Send(int node, const TokenAsk& ask);
  void Deliver(int leader, int node, const TokenAsk& ask);
  void StartNode(Node& node);
  void AddLeader(std::int64_t term);
  void FailOver();
  void ChangeLeader();
  void Freeze();
  void Restart();
  void MoveDemand();
  double Refill(TrueBucket& bucket) const;

  LimitSimulationOptions options_;
  std::mt19937_64 random_;
  LimitKey key_{ .service = "orders", .account = "batik-solo" };
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
  std::int64_t nextOrder_ = 0;
  Duration now_{};
  std::vector<Node> nodes_;
  std::vector<Leader> leaders_;
  std::vector<int> active_;
  TrueBucket admittedBucket_;
  TrueBucket referenceBucket_;
  LimitSimulationResult result_;
  std::int64_t messages_ = 0;
  /// Requests that wait for a token or for their dispatch; not exact if nodes restart.
  std::int64_t pendingRequests_ = 0;
};

} // namespace acp::test
