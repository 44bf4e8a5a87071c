#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "acaciapulley/core/wait_point.hpp"
#include "acaciapulley/transport/detail/http_framing.hpp"
#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"

namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 10s;

/// A server that keeps the last request head and responds with 200.
struct RecordingServer
{
  explicit RecordingServer(acp::HttpServerOptions options)
    : server([&] {
      options.address = { .ip = "127.0.0.1" };
      options.handler = [this](acp::ServerExchange& exchange) {
        {
          const std::lock_guard lock(mutex);
          last = exchange.Request();
          ++count;
          isFirstOnConnection = exchange.IsFirstOnConnection();
        }
        exchange.Respond({ .status = 200 }, "");
      };
      return options;
    }())
  {
  }

  int StatusOf(const acp::HttpRequestHead& head)
  {
    acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
    acp::StringBody empty("");
    const auto sent = pool.Send(head, empty, 0, kTimeout);
    return sent ? sent.value()->Response().status : 0;
  }

  std::mutex mutex;
  acp::HttpRequestHead last;
  int count = 0;
  bool isFirstOnConnection = false;
  acp::HttpServer server;
};

/// Returns a head that has @p size bytes when it is sent to @p recording.
acp::HttpRequestHead HeadOfSize(const RecordingServer& recording, std::size_t size, bool isTarget)
{
  acp::HttpRequestHead head{ .method = "GET", .target = "/" };
  head.headers.Set("Host", "127.0.0.1:" + std::to_string(recording.server.Port()));
  head.headers.Set("X", "");
  const std::size_t rest = size - acp::detail::FormatRequestHead(head, "", 0).size();
  if (isTarget) {
    head.target += std::string(rest, 't');
  } else {
    head.headers.Set("X", std::string(rest, 'v'));
  }
  return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_limits)

// Guards against a proper request that is answered with 400 because of the limits of the HTTP
// library: 100 fields, 256 bytes in a name, and 8 KiB in a value.
BOOST_AUTO_TEST_CASE(many_fields_and_long_values_within_the_head_limit_are_accepted)
{
  RecordingServer recording({});
  acp::HttpRequestHead head{ .method = "GET", .target = "/a/?q==?utf-8?B?eA==?=" };
  const std::string longValue(9'000, 'v');
  head.headers.Set("X-Long", longValue);
  const std::string longName(300, 'n');
  head.headers.Set(longName, "1");
  head.headers.Set("X-Encoded", "=?utf-8?B?DQpYOiB5?=");
  for (int i = 0; i < 150; ++i) {
    head.headers.Set("X-" + std::to_string(i), std::to_string(i));
  }
  BOOST_TEST(recording.StatusOf(head) == 200);
  BOOST_TEST(recording.last.target == head.target);
  BOOST_TEST(recording.last.headers.Find("X-Long").value_or("") == longValue);
  BOOST_TEST(recording.last.headers.Find("X-Encoded").value_or("") == "=?utf-8?B?DQpYOiB5?=");
  BOOST_TEST(recording.last.headers.Find("X-149").value_or("") == "149");
  BOOST_TEST(recording.last.headers.Find(longName).value_or("") == "1");
  head.headers.Set("X-Longer", std::string(8'000, 'v'));
  BOOST_TEST(recording.StatusOf(head) == 413);
}

// Guards against a request of a caller or of a peer that gets 204 and never runs, because its path
// is that of heartbeats.
BOOST_AUTO_TEST_CASE(request_to_the_path_of_heartbeats_is_handled)
{
  const acp::HttpRequestHead plain{ .method = "GET", .target = "/.acp/heartbeat" };
  acp::HttpRequestHead ofPeer = plain;
  ofPeer.headers.Set("Acp-Attempt", "1");
  RecordingServer ingress({});
  BOOST_TEST(ingress.StatusOf(plain) == 200);
  RecordingServer peer({ .echoedField = "Acp-Attempt", .answersHeartbeats = true });
  BOOST_TEST(peer.StatusOf(plain) == 204);
  BOOST_TEST(peer.StatusOf(ofPeer) == 200);
  BOOST_TEST(peer.count == 1);
}

// Guards against a connection that is closed before the idle timeout of the configuration, or is
// kept after it.
BOOST_AUTO_TEST_CASE(idle_timeout_follows_the_configuration)
{
  std::atomic<int> timeoutMs = 50;
  RecordingServer recording({ .currentLimits = [&] {
    return acp::CallerLimits{ .idleTimeout = std::chrono::milliseconds(timeoutMs.load()) };
  } });
  const auto isKept = [&](acp::Duration pause) {
    acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = recording.server.Port() } });
    acp::StringBody empty("");
    const acp::HttpRequestHead head{ .method = "GET", .target = "/" };
    BOOST_TEST(pool.Send(head, empty, 0, kTimeout).has_value());
    acp::SleepFor(pause);
    BOOST_TEST(pool.Send(head, empty, 0, kTimeout).has_value());
    return !recording.isFirstOnConnection;
  };
  BOOST_TEST(!isKept(500ms));
  timeoutMs = 20'000;
  BOOST_TEST(isKept(500ms));
}

