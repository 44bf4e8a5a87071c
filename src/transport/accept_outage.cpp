#include "acaciapulley/transport/detail/accept_outage.hpp"

#include <chrono> // seconds

#include "acaciapulley/core/log.hpp"          // Log
#include "acaciapulley/transport/process.hpp" // EndFailedProcess

namespace acp::detail {

namespace {

// A listener tries again every 20 ms while a connection waits to be accepted; after a longer time
// without a failure there was none.
constexpr Duration kLongestPause = std::chrono::seconds(1);

} // namespace

Duration AcceptOutage::RecordFailure(TimePoint now)
{
  const bool continues = firstFailureAt_ && now - *lastFailureAt_ <= kLongestPause;
  if (!continues) {
    firstFailureAt_ = now;
  }
  lastFailureAt_ = now;
  return now - *firstFailureAt_;
}

void HandleAcceptFailure(AcceptOutage& outage, const std::string& error, Duration limit)
{
  const Duration lasted = outage.RecordFailure(SystemClock().Now());
  if (outage.IsNew()) {
    Log(LogLevel::Error, "accept_failed", { { "error", error } });
  }
  if (limit > Duration::zero() && lasted > limit) {
    EndFailedProcess("accept_failed", "no connection could be accepted for too long: " + error);
  }
}

} // namespace acp::detail
