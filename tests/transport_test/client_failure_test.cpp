#include <boost/test/unit_test.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <stop_token>
#include <thread>

#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(10);
const acp::Address kAnyPort{ .ip = "127.0.0.1", .port = 0 };

/// A server that runs a script, which accepts and serves the connections.
class ScriptedServer
{
public:
  explicit ScriptedServer(std::function<void(Poco::Net::ServerSocket&)> script)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this, script = std::move(script)] { script(socket_); })
  {
  }

  [[nodiscard]] acp::Address ListenAddress() const
  {
    return { .ip = "127.0.0.1", .port = socket_.address().port() };
  }

private:
  Poco::Net::ServerSocket socket_;
  std::jthread thread_;
};

std::string ReceiveBytes(Poco::Net::StreamSocket& connection)
{
  char buffer[4096];
  const int count = connection.receiveBytes(buffer, sizeof buffer);
  return std::string(buffer, static_cast<std::size_t>(std::max(count, 0)));
}

void SendBytes(Poco::Net::StreamSocket& connection, const std::string& bytes)
{
  connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

std::string OkResponse(const std::string& body)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Get(acp::HttpPool& pool, const acp::SendOptions& options = { .timeout = kTimeout })
{
  acp::StringBody empty("");
  const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, options);
  if (!sent) {
    return std::string(acp::NameOf(sent.error().code));
  }
  return acp::ReadAll(sent.value()->Body(), 1000).value_or("too large");
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_failures)

// Guards against an error that says that nothing was sent although the request may have run, and
// against the reverse.
BOOST_AUTO_TEST_CASE(errors_tell_whether_anything_was_sent)
{
  acp::HttpServer closed(
    { .address = kAnyPort, .handler = [](acp::ServerExchange& e) { e.Abort(); } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = closed.Port() } });
  BOOST_TEST(Get(pool) == "connection_lost");
  closed.Stop(kTimeout);
  BOOST_TEST(Get(pool) == "unreachable");

  const ScriptedServer reused([](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    ReceiveBytes(connection);
    SendBytes(connection, OkResponse("one"));
    ReceiveBytes(connection);
    connection.close();
  });
  acp::HttpPool reusing({ .address = reused.ListenAddress() });
  BOOST_TEST(Get(reusing) == "one");
  BOOST_TEST(Get(reusing) == "connection_lost");
}

// Guards against a body above its limit that reaches an upstream completely, and against an error
// that says that nothing was sent once a part of the body has been sent.
BOOST_AUTO_TEST_CASE(body_limits_hold_while_streaming)
{
  std::atomic<int> complete{ 0 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            acp::ReadAll(exchange.RequestBody(), 1'000'000);
                            ++complete;
                            exchange.Respond({ .status = 200 }, "");
                          } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
  const auto send = [&pool](std::size_t size, std::size_t limit) {
    acp::StringBody body(std::string(size, 'x'));
    acp::LimitedBody limited(body, limit);
    const auto sent = pool.Send({ .method = "POST", .target = "/" }, limited, -1, kTimeout);
    return sent ? "sent" : std::string(acp::NameOf(sent.error().code));
  };
  BOOST_TEST(send(100, 100) == "sent");
  BOOST_TEST(send(100'000, 100'000) == "sent");
  BOOST_TEST(send(101, 100) == "body_too_large");
  BOOST_TEST(send(100'001, 100'000) == "connection_lost");
  BOOST_TEST(complete == 2);
  server.Stop(kTimeout);
}

