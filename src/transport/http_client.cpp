#include "acaciapulley/transport/http_client.hpp"

#include <algorithm> // max
#include <array>     // array
#include <atomic>    // atomic
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move

#include <fmt/format.h> // format

#include "acaciapulley/transport/detail/http_framing.hpp" // FormatRequestHead, FramedBody
#include "acaciapulley/transport/detail/pool_core.hpp"    // PoolCore, PoolMaintainer

namespace acp {

namespace {

using detail::IoStatus;
using detail::PoolCore;
using detail::PooledConnection;
using detail::SteadyNow;

constexpr std::size_t kCopyBytes = 16'384;
constexpr int kMaxInterimResponses = 8;
// A peer that refuses a request early sends a response before it closes.
constexpr Duration kEarlyResponseTimeout = std::chrono::milliseconds(100);

using ExchangePtr = std::unique_ptr<ClientExchange>;

/// A response on a pooled connection.
class PooledExchange final
  : public ClientExchange
  , public BodySource
{
public:
  PooledExchange(std::shared_ptr<PoolCore> pool,
                 PoolCore::ConnectionPtr connection,
                 HttpResponseHead head,
                 const detail::MessageFraming& framing,
                 bool echoesId,
                 const SendOptions& options)
    : pool_(std::move(pool))
    , connection_(std::move(connection))
    , head_(std::move(head))
    , framing_(framing)
    , echoesId_(echoesId)
    , body_(connection_->io,
            framing.bodyLength,
            options.bodyIdleTimeout.count() > 0 ? options.bodyIdleTimeout : options.timeout)
  {
    if (options.bodyTimeout > Duration::zero()) {
      SetBodyTimeout(options.bodyTimeout);
    }
    if (!options.waitsAfterDisconnect) {
      onCallerGone_.emplace(options.callerGone, [this] { AbortIfUnread(); });
    }
  }
  PooledExchange(const PooledExchange&) = delete;
  PooledExchange& operator=(const PooledExchange&) = delete;

  ~PooledExchange() override
  {
    onCallerGone_.reset();
    if (body_.IsComplete() && framing_.keepAlive && !aborted_) {
      pool_->Release(std::move(connection_));
    } else {
      pool_->Close(std::move(connection_), CloseReason());
    }
  }

  [[nodiscard]] const HttpResponseHead& Response() const override { return head_; }
  [[nodiscard]] std::int64_t BodyLength() const override
  {
    return std::max(framing_.bodyLength, detail::kChunked);
  }
  BodySource& Body() override { return *this; }

  std::size_t Read(char* buffer, std::size_t size) override
  {
    if (aborted_) {
      throw BodyTruncated{};
    }
    const std::size_t count = body_.Read(buffer, size);
    isRead_ = body_.IsComplete();
    return count;
  }

  void SetBodyTimeout(Duration span) final { body_.SetDeadline(SteadyNow() + span); }
  [[nodiscard]] bool EchoesId() const override { return echoesId_; }
  void CloseAfterUse() override { framing_.keepAlive = false; }

  void Abort() override
  {
    aborted_ = true;
    connection_->io.Shutdown();
  }

private:
  [[nodiscard]] ConnectionEvent CloseReason() const
  {
    if (aborted_) {
      return ConnectionEvent::Cancelled;
    }
    return body_.IsComplete() ? ConnectionEvent::NotKept : ConnectionEvent::Unread;
  }

  /// A connection whose response has been read completely stays in the pool.
  void AbortIfUnread()
  {
    if (!isRead_) {
      Abort();
    }
  }

  std::shared_ptr<PoolCore> pool_;
  PoolCore::ConnectionPtr connection_;
  HttpResponseHead head_;
  detail::MessageFraming framing_;
  bool echoesId_;
  detail::FramedBody body_;
  std::atomic<bool> isRead_{ false };
  std::atomic<bool> aborted_{ false };
  std::optional<std::stop_callback<std::function<void()>>> onCallerGone_;
};

/// One call of HttpPool::Send.
class Call
{
public:
  Call(std::shared_ptr<PoolCore> pool,
       const HttpRequestHead& head,
       BodySource& body,
       std::int64_t bodyLength,
       const SendOptions& options)
    : pool_(std::move(pool))
    , head_(head)
    , body_(body)
    , bodyLength_(bodyLength)
    , options_(options)
    , deadline_(SteadyNow() + options.timeout)
  {
    const auto& translation = pool_->Options().translation;
    if (translation.request) {
      translation.request(head_);
    }
    if (RequiresEchoedId()) {
      id_ = head_.headers.Find(translation.idField);
    }
  }

