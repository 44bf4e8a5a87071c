#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <semaphore>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "acaciapulley/core/event_loop.hpp"
#include "acaciapulley/transport/http_client.hpp"

// Responses that are interrupted by a reset, by this side, or by a busy event loop.

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(10);
const std::string kPartWithoutLength = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";

/// Accepts one connection, receives a first part of the request and calls a function.
class OneShotServer
{
public:
  explicit OneShotServer(std::function<void(Poco::Net::StreamSocket&)> respond)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", 0))
    , thread_([this, respond = std::move(respond)] {
      auto connection = socket_.acceptConnection();
      char buffer[4096];
      connection.receiveBytes(buffer, sizeof buffer);
      respond(connection);
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

void SendText(Poco::Net::StreamSocket& socket, const std::string& text)
{
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

/// Waits until the client closes.
void AwaitClose(Poco::Net::StreamSocket& socket)
{
  char buffer[4096];
  try {
    while (socket.receiveBytes(buffer, sizeof buffer) > 0) {
    }
  } catch (const Poco::Exception&) {
    return; // reset
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(interrupted_responses)

// P7. Guards against a reset that is reported to the send and then looks like the end of a body.
BOOST_AUTO_TEST_CASE(reset_while_the_request_is_sent_does_not_complete_a_body_without_length)
{
  constexpr std::size_t kRequestBytes = 30'000'000;
  for (int i = 0; i < 10; ++i) {
    const OneShotServer server([](Poco::Net::StreamSocket& connection) {
      SendText(connection, kPartWithoutLength);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      connection.setLinger(true, 0);
      connection.close();
    });
    acp::HttpPool pool({ .address = server.ListenAddress() });
    acp::StringBody body(std::string(kRequestBytes, 'x'));
    const auto sent =
      pool.Send({ .method = "POST", .target = "/" }, body, std::int64_t{ kRequestBytes }, kTimeout);
    if (sent) {
      BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
    }
  }
}

// P7. Guards against a body that an abort by this side makes look complete.
BOOST_AUTO_TEST_CASE(own_abort_does_not_complete_a_body_without_length)
{
  const OneShotServer server([](Poco::Net::StreamSocket& connection) {
    SendText(connection, kPartWithoutLength);
    AwaitClose(connection);
  });
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
  BOOST_REQUIRE(sent.has_value());
  const std::jthread aborter([&sent] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    sent.value()->Abort();
  });
  BOOST_CHECK_THROW(acp::ReadAll(sent.value()->Body(), 1000), acp::BodyTruncated);
}

// Guards against a response that has arrived in time and is dropped because the loop was busy.
BOOST_AUTO_TEST_CASE(response_that_arrived_while_the_loop_was_busy_is_read)
{
  std::binary_semaphore requestReceived{ 0 };
  std::binary_semaphore loopBusy{ 0 };
  std::binary_semaphore responseSent{ 0 };
  const OneShotServer server([&](Poco::Net::StreamSocket& connection) {
    requestReceived.release();
    loopBusy.acquire();
    SendText(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    responseSent.release();
    AwaitClose(connection);
  });
  constexpr acp::Duration kSendTimeout = std::chrono::milliseconds(500);
  acp::EventLoop loop;
  std::promise<bool> succeeded;
  {
    acp::HttpPool pool({ .address = server.ListenAddress() });
    loop.Spawn([&] {
      acp::StringBody empty("");
      const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kSendTimeout);
      succeeded.set_value(sent.has_value());
    });
    requestReceived.acquire();
    loop.Post([&] {
      loopBusy.release();
      responseSent.acquire();
      std::this_thread::sleep_for(kSendTimeout);
    });
    BOOST_TEST(succeeded.get_future().get());
  }
}

BOOST_AUTO_TEST_SUITE_END()
