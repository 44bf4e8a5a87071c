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
constexpr int kAbuses = 3;
constexpr int kOwnRepeats = 1;
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

// Seconds of work of the deepest service that one request of a class needs.
double DeepWork(const Graph& graph, std::size_t classIndex)
{
  const GraphClass& each = graph.classes[classIndex];
  const bool isDeepest = each.service + 1 == graph.services.size();
  const double own = isDeepest ? Seconds(each.work) : 0.0;
  return own + (each.nested ? each.nested->times * DeepWork(graph, each.nested->classIndex) : 0.0);
}

// Places among the services.
constexpr std::size_t kHistory = 0;
constexpr std::size_t kFiling = 1;
constexpr std::size_t kExport = 2;
constexpr std::size_t kAddresses = 3;
// Places among the classes.
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
      .target = 1500ms,
      .callerDeadline = 6s,
      .perSecond = 793,
      .worth = 1,
      .nested = NestedCalls{ .classIndex = kFilingStatus, .together = true } },
    { .name = "filing",
      .service = kFiling,
      .priority = 1,
      .idempotent = false,
      .work = 170ms,
      .timeout = 1200ms,
      .target = 1500ms,
      .callerDeadline = 6s,
      .perSecond = 354,
      .worth = 3,
      .nested = NestedCalls{ .classIndex = kExportTemplate, .times = 2, .together = true } },
    { .name = "export",
      .service = kExport,
      .priority = 3,
      .work = 110ms,
      .timeout = 2500ms,
      .target = 600ms,
      .callerDeadline = 2500ms,
      .perSecond = 123,
      .worth = 1 },
    { .name = "client-list",
      .service = kAddresses,
      .priority = 3,
      .work = 540ms,
      .varyingPart = 0.8,
      .timeout = 3s,
      .target = 1500ms,
      .callerDeadline = 6s,
      .perSecond = 155,
      .worth = 1 },
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
      .nested = NestedCalls{ .classIndex = kGeocode, .times = 5 } },
    { .name = "geocode", .service = kAddresses, .work = 34ms, .timeout = 700ms },
  };
}

// Runs one scenario and collects its figures.
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

  GraphFigures Go()
  {
    for (std::size_t i = 0; i < mesh_.graph.classes.size(); ++i) {
      if (mesh_.graph.classes[i].perSecond > 0.0) {
        ScheduleArrival(i);
      }
    }
    mesh_.events.After(scenario_.warmUp, [this] {
      atSurge_ = mesh_.deep;
      processorTimesAtSurge_ = ProcessorTimes();
    });
    mesh_.events.After(scenario_.warmUp + scenario_.surgeLength, [this] {
      atSurgeEnd_ = mesh_.deep;
      processorTimesAtSurgeEnd_ = ProcessorTimes();
    });
    mesh_.events.RunUntil(End());
    return Evaluate();
  }

