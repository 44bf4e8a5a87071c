#include "acaciapulley/transport/http_server.hpp"

#include <array>     // array
#include <atomic>    // atomic
#include <istream>   // istream
#include <ostream>   // ostream
#include <stdexcept> // runtime_error
#include <thread>    // sleep_for
#include <utility>   // move

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

namespace {

constexpr std::size_t kCopyChunkBytes = 16'384;
constexpr int kListenBacklog = 1024;
constexpr int kWorkerStackBytes = 256 * 1024;
// Idle callers are kept longer than peers' pools keep their side, so that the pool closes first.
constexpr int kKeepAliveSeconds = 15;
constexpr int kReceiveTimeoutSeconds = 30;
constexpr auto kStopPollInterval = std::chrono::milliseconds(5);

class RequestBodySource final : public BodySource
{
public:
  RequestBodySource(std::istream& stream, std::int64_t length)
    : stream_(stream)
    , remaining_(length)
  {
  }

  std::size_t Read(char* buffer, std::size_t size) override
  {
    if (remaining_ == 0) {
      return 0;
    }
    stream_.read(buffer, static_cast<std::streamsize>(size));
    const auto count = stream_.gcount();
    if (remaining_ > 0) {
      if (count == 0) {
        throw BodyTruncated{};
      }
      remaining_ -= count;
    }
    return static_cast<std::size_t>(count);
  }

private:
  std::istream& stream_;
  std::int64_t remaining_; ///< -1 when the body is chunked
};

HttpRequestHead ReadHead(const Poco::Net::HTTPServerRequest& request)
{
  HttpRequestHead head;
  head.method = request.getMethod();
  head.target = request.getURI();
  for (const auto& [name, value] : request) {
    head.headers.Add(name, value);
  }
  return head;
}

class PocoExchange final : public ServerExchange
{
public:
  PocoExchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    : request_(request)
    , response_(response)
    , head_(ReadHead(request))
    , length_(BodyLength(request))
    , body_(request.stream(), length_)
  {
  }

  [[nodiscard]] const HttpRequestHead& Request() const override { return head_; }
  [[nodiscard]] std::int64_t RequestBodyLength() const override { return length_; }
  BodySource& RequestBody() override { return body_; }

  void Respond(const HttpResponseHead& head, const std::string& body) override
  {
    WriteHead(head, static_cast<std::int64_t>(body.size()));
    response_.sendBuffer(body.data(), body.size());
  }

  bool RespondStreaming(const HttpResponseHead& head,
                        std::int64_t length,
                        BodySource& body,
                        const std::function<void()>& beforeLastBytes) override
  {
    WriteHead(head, length);
    std::ostream& out = response_.send();
    try {
      CopyWithOneChunkHeldBack(body, out, beforeLastBytes);
    } catch (const BodyTruncated&) {
      Abort();
      return false;
    }
    out.flush();
    return out.good();
  }

  void Abort()
  {
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request_).socket().shutdown();
    response_.setKeepAlive(false);
  }

private:
  static std::int64_t BodyLength(const Poco::Net::HTTPServerRequest& request)
  {
    if (request.getChunkedTransferEncoding()) {
      return -1;
    }
    return request.hasContentLength() ? request.getContentLength64() : 0;
  }

  void WriteHead(const HttpResponseHead& head, std::int64_t length)
  {
    response_.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
    response_.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response_.getStatus()));
    for (const auto& [name, value] : head.headers.Fields()) {
      response_.add(name, value);
    }
    if (length >= 0) {
      response_.setContentLength64(length);
    } else {
      response_.setChunkedTransferEncoding(true);
    }
  }

  static void CopyWithOneChunkHeldBack(BodySource& body,
                                       std::ostream& out,
                                       const std::function<void()>& beforeLastBytes)
  {
    std::array<char, kCopyChunkBytes> held{};
    std::array<char, kCopyChunkBytes> next{};
    std::size_t heldCount = body.Read(held.data(), held.size());
    while (heldCount > 0 && out.good()) {
      const std::size_t nextCount = body.Read(next.data(), next.size());
      if (nextCount == 0) {
        break;
      }
      out.write(held.data(), static_cast<std::streamsize>(heldCount));
      held.swap(next);
      heldCount = nextCount;
    }
    if (beforeLastBytes) {
      beforeLastBytes();
    }
    out.write(held.data(), static_cast<std::streamsize>(heldCount));
  }

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  HttpRequestHead head_;
  std::int64_t length_;
  RequestBodySource body_;
};

using Handler = std::function<void(ServerExchange&)>;

class RequestHandler final : public Poco::Net::HTTPRequestHandler
{
public:
  RequestHandler(const Handler& handler, std::atomic<int>& inProgress, std::atomic<bool>& stopping)
    : handler_(handler)
    , inProgress_(inProgress)
    , stopping_(stopping)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override
  {
    ++inProgress_;
    if (stopping_.load()) {
      response.setKeepAlive(false);
    }
    try {
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().setNoDelay(true);
      PocoExchange exchange(request, response);
      handler_(exchange);
    } catch (const Poco::Exception& e) {
      Log(LogLevel::Debug, "exchange_ended", { { "error", e.displayText() } });
    } catch (const std::exception& e) {
      Log(LogLevel::Error, "handler_failed", { { "error", e.what() } });
    }
    --inProgress_;
  }

private:
  const Handler& handler_;
  std::atomic<int>& inProgress_;
  std::atomic<bool>& stopping_;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  HandlerFactory(Handler handler, std::atomic<int>& inProgress, std::atomic<bool>& stopping)
    : handler_(std::move(handler))
    , inProgress_(inProgress)
    , stopping_(stopping)
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest& /*request*/) override
  {
    return new RequestHandler(handler_, inProgress_, stopping_);
  }

private:
  Handler handler_;
  std::atomic<int>& inProgress_;
  std::atomic<bool>& stopping_;
};

Poco::Net::ServerSocket Listen(const Address& address)
{
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.ip, address.port), true);
    socket.listen(kListenBacklog);
    return socket;
  } catch (const Poco::Exception& e) {
    throw std::runtime_error("cannot listen on " + address.ToString() + ": " + e.displayText());
  }
}

Poco::Net::HTTPServerParams::Ptr MakeParams(int maxConnections)
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(maxConnections);
  params->setMaxQueued(maxConnections);
  params->setKeepAlive(true);
  params->setMaxKeepAliveRequests(0);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  params->setTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
  return params;
}

} // namespace

class HttpServer::Impl
{
public:
  explicit Impl(HttpServerOptions options)
    : socket_(Listen(options.address))
    , pool_(1, options.maxConnections, 60, kWorkerStackBytes)
    , server_(new HandlerFactory(std::move(options.handler), inProgress_, stopping_),
              pool_,
              socket_,
              MakeParams(options.maxConnections))
  {
    server_.start();
  }

  [[nodiscard]] std::uint16_t Port() const { return server_.port(); }

  void Stop(Duration patience)
  {
    stopping_ = true;
    server_.stop();
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (inProgress_.load() > 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
    server_.stopAll(true);
    pool_.joinAll();
  }

private:
  std::atomic<int> inProgress_{ 0 };
  std::atomic<bool> stopping_{ false };
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool pool_;
  Poco::Net::HTTPServer server_;
};

HttpServer::HttpServer(HttpServerOptions options)
  : impl_(std::make_unique<Impl>(std::move(options)))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::Port() const
{
  return impl_->Port();
}

void HttpServer::Stop(Duration patience)
{
  impl_->Stop(patience);
}

} // namespace acp
