#include "acaciapulley/node/detail/request_resolver.hpp"

#include <algorithm> // min
#include <utility>   // move

#include <Poco/URI.h>
#include <fmt/format.h> // format

#include "acaciapulley/node/detail/headers.hpp" // kKeyHeader, kIdempotencyKeyHeader

namespace acp::detail {

namespace {

constexpr Duration kStaleRetryAfter = std::chrono::seconds(1);

/// The upstream receives the URL and all other fields, and may log them.
bool IsKeyElsewhere(const HttpRequestHead& head, const std::string& key)
{
  std::string decodedTarget;
  Poco::URI::decode(head.target, decodedTarget);
  if (decodedTarget.find(key) != std::string::npos) {
    return true;
  }
  for (const auto& [name, value] : head.headers.Fields()) {
    if (!EqualsIgnoreCase(name, kKeyHeader) && value.find(key) != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

RequestResolver::RequestResolver(const NodeView& view, const Clock& clock)
  : view_(view)
  , clock_(clock)
{
}

OrRefusal<void> RequestResolver::CheckFreshness(const RequestClass& requestClass) const
{
  const Duration bound = requestClass.openToAll ? kOpenFreshness : kKeyedFreshness;
  if (!view_.IsFresh(clock_.Now(), bound)) {
    return NotRun(503,
                  Reason::StaleState,
                  "this node has not been able to confirm its state with control",
                  kStaleRetryAfter);
  }
  return boost::outcome_v2::success();
}

OrRefusal<ResolvedRequest> RequestResolver::Resolve(const HttpRequestHead& head,
                                                    std::int64_t bodyLength) const
{
  if (!head.target.starts_with('/')) {
    return NotRun(400, Reason::BadRequest, "the request target must start with /");
  }
  ResolvedRequest request;
  const std::size_t serviceEnd = std::min(head.target.find_first_of("/?", 1), head.target.size());
  request.service = head.target.substr(1, serviceEnd - 1);
  request.upstreamTarget = head.target.substr(serviceEnd);
  if (!request.upstreamTarget.starts_with('/')) {
    request.upstreamTarget.insert(0, "/");
  }
  if (view_.Version() == 0) {
    return NotRun(503, Reason::StaleState, "this node has no state yet", kStaleRetryAfter);
  }
  request.document = view_.DocumentOf(request.service);
  if (!request.document) {
    return NotRun(404, Reason::UnknownService, "no service is called '" + request.service + "'");
  }
  const std::string path = request.upstreamTarget.substr(0, request.upstreamTarget.find('?'));
  request.requestClass = request.document->Match(head.method, path);
  if (request.requestClass == nullptr) {
    return NotRun(404,
                  Reason::UnknownRoute,
                  fmt::format("no request class of '{}' matches the request", request.service));
  }
  if (bodyLength > request.requestClass->maxBodyBytes) {
    return NotRun(413,
                  Reason::TooLarge,
                  fmt::format("the body has {} bytes, allowed are {}",
                              bodyLength,
                              request.requestClass->maxBodyBytes));
  }
  if (!request.requestClass->idempotent && !head.headers.Find(kIdempotencyKeyHeader)) {
    return NotRun(400,
                  Reason::MissingIdempotencyKey,
                  "a non-idempotent request needs Idempotency-Key: <unix seconds>-<random>");
  }
  return request;
}

OrRefusal<std::string> RequestResolver::Authenticate(const HttpRequestHead& head,
                                                     const ResolvedRequest& request) const
{
  if (request.requestClass->openToAll) {
    return std::string();
  }
  const auto key = head.headers.Find(kKeyHeader);
  if (!key || key->empty()) {
    return NotRun(401, Reason::MissingKey, "send the client account's key in Acp-Key");
  }
  if (IsKeyElsewhere(head, *key)) {
    return NotRun(400, Reason::KeyInUrl, "the key may stand in Acp-Key only");
  }
  auto account = view_.CheckKey(*key);
  if (!account) {
    return NotRun(401, Reason::InvalidKey, "the key is not in force");
  }
  if (request.document->LimitOf(*account) == nullptr) {
    return NotRun(403,
                  Reason::AccountNotListed,
                  fmt::format("'{}' has no rate for service '{}'", *account, request.service));
  }
  return *std::move(account);
}

} // namespace acp::detail