// Guards against a response that is delivered to another request: after a timeout, a cancellation
// or an abort the connection must be closed before late bytes arrive.
BOOST_AUTO_TEST_CASE(late_responses_never_reach_another_request)
{
  std::promise<void> timedOut;
  std::promise<std::string> receivedAfterCancellation;
  std::stop_source caller;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto late = socket.acceptConnection();
    ReceiveBytes(late);
    timedOut.get_future().get();
    auto fresh = socket.acceptConnection();
    ReceiveBytes(fresh);
    // The client has closed this connection, so the send may fail.
    try {
      SendBytes(late, OkResponse("late"));
    } catch (const Poco::Exception&) {
    }
    SendBytes(fresh, OkResponse("fresh"));
    ReceiveBytes(fresh);
    SendBytes(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart");
    auto last = socket.acceptConnection();
    ReceiveBytes(last);
    SendBytes(last, OkResponse("last"));
    ReceiveBytes(last);
    caller.request_stop();
    receivedAfterCancellation.set_value(ReceiveBytes(last));
  });
  acp::HttpPool pool({ .address = server.ListenAddress() });
  BOOST_TEST(Get(pool, { .timeout = std::chrono::milliseconds(20) }) == "timeout");
  timedOut.set_value();
  BOOST_TEST(Get(pool) == "fresh");
  {
    acp::StringBody empty("");
    const auto cut = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
    cut.value()->Abort();
    char byte = 0;
    BOOST_CHECK_THROW(cut.value()->Body().Read(&byte, 1), acp::BodyTruncated);
  }
  BOOST_TEST(Get(pool) == "last");
  BOOST_TEST(Get(pool, { .timeout = kTimeout, .callerGone = caller.get_token() }) == "cancelled");
  BOOST_TEST(receivedAfterCancellation.get_future().get() == "");
  BOOST_TEST(pool.OpenConnections() == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_caller_disconnected)
{
  std::promise<std::string> received;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    received.set_value(ReceiveBytes(connection));
  });
  {
    acp::HttpPool pool({ .address = server.ListenAddress() });
    BOOST_TEST(Get(pool, { .timeout = kTimeout, .isCallerGone = [] { return true; } }) ==
               "abandoned");
  }
  {
    std::stop_source caller;
    caller.request_stop();
    acp::HttpPool pool({ .address = server.ListenAddress() });
    BOOST_TEST(Get(pool, { .timeout = kTimeout, .callerGone = caller.get_token() }) == "abandoned");
  }
  // An empty read shows that the pool closed its connection without sending.
  BOOST_TEST(received.get_future().get() == "");
}

// Guards against an upstream that keeps working on a response that no caller waits for.
BOOST_AUTO_TEST_CASE(caller_disconnect_aborts_a_response_body_in_progress)
{
  std::stop_source caller;
  std::promise<std::string> receivedAfterDisconnect;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    ReceiveBytes(connection);
    SendBytes(connection, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart");
    receivedAfterDisconnect.set_value(ReceiveBytes(connection));
  });
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .callerGone = caller.get_token() });
  caller.request_stop();
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  BOOST_TEST(receivedAfterDisconnect.get_future().get() == "");
}

// Guards against an unbounded wait for a free connection.
BOOST_AUTO_TEST_CASE(full_pool_fails_without_sending)
{
  std::promise<void> release;
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            release.get_future().get();
                            exchange.Respond({ .status = 200 }, "done");
                          } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() },
                       .maxConnections = 1,
                       .maxWait = std::chrono::milliseconds(20) });
  auto first = std::async(std::launch::async, [&] { return Get(pool); });
  while (pool.OpenConnections() == 0) {
    std::this_thread::yield();
  }
  BOOST_TEST(Get(pool) == "unreachable");
  release.set_value();
  BOOST_TEST(first.get() == "done");
  server.Stop(kTimeout);
}

// Guards against a pool that reserves its only connection for heartbeats.
BOOST_AUTO_TEST_CASE(heartbeats_leave_a_pool_of_one_connection_usable)
{
  acp::HttpServer server({ .address = kAnyPort, .handler = [](acp::ServerExchange& exchange) {
                            exchange.Respond({ .status = 200 }, "done");
                          } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() },
                       .maxConnections = 1,
                       .sendsHeartbeats = true });
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(Get(pool) == "done");
  }
  server.Stop(kTimeout);
}

