#include <boost/test/unit_test.hpp>

#include <array>
#include <charconv>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "../transport_test/truncating_server.hpp"
#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr const char* kHeadEnd = "\r\n\r\n";

std::size_t ParseNumberAt(const std::string& text, std::size_t at, int base)
{
  std::size_t number = std::string::npos;
  std::from_chars(text.data() + std::min(at, text.size()), text.data() + text.size(), number, base);
  return number;
}

/// Parses a chunked body, which is complete only with its last chunk.
FetchResult ParseChunkedBody(FetchResult answer, std::string rest)
{
  while (true) {
    const std::size_t end = rest.find("\r\n");
    const std::size_t size = ParseNumberAt(rest, 0, 16);
    if (end == std::string::npos || size > rest.size() || rest.size() < end + size + 4) {
      return answer;
    }
    answer.body += rest.substr(end + 2, size);
    rest.erase(0, end + size + 4);
    if (size == 0) {
      answer.isComplete = rest.empty();
      return answer;
    }
  }
}

/// Parses a response as a caller does, independently of the project's own
/// parser.
FetchResult ParseResponse(const std::string& bytes)
{
  FetchResult answer;
  const std::size_t headEnd = bytes.find(kHeadEnd);
  if (headEnd == std::string::npos) {
    return answer;
  }
  const std::string head = bytes.substr(0, headEnd + 2);
  const std::string rest = bytes.substr(headEnd + 4);
  answer.status = static_cast<int>(ParseNumberAt(head, std::string("HTTP/1.1 ").size(), 10));
  if (head.find("Transfer-Encoding: chunked\r\n") != std::string::npos) {
    return ParseChunkedBody(answer, rest);
  }
  const std::string field = "Content-Length: ";
  const std::size_t at = head.find(field);
  answer.body = rest;
  answer.isComplete =
    at != std::string::npos && ParseNumberAt(head, at + field.size(), 10) == rest.size();
  return answer;
}

/// Sends a request on a new connection and reads until the connection is closed.
FetchResult FetchRaw(std::uint16_t port, const acp::HttpRequestHead& head)
{
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
  socket.setReceiveTimeout(Poco::Timespan(30, 0));
  std::string text = acp::detail::FormatRequestHead(head, "h", 0);
  text.insert(text.size() - 2, "Connection: close\r\n");
  socket.sendBytes(text.data(), static_cast<int>(text.size()));
  std::string received;
  std::array<char, 4096> buffer{};
  try {
    for (int count = 1; count > 0;) {
      count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      received.append(buffer.data(), static_cast<std::size_t>(std::max(count, 0)));
    }
  } catch (const Poco::Net::NetException&) {
    return ParseResponse(received); // reset
  }
  return ParseResponse(received);
}

bool IsWholeSuccess(const FetchResult& answer)
{
  return answer.isComplete && answer.status >= 200 && answer.status < 300;
}

void Announce(const TestNode& node, const acp::Address& upstream)
{
  const std::string body = R"({"service":"front","address":")" + upstream.ToString() +
                           R"(","slots":100,"max_connections":100})";
  Fetch(node.EgressPort(), { .method = "PUT", .target = "/.acp/upstream" }, body);
}

/// A node with an upstream that truncates its responses, and one without an
/// upstream of the service.
struct Fleet
{
  explicit Fleet(bool routesByFleet = true)
    : upstreamNode({ .id = "far", .control = &control, .routesByFleet = routesByFleet })
    , entryNode(
        { .id = "near", .service = "back", .control = &control, .routesByFleet = routesByFleet })
  {
    Announce(upstreamNode, upstream.ListenAddress());
    upstreamNode.SetMembers({ &upstreamNode });
    entryNode.SetMembers({ &upstreamNode });
  }

  FakeControl control;
  TruncatingServer upstream;
  TestNode upstreamNode;
  TestNode entryNode;
};

