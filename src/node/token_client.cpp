#include "acaciapulley/node/detail/token_client.hpp"

#include <utility> // move

#include "acaciapulley/core/log.hpp" // Log
#include "gen/ControlService.h"

namespace acp::detail {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(10);
// A request waits at most this long for a token; longer waits go to the caller as Retry-After.
constexpr Duration kLongestWait = std::chrono::milliseconds(200);

std::int64_t ToMicros(Duration span)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(span).count();
}

wire::TokenAsk ToWire(const TokenAsk& ask)
{
  wire::TokenAsk wired;
  wired.serviceName = ask.key.service;
  wired.account = ask.key.account;
  wired.number = ask.number;
  wired.term = ask.term;
  wired.received = ask.received;
  wired.spent = ask.spent;
  wired.returned = ask.returned;
  wired.spentAgeMicros = ToMicros(ask.spentAge);
  wired.needed = ask.needed;
  wired.wanted = ask.wanted;
  return wired;
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

} // namespace

TokenClient::Token::Token(TokenClient& client, LimitKey key, TokenHold hold)
  : client_(client)
  , key_(std::move(key))
  , hold_(hold)
{
}

TokenClient::Token::~Token()
{
  if (state_ == State::Held) {
    client_.table_.PutBack(key_, hold_, client_.options_.clock->Now());
  }
}

bool TokenClient::Token::Commit()
{
  if (state_ == State::Held) {
    const bool committed = client_.table_.Commit(key_, hold_, client_.options_.clock->Now());
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
  answered_.notify_all();
  thread_.join();
}

OrRefusal<std::shared_ptr<TokenClient::Token>> TokenClient::Take(const LimitKey& key)
{
  const auto taken = table_.TryTake(key, options_.clock->Now());
  if (taken.status == TakeStatus::Taken) {
    return std::make_shared<Token>(*this, key, taken.hold);
  }
  if (taken.status == TakeStatus::Refused) {
    return NotRun(
      429, Reason::RateExceeded, "the client account's rate is used up", taken.retryAfter);
  }
  table_.EnterWait(key);
  auto waited = WaitForToken(key);
  table_.LeaveWait(key);
  return waited;
}

OrRefusal<std::shared_ptr<TokenClient::Token>> TokenClient::WaitForToken(const LimitKey& key)
{
  const TimePoint giveUpAt = options_.clock->Now() + kLongestWait;
  while (true) {
    const TimePoint now = options_.clock->Now();
    if (const auto ask = table_.DueAsk(key, now)) {
      Send({ *ask });
    }
    const auto taken = table_.TryTake(key, options_.clock->Now());
    if (taken.status == TakeStatus::Taken) {
      return std::make_shared<Token>(*this, key, taken.hold);
    }
    if (taken.status == TakeStatus::Refused) {
      return NotRun(
        429, Reason::RateExceeded, "the client account's rate is used up", taken.retryAfter);
    }
    if (now >= giveUpAt && lastAnswer_.load() >= now - kLongestWait) {
      return NotRun(
        429, Reason::RateExceeded, "the client account's rate is used up", taken.retryAfter);
    }
    if (now >= giveUpAt) {
      return NotRun(503,
                    Reason::RateUnavailable,
                    "control grants no rate tokens at the moment",
                    std::chrono::seconds(1));
    }
    std::unique_lock lock(mutex_);
    answered_.wait_for(lock, std::chrono::milliseconds(1));
  }
}

void TokenClient::Send(const std::vector<TokenAsk>& asks)
{
  if (asks.empty()) {
    return;
  }
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
  if (!done || reply.answers.size() != asks.size()) {
    for (const auto& ask : asks) {
      table_.OnNoAnswer(ask.key, ask.number, now);
    }
    if (!done) {
      Log(LogLevel::Warning, "token_request_failed", { { "error", done.error().Describe() } });
    }
    return;
  }
  lastAnswer_ = now;
  for (std::size_t i = 0; i < asks.size(); ++i) {
    if (reply.answers[i].errorCode == 0) {
      table_.OnAnswer(asks[i].key, FromWire(reply.answers[i]), now);
    } else {
      table_.OnNoAnswer(asks[i].key, asks[i].number, now);
    }
  }
  answered_.notify_all();
}

void TokenClient::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    answered_.wait_for(lock, kAskInterval, [this] { return stopping_; });
    lock.unlock();
    Send(table_.DueAsks(options_.clock->Now()));
    lock.lock();
  }
}

} // namespace acp::detail
