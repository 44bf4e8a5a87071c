#include "acaciapulley/node/sync_loop.hpp"

#include <algorithm>  // clamp, min, sort
#include <functional> // hash
#include <utility>    // move

#include "acaciapulley/core/log.hpp"    // Log
#include "acaciapulley/core/random.hpp" // Jittered
#include "gen/ControlService.h"

namespace acp {

namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);
// With long polls, control holds the reply while nothing changes, so the next poll follows soon.
constexpr Duration kLongPollPause = std::chrono::milliseconds(20);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
// Keeps the polls of many nodes from synchronising.
constexpr double kPollJitter = 0.2;
// Bounds for what an older control process may have accepted.
constexpr int kMaxMemberSlots = 100'000;
constexpr std::int64_t kMaxMemberColdStartMs = 3'600'000;
constexpr Duration kPollRelaySelectionInterval = std::chrono::seconds(2);

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

double WarmupRateOf(const FleetDocumentPtr& fleet, const std::string& service)
{
  const FleetService* found = fleet ? fleet->FindService(service) : nullptr;
  return found != nullptr ? found->warmupRate : 0;
}

std::vector<RoutedMember> FromWire(const std::vector<wire::Member>& members,
                                   const FleetDocumentPtr& fleet)
{
  std::vector<RoutedMember> routed;
  for (const auto& member : members) {
    const auto address = Address::Parse(member.peerAddress);
    if (!address || address.value().port == 0) {
      Log(LogLevel::Error,
          "member_rejected",
          { { "error", address ? "its port is 0" : address.error().Describe() } });
      continue;
    }
    routed.push_back({ .nodeId = member.nodeId,
                       .epoch = member.epoch,
                       .service = member.serviceName,
                       .dataCentre = member.dataCentre,
                       .peerAddress = member.peerAddress,
                       .slots = std::clamp(member.slots, 0, kMaxMemberSlots),
                       .coldStart = std::chrono::milliseconds(
                         std::clamp<std::int64_t>(member.coldStartMs, 0, kMaxMemberColdStartMs)),
                       .isDraining = member.draining,
                       .warmupRate = WarmupRateOf(fleet, member.serviceName) });
  }
  return routed;
}

std::vector<std::string> ToWire(const NodeReport& report)
{
  std::vector<std::string> rows;
  rows.reserve(report.rows.size());
  for (const auto& row : report.rows) {
    rows.push_back(SerialiseRow({ .start = report.from,
                                  .spanMillis = CountMillis(report.to) - CountMillis(report.from),
                                  .key = row.key,
                                  .counts = row.counts }));
  }
  return rows;
}

wire::Member ToWire(const SyncLoopOptions& options, const Announcement& announced)
{
  wire::Member member;
  member.nodeId = options.nodeId;
  member.epoch = options.epoch;
  member.serviceName = announced.service;
  member.dataCentre = options.dataCentre;
  member.peerAddress = options.peerAddress.ToString();
  member.slots = announced.slots;
  member.maxConnections = announced.maxConnections;
  member.coldStartMs = announced.coldStartMs;
  member.draining = announced.draining;
  return member;
}

} // namespace

SyncLoop::SyncLoop(SyncLoopOptions options)
  : options_(std::move(options))
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
  Duration backoff = kInitialBackoff;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    woken_ = false;
    lock.unlock();
    const Duration ageBefore = options_.stateCache->Age(options_.clock->Now());
    const bool succeeded = PollOnce();
    RecordPollResult(succeeded, ageBefore);
    const Duration interval = options_.maxHold > Duration::zero() ? kLongPollPause : kPollInterval;
    const Duration pause = succeeded ? interval : backoff;
    backoff = succeeded ? kInitialBackoff : std::min(backoff * 2, kPollInterval);
    lock.lock();
    // Announcements arrive every second; they must not shorten the pause while polls fail.
    wakeUp_.wait_for(lock, Jittered(pause, kPollJitter), [this, succeeded] {
      return (woken_ && succeeded) || stopping_;
    });
  }
}

/// Logs the end of an outage, and how old the state had become by then.
void SyncLoop::RecordPollResult(bool succeeded, Duration ageBefore)
{
  if (!succeeded) {
    ++failedPolls_;
    return;
  }
  const bool hadState = ageBefore != Duration::max();
  if (failedPolls_ > 0 && hadState) {
    Log(LogLevel::Info,
        "polls_resumed",
        { { "control", options_.syncChannel->Preferred().ToString() },
          { "failed_polls", std::to_string(failedPolls_) },
          { "state_age_ms",
            std::to_string(std::chrono::round<std::chrono::milliseconds>(ageBefore).count()) } });
  }
  failedPolls_ = 0;
}

void SyncLoop::AddControlReplicas(const wire::SyncReply& reply)
{
  std::vector<Address> addresses;
  for (const auto& text : reply.controlAddresses) {
    if (const auto address = Address::Parse(text)) {
      addresses.push_back(address.value());
    }
  }
  options_.syncChannel->AddReplicas(addresses);
  if (options_.claimChannel != nullptr) {
    options_.claimChannel->AddReplicas(addresses);
  }
  const auto named = Address::Parse(reply.leaderRpcAddress);
  // A control process that does not name the leader is the leader.
  const Address leader = named ? named.value() : options_.syncChannel->Preferred();
  SelectTokenRelay(addresses, leader);
  if (reply.relaysPolls) {
    SelectPollRelay(std::move(addresses), leader);
  }
}

