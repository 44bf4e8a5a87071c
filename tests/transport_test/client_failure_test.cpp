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

/// Runs one script over the connections it accepts.
class ScriptedServer
{
public:
  explicit ScriptedServer(std::function<void(Poco::Net::ServerSocket&)> script)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this, script = std::move(script)] { script(socket_); })
  {
  }

  [[nodiscard]] acp::Address Where() const
  {
    return { .ip = "127.0.0.1", .port = socket_.address().port() };
  }

private:
  Poco::Net::ServerSocket socket_;
  std::jthread thread_;
};

std::string Take(Poco::Net::StreamSocket& connection)
{
  char buffer[4096];
  const int count = connection.receiveBytes(buffer, sizeof buffer);
  return std::string(buffer, static_cast<std::size_t>(std::max(count, 0)));
}

void Give(Poco::Net::StreamSocket& connection, const std::string& bytes)
{
  connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

std::string Answer(const std::string& body)
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

// Guards against "nothing was sent" for a request that may have run, and the other way round.
BOOST_AUTO_TEST_CASE(errors_tell_whether_anything_was_sent)
{
  acp::HttpServer closed({ .address = kAnyPort, .handler = [](acp::ServerExchange&) {} });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = closed.Port() } });
  BOOST_TEST(Get(pool) == "connection_lost");
  closed.Stop(kTimeout);
  BOOST_TEST(Get(pool) == "unreachable");

  const ScriptedServer reused([](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    Take(connection);
    Give(connection, Answer("one"));
    Take(connection);
    connection.close();
  });
  acp::HttpPool reusing({ .address = reused.Where() });
  BOOST_TEST(Get(reusing) == "one");
  BOOST_TEST(Get(reusing) == "connection_lost");
}

// Guards against a body over its limit that reaches an upstream whole, and against "not sent" once
// a part of it has left.
BOOST_AUTO_TEST_CASE(body_limits_hold_while_streaming)
{
  std::atomic<int> whole{ 0 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            acp::ReadAll(exchange.RequestBody(), 1'000'000);
                            ++whole;
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
  BOOST_TEST(whole == 2);
  server.Stop(kTimeout);
}

// Guards against an answer that reaches another request: after a timeout, a cancellation or an
// abort the late bytes must find their connection closed.
BOOST_AUTO_TEST_CASE(late_answers_never_reach_another_request)
{
  std::promise<void> timedOut;
  std::promise<std::string> afterCancellation;
  std::stop_source caller;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto late = socket.acceptConnection();
    Take(late);
    timedOut.get_future().get();
    auto fresh = socket.acceptConnection();
    Take(fresh);
    // The client has closed this connection, so that the send may fail.
    try {
      Give(late, Answer("late"));
    } catch (const Poco::Exception&) {
    }
    Give(fresh, Answer("fresh"));
    Take(fresh);
    Give(fresh, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart");
    auto last = socket.acceptConnection();
    Take(last);
    Give(last, Answer("last"));
    Take(last);
    caller.request_stop();
    afterCancellation.set_value(Take(last));
  });
  acp::HttpPool pool({ .address = server.Where() });
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
  BOOST_TEST(afterCancellation.get_future().get() == "");
  BOOST_TEST(pool.OpenConnections() == 0);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_for_a_caller_that_left_while_it_waited_for_a_connection)
{
  std::promise<std::string> received;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    received.set_value(Take(connection));
  });
  {
    acp::HttpPool pool({ .address = server.Where() });
    BOOST_TEST(Get(pool, { .timeout = kTimeout, .isCallerGone = [] { return true; } }) ==
               "abandoned");
  }
  {
    std::stop_source caller;
    caller.request_stop();
    acp::HttpPool pool({ .address = server.Where() });
    BOOST_TEST(Get(pool, { .timeout = kTimeout, .callerGone = caller.get_token() }) == "abandoned");
  }
  // The pool has closed the connection that it opened.
  BOOST_TEST(received.get_future().get() == "");
}

// Guards against an upstream that works on while the node waits for the rest of the answer.
BOOST_AUTO_TEST_CASE(body_is_cut_for_a_caller_that_leaves_while_it_arrives)
{
  std::stop_source caller;
  std::promise<std::string> afterLeaving;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    Take(connection);
    Give(connection, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart");
    afterLeaving.set_value(Take(connection));
  });
  acp::HttpPool pool({ .address = server.Where() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .callerGone = caller.get_token() });
  caller.request_stop();
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  BOOST_TEST(afterLeaving.get_future().get() == "");
}

// Guards against waiting without bound for a free connection.
BOOST_AUTO_TEST_CASE(a_full_pool_refuses_without_sending)
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

// Guards against a pool whose only connection is kept back for heartbeats.
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

// Guards against requests that wait on connections that went silent for good while new ones work.
BOOST_AUTO_TEST_CASE(silent_connections_are_retired_once_a_fresh_one_answers)
{
  std::promise<std::string> probe;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    // The first two connections answer one request each and are silent from then on.
    auto first = socket.acceptConnection();
    Take(first);
    auto second = socket.acceptConnection();
    Take(second);
    Give(first, Answer("first"));
    Give(second, Answer("second"));
    auto fresh = socket.acceptConnection();
    probe.set_value(Take(fresh));
    Give(fresh, "HTTP/1.1 204 No Content\r\n\r\n");
    // The keeper's close of both is what the test waits for.
    while (!Take(first).empty()) {
    }
    while (!Take(second).empty()) {
    }
  });
  acp::HttpPool pool({ .address = server.Where(), .sendsHeartbeats = true });
  auto one = std::async(std::launch::async, [&] { return Get(pool); });
  auto two = std::async(std::launch::async, [&] { return Get(pool); });
  one.get();
  two.get();
  // One of the two is idle; this request uses it, and ends when the connection is retired.
  BOOST_TEST(Get(pool) == "connection_lost");
  BOOST_TEST(probe.get_future().get().starts_with("GET /.acp/heartbeat "));
}

