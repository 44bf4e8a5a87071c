#include "acaciapulley/node/detail/request_resolver.hpp"

#include <algorithm>   // all_of, min
#include <cctype>      // tolower
#include <string_view> // string_view
#include <utility>     // move

#include <fmt/format.h> // format

#include "acaciapulley/node/detail/headers.hpp" // kKeyHeader, kIdempotencyKeyHeader

namespace acp::detail {

namespace {

constexpr Duration kStaleRetryAfter = std::chrono::seconds(1);

// Common servers and log tools do not decode further rounds of percent-encoding.
constexpr int kMaxDecodeRounds = 3;
constexpr std::string_view kKeyPrefix = "acp_"; // as written by GenerateKey
constexpr std::size_t kKeyDigits = 64;

int HexValue(char c)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  const auto position = kDigits.find(lower);
  return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

/// Decodes one round of percent-encoding; invalid escape sequences stay unchanged.
std::string PercentDecoded(const std::string& text)
{
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool isCode = text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
                        HexValue(text[i + 2]) >= 0;
    decoded +=
      isCode ? static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2])) : text[i];
    i += isCode ? 2 : 0;
  }
  return decoded;
}

/// Matches the key of any account, valid or not, since this node may not know it yet.
bool HasKeyForm(const std::string& text)
{
  for (auto at = text.find(kKeyPrefix); at != std::string::npos;
       at = text.find(kKeyPrefix, at + 1)) {
    const std::string digits = text.substr(at + kKeyPrefix.size(), kKeyDigits);
    const bool areHex =
      std::all_of(digits.begin(), digits.end(), [](char c) { return HexValue(c) >= 0; });
    if (digits.size() == kKeyDigits && areHex) {
      return true;
    }
  }
  return false;
}

bool ContainsKey(std::string text, const std::string& sentKey)
{
  for (int round = 0; round <= kMaxDecodeRounds; ++round) {
    if (HasKeyForm(text) || (!sentKey.empty() && text.find(sentKey) != std::string::npos)) {
      return true;
    }
    if (text.find('%') == std::string::npos) {
      return false;
    }
    text = PercentDecoded(text);
  }
  return false;
}

/// Searches the URL and all other fields, which the upstream receives and may log.
bool HasKeyOutsideKeyHeader(const HttpRequestHead& head, const std::string& sentKey)
{
  if (ContainsKey(head.target, sentKey)) {
    return true;
  }
  for (const auto& [name, value] : head.headers.Fields()) {
    const bool isOther = !EqualsIgnoreCase(name, kKeyHeader);
    if (isOther && (ContainsKey(name, sentKey) || ContainsKey(value, sentKey))) {
      return true;
    }
  }
  return false;
}

} // namespace

RequestResolver::RequestResolver(const StateCache& stateCache, const Clock& clock)
  : stateCache_(stateCache)
  , clock_(clock)
{
}

OrRefusal<void> RequestResolver::CheckFreshness(const RequestClass& requestClass) const
{
  const Duration bound = requestClass.openToAll ? kOpenMaxStateAge : kKeyedMaxStateAge;
  if (!stateCache_.IsFresh(clock_.Now(), bound)) {
    return NotRunRefusal(503,
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
    return NotRunRefusal(400, Reason::BadRequest, "the request target must start with /");
  }
  ResolvedRequest request;
  const std::size_t serviceEnd = std::min(head.target.find_first_of("/?", 1), head.target.size());
  request.service = head.target.substr(1, serviceEnd - 1);
  request.upstreamTarget = head.target.substr(serviceEnd);
  if (!request.upstreamTarget.starts_with('/')) {
    request.upstreamTarget = '/' + request.upstreamTarget;
  }
  if (stateCache_.Version() == 0) {
    return NotRunRefusal(503, Reason::StaleState, "this node has no state yet", kStaleRetryAfter);
  }
  request.document = stateCache_.DocumentOf(request.service);
  if (!request.document) {
    return NotRunRefusal(
      404, Reason::UnknownService, "no service is named '" + request.service + "'");
  }
  const std::string path = request.upstreamTarget.substr(0, request.upstreamTarget.find('?'));
  request.requestClass = request.document->Match(head.method, path);
  if (request.requestClass == nullptr) {
    return NotRunRefusal(
      404,
      Reason::UnknownRoute,
      fmt::format("no request class of '{}' matches the request", request.service));
  }
  if (bodyLength > request.requestClass->maxBodyBytes) {
    return NotRunRefusal(413,
                         Reason::TooLarge,
                         fmt::format("the body has {} bytes, at most {} are allowed",
                                     bodyLength,
                                     request.requestClass->maxBodyBytes));
  }
  if (!request.requestClass->idempotent && !head.headers.Find(kIdempotencyKeyHeader)) {
    return NotRunRefusal(400,
                         Reason::MissingIdempotencyKey,
                         "a non-idempotent request needs Idempotency-Key: <unix seconds>-<random>");
  }
  return request;
}

OrRefusal<std::string> RequestResolver::Authenticate(const HttpRequestHead& head,
                                                     const ResolvedRequest& request) const
{
  const auto key = head.headers.Find(kKeyHeader);
  if (HasKeyOutsideKeyHeader(head, key.value_or(""))) {
    return NotRunRefusal(400, Reason::KeyInUrl, "the key is allowed in Acp-Key only");
  }
  if (request.requestClass->openToAll) {
    return std::string();
  }
  if (!key || key->empty()) {
    return NotRunRefusal(401, Reason::MissingKey, "send the client account's key in Acp-Key");
  }
  auto account = stateCache_.FindAccountByKey(*key);
  if (!account) {
    return NotRunRefusal(401, Reason::InvalidKey, "the key is not valid");
  }
  if (request.document->FindLimit(*account) == nullptr) {
    return NotRunRefusal(
      403,
      Reason::AccountNotListed,
      fmt::format("'{}' has no rate for service '{}'", *account, request.service));
  }
  return *std::move(account);
}

} // namespace acp::detail
