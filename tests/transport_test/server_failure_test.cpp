#include <boost/test/unit_test.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/transport/detail/accept_outage.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(10);
const acp::Address kAnyPort{ .ip = "127.0.0.1", .port = 0 };

/// A client connection that sends exactly the given bytes.
class RawClient
{
public:
  explicit RawClient(const acp::HttpServer& server)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", server.Port()))
  {
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  void Send(const std::string& bytes)
  {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }

  /// Reads until the received text contains @p end or the connection ends.
  std::string Receive(const std::string& end = "\x01never")
  {
    std::string text;
    char buffer[4096];
    while (text.find(end) == std::string::npos) {
      const int count = socket_.receiveBytes(buffer, sizeof buffer);
      if (count <= 0) {
        return text;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
    return text;
  }

  void EndSending() { socket_.shutdownSend(); }

  void AwaitInput() { socket_.poll(Poco::Timespan(10, 0), Poco::Net::Socket::SELECT_READ); }

private:
  Poco::Net::StreamSocket socket_;
};

/// Reads the request body and responds with its size.
void Echo(acp::ServerExchange& exchange)
{
  const auto body = acp::ReadAll(exchange.RequestBody(), 1'000'000);
  exchange.Respond({ .status = 200 }, std::to_string(body->size()) + " bytes\n");
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_failures)

// Guards against a truncated request body that is processed as if it were complete.
BOOST_AUTO_TEST_CASE(truncated_request_bodies_are_distinguished_from_complete_ones)
{
  std::atomic<int> complete{ 0 };
  std::atomic<int> truncated{ 0 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            try {
                              Echo(exchange);
                              ++complete;
                            } catch (const acp::BodyTruncated&) {
                              ++truncated;
                              throw;
                            }
                          } });
  const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto& request : { std::string("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhello"),
                               chunked + "5\r\nhello\r\n",
                               chunked + "5\r\nhello\r\n0\r\n",
                               chunked + "5\r\nhello\r\nzz\r\n",
                               chunked + "5\r\nhelloXX0\r\n\r\n" }) {
    RawClient client(server);
    client.Send(request);
    client.EndSending();
    BOOST_TEST(client.Receive() == "");
  }
  BOOST_TEST(truncated == 5);
  RawClient client(server);
  client.Send(chunked + "5;x=y\r\nhello\r\n2\r\n!!\r\n0\r\nTrailer: t\r\n\r\n");
  BOOST_TEST(client.Receive("bytes\n").ends_with("\r\n\r\n7 bytes\n"));
  // The response arrives before the handler returns; Stop waits for the handler.
  server.Stop(kTimeout);
  BOOST_TEST(complete == 1);
}

