#include "graph_load.hpp"

#include <algorithm> // max, min
#include <cmath>     // log, pow
#include <utility>   // move

#include <fmt/format.h> // format

namespace bench {

namespace {

using namespace std::chrono_literals;

constexpr acp::Duration kCallerLatency = 3ms; // one way
constexpr acp::Duration kRetryAfter = 1s;
constexpr int kImmediateRetries = 3;
constexpr int kDelayedRetries = 1;
constexpr acp::Duration kRecoveryWindow = 500ms;
constexpr double kRecovered = 0.95;

double Seconds(acp::Duration span)
{
  return std::chrono::duration<double>(span).count();
}

std::size_t Index(acp::Duration span, acp::Duration unit)
{
  return static_cast<std::size_t>(span / unit);
}

double Share(double part, double whole)
{
  return whole > 0.0 ? part / whole : 1.0;
}

// Returns the seconds of work of the deepest service that one request of a class needs.
double DeepestWork(const Graph& graph, std::size_t classIndex)
{
  const GraphClass& each = graph.classes[classIndex];
  const bool isDeepest = each.service + 1 == graph.services.size();
  const double own = isDeepest ? Seconds(each.work) : 0.0;
  return own +
         (each.nested ? each.nested->count * DeepestWork(graph, each.nested->classIndex) : 0.0);
}

// Indices of the services.
constexpr std::size_t kHistory = 0;
constexpr std::size_t kFiling = 1;
constexpr std::size_t kExport = 2;
constexpr std::size_t kAddresses = 3;
// Indices of the request classes.
constexpr std::size_t kFilingStatus = 4;
constexpr std::size_t kExportTemplate = 5;
constexpr std::size_t kGeocode = 6;

std::vector<GraphClass> RootClasses()
{
  return {
    { .name = "history-read",
      .service = kHistory,
      .priority = 3,
      .work = 130ms,
      .timeout = 1s,
      .targetLatency = 1500ms,
      .callerDeadline = 6s,
      .requestsPerSecond = 793,
      .value = 1,
      .nested = NestedCalls{ .classIndex = kFilingStatus, .isConcurrent = true } },
    { .name = "filing",
      .service = kFiling,
      .priority = 1,
      .idempotent = false,
      .work = 170ms,
      .timeout = 1200ms,
      .targetLatency = 1500ms,
      .callerDeadline = 6s,
      .requestsPerSecond = 354,
      .value = 3,
      .nested = NestedCalls{ .classIndex = kExportTemplate, .count = 2, .isConcurrent = true } },
    { .name = "export",
      .service = kExport,
      .priority = 3,
      .work = 110ms,
      .timeout = 2500ms,
      .targetLatency = 600ms,
      .callerDeadline = 2500ms,
      .requestsPerSecond = 123,
      .value = 1 },
    { .name = "client-list",
      .service = kAddresses,
      .priority = 3,
      .work = 540ms,
      .randomFraction = 0.8,
      .timeout = 3s,
      .targetLatency = 1500ms,
      .callerDeadline = 6s,
      .requestsPerSecond = 155,
      .value = 1 },
  };
}

std::vector<GraphClass> NestedClasses()
{
  return {
    { .name = "filing-status",
      .service = kFiling,
      .work = 15ms,
      .timeout = 3s,
      .nested = NestedCalls{ .classIndex = kExportTemplate } },
    { .name = "export-template",
      .service = kExport,
      .work = 15ms,
      .timeout = 2500ms,
      .nested = NestedCalls{ .classIndex = kGeocode, .count = 5 } },
    { .name = "geocode", .service = kAddresses, .work = 34ms, .timeout = 700ms },
  };
}

// Runs one scenario and collects its metrics.
class GraphRunner
{
public:
  GraphRunner(const GraphScenario& scenario, const GraphPolicy& policy)
    : scenario_(scenario)
    , start_(mesh_.events.Now())
  {
    mesh_.random.seed(scenario.seed);
    mesh_.policy = policy;
    mesh_.graph = scenario.graph;
    for (std::size_t service = 0; service < mesh_.graph.services.size(); ++service) {
      const GraphService& shape = mesh_.graph.services[service];
      auto& nodes = mesh_.services.emplace_back();
      for (int i = 0; i < shape.upstreams; ++i) {
        const double speed = shape.speeds[static_cast<std::size_t>(i) % shape.speeds.size()];
        nodes.push_back(std::make_unique<GraphNode>(mesh_, service, speed));
        mesh_.nodes.push_back(nodes.back().get());
        capacity_ += service + 1 == mesh_.graph.services.size() ? speed * shape.slots : 0.0;
      }
    }
    windows_.resize(Index(End() - start_, kRecoveryWindow) + 1,
                    std::vector<GraphCounts>(mesh_.graph.classes.size()));
  }

