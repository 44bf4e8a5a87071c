#pragma once

/// @file
/// Processing of requests by a node, from arrival to response.

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <set>        // set
#include <string>     // string

#include "acaciapulley/admission/warmup_limit.hpp"        // WarmupReport
#include "acaciapulley/core/clock.hpp"                    // Clock
#include "acaciapulley/node/blocking_gate.hpp"            // GateStats
#include "acaciapulley/node/detail/claim_client.hpp"      // ControlCall
#include "acaciapulley/node/detail/graceful_stop.hpp"     // GracefulStop
#include "acaciapulley/node/detail/run_time_recorder.hpp" // RunTimeStats
#include "acaciapulley/node/detail/token_client.hpp"      // TokenCallCounts
#include "acaciapulley/node/local_upstream.hpp"           // LocalUpstream
#include "acaciapulley/node/pipeline_guards.hpp"          // PipelineGuards
#include "acaciapulley/node/refusal.hpp"                  // Refusal
#include "acaciapulley/node/region_map.hpp"               // RegionMap
#include "acaciapulley/node/state_cache.hpp"              // StateCache
#include "acaciapulley/retries/retry_policy.hpp"          // FleetRetryBudget
#include "acaciapulley/routing/member_table.hpp"          // MemberTable
#include "acaciapulley/transport/connection_counts.hpp"   // ConnectionCounts
#include "acaciapulley/transport/http_server.hpp"         // ServerExchange

namespace acp {

/// A completed request of a caller, for the traffic record and the metrics.
struct CompletedRequest
{
  std::string service;
  std::string requestClass; ///< empty when no class matched
  std::string account;      ///< empty when the caller is not known
  Reason reason = Reason::None;
  RequestOutcome outcome = RequestOutcome::Ran;
  Duration latency{};
  std::string requestId; ///< value of RequestPipelineOptions::requestIdField, or empty
  int status = 0;      ///< of a refusal by the node; 0 when a response of the upstream was relayed
  std::string message; ///< of a refusal by the node
  bool isUpstreamError = false; ///< a server error of the upstream was relayed
};

/// Construction options of a RequestPipeline. The objects pointed to must outlive it.
struct RequestPipelineOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string dataCentre;
  std::string fleetSecret;
  int retryBudget = 2; ///< retries of one root request over its whole call tree, 0 to 8
  /// Requests are routed by host and path with the fleet document, and the secret comes from
  /// control; `fleetSecret` is then not used.
  bool routesByFleet = false;
  FleetRetryBudget fleetRetryBudget; ///< for each service, with routesByFleet
  std::string callerService;         ///< service of this host, sent to upstreams of fleet routes
  std::string requestIdField;        ///< header field with the caller's request id, for the logs
  const Clock* clock = nullptr;
  StateCache* stateCache = nullptr;
  LocalUpstream* upstream = nullptr;
  MemberTable* members = nullptr;
  const RegionMap* regions = nullptr; ///< for routes and accounts with allowed regions
  detail::GracefulStop* stop = nullptr;
  detail::ControlCall claimControl;                  ///< calls for claims
  detail::ControlCall tokenControl;                  ///< calls for rate tokens
  std::shared_ptr<ConnectionCounts> peerConnections; ///< may be null
  std::function<void()> onAnnouncementChanged;       ///< called after each changed announcement
  /// Called when the evacuation of this data centre has ended, before the local upstream gets
  /// requests again; may be empty.
  std::function<void()> onEvacuationEnded;
  /// Called when a health check of the local upstream is needed; must not block. May be empty.
  std::function<void()> requestHealthCheck;
  /// Called for each request of the ingress.
  std::function<void(const CompletedRequest&)> onRequestCompleted;
  PipelineGuards guards;
};

/// Statistics of a RequestPipeline for logs and metrics.
struct PipelineStats
{
  detail::TokenCallCounts tokenCalls;
  GateStats gate;           ///< of the local upstream
  bool isEvacuated = false; ///< the data centre of this node is evacuated
  bool isUpstreamCold = false;
  detail::RunTimeStats runTimes;            ///< of the local upstream
  std::map<ReportAge, std::uint64_t> picks; ///< by the age of the report that they used
};

/// Handlers of the node's ingress, peer and egress listeners. Thread-safe.
class RequestPipeline
{
public:
  explicit RequestPipeline(RequestPipelineOptions options);
  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;
  ~RequestPipeline();

  /// @brief Serves a caller's request: checks its key and rate, then runs it locally or on a peer.
  void HandleIngress(ServerExchange& exchange);

  /// @brief Runs a peer's request on the local upstream.
  void HandlePeer(ServerExchange& exchange);

  /// @brief Applies an announcement of the local upstream.
  void Announce(const Announcement& announcement);

  /// @brief Applies the set of evacuated data centres: their members are no longer picked, and if
  /// this node's is among them, the local upstream gets no more requests. Must be called by one
  /// thread.
  void SetEvacuated(const std::set<std::string>& dataCentres);

  /// @brief Applies what the local upstream reports about how much longer it stays cold.
  void ReportWarmup(const WarmupReport& report);

  /// @brief Assumes that the local upstream is cold until a health check that is sent later says
  /// otherwise, and requests one. Has no effect on a service without a rate limit for cold
  /// upstreams.
  void AssumeUpstreamCold();

  /// @brief Serves the local upstream's nested calls and announcements.
  void HandleEgress(ServerExchange& exchange);

  /// @brief Returns the statistics for logs and metrics.
  [[nodiscard]] PipelineStats Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace acp
