#include "acaciapulley/node/detail/token_client.hpp"

#include <algorithm> // min
#include <utility>   // move

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // Jittered
#include "gen/ControlService.h"

namespace acp::detail {

namespace {

// Pause between calls; asks that become due meanwhile are sent together in the next call.
constexpr Duration kCallInterval = std::chrono::milliseconds(5);
// Without waiting requests, due reports and prefetches are checked for this often.
constexpr Duration kIdleInterval = std::chrono::milliseconds(25);
// While calls fail, the pause doubles up to this, so that a slow control does not get more calls
// for being slow.
constexpr Duration kMaxBackoff = std::chrono::milliseconds(400);
constexpr double kBackoffJitter = 0.2;
// A request waits at most this long for a token; the caller gets longer waits as Retry-After.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(200);
// Answers wake the waiting requests; this bound is for leases that expire in between.
constexpr Duration kMaxSleep = std::chrono::milliseconds(50);
// Requests of one account that may wait concurrently while tokens are scarce; further ones are
// refused at once. On most nodes, an account gets fewer tokens than this within kMaxTokenWait.
constexpr std::size_t kMaxWaitersWhenScarce = 16;
// Requests of one account that may wait while calls to control keep failing; their asks show when
// control answers again. Further ones are refused at once, so that their callers keep the time to
// come back: a wait of kMaxTokenWait may be the whole latency objective of a class.
constexpr std::size_t kMaxWaitersWhenSilent = 1;
// While no shortage is known, a whole burst may wait at one node for the first answer.
constexpr std::size_t kMaxWaiters = 1024;

std::int64_t ToMicros(Duration span)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

wire::TokenAsk ToWire(const TokenAsk& ask)
{
  wire::TokenAsk wireAsk;
  wireAsk.serviceName = ask.key.service;
  wireAsk.account = ask.key.account;
  wireAsk.number = ask.number;
  wireAsk.term = ask.term;
  wireAsk.received = ask.received;
  wireAsk.spent = ask.spent;
  wireAsk.returned = ask.returned;
  wireAsk.spentAgeMicros = ToMicros(ask.spentAge);
  wireAsk.needed = ask.needed;
  wireAsk.wanted = ask.wanted;
  return wireAsk;
}

TokenAnswer FromWire(const wire::TokenAnswer& answer)
{
  return { .term = answer.term,
           .number = answer.number,
           .granted = answer.granted,
           .lease = std::chrono::microseconds(answer.leaseMicros),
           .retryAfter = std::chrono::microseconds(answer.retryAfterMicros),
           .settleWithin = std::chrono::microseconds(answer.settleWithinMicros),
           .mayBeWithinRate = answer.mayBeWithinRate };
}

auto RateUnavailableRefusal()
{
  return NotRunRefusal(503,
                       Reason::RateUnavailable,
                       "no answer from control to the request for a rate token",
                       std::chrono::seconds(1));
}

auto RateExceededRefusal(Duration retryAfter)
{
  return NotRunRefusal(
    429, Reason::RateExceeded, "the client account has exceeded its rate", retryAfter);
}

} // namespace

TokenClient::Token::Token(TokenClient& client, LimitKey key, TokenReservation reservation)
  : client_(client)
  , key_(std::move(key))
  , reservation_(reservation)
{
}

TokenClient::Token::~Token()
{
  if (state_ == State::Reserved) {
    client_.table_.Release(key_, reservation_, client_.options_.clock->Now());
    client_.Wake(key_, 1);
  }
}

bool TokenClient::Token::Commit()
{
  if (state_ == State::Reserved) {
    const bool committed = client_.table_.Commit(key_, reservation_, client_.options_.clock->Now());
    state_ = committed ? State::Spent : State::Expired;
  }
  return state_ == State::Spent;
}

TokenClient::TokenClient(TokenClientOptions options)
  : options_(std::move(options))
  , table_({ .nodeId = options_.nodeId, .epoch = options_.epoch })
  , thread_([this] { Run(); })
{
}

TokenClient::~TokenClient()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  senderWakeUp_.notify_all();
  thread_.join();
}

OrRefusal<std::shared_ptr<TokenClient::Token>> TokenClient::Reserve(
  const LimitKey& key,
  const std::stop_token& callerGone)
{
  const auto taken = table_.TryReserve(key, options_.clock->Now());
  if (taken.status == ReserveStatus::Reserved) {
    return std::make_shared<Token>(*this, key, taken.reservation);
  }
  if (taken.status == ReserveStatus::Refused) {
    return RateExceededRefusal(taken.retryAfter);
  }
  Waiter waiter;
  const bool isScarce = taken.retryAfter > Duration::zero();
  if (isControlSilent_.load()) {
    if (!AddWaiter(key, waiter, kMaxWaitersWhenSilent)) {
      return RateUnavailableRefusal();
    }
  } else if (!AddWaiter(key, waiter, isScarce ? kMaxWaitersWhenScarce : kMaxWaiters)) {
    return RateExceededRefusal(taken.retryAfter);
  }
  table_.AddWaiter(key);
  WakeSender();
  auto waited = WaitForToken(key, waiter, callerGone);
  table_.RemoveWaiter(key);
  RemoveWaiter(key, waiter);
  return waited;
}

bool TokenClient::AddWaiter(const LimitKey& key, Waiter& waiter, std::size_t maxWaiters)
{
  const std::lock_guard lock(mutex_);
  auto& waiting = waiters_[key];
  if (waiting.size() >= maxWaiters) {
    return false;
  }
  waiting.push_back(&waiter);
  return true;
}

void TokenClient::WakeSender()
{
  {
    const std::lock_guard lock(mutex_);
    isSendRequested_ = true;
  }
  senderWakeUp_.notify_one();
}