  GraphFigures Execute()
  {
    for (std::size_t i = 0; i < mesh_.graph.classes.size(); ++i) {
      if (mesh_.graph.classes[i].requestsPerSecond > 0.0) {
        ScheduleArrival(i);
      }
    }
    mesh_.events.After(scenario_.warmUp, [this] {
      atSurge_ = mesh_.deepestCounts;
      processorTimesAtSurge_ = ProcessorTimes();
    });
    mesh_.events.After(scenario_.warmUp + scenario_.surgeDuration, [this] {
      atSurgeEnd_ = mesh_.deepestCounts;
      processorTimesAtSurgeEnd_ = ProcessorTimes();
    });
    mesh_.events.RunUntil(End());
    return Evaluate();
  }

private:
  // One request of a caller with all its attempts.
  struct CallerRequest
  {
    std::size_t classIndex = 0;
    std::string account;
    std::size_t window = 0;
    acp::TimePoint deadline;
    int delayedRetriesLeft = kDelayedRetries;
    int immediateRetriesLeft = 0;
  };

  [[nodiscard]] acp::TimePoint SurgeStart() const { return start_ + scenario_.warmUp; }
  [[nodiscard]] acp::TimePoint SurgeEnd() const { return SurgeStart() + scenario_.surgeDuration; }
  [[nodiscard]] acp::TimePoint End() const { return SurgeEnd() + scenario_.recoveryPeriod; }

  [[nodiscard]] bool InSurge() const
  {
    const auto now = mesh_.events.Now();
    return now >= SurgeStart() && now < SurgeEnd();
  }

  [[nodiscard]] bool InAggressivePeriod() const
  {
    const auto now = mesh_.events.Now();
    return now >= SurgeStart() + scenario_.aggressiveFrom &&
           now < SurgeStart() + scenario_.aggressiveUntil;
  }

  // Uses the rate at the start of the interval, so a step in the rate takes effect one interval
  // late.
  void ScheduleArrival(std::size_t classIndex)
  {
    const double rate =
      mesh_.graph.classes[classIndex].requestsPerSecond * (InSurge() ? scenario_.surge : 1.0);
    const double gap = -std::log(1.0 - mesh_.Uniform()) / rate;
    mesh_.events.After(
      std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(gap)),
      [this, classIndex] {
        OnArrival(classIndex);
        ScheduleArrival(classIndex);
      });
  }

  std::string SampleAccount()
  {
    const auto& rates = mesh_.graph.accountRates;
    std::discrete_distribution<int> distribution(rates.begin(), rates.end());
    return fmt::format("account-{}", distribution(mesh_.random));
  }

  void OnArrival(std::size_t classIndex)
  {
    const auto now = mesh_.events.Now();
    auto callerRequest = std::make_shared<CallerRequest>();
    callerRequest->classIndex = classIndex;
    callerRequest->account = SampleAccount();
    callerRequest->window = Index(now - start_, kRecoveryWindow);
    callerRequest->deadline = now + mesh_.graph.classes[classIndex].callerDeadline;
    if (InAggressivePeriod() && mesh_.Uniform() < scenario_.aggressiveShare) {
      callerRequest->immediateRetriesLeft = kImmediateRetries;
    }
    CountsOf(*callerRequest).requested += 1.0;
    SendRequest(callerRequest);
  }

  GraphCounts& CountsOf(const CallerRequest& callerRequest)
  {
    return windows_[callerRequest.window][callerRequest.classIndex];
  }

