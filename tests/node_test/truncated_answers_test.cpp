#include <boost/test/unit_test.hpp>

#include <array>
#include <charconv>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "../transport_test/cutting_server.hpp"
#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr const char* kEmpty = "\r\n\r\n";

std::size_t NumberAt(const std::string& text, std::size_t at, int base)
{
  std::size_t number = std::string::npos;
  std::from_chars(text.data() + std::min(at, text.size()), text.data() + text.size(), number, base);
  return number;
}

/// Reads a body in chunks; whole only with its last chunk.
FetchResult ReadChunks(FetchResult answer, std::string rest)
{
  while (true) {
    const std::size_t end = rest.find("\r\n");
    const std::size_t size = NumberAt(rest, 0, 16);
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

/// What a caller makes of all that it received, independently of the product's
/// reader.
FetchResult Interpret(const std::string& bytes)
{
  FetchResult answer;
  const std::size_t headEnd = bytes.find(kEmpty);
  if (headEnd == std::string::npos) {
    return answer;
  }
  const std::string head = bytes.substr(0, headEnd + 2);
  const std::string rest = bytes.substr(headEnd + 4);
  answer.status = static_cast<int>(NumberAt(head, std::string("HTTP/1.1 ").size(), 10));
  if (head.find("Transfer-Encoding: chunked\r\n") != std::string::npos) {
    return ReadChunks(answer, rest);
  }
  const std::string field = "Content-Length: ";
  const std::size_t at = head.find(field);
  answer.body = rest;
  answer.isComplete =
    at != std::string::npos && NumberAt(head, at + field.size(), 10) == rest.size();
  return answer;
}

/// Sends a request on a connection of its own and reads to the end of the
/// connection.
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
    return Interpret(received); // reset
  }
  return Interpret(received);
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

/// A node beside an upstream that cuts its answers, and one that has no
/// upstream of the service.
struct Fleet
{
  explicit Fleet(bool routesByFleet = true)
    : far({ .id = "far", .control = &control, .routesByFleet = routesByFleet })
    , near({ .id = "near", .service = "back", .control = &control, .routesByFleet = routesByFleet })
  {
    Announce(far, upstream.Where());
    far.SetMembers({ &far });
    near.SetMembers({ &far });
  }

  FakeControl control;
  CuttingServer upstream;
  TestNode far;
  TestNode near;
};

/// Checks that no cut of @p answer looks whole to a caller of @p entry.
void CheckCuts(const RawAnswer& answer, EndBy end, TestNode Fleet::*entry)
{
  Fleet fleet;
  const auto port = (fleet.*entry).IngressPort();
  for (std::size_t size = 0; size < answer.bytes.size(); ++size) {
    fleet.upstream.Give(answer.bytes.substr(0, size), end);
    const std::string name = "cut-" + std::to_string(size) + "-";
    // Each byte gets a request that may be repeated by one end, and one that
    // may not by the other.
    const bool isRead = (size % 2 == 0) == (end == EndBy::Close);
    const FetchResult seen = FetchRaw(port, isRead ? FleetRead(name) : FleetOrder(name));
    BOOST_TEST(!IsWholeSuccess(seen), answer.name << " cut at " << size << ": " << seen.body);
    BOOST_TEST(fleet.upstream.Received(name) == 1);
  }
  fleet.upstream.Give(answer.bytes, EndBy::Close);
  const FetchResult whole = FetchRaw(port, FleetRead("whole"));
  BOOST_TEST(IsWholeSuccess(whole) == answer.hasKnownEnd);
  BOOST_TEST((!answer.hasKnownEnd || whole.body == answer.body));
}

} // namespace

BOOST_AUTO_TEST_SUITE(truncated_answers)

// P7, MIXED. Guards against an answer that its upstream cut and that a node
// frames as whole.
BOOST_AUTO_TEST_CASE(an_answer_cut_by_the_own_upstream_is_a_visible_failure)
{
  for (const RawAnswer& answer : WellFormedAnswers()) {
    CheckCuts(answer, EndBy::Close, &Fleet::far);
    CheckCuts(answer, EndBy::Reset, &Fleet::far);
  }
}

// P7, MIXED. Guards against an answer cut at the far node that looks whole at
// the near one.
BOOST_AUTO_TEST_CASE(an_answer_cut_behind_a_peer_is_a_visible_failure)
{
  for (const RawAnswer& answer : WellFormedAnswers()) {
    CheckCuts(answer, EndBy::Close, &Fleet::near);
    CheckCuts(answer, EndBy::Reset, &Fleet::near);
  }
}

// P7, MIXED, TWICE. Guards against a retry that mixes two answers, and against
// a second run.
BOOST_AUTO_TEST_CASE(a_cut_answer_is_followed_by_a_whole_other_one_or_by_none)
{
  const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  int retried = 0;
  for (const RawAnswer& answer : WellFormedAnswers()) {
    for (std::size_t size = 0; size < answer.bytes.size(); size += 19) {
      Fleet fleet;
      CuttingServer second;
      TestNode spare({ .id = "spare", .control = &fleet.control, .routesByFleet = true });
      Announce(spare, second.Where());
      fleet.far.SetMembers({ &fleet.far, &spare });
      fleet.upstream.Give(answer.bytes.substr(0, size), EndBy::Reset);
      second.Give(other, EndBy::Close);
      const FetchResult read = FetchRaw(fleet.far.IngressPort(), FleetRead("read"));
      BOOST_TEST((!IsWholeSuccess(read) || read.body == "other"), answer.name << ": " << read.body);
      retried += IsWholeSuccess(read) && fleet.upstream.Received("read") == 1 ? 1 : 0;
      const FetchResult order = FetchRaw(fleet.far.IngressPort(), FleetOrder("order"));
      const int runs = fleet.upstream.Received("order") + second.Received("order");
      BOOST_TEST(runs == 1);
      BOOST_TEST((!IsWholeSuccess(order) || order.body == "other"), answer.name);
    }
  }
  BOOST_TEST(retried > 0);
}

// P7, P9, MIXED. Guards against a cut answer that is recorded and given to a
// resend as whole.
BOOST_AUTO_TEST_CASE(a_cut_answer_is_not_recorded_as_the_outcome_of_its_order)
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
  for (const std::string rest : { "", "zz\r\n0\r\n\r\n", "5\r\n, worldxx\r\n0\r\n\r\n" }) {
    Fleet fleet(false);
    fleet.upstream.Give(chunked + rest, EndBy::Close);
    for (TestNode Fleet::*entry : { &Fleet::far, &Fleet::near, &Fleet::far }) {
      const FetchResult answer = FetchRaw((fleet.*entry).IngressPort(), OrderRequest("cut"));
      BOOST_TEST(!IsWholeSuccess(answer), rest << ": " << answer.body);
    }
    BOOST_TEST(fleet.upstream.Received("order-cut") == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()
