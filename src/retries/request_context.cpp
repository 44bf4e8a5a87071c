#include "acaciapulley/retries/request_context.hpp"

#include <algorithm> // all_of
#include <array>     // array
#include <charconv>  // from_chars
#include <stdexcept> // invalid_argument, runtime_error
#include <utility>   // move
#include <vector>    // vector

#include <fmt/format.h>         // format
#include <openssl/core_names.h> // OSSL_MAC_PARAM_DIGEST
#include <openssl/crypto.h>     // CRYPTO_memcmp
#include <openssl/evp.h>        // EVP_EncodeBlock, EVP_MAC_CTX_new
#include <openssl/params.h>     // OSSL_PARAM

namespace acp {

namespace {

constexpr std::string_view kVersionPrefix = "v1.";
constexpr char kFieldSeparator = '|';
constexpr std::string_view kEscapedSeparator = "%7C";
constexpr std::string_view kEscapedPercent = "%25";
constexpr std::size_t kFieldCount = 9;
constexpr std::size_t kRootIdDigits = 32;
constexpr std::size_t kHopIdDigits = 16;
constexpr int kMaxPriorityValue = 9;

/// HMAC-SHA256 that fetches its algorithm once, because the fetch takes longer than a signature.
class Hmac
{
public:
  Hmac()
    : mac_(EVP_MAC_fetch(nullptr, "HMAC", nullptr))
    , context_(EVP_MAC_CTX_new(mac_))
  {
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters = { OSSL_PARAM_construct_utf8_string(
                                                     OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
                                                   OSSL_PARAM_construct_end() };
    Check(context_ != nullptr && EVP_MAC_CTX_set_params(context_, parameters.data()) == 1);
  }
  Hmac(const Hmac&) = delete;
  Hmac& operator=(const Hmac&) = delete;
  ~Hmac()
  {
    EVP_MAC_CTX_free(context_);
    EVP_MAC_free(mac_);
  }

  /// @throw std::runtime_error when the cryptographic library fails
  std::string Sign(const std::string& secret, std::string_view payload)
  {
    std::string signature(EVP_MAX_MD_SIZE, '\0');
    std::size_t length = 0;
    Check(EVP_MAC_init(context_, Bytes(secret), secret.size(), nullptr) == 1);
    Check(EVP_MAC_update(context_, Bytes(payload), payload.size()) == 1);
    auto* out = reinterpret_cast<unsigned char*>(signature.data());
    Check(EVP_MAC_final(context_, out, &length, signature.size()) == 1);
    signature.resize(length);
    return signature;
  }

private:
  static const unsigned char* Bytes(std::string_view text)
  {
    return reinterpret_cast<const unsigned char*>(text.data());
  }

  static void Check(bool isDone)
  {
    if (!isDone) {
      throw std::runtime_error("no HMAC-SHA256 available from the cryptographic library");
    }
  }

  EVP_MAC* mac_;
  EVP_MAC_CTX* context_;
};

Hmac& HmacOfThread()
{
  thread_local Hmac hmac;
  return hmac;
}

std::string ToBase64Url(std::string_view bytes)
{
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  while (!text.empty() && text.back() == '=') {
    text.pop_back();
  }
  for (char& c : text) {
    if (c == '+') {
      c = '-';
    } else if (c == '/') {
      c = '_';
    }
  }
  return text;
}

bool FromBase64Url(std::string_view text, std::string* bytes)
{
  std::string padded(text);
  for (char& c : padded) {
    if (c == '-') {
      c = '+';
    } else if (c == '_') {
      c = '/';
    }
  }
  const std::size_t padding = (4 - padded.size() % 4) % 4;
  padded.append(padding, '=');
  bytes->assign(padded.size() / 4 * 3, '\0');
  const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes->data()),
                                     reinterpret_cast<const unsigned char*>(padded.data()),
                                     static_cast<int>(padded.size()));
  if (length < 0 || padding > 2) {
    return false;
  }
  bytes->resize(static_cast<std::size_t>(length) - padding);
  return true;
}

std::vector<std::string_view> SplitFields(std::string_view payload)
{
  std::vector<std::string_view> fields;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = payload.find(kFieldSeparator, start);
    fields.push_back(payload.substr(start, end - start));
    if (end == std::string_view::npos) {
      return fields;
    }
    start = end + 1;
  }
}

template<typename Number>
bool ReadNumber(std::string_view text, Number* number)
{
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), *number);
  return error == std::errc() && rest == text.data() + text.size();
}