  void SendRequest(const std::shared_ptr<CallerRequest>& callerRequest)
  {
    mesh_.events.After(kCallerLatency, [this, callerRequest] {
      const auto now = mesh_.events.Now();
      const GraphClass& requestClass = mesh_.graph.classes[callerRequest->classIndex];
      auto request = std::make_shared<GraphRequest>();
      request->id = mesh_.nextId++;
      request->classIndex = callerRequest->classIndex;
      request->account = callerRequest->account;
      request->priority = requestClass.priority;
      request->deadline = std::min(callerRequest->deadline, now + requestClass.timeout);
      request->deepestWork = std::make_shared<double>(0.0);
      request->respond = [this, callerRequest, work = request->deepestWork](
                           const GraphResponse& response) {
        mesh_.events.After(kCallerLatency, [this, callerRequest, work, outcome = response.outcome] {
          OnRequestEnd(callerRequest, outcome, *work);
        });
      };
      GraphNode* ingress = mesh_.nodes[mesh_.random() % mesh_.nodes.size()];
      ingress->ProcessMessage([ingress, request] { ingress->HandleRoot(request); });
    });
  }

  void OnRequestEnd(const std::shared_ptr<CallerRequest>& callerRequest,
                    GraphOutcome outcome,
                    double deepestWork)
  {
    const bool isInTime = mesh_.events.Now() <= callerRequest->deadline;
    if (outcome == GraphOutcome::Completed && isInTime) {
      CountsOf(*callerRequest).completed += 1.0;
      usedInSurge_ += InSurge() ? deepestWork : 0.0;
      return;
    }
    const bool mayRetry =
      outcome == GraphOutcome::Refused || mesh_.graph.classes[callerRequest->classIndex].idempotent;
    if (isInTime && mayRetry && callerRequest->immediateRetriesLeft > 0) {
      --callerRequest->immediateRetriesLeft;
      SendRequest(callerRequest);
      return;
    }
    const acp::Duration wait =
      outcome == GraphOutcome::Refused ? kRetryAfter : acp::Duration::zero();
    if (mayRetry && callerRequest->delayedRetriesLeft > 0 &&
        mesh_.events.Now() + wait < callerRequest->deadline) {
      --callerRequest->delayedRetriesLeft;
      mesh_.events.After(wait, [this, callerRequest] { SendRequest(callerRequest); });
      return;
    }
    (outcome == GraphOutcome::Refused ? CountsOf(*callerRequest).refused
                                      : CountsOf(*callerRequest).failed) += 1.0;
  }

  [[nodiscard]] std::vector<acp::Duration> ProcessorTimes() const
  {
    std::vector<acp::Duration> times;
    for (const GraphNode* node : mesh_.nodes) {
      times.push_back(node->ProcessorTime());
    }
    return times;
  }

  // Counts per class of the requests that arrived between @p from and @p to, counted from the start
  // of the run.
  [[nodiscard]] std::vector<GraphCounts> CountsIn(acp::Duration from, acp::Duration to) const
  {
    std::vector<GraphCounts> sums(mesh_.graph.classes.size());
    for (std::size_t i = Index(from, kRecoveryWindow); i < Index(to, kRecoveryWindow); ++i) {
      for (std::size_t each = 0; each < sums.size(); ++each) {
        sums[each] += windows_[i][each];
      }
    }
    return sums;
  }

  [[nodiscard]] double Served(acp::Duration from, acp::Duration to) const
  {
    GraphCounts sum;
    for (const GraphCounts& each : CountsIn(from, to)) {
      sum += each;
    }
    return Share(sum.completed, sum.requested);
  }

  [[nodiscard]] double RecoverySeconds() const
  {
    const acp::Duration surgeEnd = SurgeEnd() - start_;
    // Requests of the last windows may still be in progress.
    const acp::Duration last = End() - start_ - 3s;
    for (auto from = surgeEnd; from + 2 * kRecoveryWindow <= last; from += kRecoveryWindow) {
      if (Served(from, from + 2 * kRecoveryWindow) >= kRecovered) {
        return Seconds(from - surgeEnd);
      }
    }
    return -1.0;
  }

