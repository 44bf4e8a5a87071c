#include "acaciapulley/node/refusal.hpp"

#include "acaciapulley/node/detail/headers.hpp" // kOutcomeHeader, kReasonHeader

namespace acp {

void SendRefusal(ServerExchange& exchange, const Refusal& refusal)
{
  HttpResponseHead head{ .status = refusal.status };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set(detail::kOutcomeHeader, std::string(NameOf(refusal.outcome)));
  head.headers.Set(detail::kReasonHeader, std::string(NameOf(refusal.reason)));
  if (refusal.retryAfter > Duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
    head.headers.Set("Retry-After", std::to_string(seconds.count()));
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter);
    head.headers.Set(detail::kRetryAfterHeader, std::to_string(millis.count()));
  }
  if (refusal.reason == Reason::Stopping) {
    head.headers.Set("Connection", "close");
  }
  if (refusal.threshold) {
    head.headers.Set(detail::kThresholdHeader, FormatThreshold(*refusal.threshold));
  }
  if (refusal.load) {
    head.headers.Set(detail::kLoadHeader, FormatLoad(*refusal.load));
  }
  if (refusal.runTime) {
    head.headers.Set(detail::kRunTimeHeader, FormatRunTime(*refusal.runTime));
  }
  if (refusal.unusedRetries) {
    head.headers.Set(detail::kRetriesLeftHeader, std::to_string(*refusal.unusedRetries));
  }
  exchange.Respond(head, refusal.message + "\n");
}

} // namespace acp
