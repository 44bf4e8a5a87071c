#include "acaciapulley/control/token_relay.hpp"

#include <utility> // exchange, move

#include "gen/ControlService.h"

namespace acp {

/// A request of one node; guarded by the mutex of the relay.
struct TokenRelay::PendingRequest
{
  wire::TokenRequest request;
  wire::TokenReply reply;
  bool isDone = false;
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
  queueChanged_.notify_all();
  replyReady_.notify_all();
  thread_.join();
}

ControlResult<void> TokenRelay::Acquire(wire::TokenReply& reply, const wire::TokenRequest& request)
{
  const auto pending = std::make_shared<PendingRequest>();
  pending->request = request;
  std::unique_lock lock(mutex_);
  queue_.push_back(pending);
  queueChanged_.notify_one();
  replyReady_.wait_for(
    lock, options_.maxWait, [this, &pending] { return pending->isDone || stopping_; });
  if (!pending->isAnswered) {
    std::erase(queue_, pending);
    return Fail(ControlErrorCode::Unavailable, "no reply from the leader in time");
  }
  reply = pending->reply;
  return boost::outcome_v2::success();
}

void TokenRelay::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    queueChanged_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    const auto batch = std::exchange(queue_, {});
    if (!batch.empty() && !stopping_) {
      lock.unlock();
      ForwardBatch(batch);
      lock.lock();
      queueChanged_.wait_for(lock, options_.batchInterval, [this] { return stopping_; });
    }
  }
}

void TokenRelay::ForwardBatch(const std::vector<PendingRequestPtr>& batch)
{
  wire::RelayedTokenRequest relayed;
  relayed.requests.reserve(batch.size());
  for (const auto& pending : batch) {
    relayed.requests.push_back(pending->request);
  }
  wire::RelayedTokenReply replies;
  const auto done = options_.callLeader(
    [&](wire::ControlServiceIf& leader) { leader.RelayTokens(replies, relayed); });
  const bool isAnswered = done && replies.replies.size() == batch.size();
  const std::lock_guard lock(mutex_);
  for (std::size_t i = 0; i < batch.size(); ++i) {
    batch[i]->isDone = true;
    batch[i]->isAnswered = isAnswered;
    if (isAnswered) {
      batch[i]->reply = replies.replies[i];
    }
  }
  replyReady_.notify_all();
}

} // namespace acp
