#include "acaciapulley/control/token_relay.hpp"

#include <utility> // exchange, move

#include "gen/ControlService.h"

namespace acp {

/// A request of one node; guarded by the relay's mutex.
struct TokenRelay::Passed
{
  wire::TokenRequest request;
  wire::TokenReply reply;
  bool isEnded = false;
  bool isAnswered = false;
};

TokenRelay::TokenRelay(TokenRelayOptions options)
  : options_(std::move(options))
  , thread_([this] { Run(); })
{
}

TokenRelay::~TokenRelay()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  answered_.notify_all();
  thread_.join();
}

ControlResult<void> TokenRelay::Acquire(wire::TokenReply& reply, const wire::TokenRequest& request)
{
  const auto passed = std::make_shared<Passed>();
  passed->request = request;
  std::unique_lock lock(mutex_);
  queue_.push_back(passed);
  changed_.notify_one();
  answered_.wait_for(
    lock, options_.longestWait, [this, &passed] { return passed->isEnded || stopping_; });
  if (!passed->isAnswered) {
    std::erase(queue_, passed);
    return Fail(ControlErrorCode::Unavailable, "the leader did not answer in time");
  }
  reply = passed->reply;
  return boost::outcome_v2::success();
}

void TokenRelay::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    const auto batch = std::exchange(queue_, {});
    if (!batch.empty() && !stopping_) {
      lock.unlock();
      PassOn(batch);
      lock.lock();
      changed_.wait_for(lock, options_.interval, [this] { return stopping_; });
    }
  }
}

void TokenRelay::PassOn(const std::vector<PassedPtr>& batch)
{
  wire::RelayedTokenRequest relayed;
  relayed.requests.reserve(batch.size());
  for (const auto& passed : batch) {
    relayed.requests.push_back(passed->request);
  }
  wire::RelayedTokenReply replies;
  const auto done = options_.callLeader(
    [&](wire::ControlServiceIf& leader) { leader.RelayTokens(replies, relayed); });
  const bool isAnswered = done && replies.replies.size() == batch.size();
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < batch.size(); ++i) {
    batch[i]->isEnded = true;
    batch[i]->isAnswered = isAnswered;
    if (isAnswered) {
      batch[i]->reply = replies.replies[i];
    }
  }
  answered_.notify_all();
}

} // namespace acp
