/// @file
/// acp-control: one replica of the fleet's control state.

#include <exception> // exception

#include "acaciapulley/control/control_service.hpp" // ControlProcess
#include "acaciapulley/core/log.hpp"                // Log
#include "acaciapulley/transport/process.hpp"       // BlockStopSignals, WaitForStopSignal
#include "acaciapulley/transport/settings.hpp"      // Settings

namespace {

constexpr acp::Duration kStopPatience = std::chrono::seconds(10);

int Run(const acp::Settings& settings)
{
  const acp::SystemClock clock;
  const std::string hash =
    acp::TrimRight(acp::ReadFile(settings.GetText("operator-key-hash-file")));
  acp::ControlProcess process({ .rpcAddress = settings.GetAddress("rpc"),
                                .operatorAddress = settings.GetAddress("operator"),
                                .operatorKeyHash = hash,
                                .clock = &clock });
  acp::Log(acp::LogLevel::Info,
           "control_started",
           { { "rpc", settings.GetText("rpc") }, { "operator", settings.GetText("operator") } });
  acp::WaitForStopSignal();
  acp::Log(acp::LogLevel::Info, "control_stopping", {});
  process.Stop(kStopPatience);
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  acp::Settings settings("acp-control", ACP_VERSION, "One replica of the fleet's control state.");
  settings.AddAddress("rpc", "where nodes and replicas connect", "127.0.0.1:7300");
  settings.AddAddress("operator", "where operators connect", "127.0.0.1:7310");
  settings.AddText("operator-key-hash-file",
                   "file with the SHA-256 of the operator key in hexadecimal",
                   acp::Settings::kRequired);
  settings.ParseOrExit(argc, argv);
  acp::BlockStopSignals();
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    acp::Log(acp::LogLevel::Error, "control_failed", { { "error", e.what() } });
    return 1;
  }
}
