/// @file
/// acp-load: sends a bounded number of requests and prints what came back.

#include <algorithm> // sort
#include <atomic>    // atomic
#include <map>       // map
#include <mutex>     // mutex
#include <string>    // string
#include <thread>    // jthread
#include <vector>    // vector

#include <fmt/format.h> // format, print

#include "acaciapulley/core/random.hpp"           // RandomHex
#include "acaciapulley/transport/http_client.hpp" // HttpPool
#include "acaciapulley/transport/process.hpp"     // BlockStopSignals
#include "acaciapulley/transport/settings.hpp"    // Settings

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxAnswerBytes = 1'073'741'824;
constexpr std::size_t kIdempotencyRandomBytes = 12;

/// What the callers saw.
class Tally
{
public:
  void Count(const std::string& result, acp::Duration latency)
  {
    const std::lock_guard lock(mutex_);
    ++byResult_[result];
    latencies_.push_back(latency);
  }

  void Print()
  {
    std::sort(latencies_.begin(), latencies_.end());
    for (const auto& [result, count] : byResult_) {
      fmt::print("{:<40} {}\n", result, count);
    }
    fmt::print("latency p50 {} us, p99 {} us\n", Quantile(0.5), Quantile(0.99));
  }

private:
  [[nodiscard]] long Quantile(double part) const
  {
    if (latencies_.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(latencies_.size() - 1);
    const auto index = static_cast<std::size_t>(last * part);
    return std::chrono::duration_cast<std::chrono::microseconds>(latencies_[index]).count();
  }

  std::mutex mutex_;
  std::map<std::string, int> byResult_;
  std::vector<acp::Duration> latencies_;
};

acp::HttpRequestHead MakeRequest(const acp::Settings& settings, const acp::Clock& clock)
{
  acp::HttpRequestHead head{ .method = settings.GetText("method"),
                             .target = settings.GetText("path") };
  if (!settings.GetText("key-file").empty()) {
    head.headers.Set("Acp-Key", acp::TrimRight(acp::ReadFile(settings.GetText("key-file"))));
  }
  if (head.method == "POST") {
    head.headers.Set("Idempotency-Key",
                     fmt::format("{}-{}",
                                 acp::CountMillis(clock.WallNow()) / 1000,
                                 acp::RandomHex(kIdempotencyRandomBytes)));
  }
  return head;
}

std::string SendOne(acp::HttpPool& pool, const acp::HttpRequestHead& head, std::string* body)
{
  acp::StringBody empty("");
  const auto sent = pool.Send(head, empty, 0, kTimeout);
  if (!sent) {
    return std::string(acp::NameOf(sent.error().code));
  }
  try {
    *body = acp::ReadAll(sent.value()->Body(), kMaxAnswerBytes).value_or("");
  } catch (const acp::BodyTruncated&) {
    return "truncated";
  }
  const auto& response = sent.value()->Response();
  return fmt::format("{} {} {}",
                     response.status,
                     response.headers.Find("Acp-Outcome").value_or("direct"),
                     response.headers.Find("Acp-Reason").value_or(""));
}

int Run(const acp::Settings& settings)
{
  const acp::SystemClock clock;
  const auto connections = settings.GetInteger("connections");
  acp::HttpPool pool(
    { .address = settings.GetAddress("target"), .maxConnections = static_cast<int>(connections) });
  Tally tally;
  std::atomic<std::int64_t> remaining{ settings.GetInteger("requests") };
  std::atomic<bool> printBody{ settings.GetSwitch("print-body") };
  const auto worker = [&] {
    while (remaining-- > 0) {
      const auto head = MakeRequest(settings, clock);
      std::string body;
      const auto start = clock.Now();
      const std::string result = SendOne(pool, head, &body);
      tally.Count(result, clock.Now() - start);
      if (printBody.exchange(false)) {
        fmt::print("{}\n", body);
      }
    }
  };
  {
    std::vector<std::jthread> threads;
    for (std::int64_t i = 0; i < connections; ++i) {
      threads.emplace_back(worker);
    }
  }
  tally.Print();
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  acp::Settings settings("acp-load", ACP_VERSION, "Sends requests and prints what came back.");
  settings.AddAddress("target", "ingress of a node, or an upstream", acp::Settings::kRequired);
  settings.AddText("path", "path of the requests", acp::Settings::kRequired);
  settings.AddText("method", "HTTP method", "GET");
  settings.AddText("key-file", "file with the client account's key; empty for none", "");
  settings.AddInteger("requests", "number of requests", 1, 1, 10'000'000);
  settings.AddInteger("connections", "connections used at once", 1, 1, 1000);
  settings.AddSwitch("print-body", "print the first answer's body");
  settings.ParseOrExit(argc, argv);
  acp::BlockStopSignals();
  try {
    return Run(settings);
  } catch (const std::exception& e) {
    fmt::print(stderr, "acp-load: {}\n", e.what());
    return 1;
  }
}