  TransportResult<ExchangePtr> Run()
  {
    try {
      BufferBodyStart();
    } catch (const BodyTruncated&) {
      return Fail(TransportErrorCode::Unreachable,
                  "the request body ended early; request not sent");
    } catch (const BodyTooLarge&) {
      return Fail(TransportErrorCode::BodyTooLarge,
                  "the request body is too large; request not sent");
    }
    const std::string start = FormatStart();
    // The peer may just have closed a reused connection. Another one is tried as long as the kernel
    // has not accepted any byte.
    while (true) {
      auto acquired = AcquireConnection();
      if (!acquired) {
        return boost::outcome_v2::failure(acquired.error());
      }
      auto connection = std::move(acquired).value();
      if (IsCallerGone()) {
        pool_->Release(std::move(connection));
        return Fail(TransportErrorCode::Abandoned,
                    AddressText() + ": the caller disconnected; request not sent");
      }
      if (options_.maySend && !options_.maySend()) {
        pool_->Release(std::move(connection));
        return Fail(TransportErrorCode::Withheld, AddressText() + ": request not sent");
      }
      const std::uint64_t sentBefore = connection->io.SentBytes();
      const bool wasReused = sentBefore > 0;
      isFirstOnConnection_ = !wasReused;
      if (id_) {
        connection->ids.Add(*id_);
      }
      const IoStatus status = connection->io.Write(start, bodyStart_, deadline_);
      if (status == IoStatus::Ok || connection->io.SentBytes() != sentBefore) {
        return Finish(std::move(connection), status);
      }
      pool_->Close(std::move(connection),
                   wasReused ? ConnectionEvent::Stale : ConnectionEvent::Broken);
      if (!wasReused) {
        return Fail(TransportErrorCode::Unreachable,
                    AddressText() + ": closed before anything was sent");
      }
    }
  }

private:
  [[nodiscard]] bool IsCallerGone() const
  {
    return options_.callerGone.stop_requested() ||
           (options_.isCallerGone && options_.isCallerGone());
  }

  /// Returns the token that ends waits on the connection when the caller disconnects.
  [[nodiscard]] std::stop_token WaitStopToken() const
  {
    return options_.waitsAfterDisconnect ? std::stop_token() : options_.callerGone;
  }

  /// Returns whether each response must echo the id of its request.
  [[nodiscard]] bool RequiresEchoedId() const
  {
    const auto& translation = pool_->Options().translation;
    return !translation.idField.empty() && translation.idSource == IdSource::Caller;
  }

  /// Acquires a connection on which no late response to an earlier attempt of the request can
  /// arrive.
  TransportResult<PoolCore::ConnectionPtr> AcquireConnection()
  {
    while (true) {
      auto acquired = pool_->Acquire(deadline_, options_);
      if (!acquired || !id_ || !acquired.value()->ids.Contains(*id_)) {
        return acquired;
      }
      pool_->Close(std::move(acquired).value(), ConnectionEvent::NotKept);
    }
  }

  [[nodiscard]] std::string AddressText() const { return pool_->Options().address.ToString(); }

