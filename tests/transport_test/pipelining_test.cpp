#include <boost/test/unit_test.hpp>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h> // send

#include <condition_variable> // condition_variable
#include <mutex>              // mutex
#include <string>             // string, to_string
#include <vector>             // vector

#include "acaciapulley/core/wait_point.hpp"
#include "acaciapulley/transport/http_server.hpp"

// HTTP/1.1 pipelining: callers send further requests before the first one is answered.

namespace {

constexpr int kReceiveTimeoutSeconds = 10;

std::string Get(const std::string& target)
{
  return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string Post(const std::string& target, const std::string& body)
{
  return "POST " + target +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string PostChunked(const std::string& target)
{
  return "POST " + target +
         " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
         "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
}

/// A server whose responses repeat target and body of their requests. Requests to /hold wait for
/// Unblock() or the caller's close; responses to /close close the connection.
class EchoServer
{
public:
  ~EchoServer() { Unblock(); }

  Poco::Net::StreamSocket Connect() const
  {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server_.Port()));
    socket.setReceiveTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
    return socket;
  }

  void AwaitStarted(std::size_t count)
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return started_.size() >= count; });
  }

  std::vector<std::string> Started()
  {
    const std::lock_guard lock(mutex_);
    return started_;
  }

  void Unblock()
  {
    const std::lock_guard lock(mutex_);
    isUnblocked_ = true;
    held_.Wake();
  }

  acp::HttpServer& Server() { return server_; }

private:
  void Handle(acp::ServerExchange& exchange)
  {
    const std::string target = exchange.Request().target;
    {
      const std::lock_guard lock(mutex_);
      started_.push_back(target);
      changed_.notify_all();
    }
    const std::string body = acp::ReadAll(exchange.RequestBody(), 10'000).value_or("too large");
    if (target == "/hold") {
      const std::stop_callback onGone(exchange.CallerGone(), [this] { held_.Wake(); });
      while (!IsUnblocked() && !exchange.CallerGone().stop_requested()) {
        held_.WaitFor(std::chrono::seconds(1));
      }
    }
    acp::HttpResponseHead head{ .status = 200 };
    if (target == "/close") {
      head.headers.Set("Connection", "close");
    }
    exchange.Respond(head, target + " " + body + ";");
  }

  bool IsUnblocked()
  {
    const std::lock_guard lock(mutex_);
    return isUnblocked_;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> started_;
  bool isUnblocked_ = false;
  acp::WaitPoint held_;
  acp::HttpServer server_{ { .address = { .ip = "127.0.0.1", .port = 0 },
                             .maxConnections = 16,
                             .handler = [this](auto& e) { Handle(e); },
                             .runsInTasks = true } };
};

void Send(Poco::Net::StreamSocket& socket, const std::string& bytes)
{
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/// Reads until @p end was received, or to the end of the input.
/// @throw Poco::Exception when the connection is reset
std::string ReceiveUntil(Poco::Net::StreamSocket& socket, const std::string& end)
{
  std::string received;
  char buffer[4096];
  while (end.empty() || received.find(end) == std::string::npos) {
    const int count = socket.receiveBytes(buffer, sizeof buffer);
    if (count <= 0) {
      return received;
    }
    received.append(buffer, static_cast<std::size_t>(count));
  }
  return received;
}

/// The bodies of the responses in @p received, in order.
std::string BodiesOf(const std::string& received)
{
  std::string bodies;
  for (std::size_t at = received.find("\r\n\r\n"); at != std::string::npos;
       at = received.find("\r\n\r\n", at + 4)) {
    bodies += received.substr(at + 4, received.find(';', at) - at - 3);
  }
  return bodies;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipelining)

// Guards against requests that are lost, doubled or answered out of order because they arrive
// together or in pieces, with bodies between them.
BOOST_AUTO_TEST_CASE(responses_keep_the_order_of_requests_cut_at_any_byte)
{
  const std::string requests =
    Get("/1") + Post("/2", "hello") + PostChunked("/3") + Post("/4", "") + Get("/5?a=b");
  const std::string expected = "/1 ;/2 hello;/3 abcde;/4 ;/5?a=b ;";
  EchoServer server;
  for (std::size_t cut = 0; cut <= requests.size(); ++cut) {
    auto socket = server.Connect();
    socket.setNoDelay(true);
    Send(socket, requests.substr(0, cut));
    Send(socket, requests.substr(cut));
    BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/5?a=b ;")) == expected);
  }
}

// Guards against a response that is lost because the connection is reset by unread requests behind
// it, and against one of these that is started: its caller sends it again.
BOOST_AUTO_TEST_CASE(nothing_behind_a_closing_response_is_started_or_answered)
{
  EchoServer server;
  auto socket = server.Connect();
  std::string behind;
  for (int i = 0; i < 2'000; ++i) {
    behind += Get("/behind");
  }
  Send(socket, Get("/1") + Get("/close") + behind);
  const std::string received = ReceiveUntil(socket, "");
  BOOST_TEST(BodiesOf(received) == "/1 ;/close ;");
  BOOST_TEST(received.find("Connection: close") != std::string::npos);
  BOOST_TEST(server.Started().size() == 2U);
}

// Guards against a stop that loses the response in progress or starts what was sent ahead.
BOOST_AUTO_TEST_CASE(a_stop_answers_the_request_in_progress_only)
{
  EchoServer server;
  auto socket = server.Connect();
  Send(socket, Get("/hold") + Get("/2") + Get("/3"));
  server.AwaitStarted(1);
  server.Server().BeginStop();
  server.Unblock();
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "")) == "/hold ;");
  BOOST_TEST(server.Started().size() == 1U);
}

