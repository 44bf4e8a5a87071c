#pragma once

/// @file
/// Runs requests on the local upstream.

#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp"                             // Clock
#include "acaciapulley/node/blocking_gate.hpp"                     // BlockingGate
#include "acaciapulley/node/detail/attempt.hpp"                    // AttemptResult, PendingCall
#include "acaciapulley/node/detail/claim_client.hpp"               // ClaimClient
#include "acaciapulley/node/detail/concurrent_threshold_table.hpp" // ConcurrentThresholdTable
#include "acaciapulley/node/detail/graceful_stop.hpp"              // GracefulStop
#include "acaciapulley/node/detail/hop_registry.hpp"               // HopRegistry
#include "acaciapulley/node/detail/run_time_recorder.hpp"          // RunTimeRecorder
#include "acaciapulley/node/detail/warmup_guard.hpp"               // WarmupGuard
#include "acaciapulley/node/local_upstream.hpp"                    // LocalUpstream
#include "acaciapulley/node/pipeline_guards.hpp"                   // PipelineGuards
#include "acaciapulley/transport/http_client.hpp"                  // ClientExchange

namespace acp::detail {

/// Construction options of an Executor. The objects pointed to must outlive it.
struct ExecutorOptions
{
  const Clock* clock = nullptr;
  const RequestResolver* resolver = nullptr;
  const ContextSigner* signer = nullptr;
  LocalUpstream* upstream = nullptr;
  BlockingGate* gate = nullptr;
  WarmupGuard* warmup = nullptr;
  HopRegistry* hops = nullptr;
  ClaimClient* claims = nullptr;
  ConcurrentThresholdTable* thresholds = nullptr; ///< of the local upstream's calls
  RunTimeRecorder* runTimes = nullptr;
  const GracefulStop* stop = nullptr;
  PipelineGuards guards;
};

/// Admits a request, claims it, sends it to the local upstream and relays the response.
/// Thread-safe.
class Executor
{
public:
  explicit Executor(const ExecutorOptions& options);

  /// @brief Runs one attempt.
  /// @param context of the hop that the upstream executes; its retriesLeft are for nested calls
  AttemptResult Run(PendingCall& call, const RequestContext& context);

  /// @brief Returns the stricter of the threshold of the gate and those of the callees of nested
  /// calls.
  [[nodiscard]] AdmissionThreshold Threshold(const ResolvedRequest& request,
                                             const std::string& account) const;

  /// @brief Returns the load of the local upstream for `Acp-Load`.
  [[nodiscard]] LoadReport Load() const { return options_.warmup->Bound(options_.gate->Load()); }

  /// @brief Returns the load of the local upstream right before the end of a request, or nothing
  /// where its placement is not learned.
  [[nodiscard]] std::optional<LoadSample> LearnedLoad(const ResolvedRequest& request) const;

private:
  /// An attempt that the gate has admitted.
  struct AdmittedAttempt
  {
    BlockingGate::Permit permit;
    std::shared_ptr<HttpPool> pool;
    std::optional<ClaimRequest> ticket; ///< set for non-idempotent requests
    TimePoint sentAt;                   ///< when the first byte was about to be sent
  };

  OrRefusal<AdmittedAttempt> Admit(PendingCall& call, const RequestContext& context);
  OrRefusal<std::optional<RecordedOutcome>> Claim(PendingCall& call,
                                                  const RequestContext& context,
                                                  AdmittedAttempt& admitted);
  AttemptResult SendToUpstream(PendingCall& call,
                               const RequestContext& context,
                               AdmittedAttempt& admitted);
  AttemptResult HandleSendFailure(const TransportError& error,
                                  const RequestContext& context,
                                  AdmittedAttempt& admitted);
  AttemptResult HandleResponse(PendingCall& call,
                               const RequestContext& context,
                               AdmittedAttempt& admitted,
                               ClientExchange& answer,
                               const RunStart& start);
  void RespondFromRecord(PendingCall& call, const RecordedOutcome& record);
  HttpResponseHead ResponseHead(const PendingCall& call,
                                const RequestContext& context,
                                const HttpResponseHead& upstreamHead,
                                int unusedRetries) const;
  [[nodiscard]] Duration Remaining(const RequestContext& context) const;

  ExecutorOptions options_;
};

} // namespace acp::detail
