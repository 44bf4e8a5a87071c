/// @file
/// acp-control: one replica of the fleet's control state.

#include <exception> // exception
#include <stdexcept> // runtime_error
#include <thread>    // jthread

#include "acaciapulley/control/control_process.hpp" // ControlProcess
#include "acaciapulley/control/rate_service.hpp"    // StartRateRefresh, RateService
#include "acaciapulley/control/record_service.hpp"  // RecordService
#include "acaciapulley/core/log.hpp"                // Log
#include "acaciapulley/transport/process.hpp"       // EndFailedProcess, PrepareProcess
#include "acaciapulley/transport/settings.hpp"      // Settings
#include "replica_settings.hpp"                     // StartReplica

namespace {

constexpr acp::Duration kRateRefreshInterval = std::chrono::milliseconds(100);
// Revoking a key waits up to 3 s for the log and up to 5 s for confirmations.
constexpr acp::Duration kDrainTimeout = std::chrono::seconds(10);

acp::OperatorDirectory ReadOperators(const acp::Settings& settings)
{
  const std::string path = settings.GetText("operator-key-hash-file");
  const auto operators = acp::OperatorDirectory::Parse(acp::ReadFile(path));
  if (!operators) {
    throw std::runtime_error("--operator-key-hash-file " + path + ": " +
                             operators.error().Describe());
  }
  return operators.value();
}

/// Serves nodes and operators until the process is told to stop.
void Serve(const acp::Settings& settings,
           const acp::OperatorDirectory& operators,
           const acp::Clock& clock,
           acp::ControlState& state,
           acp::Replica& replica)
{
  acp::RateService rates(state, replica, clock);
  const std::jthread rateRefresh = acp::StartRateRefresh(rates, kRateRefreshInterval);
  acp::ControlHooks hooks;
  hooks.acquireTokens = [&rates](auto& reply, const auto& request, const auto& leadership) {
    return rates.Acquire(reply, request, leadership);
  };
  acp::RecordService record(clock);
  hooks.acceptReport = [&record](const auto& request) { return record.Accept(request); };
  hooks.collectRecord = [&record](bool wasStored) { return record.Collect(wasStored); };
  hooks.renderReport = [&record](const auto& reported, const auto& query) {
    return record.RenderReport(reported, query);
  };
  acp::ControlProcess process({ .rpcAddress = settings.GetAddress("rpc"),
                                .operatorAddress = settings.GetAddress("operator"),
                                .operators = operators,
                                .clock = &clock,
                                .log = &replica,
                                .state = &state,
                                .hooks = hooks,
                                .replicationProcessor = replica.Processor(),
                                .replicationServiceName = acp::kReplicationServiceName });
  acp::Log(acp::LogLevel::Info,
           "control_started",
           { { "rpc", settings.GetText("rpc") }, { "operator", settings.GetText("operator") } });
  acp::WaitForStopSignal();
  acp::Log(acp::LogLevel::Info, "control_stopping", {});
  process.Stop(kDrainTimeout);
  acp::Log(acp::LogLevel::Info, "control_stopped", {});
}

[[noreturn]] void Run(const acp::Settings& settings)
{
  const acp::SystemClock clock;
  const acp::OperatorDirectory operators = ReadOperators(settings);
  acp::ControlState state;
  const auto replica = acp::StartReplica(settings, clock, state);
  // The end of the replica would wait for its disk.
  try {
    Serve(settings, operators, clock, state, *replica);
  } catch (const std::exception& e) {
    acp::EndFailedProcess("control_failed", e.what());
  }
  acp::EndStoppedProcess();
}

} // namespace

int main(int argc, char** argv)
{
  acp::PrepareProcess();
  acp::Settings settings("acp-control", ACP_VERSION, "One replica of the fleet's control state.");
  settings.AddAddress("rpc", "where nodes and replicas connect", "127.0.0.1:7300");
  settings.AddAddress("operator", "where operators connect", "127.0.0.1:7310");
  settings.AddText("operator-key-hash-file",
                   "operators, one name:sha256 of the operator's key for each line",
                   acp::Settings::kRequired);
  acp::AddReplicaSettings(settings);
  settings.ParseOrExit(argc, argv);
  try {
    Run(settings);
  } catch (const std::exception& e) {
    acp::EndFailedProcess("control_failed", e.what());
  }
}
