#include "stub_upstream.hpp"

#include <algorithm> // max, min
#include <charconv>  // from_chars
#include <cstring>   // memcpy, memset
#include <thread>    // sleep_for

#include <fmt/format.h> // format

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // Sha256, ToHex

namespace {

constexpr acp::Duration kCallTimeout = std::chrono::seconds(10);
constexpr acp::Duration kCallerCheckInterval = std::chrono::milliseconds(5);
constexpr std::size_t kMaxBodyBytes = 1'073'741'824;
constexpr std::size_t kNestedKeyDigits = 24;
// A cold upstream is this many times slower at its start, and speeds up linearly.
constexpr double kColdSlowdownFactor = 5.0;

acp::TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

std::int64_t ToNumber(const std::string& text, std::int64_t fallback)
{
  std::int64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Value of `bytes=` in the query of @p target.
std::int64_t RequestedBytes(const std::string& target, std::int64_t fallback)
{
  const std::size_t start = target.find("bytes=");
  return start == std::string::npos ? fallback : ToNumber(target.substr(start + 6), fallback);
}

/// A body of a head and a tail that identify the request, with filler between them.
class EchoBody final : public acp::BodySource
{
public:
  /// @param truncateAt number of bytes after which the body ends early; -1 for a complete body
  EchoBody(std::string head, std::string tail, std::int64_t length, std::int64_t truncateAt)
    : head_(std::move(head))
    , tail_(std::move(tail))
    , length_(length)
    , truncateAt_(truncateAt)
  {
  }

  std::size_t Read(char* buffer, std::size_t size) override
  {
    if (truncateAt_ >= 0 && position_ >= truncateAt_) {
      throw acp::BodyTruncated{};
    }
    const auto count = std::min<std::int64_t>(static_cast<std::int64_t>(size), length_ - position_);
    const auto headSize = static_cast<std::int64_t>(head_.size());
    const auto tailStart = length_ - static_cast<std::int64_t>(tail_.size());
    std::memset(buffer, '.', static_cast<std::size_t>(count));
    for (std::int64_t i = position_; i < std::min(position_ + count, headSize); ++i) {
      buffer[i - position_] = head_[static_cast<std::size_t>(i)];
    }
    for (std::int64_t i = std::max(position_, tailStart); i < position_ + count; ++i) {
      buffer[i - position_] = tail_[static_cast<std::size_t>(i - tailStart)];
    }
    position_ += count;
    return static_cast<std::size_t>(count);
  }

private:
  std::string head_;
  std::string tail_;
  std::int64_t length_;
  std::int64_t truncateAt_;
  std::int64_t position_ = 0;
};

void RespondNotRun(acp::ServerExchange& exchange, const std::string& reason)
{
  acp::HttpResponseHead head{ .status = 503 };
  head.headers.Set("Acp-Outcome", "not-run");
  head.headers.Set("Acp-Reason", reason);
  exchange.Respond(head, reason + "\n");
}

} // namespace

StubUpstream::StubUpstream(const acp::Settings& settings)
  : settings_(settings)
  , behaviour_({ .serviceUs = settings.GetInteger("service-us"),
                 .isExponential = settings.GetSwitch("exponential") })
  , recorder_(settings.GetText("record-file"))
  , egress_({ .address = settings.GetAddress("egress"),
              .maxConnections = 1024,
              .maxWait = std::chrono::seconds(1) })
  , startedAt_(Now())
  , freeSlots_(settings.GetInteger("slots"))
{
  std::string rest = settings.GetText("next");
  while (!rest.empty()) {
    const std::string item = rest.substr(0, rest.find(','));
    const std::size_t colon = item.find(':');
    const bool namesMethod = colon != std::string::npos;
    nested_.push_back({ .method = namesMethod ? item.substr(0, colon) : "GET",
                        .target = namesMethod ? item.substr(colon + 1) : item });
    rest.erase(0, item.size() + 1);
  }
}

bool StubUpstream::AcquireSlot(acp::TimePoint deadline, const acp::ServerExchange& exchange)
{
  std::unique_lock lock(mutex_);
  while (freeSlots_ == 0) {
    if (Now() >= deadline || exchange.IsCallerGone()) {
      return false;
    }
    slotFreed_.wait_until(lock, std::min(deadline, Now() + kCallerCheckInterval));
  }
  --freeSlots_;
  return true;
}

void StubUpstream::ReleaseSlot()
{
  {
    const std::lock_guard lock(mutex_);
    ++freeSlots_;
  }
  slotFreed_.notify_one();
}

bool StubUpstream::SimulateWork(acp::Duration span, const acp::ServerExchange& exchange)
{
  const acp::TimePoint end = Now() + span;
  while (Now() < end) {
    std::this_thread::sleep_for(std::min<acp::Duration>(end - Now(), kCallerCheckInterval));
    if (Now() < end && exchange.IsCallerGone()) {
      return false;
    }
  }
  return true;
}

acp::Duration StubUpstream::ServiceTime(const BehaviourValues& values) const
{
  const acp::Duration time = RandomServiceTime(values);
  const acp::Duration coldTime = std::chrono::milliseconds(settings_.GetInteger("cold-start-ms"));
  const acp::Duration age = Now() - startedAt_;
  if (age >= coldTime) {
    return time;
  }
  const double coldFraction =
    1.0 - static_cast<double>(age.count()) / static_cast<double>(coldTime.count());
  return std::chrono::duration_cast<acp::Duration>(
    time * (1.0 + (kColdSlowdownFactor - 1.0) * coldFraction));
}

void StubUpstream::Handle(acp::ServerExchange& exchange)
{
  const auto& head = exchange.Request();
  recorder_.RecordArrival(head);
  const auto left = head.headers.Find("Acp-Deadline-Ms");
  const acp::TimePoint deadline =
    Now() + std::chrono::milliseconds(ToNumber(left.value_or(""), 60'000));
  acp::ReadAll(exchange.RequestBody(), kMaxBodyBytes);
  const BehaviourValues values = behaviour_.Current();
  if (RandomlyTrue(values.refuse)) {
    RespondNotRun(exchange, "overloaded");
    return;
  }
  if (!AcquireSlot(deadline, exchange)) {
    recorder_.RecordCancellation();
    RespondNotRun(exchange, "deadline_exceeded");
    return;
  }
  if (exchange.IsFirstOnConnection()) {
    std::this_thread::sleep_for(std::chrono::microseconds(settings_.GetInteger("connection-us")));
  }
  if (head.target == "/healthz" || head.target == "/load") {
    RespondToProbe(exchange);
    ReleaseSlot();
    return;
  }
  ServeInSlot(exchange, values);
}

/// The response contains no load data, since health endpoints of real upstreams may be late or
/// misleading.
void StubUpstream::RespondToProbe(acp::ServerExchange& exchange)
{
  std::this_thread::sleep_for(std::chrono::microseconds(settings_.GetInteger("probe-us")));
  exchange.Respond({ .status = 200 }, "ok\n");
}

/// Makes the nested calls, then simulates its own work. Until the first nested call has run, the
/// request has had no effect, so a refusal of that call is returned as a refusal by this upstream.
void StubUpstream::ServeInSlot(acp::ServerExchange& exchange, const BehaviourValues& values)
{
  std::string log;
  for (std::size_t i = 0; i < nested_.size(); ++i) {
    const NestedResult result = CallNested(nested_[i], exchange.Request());
    log += result.text + "\n";
    if (i == 0 && !result.notRunReason.empty()) {
      ReleaseSlot();
      RespondNotRun(exchange, result.notRunReason);
      return;
    }
    if (i == 0) {
      recorder_.RecordExecution(exchange.Request());
    }
    if (!result.isGood) {
      ReleaseSlot();
      exchange.Respond({ .status = 502 }, "nested call failed: " + log);
      return;
    }
  }
  if (nested_.empty()) {
    recorder_.RecordExecution(exchange.Request());
  }
  bool isCallerWaiting = !exchange.IsCallerGone() && SimulateWork(ServiceTime(values), exchange);
  while (isCallerWaiting && RandomlyTrue(values.stall)) {
    isCallerWaiting = SimulateWork(kCallTimeout, exchange);
  }
  ReleaseSlot();
  if (!isCallerWaiting) {
    recorder_.RecordCancellation();
    return;
  }
  recorder_.RecordCompletion();
  Respond(exchange, values, log);
}

void StubUpstream::Respond(acp::ServerExchange& exchange,
                           const BehaviourValues& values,
                           const std::string& log)
{
  if (RandomlyTrue(values.fail)) {
    exchange.Respond({ .status = 500 }, "the stub was told to fail\n");
    return;
  }
  const auto& request = exchange.Request();
  const std::string id = request.headers.Find("X-Request-Id").value_or("none");
  const std::string start = fmt::format(
    "id={} {} {} {}\n{}", id, settings_.GetText("service"), request.method, request.target, log);
  const std::string tail = fmt::format("\nend={}\n", id);
  const auto minLength = static_cast<std::int64_t>(start.size() + tail.size());
  const std::int64_t length =
    std::max(minLength, RequestedBytes(request.target, settings_.GetInteger("answer-bytes")));
  EchoBody body(start, tail, length, RandomlyTrue(values.cut) ? length / 2 : -1);
  acp::HttpResponseHead head{ .status = 200 };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set("X-Request-Id", id);
  const bool isChunked = request.target.find("chunked") != std::string::npos;
  const auto result = exchange.RespondStreaming(head, isChunked ? -1 : length, body, nullptr);
  if (result == acp::StreamingResult::NotStarted) {
    exchange.Abort(); // nothing of the truncated body was sent
  }
}

StubUpstream::NestedResult StubUpstream::CallNested(const NestedCall& call,
                                                    const acp::HttpRequestHead& parent)
{
  acp::HttpRequestHead head{ .method = call.method, .target = call.target };
  for (const auto* name : { "Acp-Context", "Acp-Deadline-Ms" }) {
    if (const auto value = parent.headers.Find(name)) {
      head.headers.Set(name, *value);
    }
  }
  const std::string key = parent.headers.Find("Idempotency-Key").value_or("");
  if (!key.empty() && call.method != "GET") {
    // Derived from the parent's key, so that a resend of the parent does not run the nested call
    // twice.
    const std::string hash = acp::ToHex(acp::Sha256(key + call.target));
    head.headers.Set("Idempotency-Key",
                     key.substr(0, key.find('-')) + "-" + hash.substr(0, kNestedKeyDigits));
  }
  acp::StringBody empty("");
  const auto sent = egress_.Send(head, empty, 0, kCallTimeout);
  if (!sent) {
    return { .text = sent.error().Describe() };
  }
  const auto& response = sent.value()->Response();
  NestedResult result;
  if (response.headers.Find("Acp-Outcome").value_or("") == "not-run") {
    result.notRunReason = response.headers.Find("Acp-Reason").value_or("overloaded");
  }
  try {
    const auto body = acp::ReadAll(sent.value()->Body(), kMaxBodyBytes);
    result.text = fmt::format("{} {}", response.status, body.value_or(""));
    result.isGood = response.status == 200;
  } catch (const acp::BodyTruncated&) {
    result.text = "truncated";
  }
  return result;
}

void StubUpstream::HandleAdmin(acp::ServerExchange& exchange)
{
  const auto& request = exchange.Request();
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string query = request.target.substr(std::min(path.size() + 1, request.target.size()));
  if (path == "/stats" && request.method == "GET") {
    exchange.Respond({ .status = 200 }, recorder_.ToJson());
  } else if (path == "/behaviour" && request.method == "GET") {
    exchange.Respond({ .status = 200 }, behaviour_.ToJson());
  } else if (path == "/behaviour" && request.method == "PUT") {
    const std::string problem = behaviour_.Update(query);
    exchange.Respond({ .status = problem.empty() ? 200 : 400 },
                     problem.empty() ? behaviour_.ToJson() : problem + "\n");
  } else {
    exchange.Respond({ .status = 404 }, "paths: /stats, /behaviour\n");
  }
}

void StubUpstream::Announce(bool draining)
{
  const std::string body = fmt::format(R"({{"service":"{}","address":"{}","slots":{},)"
                                       R"("max_connections":{},"cold_start_ms":{},"draining":{}}})",
                                       settings_.GetText("service"),
                                       settings_.GetText("listen"),
                                       settings_.GetInteger("slots"),
                                       settings_.GetInteger("max-connections"),
                                       settings_.GetInteger("cold-start-ms"),
                                       draining);
  acp::StringBody source(body);
  const acp::HttpRequestHead head{ .method = "PUT", .target = "/.acp/upstream" };
  const auto sent =
    egress_.Send(head, source, static_cast<std::int64_t>(body.size()), kCallTimeout);
  if (!sent) {
    acp::Log(acp::LogLevel::Warning, "announce_failed", { { "error", sent.error().Describe() } });
  } else if (sent.value()->Response().status != 204) {
    acp::Log(acp::LogLevel::Warning,
             "announce_refused",
             { { "status", std::to_string(sent.value()->Response().status) } });
  }
}
