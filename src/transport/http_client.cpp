#include "acaciapulley/transport/http_client.hpp"

#include <algorithm> // max
#include <array>     // array
#include <atomic>    // atomic
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move

#include "acaciapulley/transport/detail/http_framing.hpp" // FormatRequestHead, FramedBody
#include "acaciapulley/transport/detail/pool_core.hpp"    // PoolCore, PoolKeeper

namespace acp {

namespace {

using detail::IoStatus;
using detail::PoolCore;
using detail::PooledConnection;
using detail::SteadyNow;

constexpr std::size_t kCopyBytes = 16'384;
constexpr int kMaxInterimAnswers = 8;
// A peer that refuses a request early answers before it closes.
constexpr Duration kEarlyAnswerTime = std::chrono::milliseconds(100);

using ExchangePtr = std::unique_ptr<ClientExchange>;

/// An answer on a pooled connection.
class PooledExchange final
  : public ClientExchange
  , public BodySource
{
public:
  PooledExchange(std::shared_ptr<PoolCore> pool,
                 PoolCore::ConnectionPtr connection,
                 HttpResponseHead head,
                 const detail::MessageFraming& framing,
                 bool isIdentified,
                 const SendOptions& options)
    : pool_(std::move(pool))
    , connection_(std::move(connection))
    , head_(std::move(head))
    , framing_(framing)
    , isIdentified_(isIdentified)
    , body_(connection_->io,
            framing.bodyLength,
            options.bodySilence.count() > 0 ? options.bodySilence : options.timeout)
  {
    if (options.bodyTime > Duration::zero()) {
      EndBodyWithin(options.bodyTime);
    }
    if (!options.isFollowedToEnd) {
      onGone_.emplace(options.callerGone, [this] { EndUnread(); });
    }
  }
  PooledExchange(const PooledExchange&) = delete;
  PooledExchange& operator=(const PooledExchange&) = delete;

  ~PooledExchange() override
  {
    onGone_.reset();
    if (body_.IsEnded() && framing_.keepAlive && !aborted_) {
      pool_->GiveBack(std::move(connection_));
    } else {
      pool_->Drop(std::move(connection_), WhyDropped());
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
    isRead_ = body_.IsEnded();
    return count;
  }

  void EndBodyWithin(Duration span) final { body_.EndBy(SteadyNow() + span); }
  [[nodiscard]] bool IsIdentified() const override { return isIdentified_; }
  void CloseAfterUse() override { framing_.keepAlive = false; }

  void Abort() override
  {
    aborted_ = true;
    connection_->io.Shutdown();
  }

private:
  [[nodiscard]] ConnectionEvent WhyDropped() const
  {
    if (aborted_) {
      return ConnectionEvent::Cancelled;
    }
    return body_.IsEnded() ? ConnectionEvent::NotKept : ConnectionEvent::Unread;
  }

  /// A connection whose answer has been read whole stays in the pool.
  void EndUnread()
  {
    if (!isRead_) {
      Abort();
    }
  }

  std::shared_ptr<PoolCore> pool_;
  PoolCore::ConnectionPtr connection_;
  HttpResponseHead head_;
  detail::MessageFraming framing_;
  bool isIdentified_;
  detail::FramedBody body_;
  std::atomic<bool> isRead_{ false };
  std::atomic<bool> aborted_{ false };
  std::optional<std::stop_callback<std::function<void()>>> onGone_;
};

/// One call of Send.
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
    if (RequiresIds()) {
      id_ = head_.headers.Find(translation.idField);
    }
  }

