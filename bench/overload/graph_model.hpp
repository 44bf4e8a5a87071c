#pragma once

/// @file
/// Simulated graph of services that call each other, with one node and its gate beside each
/// upstream.

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

/// Mechanisms that are enabled in a run on the graph.
struct GraphPolicy
{
  std::string name;
  bool linksNestedCalls = false;    ///< nested calls inherit the priority and account of their root
  double linkedFraction = 1.0;      ///< fraction of the calls to the deepest service whose
                                    ///< caller is known; the others get a random caller
  bool prefersNested = false;       ///< nested calls precede new requests of their priority
  bool sharesThresholds = false;    ///< one threshold for all accounts of a class
  bool separatesForwarding = false; ///< thresholds of forwarded root requests are not propagated
  acp::Duration nestedQueueTimeout{}; ///< of a nested call; 0: half of the time to its deadline
  double slotFraction = 1.0;          ///< limit as a fraction of the announced slots
  bool limitsByDelay = false;         ///< the gate lowers its limit when messages wait for the
                                      ///< node's processor
};

/// Nested calls that each request of a class makes.
struct NestedCalls
{
  std::size_t classIndex = 0;
  int count = 1;
  bool isConcurrent = false; ///< all calls at once, parallel to the caller's work; else one
                             ///< after the other after it
};

/// A request class; a class without own load is only called by other classes.
struct GraphClass
{
  std::string name;
  std::size_t service = 0;
  int priority = 0;
  bool idempotent = true;
  acp::Duration work{};
  double randomFraction = 0.5; ///< fraction of the work that is exponentially distributed
  acp::Duration timeout{};
  acp::Duration targetLatency{};  ///< for the complete response
  acp::Duration callerDeadline{}; ///< over all attempts of a caller
  double requestsPerSecond = 0.0;
  double value = 0.0;
  std::optional<NestedCalls> nested;
};

/// One service and its upstreams.
struct GraphService
{
  std::string name;
  int upstreams = 1;
  int slots = 1;
  std::vector<double> speeds;     ///< relative speeds, assigned to the upstreams in turn
  double slowAboveFraction = 1.0; ///< fraction of busy slots above which work takes longer
  double slowdownFactor = 1.0;
};

/// Services and classes of one deployment; the last service is the deepest.
struct Graph
{
  std::vector<GraphService> services;
  std::vector<GraphClass> classes;
  std::vector<double> accountRates; ///< relative
  acp::Duration messageTime{};      ///< processor time of a node per message
};

/// Outcome of a request for its caller.
enum class GraphOutcome
{
  Completed,
  Refused, ///< it was not run
  Failed,
};

/// Response of a node.
struct GraphResponse
{
  GraphOutcome outcome = GraphOutcome::Refused;
  acp::AdmissionThreshold threshold;
  int inFlight = 0;
};

class GraphNode;

/// A request in progress, from a caller or from an upstream.
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
  GraphNode* node = nullptr;           ///< node at which it runs or waits
  std::shared_ptr<double> deepestWork; ///< seconds of the deepest service for the root request
  std::function<void(const GraphResponse&)> respond;
};

using GraphRequestPtr = std::shared_ptr<GraphRequest>;

/// Counts at the deepest service.
struct GraphDeepestCounts
{
  long offered = 0;
  long started = 0;
  long refused = 0;      ///< on arrival or while waiting
  double occupied = 0.0; ///< slot seconds of finished runs
  double worked = 0.0;   ///< seconds of work of finished runs
};

/// All nodes of a graph, with the shared event queue and random generator.
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

/// An upstream with its node: ingress, gate and the upstream's nested calls.
class GraphNode
{
public:
  GraphNode(GraphMesh& mesh, std::size_t service, double speed);

  /// @brief Handles a root request from a caller.
  void HandleRoot(const GraphRequestPtr& request);

  /// @brief Handles a call from a peer or from the local ingress.
  void HandleCall(const GraphRequestPtr& request);

  /// @brief Queues one message for this node's processor; @p action runs once it is processed.
  void ProcessMessage(std::function<void()> action);

  /// @brief Returns the total processor time used so far.
  [[nodiscard]] acp::Duration ProcessorTime() const { return processorTime_; }

  /// @brief Cancels a request that waits or runs here, without a response.
  void Drop(const GraphRequestPtr& request);

private:
  struct Run
  {
    GraphRequestPtr request;
    acp::TimePoint startedAt;
    double work = 0.0; // seconds
    bool isWorkDone = false;
    int callsOpen = 0;
    int callsLeft = 0; // sequential calls that are still to be made
    std::vector<GraphRequestPtr> calls;
  };

  // Last known load of another node.
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
  std::vector<std::vector<LoadEstimate>> loadEstimates_; // indexed by service and upstream
  acp::TimePoint processorFreeAt_{};
  acp::Duration processorTime_{};
  acp::TimePoint timerAt_ = acp::TimePoint::max();
};

} // namespace bench
