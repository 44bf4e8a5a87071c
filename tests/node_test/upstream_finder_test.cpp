#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "acaciapulley/core/clock.hpp"
#include "acaciapulley/node/upstream_finder.hpp"

namespace {

using acp::HealthAnswer;

/// Answers checks as the test says; an unanswered one takes its whole time-out on the clock.
class ScriptedUpstream
{
public:
  acp::UpstreamFinderOptions Options()
  {
    return { .clock = &clock,
             .registry = &registry,
             .service = "orders",
             .healthPathOf = [](const auto& service) { return std::optional("/" + service); },
             .check = [this](const acp::HealthCheck& check) { return Answer(check); } };
  }

  acp::HealthCheckResult Answer(const acp::HealthCheck& check)
  {
    std::unique_lock lock(mutex_);
    checks_.push_back(check);
    changed_.notify_all();
    if (hangs_) {
      std::condition_variable_any never;
      never.wait(lock, check.stop, [] { return false; });
      return {};
    }
    if (answer_ == HealthAnswer::None) {
      clock.Advance(check.timeout);
    }
    acp::HealthCheckResult result{ .answer = answer_, .instanceId = "i" };
    if (answer_ == HealthAnswer::Ready) {
      result.found = { .announcement = { .service = check.service, .instanceId = "i" } };
    }
    return result;
  }

  void Set(HealthAnswer answer, bool hangs = false)
  {
    const std::lock_guard lock(mutex_);
    answer_ = answer;
    hangs_ = hangs;
  }

  std::vector<acp::HealthCheck> AwaitChecks(std::size_t count)
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return checks_.size() >= count; });
    return checks_;
  }

  acp::ManualClock clock;
  acp::UpstreamRegistry registry{
    { .clock = &clock, .announce = [](const auto& /*announcement*/) {}, .confirmsInstances = true }
  };

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  HealthAnswer answer_ = HealthAnswer::None;
  bool hangs_ = false;
  std::vector<acp::HealthCheck> checks_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(upstream_finder, ScriptedUpstream)

// Guards against a full upstream that is never found because each check is cut before its slot.
BOOST_AUTO_TEST_CASE(unanswered_checks_are_given_more_time)
{
  registry.ApplyHeartbeat({ .announcement = { .service = "orders", .instanceId = "i" } });
  const acp::UpstreamFinder finder(Options());
  const auto checks = AwaitChecks(4);
  const auto second = std::chrono::seconds(1);
  BOOST_TEST((checks[0].timeout == second));
  BOOST_TEST((checks[1].timeout == 2 * second));
  BOOST_TEST((checks[2].timeout == 4 * second));
  BOOST_TEST((checks[3].timeout == 4 * second));
  BOOST_TEST(!registry.HasUpstream());
}

// Guards against a node that outlives its stop by the time-out of a health check.
BOOST_AUTO_TEST_CASE(a_stop_ends_a_check_that_gets_no_answer)
{
  Set(HealthAnswer::None, true);
  const acp::UpstreamFinder finder(Options());
  AwaitChecks(1);
}

// Guards against checks at the path of another service than the one that the upstream states.
BOOST_AUTO_TEST_CASE(heartbeat_that_is_kept_back_is_checked_at_the_path_of_its_service)
{
  Set(HealthAnswer::Ready);
  registry.ApplyHeartbeat({ .announcement = { .service = "stock", .instanceId = "i" } });
  const acp::UpstreamFinder finder(Options());
  BOOST_TEST(AwaitChecks(1).front().path == "/stock");
}

// Guards against a known upstream that stays limited because nobody asks it whether it is warm, and
// against a request that is dropped after one check without an answer.
BOOST_AUTO_TEST_CASE(requested_check_is_repeated_until_it_is_answered)
{
  Set(HealthAnswer::Ready);
  const acp::UpstreamFinder finder(Options());
  AwaitChecks(1);
  while (!registry.HasUpstream()) {
    std::this_thread::yield();
  }
  Set(HealthAnswer::NotReady);
  registry.RequestHealthCheck();
  const std::size_t seen = AwaitChecks(1).size();
  AwaitChecks(seen + 2);
  BOOST_TEST(registry.IsHealthCheckRequested());
  Set(HealthAnswer::Ready);
  while (registry.IsHealthCheckRequested()) {
    std::this_thread::yield();
  }
}

BOOST_AUTO_TEST_SUITE_END()
