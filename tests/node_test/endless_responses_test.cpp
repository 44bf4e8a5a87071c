// By hand, with a longer load: ACP_ENDLESS_SECONDS=10 ACP_ENDLESS_CONNECTIONS=256 node_test -t
// endless_responses -l message prints the growth of resident memory of each case.

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <thread>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "../transport_test/endless_server.hpp"
#include "acaciapulley/transport/detail/http_framing.hpp"
#include "pipeline_fixture.hpp"

namespace {

using namespace acp::test;

constexpr acp::Duration kAttemptPause = std::chrono::milliseconds(5);
// Generous, since the machine may be busy; without a fault it is a few milliseconds.
constexpr acp::Duration kMaxOtherLatency = std::chrono::seconds(5);
constexpr acp::Duration kMaxFirstResponse = std::chrono::seconds(20);
constexpr std::size_t kBytesUntilDisconnect = 65'536;

const std::string kFilled(4096, 'x');
const std::string kOk = "HTTP/1.1 200 OK\r\n";
// Larger than a node holds back before it starts its own response.
const std::string kLargeChunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

/// How a caller treats the body of a response.
enum class Reading
{
  Fast,
  Slow,
  Disconnect ///< during the body
};

enum class RequestKind
{
  Read,
  Order,
  ClaimedOrder ///< its outcome is recorded
};

struct EndlessCase
{
  std::string name;
  EndlessBytes bytes;
  Reading reading = Reading::Fast;
  RequestKind kind = RequestKind::Read;
  int status = 200; ///< of the responses that callers receive
};

std::vector<EndlessCase> EndlessCases()
{
  const std::string chunk = "1000\r\n" + kFilled + "\r\n";
  const std::string notRun = "HTTP/1.1 503 X\r\nAcp-Outcome: not-run\r\n\r\n";
  return {
    { "no response", { "", kFilled }, Reading::Fast, RequestKind::Read, 502 },
    { "fields", { kOk, "X-Field: 1\r\n" }, Reading::Fast, RequestKind::Order, 502 },
    { "interim responses",
      { "", "HTTP/1.1 100 Continue\r\n\r\n" },
      Reading::Fast,
      RequestKind::Read,
      502 },
    { "trailers", { kChunked + kLargeChunk + "0\r\n", "X-Field: 1\r\n" } },
    { "chunked body", { kChunked, chunk } },
    { "chunks of one byte", { kChunked, "1\r\nx\r\n" } },
    { "body until close", { kOk + "\r\n", kFilled } },
    { "body until close, slow caller", { kOk + "\r\n", kFilled }, Reading::Slow },
    { "body until close, caller gone", { kOk + "\r\n", kFilled }, Reading::Disconnect },
    { "body of an order, caller gone",
      { kOk + "\r\n", kFilled },
      Reading::Disconnect,
      RequestKind::Order },
    { "recorded body, caller gone",
      { kOk + "\r\n", kFilled },
      Reading::Disconnect,
      RequestKind::ClaimedOrder },
    { "body of a refusal", { notRun, kFilled }, Reading::Fast, RequestKind::Read, 503 },
    { "body of a server error",
      { "HTTP/1.1 500 X\r\n\r\n", kFilled },
      Reading::Fast,
      RequestKind::Read,
      500 },
  };
}

acp::HttpRequestHead RequestOf(RequestKind kind, const std::string& name)
{
  if (kind == RequestKind::ClaimedOrder) {
    return OrderRequest(name);
  }
  return kind == RequestKind::Order ? FleetOrder(name) : FleetRead(name);
}

/// Callers, each on a connection of its own, that send requests one after the other.
class Callers
{
public:
  Callers(const EndlessCase& endless, std::uint16_t port, int count)
    : endless_(endless)
    , port_(port)
  {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, i](const std::stop_token& stop) {
        for (int number = 0; !stop.stop_requested(); ++number) {
          Call(std::to_string(i) + "-" + std::to_string(number), stop);
          std::this_thread::sleep_for(kAttemptPause);
        }
      });
    }
  }

  void Stop() { StopAll(threads_); }
  /// Returns the number of responses with the status of the case.
  [[nodiscard]] int Expected() const { return expected_; }
  [[nodiscard]] int Others() const { return others_; }
  [[nodiscard]] std::uint64_t ReceivedBytes() const { return receivedBytes_; }

