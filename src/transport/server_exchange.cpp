#include "acaciapulley/transport/detail/server_exchange.hpp"

#include <algorithm> // max, min
#include <array>     // array
#include <cstdint>   // int64_t
#include <optional>  // nullopt
#include <utility>   // exchange, move, swap

#include "acaciapulley/core/outcome.hpp" // Reason, RequestOutcome

namespace acp::detail {

namespace {

constexpr std::size_t kCopyBytes = 16'384;
constexpr std::size_t kSendBytes = 65'536;
// Maximum remainder of a request body that is discarded to reuse the connection.
constexpr std::size_t kMaxDiscardedBytes = 262'144;
// Slower readers would occupy a slot of an upstream for minutes.
constexpr double kMinBytesPerSecond = 65'536.0;
constexpr int kInternalServerError = 500;
constexpr int kBadGateway = 502;

/// A body that counts as truncated if its length differs from that declared in the response head.
class LengthCheckedBody final : public BodySource
{
public:
  /// @param length in bytes, or kChunked when no length is declared
  LengthCheckedBody(BodySource& source, std::int64_t length)
    : source_(source)
    , isDeclared_(length >= 0)
    , remaining_(static_cast<std::size_t>(std::max<std::int64_t>(length, 0)))
  {
  }

  std::size_t Read(char* buffer, std::size_t size) override
  {
    const std::size_t count = source_.Read(buffer, size);
    const bool endsEarly = count == 0 && remaining_ > 0;
    if (isDeclared_ && (endsEarly || count > remaining_)) {
      throw BodyTruncated{};
    }
    remaining_ -= isDeclared_ ? count : 0;
    return count;
  }

private:
  BodySource& source_;
  bool isDeclared_;
  std::size_t remaining_;
};

bool HasConnectionClose(const HttpResponseHead& head)
{
  return EqualsIgnoreCase(head.headers.Find("Connection").value_or(""), "close");
}

} // namespace

ConnectionExchange::ConnectionExchange(HttpConnection& connection,
                                       const HttpServerOptions& options,
                                       HttpRequestHead head,
                                       const MessageFraming& framing,
                                       std::stop_token callerGone,
                                       ExchangeHooks hooks)
  : connection_(connection)
  , options_(options)
  , head_(std::move(head))
  , framing_(framing)
  , body_(connection, framing.bodyLength, options.bodyIdleTimeout)
  , callerGone_(std::move(callerGone))
  , hooks_(std::move(hooks))
  , isFirst_(connection.SentBytes() == 0 && !hooks_.isAhead)
  , isReusable_(framing.keepAlive)
  , responseStart_(connection.SentBytes())
{
  if (framing_.expectsContinue) {
    body_.OnFirstRead([this] { Send(FormatContinue(), {}); });
  }
}

bool ConnectionExchange::AwaitTurn()
{
  if (hooks_.beginResponse && !std::exchange(hooks_.beginResponse, nullptr)()) {
    isDropped_ = true;
  }
  responseStart_ = connection_.SentBytes();
  return !isDropped_;
}

bool ConnectionExchange::Send(std::string_view first, std::string_view second)
{
  if (isDropped_) {
    // Not by IsPeerGone(): the connection may have been shut down on this side.
    end_ = droppedEnd_;
    return false;
  }
  IoStatus status = IoStatus::Ok;
  while (status == IoStatus::Ok && (!first.empty() || !second.empty())) {
    const auto sent = static_cast<double>(connection_.SentBytes() - responseStart_);
    const std::chrono::duration<double> allowedTime(sent / kMinBytesPerSecond);
    const Duration left =
      options_.slowReaderGrace + std::chrono::duration_cast<Duration>(allowedTime) - sendTime_;
    const std::string_view part = second.substr(0, kSendBytes);
    const TimePoint start = SteadyNow();
    // Bytes in kernel buffers count as read by the caller, so each part has a limit of its own as
    // well.
    status = connection_.Write(first, part, start + std::min(left, options_.slowReaderGrace));
    sendTime_ += SteadyNow() - start;
    first = {};
    second.remove_prefix(part.size());
  }
  isReusable_ = isReusable_ && status == IoStatus::Ok;
  if (status != IoStatus::Ok) {
    EndUnanswered(status == IoStatus::TimedOut ? RequestEnd::CallerSlow : RequestEnd::CallerGone);
  }
  return status == IoStatus::Ok;
}

void ConnectionExchange::EndUnanswered(RequestEnd end)
{
  isRequestCut_ = isRequestCut_ || end == RequestEnd::RequestCut;
  end_ = connection_.IsPeerGone() ? RequestEnd::CallerGone : end;
}

void ConnectionExchange::Abort()
{
  isAborted_ = true;
  // The callers of earlier requests are still owed their responses.
  AwaitTurn();
  connection_.Shutdown();
}

std::string ConnectionExchange::BeginResponse(const HttpResponseHead& head, std::int64_t length)
{
  hasResponded_ = true;
  status_ = head.status;
  outcome_ = head.headers.Find("Acp-Outcome").value_or("");
  reason_ = head.headers.Find("Acp-Reason").value_or("");
  // A caller that waits for `100 Continue` and receives a final response may or may not send its
  // body.
  const bool bodyIsUncertain = framing_.expectsContinue && !body_.IsComplete();
  const bool isOpen = AwaitTurn();
  // A close would leave the requests without responses that have been started behind this one.
  const bool isCloseWanted = hooks_.isStopping() || HasConnectionClose(head);
  const bool closes = isCloseWanted && !hooks_.hasStartedNext();
  isReusable_ = isOpen && isReusable_ && !closes && !bodyIsUncertain;
  const auto& echoed = options_.echoedField;
  const auto id = echoed.empty() ? std::nullopt : head_.headers.Find(echoed);
  if (!id) {
    return FormatResponseHead(head, length, isReusable_);
  }
  HttpResponseHead headWithId = head;
  headWithId.headers.Set(echoed, *id);
  return FormatResponseHead(headWithId, length, isReusable_);
}

void ConnectionExchange::Respond(const HttpResponseHead& head, const std::string& body)
{
  const std::string start = BeginResponse(head, static_cast<std::int64_t>(body.size()));
  if (Send(start, head_.method == "HEAD" ? std::string_view() : std::string_view(body))) {
    end_ = RequestEnd::Answered;
  }
}

StreamingResult ConnectionExchange::RespondStreaming(const HttpResponseHead& head,
                                                     std::int64_t length,
                                                     BodySource& body,
                                                     const std::function<void()>& beforeLastBytes)
{
  const bool hasNoBody = head_.method == "HEAD" || head.status == 204 || head.status == 304;
  const bool isChunked = length < 0;
  const bool wasReusable = isReusable_;
  std::string start = BeginResponse(head, isChunked ? kChunked : length);
  const std::uint64_t sentBefore = connection_.SentBytes();
  // If the response ends early for any reason, such as an exception, the connection must end too.
  const bool isReusableAfter = std::exchange(isReusable_, false);
  const auto withdrawUnsent = [&] {
    const bool isUnsent = connection_.SentBytes() == sentBefore;
    if (isUnsent) {
      hasResponded_ = false;
      isReusable_ = wasReusable;
      status_ = 0;
      outcome_.clear();
      reason_.clear();
    }
    return isUnsent;
  };
  LengthCheckedBody checkedBody(body, length);
  bool isComplete = false;
  try {
    isComplete = hasNoBody ? SendHead(start, beforeLastBytes)
                           : CopyBody(std::move(start), isChunked, checkedBody, beforeLastBytes);
  } catch (const BodyTruncated&) {
    EndUnanswered(RequestEnd::SourceEnded);
    if (withdrawUnsent()) {
      return StreamingResult::NotStarted;
    }
  } catch (...) {
    withdrawUnsent();
    throw;
  }
  if (!isComplete) {
    // Earlier responses may still be on their way to a caller that reads.
    if (end_ != RequestEnd::SourceEnded && !isDropped_) {
      connection_.Shutdown();
    }
    return StreamingResult::Incomplete;
  }
  end_ = RequestEnd::Answered;
  isReusable_ = isReusableAfter;
  return StreamingResult::Complete;
}

void ConnectionExchange::RespondToFailure()
{
  const RequestEnd end = end_;
  const bool wasForwarded = forwarding_ != Forwarding::No;
  HttpResponseHead head{ .status = wasForwarded ? kBadGateway : kInternalServerError };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set("Connection", "close");
  head.headers.Set("Acp-Outcome", std::string(NameOf(RequestOutcome::Unknown)));
  head.headers.Set("Acp-Reason", std::string(NameOf(Reason::InternalError)));
  Respond(head, "the request failed in this process\n");
  end_ = end;
}

/// Sends @p start as the complete response once @p beforeLastBytes has returned.
bool ConnectionExchange::SendHead(const std::string& start,
                                  const std::function<void()>& beforeLastBytes)
{
  if (beforeLastBytes) {
    beforeLastBytes();
  }
  return Send(start, {});
}

/// Sends @p start and the body; delays the last bytes until @p beforeLastBytes has returned.
bool ConnectionExchange::CopyBody(std::string start,
                                  bool isChunked,
                                  BodySource& body,
                                  const std::function<void()>& beforeLastBytes)
{
  std::array<char, kCopyBytes> held;  // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::array<char, kCopyBytes> ahead; // NOLINT(cppcoreguidelines-pro-type-member-init)
  char* current = held.data();
  char* next = ahead.data();
  std::size_t count = body.Read(current, kCopyBytes);
  while (count > 0) {
    const std::size_t nextCount = body.Read(next, kCopyBytes);
    if (nextCount == 0) {
      break;
    }
    if (isChunked) {
      start += FormatChunkStart(count);
    }
    if (!Send(start, { current, count })) {
      return false;
    }
    start = isChunked ? "\r\n" : "";
    std::swap(current, next);
    count = nextCount;
  }
  if (beforeLastBytes) {
    beforeLastBytes();
  }
  std::string last;
  if (isChunked && count > 0) {
    start += FormatChunkStart(count);
  }
  start.append(current, count);
  if (isChunked) {
    start += count > 0 ? "\r\n0\r\n\r\n" : "0\r\n\r\n";
  }
  return Send(start, {});
}

ServedRequest ConnectionExchange::Served() const
{
  const TimePoint now = SteadyNow();
  return { .status = status_,
           .outcome = outcome_,
           .reason = reason_,
           .duration = now - startedAt_,
           .end = end_,
           .forwarding = forwarding_,
           .connectionAge = now - connection_.CreatedAt(),
           .sentBytes = connection_.SentBytes() - responseStart_,
           .request = &head_.headers };
}

bool ConnectionExchange::FinishRequest()
{
  if (!isReusable_) {
    return false;
  }
  try {
    std::array<char, kCopyBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t discarded = 0;
    while (!body_.IsComplete() && discarded <= kMaxDiscardedBytes) {
      discarded += body_.Read(buffer.data(), buffer.size());
    }
  } catch (const BodyTruncated&) {
    return false;
  }
  return body_.IsComplete();
}

} // namespace acp::detail
