#include "acaciapulley/node/detail/request_times.hpp"

#include <algorithm> // max, min
#include <charconv>  // from_chars
#include <string>    // string

#include "acaciapulley/node/detail/headers.hpp" // kDeadlineHeader

namespace acp::detail {

namespace {

// The queue timeout is the remaining time, or the target latency, divided by these.
constexpr int kNestedQueueTimeoutDivisor = 2;
constexpr int kRootQueueTimeoutDivisor = 5;

} // namespace

std::chrono::milliseconds ParseMillis(const HttpHeaders& headers, const char* field)
{
  const std::string text = headers.Find(field).value_or("");
  std::int64_t millis = 0;
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return std::chrono::milliseconds(std::max<std::int64_t>(millis, 0));
}

Duration QueueTimeoutOf(const RequestClass& requestClass, Duration remaining, bool isNested)
{
  const Duration target =
    requestClass.targetLatency > Duration::zero() ? requestClass.targetLatency : remaining;
  return isNested ? remaining / kNestedQueueTimeoutDivisor
                  : std::min(target, remaining) / kRootQueueTimeoutDivisor;
}

OrRefusal<std::chrono::milliseconds> RequestTimeout(const HttpRequestHead& head,
                                                    const RequestClass& requestClass)
{
  const auto classDeadline =
    std::chrono::duration_cast<std::chrono::milliseconds>(requestClass.deadline);
  const auto text = head.headers.Find(kDeadlineHeader);
  if (!text) {
    return classDeadline;
  }
  std::int64_t millis = 0;
  const char* end = text->data() + text->size();
  const auto [parsedEnd, error] = std::from_chars(text->data(), end, millis);
  if (error != std::errc() || parsedEnd != end || millis <= 0) {
    return NotRunRefusal(400, Reason::BadRequest, "Acp-Deadline-Ms must be a whole number above 0");
  }
  return std::min(classDeadline, std::chrono::milliseconds(millis));
}

} // namespace acp::detail