// Guards against requests that wait on permanently silent connections while new ones would work.
BOOST_AUTO_TEST_CASE(silent_connections_are_retired_once_a_new_one_responds)
{
  std::promise<std::string> probe;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    // The first two connections carry one response each and are silent from then on.
    auto first = socket.acceptConnection();
    ReceiveBytes(first);
    auto second = socket.acceptConnection();
    ReceiveBytes(second);
    SendBytes(first, OkResponse("first"));
    SendBytes(second, OkResponse("second"));
    auto fresh = socket.acceptConnection();
    probe.set_value(ReceiveBytes(fresh));
    SendBytes(fresh, "HTTP/1.1 204 No Content\r\n\r\n");
    // Ends once PoolMaintainer has closed both connections.
    while (!ReceiveBytes(first).empty()) {
    }
    while (!ReceiveBytes(second).empty()) {
    }
  });
  acp::HttpPool pool({ .address = server.ListenAddress(), .sendsHeartbeats = true });
  auto one = std::async(std::launch::async, [&] { return Get(pool); });
  auto two = std::async(std::launch::async, [&] { return Get(pool); });
  one.get();
  two.get();
  // One of the two is idle; this request uses it and ends when the connection is closed as silent.
  BOOST_TEST(Get(pool) == "connection_lost");
  BOOST_TEST(probe.get_future().get().starts_with("GET /.acp/heartbeat "));
}

// Guards against an extra response that is taken for the one to a heartbeat, so that the latter is
// delivered to the next request.
BOOST_AUTO_TEST_CASE(extra_response_is_not_taken_for_a_heartbeat_response)
{
  std::promise<void> extraSent;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto first = socket.acceptConnection();
    ReceiveBytes(first);
    SendBytes(first, OkResponse("first"));
    ReceiveBytes(first); // the heartbeat
    SendBytes(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    extraSent.set_value();
    if (!ReceiveBytes(first).empty()) {
      SendBytes(first, "HTTP/1.1 204 No Content\r\n\r\n");
      return;
    }
    auto second = socket.acceptConnection();
    ReceiveBytes(second);
    SendBytes(second, OkResponse("second"));
  });
  acp::HttpPool pool({ .address = server.ListenAddress(),
                       .maxConnections = 1,
                       .maxWait = kTimeout,
                       .sendsHeartbeats = true });
  BOOST_TEST(Get(pool) == "first");
  extraSent.get_future().get();
  BOOST_TEST(Get(pool) == "second");
}

// Guards against memory that grows without limit while a faulty server sends an endless head.
BOOST_AUTO_TEST_CASE(endless_response_heads_end_the_connection)
{
  constexpr std::size_t kMaxSentBytes =
    8U << 20U; // above the socket buffers of both sides and the limit on heads
  struct EndlessBytes
  {
    std::string start;
    std::string repeated;
  };
  const std::vector<EndlessBytes> cases = {
    { "HTTP/1.1 200 OK\r\nX-Long: ", std::string(4096, 'x') },
    { "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", std::string(4096, 'x') },
  };
  for (const EndlessBytes& bytes : cases) {
    std::atomic<std::size_t> sentBytes{ 0 };
    std::optional<ScriptedServer> server(std::in_place, [&](Poco::Net::ServerSocket& socket) {
      auto connection = socket.acceptConnection();
      ReceiveBytes(connection);
      try {
        SendBytes(connection, bytes.start);
        while (sentBytes < kMaxSentBytes) {
          SendBytes(connection, bytes.repeated);
          sentBytes += bytes.repeated.size();
        }
      } catch (const Poco::Exception&) {
        return; // the client has closed
      }
    });
    acp::HttpPool pool({ .address = server->ListenAddress() });
    BOOST_TEST(Get(pool) == "connection_lost");
    BOOST_TEST(pool.OpenConnections() == 0);
    server.reset(); // waits for the end of the script
    BOOST_TEST(sentBytes < kMaxSentBytes);
  }
}

