#include "acaciapulley/node/detail/listener_metrics.hpp"

#include <tuple>   // tie
#include <utility> // move

namespace acp::detail {

namespace {

template<typename Key, typename Find>
void Increment(std::map<Key, MetricCounter>& counters, const Key& key, const Find& find)
{
  auto found = counters.find(key);
  if (found == counters.end()) {
    found = counters.emplace(key, find(key)).first;
  }
  found->second.Add();
}

} // namespace

bool ListenerMetrics::ResponseKey::operator<(const ResponseKey& other) const
{
  return std::tie(status, outcome, reason) < std::tie(other.status, other.outcome, other.reason);
}

ListenerMetrics::ListenerMetrics(MetricsRegistry& metrics, std::string listener)
  : metrics_(metrics)
  , listener_(std::move(listener))
  , seconds_(metrics.Histogram("acp_request_seconds",
                               "Time from the end of the request's head to the end of the answer.",
                               { { "listener", listener_ } }))
{
}

void ListenerMetrics::Count(const ServedRequest& served)
{
  seconds_.Observe(std::chrono::duration<double>(served.duration).count());
  const ResponseKey response{ .status = served.status,
                              .outcome = FromName<RequestOutcome>(served.outcome),
                              .reason = FromName<Reason>(served.reason) };
  const std::lock_guard lock(mutex_);
  Increment(responses_, response, [this](const ResponseKey& key) { return FindResponses(key); });
  Increment(ends_, EndKey(served.end, served.forwarding), [this](const EndKey& key) {
    return FindEnds(key);
  });
}

MetricCounter ListenerMetrics::FindResponses(const ResponseKey& key)
{
  const auto name = [](const auto& value) { return value ? std::string(NameOf(*value)) : ""; };
  return metrics_.Counter("acp_requests_total",
                          "Requests by listener, status and outcome.",
                          { { "listener", listener_ },
                            { "status", std::to_string(key.status) },
                            { "outcome", name(key.outcome) },
                            { "reason", name(key.reason) } });
}

MetricCounter ListenerMetrics::FindEnds(const EndKey& key)
{
  return metrics_.Counter("acp_request_ends_total",
                          "Requests by listener, how they ended and whether they were forwarded.",
                          { { "listener", listener_ },
                            { "end", std::string(NameOf(key.first)) },
                            { "forwarded", std::string(NameOf(key.second)) } });
}

} // namespace acp::detail