  /// Buffers a small body completely, so that it is sent in one packet with its head.
  void BufferBodyStart()
  {
    std::array<char, kCopyBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (bodyStart_.size() < kCopyBytes && !isBodyBuffered_) {
      isBodyBuffered_ = static_cast<std::int64_t>(bodyStart_.size()) == bodyLength_;
      const std::size_t count =
        isBodyBuffered_ ? 0 : body_.Read(buffer.data(), kCopyBytes - bodyStart_.size());
      isBodyBuffered_ = isBodyBuffered_ || count == 0;
      bodyStart_.append(buffer.data(), count);
    }
    isBodyBuffered_ =
      isBodyBuffered_ || static_cast<std::int64_t>(bodyStart_.size()) == bodyLength_;
  }

  std::string FormatStart()
  {
    if (isBodyBuffered_) {
      bodyLength_ = static_cast<std::int64_t>(bodyStart_.size());
    }
    std::string start = detail::FormatRequestHead(head_, AddressText(), bodyLength_);
    if (bodyLength_ < 0) {
      start += detail::FormatChunkStart(bodyStart_.size());
      bodyStart_ += "\r\n";
    }
    return start;
  }

  IoStatus SendRest(PooledConnection& connection)
  {
    const bool isChunked = bodyLength_ < 0;
    std::array<char, kCopyBytes + 2> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (const std::size_t count = body_.Read(buffer.data(), kCopyBytes)) {
      const std::string start = isChunked ? detail::FormatChunkStart(count) : "";
      buffer[count] = '\r';
      buffer[count + 1] = '\n';
      const std::string_view part(buffer.data(), isChunked ? count + 2 : count);
      const IoStatus status = connection.io.Write(start, part, deadline_);
      if (status != IoStatus::Ok) {
        return status;
      }
    }
    return isChunked ? connection.io.Write("0\r\n\r\n", {}, deadline_) : IoStatus::Ok;
  }

  /// Sends the rest of the body and waits for the response. From here on the request may have
  /// arrived.
  TransportResult<ExchangePtr> Finish(PoolCore::ConnectionPtr connection, IoStatus status)
  {
    try {
      if (status == IoStatus::Ok && !isBodyBuffered_) {
        status = SendRest(*connection);
      }
    } catch (const BodyTruncated&) {
      return CloseAndFail(std::move(connection), IoStatus::Failed, "the request body ended early");
    } catch (const BodyTooLarge&) {
      return CloseAndFail(std::move(connection), IoStatus::Failed, "the request body is too large");
    }
    const bool isFullySent = status == IoStatus::Ok;
    if (!isFullySent && status != IoStatus::Failed) {
      return CloseAndFail(std::move(connection), status, "while sending");
    }
    return Receive(std::move(connection), isFullySent);
  }

  /// The head of a response, or the reason why there is none.
  struct ReceivedHead
  {
    IoStatus status = IoStatus::Failed;
    std::string errorText = "too many interim responses";
    HttpResponseHead head;
    detail::MessageFraming framing;
  };

  ReceivedHead ReadResponseHead(PooledConnection& connection, bool isFullySent)
  {
    const std::stop_callback onCallerGone(WaitStopToken(),
                                          [&connection] { connection.io.Shutdown(); });
    const TimePoint deadline = isFullySent ? deadline_ : SteadyNow() + kEarlyResponseTimeout;
    for (int i = 0; i < kMaxInterimResponses; ++i) {
      ReceivedHead received;
      std::string text;
      const std::size_t maxBytes = pool_->Options().maxHeadBytes;
      const IoStatus status = connection.io.ReadHead(maxBytes, deadline, &text);
      if (status == IoStatus::TooLarge) {
        return { .errorText =
                   fmt::format("the head of the response is larger than {} bytes", maxBytes) };
      }
      if (status != IoStatus::Ok) {
        return { .status = isFullySent ? status : IoStatus::Failed, .errorText = "no answer" };
      }
      if (auto errorText =
            detail::ParseResponseHead(text, head_.method, &received.head, &received.framing)) {
        return { .errorText = *errorText };
      }
      if (received.head.status >= 200) {
        received.status = IoStatus::Ok;
        return received;
      }
    }
    return {};
  }

