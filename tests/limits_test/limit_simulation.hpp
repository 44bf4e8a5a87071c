#pragma once

/// @file
/// A fleet of fake nodes and control leaders around the real RateAuthority and TokenLeaseTable, on
/// one simulated true time. Used by the tests and by bench/limits.

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

/// What a fleet looks like and which faults it meets.
struct LimitSimulationOptions
{
  std::uint64_t seed = 1;
  int nodes = 8;
  TokenLimit limit{ .rate = 100, .burst = 100 };
  RateAuthorityOptions authority;
  TokenLeaseTableOptions table;
  double demandFraction = 0.9;   ///< requests per second as a part of the rate
  bool isBursty = false;         ///< requests come in groups of up to the burst
  Duration quietPeriod{};        ///< no demand in the first half of each such span; 0: never
  Duration demandMoveInterval{}; ///< all demand moves to other nodes this often; 0: never
  int activeNodes = 0;           ///< nodes that get demand at a time; 0: all
  Duration oneWayDelay = std::chrono::microseconds(400);
  double lossProbability = 0;             ///< messages lost
  double delayProbability = 0;            ///< messages delayed by up to 3 s
  double duplicateProbability = 0;        ///< asks delivered twice, the second up to 3 s later
  double clockDrift = 0;                  ///< each clock runs at 1 +- up to this
  Duration failoverInterval{};            ///< 0: never
  double repeatedFailoverProbability = 0; ///< failovers followed by another one after a second
  Duration isolationAfterElection = std::chrono::seconds(8); ///< old leader stays isolated so long
  Duration freezeInterval{};  ///< a random node freezes for up to 5 s this often
  Duration restartInterval{}; ///< a random node restarts this often
  Duration maxDispatchDelay = std::chrono::milliseconds(5); ///< from taking a token to dispatch
  Duration warmUp = std::chrono::seconds(5);
  Duration duration = std::chrono::seconds(60);
};

/// What was seen, after the warm-up where not said otherwise.
struct LimitSimulationResult
{
  std::int64_t offered = 0;
  std::int64_t admitted = 0;
  std::int64_t refused = 0;
  std::int64_t falselyRefused = 0;    ///< the true bucket, debited by all admissions, held a token
  std::int64_t referenceAdmitted = 0; ///< by a central bucket that decides on arrival
  std::int64_t waited = 0;            ///< admitted after waiting for an answer
  double minLevel = 0;          ///< of the true bucket over the whole run; below 0 violates P6
  double asksPerNodeSecond = 0; ///< over the nodes that get demand
  double bytesPerNodeSecond = 0;
};

/// Runs one seeded schedule.
class LimitSimulation
{
public:
  explicit LimitSimulation(const LimitSimulationOptions& options);
  ~LimitSimulation();

  /// @brief Runs the whole schedule.
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
    int leader = 0; ///< leader that this node reaches
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

  /// True bucket in true time, debited by admissions.
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
  /// Requests that wait or are queued before their dispatch; not exact when nodes restart.
  std::int64_t pendingRequests_ = 0;
};

} // namespace acp::test
