#pragma once

/// @file
/// Services that call each other in a graph, with one node and its gate beside each upstream.

#include <cstdint>       // uint64_t
#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "acaciapulley/admission/gate.hpp"            // Gate
#include "acaciapulley/admission/threshold_table.hpp" // ThresholdTable
#include "event_queue.hpp"                            // EventQueue

namespace bench {

/// What is compared on the graph.
struct GraphPolicy
{
  std::string name;
  bool linksNestedCalls = false;      ///< nested calls have their root's priority and account
  double linkedFraction = 1.0;        ///< of the calls of the deepest service; the rest is guessed
  bool prefersNested = false;         ///< nested calls go before fresh work of their priority
  bool sharesThresholds = false;      ///< one threshold for all accounts of a class
  bool separatesForwarding = false;   ///< thresholds of forwarded roots are not announced
  acp::Duration nestedQueueTimeout{}; ///< longest wait of a nested call; 0: half of its time
  double slotFraction = 1.0;          ///< limit as a share of the announced slots
  bool limitsByDelay = false;         ///< the gate's limit falls where messages wait
};

/// Calls that each request of a class makes.
struct NestedCalls
{
  std::size_t classIndex = 0;
  int count = 1;
  bool isConcurrent =
    false; ///< with each other and beside the caller's work; else in turn after it
};

/// A request class; one without demand is called by others only.
struct GraphClass
{
  std::string name;
  std::size_t service = 0;
  int priority = 0;
  bool idempotent = true;
  acp::Duration work{};
  double randomFraction = 0.5; ///< of the work, exponentially distributed
  acp::Duration timeout{};
  acp::Duration targetLatency{};  ///< aimed latency of the whole answer
  acp::Duration callerDeadline{}; ///< for all attempts of a caller
  double requestsPerSecond = 0.0;
  double value = 0.0;
  std::optional<NestedCalls> nested;
};

/// The upstreams of one service.
struct GraphService
{
  std::string name;
  int upstreams = 1;
  int slots = 1;
  std::vector<double> speeds;     ///< of the upstreams in turn
  double slowAboveFraction = 1.0; ///< share of the slots beyond which work takes longer
  double slowdownFactor = 1.0;
};

/// The shape of one deployment; the last service is the deepest.
struct Graph
{
  std::vector<GraphService> services;
  std::vector<GraphClass> classes;
  std::vector<double> accountRates; ///< in proportion
  acp::Duration messageTime{};      ///< time of a node's processor per message
};

/// How a request ended for its caller.
enum class GraphOutcome
{
  Completed,
  Refused, ///< it has not run
  Failed,
};

/// What a node answers.
struct GraphResponse
{
  GraphOutcome outcome = GraphOutcome::Refused;
  acp::AdmissionThreshold threshold;
  int inFlight = 0;
};

class GraphNode;

/// One request on its way, of a caller or of an upstream.
struct GraphRequest
{
  std::uint64_t id = 0;
  std::size_t classIndex = 0;
  std::string account;
  int priority = 0;
  acp::TimePoint deadline;
  acp::Duration queueTimeout{};
  bool isNested = false;
  bool isFromIngress = false;
  bool isCancelled = false;
  GraphNode* node = nullptr;           ///< that runs it or lets it wait
  std::shared_ptr<double> deepestWork; ///< seconds of work of the deepest service for the root
  std::function<void(const GraphResponse&)> respond;
};

using GraphRequestPtr = std::shared_ptr<GraphRequest>;

/// Counts at the deepest service.
struct GraphDeepestCounts
{
  long offered = 0;
  long started = 0;
  long refused = 0;      ///< while waiting or on arrival
  double occupied = 0.0; ///< slot seconds of the runs that ended
  double worked = 0.0;   ///< seconds of work of the runs that ended
};

/// All nodes of a graph.
struct GraphMesh
{
  EventQueue events;
  std::mt19937_64 random;
  GraphPolicy policy;
  Graph graph;
  std::vector<std::vector<std::unique_ptr<GraphNode>>> services;
  std::vector<GraphNode*> nodes; ///< of all services
  GraphDeepestCounts deepestCounts;
  std::uint64_t nextId = 1;

  double Uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }
};

/// An upstream with its node: ingress, gate and the calls that the upstream makes.
class GraphNode
{
public:
  GraphNode(GraphMesh& mesh, std::size_t service, double speed);

  /// @brief Takes a caller's request.
  void HandleRoot(const GraphRequestPtr& request);

  /// @brief Takes a call of a peer or of this node's own ingress.
  void HandleCall(const GraphRequestPtr& request);

  /// @brief Runs @p action, the handling of one message, when this node's processor has had time
  /// for it.
  void ProcessMessage(std::function<void()> action);

  /// @brief Returns the processor time used so far.
  [[nodiscard]] acp::Duration ProcessorTime() const { return processorTime_; }

  /// @brief Drops a request that waits or runs here, without an answer.
  void Drop(const GraphRequestPtr& request);

private:
  struct Run
  {
    GraphRequestPtr request;
    acp::TimePoint startedAt;
    double work = 0.0; // seconds
    bool isWorkDone = false;
    int callsOpen = 0;
    int callsLeft = 0; // of those made in turn
    std::vector<GraphRequestPtr> calls;
  };

  // What this node knows of another node's load.
  struct LoadEstimate
  {
    int inFlight = 0;
    int sentSince = 0;
    acp::TimePoint at{};
  };

  void Forward(const std::string& callerClass, const GraphRequestPtr& request);
  std::size_t PickUpstream(std::size_t service);
  void StartRun(const GraphRequestPtr& request);
  void OnWorkDone(std::uint64_t id);
  void StartCall(std::uint64_t id);
  void OnCallEnd(std::uint64_t id, const GraphResponse& response);
  void EndRunIfDone(std::uint64_t id);
  void EndRun(std::uint64_t id, std::optional<GraphOutcome> outcome);
  const Run* CallerOf(const Run& run, std::size_t callee);
  double WorkSeconds(const GraphClass& requestClass);
  void Poll();
  void ScheduleTimer();
  void Refuse(const GraphRequestPtr& request);
  GraphResponse MakeResponse(const GraphRequest& request, GraphOutcome outcome);
  [[nodiscard]] const GraphClass& ClassOf(const GraphRequest& request) const;
  [[nodiscard]] const GraphService& Service() const { return mesh_.graph.services[service_]; }
  [[nodiscard]] bool IsDeepest() const { return service_ + 1 == mesh_.graph.services.size(); }

  GraphMesh& mesh_;
  std::size_t service_;
  double speed_;
  acp::Gate gate_;
  acp::ThresholdTable table_;
  std::unordered_map<std::uint64_t, GraphRequestPtr> waiting_;
  std::unordered_map<std::uint64_t, Run> runs_;
  std::vector<std::vector<LoadEstimate>> loadEstimates_; // by service and upstream
  acp::TimePoint processorFreeAt_{};
  acp::Duration processorTime_{};
  acp::TimePoint timerAt_ = acp::TimePoint::max();
};

} // namespace bench
