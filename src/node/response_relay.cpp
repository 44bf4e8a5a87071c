#include "acaciapulley/node/detail/response_relay.hpp"

#include <array> // array

#include <openssl/evp.h> // EVP_DigestUpdate, EVP_MD_CTX_new

#include "acaciapulley/core/outcome.hpp"        // NameOf, RequestOutcome
#include "acaciapulley/node/detail/headers.hpp" // kOutcomeHeader

namespace acp::detail {

namespace {

constexpr std::size_t kMaxMessageBytes = 4096;
constexpr std::size_t kDiscardBufferBytes = 4096;
// Longest time to read the body of a response that is not delivered.
constexpr Duration kMessageTimeout = std::chrono::milliseconds(250);
constexpr int kServiceUnavailable = 503;

} // namespace

ObservedBody::ObservedBody(BodySource& source, const ServerExchange& exchange)
  : source_(source)
  , exchange_(exchange)
{
}

std::size_t ObservedBody::Read(char* buffer, std::size_t size)
{
  try {
    return source_.Read(buffer, size);
  } catch (const BodyTruncated&) {
    // Checked here, since the connection to the caller is shut down after a truncated body.
    hasFailed_ = !exchange_.IsCallerGone();
    throw;
  }
}

/// SHA-256 of the bytes passed on so far.
class RecordingBody::Digest
{
public:
  Digest()
    : context_(EVP_MD_CTX_new())
  {
    EVP_DigestInit_ex(context_, EVP_sha256(), nullptr);
  }
  Digest(const Digest&) = delete;
  Digest& operator=(const Digest&) = delete;
  ~Digest() { EVP_MD_CTX_free(context_); }

  void Update(const char* bytes, std::size_t count) { EVP_DigestUpdate(context_, bytes, count); }

  [[nodiscard]] std::string Value() const
  {
    EVP_MD_CTX* copy = EVP_MD_CTX_new();
    EVP_MD_CTX_copy_ex(copy, context_);
    std::string value(static_cast<std::size_t>(EVP_MD_size(EVP_sha256())), '\0');
    EVP_DigestFinal_ex(copy, reinterpret_cast<unsigned char*>(value.data()), nullptr);
    EVP_MD_CTX_free(copy);
    return value;
  }

private:
  EVP_MD_CTX* context_;
};

RecordingBody::RecordingBody(BodySource& source)
  : source_(source)
  , digest_(std::make_unique<Digest>())
{
}

RecordingBody::~RecordingBody() = default;

std::size_t RecordingBody::Read(char* buffer, std::size_t size)
{
  const std::size_t count = source_.Read(buffer, size);
  digest_->Update(buffer, count);
  if (isKept_ && kept_.size() + count > kMaxOutcomeBodyBytes) {
    isKept_ = false;
    kept_.clear();
  }
  if (isKept_) {
    kept_.append(buffer, count);
  }
  return count;
}

RecordedOutcome RecordingBody::ToOutcome(const HttpResponseHead& head) const
{
  return { .status = head.status,
           .contentType = head.headers.Find("Content-Type").value_or(""),
           .body = kept_,
           .isBodyKept = isKept_,
           .bodyDigest = digest_->Value() };
}

bool DiscardBody(BodySource& body)
{
  std::array<char, kDiscardBufferBytes> discarded; // NOLINT(cppcoreguidelines-pro-type-member-init)
  try {
    while (body.Read(discarded.data(), discarded.size()) > 0) {
    }
    return true;
  } catch (const BodyTruncated&) {
    return false;
  }
}

HttpTranslation AttemptEchoTranslation()
{
  const auto matchesAttempt = [](const HttpRequestHead& request, const HttpResponseHead& response) {
    const auto echoed = response.headers.Find(kAttemptHeader);
    return !echoed || echoed == request.headers.Find(kAttemptHeader);
  };
  return { .response = matchesAttempt, .idField = kAttemptHeader, .idSource = IdSource::Sender };
}

TransportResult<std::unique_ptr<ClientExchange>> Forward(PendingCall& call,
                                                         HttpPool& pool,
                                                         const HttpRequestHead& head,
                                                         const SendOptions& options)
{
  const Forwarding before = call.forwarding;
  const auto record = [&call](Forwarding forwarding) {
    call.forwarding = forwarding;
    call.exchange.SetForwarding(forwarding);
  };
  record(Forwarding::Unknown);
  auto sent = pool.Send(head, call.body, call.body.Length(), options);
  if (sent) {
    record(Forwarding::Yes);
  } else if (SentNothing(sent.error().code)) {
    record(before);
  }
  return sent;
}

bool ReportsNotRun(const HttpResponseHead& head)
{
  // With another status, it may be the refusal of a nested call, relayed by an upstream that ran.
  return head.status == kServiceUnavailable &&
         head.headers.Find(kOutcomeHeader).value_or("") == NameOf(RequestOutcome::NotRun);
}

std::optional<AttemptResult> DiscardServerErrorForRetry(const PendingCall& call,
                                                        ClientExchange& response,
                                                        int unusedRetries)
{
  const int status = response.Response().status;
  if (status < kMinServerErrorStatus || !call.tryRetryServerError || !call.tryRetryServerError()) {
    return std::nullopt;
  }
  // The body is read to its end, so that the connection can be reused.
  auto attemptResult = FailedAttempt({ .status = 502,
                                       .outcome = RequestOutcome::Unknown,
                                       .reason = Reason::RetriesExhausted,
                                       .message = ReadMessage(response) },
                                     false,
                                     unusedRetries);
  attemptResult.callResult = CallResult::ServerError;
  attemptResult.isRetryTaken = true;
  return attemptResult;
}

std::string ReadMessage(ClientExchange& response)
{
  response.SetBodyTimeout(kMessageTimeout);
  try {
    std::string message = ReadAll(response.Body(), kMaxMessageBytes).value_or("refused");
    while (message.ends_with('\n')) {
      message.pop_back();
    }
    return message;
  } catch (const BodyTruncated&) {
    return "refused";
  }
}

} // namespace acp::detail
