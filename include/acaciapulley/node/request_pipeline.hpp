#pragma once

/// @file
/// What a node does with each request.

#include <cstdint>    // int64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <mutex>      // mutex
#include <string>     // string

#include "acaciapulley/core/clock.hpp"              // Clock
#include "acaciapulley/core/outcome.hpp"            // Reason
#include "acaciapulley/node/local_upstream.hpp"     // LocalUpstream
#include "acaciapulley/node/node_view.hpp"          // NodeView
#include "acaciapulley/retries/request_context.hpp" // ContextSigner, RequestContext
#include "acaciapulley/transport/http_server.hpp"   // ServerExchange

namespace acp {

/// Construction options of a RequestPipeline.
struct RequestPipelineOptions
{
  std::string nodeId;
  std::int64_t epoch = 0;
  std::string fleetSecret;
  const Clock* clock = nullptr;
  NodeView* view = nullptr;
  LocalUpstream* upstream = nullptr;
  std::function<void()> onAnnounced; ///< called after each accepted announcement
};

/// Handlers of the node's ingress, peer and egress listeners. Calls may come from any thread.
class RequestPipeline
{
public:
  explicit RequestPipeline(RequestPipelineOptions options);

  /// @brief Serves a caller's request: checks its key, then runs it here or on a peer.
  void HandleIngress(ServerExchange& exchange);

  /// @brief Runs a peer's request on the local upstream.
  void HandlePeer(ServerExchange& exchange);

  /// @brief Serves the local upstream's nested calls and announcements.
  void HandleEgress(ServerExchange& exchange);

private:
  /// A request whose service and class are known.
  struct Routed
  {
    std::string service;
    std::string upstreamTarget; ///< path and query after the service's name
    std::shared_ptr<const ServiceDocument> document;
    const RequestClass* requestClass = nullptr;
  };

  bool Route(ServerExchange& exchange, Routed* routed);
  bool Authenticate(ServerExchange& exchange, const Routed& routed, std::string* account);
  void Dispatch(ServerExchange& exchange, const Routed& routed, const RequestContext& context);
  void RunOnLocalUpstream(ServerExchange& exchange,
                          const Routed& routed,
                          const RequestContext& context);
  void Forward(ServerExchange& exchange,
               HttpPool& pool,
               const std::string& target,
               const RequestContext& context);
  void Announce(ServerExchange& exchange);
  [[nodiscard]] RequestContext NewRoot(const Routed& routed, const std::string& account) const;
  std::shared_ptr<HttpPool> PeerPool(const Address& address);

  RequestPipelineOptions options_;
  ContextSigner signer_;
  std::mutex poolsMutex_;
  std::map<std::string, std::shared_ptr<HttpPool>> peerPools_;
};

} // namespace acp
