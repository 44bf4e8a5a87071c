#include "open_log.hpp"

#include <algorithm> // find
#include <csignal>   // raise, SIGTERM
#include <stdexcept> // runtime_error
#include <utility>   // move

#include "acaciapulley/core/log.hpp" // Log

namespace acp {

void AddLogSettings(Settings& settings)
{
  settings.AddText(
    "data-folder", "folder of this replica's log; needs a disk", Settings::kRequired);
  settings.AddAddresses("replicas", "rpc addresses of all replicas, this one included", "");
  settings.AddSwitch("bootstrap", "let empty replicas form a new cluster when all are empty");
}

std::unique_ptr<Replica> OpenLog(const Settings& settings, const Clock& clock, ControlState& state)
{
  const Address self = settings.GetAddress("rpc");
  auto replicas = settings.GetAddresses("replicas");
  if (replicas.empty()) {
    replicas.push_back(self);
  }
  if (std::find(replicas.begin(), replicas.end(), self) == replicas.end()) {
    throw std::runtime_error("--replicas does not contain --rpc " + self.ToString());
  }
  auto started =
    Replica::Start({ .clock = &clock,
                     .dataFolder = settings.GetText("data-folder"),
                     .rpcAddress = self,
                     .operatorAddress = settings.GetText("operator"),
                     .replicaAddresses = replicas,
                     .bootstrap = settings.GetSwitch("bootstrap"),
                     .ownListener = false,
                     .onFailure =
                       [](const ReplicationError& error) {
                         Log(LogLevel::Error, "replica_failed", { { "error", error.Describe() } });
                         // A replica that cannot use its disk must not answer any more.
                         std::raise(SIGTERM);
                       } },
                   state);
  if (!started) {
    throw std::runtime_error(started.error().Describe());
  }
  return std::move(started).value();
}

} // namespace acp
