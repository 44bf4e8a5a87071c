#pragma once

/// @file
/// Records what the stub upstream receives, for tests that check what must not arrive.

#include <cstdint> // int64_t
#include <fstream> // ofstream
#include <map>     // map
#include <mutex>   // mutex
#include <set>     // set
#include <string>  // string

#include "acaciapulley/transport/http_message.hpp" // HttpRequestHead

/// Records request heads, hashes of header values, and executions by idempotency key.
class RequestRecorder
{
public:
  /// @param path file for the heads of all requests, one JSON object per line; empty for none
  /// @throw std::runtime_error when the file cannot be opened
  explicit RequestRecorder(const std::string& path);

  /// @brief Records a request that arrived.
  void RecordArrival(const acp::HttpRequestHead& head);

  /// @brief Records that a request started to run.
  void RecordExecution(const acp::HttpRequestHead& head);

  void RecordCancellation();
  void RecordCompletion();

  /// @brief Returns all counts as a JSON object.
  [[nodiscard]] std::string ToJson();

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::int64_t arrived_ = 0;
  std::int64_t executed_ = 0;
  std::int64_t cancelled_ = 0;
  std::int64_t finished_ = 0;
  std::map<std::string, std::int64_t> executionsByKey_;
  std::map<std::string, std::set<std::string>> valueHashesByHeader_;
};
