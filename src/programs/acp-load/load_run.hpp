#pragma once

/// @file
/// Sends the requests of one run.

#include <atomic> // atomic
#include <memory> // unique_ptr
#include <vector> // vector

#include "acaciapulley/transport/http_client.hpp" // HttpPool
#include "load_options.hpp"
#include "load_stats.hpp"

/// One run. With a rate, requests are due at even distances, and latency counts from then, so that
/// waiting for a connection shows; without one, each connection sends as soon as it has an answer.
class LoadRun
{
public:
  explicit LoadRun(LoadOptions options);

  /// @brief Sends all requests and waits for their answers.
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
