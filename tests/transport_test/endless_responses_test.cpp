// By hand, with a longer load: ACP_ENDLESS_SECONDS=10 ACP_ENDLESS_CONNECTIONS=256 transport_test -t
// endless_responses -l message prints the growth of resident memory of each case.

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <latch>

#include <Poco/Net/StreamSocket.h>
#include <poll.h>
#include <sys/eventfd.h>

#include "acaciapulley/core/event_loop.hpp"
#include "acaciapulley/core/wait_point.hpp"
#include "acaciapulley/transport/detail/http_connection.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "endless_server.hpp"
#include "truncating_server.hpp"

namespace {

using namespace acp::test;

const acp::Address kAnyPort{ .ip = "127.0.0.1", .port = 0 };
constexpr acp::Duration kHeadTimeout = std::chrono::seconds(10);
constexpr acp::Duration kAttemptPause = std::chrono::milliseconds(5);
// Generous, since the machine may be busy; without a fault it is a few milliseconds.
constexpr acp::Duration kMaxOtherLatency = std::chrono::seconds(5);

const std::string kFilled(4096, 'x');
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kEmpty = kOk + "Content-Length: 0\r\n\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

/// How a client treats the body of a response.
enum class Reading
{
  Fast,
  Slow,
  CallerGone ///< disconnects during the body
};

struct EndlessCase
{
  std::string name;
  EndlessBytes bytes;
  Reading reading = Reading::Fast;
  int completeResponses = 0;
  bool sendsHeartbeats = false;
};

std::vector<EndlessCase> EndlessCases()
{
  const std::string chunk = "1000\r\n" + kFilled + "\r\n";
  const std::string close = kOk + "Connection: close\r\n\r\n";
  return {
    { "no response", { "", kFilled } },
    { "status line", { "HTTP/1.1 200 ", kFilled } },
    { "field line", { kOk + "X: ", kFilled } },
    { "fields", { kOk, "X-Field: 1\r\n" } },
    { "interim responses", { "", "HTTP/1.1 100 Continue\r\n\r\n" } },
    { "chunk size line", { kChunked, std::string(4096, '0') } },
    { "chunk extension", { kChunked + "5;", kFilled } },
    { "trailers", { kChunked + "0\r\n", "X-Field: 1\r\n" } },
    { "trailer line", { kChunked + "0\r\nX: ", kFilled } },
    { "chunked body", { kChunked, chunk } },
    { "chunks of one byte", { kChunked, "1\r\nx\r\n" } },
    { "segments of one byte", { kOk + "Content-Length: 999999999999\r\n\r\n", "x" } },
    { "body until close", { close, kFilled } },
    { "body until close, slow reader", { close, kFilled }, Reading::Slow },
    { "body until close, caller gone", { close, kFilled }, Reading::CallerGone },
    { "bytes behind a response", { kEmpty, kFilled } },
    { "responses behind a response", { kEmpty, kEmpty } },
    { "second response", { kOk + "X: ", kFilled }, Reading::Fast, 1 },
    { "heartbeat response", { kOk + "X: ", kFilled }, Reading::Fast, 1, true },
    { "bytes behind a heartbeat response",
      { "HTTP/1.1 204 No Content\r\n\r\n", kFilled },
      Reading::Fast,
      1,
      true },
  };
}

/// What clients saw.
struct Seen
{
  std::atomic<int> complete = 0;
  std::atomic<int> failed = 0;
  std::atomic<int> other = 0; ///< ended in a way that is not expected
};

void FetchOnce(acp::HttpPool& pool, Reading reading, acp::Duration bodyTimeout, Seen& seen)
{
  std::stop_source caller;
  acp::StringBody empty("");
  const auto sent = pool.Send(
    { .method = "GET", .target = "/" },
    empty,
    0,
    { .timeout = kHeadTimeout, .bodyTimeout = bodyTimeout, .callerGone = caller.get_token() });
  if (!sent) {
    ++(sent.error().code == acp::TransportErrorCode::ConnectionLost ? seen.failed : seen.other);
    return;
  }
  try {
    std::array<char, 16'384> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (sent.value()->Body().Read(buffer.data(), buffer.size()) > 0) {
      if (reading == Reading::Slow) {
        acp::SleepFor(std::chrono::milliseconds(10));
      } else if (reading == Reading::CallerGone) {
        caller.request_stop();
      }
    }
    ++seen.complete;
  } catch (const acp::BodyTruncated&) {
    ++seen.failed;
  }
}

/// Requests of others, to a server that is not faulty, during the load.
class OtherRequests
{
public:
  OtherRequests()
    : server_({ .address = kAnyPort,
                .handler = [](acp::ServerExchange& e) { e.Respond({ .status = 200 }, "ok"); },
                .runsInTasks = true })
    , pool_({ .address = { "127.0.0.1", server_.Port() } })
  {
  }

