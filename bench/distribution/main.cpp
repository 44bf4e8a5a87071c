/// @file
/// Polls control for many nodes in one process; each node has its own SyncLoop, StateCache and
/// connections.
///
/// Usage: bench_distribution CONTROL NODES SECONDS. Prints `version V millis T` when the last node
/// has state version V; T is the wall-clock time in Unix milliseconds.

#include <cstdlib> // atoi
#include <memory>  // make_unique, unique_ptr
#include <string>  // string
#include <thread>  // sleep_for
#include <vector>  // vector

#include <fmt/format.h> // format, print

#include "../address_list.hpp"             // ParseAddresses
#include "acaciapulley/node/sync_loop.hpp" // SyncLoop

namespace {

constexpr auto kCheckInterval = std::chrono::milliseconds(2);
constexpr int kServices = 43;
constexpr int kDataCentres = 6;

/// The part of a node that polls control, with a local upstream that announces itself.
class PollingNode
{
public:
  PollingNode(const std::vector<acp::Address>& control, int index, const acp::Clock& clock)
    : record_(clock.WallNow())
    , channel_({ .replicas = control, .timeout = std::chrono::seconds(2) })
  {
    upstream_.Announce({ .service = fmt::format("service-{}", index % kServices),
                         .address = { "127.0.0.1", 1 },
                         .slots = 50,
                         .maxConnections = 400 });
    sync_ = std::make_unique<acp::SyncLoop>(acp::SyncLoopOptions{
      .nodeId = fmt::format("node-{}", index),
      .epoch = 1,
      .dataCentre = fmt::format("dc-{}", index % kDataCentres),
      .peerAddress = { "127.0.0.1", static_cast<std::uint16_t>(10'000 + index) },
      .syncChannel = &channel_,
      .clock = &clock,
      .stateCache = &stateCache_,
      .upstream = &upstream_,
      .members = &members_,
      .record = &record_ });
  }

  [[nodiscard]] std::int64_t Version() const { return stateCache_.Version(); }

private:
  acp::StateCache stateCache_;
  acp::LocalUpstream upstream_;
  acp::MemberTable members_;
  acp::RecordCounters record_;
  acp::ControlChannel channel_;
  std::unique_ptr<acp::SyncLoop> sync_;
};

std::int64_t MinVersion(const std::vector<std::unique_ptr<PollingNode>>& nodes)
{
  std::int64_t minVersion = nodes.front()->Version();
  for (const auto& node : nodes) {
    minVersion = std::min(minVersion, node->Version());
  }
  return minVersion;
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 4) {
    fmt::print(stderr, "usage: bench_distribution CONTROL NODES SECONDS\n");
    return 2;
  }
  const acp::SystemClock clock;
  const auto control = ParseAddresses(argv[1]);
  std::vector<std::unique_ptr<PollingNode>> nodes;
  const int count = std::atoi(argv[2]);
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<PollingNode>(control, i, clock));
  }
  const auto end = clock.Now() + std::chrono::seconds(std::atoi(argv[3]));
  std::int64_t seen = 0;
  while (clock.Now() < end) {
    const std::int64_t version = MinVersion(nodes);
    if (version > seen) {
      seen = version;
      fmt::print("version {} millis {}\n", version, acp::CountMillis(clock.WallNow()));
      std::fflush(stdout);
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  return 0;
}
