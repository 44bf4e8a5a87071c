#include "limit_simulation.hpp"

#include <algorithm> // max, min, shuffle
#include <cmath>     // floor
#include <optional>  // optional
#include <string>    // to_string
#include <utility>   // move

namespace acp::test {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kStart = std::chrono::seconds(1000);
constexpr Duration kHeartbeat = std::chrono::milliseconds(50);
constexpr Duration kLongestDelay = std::chrono::seconds(3);
constexpr Duration kLongestFreeze = std::chrono::seconds(5);

// Size of ask and answer in the Thrift binary protocol with the message envelope, plus 66 bytes of
// packet headers for each.
constexpr double kBytesPerExchange = 190 + 95 + 2 * 66;

constexpr double kRounding = 1e-6;

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

Duration FromSeconds(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

LimitSimulation::LimitSimulation(const LimitSimulationOptions& options)
  : options_(options)
  , random_(options.seed)
{
  admittedBucket_.level = options_.limit.burst;
  referenceBucket_.level = options_.limit.burst;
  result_.minLevel = options_.limit.burst;
  AddLeader(1);
  nodes_.resize(static_cast<std::size_t>(options_.nodes));
  for (int i = 0; i < options_.nodes; ++i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    node.index = i;
    node.clockRate = RandomClockRate();
    StartNode(node);
  }
  MoveDemand();
}

LimitSimulation::~LimitSimulation() = default;

LimitSimulationResult LimitSimulation::Run()
{
  const auto repeat = [this](Duration every, void (LimitSimulation::*action)()) {
    for (Duration at = every; every > Duration::zero() && at < options_.duration; at += every) {
      Schedule(at, [this, action] { (this->*action)(); });
    }
  };
  repeat(options_.demandMoveInterval, &LimitSimulation::MoveDemand);
  repeat(options_.failoverInterval, &LimitSimulation::FailOver);
  repeat(options_.freezeInterval, &LimitSimulation::Freeze);
  repeat(options_.restartInterval, &LimitSimulation::Restart);
  for (const Node& node : nodes_) {
    const int index = node.index;
    Schedule(RandomDuration(Duration::zero(), kTick), [this, index] { Tick(index); });
  }
  ScheduleArrival();
  while (!events_.empty() && events_.top().at < options_.duration) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  const double nodeSeconds =
    static_cast<double>(active_.size()) * Seconds(options_.duration - options_.warmUp);
  result_.asksPerNodeSecond = static_cast<double>(messages_) / nodeSeconds;
  result_.bytesPerNodeSecond = result_.asksPerNodeSecond * kBytesPerExchange;
  return result_;
}

void LimitSimulation::Schedule(Duration when, std::function<void()> action)
{
  events_.push({ .at = when, .order = nextOrder_++, .action = std::move(action) });
}

void LimitSimulation::RunOnNode(int node, std::int64_t epoch, const std::function<void()>& action)
{
  const Node& target = nodes_[static_cast<std::size_t>(node)];
  if (target.epoch != epoch) {
    return;
  }
  if (now_ < target.frozenUntil) {
    Schedule(target.frozenUntil, [this, node, epoch, action] { RunOnNode(node, epoch, action); });
    return;
  }
  action();
}

TimePoint LimitSimulation::LocalTime(double clockRate, Duration when) const
{
  return TimePoint(kStart + Scaled(when, clockRate));
}

double LimitSimulation::RandomUniform(double low, double high)
{
  return std::uniform_real_distribution<double>(low, high)(random_);
}

Duration LimitSimulation::RandomDuration(Duration low, Duration high)
{
  return low + FromSeconds(RandomUniform(0, Seconds(high - low)));
}

double LimitSimulation::RandomClockRate()
{
  // Only the extremes are used, as they are the worst case.
  const double sign = RandomUniform(0, 1) < 0.5 ? -1 : 1;
  return 1 + sign * options_.clockDrift;
}

void LimitSimulation::StartNode(Node& node)
{
  TokenLeaseTableOptions table = options_.table;
  table.nodeId = "node-" + std::to_string(node.index);
  table.epoch = node.epoch;
  node.table = std::make_unique<TokenLeaseTable>(table);
  pendingRequests_ -= static_cast<std::int64_t>(node.waiters.size());
  node.waiters.clear();
}

void LimitSimulation::AddLeader(std::int64_t term)
{
  Leader leader;
  leader.clockRate = RandomClockRate();
  leader.authority = std::make_unique<RateAuthority>(options_.authority);
  const TimePoint local = LocalTime(leader.clockRate, now_);
  leader.electedAt = now_;
  std::optional<PreviousTerm> previous;
  if (!leaders_.empty()) {
    const Duration known = leaders_.back().electedAt;
    previous = { .term = term - 1, .knownSince = LocalTime(leader.clockRate, known) };
  }
  leader.authority->BeginTerm(term, local, previous);
  leader.authority->SetLimit(key_, options_.limit, local);
  leaders_.push_back(std::move(leader));
}

void LimitSimulation::ScheduleArrival()
{
  const double perSecond = options_.limit.rate * options_.demandFraction;
  const double group = options_.isBursty ? std::max(1.0, std::floor(options_.limit.burst / 2)) : 1;
  const double gap = std::exponential_distribution<double>(perSecond / group)(random_);
  Schedule(now_ + FromSeconds(gap), [this, group] {
    const bool hasQuiet = options_.quietPeriod > Duration::zero();
    if (hasQuiet && now_ % options_.quietPeriod < options_.quietPeriod / 2) {
      ScheduleArrival();
      return;
    }
    const auto pick = std::uniform_int_distribution<std::size_t>(0, active_.size() - 1);
    auto choose = pick;
    for (int i = 0; i < static_cast<int>(group); ++i) {
      Arrive(active_[choose(random_)]);
    }
    ScheduleArrival();
  });
}

void LimitSimulation::Arrive(int index)
{
  Node& node = nodes_[static_cast<std::size_t>(index)];
  if (now_ < node.frozenUntil) {
    return;
  }
  const bool isCounted = now_ >= options_.warmUp;
  result_.offered += isCounted ? 1 : 0;
  if (Refill(referenceBucket_) >= 1) {
    referenceBucket_.level -= 1;
    result_.referenceAdmitted += isCounted ? 1 : 0;
  }
  const bool isWithinRate =
    Refill(admittedBucket_) >= 1 - kRounding + static_cast<double>(pendingRequests_);
  const TimePoint local = LocalTime(node.clockRate, now_);
  const ReserveResult take = node.table->TryReserve(key_, local);
  ++pendingRequests_;
  if (take.status == ReserveStatus::Reserved) {
    Admit(node, take.reservation, false, isWithinRate);
    return;
  }
  if (take.status == ReserveStatus::Refused) {
    Refuse(isWithinRate);
    return;
  }
  node.table->AddWaiter(key_);
  node.waiters.push_back({ .until = now_ + options_.table.maxWait, .isWithinRate = isWithinRate });
  if (const auto ask = node.table->DueAsk(key_, local)) {
    Send(index, *ask);
  }
}

void LimitSimulation::Admit(Node& node,
                            const TokenReservation& reservation,
                            bool hasWaited,
                            bool isWithinRate)
{
  const int index = node.index;
  const auto dispatch = [this, index, reservation, hasWaited, isWithinRate] {
    Node& target = nodes_[static_cast<std::size_t>(index)];
    if (!target.table->Commit(key_, reservation, LocalTime(target.clockRate, now_))) {
      Refuse(isWithinRate);
      return;
    }
    --pendingRequests_;
    Refill(admittedBucket_);
    admittedBucket_.level -= 1;
    result_.minLevel = std::min(result_.minLevel, admittedBucket_.level);
    if (now_ >= options_.warmUp) {
      ++result_.admitted;
      result_.waited += hasWaited ? 1 : 0;
    }
  };
  const std::int64_t epoch = node.epoch;
  if (options_.maxDispatchDelay == Duration::zero()) {
    RunOnNode(index, epoch, dispatch);
    return;
  }
  Schedule(now_ + RandomDuration(Duration::zero(), options_.maxDispatchDelay),
           [this, index, epoch, dispatch] { RunOnNode(index, epoch, dispatch); });
}

void LimitSimulation::Refuse(bool isWithinRate)
{
  --pendingRequests_;
  if (now_ < options_.warmUp) {
    return;
  }
  ++result_.refused;
  result_.falselyRefused += isWithinRate ? 1 : 0;
}

void LimitSimulation::ServeWaiters(int index)
{
  Node& node = nodes_[static_cast<std::size_t>(index)];
  const TimePoint local = LocalTime(node.clockRate, now_);
  while (!node.waiters.empty()) {
    const ReserveResult take = node.table->TryReserve(key_, local);
    const bool isOver = node.waiters.front().until <= now_;
    if (take.status == ReserveStatus::Wait && !isOver) {
      break;
    }
    const bool isWithinRate = node.waiters.front().isWithinRate;
    node.waiters.pop_front();
    node.table->RemoveWaiter(key_);
    if (take.status == ReserveStatus::Reserved) {
      Admit(node, take.reservation, true, isWithinRate);
    } else {
      Refuse(isWithinRate);
    }
  }
  if (const auto ask = node.table->DueAsk(key_, local)) {
    Send(index, *ask);
  }
}

void LimitSimulation::Tick(int index)
{
  Node& node = nodes_[static_cast<std::size_t>(index)];
  if (now_ >= node.frozenUntil) {
    ServeWaiters(index);
    for (const TokenAsk& ask : node.table->DueAsks(LocalTime(node.clockRate, now_))) {
      Send(index, ask);
    }
  }
  Schedule(now_ + kTick, [this, index] { Tick(index); });
}

void LimitSimulation::Send(int index, const TokenAsk& ask)
{
  messages_ += now_ >= options_.warmUp ? 1 : 0;
  const int leader = nodes_[static_cast<std::size_t>(index)].leader;
  const auto deliver = [this, leader, index, ask] { Deliver(leader, index, ask); };
  Duration delay = options_.oneWayDelay;
  if (RandomUniform(0, 1) < options_.delayProbability) {
    delay = RandomDuration(delay, kLongestDelay);
  }
  if (RandomUniform(0, 1) >= options_.lossProbability) {
    Schedule(now_ + delay, deliver);
  }
  if (RandomUniform(0, 1) < options_.duplicateProbability) {
    Schedule(now_ + RandomDuration(delay, kLongestDelay), deliver);
  }
}

void LimitSimulation::Deliver(int leaderIndex, int index, const TokenAsk& ask)
{
  Leader& leader = leaders_[static_cast<std::size_t>(leaderIndex)];
  if (leader.isDead) {
    return;
  }
  const Duration confirmed =
    leader.isIsolated ? leader.isolatedAt : now_ - RandomDuration(Duration::zero(), kHeartbeat);
  const auto answer = leader.authority->Acquire(
    ask, LocalTime(leader.clockRate, confirmed), LocalTime(leader.clockRate, now_));
  if (!answer || RandomUniform(0, 1) < options_.lossProbability) {
    return;
  }
  Duration delay = options_.oneWayDelay;
  if (RandomUniform(0, 1) < options_.delayProbability) {
    delay = RandomDuration(delay, kLongestDelay);
  }
  const TokenAnswer content = answer.value();
  const std::int64_t epoch = ask.epoch;
  Schedule(now_ + delay, [this, index, epoch, content] {
    RunOnNode(index, epoch, [this, index, content] {
      Node& node = nodes_[static_cast<std::size_t>(index)];
      node.table->OnAnswer(key_, content, LocalTime(node.clockRate, now_));
      ServeWaiters(index);
      if (!node.waiters.empty() && content.retryAfter > Duration::zero()) {
        const std::int64_t sameEpoch = node.epoch;
        Schedule(now_ + content.retryAfter, [this, index, sameEpoch] {
          RunOnNode(index, sameEpoch, [this, index] { ServeWaiters(index); });
        });
      }
    });
  });
}

void LimitSimulation::FailOver()
{
  if (RandomUniform(0, 1) < options_.repeatedFailoverProbability) {
    Schedule(now_ + std::chrono::milliseconds(1000), [this] { ChangeLeader(); });
  }
  ChangeLeader();
}

void LimitSimulation::ChangeLeader()
{
  const int old = static_cast<int>(leaders_.size()) - 1;
  const bool isCrash = RandomUniform(0, 1) < 0.5;
  Leader& leader = leaders_[static_cast<std::size_t>(old)];
  leader.isDead = isCrash;
  leader.isIsolated = true;
  // The last heartbeat that a quorum answered was sent at most one interval ago.
  leader.isolatedAt = now_ - RandomDuration(Duration::zero(), kHeartbeat);
  for (Node& node : nodes_) {
    node.followsNewLeader = isCrash || RandomUniform(0, 1) < 0.5;
  }
  Schedule(now_ + RandomDuration(std::chrono::milliseconds(200), std::chrono::milliseconds(800)),
           [this] {
             AddLeader(static_cast<std::int64_t>(leaders_.size()) + 1);
             for (Node& node : nodes_) {
               if (node.followsNewLeader) {
                 node.leader = static_cast<int>(leaders_.size()) - 1;
               }
             }
             Schedule(now_ + options_.isolationAfterElection, [this] {
               for (Node& node : nodes_) {
                 node.leader = static_cast<int>(leaders_.size()) - 1;
               }
             });
           });
}

void LimitSimulation::Freeze()
{
  Node& node = nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  node.frozenUntil = now_ + RandomDuration(Duration::zero(), kLongestFreeze);
}

void LimitSimulation::Restart()
{
  Node& node = nodes_[std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_)];
  ++node.epoch;
  StartNode(node);
}

void LimitSimulation::MoveDemand()
{
  std::vector<int> all;
  for (const Node& node : nodes_) {
    all.push_back(node.index);
  }
  std::shuffle(all.begin(), all.end(), random_);
  const int wanted = options_.activeNodes > 0 ? options_.activeNodes : options_.nodes;
  all.resize(static_cast<std::size_t>(std::min(wanted, options_.nodes)));
  active_ = all;
}

double LimitSimulation::Refill(TrueBucket& bucket) const
{
  bucket.level =
    std::min(options_.limit.burst, bucket.level + options_.limit.rate * Seconds(now_ - bucket.at));
  bucket.at = now_;
  return bucket.level;
}

} // namespace acp::test