  GraphFigures Evaluate()
  {
    GraphFigures figures;
    const acp::Duration surgeStart = SurgeStart() - start_;
    const acp::Duration surgeEnd = SurgeEnd() - start_;
    const acp::Duration end = End() - start_;
    figures.inSurge = CountsIn(surgeStart, surgeEnd);
    for (acp::Duration from{}; from + 1s <= end; from += 1s) {
      figures.seconds.push_back(CountsIn(from, from + 1s));
    }
    figures.servedBefore = Served(2s, surgeStart);
    figures.servedInSurge = Served(surgeStart, surgeEnd);
    double servedValue = 0.0;
    double requestedValue = 0.0;
    double requestedWork = 0.0;
    for (std::size_t i = 0; i < figures.inSurge.size(); ++i) {
      servedValue += mesh_.graph.classes[i].value * figures.inSurge[i].completed;
      requestedValue += mesh_.graph.classes[i].value * figures.inSurge[i].requested;
      requestedWork += DeepestWork(mesh_.graph, i) * figures.inSurge[i].requested;
    }
    figures.servedValue = Share(servedValue, requestedValue);
    const double length = Seconds(scenario_.surgeDuration);
    const GraphService& deepest = mesh_.graph.services.back();
    figures.usefulWork = usedInSurge_ / std::min(capacity_ * length, requestedWork);
    figures.slotUtilisation =
      (atSurgeEnd_.occupied - atSurge_.occupied) / (deepest.upstreams * deepest.slots * length);
    figures.refusedCalls = Share(static_cast<double>(atSurgeEnd_.refused - atSurge_.refused),
                                 static_cast<double>(atSurgeEnd_.offered - atSurge_.offered));
    figures.wastedWork = 1.0 - Share(usedInSurge_, atSurgeEnd_.worked - atSurge_.worked);
    for (std::size_t i = 0; i < mesh_.nodes.size(); ++i) {
      const double used = Seconds(processorTimesAtSurgeEnd_[i] - processorTimesAtSurge_[i]);
      figures.maxProcessorUse = std::max(figures.maxProcessorUse, used / length);
    }
    figures.recoverySeconds = RecoverySeconds();
    figures.servedAfter = Served(end - 6s, end - 3s);
    return figures;
  }

  GraphMesh mesh_;
  GraphScenario scenario_;
  acp::TimePoint start_;
  std::vector<std::vector<GraphCounts>> windows_; // by time of arrival and by class
  double capacity_ = 0.0;    // seconds of work per second of the deepest service
  double usedInSurge_ = 0.0; // seconds of work
  GraphDeepestCounts atSurge_;
  GraphDeepestCounts atSurgeEnd_;
  std::vector<acp::Duration> processorTimesAtSurge_; // by node
  std::vector<acp::Duration> processorTimesAtSurgeEnd_;
};

} // namespace

GraphCounts& GraphCounts::operator+=(const GraphCounts& other)
{
  requested += other.requested;
  completed += other.completed;
  refused += other.refused;
  failed += other.failed;
  return *this;
}

GraphFigures Run(const GraphScenario& scenario, const GraphPolicy& policy)
{
  return GraphRunner(scenario, policy).Execute();
}

Graph DeepGraph()
{
  constexpr int kAccounts = 74;
  constexpr double kAccountSkew = 0.8;
  const std::vector<double> speeds = { 0.5, 1.0, 1.0, 1.5 };
  Graph graph;
  graph.services = {
    { .name = "history", .upstreams = 22, .slots = 83, .speeds = speeds },
    { .name = "filing", .upstreams = 16, .slots = 115, .speeds = speeds },
    { .name = "export", .upstreams = 5, .slots = 367, .speeds = speeds },
    { .name = "addresses", .upstreams = 14, .slots = 45, .speeds = speeds },
  };
  graph.classes = RootClasses();
  for (const GraphClass& nested : NestedClasses()) {
    graph.classes.push_back(nested);
  }
  for (int i = 0; i < kAccounts; ++i) {
    graph.accountRates.push_back(std::pow(i + 1.0, -kAccountSkew));
  }
  return graph;
}

} // namespace bench