// Guards against a request that lasts for as long as a faulty server keeps sending.
BOOST_AUTO_TEST_CASE(endless_body_is_truncated_at_the_body_timeout)
{
  const ScriptedServer server([](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    ReceiveBytes(connection);
    try {
      SendBytes(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        SendBytes(connection, "1\r\nx\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    } catch (const Poco::Exception&) {
      return; // the client has closed
    }
  });
  constexpr int kMaxReads = 20'000;
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .bodyTimeout = std::chrono::milliseconds(50) });
  BOOST_REQUIRE(sent.has_value());
  int reads = 0;
  const auto readOn = [&] {
    char byte = 0;
    while (reads < kMaxReads) {
      sent.value()->Body().Read(&byte, 1);
      ++reads;
    }
  };
  BOOST_CHECK_THROW(readOn(), acp::BodyTruncated);
  BOOST_TEST(reads > 0);
  sent.value().reset();
  BOOST_TEST(pool.OpenConnections() == 0);
}

// P7, MIXED. Guards against reads that continue after a part of the body was lost, so that the body
// looks complete.
BOOST_AUTO_TEST_CASE(body_stays_truncated_after_an_idle_timeout)
{
  std::promise<void> cut;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    ReceiveBytes(connection);
    SendBytes(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello");
    cut.get_future().get();
    try {
      SendBytes(connection, "\r\n0\r\n\r\n");
      ReceiveBytes(connection);
    } catch (const Poco::Exception&) {
      return; // the client has closed
    }
  });
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .bodyIdleTimeout = std::chrono::milliseconds(20) });
  BOOST_REQUIRE(sent.has_value());
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  cut.set_value();
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  sent.value().reset();
  BOOST_TEST(pool.OpenConnections() == 0);
}

// Guards against lost connections for which no metric shows the reason.
BOOST_AUTO_TEST_CASE(closed_connections_are_counted_by_reason)
{
  std::stop_source caller;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto silent = socket.acceptConnection();
    ReceiveBytes(silent);
    auto left = socket.acceptConnection();
    ReceiveBytes(left);
    caller.request_stop();
    auto unread = socket.acceptConnection();
    ReceiveBytes(unread);
    SendBytes(unread, OkResponse("never read"));
    auto notKept = socket.acceptConnection();
    ReceiveBytes(notKept);
    SendBytes(notKept, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    auto broken = socket.acceptConnection();
    ReceiveBytes(broken);
    SendBytes(broken, OkResponse("once"));
    ReceiveBytes(broken);
  });
  const auto counts = std::make_shared<acp::ConnectionCounts>();
  acp::HttpPool pool({ .address = server.ListenAddress(), .counts = counts });
  BOOST_TEST(Get(pool, { .timeout = std::chrono::milliseconds(20) }) == "timeout");
  BOOST_TEST(Get(pool, { .timeout = kTimeout, .callerGone = caller.get_token() }) == "cancelled");
  acp::StringBody empty("");
  BOOST_TEST(pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout).has_value());
  BOOST_TEST(Get(pool) == "");
  BOOST_TEST(Get(pool) == "once");
  BOOST_TEST(Get(pool) == "connection_lost");
  using acp::ConnectionEvent;
  BOOST_TEST(counts->Of(ConnectionEvent::Opened) == 5U);
  for (const auto event : { ConnectionEvent::TimedOut,
                            ConnectionEvent::Cancelled,
                            ConnectionEvent::Unread,
                            ConnectionEvent::NotKept,
                            ConnectionEvent::Broken }) {
    BOOST_TEST(counts->Of(event) == 1U, acp::NameOf(event));
  }
  BOOST_TEST(counts->Of(ConnectionEvent::Stale) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
