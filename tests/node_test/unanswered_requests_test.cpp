#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "../transport_test/truncating_server.hpp"
#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

// Requests that were forwarded and must not end without a response to their caller.

namespace {

using namespace acp::test;

/// A caller that keeps its connection open.
class KeptConnection
{
public:
  explicit KeptConnection(std::uint16_t port)
    : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
  {
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  /// Sends a request and returns the status of its complete response, or 0 if there is none.
  int Send(const acp::HttpRequestHead& head)
  {
    const std::string text = acp::detail::FormatRequestHead(head, "h", 0);
    try {
      socket_.sendBytes(text.data(), static_cast<int>(text.size()));
      return ReceiveResponse();
    } catch (const Poco::Exception&) {
      return 0;
    }
  }

  /// Returns the body of the last response; chunks are not decoded.
  [[nodiscard]] const std::string& Body() const { return body_; }

  /// Returns what was received behind the head of a response that did not end.
  [[nodiscard]] const std::string& Unfinished() const { return received_; }

private:
  bool Receive()
  {
    std::array<char, 4096> buffer{};
    const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    received_.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    return count > 0;
  }

  int ReceiveResponse()
  {
    while (received_.find("\r\n\r\n") == std::string::npos) {
      if (!Receive()) {
        return 0;
      }
    }
    const std::size_t headEnd = received_.find("\r\n\r\n") + 4;
    acp::HttpResponseHead head;
    acp::detail::MessageFraming framing;
    BOOST_REQUIRE(
      !acp::detail::ParseResponseHead(received_.substr(0, headEnd), "GET", &head, &framing));
    received_.erase(0, headEnd);
    const bool isChunked = framing.bodyLength == acp::detail::kChunked;
    const auto isComplete = [&] {
      return isChunked ? received_.ends_with("0\r\n\r\n")
                       : received_.size() >= static_cast<std::size_t>(framing.bodyLength);
    };
    while (!isComplete()) {
      if (!Receive()) {
        return 0;
      }
    }
    body_ = std::exchange(received_, "");
    return head.status;
  }

  Poco::Net::StreamSocket socket_;
  std::string received_;
  std::string body_;
};

/// A node beside an upstream that closes its connection after each response, and a node that
/// reaches it over a hop.
struct Fleet
{
  explicit Fleet(const std::string& response, ConnectionEnd end = ConnectionEnd::Close)
  {
    upstream.SetResponse(response, end);
    near.AnnounceAt(upstream.ListenAddress().port);
    near.SetMembers({ &near });
    far.SetMembers({ &near });
  }

  FakeControl control;
  TruncatingServer upstream;
  TestNode near{ { .id = "near", .control = &control, .routesByFleet = true } };
  TestNode far{ { .id = "far", .service = "back", .control = &control, .routesByFleet = true } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(unanswered_requests)

// P7. Guards against a valid response that is dropped because it ends with its connection.
BOOST_AUTO_TEST_CASE(response_without_length_reaches_callers_on_kept_connections)
{
  for (const std::string version : { "HTTP/1.1", "HTTP/1.0" }) {
    const Fleet fleet(version + " 200 OK\r\n\r\nhello, world");
    for (const TestNode* entry : { &fleet.near, &fleet.far }) {
      KeptConnection caller(entry->IngressPort());
      for (int i = 0; i < 3; ++i) {
        BOOST_TEST(caller.Send(FleetRead("read")) == 200);
        BOOST_TEST(caller.Body().find("hello, world") != std::string::npos);
        BOOST_TEST(caller.Send(FleetOrder("order")) == 200);
      }
    }
    BOOST_TEST(fleet.upstream.CountRequests("order") == 6);
  }
}

// P7. Guards against a connection that is closed although its response has not begun.
BOOST_AUTO_TEST_CASE(response_cut_before_its_first_byte_is_answered_on_kept_connections)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const ConnectionEnd end : { ConnectionEnd::Close, ConnectionEnd::Reset }) {
    for (const std::string& cut : { head + "Content-Length: 12\r\n\r\nhello",
                                    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                                    head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                                    head + "Content-Length: 5\r\n\r\n" }) {
      const Fleet fleet(cut, end);
      for (const TestNode* entry : { &fleet.near, &fleet.far }) {
        KeptConnection caller(entry->IngressPort());
        for (int i = 0; i < 3; ++i) {
          BOOST_TEST(caller.Send(FleetOrder("order")) == 502);
          BOOST_TEST(caller.Send(FleetRead("read")) == 502);
        }
      }
      BOOST_TEST(fleet.upstream.CountRequests("order") == 6);
    }
  }
}

// P7. Guards against a second response behind one of which a part was sent.
BOOST_AUTO_TEST_CASE(response_cut_after_a_part_was_sent_ends_the_connection)
{
  const Fleet fleet("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(60'000, 'x'));
  for (const TestNode* entry : { &fleet.near, &fleet.far }) {
    KeptConnection caller(entry->IngressPort());
    BOOST_TEST(caller.Send(FleetOrder("order")) == 0);
    BOOST_TEST(caller.Unfinished().find("HTTP/1.1") == std::string::npos);
    BOOST_TEST(caller.Unfinished().size() < 100'000U);
  }
  BOOST_TEST(fleet.upstream.CountRequests("order") == 2);
}

// P2. Guards against an idempotent request that is given up although another upstream could answer
// it.
BOOST_AUTO_TEST_CASE(response_cut_before_its_first_byte_is_retried_at_another_upstream)
{
  constexpr int kMaxFleets = 200; // the first member is picked at random
  int retried = 0;
  for (int i = 0; i < kMaxFleets && retried == 0; ++i) {
    Fleet fleet("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello");
    FakeUpstream healthy;
    TestNode spare(
      { .id = "spare", .control = &fleet.control, .upstream = &healthy, .routesByFleet = true });
    fleet.far.SetMembers({ &fleet.near, &spare });
    KeptConnection caller(fleet.far.IngressPort());
    BOOST_TEST(caller.Send(FleetRead("read")) == 200);
    retried = fleet.upstream.CountRequests("read");
  }
  BOOST_TEST(retried == 1);
}

BOOST_AUTO_TEST_SUITE_END()