// Guards against a head within the limit of the configuration that is refused, and against one
// beyond it that is accepted.
BOOST_AUTO_TEST_CASE(head_limit_follows_the_configuration)
{
  std::atomic<std::size_t> maxHeadBytes = 16'384;
  RecordingServer recording(
    { .currentLimits = [&] { return acp::CallerLimits{ .maxHeadBytes = maxHeadBytes.load() }; } });
  for (const std::size_t limit : { 16'384U, 32'768U, 4'096U, 65'536U, 16'384U }) {
    maxHeadBytes = limit;
    for (const bool isTarget : { false, true }) {
      BOOST_TEST(recording.StatusOf(HeadOfSize(recording, limit, isTarget)) == 200);
      BOOST_TEST(recording.StatusOf(HeadOfSize(recording, limit + 1, isTarget)) == 413);
    }
  }
}

// Guards against pipelined heads that are held to another limit than the first one.
BOOST_AUTO_TEST_CASE(pipelined_heads_follow_the_configuration)
{
  constexpr std::size_t kLimit = 40'000;
  RecordingServer recording({ .runsInTasks = true, .maxPipelined = 8, .currentLimits = [] {
                               return acp::CallerLimits{ .maxHeadBytes = kLimit };
                             } });
  const auto text = [&](std::size_t size) {
    return acp::detail::FormatRequestHead(HeadOfSize(recording, size, false), "", 0);
  };
  Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", recording.server.Port()));
  socket.setReceiveTimeout(Poco::Timespan(kTimeout.count(), 0));
  const std::string sent = text(kLimit) + text(kLimit) + text(kLimit) + text(kLimit + 1);
  std::thread sender([&] { socket.sendBytes(sent.data(), static_cast<int>(sent.size())); });
  std::string answers;
  std::array<char, 4096> buffer{};
  while (const int count = socket.receiveBytes(buffer.data(), buffer.size())) {
    answers.append(buffer.data(), static_cast<std::size_t>(count));
  }
  sender.join();
  std::vector<std::string> statuses;
  for (std::size_t at = answers.find("HTTP/1.1 "); at != std::string::npos;
       at = answers.find("HTTP/1.1 ", at + 1)) {
    statuses.push_back(answers.substr(at + 9, 3));
  }
  BOOST_TEST((statuses == std::vector<std::string>{ "200", "200", "200", "413" }));
}

// Guards against a slow head that is cut before the time of the configuration, or is waited for
// beyond it.
BOOST_AUTO_TEST_CASE(head_timeout_follows_the_configuration)
{
  std::atomic<int> timeoutMs = 100;
  RecordingServer recording({ .currentLimits = [&] {
    return acp::CallerLimits{ .headTimeout = std::chrono::milliseconds(timeoutMs.load()) };
  } });
  const auto isServed = [&] {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", recording.server.Port()));
    socket.setReceiveTimeout(Poco::Timespan(kTimeout.count(), 0));
    const std::string start = "GET / HTTP/1.1\r\n";
    socket.sendBytes(start.data(), static_cast<int>(start.size()));
    acp::SleepFor(600ms);
    try {
      socket.sendBytes("\r\n", 2);
      std::array<char, 16> buffer{};
      return socket.receiveBytes(buffer.data(), buffer.size()) > 0;
    } catch (const Poco::Exception&) {
      return false;
    }
  };
  BOOST_TEST(!isServed());
  timeoutMs = 20'000;
  BOOST_TEST(isServed());
}

// Guards against a response that is lost since its head is larger than one of a request may be.
BOOST_AUTO_TEST_CASE(response_heads_have_a_limit_of_their_own)
{
  std::atomic<std::size_t> size = 0;
  acp::HttpServer server({ .address = { .ip = "127.0.0.1" }, .handler = [&](auto& exchange) {
                            acp::HttpResponseHead head{ .status = 200 };
                            head.headers.Set("Set-Cookie", std::string(size, 'c'));
                            exchange.Respond(head, "ok");
                          } });
  acp::HttpPool pool({ .address = { .ip = "127.0.0.1", .port = server.Port() } });
  acp::StringBody empty("");
  for (const std::size_t accepted : { 16'384U, 40'000U, 65'000U }) {
    size = accepted;
    BOOST_TEST(pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout).has_value());
  }
  size = acp::kDefaultMaxResponseHeadBytes;
  const auto sent = pool.Send({ .method = "GET", .target = "/" }, empty, 0, kTimeout);
  BOOST_REQUIRE(!sent.has_value());
  BOOST_TEST(sent.error().Describe().find("larger than 65536 bytes") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
