#pragma once

/// @file
/// Runs requests on the local upstream.

#include <optional> // optional
#include <string>   // string

#include "acaciapulley/core/clock.hpp"                 // Clock
#include "acaciapulley/node/blocking_gate.hpp"         // BlockingGate
#include "acaciapulley/node/detail/attempt.hpp"        // AttemptEnd, PendingCall
#include "acaciapulley/node/detail/claim_client.hpp"   // ClaimClient
#include "acaciapulley/node/detail/hop_book.hpp"       // HopBook
#include "acaciapulley/node/detail/stop_times.hpp"     // StopTimes
#include "acaciapulley/node/detail/threshold_book.hpp" // ThresholdBook
#include "acaciapulley/node/local_upstream.hpp"        // LocalUpstream
#include "acaciapulley/node/pipeline_guards.hpp"       // PipelineGuards
#include "acaciapulley/transport/http_client.hpp"      // ClientExchange

namespace acp::detail {

/// What an Executor works with; all outlive it.
struct ExecutorOptions
{
  const Clock* clock = nullptr;
  const RequestResolver* resolver = nullptr;
  const ContextSigner* signer = nullptr;
  LocalUpstream* upstream = nullptr;
  BlockingGate* gate = nullptr;
  HopBook* hops = nullptr;
  ClaimClient* claims = nullptr;
  ThresholdBook* thresholds = nullptr; ///< of the requests that the upstream runs
  const StopTimes* stop = nullptr;
  PipelineGuards guards;
};

/// Admission, claim, dispatch and answer of one request. Calls may come from any thread.
class Executor
{
public:
  explicit Executor(const ExecutorOptions& options);

  /// @brief Runs one attempt.
  /// @param context hop that the upstream executes; its retriesLeft go to nested calls
  AttemptEnd Run(PendingCall& call, const RequestContext& context);

  /// @brief Returns which requests of a class the upstream and the callees of its nested calls
  /// admit.
  [[nodiscard]] AdmissionThreshold Threshold(const ResolvedRequest& request,
                                             const std::string& account) const;

private:
  /// An attempt that has passed the gate.
  struct Admitted
  {
    BlockingGate::Permit permit;
    std::shared_ptr<HttpPool> pool;
    std::optional<ClaimTicket> ticket; ///< set for non-idempotent requests
  };

  OrRefusal<Admitted> Admit(PendingCall& call, const RequestContext& context);
  OrRefusal<std::optional<ClaimRecord>> Claim(PendingCall& call,
                                              const RequestContext& context,
                                              Admitted& admitted);
  AttemptEnd Dispatch(PendingCall& call, const RequestContext& context, Admitted& admitted);
  AttemptEnd EndWithoutAnswer(const TransportError& error,
                              const RequestContext& context,
                              Admitted& admitted);
  AttemptEnd EndWithAnswer(PendingCall& call,
                           const RequestContext& context,
                           Admitted& admitted,
                           ClientExchange& answer);
  void RespondFromRecord(PendingCall& call, const ClaimRecord& record);
  HttpResponseHead AnswerHead(const PendingCall& call,
                              const RequestContext& context,
                              const HttpResponseHead& upstreamHead,
                              int unusedRetries) const;
  [[nodiscard]] Duration Remaining(const RequestContext& context) const;

  ExecutorOptions options_;
};

} // namespace acp::detail
