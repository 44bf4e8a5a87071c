#include "replica_settings.hpp"

#include <algorithm> // find
#include <stdexcept> // runtime_error
#include <utility>   // move

#include "acaciapulley/transport/process.hpp" // EndFailedProcess

namespace acp {

void AddReplicaSettings(Settings& settings)
{
  settings.AddText(
    "data-folder", "folder of this replica's log; needs a disk", Settings::kRequired);
  settings.AddAddresses("replicas", "rpc addresses of all replicas, this one included", "");
  settings.AddInteger(
    "voters",
    "learners are promoted until there are this many voters; 0: the initial number",
    0,
    0,
    15);
  settings.AddInteger("replace-silent-after-ms",
                      "a voter silent for this long is replaced by a learner; 0: never",
                      0,
                      0,
                      3'600'000);
  settings.AddSwitch("bootstrap", "let empty replicas form a new cluster when all are empty");
}

std::unique_ptr<Replica> StartReplica(const Settings& settings,
                                      const Clock& clock,
                                      ControlState& state)
{
  const Address self = settings.GetAddress("rpc");
  auto replicas = settings.GetAddresses("replicas");
  if (replicas.empty()) {
    replicas.push_back(self);
  }
  if (std::find(replicas.begin(), replicas.end(), self) == replicas.end()) {
    throw std::runtime_error("--replicas does not contain --rpc " + self.ToString());
  }
  const Duration voterSilence =
    std::chrono::milliseconds(settings.GetInteger("replace-silent-after-ms"));
  const auto voterTarget = static_cast<std::size_t>(settings.GetInteger("voters"));
  auto started =
    Replica::Start({ .clock = &clock,
                     .dataFolder = settings.GetText("data-folder"),
                     .rpcAddress = self,
                     .operatorAddress = settings.GetText("operator"),
                     .replicaAddresses = replicas,
                     .bootstrap = settings.GetSwitch("bootstrap"),
                     .maintainsVoters = voterTarget > 0 || voterSilence > Duration::zero(),
                     .voterSilenceTimeout = voterSilence,
                     .targetVoterCount = voterTarget,
                     .startListener = false,
                     .onFailure =
                       [](const ReplicationError& error) {
                         EndFailedProcess("control_failed", error.Describe());
                       } },
                   state);
  if (!started) {
    throw std::runtime_error(started.error().Describe());
  }
  return std::move(started).value();
}

} // namespace acp
