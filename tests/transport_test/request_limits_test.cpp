#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>
#include <string>

#include "acaciapulley/core/wait_point.hpp"
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

} // namespace

BOOST_AUTO_TEST_SUITE(request_limits)

// Guards against a proper request that is answered with 400 because of the limits of the HTTP
// library: 100 fields, and 8 KiB in a value.
BOOST_AUTO_TEST_CASE(many_fields_and_long_values_within_the_head_limit_are_accepted)
{
  RecordingServer recording({});
  acp::HttpRequestHead head{ .method = "GET", .target = "/a/?q==?utf-8?B?eA==?=" };
  const std::string longValue(9'000, 'v');
  head.headers.Set("X-Long", longValue);
  head.headers.Set("X-Encoded", "=?utf-8?B?DQpYOiB5?=");
  for (int i = 0; i < 150; ++i) {
    head.headers.Set("X-" + std::to_string(i), std::to_string(i));
  }
  BOOST_TEST(recording.StatusOf(head) == 200);
  BOOST_TEST(recording.last.target == head.target);
  BOOST_TEST(recording.last.headers.Find("X-Long").value_or("") == longValue);
  BOOST_TEST(recording.last.headers.Find("X-Encoded").value_or("") == "=?utf-8?B?DQpYOiB5?=");
  BOOST_TEST(recording.last.headers.Find("X-149").value_or("") == "149");
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
  RecordingServer recording(
    { .currentIdleTimeout = [&] { return std::chrono::milliseconds(timeoutMs.load()); } });
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

BOOST_AUTO_TEST_SUITE_END()