/// Checks that no truncation of @p answer looks complete to a caller of @p entry.
void CheckTruncations(const RawResponse& answer, ConnectionEnd end, TestNode Fleet::*entry)
{
  Fleet fleet;
  const auto port = (fleet.*entry).IngressPort();
  for (std::size_t size = 0; size < answer.bytes.size(); ++size) {
    fleet.upstream.SetResponse(answer.bytes.substr(0, size), end);
    const std::string name = "cut-" + std::to_string(size) + "-";
    // Each length is tested with an idempotent request for one way to end the
    // connection, and with a non-idempotent one for the other.
    const bool isRead = (size % 2 == 0) == (end == ConnectionEnd::Close);
    const FetchResult seen = FetchRaw(port, isRead ? FleetRead(name) : FleetOrder(name));
    BOOST_TEST(IsWholeSuccess(seen) == answer.IsCompleteAt(size, end),
               answer.name << " cut at " << size << ": " << seen.body);
    BOOST_TEST((!IsWholeSuccess(seen) || seen.body == answer.BodyAt(size)));
    BOOST_TEST(fleet.upstream.CountRequests(name) == 1);
  }
  fleet.upstream.SetResponse(answer.bytes, ConnectionEnd::Close);
  const FetchResult whole = FetchRaw(port, FleetRead("whole"));
  BOOST_TEST(IsWholeSuccess(whole));
  BOOST_TEST(whole.body == answer.body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_responses)

// P7, MIXED. Guards against a response truncated by its upstream that a node
// frames as complete.
BOOST_AUTO_TEST_CASE(response_truncated_by_the_local_upstream_never_looks_complete)
{
  for (const RawResponse& answer : WellFormedResponses()) {
    CheckTruncations(answer, ConnectionEnd::Close, &Fleet::upstreamNode);
    CheckTruncations(answer, ConnectionEnd::Reset, &Fleet::upstreamNode);
  }
}

// P7, MIXED. Guards against a response truncated at a peer that looks complete
// at the entry node.
BOOST_AUTO_TEST_CASE(response_truncated_behind_a_peer_never_looks_complete)
{
  for (const RawResponse& answer : WellFormedResponses()) {
    CheckTruncations(answer, ConnectionEnd::Close, &Fleet::entryNode);
    CheckTruncations(answer, ConnectionEnd::Reset, &Fleet::entryNode);
  }
}

// P7, MIXED, TWICE. Guards against a retry that mixes two responses, and
// against a second run of a non-idempotent request.
BOOST_AUTO_TEST_CASE(retry_after_a_truncated_response_gives_one_complete_response_or_none)
{
  const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  int retried = 0;
  for (const RawResponse& answer : WellFormedResponses()) {
    for (std::size_t size = 0; size < answer.bytes.size(); size += 19) {
      Fleet fleet;
      TruncatingServer second;
      TestNode spare({ .id = "spare", .control = &fleet.control, .routesByFleet = true });
      Announce(spare, second.ListenAddress());
      fleet.upstreamNode.SetMembers({ &fleet.upstreamNode, &spare });
      fleet.upstream.SetResponse(answer.bytes.substr(0, size), ConnectionEnd::Reset);
      second.SetResponse(other, ConnectionEnd::Close);
      const FetchResult read = FetchRaw(fleet.upstreamNode.IngressPort(), FleetRead("read"));
      BOOST_TEST((!IsWholeSuccess(read) || read.body == "other"), answer.name << ": " << read.body);
      retried += IsWholeSuccess(read) && fleet.upstream.CountRequests("read") == 1 ? 1 : 0;
      const FetchResult order = FetchRaw(fleet.upstreamNode.IngressPort(), FleetOrder("order"));
      const int runs = fleet.upstream.CountRequests("order") + second.CountRequests("order");
      BOOST_TEST(runs == 1);
      BOOST_TEST((!IsWholeSuccess(order) || order.body == "other"), answer.name);
    }
  }
  BOOST_TEST(retried > 0);
}

// P7, P9, MIXED. Guards against a truncated response that is recorded and
// delivered to a resend as complete.
BOOST_AUTO_TEST_CASE(truncated_response_is_not_recorded_as_a_claims_outcome)
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  for (const std::string rest : { "", "zz\r\n0\r\n\r\n", "5\r\n, worldxx\r\n0\r\n\r\n" }) {
    Fleet fleet(false);
    fleet.upstream.SetResponse(chunked + rest, ConnectionEnd::Close);
    for (TestNode Fleet::*entry :
         { &Fleet::upstreamNode, &Fleet::entryNode, &Fleet::upstreamNode }) {
      const FetchResult answer = FetchRaw((fleet.*entry).IngressPort(), OrderRequest("cut"));
      BOOST_TEST(!IsWholeSuccess(answer), rest << ": " << answer.body);
    }
    BOOST_TEST(fleet.upstream.CountRequests("order-cut") == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
