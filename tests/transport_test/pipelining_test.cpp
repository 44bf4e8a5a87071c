#include <boost/test/unit_test.hpp>

#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h> // send

#include <algorithm>          // count
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
/// Unblock() or the caller's close; responses to /close close the connection, and /abort is not
/// answered.
class EchoServer
{
public:
  explicit EchoServer(int maxPipelined = 1)
    : server_({ .address = { .ip = "127.0.0.1", .port = 0 },
                .maxConnections = 16,
                .handler = [this](auto& e) { Handle(e); },
                .runsInTasks = true,
                .maxPipelined = maxPipelined,
                .onServed = [this](const auto& served) { RecordEnd(served.end); } })
  {
  }
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

  /// Returns how often requests ended with @p end.
  std::ptrdiff_t CountEnds(acp::RequestEnd end)
  {
    const std::lock_guard lock(mutex_);
    return std::count(ends_.begin(), ends_.end(), end);
  }

  acp::HttpServer& Server() { return server_; }

private:
  void RecordEnd(acp::RequestEnd end)
  {
    const std::lock_guard lock(mutex_);
    ends_.push_back(end);
  }

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
    if (target == "/abort") {
      exchange.Abort();
      return;
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
  std::vector<acp::RequestEnd> ends_;
  bool isUnblocked_ = false;
  acp::WaitPoint held_;
  acp::HttpServer server_;
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
  for (const int maxPipelined : { 1, 4 }) {
    const std::string requests =
      Get("/1") + Post("/2", "hello") + PostChunked("/3") + Post("/4", "") + Get("/5?a=b");
    const std::string expected = "/1 ;/2 hello;/3 abcde;/4 ;/5?a=b ;";
    EchoServer server(maxPipelined);
    for (std::size_t cut = 0; cut <= requests.size(); ++cut) {
      auto socket = server.Connect();
      socket.setNoDelay(true);
      Send(socket, requests.substr(0, cut));
      Send(socket, requests.substr(cut));
      BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/5?a=b ;")) == expected);
    }
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

// Answers the load of callers that send several requests at once on one connection: guards against
// a slow request that delays the start of those behind it.
BOOST_AUTO_TEST_CASE(requests_sent_ahead_run_while_the_first_one_waits)
{
  EchoServer server(4);
  auto socket = server.Connect();
  Send(socket, Get("/hold") + Get("/2") + Get("/3"));
  server.AwaitStarted(3);
  server.Unblock();
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/3 ;")) == "/hold ;/2 ;/3 ;");
}

// Guards against requests that wait because they arrive after the first one has been started.
BOOST_AUTO_TEST_CASE(a_request_that_arrives_later_runs_while_the_first_one_waits)
{
  EchoServer server(4);
  auto socket = server.Connect();
  Send(socket, Get("/1") + Get("/2"));
  (void)ReceiveUntil(socket, "/2 ;");
  Send(socket, Get("/hold"));
  server.AwaitStarted(3);
  Send(socket, Get("/4"));
  server.AwaitStarted(4);
  const std::string half = Get("/5");
  Send(socket, half.substr(0, half.size() / 2));
  Send(socket, half.substr(half.size() / 2));
  server.AwaitStarted(5);
  server.Unblock();
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/5 ;")) == "/hold ;/4 ;/5 ;");
}

// Guards against memory and work that grow with what a caller sends ahead, and against requests
// beyond the limit that are forgotten.
BOOST_AUTO_TEST_CASE(requests_beyond_the_limit_wait_for_their_turn)
{
  constexpr int kRequests = 30;
  EchoServer server(4);
  auto socket = server.Connect();
  std::string requests = Get("/hold");
  std::string expected = "/hold ;";
  for (int i = 1; i < kRequests; ++i) {
    requests += Get("/" + std::to_string(i));
    expected += "/" + std::to_string(i) + " ;";
  }
  Send(socket, requests);
  server.AwaitStarted(4);
  acp::SleepFor(std::chrono::milliseconds(50));
  BOOST_TEST(server.Started().size() == 4U);
  server.Unblock();
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/29 ;")) == expected);
}

// Guards against requests that were started and then cut by a stop, or by a response in front of
// them that closes the connection.
BOOST_AUTO_TEST_CASE(requests_that_were_started_ahead_are_answered_before_a_close)
{
  for (const bool stops : { true, false }) {
    EchoServer server(4);
    auto socket = server.Connect();
    Send(socket, Get("/hold") + Get("/close") + Get("/3"));
    server.AwaitStarted(3);
    if (stops) {
      server.Server().BeginStop();
      Send(socket, Get("/4"));
    }
    server.Unblock();
    const std::string received = ReceiveUntil(socket, stops ? "" : "/3 ;");
    BOOST_TEST(BodiesOf(received) == "/hold ;/close ;/3 ;");
    BOOST_TEST((received.find("Connection: close") != std::string::npos) == stops);
    BOOST_TEST(server.Started().size() == 3U);
  }
}

// Guards against a request that may run once only and is started although the response in front of
// it may still end the connection: its caller would send it again.
BOOST_AUTO_TEST_CASE(requests_that_may_not_be_repeated_are_not_started_ahead)
{
  EchoServer server(4);
  auto socket = server.Connect();
  Send(socket, Get("/hold") + Post("/2", "") + Get("/3"));
  server.AwaitStarted(1);
  acp::SleepFor(std::chrono::milliseconds(50));
  BOOST_TEST(server.Started().size() == 1U);
  server.Unblock();
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "/3 ;")) == "/hold ;/2 ;/3 ;");
}

// Guards against requests whose missing response is reported as their caller's doing, or as an
// incomplete body, although the connection ended with the response in front of them.
BOOST_AUTO_TEST_CASE(requests_started_ahead_report_that_their_connection_was_ended)
{
  EchoServer server(4);
  auto socket = server.Connect();
  Send(socket, Get("/abort") + Get("/hold") + Get("/3"));
  BOOST_TEST(ReceiveUntil(socket, "").empty());
  while (server.Server().Connections() > 0) {
    acp::SleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(server.CountEnds(acp::RequestEnd::ConnectionCut) == 2);
  BOOST_TEST(server.CountEnds(acp::RequestEnd::CallerGone) == 0);
}

// Guards against requests that go on after their caller has left, and against tasks that outlive
// their connection.
BOOST_AUTO_TEST_CASE(requests_started_ahead_end_when_the_caller_leaves)
{
  EchoServer server(4);
  {
    auto socket = server.Connect();
    Send(socket, Get("/2") + Get("/hold") + Get("/3"));
    server.AwaitStarted(3);
  }
  while (server.Server().Connections() > 0) {
    acp::SleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(server.Started().size() == 3U);
}

// Guards against requests that go on, or wait for a turn that never comes, after a response in
// front of them has failed and ended the connection.
BOOST_AUTO_TEST_CASE(requests_started_ahead_end_with_their_connection)
{
  EchoServer server(4);
  auto socket = server.Connect();
  Send(socket, Get("/1") + Get("/abort") + Get("/hold") + Get("/4"));
  BOOST_TEST(BodiesOf(ReceiveUntil(socket, "")) == "/1 ;");
  while (server.Server().Connections() > 0) {
    acp::SleepFor(std::chrono::milliseconds(1));
  }
  BOOST_TEST(server.Started().size() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
