#include "acaciapulley/node/detail/request_times.hpp"

#include <algorithm> // max, min
#include <charconv>  // from_chars
#include <string>    // string

#include "acaciapulley/node/detail/headers.hpp" // kDeadlineHeader

namespace acp::detail {

namespace {

// Parts of the remaining time, or of the aimed latency, that a request may wait for an upstream.
constexpr int kNestedPatienceParts = 2;
constexpr int kRootPatienceParts = 5;

} // namespace

std::chrono::milliseconds MillisIn(const HttpHeaders& headers, const char* field)
{
  const std::string text = headers.Find(field).value_or("");
  std::int64_t millis = 0;
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return std::chrono::milliseconds(std::max<std::int64_t>(millis, 0));
}

Duration PatienceOf(const RequestClass& requestClass, Duration remaining, bool isNested)
{
  const Duration aim =
    requestClass.targetLatency > Duration::zero() ? requestClass.targetLatency : remaining;
  return isNested ? remaining / kNestedPatienceParts
                  : std::min(aim, remaining) / kRootPatienceParts;
}

OrRefusal<std::chrono::milliseconds> TimeAllowed(const HttpRequestHead& head,
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
  const auto [rest, error] = std::from_chars(text->data(), end, millis);
  if (error != std::errc() || rest != end || millis <= 0) {
    return NotRunRefusal(400, Reason::BadRequest, "Acp-Deadline-Ms must be a whole number above 0");
  }
  return std::min(classDeadline, std::chrono::milliseconds(millis));
}

} // namespace acp::detail
