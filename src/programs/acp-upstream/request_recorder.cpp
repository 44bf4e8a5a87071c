#include "request_recorder.hpp"

#include <algorithm>   // max
#include <stdexcept>   // runtime_error
#include <string_view> // string_view

#include <fmt/format.h> // format

#include "acaciapulley/core/random.hpp" // Sha256, ToHex

namespace {

// Enough to tell values apart; bounded, since some values differ with each request.
constexpr std::size_t kMaxHashesPerHeader = 100;

std::string Escape(const std::string& text)
{
  std::string escaped;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      escaped += '\\';
    }
    escaped += c == '\t' ? ' ' : c;
  }
  return escaped;
}

} // namespace

RequestRecorder::RequestRecorder(const std::string& path)
{
  if (path.empty()) {
    return;
  }
  file_.open(path, std::ios::app);
  if (!file_) {
    throw std::runtime_error("cannot write the record file '" + path + "'");
  }
}

void RequestRecorder::RecordArrival(const acp::HttpRequestHead& head)
{
  const std::lock_guard lock(mutex_);
  ++arrived_;
  std::string fields;
  for (const auto& [name, value] : head.headers.Fields()) {
    auto& hashes = valueHashesByHeader_[name];
    if (hashes.size() < kMaxHashesPerHeader) {
      hashes.insert(acp::ToHex(acp::Sha256(value)));
    }
    fields += fmt::format("{}[\"{}\",\"{}\"]", fields.empty() ? "" : ",", name, Escape(value));
  }
  if (file_.is_open()) {
    file_ << fmt::format("{{\"method\":\"{}\",\"target\":\"{}\",\"headers\":[{}]}}\n",
                         head.method,
                         Escape(head.target),
                         fields);
    file_.flush();
  }
}

void RequestRecorder::RecordExecution(const acp::HttpRequestHead& head)
{
  const auto key = head.headers.Find("Idempotency-Key");
  const std::lock_guard lock(mutex_);
  ++executed_;
  if (key) {
    ++executionsByKey_[*key];
  }
}

void RequestRecorder::RecordCancellation()
{
  const std::lock_guard lock(mutex_);
  ++cancelled_;
}

void RequestRecorder::RecordCompletion()
{
  const std::lock_guard lock(mutex_);
  ++finished_;
}

std::string RequestRecorder::ToJson()
{
  const std::lock_guard lock(mutex_);
  std::string keys;
  std::int64_t maxExecutions = 0;
  for (const auto& [key, count] : executionsByKey_) {
    keys += fmt::format("{}\"{}\":{}", keys.empty() ? "" : ",", Escape(key), count);
    maxExecutions = std::max(maxExecutions, count);
  }
  std::string headers;
  for (const auto& [name, hashes] : valueHashesByHeader_) {
    headers += fmt::format("{}\"{}\":[", headers.empty() ? "" : ",", name);
    std::string_view separator;
    for (const auto& hash : hashes) {
      headers += fmt::format("{}\"{}\"", separator, hash);
      separator = ",";
    }
    headers += ']';
  }
  return fmt::format(
    "{{\"arrived\":{},\"executed\":{},\"cancelled\":{},\"finished\":{},"
    "\"most_executions_of_a_key\":{},\"executions\":{{{}}},\"header_value_sha256\":{{{}}}}}\n",
    arrived_,
    executed_,
    cancelled_,
    finished_,
    maxExecutions,
    keys,
    headers);
}