// Guards against requests that two parties could interpret differently, and against the outcome
// not-run for a request that reached the handler.
BOOST_AUTO_TEST_CASE(ambiguous_or_oversized_heads_are_rejected_before_the_handler_runs)
{
  std::atomic<int> handled{ 0 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            ++handled;
                            exchange.Respond({ .status = 200 }, "");
                          } });
  const std::string post = "POST /a HTTP/1.1\r\n";
  for (const auto& head : { post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                            post + "Content-Length: 5\r\nContent-Length: 5\r\n",
                            post + "Content-Length: +5\r\n",
                            post + "Content-Length: 99999999999999999999\r\n",
                            post + "Transfer-Encoding: gzip, chunked\r\n",
                            post + "Acp-Key: a\r\nAcp-Key: a\r\n",
                            post + "acp-key: a\r\nACP-KEY: b\r\n",
                            post + "Name : value\r\n",
                            post + "Name: value\r\n folded\r\n",
                            post + "Name: a\rb\r\n",
                            post + "Name: a\nHost: b\r\n",
                            post + "Expect: magic\r\n",
                            std::string("POST a HTTP/1.1\r\n"),
                            std::string("POST /a b HTTP/1.1\r\n"),
                            post + std::string(257, 'n') + " : long name\r\n",
                            post + "no colon\r\n",
                            std::string("POST  /a HTTP/1.1\r\n"),
                            std::string("POST /a HTTP/1.1 more\r\n"),
                            std::string("GET /a HTTP/1.0\r\n"),
                            std::string("POST /a HTTP/2.0\r\n") }) {
    RawClient client(server);
    client.Send(head + "\r\n");
    const std::string response = client.Receive();
    BOOST_TEST(response.starts_with("HTTP/1.1 400 "), head << response);
    BOOST_TEST(response.find("Acp-Outcome: not-run\r\n") != std::string::npos);
  }
  RawClient client(server);
  client.Send(post + "Large: " + std::string(16'384, 'x') + "\r\n\r\n");
  const std::string response = client.Receive();
  BOOST_TEST(response.starts_with("HTTP/1.1 413 "));
  BOOST_TEST(response.find("Acp-Outcome: not-run\r\n") != std::string::npos);
  BOOST_TEST(handled == 0);
  server.Stop(kTimeout);
}

// Guards against encoded words that POCO decodes while parsing: the line break in this one would
// become a second field, with a key that was never checked, when the head is forwarded.
BOOST_AUTO_TEST_CASE(encoded_words_and_the_target_are_kept_as_received)
{
  const std::string word = "=?UTF-8?Q?a=0D=0AAcp-Key:_b?=";
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            acp::HttpResponseHead head{ .status = 200 };
                            const auto& request = exchange.Request();
                            head.headers.Set("Word", request.headers.Find("Word").value_or(""));
                            head.headers.Set("Large", request.headers.Find("Large").value_or(""));
                            exchange.Respond(head, request.target);
                          } });
  const std::string fields = "Word: " + word + "\r\nLarge: " + std::string(8'192, 'x') + "\r\n";
  RawClient client(server);
  client.Send("GET /?=?a?= HTTP/1.1\r\n" + fields + "\r\n");
  const std::string response = client.Receive("\r\n\r\n/?=?a?=");
  BOOST_TEST(response.find("\r\n" + fields) != std::string::npos);

  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
  acp::HttpRequestHead head{ .method = "GET", .target = "/?=?a?=" };
  head.headers.Set("Word", word);
  acp::StringBody none("");
  const auto result = pool.Send(head, none, 0, kTimeout);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result.value()->Response().headers.Find("Word").value_or("") == word);
  BOOST_TEST(acp::ReadAll(result.value()->Body(), 100).value_or("") == head.target);
  server.Stop(kTimeout);
}