  /// Sends requests for @p span.
  void RunFor(acp::Duration span)
  {
    const auto end = acp::TimePoint::clock::now() + span;
    do {
      acp::StringBody empty("");
      const auto start = acp::TimePoint::clock::now();
      const auto sent = pool_.Send({ .method = "GET", .target = "/" }, empty, 0, kHeadTimeout);
      BOOST_REQUIRE(sent.has_value());
      BOOST_TEST(acp::ReadAll(sent.value()->Body(), 100).value_or("") == "ok");
      longest_ = std::max(longest_, acp::TimePoint::clock::now() - start);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    } while (acp::TimePoint::clock::now() < end);
  }

  [[nodiscard]] acp::Duration Longest() const { return longest_; }

private:
  acp::HttpServer server_;
  acp::HttpPool pool_;
  acp::Duration longest_{};
};

std::int64_t MillisOf(acp::Duration span)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

void Report(const std::string& name,
            const EndlessLoad& load,
            const MemoryPeak& memory,
            const OtherRequests& others,
            const std::string& text)
{
  BOOST_TEST_MESSAGE("ENDLESS " << name << " | " << load.connections << " | "
                                << memory.Growth() / 1024 << " KiB | others "
                                << MillisOf(others.Longest()) << " ms | " << text);
  BOOST_TEST(memory.Growth() <= load.MaxGrowth(), name << " took " << memory.Growth() << " bytes");
  BOOST_TEST(MillisOf(others.Longest()) <= MillisOf(kMaxOtherLatency), name);
}

/// Sends requests to a server that responds with @p endless, each in a task of an event loop.
void RunCase(const EndlessCase& endless)
{
  if (!EndlessLoad::IsSelected(endless.name)) {
    return;
  }
  const EndlessLoad load = EndlessLoad::FromEnvironment();
  EndlessServer server(endless.bytes, load.connections, endless.completeResponses);
  acp::HttpPool pool({ .address = server.ListenAddress(),
                       .maxConnections = load.connections,
                       .sendsHeartbeats = endless.sendsHeartbeats });
  OtherRequests others;
  Seen seen;
  std::latch ended(load.connections);
  const MemoryPeak memory;
  const auto end = acp::TimePoint::clock::now() + load.span;
  for (int i = 0; i < load.connections; ++i) {
    acp::EventLoops::Instance().Next().Spawn([&, end] {
      do {
        FetchOnce(pool, endless.reading, load.span / 2, seen);
        acp::SleepFor(endless.sendsHeartbeats ? std::chrono::milliseconds(400) : kAttemptPause);
      } while (acp::TimePoint::clock::now() < end);
      ended.count_down();
    });
  }
  others.RunFor(load.span);
  ended.wait();
  Report(endless.name,
         load,
         memory,
         others,
         std::to_string(server.SentBytes() >> 20U) + " MiB sent, " + std::to_string(seen.failed) +
           " failed, " + std::to_string(seen.complete) + " complete");
  const bool startsComplete =
    endless.completeResponses > 0 || endless.bytes.start.starts_with(kEmpty);
  BOOST_TEST(seen.other == 0, endless.name);
  BOOST_TEST((seen.complete > 0) == startsComplete, endless.name);
  BOOST_TEST((startsComplete || seen.failed >= load.connections), endless.name);
  // The maintainer closes idle connections with unsolicited input.
  const auto giveUpAt = acp::TimePoint::clock::now() + kHeadTimeout;
  while (pool.OpenConnections() > 0 && acp::TimePoint::clock::now() < giveUpAt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(pool.OpenConnections() == 0, endless.name);
}

/// Sends @p bytes on each of many connections to a server that does not read request bodies.
void RunServerCase(const std::string& name, const EndlessBytes& bytes, int maxConnections)
{
  if (!EndlessLoad::IsSelected(name)) {
    return;
  }
  const EndlessLoad load = EndlessLoad::FromEnvironment();
  OtherRequests others;
  acp::HttpServer server(
    { .address = kAnyPort,
      .maxConnections = maxConnections,
      .handler = [](acp::ServerExchange& e) { e.Respond({ .status = 503 }, "busy"); },
      .runsInTasks = true });
  std::atomic<std::uint64_t> sentBytes = 0;
  const MemoryPeak memory;
  {
    std::vector<std::jthread> senders;
    senders.reserve(static_cast<std::size_t>(load.connections));
    for (int i = 0; i < load.connections; ++i) {
      senders.emplace_back([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
          Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.Port()));
          sentBytes += SendEndless(socket.impl()->sockfd(), bytes, stop);
          std::this_thread::sleep_for(kAttemptPause);
        }
      });
    }
    others.RunFor(load.span);
    StopAll(senders);
  }
  Report(name, load, memory, others, std::to_string(sentBytes >> 20U) + " MiB sent");
  server.Stop(kHeadTimeout);
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_responses)

// Guards against memory and time that grow with the bytes of a faulty server.
BOOST_AUTO_TEST_CASE(response_without_end_takes_bounded_memory_and_fails)
{
  for (const EndlessCase& endless : EndlessCases()) {
    RunCase(endless);
  }
}

