#pragma once

/// @file
/// Runs requests on the upstreams of other nodes.

#include <cstdint> // int64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <mutex>   // mutex
#include <string>  // string

#include "acaciapulley/core/clock.hpp"                // Clock
#include "acaciapulley/node/detail/attempt.hpp"       // AttemptResult, PendingCall
#include "acaciapulley/node/detail/graceful_stop.hpp" // GracefulStop
#include "acaciapulley/node/pipeline_guards.hpp"      // PipelineGuards
#include "acaciapulley/routing/balancer.hpp"          // PickedMember
#include "acaciapulley/routing/member_table.hpp"      // MemberTable
#include "acaciapulley/transport/http_client.hpp"     // HttpPool

namespace acp::detail {

/// Construction options of a PeerClient. What is pointed to outlives it.
struct PeerClientOptions
{
  const Clock* clock = nullptr;
  const ContextSigner* signer = nullptr;
  MemberTable* members = nullptr;
  std::shared_ptr<ConnectionCounts> connections; ///< may be null
  const GracefulStop* stop = nullptr;
  PipelineGuards guards;
};

/// Sends requests to peers, and updates thresholds and load from their responses. Calls may come
/// from any thread.
class PeerClient
{
public:
  explicit PeerClient(const PeerClientOptions& options);

  /// @brief Runs one attempt on the picked peer.
  /// @param context context of the hop that the peer executes; the peer may use its retriesLeft
  AttemptResult Run(PendingCall& call, const RequestContext& context, const PickedMember& picked);

private:
  std::shared_ptr<HttpPool> PoolOf(const std::string& peerAddress);
  void ApplyLoadHeaders(const PendingCall& call,
                        const RequestContext& context,
                        const PickedMember& picked,
                        const HttpResponseHead& response);
  static AttemptResult Interpret(PendingCall& call, ClientExchange& response, int unusedRetries);

  PeerClientOptions options_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<HttpPool>> pools_; ///< by peer address
};

} // namespace acp::detail