// Guards against a caller that waits forever for 100 Continue, and against mixing up pipelined
// requests.
BOOST_AUTO_TEST_CASE(continue_and_pipelined_requests_are_answered_in_order)
{
  acp::HttpServer server({ .address = kAnyPort, .handler = Echo });
  RawClient client(server);
  client.Send("POST / HTTP/1.1\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  BOOST_TEST(client.Receive("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("abcPOST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nxGET / HTTP/1.1\r\n\r\n");
  const std::string responses = client.Receive("0 bytes\n");
  const auto first = responses.find("3 bytes");
  const auto second = responses.find("1 bytes");
  BOOST_TEST((first < second && second < responses.find("0 bytes")));
  server.Stop(kTimeout);
}

// Guards against a response that is lost to a reset because its request's body arrives after it.
BOOST_AUTO_TEST_CASE(late_request_body_does_not_reset_the_connection_behind_a_response)
{
  constexpr std::size_t kBodyBytes = 100'000;
  acp::HttpServer server({ .address = kAnyPort, .handler = [](acp::ServerExchange& exchange) {
                            acp::HttpResponseHead head{ .status = 503 };
                            head.headers.Set("Connection", "close");
                            exchange.Respond(head, "refused\n");
                          } });
  for (int i = 0; i < 20; ++i) {
    RawClient client(server);
    client.Send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
    client.AwaitInput();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    BOOST_CHECK_NO_THROW(client.Send(std::string(kBodyBytes / 2, 'x')));
    BOOST_CHECK_NO_THROW(client.Send(std::string(kBodyBytes / 2, 'x')));
    BOOST_CHECK_NO_THROW(BOOST_TEST(client.Receive().ends_with("refused\n")));
  }
  server.Stop(kTimeout);
}

// Guards against a connection that is never closed, and a stop that never ends, after an exception
// outside the handler.
BOOST_AUTO_TEST_CASE(exception_outside_the_handler_closes_the_connection)
{
  for (const bool runsInTasks : { true, false }) {
    acp::HttpServer server(
      { .address = kAnyPort,
        .handler = Echo,
        .runsInTasks = runsInTasks,
        .onServed = [](const acp::ServedRequest&) { throw std::runtime_error("no memory"); } });
    RawClient client(server);
    client.Send("GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST(client.Receive().ends_with("0 bytes\n"));
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (server.Connections() > 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    BOOST_REQUIRE(server.Connections() == 0); // Stop() would not return
    server.Stop(kTimeout);
  }
}

// Guards against a request whose caller gets no response because its handler failed.
BOOST_AUTO_TEST_CASE(handler_that_sends_no_response_is_answered_with_an_unknown_outcome)
{
  acp::HttpServer server({ .address = kAnyPort, .handler = [](acp::ServerExchange& exchange) {
                            const auto& target = exchange.Request().target;
                            if (target == "/forwarded") {
                              exchange.SetForwarding(acp::Forwarding::Unknown);
                            }
                            if (target != "/silent") {
                              throw std::runtime_error("no memory");
                            }
                          } });
  for (const auto& [target, status] : { std::pair("/silent", "500"),
                                        std::pair("/failing", "500"),
                                        std::pair("/forwarded", "502") }) {
    RawClient client(server);
    client.Send("GET " + std::string(target) + " HTTP/1.1\r\n\r\n");
    const std::string response = client.Receive();
    BOOST_TEST(response.starts_with("HTTP/1.1 " + std::string(status) + " "), response);
    BOOST_TEST(response.find("Acp-Outcome: unknown\r\n") != std::string::npos);
    BOOST_TEST(response.find("Connection: close\r\n") != std::string::npos);
  }
  server.Stop(kTimeout);
}

// Guards against a listener that leaves connections above its limit without a response.
BOOST_AUTO_TEST_CASE(connection_over_max_connections_is_refused_as_not_run)
{
  acp::HttpServer server({ .address = kAnyPort, .maxConnections = 1, .handler = Echo });
  RawClient first(server);
  first.Send("GET / HTTP/1.1\r\n\r\n");
  first.Receive("bytes\n");
  RawClient second(server);
  second.Send("GET / HTTP/1.1\r\n\r\n");
  const std::string response = second.Receive();
  BOOST_TEST(response.starts_with("HTTP/1.1 503 "));
  BOOST_TEST(response.find("Acp-Outcome: not-run\r\n") != std::string::npos);
  server.Stop(kTimeout);
}

// Guards against a caller that reads its response so slowly that it occupies a slot of an upstream.
BOOST_AUTO_TEST_CASE(stalled_reader_is_disconnected)
{
  std::promise<bool> isFullySent;
  acp::HttpServer server({ .address = kAnyPort,
                           .handler =
                             [&](acp::ServerExchange& exchange) {
                               std::string large;
                               large.resize(50'000'000);
                               acp::StringBody body(std::move(large));
                               const auto result =
                                 exchange.RespondStreaming({}, 50'000'000, body, nullptr);
                               isFullySent.set_value(result == acp::StreamingResult::Complete);
                             },
                           .slowReaderGrace = std::chrono::milliseconds(50) });
  RawClient client(server);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(!isFullySent.get_future().get());
  server.Stop(kTimeout);
}

// Guards against a second process that takes a part of the connections of the first.
BOOST_AUTO_TEST_CASE(address_in_use_is_refused)
{
  acp::HttpServer first({ .address = kAnyPort, .handler = [](acp::ServerExchange&) {} });
  const acp::HttpServerOptions second{ .address = { .ip = "127.0.0.1", .port = first.Port() },
                                       .handler = [](acp::ServerExchange&) {} };
  BOOST_CHECK_THROW(acp::HttpServer{ second }, std::runtime_error);
  first.Stop(kTimeout);
}

// Guards against a caller whose response is cut although it reads steadily, with a small window.
BOOST_AUTO_TEST_CASE(slow_reader_with_a_small_window_receives_the_complete_response)
{
  constexpr std::size_t kSize = 1'200'000;
  constexpr std::size_t kPart = 75'000;
  constexpr int kWindows[] = { 4'096, 32'768, 131'072 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [](acp::ServerExchange& exchange) {
                            acp::StringBody body(std::string(kSize, 'x'));
                            (void)exchange.RespondStreaming({}, kSize, body, nullptr);
                          } });
  std::vector<std::future<std::size_t>> readers;
  for (const int window : kWindows) {
    readers.push_back(std::async(std::launch::async, [&server, window] {
      Poco::Net::StreamSocket socket;
      socket.init(AF_INET);
      socket.setReceiveBufferSize(window);
      socket.connect(Poco::Net::SocketAddress("127.0.0.1", server.Port()));
      const std::string request = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
      socket.sendBytes(request.data(), static_cast<int>(request.size()));
      std::vector<char> buffer(kPart);
      std::size_t received = 0;
      try {
        while (true) {
          std::this_thread::sleep_for(std::chrono::milliseconds(500));
          for (std::size_t part = 0; part < kPart;) {
            const int count = socket.receiveBytes(buffer.data(), static_cast<int>(kPart - part));
            if (count <= 0) {
              return received;
            }
            part += static_cast<std::size_t>(count);
            received += static_cast<std::size_t>(count);
          }
        }
      } catch (const Poco::Exception&) {
        // The connection was reset; the number of bytes tells.
      }
      return received;
    }));
  }
  for (auto& reader : readers) {
    BOOST_TEST(reader.get() > kSize);
  }
  server.Stop(kTimeout);
}

// Guards against work that continues after its caller has disconnected.
BOOST_AUTO_TEST_CASE(caller_disconnect_is_detected)
{
  std::promise<void> started;
  std::promise<void> detected;
  std::atomic<bool> wasGoneInitially{ true };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            wasGoneInitially = exchange.IsCallerGone();
                            started.set_value();
                            while (!exchange.IsCallerGone()) {
                              std::this_thread::sleep_for(std::chrono::milliseconds(1));
                            }
                            detected.set_value();
                          } });
  {
    RawClient client(server);
    client.Send("GET / HTTP/1.1\r\n\r\n");
    started.get_future().get();
  }
  detected.get_future().get();
  BOOST_TEST(!wasGoneInitially);
  server.Stop(kTimeout);
}

