#pragma once

/// @file
/// Sends the requests of one run.

#include <atomic> // atomic
#include <memory> // unique_ptr
#include <vector> // vector

#include "acaciapulley/transport/http_client.hpp" // HttpPool
#include "load_options.hpp"
#include "load_stats.hpp"

/// One load run. With a rate, requests are due at a constant interval, and latency is measured from
/// the due time, so that it includes the wait for a connection. Without a rate, each connection
/// sends the next request as soon as it has a response.
class LoadRun
{
public:
  explicit LoadRun(LoadOptions options);

  /// @brief Sends all requests and waits for their responses.
  void Run();

  LoadStats& Stats() { return stats_; }
  [[nodiscard]] acp::Duration Elapsed() const { return elapsed_; }

private:
  void RunWorker();
  void SendWithResends(std::int64_t number, acp::TimePoint due);
  LoadResult SendWithRetries(const acp::HttpRequestHead& head,
                             acp::HttpPool& pool,
                             std::string* body);
  LoadResult SendOnce(const acp::HttpRequestHead& head, acp::HttpPool& pool, std::string* body);
  [[nodiscard]] acp::HttpRequestHead MakeHead(const LoadAccount& account,
                                              std::int64_t number) const;

  LoadOptions options_;
  LoadStats stats_;
  std::vector<std::unique_ptr<acp::HttpPool>> pools_;
  std::string runId_;
  acp::TimePoint start_;
  acp::Duration elapsed_{};
  std::atomic<std::int64_t> nextNumber_{ 0 };
  std::atomic<bool> printBody_;
};
