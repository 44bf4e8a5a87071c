#include "acaciapulley/transport/detail/pool_core.hpp"

#include <string>  // string
#include <utility> // move

#include "acaciapulley/core/log.hpp"                      // Log
#include "acaciapulley/core/random.hpp"                   // Jittered
#include "acaciapulley/transport/detail/http_framing.hpp" // FormatRequestHead, ParseResponseHead

namespace acp::detail {

namespace {

// A silent connection is detected within the sum of heartbeat interval, response timeout, probe
// connect timeout and late response timeout, which must stay below 2 s.
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
constexpr double kHeartbeatJitter = 0.2;
constexpr Duration kResponseTimeout = std::chrono::milliseconds(600);
constexpr Duration kProbeConnectTimeout = std::chrono::milliseconds(200);
// A peer that was only paused responds on the old connection as soon as on a new one.
constexpr Duration kLateResponseTimeout = std::chrono::milliseconds(200);
// Limit on the time for probes in one round, so that many lost peers do not delay the heartbeats of
// others.
constexpr Duration kProbeBudget = std::chrono::seconds(1);

constexpr int kHeartbeatStatus = 204;
constexpr std::size_t kMaxResponseBytes = 16'384;

/// A heartbeat in progress and its connection.
struct Heartbeat
{
  std::shared_ptr<PoolCore> pool;
  PoolCore::ConnectionPtr connection;
  TimePoint sentAt;
};

bool SendHeartbeat(PooledConnection& connection, const PoolCore& pool)
{
  const HttpRequestHead head{ .method = "GET", .target = "/.acp/heartbeat" };
  const std::string text = FormatRequestHead(head, pool.Options().address.ToString(), 0);
  return connection.io.Write(text, {}, SteadyNow()) == IoStatus::Ok;
}

/// Waits for the response; TimedOut means that the connection is silent.
IoStatus ReadHeartbeatResponse(PooledConnection& connection, TimePoint deadline)
{
  std::string text;
  const IoStatus status = connection.io.ReadHead(kMaxResponseBytes, deadline, &text);
  if (status != IoStatus::Ok) {
    return status;
  }
  HttpResponseHead head;
  MessageFraming framing;
  const bool isValid = !ParseResponseHead(text, "GET", &head, &framing);
  // Any other response, or further input, means that the response to the heartbeat may still
  // arrive.
  const bool isExpected = head.status == kHeartbeatStatus && !connection.io.HasInput();
  const bool isReusable = isValid && isExpected && framing.keepAlive;
  return isReusable ? IoStatus::Ok : IoStatus::Failed;
}

/// Closes older connections if a new one responds while the silent one stays silent.
void ProbeSilent(Heartbeat heartbeat)
{
  auto& pool = *heartbeat.pool;
  auto fresh = pool.Open(SteadyNow() + kProbeConnectTimeout);
  if (!fresh) {
    pool.Close(std::move(heartbeat.connection), ConnectionEvent::Silent);
    return;
  }
  const TimePoint opened = fresh.value()->io.CreatedAt();
  const bool responds =
    SendHeartbeat(*fresh.value(), pool) &&
    ReadHeartbeatResponse(*fresh.value(), SteadyNow() + kResponseTimeout) == IoStatus::Ok;
  const TimePoint lateDeadline = SteadyNow() + kLateResponseTimeout;
  if (ReadHeartbeatResponse(*heartbeat.connection, lateDeadline) == IoStatus::Ok) {
    pool.ReleaseAfterHeartbeat(std::move(heartbeat.connection));
  } else {
    pool.Close(std::move(heartbeat.connection), ConnectionEvent::Silent);
    if (responds) {
      Log(LogLevel::Warning,
          "silent_connections_retired",
          { { "peer", pool.Options().address.ToString() } });
      pool.Retire(opened, heartbeat.sentAt);
    }
  }
  if (responds) {
    pool.ReleaseAfterHeartbeat(std::move(fresh).value());
  } else {
    pool.Close(std::move(fresh).value(), ConnectionEvent::Silent);
  }
}

std::vector<Heartbeat> SendHeartbeats(const std::vector<std::shared_ptr<PoolCore>>& pools)
{
  std::vector<Heartbeat> sent;
  for (const auto& pool : pools) {
    for (auto& connection : pool->AcquireForHeartbeat()) {
      const TimePoint now = SteadyNow();
      if (SendHeartbeat(*connection, *pool)) {
        sent.push_back({ .pool = pool, .connection = std::move(connection), .sentAt = now });
      } else {
        pool->Close(std::move(connection), ConnectionEvent::Stale);
      }
    }
  }
  return sent;
}

/// Waits for all responses and returns one silent connection of each pool that has any.
std::vector<Heartbeat> CollectSilent(std::vector<Heartbeat> sent)
{
  const TimePoint deadline = SteadyNow() + kResponseTimeout;
  std::vector<Heartbeat> silent;
  for (auto& heartbeat : sent) {
    const IoStatus status = ReadHeartbeatResponse(*heartbeat.connection, deadline);
    const bool isPoolListed = !silent.empty() && silent.back().pool == heartbeat.pool;
    if (status == IoStatus::Ok) {
      heartbeat.pool->ReleaseAfterHeartbeat(std::move(heartbeat.connection));
    } else if (status == IoStatus::TimedOut && !isPoolListed) {
      silent.push_back(std::move(heartbeat));
    } else {
      const bool isSilent = status == IoStatus::TimedOut;
      heartbeat.pool->Close(std::move(heartbeat.connection),
                            isSilent ? ConnectionEvent::Silent : ConnectionEvent::Stale);
    }
  }
  return silent;
}

} // namespace

PoolMaintainer& PoolMaintainer::Instance()
{
  static PoolMaintainer maintainer;
  return maintainer;
}

PoolMaintainer::PoolMaintainer()
  : thread_([this] { Run(); })
{
}

PoolMaintainer::~PoolMaintainer()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  thread_.join();
}

void PoolMaintainer::Add(const std::shared_ptr<PoolCore>& pool)
{
  const std::lock_guard lock(mutex_);
  pools_.push_back(pool);
}

std::vector<std::shared_ptr<PoolCore>> PoolMaintainer::LivePools()
{
  std::vector<std::shared_ptr<PoolCore>> live;
  std::erase_if(pools_, [&live](const std::weak_ptr<PoolCore>& entry) {
    auto pool = entry.lock();
    if (pool) {
      live.push_back(std::move(pool));
      return false;
    }
    return true;
  });
  return live;
}

void PoolMaintainer::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    auto pools = LivePools();
    lock.unlock();
    std::vector<std::shared_ptr<PoolCore>> withHeartbeat;
    for (const auto& pool : pools) {
      pool->CloseIdle();
      if (pool->Options().sendsHeartbeats) {
        withHeartbeat.push_back(pool);
      }
    }
    const TimePoint start = SteadyNow();
    for (auto& silent : CollectSilent(SendHeartbeats(withHeartbeat))) {
      if (SteadyNow() - start < kResponseTimeout + kProbeBudget) {
        ProbeSilent(std::move(silent));
      } else {
        silent.pool->Close(std::move(silent.connection), ConnectionEvent::Silent);
      }
    }
    pools.clear();
    withHeartbeat.clear();
    lock.lock();
    stopped_.wait_for(
      lock, Jittered(kHeartbeatInterval, kHeartbeatJitter), [this] { return stopping_; });
  }
}

} // namespace acp::detail
