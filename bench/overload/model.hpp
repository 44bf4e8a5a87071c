#pragma once

/// @file
/// Simulated chain of services: fake upstreams around the gate, threshold and retry classes of the
/// product.

#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr
#include <random>        // mt19937_64
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/admission/gate.hpp"            // Gate
#include "acaciapulley/admission/threshold_table.hpp" // ThresholdTable
#include "acaciapulley/retries/hop_budget_table.hpp"  // HopBudgetTable
#include "acaciapulley/retries/retry_policy.hpp"      // NodeRetryBudget
#include "event_queue.hpp"                            // EventQueue

namespace bench {

/// Mechanisms that are enabled in a run; the benchmark compares policies.
struct Policy
{
  std::string name;
  bool gate = true; ///< false: requests go directly to the upstream
  bool adaptiveLimit = true;
  bool byPriority = true;
  bool byAccount = true;
  bool ageBound = true;
  bool thresholds = true;
  bool requestRetryBudget = true; ///< false: up to 3 retries per hop, fixed time-out per attempt
  bool nodeRetryBudget = true;
};

/// A request class of the root service.
struct RootClass
{
  std::string name;
  int priority;
  bool idempotent;
  double share;     ///< fraction of the root requests
  int deepestCalls; ///< calls to the deepest service that one request needs
};

/// One service of the chain; each service calls the next one, the last is the deepest.
struct ServiceShape
{
  int endpoints = 4;
  int slots = 50;
  acp::Duration work = std::chrono::milliseconds(2); ///< mean, without nested calls
};

/// Root request of one client attempt, with the fields that each hop knows.
struct Root
{
  std::string id;
  int account = 0;
  int classIndex = 0;
  acp::TimePoint deadline;
  acp::UnixMillis wallDeadline{};
};

/// Response of a hop to its caller.
struct HopResponse
{
  bool ok = false;
  acp::RequestOutcome outcome = acp::RequestOutcome::Unknown;
  acp::Reason reason = acp::Reason::None;
  acp::AdmissionThreshold threshold;
  int inFlight = 0;
  int retriesLeft = 0;
};

using ResponseCallback = std::function<void(const HopResponse&)>;

/// Counts at the deepest service.
struct DeepestCounts
{
  long offered = 0; ///< calls that arrived at an endpoint
  long started = 0; ///< calls that were passed to the upstream
};

class Endpoint;

/// All endpoints of a chain of services, with the shared event queue and random generator.
struct Mesh
{
  EventQueue events;
  std::mt19937_64 random;
  Policy policy;
  std::vector<RootClass> classes;
  std::vector<std::string> accounts;
  std::vector<double> weights; ///< of the accounts, for fair queueing
  std::vector<std::vector<std::unique_ptr<Endpoint>>> services;
  DeepestCounts deepestCounts;
  std::uint64_t nextId = 1;

  double Uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
  std::string HopId();
};

/// Fake upstream with a fixed number of workers and an unbounded backlog.
class FakeUpstream
{
public:
  FakeUpstream(Mesh& mesh, const ServiceShape& shape);

  /// @param nested called when a worker has finished its own work; the worker stays busy until the
  ///   callback that @p nested receives is called
  /// @param done called once; false if the upstream was killed
  void Run(std::function<void(std::function<void()>)> nested, std::function<void(bool)> done);

  void SetSlowdown(double factor) { slowdown_ = factor; }
  void Kill();
  void Restart();
  [[nodiscard]] bool IsAlive() const { return isAlive_; }

private:
  struct Job
  {
    std::uint64_t id;
    std::function<void(std::function<void()>)> nested;
  };

  void StartNext();
  void FinishJob(std::uint64_t id);
  acp::Duration WorkTime();

  Mesh& mesh_;
  ServiceShape shape_;
  double slowdown_ = 1.0;
  bool isAlive_ = true;
  int busy_ = 0;
  int connections_ = 0;
  std::deque<Job> backlog_;
  std::unordered_map<std::uint64_t, std::function<void(bool)>> pending_;
};

/// An upstream with its node: gate, threshold table and retry budgets.
class Endpoint
{
public:
  Endpoint(Mesh& mesh, std::size_t service, std::size_t index, const ServiceShape& shape);

  /// @brief Handles a root request that arrives at the ingress.
  void HandleRoot(const Root& root, ResponseCallback done);

  /// @brief Handles a call from a peer or from the local ingress.
  void HandleCall(const Root& root,
                  const acp::RequestContext& context,
                  bool isFromIngress,
                  ResponseCallback done);

  FakeUpstream& Upstream() { return upstream_; }
  void Kill();
  void Restart();
  [[nodiscard]] bool IsUsable(acp::TimePoint now) const { return now >= avoidedUntil_; }
  void Avoid(acp::TimePoint until) { avoidedUntil_ = until; }

private:
  struct WaitingRequest
  {
    Root root;
    acp::RequestContext context;
    ResponseCallback done;
  };

  // One nested call with all its attempts.
  struct Call
  {
    Root root;
    acp::RequestContext parent;
    acp::RetryReservation reservation;
    int retriesLeft = 0; // for this call and its callee
    int attempt = 0;
    bool isSettled = false; // state of the attempt in progress
    ResponseCallback done;
  };

  void PollGate();
  void ScheduleTimer();
  void RunUpstream(const WaitingRequest& waiting, std::uint64_t gateId);
  void StartNestedCalls(const Root& root,
                        const acp::RequestContext& hopContext,
                        int callsLeft,
                        const ResponseCallback& done);
  void StartCall(const Root& root, const acp::RequestContext& parent, ResponseCallback done);
  void Attempt(const std::shared_ptr<Call>& call);
  void OnAttemptEnd(const std::shared_ptr<Call>& call,
                    const HopResponse& response,
                    int callerRetries);
  void RetryWithoutBudget(const std::shared_ptr<Call>& call, const HopResponse& response);
  std::size_t PickCallee();
  HopResponse MakeRefusal(const Root& root, int retriesLeft, acp::Reason reason);
  acp::AdmissionThreshold ThresholdFor(const Root& root);
  const std::string& ClassOf(const Root& root) const;

  Mesh& mesh_;
  std::size_t service_;
  FakeUpstream upstream_;
  acp::Gate gate_;
  acp::ThresholdTable table_;
  acp::HopBudgetTable hopBudgets_;
  acp::NodeRetryBudget nodeBudget_;
  std::unordered_map<std::uint64_t, WaitingRequest> waiting_;
  std::vector<int> outstanding_; // calls in progress, per endpoint of the next service
  acp::TimePoint timerAt_ = acp::TimePoint::max();
  acp::TimePoint avoidedUntil_{};
};

} // namespace bench