void SyncLoop::SelectTokenRelay(const std::vector<Address>& replicas, const Address& leader)
{
  if (options_.tokenChannel == nullptr || replicas == relayCandidates_) {
    return;
  }
  relayCandidates_ = replicas;
  options_.tokenChannel->AddReplicas(replicas);
  std::vector<Address> relays = replicas;
  std::erase(relays, leader);
  if (!relays.empty()) {
    options_.tokenChannel->Prefer(relays[NodeHash() % relays.size()]);
  }
}

/// Moves the polls from the leader to a relay. After a failure the channel may have returned to the
/// leader; the next relay in order is tried then, because the previous one may be down.
void SyncLoop::SelectPollRelay(std::vector<Address> replicas, const Address& leader)
{
  const TimePoint now = options_.clock->Now();
  const bool isDue =
    pollRelaySelections_ == 0 || now - pollRelaySelectedAt_ >= kPollRelaySelectionInterval;
  std::erase(replicas, leader);
  if (replicas.empty() || options_.syncChannel->Preferred() != leader || !isDue) {
    return;
  }
  // Replicas report each other in different orders.
  std::ranges::sort(replicas, {}, &Address::ToString);
  options_.syncChannel->Prefer(replicas[(NodeHash() + pollRelaySelections_) % replicas.size()]);
  ++pollRelaySelections_;
  pollRelaySelectedAt_ = now;
}

std::size_t SyncLoop::NodeHash() const
{
  return std::hash<std::string>()(options_.nodeId);
}

/// Reports the evacuation before the state cache becomes fresh, so that a node that starts during
/// an evacuation serves no request without it.
void SyncLoop::ReportEvacuation(const ReceivedChanges& changes)
{
  const bool isOutdated = changes.toVersion < options_.stateCache->Version();
  if (!options_.onEvacuationChanged || isOutdated ||
      reportedEvacuation_ == changes.evacuatedDataCentres) {
    return;
  }
  options_.onEvacuationChanged(changes.evacuatedDataCentres);
  reportedEvacuation_ = changes.evacuatedDataCentres;
}

bool SyncLoop::PollOnce()
{
  wire::SyncRequest request;
  request.nodeId = options_.nodeId;
  request.epoch = options_.epoch;
  request.stateVersion = options_.stateCache->Version();
  request.membersVersion = membersVersion_;
  request.fleetVersion = options_.stateCache->FleetVersion();
  request.holdMs = static_cast<std::int32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(options_.maxHold).count());
  const NodeReport report = options_.record->CurrentReport(options_.clock->WallNow());
  request.reportNumber = report.number;
  request.report = ToWire(report);
  if (const auto announced = options_.upstream->Current()) {
    request.__set_member(ToWire(options_, *announced));
  }
  wire::SyncReply reply;
  TimePoint sentAt;
  const auto done = options_.syncChannel->Call([&](wire::ControlServiceIf& control) {
    sentAt = options_.clock->Now();
    control.Sync(reply, request);
  });
  if (!done) {
    Log(LogLevel::Warning, "poll_failed", { { "error", done.error().Describe() } });
    return false;
  }
  options_.record->AcknowledgeReport(reply.acceptedReportNumber);
  ReceivedChanges changes = FromWire(reply.delta);
  if (reply.__isset.fleet) {
    changes.fleet = { .version = reply.fleet.version, .body = reply.fleet.document };
  }
  changes.fleetSecret = reply.fleetSecret;
  changes.evacuatedDataCentres = { reply.evacuatedDataCentres.begin(),
                                   reply.evacuatedDataCentres.end() };
  ReportEvacuation(changes);
  // Control confirms a held reply after the hold, which began after the poll had been sent.
  options_.stateCache->Apply(changes,
                             sentAt + std::chrono::milliseconds(reply.heldMs - reply.ageMs));
  AddControlReplicas(reply);
  if (reply.membersIncluded) {
    membersVersion_ = reply.membersVersion;
    members_ = FromWire(reply.members, options_.stateCache->Fleet());
    options_.members->Apply(0, membersVersion_, members_, options_.clock->Now());
    Log(LogLevel::Info,
        "members_in_force",
        { { "version", std::to_string(membersVersion_) },
          { "members", std::to_string(reply.members.size()) } });
  } else if (reply.__isset.fleet) {
    UpdateWarmupRates();
  }
  return true;
}

/// Applies the rates of a new fleet document to the current list of members.
void SyncLoop::UpdateWarmupRates()
{
  const FleetDocumentPtr fleet = options_.stateCache->Fleet();
  std::vector<RoutedMember> updated = members_;
  for (RoutedMember& member : updated) {
    member.warmupRate = WarmupRateOf(fleet, member.service);
  }
  if (updated != members_) {
    members_ = std::move(updated);
    options_.members->Apply(0, membersVersion_, members_, options_.clock->Now());
  }
}

} // namespace acp
