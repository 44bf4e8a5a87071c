/// @file
/// Reserves rate tokens for many nodes in one process; each node has its own TokenClient and
/// connections.
///
/// Usage: bench_tokens CONTROL NODES ACCOUNTS RATE SECONDS. Each node reserves RATE tokens per
/// second, evenly spread over ACCOUNTS accounts of service-0. Prints one line of counts per second.

#include <atomic>  // atomic
#include <cstdint> // int64_t
#include <cstdlib> // atof, atoi
#include <memory>  // make_unique, unique_ptr
#include <random>  // exponential_distribution, mt19937_64
#include <string>  // string
#include <thread>  // jthread, sleep_for, sleep_until
#include <vector>  // vector

#include <fmt/format.h> // format, print

#include "../address_list.hpp"                        // ParseAddresses
#include "acaciapulley/node/detail/token_client.hpp"  // TokenClient
#include "acaciapulley/transport/control_channel.hpp" // ControlChannel

namespace {

constexpr int kWorkersPerNode = 6; ///< maximum of concurrent requests of one node
constexpr const char* kService = "service-0";

struct Counts
{
  std::atomic<int> granted{ 0 };
  std::atomic<int> exceeded{ 0 };    ///< 429
  std::atomic<int> unavailable{ 0 }; ///< 503
  std::atomic<int> late{ 0 };        ///< requests whose worker was still waiting for an earlier one
  std::atomic<int> calls{ 0 };
  std::atomic<int> failedCalls{ 0 };
  std::atomic<std::int64_t> waitedMicros{ 0 }; ///< total over all requests that ended
};

struct Load
{
  std::vector<acp::Address> control;
  int accounts = 0;
  double rate = 0; ///< requests per second at each node
  acp::TimePoint end;
};

class TokenNode
{
public:
  TokenNode(const Load& load, int index, const acp::Clock& clock, Counts& counts)
    : load_(load)
    , clock_(clock)
    , counts_(counts)
    , channel_({ .replicas = load.control })
    , tokens_({ .nodeId = fmt::format("node-{}", index),
                .epoch = acp::CountMillis(clock.WallNow()),
                .clock = &clock,
                .call = [this](const auto& call) { return Count(channel_.Call(call)); } })
  {
    // Nodes are spread over the replicas, as by their polls in production.
    channel_.Prefer(load.control[static_cast<std::size_t>(index) % load.control.size()]);
    for (int i = 0; i < kWorkersPerNode; ++i) {
      workers_.emplace_back([this, seed = index * kWorkersPerNode + i] { Work(seed); });
    }
  }

private:
  acp::TransportResult<void> Count(acp::TransportResult<void> done)
  {
    ++counts_.calls;
    counts_.failedCalls += done ? 0 : 1;
    return done;
  }

  void Work(int seed)
  {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::exponential_distribution<double> gap(load_.rate / kWorkersPerNode);
    acp::TimePoint next = clock_.Now();
    while (next < load_.end) {
      next += std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(gap(random)));
      if (next < clock_.Now()) {
        ++counts_.late;
        continue;
      }
      std::this_thread::sleep_until(next);
      const auto account = random() % static_cast<std::uint64_t>(load_.accounts);
      ReserveToken(fmt::format("account-{}", account));
    }
  }

  void ReserveToken(const std::string& account)
  {
    const acp::TimePoint start = clock_.Now();
    auto reservation = tokens_.Reserve({ kService, account }, {});
    const auto waited = std::chrono::floor<std::chrono::microseconds>(clock_.Now() - start);
    counts_.waitedMicros += waited.count();
    if (reservation) {
      counts_.granted += reservation.value()->Commit() ? 1 : 0;
    } else if (reservation.error().status == 429) {
      ++counts_.exceeded;
    } else {
      ++counts_.unavailable;
    }
  }

  const Load& load_;
  const acp::Clock& clock_;
  Counts& counts_;
  acp::ControlChannel channel_;
  acp::detail::TokenClient tokens_;
  std::vector<std::jthread> workers_;
};

void PrintAndClear(int second, Counts& counts)
{
  fmt::print(
    "second {} granted {} exceeded {} unavailable {} late {} calls {} failed {} waited {}\n",
    second,
    counts.granted.exchange(0),
    counts.exceeded.exchange(0),
    counts.unavailable.exchange(0),
    counts.late.exchange(0),
    counts.calls.exchange(0),
    counts.failedCalls.exchange(0),
    counts.waitedMicros.exchange(0));
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
  if (argc != 6) {
    fmt::print(stderr, "usage: bench_tokens CONTROL NODES ACCOUNTS RATE SECONDS\n");
    return 2;
  }
  const acp::SystemClock clock;
  const int seconds = std::atoi(argv[5]);
  const Load load{ .control = ParseAddresses(argv[1]),
                   .accounts = std::atoi(argv[3]),
                   .rate = std::atof(argv[4]),
                   .end = clock.Now() + std::chrono::seconds(seconds) };
  Counts counts;
  std::vector<std::unique_ptr<TokenNode>> nodes;
  const int count = std::atoi(argv[2]);
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back(std::make_unique<TokenNode>(load, i, clock, counts));
  }
  for (int second = 0; second < seconds; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    PrintAndClear(second, counts);
  }
  return 0;
}