// Guards against a graceful stop that aborts a request in progress or waits for idle connections.
BOOST_AUTO_TEST_CASE(graceful_stop_finishes_requests_in_progress_and_closes_idle_connections)
{
  std::promise<void> started;
  std::promise<void> release;
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            if (exchange.Request().target == "/slow") {
                              started.set_value();
                              release.get_future().get();
                            }
                            Echo(exchange);
                          } });
  RawClient idle(server);
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  idle.Receive("bytes\n");
  RawClient slow(server);
  slow.Send("POST /slow HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
  started.get_future().get();
  std::thread stopper([&] { server.Stop(kTimeout); });
  BOOST_TEST(idle.Receive() == "");
  slow.Send("cd");
  release.set_value();
  const std::string response = slow.Receive();
  stopper.join();
  BOOST_TEST(response.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(response.ends_with("4 bytes\n"));
}

// Guards against a stop that rejects the calls that requests in progress still have to make.
BOOST_AUTO_TEST_CASE(new_connections_are_served_after_the_stop_has_begun)
{
  acp::HttpServer server({ .address = kAnyPort, .handler = Echo });
  RawClient idle(server);
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  idle.Receive("bytes\n");
  server.BeginStop();
  BOOST_TEST(idle.Receive() == "");
  RawClient late(server);
  late.Send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
  const std::string response = late.Receive();
  BOOST_TEST(response.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(response.ends_with("2 bytes\n"));
  server.Stop(kTimeout);
  BOOST_CHECK_THROW(RawClient{ server }, Poco::Exception);
}

// Guards against a connection that stays open after a response with `Connection: close`, on which a
// caller would send its next request to a node that is leaving.
BOOST_AUTO_TEST_CASE(connection_close_of_a_handler_ends_the_connection)
{
  acp::HttpServer server({ .address = kAnyPort, .handler = [](acp::ServerExchange& exchange) {
                            acp::HttpResponseHead head{ .status = 503 };
                            head.headers.Set("Connection", "close");
                            exchange.Respond(head, "refused\n");
                          } });
  RawClient client(server);
  client.Send("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(client.Receive().ends_with("refused\n"));
  server.Stop(kTimeout);
}

// Guards against a process that ends after two short shortages, or never after one that lasts.
BOOST_AUTO_TEST_CASE(accept_outage_lasts_while_failures_follow_each_other)
{
  using std::chrono::seconds;
  acp::ManualClock clock;
  acp::detail::AcceptOutage outage;
  for (int i = 0; i <= 10; ++i) {
    BOOST_TEST((outage.RecordFailure(clock.Now()) == i * seconds(1)));
    BOOST_TEST(outage.IsNew() == (i == 0));
    clock.Advance(seconds(1));
  }
  clock.Advance(seconds(1));
  BOOST_TEST((outage.RecordFailure(clock.Now()) == seconds(0)));
  clock.Advance(seconds(1));
  outage.RecordSuccess();
  BOOST_TEST((outage.RecordFailure(clock.Now()) == seconds(0)));
  BOOST_TEST(outage.IsNew());
}

BOOST_AUTO_TEST_SUITE_END()
