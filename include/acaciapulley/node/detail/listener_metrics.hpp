#pragma once

/// @file
/// Metrics of one listener of a node.

#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <utility>  // pair

#include "acaciapulley/core/outcome.hpp"          // Reason, RequestOutcome
#include "acaciapulley/transport/http_server.hpp" // ServedRequest
#include "acaciapulley/transport/metrics.hpp"     // MetricsRegistry

namespace acp::detail {

/// Counts the requests of a listener. Counters are cached, since a look-up in the registry takes
/// locks. Calls may come from any thread.
class ListenerMetrics
{
public:
  ListenerMetrics(MetricsRegistry& metrics, std::string listener);

  void Count(const ServedRequest& served);

private:
  /// Values outside the tables count as empty, since an upstream may send any text as its reason.
  struct ResponseKey
  {
    int status = 0;
    std::optional<RequestOutcome> outcome;
    std::optional<Reason> reason;
    bool operator<(const ResponseKey& other) const;
  };

  using EndKey = std::pair<RequestEnd, Forwarding>;

  MetricCounter FindResponses(const ResponseKey& key);
  MetricCounter FindEnds(const EndKey& key);

  MetricsRegistry& metrics_;
  std::string listener_;
  MetricHistogram seconds_;
  std::mutex mutex_;
  std::map<ResponseKey, MetricCounter> responses_;
  std::map<EndKey, MetricCounter> ends_;
};

} // namespace acp::detail
