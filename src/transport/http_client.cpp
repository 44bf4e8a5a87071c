#include "acaciapulley/transport/http_client.hpp"

#include <array>   // array
#include <istream> // istream
#include <ostream> // ostream
#include <utility> // move

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace acp {

namespace {

constexpr std::size_t kCopyChunkBytes = 16'384;

Poco::Timespan ToTimespan(Duration span)
{
  return Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

/// Remembers that the peer closed: a complete answer never reads up to the end of the connection,
/// while POCO's chunked stream reports a truncated answer as a normal end.
class WatchedSocketImpl final : public Poco::Net::StreamSocketImpl
{
public:
  int receiveBytes(void* buffer, int length, int flags) override
  {
    const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if (count == 0 && length > 0) {
      sawEnd_ = true;
    }
    return count;
  }

  [[nodiscard]] bool SawEnd() const { return sawEnd_; }

private:
  bool sawEnd_ = false;
};

} // namespace

class HttpPool::Connection
{
public:
  Connection(WatchedSocketImpl* impl, const Poco::Net::StreamSocket& socket)
    : impl_(impl)
    , session_(socket)
  {
    session_.setKeepAlive(true);
  }

  Poco::Net::HTTPClientSession& Session() { return session_; }
  [[nodiscard]] bool SawEnd() const { return impl_->SawEnd(); }
  void SetTimeout(Duration timeout) { session_.socket().setReceiveTimeout(ToTimespan(timeout)); }
  void Touch() { lastUsed_ = std::chrono::steady_clock::now(); }
  [[nodiscard]] TimePoint LastUsed() const { return lastUsed_; }

  /// @brief Returns whether the peer has closed or sent bytes nobody asked for.
  bool IsStale()
  {
    return session_.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

private:
  WatchedSocketImpl* impl_; ///< owned by the session's socket
  Poco::Net::HTTPClientSession session_;
  TimePoint lastUsed_ = std::chrono::steady_clock::now();
};

class HttpPool::Exchange final
  : public ClientExchange
  , public BodySource
{
public:
  Exchange(HttpPool& pool, std::unique_ptr<Connection> connection)
    : pool_(pool)
    , connection_(std::move(connection))
  {
  }

  ~Exchange() override
  {
    if (ended_ && keepAlive_) {
      pool_.GiveBack(std::move(connection_));
    } else {
      pool_.Forget();
    }
  }

  /// @brief Waits for the head of the answer.
  void Receive(bool isHeadRequest)
  {
    Poco::Net::HTTPResponse response;
    stream_ = &connection_->Session().receiveResponse(response);
    head_.status = response.getStatus();
    for (const auto& [name, value] : response) {
      head_.headers.Add(name, value);
    }
    keepAlive_ = response.getKeepAlive();
    const bool hasNoBody = isHeadRequest || head_.status == 204 || head_.status == 304;
    if (hasNoBody) {
      length_ = 0;
    } else if (!response.getChunkedTransferEncoding() && response.hasContentLength()) {
      length_ = response.getContentLength64();
    } else if (!response.getChunkedTransferEncoding()) {
      // Without length and chunks the end of the body cannot be told from a lost connection.
      unframed_ = true;
    }
    ended_ = length_ == 0;
  }

  [[nodiscard]] const HttpResponseHead& Response() const override { return head_; }
  [[nodiscard]] std::int64_t BodyLength() const override { return length_; }
  BodySource& Body() override { return *this; }

  std::size_t Read(char* buffer, std::size_t size) override
  {
    if (ended_) {
      return 0;
    }
    stream_->read(buffer, static_cast<std::streamsize>(size));
    const auto count = stream_->gcount();
    received_ += count;
    const bool failed = connection_->Session().networkException() != nullptr;
    if (failed || unframed_ || (count == 0 && connection_->SawEnd())) {
      throw BodyTruncated{};
    }
    if (length_ >= 0 && count == 0 && received_ < length_) {
      throw BodyTruncated{};
    }
    ended_ = count == 0 || received_ == length_;
    return static_cast<std::size_t>(count);
  }

private:
  HttpPool& pool_;
  std::unique_ptr<Connection> connection_;
  std::istream* stream_ = nullptr;
  HttpResponseHead head_;
  std::int64_t length_ = -1;
  std::int64_t received_ = 0;
  bool keepAlive_ = false;
  bool unframed_ = false;
  bool ended_ = false;
};

HttpPool::HttpPool(HttpPoolOptions options)
  : options_(std::move(options))
{
}

HttpPool::~HttpPool() = default;

std::unique_ptr<HttpPool::Connection> HttpPool::TakeIdle()
{
  const std::lock_guard lock(mutex_);
  const auto oldest = std::chrono::steady_clock::now() - options_.maxIdle;
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->LastUsed() >= oldest && !connection->IsStale()) {
      return connection;
    }
    --open_;
  }
  return nullptr;
}

TransportResult<std::unique_ptr<HttpPool::Connection>> HttpPool::Open()
{
  {
    const std::lock_guard lock(mutex_);
    if (open_ >= options_.maxConnections) {
      return Fail(TransportErrorCode::Unreachable,
                  "all connections to " + options_.address.ToString() + " are in use");
    }
    ++open_;
  }
  try {
    auto* impl = new WatchedSocketImpl;
    Poco::Net::StreamSocket socket(impl);
    socket.connect(Poco::Net::SocketAddress(options_.address.ip, options_.address.port),
                   ToTimespan(options_.connectTimeout));
    socket.setNoDelay(true);
    socket.setKeepAlive(true);
    return std::make_unique<Connection>(impl, socket);
  } catch (const Poco::Exception& e) {
    Forget();
    return Fail(TransportErrorCode::Unreachable,
                options_.address.ToString() + ": " + e.displayText());
  }
}

void HttpPool::GiveBack(std::unique_ptr<Connection> connection)
{
  connection->Touch();
  const std::lock_guard lock(mutex_);
  idle_.push_back(std::move(connection));
}

void HttpPool::Forget()
{
  const std::lock_guard lock(mutex_);
  --open_;
}

namespace {

Poco::Net::HTTPRequest ToPoco(const HttpRequestHead& head, std::int64_t bodyLength)
{
  Poco::Net::HTTPRequest request(head.method, head.target, Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& [name, value] : head.headers.Fields()) {
    request.add(name, value);
  }
  request.setKeepAlive(true);
  if (bodyLength < 0) {
    request.setChunkedTransferEncoding(true);
  } else if (bodyLength > 0 || head.method == "POST" || head.method == "PUT") {
    request.setContentLength64(bodyLength);
  }
  return request;
}

void CopyBody(BodySource& body, std::ostream& out)
{
  std::array<char, kCopyChunkBytes> buffer{};
  while (const std::size_t count = body.Read(buffer.data(), buffer.size())) {
    out.write(buffer.data(), static_cast<std::streamsize>(count));
  }
  out.flush();
}

} // namespace

TransportResult<std::unique_ptr<ClientExchange>> HttpPool::Send(const HttpRequestHead& head,
                                                                BodySource& body,
                                                                std::int64_t bodyLength,
                                                                Duration timeout)
{
  auto connection = TakeIdle();
  if (!connection) {
    auto opened = Open();
    if (!opened) {
      return boost::outcome_v2::failure(opened.error());
    }
    connection = std::move(opened).value();
  }
  connection->SetTimeout(timeout);
  auto& session = connection->Session();
  auto exchange = std::make_unique<Exchange>(*this, std::move(connection));
  try {
    auto request = ToPoco(head, bodyLength);
    CopyBody(body, session.sendRequest(request));
    exchange->Receive(head.method == "HEAD");
    return std::unique_ptr<ClientExchange>(std::move(exchange));
  } catch (const Poco::TimeoutException& e) {
    return Fail(TransportErrorCode::Timeout, options_.address.ToString() + ": " + e.displayText());
  } catch (const Poco::Exception& e) {
    return Fail(TransportErrorCode::ConnectionLost,
                options_.address.ToString() + ": " + e.displayText());
  } catch (const BodyTruncated&) {
    return Fail(TransportErrorCode::ConnectionLost, "the caller's request body ended early");
  }
}

} // namespace acp
