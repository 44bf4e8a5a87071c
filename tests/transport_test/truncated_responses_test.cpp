#include <boost/test/unit_test.hpp>

#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <stdexcept>

#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "truncating_server.hpp"

namespace {

using namespace acp::test;

constexpr acp::Duration kTimeout = std::chrono::seconds(10);
const acp::Address kAnyPort{ .ip = "127.0.0.1", .port = 0 };
constexpr const char* kFailure = "failure";

/// Returns the body of a complete response, or kFailure.
std::string Fetch(acp::HttpPool& pool, const std::string& method = "GET")
{
  acp::StringBody empty("");
  const auto sent = pool.Send({ .method = method, .target = "/" }, empty, 0, kTimeout);
  if (!sent) {
    BOOST_TEST(acp::NameOf(sent.error().code) == "connection_lost");
    return kFailure;
  }
  try {
    return acp::ReadAll(sent.value()->Body(), 1000).value_or("too large");
  } catch (const acp::BodyTruncated&) {
    return kFailure;
  }
}

/// Returns the result of a client that receives @p bytes and then the end of the connection.
std::string FetchBytes(const std::string& bytes, const std::string& method = "GET")
{
  TruncatingServer server;
  server.SetResponse(bytes, ConnectionEnd::Close);
  acp::HttpPool pool({ .address = server.ListenAddress() });
  return Fetch(pool, method);
}

/// Sends @p bytes and returns everything that the server sends.
std::string Exchange(const acp::HttpServer& server, const std::string& bytes)
{
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.Port()));
  socket.setReceiveTimeout(Poco::Timespan(10, 0));
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  socket.shutdownSend();
  std::string received;
  std::array<char, 4096> buffer{};
  for (int count = 1; count > 0;) {
    count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
  }
  return received;
}

/// A body whose reads fail with an exception other than BodyTruncated.
class FailingBody final : public acp::BodySource
{
public:
  std::size_t Read(char* buffer, std::size_t size) override
  {
    if (++reads_ > 3) {
      throw std::runtime_error("no memory");
    }
    std::fill_n(buffer, size, 'x');
    return size;
  }

private:
  int reads_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_responses)

// P7, MIXED. Guards against a response that ends early, at any byte, and looks complete.
BOOST_AUTO_TEST_CASE(response_truncated_at_any_byte_never_looks_complete)
{
  for (const RawResponse& response : WellFormedResponses()) {
    for (const ConnectionEnd end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
      TruncatingServer server;
      acp::HttpPool pool({ .address = server.ListenAddress() });
      for (std::size_t size = 0; size < response.bytes.size(); ++size) {
        server.SetResponse(response.bytes.substr(0, size), end);
        const std::string seen = Fetch(pool);
        const std::string expected =
          response.IsCompleteAt(size, end) ? response.BodyAt(size) : kFailure;
        BOOST_TEST(seen == expected,
                   response.name << " truncated at byte " << size << " gave " << seen);
        BOOST_TEST(pool.OpenConnections() == 0);
      }
      server.SetResponse(response.bytes, end);
      const std::string complete = Fetch(pool);
      if (!response.isDelimited && end == ConnectionEnd::Reset) {
        BOOST_TEST(complete == kFailure, response.name << " gave " << complete);
      } else if (end == ConnectionEnd::Close) {
        BOOST_TEST(complete == response.body, response.name << " gave " << complete);
      } else {
        BOOST_TEST((complete == response.body || complete == kFailure),
                   response.name << " gave " << complete);
      }
    }
  }
}

// P7, MIXED. Guards against a response whose end two readers could find at different positions.
BOOST_AUTO_TEST_CASE(response_with_ambiguous_framing_is_rejected)
{
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto& bytes : {
         std::string("HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\nContent-Length: 3\n\nab\r\n\r\nabc"),
         std::string("HTTP/1.1 200 OK\rContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 200 \x01\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 200\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 200 OK\n\n"),
         std::string("HTTP/1.1 200 OK\r\r"),
         std::string("HTTP/1.1 20\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/2 200\r\nContent-Length: 0\r\n\r\n"),
         std::string("\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
         std::string("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
         start + "Content-Length: 0\nX: y\r\n\r\n",
         start + "Content-Length: 0\r\nX\r\n\r\n",
         start + "Content-Length: 1\r\n 0\r\n\r\n",
         start + "Content-Length : 0\r\n\r\n",
         start + "Content-Length: 0\r\nContent-Length: 5\r\n\r\nhello",
         start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
         start + "Content-Length: 5, 5\r\n\r\nhello",
         start + "Content-Length: \r\n\r\n",
         start + "Content-Length: -1\r\n\r\n",
         start + "Content-Length: +0\r\n\r\n",
         start + "Content-Length: 0x0\r\n\r\n",
         start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         start + "Content-Length: 18446744073709551616\r\n\r\n",
         start + "Content-Length: 18446744073709551621\r\n\r\nhello",
         start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         start + "Transfer-Encoding: \r\n\r\n0\r\n\r\n",
         start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         chunked + "-0\r\n\r\n",
         chunked + "\r\n\r\n",
         chunked + "0\n\n",
         chunked + "5\nhello\n0\n\n",
         chunked + "5\r\nhello0\r\n\r\n",
         chunked + "5\r\nhello\r\n10000000000000000\r\n\r\n",
         chunked + "5\r\nhello\r\n0x0\r\n\r\n",
       }) {
    const std::string seen = FetchBytes(bytes);
    BOOST_TEST(seen == kFailure, bytes << " gave " << seen);
  }
}

// Guards against a client that rejects valid responses.
BOOST_AUTO_TEST_CASE(unusual_but_valid_framing_is_accepted)
{
  BOOST_TEST(FetchBytes("HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello") == "hello");
  BOOST_TEST(FetchBytes("HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello") == "hello");
  BOOST_TEST(FetchBytes("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello") == "hello");
  BOOST_TEST(FetchBytes("HTTP/1.1 204 No Content\r\n\r\n") == "");
  BOOST_TEST(FetchBytes("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n") == "");
  BOOST_TEST(FetchBytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD") == "");
}

// P7, MIXED. Guards against a body that continues after bytes with invalid framing.
BOOST_AUTO_TEST_CASE(body_stays_truncated_after_a_framing_error)
{
  for (const std::string rest : { "zz\r\n0\r\n\r\n", "5\r\nhelloxx\r\n0\r\n\r\n" }) {
    TruncatingServer server;
    server.SetResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n" + rest,
                       ConnectionEnd::Close);
    acp::HttpPool pool({ .address = server.ListenAddress() });
    acp::StringBody empty("");
    auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
    BOOST_REQUIRE(sent.has_value());
    for (int i = 0; i < 3; ++i) {
      BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
    }
    sent.value().reset();
    BOOST_TEST(pool.OpenConnections() == 0);
  }
}

// Guards against request smuggling: a request in the rest of a body with invalid framing.
BOOST_AUTO_TEST_CASE(no_request_is_served_after_a_malformed_request_body)
{
  std::atomic<int> served{ 0 };
  acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                            ++served;
                            try {
                              acp::ReadAll(exchange.RequestBody(), 1000);
                              exchange.Respond({ .status = 200 }, "");
                            } catch (const acp::BodyTruncated&) {
                              exchange.Respond({ .status = 400 }, "");
                            }
                          } });
  Exchange(server,
           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n0\r\n\r\n"
           "GET /hidden HTTP/1.1\r\n\r\n");
  BOOST_TEST(served == 1);
  server.Stop(kTimeout);
}

