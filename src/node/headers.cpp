#include "acaciapulley/node/detail/headers.hpp"

#include <array>       // array
#include <string_view> // string_view

namespace acp::detail {

namespace {

// Hop-by-hop fields of RFC 9110 section 7.6.1, and fields that are set anew for each connection.
constexpr std::array<std::string_view, 9> kConnectionFields = {
  "Connection",     "Keep-Alive", "Transfer-Encoding",
  "Content-Length", "Host",       "Proxy-Connection",
  "Upgrade",        "TE",         "Expect",
};

// Fields used between callers and nodes, or between nodes.
constexpr std::array<std::string_view, 19> kNodeFields = {
  kKeyHeader,       kDeadlineHeader, kContextHeader,     kOutcomeHeader,       kReasonHeader,
  kThresholdHeader, kLoadHeader,     kRetriesLeftHeader, kRetryAfterHeader,    kQueueTimeoutHeader,
  kServiceHeader,   kClassHeader,    kAccountHeader,     kCallerServiceHeader, kOpenHeader,
  kAttemptHeader,   kTargetHeader,   kRunTimeHeader,     kWorkFactorHeader,
};

template<std::size_t Size>
bool Contains(const std::array<std::string_view, Size>& names, std::string_view name)
{
  for (const auto& candidate : names) {
    if (EqualsIgnoreCase(candidate, name)) {
      return true;
    }
  }
  return false;
}

HttpHeaders EndToEndFields(const HttpHeaders& headers)
{
  HttpHeaders kept;
  for (const auto& [name, value] : headers.Fields()) {
    if (!Contains(kConnectionFields, name) && !Contains(kNodeFields, name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

} // namespace

HttpHeaders ForwardedRequestHeaders(const HttpHeaders& headers, bool stripKey)
{
  HttpHeaders forwarded = EndToEndFields(headers);
  const auto key = headers.Find(kKeyHeader);
  if (!stripKey && key) {
    forwarded.Add(kKeyHeader, *key);
  }
  return forwarded;
}

HttpHeaders ForwardedResponseHeaders(const HttpHeaders& headers)
{
  return EndToEndFields(headers);
}

} // namespace acp::detail
