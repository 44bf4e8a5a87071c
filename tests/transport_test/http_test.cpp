#include <boost/test/unit_test.hpp>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <thread>

#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "acaciapulley/transport/settings.hpp"

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(10);

/// Sends fixed bytes on the first connection and closes it.
class RawServer
{
public:
  explicit RawServer(std::string answer)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this, answer = std::move(answer)] {
      auto connection = socket_.acceptConnection();
      char buffer[4096];
      connection.receiveBytes(buffer, sizeof buffer);
      connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
      connection.shutdownSend();
      connection.receiveBytes(buffer, sizeof buffer);
    })
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

std::string FetchRaw(const std::string& answer)
{
  const RawServer server(answer);
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
  if (!sent) {
    return std::string(acp::NameOf(sent.error().code));
  }
  try {
    return acp::ReadAll(sent.value()->Body(), 1000).value_or("too large");
  } catch (const acp::BodyTruncated&) {
    return "truncated";
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(transport)

// P7. Guards against a response that ended early and looks complete.
BOOST_AUTO_TEST_CASE(truncated_responses_are_distinguished_from_complete_ones)
{
  BOOST_TEST(FetchRaw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello") == "hello");
  BOOST_TEST(FetchRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello") == "truncated");
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(FetchRaw(chunked + "5\r\nhello\r\n0\r\n\r\n") == "hello");
  BOOST_TEST(FetchRaw(chunked + "5\r\nhello\r\n") == "truncated");
  BOOST_TEST(FetchRaw(chunked + "5\r\nhel") == "truncated");
  BOOST_TEST(FetchRaw("HTTP/1.1 200 OK\r\n\r\nhello") == "hello"); // ends with its connection
  BOOST_TEST(FetchRaw("") == "connection_lost");
}

// Guards against a body that is changed or truncated between the server and the pool.
BOOST_AUTO_TEST_CASE(large_bodies_arrive_complete)
{
  const std::string large(5'000'000, 'x');
  acp::HttpServer server(
    { .address = { .ip = "127.0.0.1", .port = 0 }, .handler = [&](acp::ServerExchange& exchange) {
       acp::StringBody body(large);
       exchange.RespondStreaming({}, -1, body, nullptr);
     } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
  for (int i = 0; i < 3; ++i) {
    acp::StringBody empty("");
    const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
    BOOST_REQUIRE(sent);
    BOOST_TEST((acp::ReadAll(sent.value()->Body(), large.size()) == large));
  }
  server.Stop(kTimeout);
}

// Guards against invalid settings that are accepted.
BOOST_AUTO_TEST_CASE(setting_errors_name_flag_value_and_range)
{
  acp::Settings settings("program", "1", "summary");
  settings.AddInteger("slots", "slots", 5, 1, 9);
  settings.AddAddress("listen", "address", "127.0.0.1:1");
  const char* tooLarge[] = { "program", "--slots", "10" };
  BOOST_TEST(settings.Parse(3, tooLarge).error().message ==
             "--slots (ACP_SLOTS) is '10', allowed is a whole number from 1 to 9");
  const char* badAddress[] = { "program", "--slots", "9", "--listen", "host:80" };
  BOOST_TEST(settings.Parse(5, badAddress).error().message ==
             "--listen (ACP_LISTEN) is 'host:80', allowed is ip:port with a port from 0 to 65535");
  const char* unknown[] = { "program", "--slotz", "9" };
  BOOST_TEST(!settings.Parse(3, unknown).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