// P7, MIXED. Guards against a response that is read as the rest of a body whose handler failed.
BOOST_AUTO_TEST_CASE(failing_handler_ends_the_connection)
{
  const auto failing = [] { throw std::runtime_error("not recorded"); };
  for (const bool failsInBody : { true, false }) {
    std::atomic<int> served{ 0 };
    acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                              ++served;
                              FailingBody broken;
                              acp::StringBody complete("hello");
                              if (failsInBody) {
                                exchange.RespondStreaming({}, 100'000, broken, nullptr);
                              } else {
                                exchange.RespondStreaming({}, 5, complete, failing);
                              }
                            } });
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    const std::string received = Exchange(server, request + request);
    BOOST_TEST(served == 1);
    // The only response: a part of the broken body, or the server's own.
    BOOST_TEST(received.rfind("HTTP/1.1") == 0U);
    BOOST_TEST(received.starts_with("HTTP/1.1 500 ") == !failsInBody);
    BOOST_TEST((received.find("Connection: close\r\n") != std::string::npos) == !failsInBody);
    server.Stop(kTimeout);
  }
}

// P7, MIXED. Guards against a response that is read as the rest of a body shorter than declared,
// and against the end of a longer body that is read as the next response.
BOOST_AUTO_TEST_CASE(response_body_of_wrong_length_ends_the_connection)
{
  for (const std::int64_t declared : { 4, 6, 20'000 }) {
    std::atomic<int> served{ 0 };
    std::atomic<int> fullySent{ 0 };
    acp::HttpServer server({ .address = kAnyPort, .handler = [&](acp::ServerExchange& exchange) {
                              ++served;
                              acp::StringBody body("hello");
                              const auto result =
                                exchange.RespondStreaming({}, declared, body, nullptr);
                              BOOST_TEST((result == acp::StreamingResult::NotStarted));
                              fullySent += result == acp::StreamingResult::Complete ? 1 : 0;
                            } });
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    const std::string received = Exchange(server, request + request);
    BOOST_TEST(served == 1);
    BOOST_TEST(fullySent == 0);
    // Nothing of the response was sent, so that the server's own is the only one.
    BOOST_TEST(received.starts_with("HTTP/1.1 500 "));
    BOOST_TEST(received.rfind("HTTP/1.1") == 0U);
    BOOST_TEST(received.find("hello") == std::string::npos);
    BOOST_TEST(received.find("Connection: close\r\n") != std::string::npos);
    server.Stop(kTimeout);
  }
}

// Guards against memory and time that grow without limit with endless framing.
BOOST_AUTO_TEST_CASE(endless_framing_ends_the_connection)
{
  // Above the socket buffers of both sides, which shows whether the client stops reading.
  constexpr std::size_t kEndlessBytes = 16U << 20U;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string filled(4096, 'x');
  struct EndlessFraming
  {
    std::string start;
    std::string repeated;
  };
  for (const EndlessFraming& endless : { EndlessFraming{ chunked + "0\r\n", "X-Field: 1\r\n" },
                                         EndlessFraming{ chunked + "0\r\nX-Long: ", filled },
                                         EndlessFraming{ chunked + "5;", filled },
                                         EndlessFraming{ chunked, std::string(4096, '0') } }) {
    std::string bytes = endless.start;
    while (bytes.size() < kEndlessBytes) {
      bytes += endless.repeated;
    }
    TruncatingServer server;
    server.SetResponse(bytes, ConnectionEnd::Close);
    acp::HttpPool pool({ .address = server.ListenAddress() });
    BOOST_TEST(Fetch(pool) == kFailure);
    BOOST_TEST(pool.OpenConnections() == 0);
    server.Stop();
    BOOST_TEST(server.HasClientClosedEarly(),
               "the client read all of " << endless.repeated.substr(0, 20));
  }
}

BOOST_AUTO_TEST_SUITE_END()
