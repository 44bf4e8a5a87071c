#include "acaciapulley/node/sync_loop.hpp"

#include <utility> // move

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // Jittered
#include "gen/ControlService.h"

namespace acp {

namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
// Keeps the polls of many nodes from falling together.
constexpr double kPollJitter = 0.2;

ReceivedChanges FromWire(const wire::StateDelta& delta)
{
  ReceivedChanges changes;
  changes.isSnapshot = delta.snapshot;
  changes.toVersion = delta.toVersion;
  for (const auto& document : delta.documents) {
    changes.documents.push_back({ .version = document.version, .body = document.body });
  }
  for (const auto& key : delta.issuedKeys) {
    changes.issuedKeys.push_back({ .id = key.id,
                                   .hash = key.hash,
                                   .account = key.account,
                                   .issuedAt = ToUnixMillis(key.issuedAtMs) });
  }
  changes.revokedKeyIds = delta.revokedKeyIds;
  return changes;
}

std::vector<PeerInfo> FromWire(const std::vector<wire::Member>& members)
{
  std::vector<PeerInfo> peers;
  for (const auto& member : members) {
    const auto address = Address::Parse(member.peerAddress);
    if (!address) {
      Log(LogLevel::Error, "member_rejected", { { "error", address.error().Describe() } });
      continue;
    }
    peers.push_back({ .nodeId = member.nodeId,
                      .epoch = member.epoch,
                      .service = member.serviceName,
                      .dataCentre = member.dataCentre,
                      .peerAddress = address.value(),
                      .slots = member.slots,
                      .draining = member.draining });
  }
  return peers;
}

} // namespace

SyncLoop::SyncLoop(SyncLoopOptions options)
  : options_(std::move(options))
  , channel_(options_.control)
  , thread_([this] { Run(); })
{
}

SyncLoop::~SyncLoop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeUp_.notify_all();
  thread_.join();
}

void SyncLoop::Wake()
{
  {
    const std::lock_guard lock(mutex_);
    woken_ = true;
  }
  wakeUp_.notify_all();
}

void SyncLoop::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    woken_ = false;
    lock.unlock();
    PollOnce();
    const bool isFresh = options_.view->IsFresh(options_.clock->Now(), kPollInterval);
    lock.lock();
    const Duration pause = Jittered(isFresh ? kPollInterval : kRetryInterval, kPollJitter);
    wakeUp_.wait_for(lock, pause, [this] { return woken_ || stopping_; });
  }
}

void SyncLoop::PollOnce()
{
  wire::SyncRequest request;
  request.nodeId = options_.nodeId;
  request.epoch = options_.epoch;
  request.stateVersion = options_.view->Version();
  request.membersVersion = options_.view->MembersVersion();
  if (const auto announced = options_.upstream->Current()) {
    wire::Member member;
    member.nodeId = options_.nodeId;
    member.epoch = options_.epoch;
    member.serviceName = announced->service;
    member.dataCentre = options_.dataCentre;
    member.peerAddress = options_.peerAddress.ToString();
    member.slots = announced->slots;
    member.maxConnections = announced->maxConnections;
    member.coldStartMs = announced->coldStartMs;
    member.draining = announced->draining;
    request.__set_member(member);
  }
  wire::SyncReply reply;
  TimePoint askedAt;
  const auto done = channel_.Call([&](wire::ControlServiceIf& control) {
    askedAt = options_.clock->Now();
    control.Sync(reply, request);
  });
  if (!done) {
    Log(LogLevel::Warning, "poll_failed", { { "error", done.error().Describe() } });
    return;
  }
  options_.view->Apply(FromWire(reply.delta), askedAt - std::chrono::milliseconds(reply.ageMs));
  if (reply.membersIncluded) {
    options_.view->ApplyMembers(reply.membersVersion, FromWire(reply.members));
  }
}

} // namespace acp
