/// @file
/// acp-upstream: a stub upstream for the demo, the tests and the bench.

#include <algorithm> // max
#include <exception> // exception
#include <mutex>     // mutex
#include <semaphore> // counting_semaphore
#include <string>    // string
#include <thread>    // sleep_for

#include <fmt/format.h> // format

#include "acaciapulley/core/log.hpp"              // Log
#include "acaciapulley/transport/http_client.hpp" // HttpPool
#include "acaciapulley/transport/http_server.hpp" // HttpServer
#include "acaciapulley/transport/process.hpp"     // BlockStopSignals, WaitForStopSignal
#include "acaciapulley/transport/settings.hpp"    // Settings

namespace {

constexpr acp::Duration kStopPatience = std::chrono::seconds(10);
constexpr acp::Duration kCallTimeout = std::chrono::seconds(10);
constexpr acp::Duration kAnnounceInterval = std::chrono::seconds(1);

/// Serves each request after a fixed time and, if set, after one nested call.
class StubUpstream
{
public:
  explicit StubUpstream(const acp::Settings& settings)
    : settings_(settings)
    , serviceTime_(std::chrono::microseconds(settings.GetInteger("service-us")))
    , answerBytes_(static_cast<std::size_t>(settings.GetInteger("answer-bytes")))
    , slots_(settings.GetInteger("slots"))
    , egress_({ .address = settings.GetAddress("egress"), .maxConnections = 1024 })
  {
  }

  void Handle(acp::ServerExchange& exchange)
  {
    for (const auto& [name, value] : exchange.Request().headers.Fields()) {
      acp::Log(acp::LogLevel::Debug, "header", { { "name", name }, { "value", value } });
    }
    const auto body = acp::ReadAll(exchange.RequestBody(), kMaxBodyBytes);
    slots_.acquire();
    std::this_thread::sleep_for(serviceTime_);
    const std::string nested = CallNext(exchange);
    slots_.release();
    if (!nested.empty() && !nested.starts_with("200 ")) {
      exchange.Respond({ .status = 502 }, "nested call failed: " + nested);
      return;
    }
    acp::HttpResponseHead head{ .status = 200 };
    head.headers.Set("Content-Type", "text/plain");
    std::string answer = fmt::format("{} {} {}\n",
                                     settings_.GetText("service"),
                                     exchange.Request().method,
                                     exchange.Request().target);
    answer += nested;
    answer.resize(std::max(answer.size(), answerBytes_), '.');
    exchange.Respond(head, answer);
  }

  /// @brief Tells the node beside this upstream that it is there.
  void Announce(bool draining)
  {
    const std::string body = fmt::format(
      R"({{"service":"{}","address":"{}","slots":{},"max_connections":{},"draining":{}}})",
      settings_.GetText("service"),
      settings_.GetText("listen"),
      settings_.GetInteger("slots"),
      settings_.GetInteger("max-connections"),
      draining);
    acp::StringBody source(body);
    const acp::HttpRequestHead head{ .method = "PUT", .target = "/.acp/upstream" };
    const auto sent =
      egress_.Send(head, source, static_cast<std::int64_t>(body.size()), kCallTimeout);
    if (!sent) {
      acp::Log(acp::LogLevel::Warning, "announce_failed", { { "error", sent.error().Describe() } });
    } else if (sent.value()->Response().status != 204) {
      acp::Log(acp::LogLevel::Warning,
               "announce_refused",
               { { "status", std::to_string(sent.value()->Response().status) } });
    }
  }

private:
  static constexpr std::size_t kMaxBodyBytes = 1'073'741'824;

  std::string CallNext(const acp::ServerExchange& exchange)
  {
    const std::string& next = settings_.GetText("next");
    if (next.empty()) {
      return "";
    }
    acp::HttpRequestHead head{ .method = "GET", .target = next };
    head.headers.Set("Acp-Context", exchange.Request().headers.Find("Acp-Context").value_or(""));
    acp::StringBody empty("");
    const auto sent = egress_.Send(head, empty, 0, kCallTimeout);
    if (!sent) {
      return sent.error().Describe();
    }
    try {
      const auto body = acp::ReadAll(sent.value()->Body(), kMaxBodyBytes);
      return fmt::format("{} {}", sent.value()->Response().status, body.value_or(""));
    } catch (const acp::BodyTruncated&) {
      return "truncated";
    }
  }

  const acp::Settings& settings_;
  std::chrono::microseconds serviceTime_;
  std::size_t answerBytes_;
  std::counting_semaphore<> slots_;
  acp::HttpPool egress_;
};

int Run(const acp::Settings& settings)
{
  StubUpstream upstream(settings);
  acp::HttpServer server(
    { .address = settings.GetAddress("listen"),
      .maxConnections = static_cast<int>(settings.GetInteger("max-connections")),
      .handler = [&](acp::ServerExchange& e) { upstream.Handle(e); } });
  std::jthread announcer([&](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      upstream.Announce(false);
      std::this_thread::sleep_for(kAnnounceInterval);
    }
  });
  acp::Log(
    acp::LogLevel::Info,
    "upstream_started",
    { { "service", settings.GetText("service") }, { "listen", settings.GetText("listen") } });
  acp::WaitForStopSignal();
  announcer.request_stop();
  announcer.join();
  upstream.Announce(true);
  server.Stop(kStopPatience);
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  acp::Settings settings("acp-upstream", ACP_VERSION, "A stub upstream.");
  settings.AddText("service", "service to announce", acp::Settings::kRequired);
  settings.AddAddress("listen", "where the node connects", acp::Settings::kRequired);
  settings.AddAddress("egress", "egress listener of the node", acp::Settings::kRequired);
  settings.AddInteger("slots", "requests served at once", 50, 1, 100'000);
  settings.AddInteger("max-connections", "connections accepted", 400, 1, 100'000);
  settings.AddInteger(
    "service-us", "time to serve a request, in microseconds", 1000, 0, 60'000'000);
  settings.AddInteger("answer-bytes", "smallest size of an answer", 0, 0, 100'000'000);
  settings.AddText("next", "path of the nested call, such as /members/list; empty for none", "");
  settings.AddSwitch("debug", "log each request's header fields");
  settings.ParseOrExit(argc, argv);
  if (settings.GetSwitch("debug")) {
    acp::SetLogLevel(acp::LogLevel::Debug);
  }
  acp::BlockStopSignals();
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    acp::Log(acp::LogLevel::Error, "upstream_failed", { { "error", e.what() } });
    return 1;
  }
}