  TransportResult<ExchangePtr> Receive(PoolCore::ConnectionPtr connection, bool isFullySent)
  {
    ReceivedHead received = ReadResponseHead(*connection, isFullySent);
    if (received.status != IoStatus::Ok) {
      return CloseAndFail(std::move(connection), received.status, received.errorText);
    }
    const auto& translation = pool_->Options().translation;
    const bool echoesId =
      !translation.idField.empty() && received.head.headers.Find(translation.idField).has_value();
    if (translation.response && !translation.response(head_, received.head)) {
      return CloseAndFail(
        std::move(connection), IoStatus::Failed, "the response belongs to another request");
    }
    if (RequiresEchoedId() && !echoesId && !isFirstOnConnection_) {
      return CloseAndFail(
        std::move(connection), IoStatus::Failed, "a response without id on a reused connection");
    }
    // A duplicate of a response without id would be taken for the response to the next request.
    const bool isReusable = !RequiresEchoedId() || (echoesId && !connection->ids.IsFull());
    received.framing.keepAlive = received.framing.keepAlive && isFullySent && isReusable;
    pool_->RecordResponse(*connection);
    return ExchangePtr(std::make_unique<PooledExchange>(pool_,
                                                        std::move(connection),
                                                        std::move(received.head),
                                                        received.framing,
                                                        echoesId,
                                                        options_));
  }

  TransportResult<ExchangePtr> CloseAndFail(PoolCore::ConnectionPtr connection,
                                            IoStatus status,
                                            const std::string& what)
  {
    const bool isCancelled = WaitStopToken().stop_requested();
    if (status == IoStatus::TimedOut && !isCancelled) {
      pool_->RecordTimeout(*connection);
    }
    TransportErrorCode code = TransportErrorCode::ConnectionLost;
    ConnectionEvent reason = ConnectionEvent::Broken;
    if (isCancelled) {
      code = TransportErrorCode::Cancelled;
      reason = ConnectionEvent::Cancelled;
    } else if (status == IoStatus::TimedOut) {
      code = TransportErrorCode::Timeout;
      reason = ConnectionEvent::TimedOut;
    }
    pool_->Close(std::move(connection), reason);
    return Fail(code, AddressText() + ": " + what);
  }

  std::shared_ptr<PoolCore> pool_;
  HttpRequestHead head_;
  BodySource& body_;
  std::int64_t bodyLength_;
  const SendOptions& options_;
  TimePoint deadline_;
  std::optional<std::string> id_;    ///< see HttpTranslation::idField
  bool isFirstOnConnection_ = false; ///< nothing was sent on the connection before this request
  std::string bodyStart_;            ///< first part of the body
  bool isBodyBuffered_ = false;
};

} // namespace

HttpPool::HttpPool(HttpPoolOptions options)
  : core_(std::make_shared<PoolCore>(std::move(options)))
{
  detail::PoolMaintainer::Instance().Add(core_);
}

HttpPool::~HttpPool() = default;

TransportResult<std::unique_ptr<ClientExchange>> HttpPool::Send(const HttpRequestHead& head,
                                                                BodySource& body,
                                                                std::int64_t bodyLength,
                                                                const SendOptions& options)
{
  return Call(core_, head, body, bodyLength, options).Run();
}

TransportResult<std::unique_ptr<ClientExchange>> HttpPool::Send(const HttpRequestHead& head,
                                                                BodySource& body,
                                                                std::int64_t bodyLength,
                                                                Duration timeout)
{
  return Send(head, body, bodyLength, SendOptions{ .timeout = timeout });
}

int HttpPool::OpenConnections() const
{
  return core_->OpenConnections();
}

} // namespace acp
