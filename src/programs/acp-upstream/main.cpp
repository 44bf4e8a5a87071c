/// @file
/// acp-upstream: a stub upstream for the demo, the tests and the bench.

#include <condition_variable> // condition_variable_any
#include <exception>          // exception
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <thread>             // jthread

#include "acaciapulley/core/log.hpp"              // Log
#include "acaciapulley/transport/http_server.hpp" // HttpServer
#include "acaciapulley/transport/process.hpp"     // PrepareProcess, WaitForStopSignal
#include "acaciapulley/transport/settings.hpp"    // Settings
#include "stub_upstream.hpp"

namespace {

constexpr acp::Duration kDrainTimeout = std::chrono::seconds(30);
constexpr acp::Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr acp::Duration kInitialAnnounceInterval = std::chrono::milliseconds(100);
constexpr int kInitialAnnouncements = 10;
constexpr int kAdminConnections = 8;

/// Announces more often at first, since the node may start a little later than its upstream.
void AnnounceUntilStopped(StubUpstream& upstream, const std::stop_token& stop)
{
  std::mutex mutex;
  std::condition_variable_any stopped;
  std::unique_lock lock(mutex);
  for (int i = 0; !stop.stop_requested(); ++i) {
    upstream.Announce(false);
    stopped.wait_for(lock,
                     stop,
                     i < kInitialAnnouncements ? kInitialAnnounceInterval : kAnnounceInterval,
                     [] { return false; });
  }
}

int Run(const acp::Settings& settings)
{
  StubUpstream upstream(settings);
  acp::HttpServer server(
    { .address = settings.GetAddress("listen"),
      .maxConnections = static_cast<int>(settings.GetInteger("max-connections")),
      .handler = [&](acp::ServerExchange& e) { upstream.Handle(e); },
      .echoedField = "Acp-Attempt" });
  std::unique_ptr<acp::HttpServer> admin;
  if (!settings.GetText("admin").empty()) {
    admin = std::make_unique<acp::HttpServer>(acp::HttpServerOptions{
      .address = settings.GetAddress("admin"),
      .maxConnections = kAdminConnections,
      .handler = [&](acp::ServerExchange& e) { upstream.HandleAdmin(e); } });
  }
  std::jthread announcer(
    [&](const std::stop_token& stop) { AnnounceUntilStopped(upstream, stop); });
  acp::Log(
    acp::LogLevel::Info,
    "upstream_started",
    { { "service", settings.GetText("service") }, { "listen", settings.GetText("listen") } });
  acp::WaitForStopSignal();
  announcer.request_stop();
  announcer.join();
  acp::Log(acp::LogLevel::Info, "upstream_draining", {});
  upstream.Announce(true);
  server.Stop(kDrainTimeout);
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  acp::PrepareProcess();
  acp::Settings settings("acp-upstream", ACP_VERSION, "A stub upstream.");
  settings.AddText("service", "service to announce", acp::Settings::kRequired);
  settings.AddAddress("listen", "where the node connects", acp::Settings::kRequired);
  settings.AddAddress("egress", "egress listener of the node", acp::Settings::kRequired);
  settings.AddAddress("admin", "serves /stats and /behaviour; empty for none", "");
  settings.AddInteger("slots", "concurrent requests", 50, 1, 100'000);
  settings.AddInteger("max-connections", "connections accepted", 400, 1, 100'000);
  settings.AddInteger(
    "service-us", "time to serve a request, in microseconds", 1000, 0, 60'000'000);
  settings.AddSwitch("exponential", "service times vary, with service-us as the mean");
  settings.AddInteger(
    "connection-us", "slot time that a new connection costs, in microseconds", 1000, 0, 1'000'000);
  settings.AddInteger(
    "probe-us", "slot time that GET /healthz or /load costs, in microseconds", 5000, 0, 1'000'000);
  settings.AddInteger("cold-start-ms", "time of the slow start, in milliseconds", 0, 0, 3'600'000);
  settings.AddInteger("answer-bytes", "minimum size of a response", 0, 0, 100'000'000);
  settings.AddText(
    "next", "nested calls, comma-separated, such as /members/listings/1,POST:/orders/dye-lots", "");
  settings.AddText("record-file", "file for the heads of all requests; empty for none", "");
  settings.ParseOrExit(argc, argv);
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    acp::Log(acp::LogLevel::Error, "upstream_failed", { { "error", e.what() } });
    return 1;
  }
}