  TransportResult<ExchangePtr> Run()
  {
    try {
      ReadFirstPart();
    } catch (const BodyTruncated&) {
      return Fail(TransportErrorCode::Unreachable, "the request's body ended early; not sent");
    } catch (const BodyTooLarge&) {
      return Fail(TransportErrorCode::BodyTooLarge, "the request's body is too large; not sent");
    }
    const std::string start = FormatStart();
    // A reused connection may have been closed by the peer a moment ago. Another one is tried as
    // long as the kernel has taken no byte.
    while (true) {
      auto acquired = AcquireWithoutId();
      if (!acquired) {
        return boost::outcome_v2::failure(acquired.error());
      }
      auto connection = std::move(acquired).value();
      if (IsCallerGone()) {
        pool_->GiveBack(std::move(connection));
        return Fail(TransportErrorCode::Abandoned, Where() + ": the caller left; not sent");
      }
      const std::uint64_t sentBefore = connection->io.SentBytes();
      const bool wasReused = sentBefore > 0;
      isFirst_ = !wasReused;
      if (id_) {
        connection->ids.Add(*id_);
      }
      const IoStatus status = connection->io.Write(start, first_, deadline_);
      if (status == IoStatus::Ok || connection->io.SentBytes() != sentBefore) {
        return Finish(std::move(connection), status);
      }
      pool_->Drop(std::move(connection),
                  wasReused ? ConnectionEvent::Stale : ConnectionEvent::Broken);
      if (!wasReused) {
        return Fail(TransportErrorCode::Unreachable, Where() + ": closed before anything was sent");
      }
    }
  }

private:
  [[nodiscard]] bool IsCallerGone() const
  {
    return options_.callerGone.stop_requested() ||
           (options_.isCallerGone && options_.isCallerGone());
  }

  /// Ends waits on the connection once the caller has gone.
  [[nodiscard]] std::stop_token EndsWait() const
  {
    return options_.isFollowedToEnd ? std::stop_token() : options_.callerGone;
  }

  /// Whether each answer must echo the id of its request.
  [[nodiscard]] bool RequiresIds() const
  {
    const auto& translation = pool_->Options().translation;
    return !translation.idField.empty() && translation.idSource == IdSource::Caller;
  }

  /// Takes a connection on which a late answer to an earlier try of the request cannot arrive.
  TransportResult<PoolCore::ConnectionPtr> AcquireWithoutId()
  {
    while (true) {
      auto acquired = pool_->Acquire(deadline_, options_);
      if (!acquired || !id_ || !acquired.value()->ids.Contain(*id_)) {
        return acquired;
      }
      pool_->Drop(std::move(acquired).value(), ConnectionEvent::NotKept);
    }
  }

  [[nodiscard]] std::string Where() const { return pool_->Options().address.ToString(); }

  /// Reads a small body whole, so that it goes out in one packet with its head.
  void ReadFirstPart()
  {
    std::array<char, kCopyBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (first_.size() < kCopyBytes && !isWhole_) {
      isWhole_ = static_cast<std::int64_t>(first_.size()) == bodyLength_;
      const std::size_t count =
        isWhole_ ? 0 : body_.Read(buffer.data(), kCopyBytes - first_.size());
      isWhole_ = isWhole_ || count == 0;
      first_.append(buffer.data(), count);
    }
    isWhole_ = isWhole_ || static_cast<std::int64_t>(first_.size()) == bodyLength_;
  }

