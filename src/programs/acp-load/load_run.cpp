#include "load_run.hpp"

#include <thread> // jthread, sleep_for, sleep_until

#include <fmt/format.h> // format, print

#include "acaciapulley/core/random.hpp" // RandomHex

namespace {

constexpr std::size_t kMaxResponseBytes = 1'073'741'824;
constexpr std::size_t kRunIdBytes = 8;
// A request that is overdue by more than this is counted as late and not sent.
constexpr acp::Duration kMaxLateness = std::chrono::seconds(1);

acp::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

/// Returns whether the response of a stub upstream carries the request id at both ends.
bool IsResponseTo(const std::string& id, const std::string& body)
{
  return body.starts_with("id=" + id + " ") && body.ends_with("\nend=" + id + "\n");
}

bool IsWorthRetrying(const LoadResult& result)
{
  return !result.isGood && !result.isMismatched;
}

} // namespace

LoadRun::LoadRun(LoadOptions options)
  : options_(std::move(options))
  , runId_(acp::RandomHex(kRunIdBytes))
  , printBody_(options_.printBody)
{
  for (const auto& target : options_.targets) {
    pools_.push_back(std::make_unique<acp::HttpPool>(
      acp::HttpPoolOptions{ .address = target,
                            .maxConnections = static_cast<int>(options_.connections),
                            .maxWait = options_.timeout }));
  }
}

acp::HttpRequestHead LoadRun::MakeHead(const LoadAccount& account, std::int64_t number) const
{
  acp::HttpRequestHead head{ .method = options_.method, .target = options_.path };
  head.headers.Add("X-Request-Id", fmt::format("{}-{}", runId_, number));
  if (!account.key.empty()) {
    head.headers.Add("Acp-Key", account.key);
  }
  if (options_.deadlineMs > 0) {
    head.headers.Add("Acp-Deadline-Ms", std::to_string(options_.deadlineMs));
  }
  if (options_.method != "GET" && options_.method != "HEAD") {
    const auto seconds = acp::CountMillis(acp::SystemClock().WallNow()) / 1000;
    head.headers.Add("Idempotency-Key", fmt::format("{}-{}-{}", seconds, runId_, number));
  }
  return head;
}

LoadResult LoadRun::SendOnce(const acp::HttpRequestHead& head,
                             acp::HttpPool& pool,
                             std::string* body)
{
  acp::StringBody source(options_.body);
  const auto length = static_cast<std::int64_t>(options_.body.size());
  const auto sent = pool.Send(head, source, length, options_.timeout);
  if (!sent) {
    return { .name = std::string(acp::NameOf(sent.error().code)) };
  }
  try {
    *body = acp::ReadAll(sent.value()->Body(), kMaxResponseBytes).value_or("");
  } catch (const acp::BodyTruncated&) {
    return { .name = "truncated" };
  }
  const auto& response = sent.value()->Response();
  const std::string outcome = response.headers.Find("Acp-Outcome").value_or("direct");
  LoadResult result;
  result.name = fmt::format("{} {}", response.status, outcome);
  if (const auto reason = response.headers.Find("Acp-Reason")) {
    result.name += " " + *reason;
  }
  const bool isFromUpstream = outcome == "ran" || outcome == "direct";
  result.isGood = isFromUpstream && response.status < 400;
  const std::string id = head.headers.Find("X-Request-Id").value_or("");
  if (result.isGood && response.status == 200 && !IsResponseTo(id, *body)) {
    result = { .name = "mismatched answer", .isMismatched = true };
  }
  return result;
}

LoadResult LoadRun::SendWithRetries(const acp::HttpRequestHead& head,
                                    acp::HttpPool& pool,
                                    std::string* body)
{
  LoadResult result = SendOnce(head, pool, body);
  for (std::int64_t i = 0; i < options_.retries && IsWorthRetrying(result); ++i) {
    stats_.CountRetry();
    std::this_thread::sleep_for(options_.retryPause);
    result = SendOnce(head, pool, body);
  }
  return result;
}

void LoadRun::SendWithResends(std::int64_t number, acp::TimePoint due)
{
  const auto index = static_cast<std::size_t>(number);
  const LoadAccount& account = options_.accounts[index % options_.accounts.size()];
  acp::HttpPool& pool = *pools_[index % pools_.size()];
  const auto head = MakeHead(account, number);
  std::string body;
  const LoadResult result = SendWithRetries(head, pool, &body);
  stats_.Record(account.name, result, Now() - due);
  if (printBody_.exchange(false)) {
    fmt::print("{}\n", body);
  }
  for (std::int64_t i = 0; i < options_.resends; ++i) {
    const acp::TimePoint start = Now();
    std::string again;
    LoadResult resent = SendOnce(head, pool, &again);
    if (result.isGood && resent.isGood && again != body) {
      resent = { .name = "mismatched answer", .isMismatched = true };
    }
    resent.name = "resend " + resent.name;
    // A resend does not count as another good response of the upstream.
    resent.isGood = false;
    stats_.Record(account.name, resent, Now() - start);
  }
}

void LoadRun::RunWorker()
{
  while (true) {
    const std::int64_t number = nextNumber_++;
    if (options_.requests > 0 && number >= options_.requests) {
      return;
    }
    acp::TimePoint due = Now();
    if (options_.rate > 0) {
      due = start_ + std::chrono::nanoseconds(1'000'000'000LL * number / options_.rate);
    }
    if (options_.duration.count() > 0 && due - start_ >= options_.duration) {
      return;
    }
    std::this_thread::sleep_until(due);
    if (Now() - due > kMaxLateness) {
      stats_.CountLate();
      continue;
    }
    SendWithResends(number, due);
  }
}

void LoadRun::Run()
{
  start_ = Now();
  {
    std::vector<std::jthread> threads;
    for (std::int64_t i = 0; i < options_.connections; ++i) {
      threads.emplace_back([this] { RunWorker(); });
    }
  }
  elapsed_ = Now() - start_;
}
