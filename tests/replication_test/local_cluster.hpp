#pragma once

/// @file
/// A cluster of replicas with real disks and loopback connections.

#include <chrono>     // steady_clock
#include <filesystem> // path, remove_all, temp_directory_path
#include <functional> // function
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <string>     // string
#include <thread>     // sleep_for
#include <vector>     // vector

#include <Poco/Net/ServerSocket.h>

#include "acaciapulley/core/random.hpp" // RandomHex
#include "acaciapulley/replication/replica.hpp"

/// Stores all commands in order.
class CommandListStateMachine final : public acp::StateMachine
{
public:
  std::string Apply(const acp::CommittedEntry& entry) override
  {
    const std::lock_guard lock(mutex_);
    text_ += entry.command + "\n";
    return "applied " + entry.command;
  }
  [[nodiscard]] std::string TakeSnapshot() const override { return Text(); }
  bool Restore(const std::string& snapshot) override
  {
    const std::lock_guard lock(mutex_);
    text_ = snapshot;
    return true;
  }
  [[nodiscard]] std::string Text() const
  {
    const std::lock_guard lock(mutex_);
    return text_;
  }

private:
  mutable std::mutex mutex_;
  std::string text_;
};

class LocalCluster
{
public:
  struct Host
  {
    acp::ReplicaOptions options;
    std::unique_ptr<CommandListStateMachine> machine;
    std::unique_ptr<acp::Replica> replica;
  };
  std::vector<Host> hosts;

  explicit LocalCluster(std::size_t count, const std::string& name = "acp")
    : folder_(std::filesystem::temp_directory_path() / (name + "-" + acp::RandomHex(8)))
  {
    std::filesystem::create_directory(folder_);
    std::vector<acp::Address> addresses;
    std::vector<Poco::Net::ServerSocket> reserved; // kept open until all ports are chosen
    for (std::size_t i = 0; i < count; ++i) {
      reserved.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
      addresses.push_back({ "127.0.0.1", reserved.back().address().port() });
    }
    for (std::size_t i = 0; i < count; ++i) {
      Host& host = hosts.emplace_back();
      host.options.clock = &clock_;
      host.options.dataFolder = (folder_ / std::to_string(i)).string();
      host.options.rpcAddress = addresses[i];
      host.options.operatorAddress = "operator " + std::to_string(i);
      host.options.replicaAddresses = addresses;
      host.options.bootstrap = true;
    }
  }
  ~LocalCluster()
  {
    for (auto& host : hosts) {
      host.replica.reset();
    }
    std::filesystem::remove_all(folder_);
  }
  LocalCluster(const LocalCluster&) = delete;
  LocalCluster& operator=(const LocalCluster&) = delete;

  acp::ReplicationResult<void> Start(std::size_t index)
  {
    Host& host = hosts[index];
    host.machine = std::make_unique<CommandListStateMachine>();
    auto started = acp::Replica::Start(host.options, *host.machine);
    if (!started) {
      return started.as_failure();
    }
    host.replica = std::move(started.value());
    return boost::outcome_v2::success();
  }

  void LoseDisk(std::size_t index)
  {
    hosts[index].replica.reset();
    std::filesystem::remove_all(hosts[index].options.dataFolder);
  }

  /// Waits up to one minute for @p condition; returns whether it became true.
  static bool WaitFor(const std::function<bool()>& condition)
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
  }

  /// Returns the index of a leader that has applied the first entry of its term, or the number of
  /// hosts.
  [[nodiscard]] std::size_t Leader() const
  {
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      if (hosts[i].replica && hosts[i].replica->LeadershipDuration()) {
        return i;
      }
    }
    return hosts.size();
  }

  bool WaitForLeader()
  {
    return WaitFor([this] { return Leader() < hosts.size(); });
  }

private:
  acp::SystemClock clock_;
  std::filesystem::path folder_;
};