bool IsHexadecimal(std::string_view text, std::size_t length)
{
  return text.size() == length &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool IsName(std::string_view text)
{
  return text.size() <= kMaxContextNameBytes &&
         std::all_of(
           text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

/// Percent-encodes the field separator and the percent sign.
std::string EscapeName(std::string_view name)
{
  std::string escaped;
  for (const char c : name) {
    if (c == kFieldSeparator || c == '%') {
      escaped += c == '%' ? kEscapedPercent : kEscapedSeparator;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string UnescapeName(std::string_view escaped)
{
  std::string name;
  while (!escaped.empty()) {
    const bool isSeparator = escaped.starts_with(kEscapedSeparator);
    const bool isPercent = escaped.starts_with(kEscapedPercent);
    name += isSeparator ? kFieldSeparator : isPercent ? '%' : escaped.front();
    escaped.remove_prefix(isSeparator || isPercent ? kEscapedPercent.size() : 1);
  }
  return name;
}

bool IsValid(const RequestContext& context)
{
  return IsHexadecimal(context.rootId, kRootIdDigits) &&
         IsHexadecimal(context.hopId, kHopIdDigits) && IsName(context.account) &&
         IsName(context.issuer) && !context.issuer.empty() && context.priority >= 0 &&
         context.priority <= kMaxPriorityValue && context.retriesLeft >= 0 &&
         context.retriesLeft <= kMaxRetryBudget;
}

bool ReadPayload(std::string_view payload, RequestContext* context)
{
  const auto fields = SplitFields(payload);
  if (fields.size() != kFieldCount) {
    return false;
  }
  context->rootId = fields[0];
  context->hopId = fields[1];
  context->account = UnescapeName(fields[2]);
  context->idempotent = fields[4] == "1";
  context->issuer = UnescapeName(fields[7]);
  std::int64_t deadline = 0;
  const bool numbersRead =
    ReadNumber(fields[3], &context->priority) && ReadNumber(fields[5], &deadline) &&
    ReadNumber(fields[6], &context->retriesLeft) && ReadNumber(fields[8], &context->issuerEpoch);
  context->deadline = ToUnixMillis(deadline);
  const bool flagRead = fields[4] == "0" || fields[4] == "1";
  return numbersRead && flagRead && IsValid(*context);
}

} // namespace

ContextSigner::ContextSigner(std::string secret)
  : secret_([secret = std::move(secret)] { return secret; })
{
}

ContextSigner::ContextSigner(std::function<std::string()> secret)
  : secret_(std::move(secret))
{
}

std::string ContextSigner::Signature(std::string_view payload) const
{
  return ToBase64Url(HmacOfThread().Sign(secret_(), payload));
}

std::string ContextSigner::Sign(const RequestContext& context) const
{
  if (!IsValid(context)) {
    throw std::invalid_argument("a field of the request context is out of range");
  }
  const std::string payload = fmt::format("{}|{}|{}|{}|{}|{}|{}|{}|{}",
                                          context.rootId,
                                          context.hopId,
                                          EscapeName(context.account),
                                          context.priority,
                                          context.idempotent ? 1 : 0,
                                          CountMillis(context.deadline),
                                          context.retriesLeft,
                                          EscapeName(context.issuer),
                                          context.issuerEpoch);
  const std::string encoded = ToBase64Url(payload);
  return std::string(kVersionPrefix) + encoded + "." + Signature(encoded);
}

RetriesResult<RequestContext> ContextSigner::Verify(std::string_view text, UnixMillis now) const
{
  if (text.size() > kMaxContextBytes) {
    return Fail(RetriesErrorCode::MalformedContext,
                "the request context is longer than 1024 bytes");
  }
  const std::size_t dot = text.rfind('.');
  if (!text.starts_with(kVersionPrefix) || dot < kVersionPrefix.size()) {
    return Fail(RetriesErrorCode::MalformedContext,
                "the request context is not of the form v1.payload.signature");
  }
  const auto encoded = text.substr(kVersionPrefix.size(), dot - kVersionPrefix.size());
  const auto given = text.substr(dot + 1);
  const std::string expected = Signature(encoded);
  const bool matches = given.size() == expected.size() &&
                       CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
  if (!matches) {
    return Fail(RetriesErrorCode::InvalidSignature,
                "the request context is not signed with the fleet secret");
  }
  std::string payload;
  RequestContext context;
  if (!FromBase64Url(encoded, &payload) || !ReadPayload(payload, &context)) {
    return Fail(RetriesErrorCode::MalformedContext,
                "the payload of the request context cannot be read");
  }
  if (CountMillis(now) > CountMillis(context.deadline) + kMaxClockSkew.count()) {
    return Fail(RetriesErrorCode::ExpiredContext, "the deadline has passed");
  }
  return context;
}

} // namespace acp