  std::string FormatStart()
  {
    if (isWhole_) {
      bodyLength_ = static_cast<std::int64_t>(first_.size());
    }
    std::string start = detail::FormatRequestHead(head_, Where(), bodyLength_);
    if (bodyLength_ < 0) {
      start += detail::FormatChunkStart(first_.size());
      first_ += "\r\n";
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

  /// Sends the rest of the body and waits for the answer; the request may have arrived.
  TransportResult<ExchangePtr> Finish(PoolCore::ConnectionPtr connection, IoStatus status)
  {
    try {
      if (status == IoStatus::Ok && !isWhole_) {
        status = SendRest(*connection);
      }
    } catch (const BodyTruncated&) {
      return Lose(std::move(connection), IoStatus::Failed, "the request's body ended early");
    } catch (const BodyTooLarge&) {
      return Lose(std::move(connection), IoStatus::Failed, "the request's body is too large");
    }
    const bool sentWhole = status == IoStatus::Ok;
    if (!sentWhole && status != IoStatus::Failed) {
      return Lose(std::move(connection), status, "while sending");
    }
    return Receive(std::move(connection), sentWhole);
  }

  /// The head of an answer, or why there is none.
  struct Answer
  {
    IoStatus status = IoStatus::Failed;
    std::string wrong = "too many interim answers";
    HttpResponseHead head;
    detail::MessageFraming framing;
  };

  Answer ReadAnswer(PooledConnection& connection, bool sentWhole)
  {
    const std::stop_callback onGone(EndsWait(), [&connection] { connection.io.Shutdown(); });
    const TimePoint deadline = sentWhole ? deadline_ : SteadyNow() + kEarlyAnswerTime;
    for (int i = 0; i < kMaxInterimAnswers; ++i) {
      Answer answer;
      std::string text;
      const IoStatus status = connection.io.ReadHead(detail::kMaxHeadBytes, deadline, &text);
      if (status != IoStatus::Ok) {
        return { .status = sentWhole ? status : IoStatus::Failed, .wrong = "no answer" };
      }
      if (auto wrong =
            detail::ParseResponseHead(text, head_.method, &answer.head, &answer.framing)) {
        return { .wrong = *wrong };
      }
      if (answer.head.status >= 200) {
        answer.status = IoStatus::Ok;
        return answer;
      }
    }
    return {};
  }

  TransportResult<ExchangePtr> Receive(PoolCore::ConnectionPtr connection, bool sentWhole)
  {
    Answer answer = ReadAnswer(*connection, sentWhole);
    if (answer.status != IoStatus::Ok) {
      return Lose(std::move(connection), answer.status, answer.wrong);
    }
    const auto& translation = pool_->Options().translation;
    const bool isIdentified =
      !translation.idField.empty() && answer.head.headers.Find(translation.idField).has_value();
    if (translation.answer && !translation.answer(head_, answer.head)) {
      return Lose(std::move(connection), IoStatus::Failed, "an answer to another request");
    }
    if (RequiresIds() && !isIdentified && !isFirst_) {
      return Lose(std::move(connection),
                  IoStatus::Failed,
                  "an answer without id after others on its connection");
    }
    // Another copy of an answer without id could not be told from the answer to the next request.
    const bool mayCarryMore = !RequiresIds() || (isIdentified && !connection->ids.IsFull());
    answer.framing.keepAlive = answer.framing.keepAlive && sentWhole && mayCarryMore;
    pool_->NoteAnswer(*connection);
    return ExchangePtr(std::make_unique<PooledExchange>(pool_,
                                                        std::move(connection),
                                                        std::move(answer.head),
                                                        answer.framing,
                                                        isIdentified,
                                                        options_));
  }

  TransportResult<ExchangePtr> Lose(PoolCore::ConnectionPtr connection,
                                    IoStatus status,
                                    const std::string& what)
  {
    const bool isCancelled = EndsWait().stop_requested();
    if (status == IoStatus::TimedOut && !isCancelled) {
      pool_->NoteSilence(*connection);
    }
    TransportErrorCode code = TransportErrorCode::ConnectionLost;
    ConnectionEvent why = ConnectionEvent::Broken;
    if (isCancelled) {
      code = TransportErrorCode::Cancelled;
      why = ConnectionEvent::Cancelled;
    } else if (status == IoStatus::TimedOut) {
      code = TransportErrorCode::Timeout;
      why = ConnectionEvent::TimedOut;
    }
    pool_->Drop(std::move(connection), why);
    return Fail(code, Where() + ": " + what);
  }

  std::shared_ptr<PoolCore> pool_;
  HttpRequestHead head_;
  BodySource& body_;
  std::int64_t bodyLength_;
  const SendOptions& options_;
  TimePoint deadline_;
  std::optional<std::string> id_; ///< see HttpTranslation::idField
  bool isFirst_ = false;          ///< nothing was sent before it on its connection
  std::string first_;             ///< first part of the body
  bool isWhole_ = false;
};

} // namespace

HttpPool::HttpPool(HttpPoolOptions options)
  : core_(std::make_shared<PoolCore>(std::move(options)))
{
  detail::PoolKeeper::Instance().Add(core_);
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