void TokenClient::RemoveWaiter(const LimitKey& key, const Waiter& waiter)
{
  const std::lock_guard lock(mutex_);
  const auto found = waiters_.find(key);
  std::erase(found->second, &waiter);
  if (found->second.empty()) {
    waiters_.erase(found);
  }
}

void TokenClient::Wake(const LimitKey& key, std::size_t count)
{
  const std::lock_guard lock(mutex_);
  const auto found = waiters_.find(key);
  if (found == waiters_.end()) {
    return;
  }
  for (Waiter* waiter : found->second) {
    if (count == 0) {
      return;
    }
    if (!waiter->isWoken) {
      waiter->isWoken = true;
      waiter->point.Wake();
      --count;
    }
  }
}

void TokenClient::WaitForWake(Waiter& waiter, Duration maxWait)
{
  waiter.point.WaitFor(std::min(maxWait, kMaxSleep));
  const std::lock_guard lock(mutex_);
  waiter.isWoken = false;
}

std::optional<OrRefusal<std::shared_ptr<TokenClient::Token>>> TokenClient::TryFinishWait(
  const LimitKey& key,
  TimePoint deadline)
{
  const TimePoint now = options_.clock->Now();
  const auto taken = table_.TryReserve(key, now);
  if (taken.status == ReserveStatus::Reserved) {
    return std::make_shared<Token>(*this, key, taken.reservation);
  }
  const bool isAnswered = lastAnswer_.load() >= now - kMaxTokenWait;
  if (taken.status == ReserveStatus::Refused || (now >= deadline && isAnswered)) {
    return RateExceededRefusal(taken.retryAfter);
  }
  if (now >= deadline) {
    return RateUnavailableRefusal();
  }
  return std::nullopt;
}

OrRefusal<std::shared_ptr<TokenClient::Token>>
TokenClient::WaitForToken(const LimitKey& key, Waiter& waiter, const std::stop_token& callerGone)
{
  const TimePoint deadline = options_.clock->Now() + kMaxTokenWait;
  const std::stop_callback onGone(callerGone, [&waiter] { waiter.point.Wake(); });
  while (true) {
    if (callerGone.stop_requested()) {
      return NotRunRefusal(
        503, Reason::CallerGone, "the caller disconnected while it waited for a rate token");
    }
    if (auto end = TryFinishWait(key, deadline)) {
      return *std::move(end);
    }
    WaitForWake(waiter, deadline - options_.clock->Now());
  }
}

bool TokenClient::Send(const std::vector<TokenAsk>& asks)
{
  wire::TokenRequest request;
  request.nodeId = options_.nodeId;
  request.epoch = options_.epoch;
  for (const auto& ask : asks) {
    request.asks.push_back(ToWire(ask));
  }
  wire::TokenReply reply;
  const auto done =
    options_.call([&](wire::ControlServiceIf& control) { control.AcquireTokens(reply, request); });
  const TimePoint now = options_.clock->Now();
  const bool isAnswered = done && reply.answers.size() == asks.size();
  RecordCall(
    isAnswered, done ? "the reply lacks an answer for each ask" : done.error().Describe(), now);
  if (!isAnswered) {
    for (const auto& ask : asks) {
      table_.OnAskFailed(ask.key, ask.number, now);
    }
    return false;
  }
  for (std::size_t i = 0; i < asks.size(); ++i) {
    ApplyAnswer(asks[i], reply.answers[i], now);
  }
  return true;
}

void TokenClient::ApplyAnswer(const TokenAsk& ask,
                              const wire::TokenAnswer& wireAnswer,
                              TimePoint now)
{
  if (wireAnswer.errorCode != 0) {
    table_.OnAskFailed(ask.key, ask.number, now);
    return;
  }
  const TokenAnswer answer = FromWire(wireAnswer);
  table_.OnAnswer(ask.key, answer, now);
  const bool isEnough = answer.granted >= ask.needed;
  // When tokens are scarce, the answer tells all waiters how long they would have to wait.
  Wake(ask.key, isEnough ? static_cast<std::size_t>(answer.granted) : kMaxWaiters);
}

void TokenClient::RecordCall(bool isAnswered, const std::string& error, TimePoint now)
{
  ++calls_;
  if (!isAnswered) {
    if (consecutiveFailures_++ == 0) {
      failingSince_ = now;
      Log(LogLevel::Warning, "tokens_unavailable", { { "error", error } });
    }
    ++failedCalls_;
    isControlSilent_ = now - failingSince_ >= kMaxTokenWait;
    return;
  }
  lastAnswer_ = now;
  isControlSilent_ = false;
  if (consecutiveFailures_ > 0) {
    const auto span = std::chrono::floor<std::chrono::milliseconds>(now - failingSince_);
    Log(LogLevel::Info,
        "tokens_available",
        { { "failed_calls", std::to_string(consecutiveFailures_) },
          { "after_ms", std::to_string(span.count()) } });
    consecutiveFailures_ = 0;
  }
}

TokenCallCounts TokenClient::CallCounts() const
{
  return { .calls = calls_.load(), .failed = failedCalls_.load() };
}

void TokenClient::Run()
{
  Duration pause = kCallInterval;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    senderWakeUp_.wait_for(lock, kIdleInterval, [this] { return stopping_ || isSendRequested_; });
    isSendRequested_ = false;
    lock.unlock();
    const auto asks = table_.DueAsks(options_.clock->Now());
    const bool isAnswered = asks.empty() || Send(asks);
    pause = isAnswered ? kCallInterval : std::min(2 * pause, kMaxBackoff);
    lock.lock();
    if (!asks.empty()) {
      senderWakeUp_.wait_for(lock, Jittered(pause, kBackoffJitter), [this] { return stopping_; });
    }
  }
}

} // namespace acp::detail