// Guards against memory and time that grow with the bytes of a faulty caller.
BOOST_AUTO_TEST_CASE(request_without_end_takes_bounded_memory)
{
  const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string fixed = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999999\r\n\r\n";
  const std::string heartbeat = "GET /.acp/heartbeat HTTP/1.1\r\nHost: h\r\n\r\n";
  RunServerCase("discarded chunked body", { chunked, "1000\r\n" + kFilled + "\r\n" }, 256);
  RunServerCase("discarded chunks of one byte", { chunked, "1\r\nx\r\n" }, 256);
  RunServerCase("discarded body", { fixed, kFilled }, 256);
  RunServerCase("request fields", { "GET / HTTP/1.1\r\n", "X-Field: 1\r\n" }, 256);
  RunServerCase("request line", { "", kFilled }, 256);
  RunServerCase("bytes behind a malformed head", { "x\r\n\r\n", kFilled }, 256);
  RunServerCase("pipelined heartbeats", { "", heartbeat }, 256);
  RunServerCase("connections above the limit", { "", kFilled }, 0);
}

// Guards against a packet to the caller for each chunk, during which a loop runs no other task.
BOOST_AUTO_TEST_CASE(small_chunks_that_have_arrived_are_read_together)
{
  constexpr int kChunks = 2000;
  constexpr int kMaxReads = 200;
  std::string bytes = kChunked;
  for (int i = 0; i < kChunks; ++i) {
    bytes += "1\r\nx\r\n";
  }
  TruncatingServer server;
  server.SetResponse(bytes + "0\r\n\r\n", ConnectionEnd::Close);
  acp::HttpPool pool({ .address = server.ListenAddress() });
  acp::StringBody empty("");
  const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kHeadTimeout);
  BOOST_REQUIRE(sent.has_value());
  std::array<char, 16'384> buffer{};
  std::size_t total = 0;
  int reads = 0;
  while (const auto count = sent.value()->Body().Read(buffer.data(), buffer.size())) {
    total += count;
    ++reads;
  }
  BOOST_TEST(total == kChunks);
  BOOST_TEST(reads <= kMaxReads);
}

// Guards against a task that runs as long as its peer sends ahead and takes what it writes.
BOOST_AUTO_TEST_CASE(task_that_writes_often_lets_others_run)
{
  constexpr int kWrites = 200;
  constexpr int kMinTurns = 5;
  std::array<int, 2> ends{};
  BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
  const int alwaysReadable = ::eventfd(1, EFD_CLOEXEC);
  acp::detail::HttpConnection connection(
    Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(ends[0])),
    acp::detail::ConnectionEnd::Opened);
  std::atomic<bool> isDone = false;
  int turnsOfOther = 0;
  int written = 0;
  {
    acp::EventLoop loop;
    std::latch ended(2);
    const auto deadline = acp::TimePoint::clock::now() + kHeadTimeout;
    loop.Spawn([&] {
      const auto isReady = [&] {
        return acp::WaitUntilReady(alwaysReadable, POLLIN, deadline) == acp::WaitResult::Ready;
      };
      while (!isDone && isReady()) {
        ++turnsOfOther;
      }
      ended.count_down();
    });
    loop.Spawn([&] {
      while (written < kWrites &&
             connection.Write("x", {}, deadline) == acp::detail::IoStatus::Ok) {
        ++written;
      }
      isDone = true;
      ended.count_down();
    });
    ended.wait();
  }
  ::close(alwaysReadable);
  ::close(ends[1]);
  BOOST_TEST(written == kWrites);
  BOOST_TEST(turnsOfOther >= kMinTurns);
}

// Guards against a timer that is kept until its deadline for each read that has ended long before.
BOOST_AUTO_TEST_CASE(reads_that_have_ended_take_no_memory)
{
  constexpr int kWaits = 500'000;
  constexpr std::int64_t kMaxGrowth = std::int64_t{ 4 } << 20;
  const int alwaysReadable = ::eventfd(1, EFD_CLOEXEC);
  BOOST_REQUIRE(alwaysReadable >= 0);
  std::int64_t growth = 0;
  {
    acp::EventLoop loop;
    std::latch ended(1);
    // Expires before the timers of the reads.
    loop.Spawn([] { acp::SleepFor(std::chrono::minutes(1)); });
    loop.Spawn([&] {
      const std::int64_t start = ResidentBytes();
      const auto deadline = acp::TimePoint::clock::now() + std::chrono::hours(1);
      for (int i = 0; i < kWaits; ++i) {
        if (acp::WaitUntilReady(alwaysReadable, POLLIN, deadline) != acp::WaitResult::Ready) {
          break;
        }
      }
      growth = ResidentBytes() - start;
      ended.count_down();
    });
    ended.wait();
  }
  ::close(alwaysReadable);
  BOOST_TEST_MESSAGE("ENDLESS ended waits | " << kWaits << " | " << growth / 1024 << " KiB");
  BOOST_TEST(growth <= kMaxGrowth);
}

BOOST_AUTO_TEST_SUITE_END()
