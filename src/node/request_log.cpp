#include "acaciapulley/node/detail/request_log.hpp"

#include <algorithm> // max, min
#include <chrono>    // floor, milliseconds
#include <utility>   // exchange, move

#include "acaciapulley/core/log.hpp" // Log

namespace acp::detail {

namespace {

constexpr double kLinesPerSecond = 20;
constexpr double kLineBurst = 40;

std::string MillisText(Duration span)
{
  return std::to_string(std::chrono::floor<std::chrono::milliseconds>(span).count());
}

} // namespace

RequestLog::RequestLog(RequestLogOptions options)
  : options_(std::move(options))
  , available_(kLineBurst)
{
}

bool RequestLog::TryAcquire()
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = options_.clock->Now();
  const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
  available_ = std::min(kLineBurst, available_ + std::max(seconds, 0.0) * kLinesPerSecond);
  refilledAt_ = now;
  if (available_ < 1) {
    ++suppressed_;
    return false;
  }
  available_ -= 1;
  return true;
}

std::uint64_t RequestLog::TakeSuppressedCount()
{
  const std::lock_guard lock(mutex_);
  return std::exchange(suppressed_, 0);
}

void RequestLog::LogOwnResponse(const CompletedRequest& completed)
{
  if (completed.status == 0 || !TryAcquire()) {
    return;
  }
  Log(LogLevel::Info,
      "request_answered",
      { { "request", completed.requestId },
        { "status", std::to_string(completed.status) },
        { "outcome", std::string(NameOf(completed.outcome)) },
        { "reason", std::string(NameOf(completed.reason)) },
        { "service", completed.service },
        { "class", completed.requestClass },
        { "account", completed.account },
        { "ms", MillisText(completed.latency) },
        { "state_age_ms", MillisText(options_.stateCache->Age(options_.clock->Now())) },
        { "fleet_version", std::to_string(options_.stateCache->FleetVersion()) },
        { "detail", completed.message },
        { "left_out", std::to_string(TakeSuppressedCount()) } });
}

void RequestLog::LogUnanswered(const std::string& listener, const ServedRequest& served)
{
  const bool isExpected =
    served.end == RequestEnd::Answered || served.end == RequestEnd::CallerGone;
  if (isExpected || !TryAcquire()) {
    return;
  }
  Log(LogLevel::Warning,
      "request_unanswered",
      { { "request", served.request->Find(options_.requestIdField).value_or("") },
        { "listener", listener },
        { "end", std::string(NameOf(served.end)) },
        { "forwarded", std::string(NameOf(served.forwarding)) },
        { "status", std::to_string(served.status) },
        { "ms", MillisText(served.duration) },
        { "sent_bytes", std::to_string(served.sentBytes) },
        { "connection_ms", MillisText(served.connectionAge) },
        { "number", std::to_string(served.numberOnConnection) },
        { "left_out", std::to_string(TakeSuppressedCount()) } });
}

} // namespace acp::detail
