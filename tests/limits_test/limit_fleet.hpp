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
struct FleetOptions
{
  std::uint64_t seed = 1;
  int nodes = 8;
  TokenLimit limit{ .rate = 100, .burst = 100 };
  RateAuthorityOptions authority;
  TokenLeaseTableOptions table;
  double demandPart = 0.9; ///< requests per second as a part of the rate
  bool isBursty = false;   ///< requests come in groups of up to the burst
  Duration quietEvery{};   ///< no demand in the first half of each such span; 0: never
  Duration moveEvery{};    ///< all demand moves to other nodes this often; 0: never
  int activeNodes = 0;     ///< nodes that get demand at a time; 0: all
  Duration oneWayDelay = std::chrono::microseconds(400);
  double lossPart = 0;             ///< messages lost
  double delayedPart = 0;          ///< messages delayed by up to 3 s
  double duplicatedPart = 0;       ///< asks delivered twice, the second up to 3 s later
  double clockDrift = 0;           ///< each clock runs at 1 +- up to this
  Duration failoverEvery{};        ///< 0: never
  double repeatedFailoverPart = 0; ///< failovers followed by another one after a second
  Duration isolationAfterElection = std::chrono::seconds(8); ///< old leader stays isolated so long
  Duration freezeEvery{};  ///< a random node freezes for up to 5 s this often
  Duration restartEvery{}; ///< a random node restarts this often
  Duration longestQueueing = std::chrono::milliseconds(5); ///< from taking a token to dispatch
  Duration warmUp = std::chrono::seconds(5);
  Duration length = std::chrono::seconds(60);
};

/// What was seen, after the warm-up where not said otherwise.
struct FleetResult
{
  std::int64_t offered = 0;
  std::int64_t admitted = 0;
  std::int64_t refused = 0;
  std::int64_t falselyRefused = 0;    ///< the true bucket, debited by all admissions, held a token
  std::int64_t referenceAdmitted = 0; ///< by a central bucket that decides on arrival
  std::int64_t waited = 0;            ///< admitted after waiting for an answer
  double lowestLevel = 0;       ///< of the true bucket over the whole run; below 0 violates P6
  double asksPerNodeSecond = 0; ///< over the nodes that get demand
  double bytesPerNodeSecond = 0;
};

/// Runs one seeded schedule.
class LimitFleet
{
public:
  explicit LimitFleet(const FleetOptions& options);
  ~LimitFleet();

  /// @brief Runs the whole schedule.
  FleetResult Run();

private:
  struct Event
  {
    Duration at;
    std::int64_t order = 0;
    std::function<void()> action;
  };

  struct Later
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

  void At(Duration when, std::function<void()> action);
  void OnNode(int node, std::int64_t epoch, const std::function<void()>& action);
  [[nodiscard]] TimePoint Local(double clockRate, Duration when) const;
  [[nodiscard]] double Uniform(double low, double high);
  [[nodiscard]] Duration Between(Duration low, Duration high);
  [[nodiscard]] double ClockRate();
  void ScheduleArrival();
  void Arrive(int node);
  void Admit(Node& node, const TokenHold& hold, bool hasWaited, bool isWithinRate);
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

  FleetOptions options_;
  std::mt19937_64 random_;
  LimitKey key_{ .service = "orders", .account = "batik-solo" };
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::int64_t nextOrder_ = 0;
  Duration now_{};
  std::vector<Node> nodes_;
  std::vector<Leader> leaders_;
  std::vector<int> active_;
  TrueBucket admittedBucket_;
  TrueBucket referenceBucket_;
  FleetResult result_;
  std::int64_t messages_ = 0;
  /// Requests that wait or are queued before their dispatch; not exact when nodes restart.
  std::int64_t undecided_ = 0;
};

} // namespace acp::test