// Guards against work for a caller that has left with several requests open.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_are_not_started_once_the_caller_has_left)
{
  EchoServer server;
  {
    auto socket = server.Connect();
    Send(socket, Get("/hold") + Get("/2") + Get("/3"));
    server.AwaitStarted(1);
  }
  while (server.Server().Connections() > 0) {
    acp::SleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(server.Started().size() == 1U);
}

// Guards against an error response that comes before the responses that are due, and against input
// behind an invalid head that is taken for a request.
BOOST_AUTO_TEST_CASE(an_invalid_head_is_refused_in_its_turn)
{
  EchoServer server;
  auto socket = server.Connect();
  Send(socket, Get("/1") + "GET /2 HTTP/1.1\r\nno field\r\n\r\n" + Get("/3"));
  const std::string received = ReceiveUntil(socket, "");
  BOOST_TEST(received.find("HTTP/1.1 200") == 0U);
  BOOST_TEST(received.find("/1 ;HTTP/1.1 400") != std::string::npos);
  BOOST_TEST(received.find("/3") == std::string::npos);
}

// Guards against memory that grows with what a caller sends ahead.
BOOST_AUTO_TEST_CASE(input_behind_a_request_in_progress_is_not_read)
{
  constexpr std::size_t kMaxAccepted = 32'000'000; // far above the buffers of both kernels
  EchoServer server;
  auto socket = server.Connect();
  Send(socket, Get("/hold"));
  server.AwaitStarted(1);
  std::string ahead;
  for (int i = 0; i < 1'000; ++i) {
    ahead += Get("/ahead");
  }
  std::size_t accepted = 0;
  int refusals = 0;
  while (accepted < kMaxAccepted && refusals < 100) {
    const auto count =
      ::send(socket.impl()->sockfd(), ahead.data(), ahead.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count > 0) {
      accepted += static_cast<std::size_t>(count);
    } else {
      ++refusals;
      acp::SleepFor(std::chrono::milliseconds(1));
    }
  }
  BOOST_TEST(accepted < kMaxAccepted);
  BOOST_TEST(server.Started().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
