#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "acaciapulley/claims/claim_registry.hpp"
#include "acaciapulley/core/change_signal.hpp"
#include "acaciapulley/limits/rate_authority.hpp"
#include "acaciapulley/node/request_pipeline.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "gen/ControlService.h"

namespace acp::test {

/// Fault injected into a call to control.
enum class ControlFault
{
  None,
  Unreachable, ///< the call does not reach control
  ReplyLost,   ///< the call is executed, its reply is lost
  Delayed,     ///< as Unreachable for the node; executed by DeliverDelayed()
  NotCommitted ///< control replies that it could not commit; executed by DeliverDelayed()
};

/// Control with the real claim registry and rate authority on a clock that does not advance.
class FakeControl final : public wire::ControlServiceIf
{
public:
  FakeControl();

  /// Called before each claim call with its name: "begin", "finish" or "release".
  std::function<ControlFault(const std::string& call)> fault;
  std::atomic<bool> grantsTokens = true;

  TransportResult<void> Call(const std::function<void(wire::ControlServiceIf&)>& call);
  void DeliverDelayed();

  void Sync(wire::SyncReply& reply, const wire::SyncRequest& request) override;
  void AcquireTokens(wire::TokenReply& reply, const wire::TokenRequest& request) override;
  /// Nodes never call this.
  void RelayTokens(wire::RelayedTokenReply& reply,
                   const wire::RelayedTokenRequest& request) override;
  /// Nodes never call this.
  void RelayPolls(wire::PollRelayReply& reply, const wire::PollRelayRequest& request) override;
  void BeginClaim(wire::BeginClaimReply& reply, const wire::BeginClaimRequest& request) override;
  void FinishClaim(const wire::FinishClaimRequest& request) override;
  void ReleaseClaim(const wire::ReleaseClaimRequest& request) override;

private:
  void ApplyWithFault(const std::string& call, const std::function<void()>& apply);

  std::mutex mutex_;
  ManualClock clock_;
  RateAuthority authority_{ {} };
  ClaimRegistry claims_;
  std::vector<std::function<void()>> delayed_;
};

/// How a FakeUpstream handles a request.
enum class UpstreamBehaviour
{
  Succeed,
  CloseBeforeRun,   ///< closes the connection without running the request
  CloseAfterRun,    ///< runs the request, then closes the connection
  Stall,            ///< runs the request, then waits until the caller disconnects
  RefuseAsNotRun,   ///< 503 with `Acp-Outcome: not-run`, does not run it
  TruncateResponse, ///< runs the request and sends a truncated response
};

struct RecordedRequest
{
  HttpRequestHead head;
  std::string body;
  bool ran = false;
};

struct FetchResult
{
  int status = 0; ///< 0: no response
  std::string outcome;
  std::string reason;
  std::string body;
  bool isComplete = false;
};

FetchResult Fetch(std::uint16_t port,
                  const HttpRequestHead& head,
                  const std::string& body = "",
                  std::int64_t declared = -2);

/// An upstream that records every request it receives.
class FakeUpstream
{
public:
  FakeUpstream();

  /// Succeed by default; called with the mutex held.
  std::function<UpstreamBehaviour()> chooseBehaviour;
  std::function<void(const RecordedRequest&)> onRun; ///< for nested calls; called without the mutex
  [[nodiscard]] std::uint16_t Port() const { return server_->Port(); }
  [[nodiscard]] std::vector<RecordedRequest> Recorded() const;
  /// Returns the number of requests that ran with @p text in target, idempotency key or body.
  [[nodiscard]] int CountRuns(const std::string& text) const;

private:
  void Handle(ServerExchange& exchange);

