#include "acaciapulley/control/poll_relay.hpp"

#include <algorithm> // max
#include <utility>   // move

#include "acaciapulley/control/detail/control_wire.hpp" // FromWire, ToWire
#include "acaciapulley/core/process_epoch.hpp"          // IsFromEarlierProcess
#include "gen/ControlService.h"

namespace acp {

namespace {

// Confirmations of entries that this replica has not applied yet.
constexpr std::size_t kMaxPendingConfirmations = 32;

wire::RelayedPoll ToWire(const RelayedPolls::Entry& entry, TimePoint now)
{
  wire::RelayedPoll relayed;
  relayed.nodeId = entry.poll.nodeId;
  relayed.epoch = entry.poll.epoch;
  relayed.stateVersion = entry.poll.stateVersion;
  relayed.ageMs = std::chrono::ceil<std::chrono::milliseconds>(now - entry.polledAt).count();
  if (entry.poll.member) {
    relayed.__set_member(detail::ToWire(*entry.poll.member));
  }
  return relayed;
}

} // namespace

bool RelayedPolls::Record(const NodePoll& poll, TimePoint now)
{
  Entry& entry = byNode_[poll.nodeId];
  if (IsFromEarlierProcess(poll.epoch, entry.poll.epoch, now - entry.polledAt)) {
    return false;
  }
  const bool isChanged = entry.poll.member != poll.member;
  entry = { .poll = poll, .polledAt = now, .number = ++lastNumber_ };
  return isChanged;
}

std::vector<RelayedPolls::Entry> RelayedPolls::Unsent(TimePoint now)
{
  std::erase_if(
    byNode_, [now](const auto& item) { return now - item.second.polledAt > kNodeSilenceTimeout; });
  std::vector<Entry> unsent;
  for (const auto& [nodeId, entry] : byNode_) {
    if (entry.number > sentNumber_) {
      unsent.push_back(entry);
    }
  }
  return unsent;
}

void RelayedPolls::MarkSent(const std::vector<Entry>& sent)
{
  for (const auto& entry : sent) {
    sentNumber_ = std::max(sentNumber_, entry.number);
  }
}

bool RelayedState::Apply(const wire::PollRelayReply& reply, TimePoint sentAt)
{
  const bool isNewLeader = reply.term != term_;
  term_ = reply.term;
  isIncomplete_ = reply.membersIncomplete;
  // A new leader counts few nodes until the relays have sent their polls.
  relaysPolls_ = reply.relaysPolls || (relaysPolls_ && isIncomplete_);
  pending_.push_back({ .confirmedAt = sentAt - std::chrono::milliseconds(reply.ageMs),
                       .appliedIndex = static_cast<std::uint64_t>(reply.appliedIndex) });
  if (pending_.size() > kMaxPendingConfirmations) {
    pending_.pop_front();
  }
  if (reply.membersIncluded) {
    received_.version = reply.membersVersion;
    received_.members.clear();
    for (const auto& member : reply.members) {
      received_.members.push_back(detail::FromWire(member));
    }
  }
  return isNewLeader;
}

bool RelayedState::Publish(TimePoint now)
{
  const bool isDue = now - publishedAt_ >= MemberPublishInterval(received_.members.size());
  if (received_.version == published_.version || !isDue) {
    return false;
  }
  published_ = received_;
  publishedAt_ = now;
  return true;
}

std::optional<TimePoint> RelayedState::ConfirmedAt(std::uint64_t appliedIndex)
{
  while (!pending_.empty() && pending_.front().appliedIndex <= appliedIndex) {
    const TimePoint confirmedAt = pending_.front().confirmedAt;
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, confirmedAt) : confirmedAt;
    pending_.pop_front();
  }
  return confirmedAt_;
}

const std::vector<MemberInfo>* RelayedState::MembersFor(std::int64_t nodeVersion) const
{
  const bool isFromEarlierTerm = nodeVersion != 0 && TermOfMembersVersion(nodeVersion) !=
                                                       TermOfMembersVersion(published_.version);
  // A list of another relay may be newer than the one here.
  const bool isNewer = published_.version > nodeVersion;
  return isNewer && !(isFromEarlierTerm && isIncomplete_) ? &published_.members : nullptr;
}

PollRelay::PollRelay(PollRelayOptions options)
  : options_(std::move(options))
  , thread_([this] { Run(); })
{
}

PollRelay::~PollRelay()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeUp_.notify_all();
  thread_.join();
}

void PollRelay::Record(const NodePoll& poll)
{
  const std::lock_guard lock(mutex_);
  polls_.Record(poll, options_.clock->Now());
}

std::optional<TimePoint> PollRelay::ConfirmedAt()
{
  const std::uint64_t appliedIndex = options_.appliedIndex();
  const std::lock_guard lock(mutex_);
  const auto confirmedAt = state_.ConfirmedAt(appliedIndex);
  const bool isCurrent = confirmedAt && options_.clock->Now() - *confirmedAt < kMaxRelayedAge;
  return isCurrent && state_.RelaysPolls() ? confirmedAt : std::nullopt;
}

void PollRelay::WithState(const std::function<void(const RelayedState& state)>& use)
{
  const std::lock_guard lock(mutex_);
  use(state_);
}

bool PollRelay::RelaysPolls()
{
  const std::lock_guard lock(mutex_);
  return state_.RelaysPolls();
}

void PollRelay::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    if (options_.isFollower()) {
      Relay();
    } else {
      options_.publishAsLeader();
    }
    const bool isLargeFleet = options_.isLargeFleet && options_.isLargeFleet();
    lock.lock();
    wakeUp_.wait_for(lock,
                     isLargeFleet || state_.RelaysPolls() ? options_.interval
                                                          : options_.smallFleetInterval,
                     [this] { return stopping_; });
  }
}

void PollRelay::Relay()
{
  wire::PollRelayRequest request;
  request.relayRpcAddress = options_.rpcAddress;
  std::vector<RelayedPolls::Entry> sent;
  const TimePoint sentAt = options_.clock->Now();
  {
    const std::lock_guard lock(mutex_);
    sent = polls_.Unsent(sentAt);
    request.membersVersion = state_.ReceivedVersion();
  }
  for (const auto& entry : sent) {
    request.polls.push_back(ToWire(entry, sentAt));
  }
  wire::PollRelayReply reply;
  const auto done =
    options_.callLeader([&](wire::ControlServiceIf& leader) { leader.RelayPolls(reply, request); });
  if (!done) {
    return;
  }
  bool isPublished = false;
  {
    const std::lock_guard lock(mutex_);
    if (state_.Apply(reply, sentAt)) {
      polls_.ResendAll();
    } else {
      polls_.MarkSent(sent);
    }
    isPublished = state_.Publish(options_.clock->Now());
  }
  if (isPublished) {
    options_.onChanged();
  }
}

} // namespace acp