private:
  void Call(const std::string& name, const std::stop_token& stop)
  {
    Poco::Net::StreamSocket socket;
    try {
      socket.connect(Poco::Net::SocketAddress("127.0.0.1", port_));
      socket.setReceiveTimeout(Poco::Timespan(0, 50'000));
      const auto text = acp::detail::FormatRequestHead(RequestOf(endless_.kind, name), "h", 0);
      socket.sendBytes(text.data(), static_cast<int>(text.size()));
    } catch (const Poco::Exception&) {
      return;
    }
    std::size_t received = 0;
    std::array<char, 16'384> buffer{};
    while (!stop.stop_requested() &&
           (endless_.reading != Reading::Disconnect || received < kBytesUntilDisconnect)) {
      int count = 0;
      try {
        count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      } catch (const Poco::TimeoutException&) {
        continue;
      } catch (const Poco::Exception&) {
        return; // reset
      }
      if (count <= 0) {
        return;
      }
      if (received == 0) {
        const std::string_view start(buffer.data(), static_cast<std::size_t>(count));
        const bool isExpected =
          start.starts_with("HTTP/1.1 " + std::to_string(endless_.status) + " ");
        ++(isExpected ? expected_ : others_);
      }
      received += static_cast<std::size_t>(count);
      receivedBytes_ += static_cast<std::uint64_t>(count);
      if (endless_.status >= 500) {
        return;
      }
      if (endless_.reading == Reading::Slow) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
  }

  const EndlessCase& endless_;
  std::uint16_t port_;
  std::atomic<int> expected_ = 0;
  std::atomic<int> others_ = 0;
  std::atomic<std::uint64_t> receivedBytes_ = 0;
  std::vector<std::jthread> threads_;
};

/// A node whose upstream is faulty, an entry node in front of it, and a node with an upstream that
/// is not faulty. All share the event loops of the process.
struct Fleet
{
  Fleet(const EndlessBytes& bytes, int connections, bool routesByFleet)
    : faultyNode({ .id = "far", .control = &control, .routesByFleet = routesByFleet })
    , entryNode(
        { .id = "near", .service = "back", .control = &control, .routesByFleet = routesByFleet })
    , otherNode({ .id = "other", .control = &control, .upstream = &healthy, .routesByFleet = true })
    , faulty(std::in_place, bytes, connections)
  {
    faultyNode.AnnounceAt(faulty->ListenAddress().port);
    faultyNode.SetMembers({ &faultyNode });
    entryNode.SetMembers({ &faultyNode });
    otherNode.SetMembers({ &otherNode });
  }

  FakeControl control;
  FakeUpstream healthy;
  TestNode faultyNode;
  TestNode entryNode;
  TestNode otherNode;
  std::optional<EndlessServer> faulty;
};

/// Sends requests of others for @p span and returns the longest latency.
acp::Duration SendOthers(const TestNode& node, acp::Duration span)
{
  acp::Duration longest{};
  const auto end = acp::TimePoint::clock::now() + span;
  do {
    const auto start = acp::TimePoint::clock::now();
    BOOST_TEST(Fetch(node.IngressPort(), FleetRead("other")).status == 200);
    longest = std::max(longest, acp::TimePoint::clock::now() - start);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  } while (acp::TimePoint::clock::now() < end);
  return longest;
}

std::int64_t MillisOf(acp::Duration span)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

void RunCase(const EndlessCase& endless, TestNode Fleet::*entry)
{
  if (!EndlessLoad::IsSelected(endless.name)) {
    return;
  }
  const EndlessLoad load = EndlessLoad::FromEnvironment();
  Fleet fleet(endless.bytes, load.connections, endless.kind != RequestKind::ClaimedOrder);
  const std::string name = endless.name + (entry == &Fleet::entryNode ? ", through a peer" : "");
  const MemoryPeak memory;
  Callers callers(endless, (fleet.*entry).IngressPort(), load.connections);
  const acp::Duration longest = SendOthers(fleet.otherNode, load.span);
  const auto giveUpAt = acp::TimePoint::clock::now() + kMaxFirstResponse;
  while (callers.Expected() == 0 && acp::TimePoint::clock::now() < giveUpAt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  callers.Stop();
  const std::uint64_t sentBytes = fleet.faulty->SentBytes();
  fleet.faulty.reset();
  BOOST_TEST_MESSAGE("ENDLESS " << name << " | " << load.connections << " | "
                                << memory.Growth() / 1024 << " KiB | others " << MillisOf(longest)
                                << " ms | " << (sentBytes >> 20U) << " MiB sent on closed ones, "
                                << (callers.ReceivedBytes() >> 20U) << " MiB to callers, "
                                << callers.Expected() << " as expected, " << callers.Others()
                                << " other");
  BOOST_TEST(memory.Growth() <= load.MaxGrowth(), name << " took " << memory.Growth() << " bytes");
  BOOST_TEST(MillisOf(longest) <= MillisOf(kMaxOtherLatency), name);
  BOOST_TEST(callers.Expected() > 0, name);
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_responses)

// Guards against memory that grows with the bytes of a faulty upstream, and against requests of
// others that wait for it.
BOOST_AUTO_TEST_CASE(response_without_end_of_the_local_upstream_takes_bounded_memory)
{
  for (const EndlessCase& endless : EndlessCases()) {
    RunCase(endless, &Fleet::faultyNode);
  }
}

BOOST_AUTO_TEST_CASE(response_without_end_behind_a_peer_takes_bounded_memory)
{
  for (const EndlessCase& endless : EndlessCases()) {
    RunCase(endless, &Fleet::entryNode);
  }
}

// Guards against an upstream whose responses end early, once part of them is sent, and that keeps
// getting its share of the requests.
BOOST_AUTO_TEST_CASE(upstream_whose_bodies_do_not_end_is_avoided)
{
  constexpr int kRequests = 60;
  // Five failures in a row, and trials after 1, 2, 4 and 8 s.
  constexpr int kMaxFaultyRequests = 15;
  for (TestNode Fleet::*entry : { &Fleet::faultyNode, &Fleet::entryNode }) {
    Fleet fleet({ kChunked + kLargeChunk + "5;", kFilled }, 1, true);
    (fleet.*entry).SetMembers({ &fleet.faultyNode, &fleet.otherNode });
    int complete = 0;
    for (int i = 0; i < kRequests; ++i) {
      const FetchResult seen = Fetch((fleet.*entry).IngressPort(), FleetRead(std::to_string(i)));
      complete += seen.status == 200 && seen.isComplete ? 1 : 0;
    }
    const int faulty = fleet.faulty->Requests();
    BOOST_TEST_MESSAGE("ENDLESS avoided upstream | " << faulty << " of " << kRequests);
    BOOST_TEST(faulty > 0);
    BOOST_TEST(faulty <= kMaxFaultyRequests);
    BOOST_TEST(complete == kRequests - faulty);
  }
}

BOOST_AUTO_TEST_SUITE_END()