// Guards against a heartbeat's answer that reaches a request, since another was taken for it.
BOOST_AUTO_TEST_CASE(an_extra_answer_is_not_taken_for_a_heartbeats)
{
  std::promise<void> extraSent;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto first = socket.acceptConnection();
    Take(first);
    Give(first, Answer("first"));
    Take(first); // the heartbeat
    Give(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    extraSent.set_value();
    if (!Take(first).empty()) {
      Give(first, "HTTP/1.1 204 No Content\r\n\r\n");
      return;
    }
    auto second = socket.acceptConnection();
    Take(second);
    Give(second, Answer("second"));
  });
  acp::HttpPool pool({ .address = server.Where(),
                       .maxConnections = 1,
                       .maxWait = kTimeout,
                       .sendsHeartbeats = true });
  BOOST_TEST(Get(pool) == "first");
  extraSent.get_future().get();
  BOOST_TEST(Get(pool) == "second");
}

// Guards against memory that grows with what a broken server sends before the end of a head.
BOOST_AUTO_TEST_CASE(heads_without_end_are_cut)
{
  constexpr std::size_t kMostTaken = 8U
                                     << 20U; // of both sides' socket buffers and the head's bound
  struct Endless
  {
    std::string start;
    std::string repeated;
  };
  const std::vector<Endless> cases = {
    { "HTTP/1.1 200 OK\r\nX-Long: ", std::string(4096, 'x') },
    { "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", std::string(4096, 'x') },
  };
  for (const Endless& bytes : cases) {
    std::atomic<std::size_t> taken{ 0 };
    std::optional<ScriptedServer> server(std::in_place, [&](Poco::Net::ServerSocket& socket) {
      auto connection = socket.acceptConnection();
      Take(connection);
      try {
        Give(connection, bytes.start);
        while (taken < kMostTaken) {
          Give(connection, bytes.repeated);
          taken += bytes.repeated.size();
        }
      } catch (const Poco::Exception&) {
        return; // the client has closed
      }
    });
    acp::HttpPool pool({ .address = server->Where() });
    BOOST_TEST(Get(pool) == "connection_lost");
    BOOST_TEST(pool.OpenConnections() == 0);
    server.reset(); // waits for the script's end
    BOOST_TEST(taken < kMostTaken);
  }
}

// Guards against a request that lasts as long as a broken server sends.
BOOST_AUTO_TEST_CASE(a_body_without_end_is_cut_at_its_time)
{
  const ScriptedServer server([](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    Take(connection);
    try {
      Give(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        Give(connection, "1\r\nx\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
    } catch (const Poco::Exception&) {
      return; // the client has closed
    }
  });
  constexpr int kMostReads = 20'000;
  acp::HttpPool pool({ .address = server.Where() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .bodyTime = std::chrono::milliseconds(50) });
  BOOST_REQUIRE(sent.has_value());
  int reads = 0;
  const auto readOn = [&] {
    char byte = 0;
    while (reads < kMostReads) {
      sent.value()->Body().Read(&byte, 1);
      ++reads;
    }
  };
  BOOST_CHECK_THROW(readOn(), acp::BodyTruncated);
  BOOST_TEST(reads > 0);
  sent.value().reset();
  BOOST_TEST(pool.OpenConnections() == 0);
}

// P7, MIXED. Guards against a body that is read on, and as whole, after a part of it was lost.
BOOST_AUTO_TEST_CASE(a_body_that_was_silent_for_too_long_stays_cut)
{
  std::promise<void> cut;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto connection = socket.acceptConnection();
    Take(connection);
    Give(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello");
    cut.get_future().get();
    try {
      Give(connection, "\r\n0\r\n\r\n");
      Take(connection);
    } catch (const Poco::Exception&) {
      return; // the client has closed
    }
  });
  acp::HttpPool pool({ .address = server.Where() });
  acp::StringBody empty("");
  auto sent = pool.Send({ .method = "GET", .target = "/" },
                        empty,
                        0,
                        { .timeout = kTimeout, .bodySilence = std::chrono::milliseconds(20) });
  BOOST_REQUIRE(sent.has_value());
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  cut.set_value();
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
  sent.value().reset();
  BOOST_TEST(pool.OpenConnections() == 0);
}

// Guards against connections that are lost without a trace of who ended them.
BOOST_AUTO_TEST_CASE(closed_connections_are_counted_by_their_reason)
{
  std::stop_source caller;
  const ScriptedServer server([&](Poco::Net::ServerSocket& socket) {
    auto silent = socket.acceptConnection();
    Take(silent);
    auto left = socket.acceptConnection();
    Take(left);
    caller.request_stop();
    auto unread = socket.acceptConnection();
    Take(unread);
    Give(unread, Answer("never read"));
    auto notKept = socket.acceptConnection();
    Take(notKept);
    Give(notKept, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    auto broken = socket.acceptConnection();
    Take(broken);
    Give(broken, Answer("once"));
    Take(broken);
  });
  const auto counts = std::make_shared<acp::ConnectionCounts>();
  acp::HttpPool pool({ .address = server.Where(), .counts = counts });
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
