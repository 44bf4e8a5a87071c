/// @file
/// acp-node: overload control for one local upstream.

#include <exception>   // exception
#include <stdexcept>   // runtime_error
#include <string>      // string
#include <string_view> // string_view

#include "acaciapulley/core/log.hpp"           // Log
#include "acaciapulley/node/node_process.hpp"  // NodeProcess
#include "acaciapulley/transport/process.hpp"  // PrepareProcess, WaitForStopSignal
#include "acaciapulley/transport/settings.hpp" // Settings

namespace {

constexpr acp::Duration kDrainTimeout = std::chrono::seconds(30);
constexpr std::size_t kMinFleetSecretBytes = 32;
constexpr std::size_t kMaxNodeIdBytes = 64;

std::string ReadFleetSecret(const std::string& path)
{
  std::string secret = acp::TrimRight(acp::ReadFile(path));
  if (secret.size() < kMinFleetSecretBytes) {
    throw std::runtime_error("--fleet-secret-file '" + path + "' holds fewer than 32 bytes");
  }
  return secret;
}

/// The node id is part of request contexts, which allow only these characters.
void CheckNodeId(const std::string& nodeId)
{
  constexpr std::string_view kAllowed =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  const bool isUsable = !nodeId.empty() && nodeId.size() <= kMaxNodeIdBytes &&
                        nodeId.find_first_not_of(kAllowed) == std::string::npos;
  if (!isUsable) {
    throw std::runtime_error("--node-id is '" + nodeId +
                             "', allowed are 1 to 64 of A-Z a-z 0-9 - _ .");
  }
}

int Run(const acp::Settings& settings)
{
  CheckNodeId(settings.GetText("node-id"));
  const acp::SystemClock clock;
  acp::NodeProcess process(
    { .nodeId = settings.GetText("node-id"),
      .dataCentre = settings.GetText("data-centre"),
      .fleetSecret = ReadFleetSecret(settings.GetText("fleet-secret-file")),
      .ingress = settings.GetAddress("ingress"),
      .egress = settings.GetAddress("egress"),
      .peer = settings.GetAddress("peer"),
      .admin = settings.GetAddress("admin"),
      .control = settings.GetAddresses("control"),
      .maxConnections = static_cast<int>(settings.GetInteger("max-connections")),
      .retryBudget = static_cast<int>(settings.GetInteger("retry-budget")),
      .clock = &clock });
  acp::Log(acp::LogLevel::Info,
           "node_started",
           { { "node", settings.GetText("node-id") }, { "ingress", settings.GetText("ingress") } });
  acp::WaitForStopSignal();
  acp::Log(acp::LogLevel::Info, "node_stopping", {});
  process.BeginStop(clock.Now() + kDrainTimeout);
  process.Stop();
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  acp::PrepareProcess();
  acp::Settings settings("acp-node", ACP_VERSION, "Overload control beside one upstream.");
  settings.AddText("node-id", "unique name of this node", acp::Settings::kRequired);
  settings.AddText("data-centre", "data centre of this host", acp::Settings::kRequired);
  settings.AddText("fleet-secret-file",
                   "file with the secret that signs request contexts, at least 32 bytes",
                   acp::Settings::kRequired);
  settings.AddAddress("ingress", "where callers connect", "127.0.0.1:8080");
  settings.AddAddress("egress", "where the local upstream connects", "127.0.0.1:8081");
  settings.AddAddress("peer", "where other nodes connect", "127.0.0.1:8082");
  settings.AddAddress("admin", "serves /metrics and /healthz", "127.0.0.1:8083");
  settings.AddAddresses("control", "rpc addresses of the control replicas", "127.0.0.1:7300");
  settings.AddInteger("max-connections", "connections for each listener", 1024, 1, 10'000);
  settings.AddInteger("retry-budget", "retries of one request over its whole call tree", 2, 0, 8);
  settings.ParseOrExit(argc, argv);
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    acp::Log(acp::LogLevel::Error, "node_failed", { { "error", e.what() } });
    return 1;
  }
}