private:
  // One request of a caller with its attempts.
  struct Wish
  {
    std::size_t classIndex = 0;
    std::string account;
    std::size_t window = 0;
    acp::TimePoint deadline;
    int repeatsLeft = kOwnRepeats;
    int abusesLeft = 0;
  };

  [[nodiscard]] acp::TimePoint SurgeStart() const { return start_ + scenario_.warmUp; }
  [[nodiscard]] acp::TimePoint SurgeEnd() const { return SurgeStart() + scenario_.surgeLength; }
  [[nodiscard]] acp::TimePoint End() const { return SurgeEnd() + scenario_.after; }

  [[nodiscard]] bool InSurge() const
  {
    const auto now = mesh_.events.Now();
    return now >= SurgeStart() && now < SurgeEnd();
  }

  [[nodiscard]] bool InAbuse() const
  {
    const auto now = mesh_.events.Now();
    return now >= SurgeStart() + scenario_.abuseFrom && now < SurgeStart() + scenario_.abuseUntil;
  }

  // The rate is that of the start of the gap; at a step the error is one gap.
  void ScheduleArrival(std::size_t classIndex)
  {
    const double rate =
      mesh_.graph.classes[classIndex].perSecond * (InSurge() ? scenario_.surge : 1.0);
    const double gap = -std::log(1.0 - mesh_.Uniform()) / rate;
    mesh_.events.After(
      std::chrono::duration_cast<acp::Duration>(std::chrono::duration<double>(gap)),
      [this, classIndex] {
        Arrive(classIndex);
        ScheduleArrival(classIndex);
      });
  }

  std::string DrawAccount()
  {
    const auto& rates = mesh_.graph.accountRates;
    std::discrete_distribution<int> draw(rates.begin(), rates.end());
    return fmt::format("account-{}", draw(mesh_.random));
  }

  void Arrive(std::size_t classIndex)
  {
    const auto now = mesh_.events.Now();
    auto wish = std::make_shared<Wish>();
    wish->classIndex = classIndex;
    wish->account = DrawAccount();
    wish->window = Index(now - start_, kRecoveryWindow);
    wish->deadline = now + mesh_.graph.classes[classIndex].callerDeadline;
    if (InAbuse() && mesh_.Uniform() < scenario_.abusers) {
      wish->abusesLeft = kAbuses;
    }
    CountsOf(*wish).owed += 1.0;
    Send(wish);
  }

  GraphCounts& CountsOf(const Wish& wish) { return windows_[wish.window][wish.classIndex]; }

  void Send(const std::shared_ptr<Wish>& wish)
  {
    mesh_.events.After(kCallerLatency, [this, wish] {
      const auto now = mesh_.events.Now();
      const GraphClass& requestClass = mesh_.graph.classes[wish->classIndex];
      auto request = std::make_shared<GraphRequest>();
      request->id = mesh_.nextId++;
      request->classIndex = wish->classIndex;
      request->account = wish->account;
      request->priority = requestClass.priority;
      request->deadline = std::min(wish->deadline, now + requestClass.timeout);
      request->deepWork = std::make_shared<double>(0.0);
      request->reply = [this, wish, work = request->deepWork](const GraphAnswer& answer) {
        mesh_.events.After(kCallerLatency,
                           [this, wish, work, end = answer.end] { OnEnd(wish, end, *work); });
      };
      GraphNode* ingress = mesh_.nodes[mesh_.random() % mesh_.nodes.size()];
      ingress->Process([ingress, request] { ingress->HandleRoot(request); });
    });
  }

  void OnEnd(const std::shared_ptr<Wish>& wish, GraphEnd end, double deepWork)
  {
    const bool isInTime = mesh_.events.Now() <= wish->deadline;
    if (end == GraphEnd::Completed && isInTime) {
      CountsOf(*wish).completed += 1.0;
      usedInSurge_ += InSurge() ? deepWork : 0.0;
      return;
    }
    const bool mayRepeat =
      end == GraphEnd::Refused || mesh_.graph.classes[wish->classIndex].idempotent;
    if (isInTime && mayRepeat && wish->abusesLeft > 0) {
      --wish->abusesLeft;
      Send(wish);
      return;
    }
    const acp::Duration wait = end == GraphEnd::Refused ? kRetryAfter : acp::Duration::zero();
    if (mayRepeat && wish->repeatsLeft > 0 && mesh_.events.Now() + wait < wish->deadline) {
      --wish->repeatsLeft;
      mesh_.events.After(wait, [this, wish] { Send(wish); });
      return;
    }
    (end == GraphEnd::Refused ? CountsOf(*wish).refused : CountsOf(*wish).failed) += 1.0;
  }

  [[nodiscard]] std::vector<acp::Duration> ProcessorTimes() const
  {
    std::vector<acp::Duration> times;
    for (const GraphNode* node : mesh_.nodes) {
      times.push_back(node->ProcessorTime());
    }
    return times;
  }

  // Counts of all classes that arrived in a time span from the start of the run.
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
    return Share(sum.completed, sum.owed);
  }

  [[nodiscard]] double RecoverySeconds() const
  {
    const acp::Duration surgeEnd = SurgeEnd() - start_;
    // Requests of the last windows may still be open.
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
    figures.before = Served(2s, surgeStart);
    figures.served = Served(surgeStart, surgeEnd);
    double worth = 0.0;
    double worthOwed = 0.0;
    double workOwed = 0.0;
    for (std::size_t i = 0; i < figures.inSurge.size(); ++i) {
      worth += mesh_.graph.classes[i].worth * figures.inSurge[i].completed;
      worthOwed += mesh_.graph.classes[i].worth * figures.inSurge[i].owed;
      workOwed += DeepWork(mesh_.graph, i) * figures.inSurge[i].owed;
    }
    figures.worth = Share(worth, worthOwed);
    const double length = Seconds(scenario_.surgeLength);
    const GraphService& deepest = mesh_.graph.services.back();
    figures.used = usedInSurge_ / std::min(capacity_ * length, workOwed);
    figures.busy =
      (atSurgeEnd_.occupied - atSurge_.occupied) / (deepest.upstreams * deepest.slots * length);
    figures.refusedCalls = Share(static_cast<double>(atSurgeEnd_.refused - atSurge_.refused),
                                 static_cast<double>(atSurgeEnd_.offered - atSurge_.offered));
    figures.wasted = 1.0 - Share(usedInSurge_, atSurgeEnd_.worked - atSurge_.worked);
    for (std::size_t i = 0; i < mesh_.nodes.size(); ++i) {
      const double used = Seconds(processorTimesAtSurgeEnd_[i] - processorTimesAtSurge_[i]);
      figures.busiestNode = std::max(figures.busiestNode, used / length);
    }
    figures.recoverySeconds = RecoverySeconds();
    figures.after = Served(end - 6s, end - 3s);
    return figures;
  }

  GraphMesh mesh_;
  GraphScenario scenario_;
  acp::TimePoint start_;
  std::vector<std::vector<GraphCounts>> windows_; // by time of arrival and class
  double capacity_ = 0.0;                         // seconds of work per second, deepest service
  double usedInSurge_ = 0.0;                      // seconds of work
  GraphDeepCounts atSurge_;
  GraphDeepCounts atSurgeEnd_;
  std::vector<acp::Duration> processorTimesAtSurge_; // by node
  std::vector<acp::Duration> processorTimesAtSurgeEnd_;
};

} // namespace

GraphCounts& GraphCounts::operator+=(const GraphCounts& other)
{
  owed += other.owed;
  completed += other.completed;
  refused += other.refused;
  failed += other.failed;
  return *this;
}

GraphFigures Run(const GraphScenario& scenario, const GraphPolicy& policy)
{
  return GraphRunner(scenario, policy).Go();
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