  mutable std::mutex mutex_;
  std::vector<RecordedRequest> recorded_;
  std::unique_ptr<HttpServer> server_;
};

struct TestNodeOptions
{
  std::string id = "n1";
  std::string service = "front";
  std::string dataCentre = "d1";
  FakeControl* control = nullptr;
  FakeUpstream* upstream = nullptr; ///< announced by the constructor; null: none
  bool isStale = false;
  bool startsWithoutState = false; ///< until ApplyState()
  PipelineGuards guards;
  int slots = 100;            ///< announced for the upstream
  bool routesByFleet = false; ///< see FleetOrder() and FleetRead()
  LocalUpstream::TranslationFactory makeTranslation;
  std::function<void()> onEvacuationEnded;
  const Clock* clock = nullptr; ///< null: the system's
  std::function<void()> requestHealthCheck;
};

inline constexpr int kRetryBudget = 2;

/// Keys of the accounts a, b (both listed), poor (one token) and c (not listed), and one that was
/// never issued.
struct TestKeys
{
  TestKeys();
  NewKey a;
  NewKey b;
  NewKey poor;
  NewKey c;
  NewKey unknown;
};

const TestKeys& Keys();

/// A request pipeline with its three listeners.
class TestNode
{
public:
  explicit TestNode(const TestNodeOptions& options);

  /// Makes the nodes members of each other.
  static void ConnectAll(const std::vector<TestNode*>& nodes);

  /// Makes @p nodes the members to which this node sends requests.
  void SetMembers(const std::vector<TestNode*>& nodes);

  /// Applies the evacuated data centres, as after a poll of control.
  void SetEvacuated(const std::set<std::string>& dataCentres);

  /// Makes a server at @p port that is no node the only member of `front`.
  void SetForeignPeer(std::uint16_t port);

  /// Waits until @p count requests of callers have completed, for at most @p longest.
  bool WaitForCompleted(int count, Duration longest);

  void ApplyState();
  /// Replaces the regions of all data centres, as a node does at SIGHUP.
  void ReplaceRegions(const RegionsByDataCentre& regionOf) { regions_.Replace(regionOf); }
  /// Puts a later fleet document in force.
  void ApplyFleet(std::int64_t version, const std::string& text);
  int Announce(bool isDraining);
  /// Announces an upstream at @p port instead of the one in the options.
  int AnnounceAt(std::uint16_t port, bool isDraining = false);
  /// Reports the upstream's answer to a health check that is sent now.
  void ReportHealthWarmup(Duration left);
  RequestPipeline& Pipeline() { return pipeline_; }
  [[nodiscard]] std::int64_t AnnouncedColdStartMs() const;
  /// Begins a graceful stop that ends after @p left.
  void BeginStop(Duration left);
  /// Stops the node's listeners; returns when its requests have completed.
  void Stop();
  [[nodiscard]] PipelineStats Stats() const { return pipeline_.Stats(); }
  [[nodiscard]] std::uint16_t IngressPort() const { return ingress_.Port(); }
  [[nodiscard]] std::uint16_t EgressPort() const { return egress_.Port(); }
  [[nodiscard]] std::uint16_t PeerPort() const { return peer_.Port(); }

private:
  HttpServerOptions ListenerOptions(void (RequestPipeline::*handle)(ServerExchange&));

  TestNodeOptions options_;
  SystemClock systemClock_;
  const Clock& clock_;
  ChangeSignal completed_;
  StateCache stateCache_;
  LocalUpstream upstream_;
  MemberTable members_;
  RegionMap regions_;
  detail::GracefulStop stop_;
  RequestPipeline pipeline_;
  HttpServer peer_;
  HttpServer egress_;
  HttpServer ingress_;
};

/// A non-idempotent request with @p name in its idempotency key.
HttpRequestHead OrderRequest(const std::string& name, const std::string& key = Keys().a.text);
HttpRequestHead ReadRequest(const std::string& path, const std::string& key = Keys().a.text);

/// Keys in the fleet document; only the account of kLimitedKey has a rate limit.
inline constexpr const char* kUnlimitedKey = "key-unlimited";
inline constexpr const char* kLimitedKey = "key-limited";

/// Requests on routes of the fleet document to the service `front`.
HttpRequestHead FleetOrder(const std::string& name, const std::string& key = kUnlimitedKey);
HttpRequestHead FleetRead(const std::string& name, const std::string& key = kUnlimitedKey);
/// As FleetOrder and FleetRead, on routes with a target latency of one second.
HttpRequestHead FleetQuickOrder(const std::string& name);
HttpRequestHead FleetQuickRead(const std::string& name);
/// A nested call, which carries no key.
HttpRequestHead FleetNestedRead(const std::string& name);

/// A nested call to the service `back`, made for @p parent: without key and context, with the
/// deadline of its parent.
HttpRequestHead FleetNestedStockRead(const std::string& name, const RecordedRequest& parent);

} // namespace acp::test
