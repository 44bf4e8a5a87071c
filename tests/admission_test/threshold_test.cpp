#include <boost/test/unit_test.hpp>

#include "acaciapulley/admission/threshold_controller.hpp"
#include "acaciapulley/admission/threshold_table.hpp"
#include "acaciapulley/core/clock.hpp"

namespace {

using namespace std::chrono_literals;

const acp::CalleeClass kCallee{ .service = "addresses", .requestClass = "find" };

int CountAdmitted(acp::ThresholdTable& table,
                  const std::string& account,
                  int priority,
                  int requests)
{
  int admitted = 0;
  for (int i = 0; i < requests; ++i) {
    admitted += table.AdmitRequest("history", account, priority, acp::TimePoint(0ms)) ? 1 : 0;
  }
  return admitted;
}

// Callers of one controller that send only the announced share of their demand.
class CompliantCallers
{
public:
  // @param appliesShare whether the callers apply the announced share
  // @param isShareApplied whether the controller is told that the share has been applied
  explicit CompliantCallers(bool appliesShare = true, bool isShareApplied = true)
    : appliesShare_(appliesShare)
    , isShareApplied_(isShareApplied)
  {
  }

  [[nodiscard]] acp::AdmissionThreshold Threshold() const { return controller_.ThresholdFor("a"); }

  // Runs for @p span with the given demand of priorities 1 and 6 in requests per millisecond;
  // returns the number of sent requests by priority.
  std::map<int, double> Run(std::chrono::milliseconds span, double important, double other)
  {
    std::map<int, double> sent;
    for (auto passed = 0ms; passed < span; passed += 1ms) {
      clock_.Advance(1ms);
      double load = Send(1, important) + Send(6, other);
      sent[1] += important * controller_.ThresholdFor("a").ShareOf(1);
      sent[6] += other * controller_.ThresholdFor("a").ShareOf(6);
      // Ten slots at 10 ms per request serve one request per millisecond.
      for (; load > 1.0; load -= 1.0) {
        controller_.OnOverloadRefusal();
      }
      controller_.OnFinish();
      controller_.Update({ .limit = 10, .inFlight = load < 0.95 ? 9 : 10 }, clock_.Now());
    }
    return sent;
  }

private:
  double Send(int priority, double demand)
  {
    double& due = due_[priority];
    const double sent =
      appliesShare_ ? demand * controller_.ThresholdFor("a").ShareOf(priority) : demand;
    for (due += sent; due >= 1.0; due -= 1.0) {
      controller_.OnOffer(priority, "a", 1.0, isShareApplied_);
    }
    return sent;
  }

  bool appliesShare_;
  bool isShareApplied_;
  acp::ManualClock clock_;
  acp::ThresholdController controller_{ {}, clock_.Now() };
  std::map<int, double> due_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(threshold)

// Guards against an entry node that refuses more or fewer requests than the callee would refuse, or
// refuses requests that do not call the callee.
BOOST_AUTO_TEST_CASE(first_node_refuses_what_the_callee_would_refuse)
{
  acp::ThresholdTable table;
  const acp::TimePoint now(0ms);
  for (int i = 0; i < 100; ++i) {
    table.OnRequest("history", now);
    table.OnCall("history", kCallee, now);
  }
  table.UpdateThreshold("history", kCallee, "a", { .priority = 6, .share = 0.25 }, now);
  BOOST_TEST(std::abs(CountAdmitted(table, "a", 6, 1'000) - 250) <= 1);
  BOOST_TEST(CountAdmitted(table, "a", 5, 100) == 100);
  BOOST_TEST(CountAdmitted(table, "a", 7, 100) == 0);
  BOOST_TEST(!table.AdmitsCall("history", kCallee, "a", 7, now));
  BOOST_TEST(table.AdmitsCall("history", kCallee, "a", 6, now));
  BOOST_TEST(table.CombinedThreshold("history", "a", now).Level() == 6.25);
  // Four times as many requests as calls: three quarters of them do not call the callee.
  for (int i = 0; i < 300; ++i) {
    table.OnRequest("history", now);
  }
  BOOST_TEST(std::abs(CountAdmitted(table, "a", 7, 1'000) - 750) <= 1);
  BOOST_TEST(table.CombinedThreshold("history", "a", now).Level() == 10.0);
}

BOOST_AUTO_TEST_CASE(threshold_of_one_account_applies_to_all_when_not_kept_by_account)
{
  acp::ThresholdTable table({ .byAccount = false });
  const acp::TimePoint now(0ms);
  table.OnRequest("history", now);
  table.OnCall("history", kCallee, now);
  table.UpdateThreshold("history", kCallee, "a", { .priority = 6, .share = 1.0 }, now);
  table.UpdateThreshold("history", kCallee, "b", { .priority = 6, .share = 0.25 }, now);
  BOOST_TEST(std::abs(CountAdmitted(table, "a", 6, 1'000) - 250) <= 1);
  BOOST_TEST(std::abs(CountAdmitted(table, "seen for the first time", 6, 1'000) - 250) <= 1);
}

BOOST_AUTO_TEST_CASE(class_counts_as_overloaded_while_a_callee_refuses_its_priority)
{
  acp::ThresholdTable table;
  const acp::TimePoint now(0ms);
  BOOST_TEST(!table.IsOverloaded("history", "a", 6, now));
  table.OnRequest("history", now);
  table.OnCall("history", kCallee, now);
  table.UpdateThreshold("history", kCallee, "a", { .priority = 6, .share = 0.5 }, now);
  BOOST_TEST(table.IsOverloaded("history", "a", 6, now));
  BOOST_TEST(!table.IsOverloaded("history", "a", 5, now));
  BOOST_TEST(!table.IsOverloaded("history", "a", 6, now + 2s));
}

// Guards against a callee that blocks its callers forever after it has stopped responding.
BOOST_AUTO_TEST_CASE(threshold_of_a_silent_callee_reopens)
{
  acp::ThresholdTable table;
  const acp::TimePoint learnt(0ms);
  table.OnRequest("history", learnt);
  table.OnCall("history", kCallee, learnt);
  table.UpdateThreshold("history", kCallee, "a", { .priority = 6, .share = 0.0 }, learnt);
  BOOST_TEST(table.CombinedThreshold("history", "a", learnt + 200ms).Level() == 6.0);
  BOOST_TEST(table.CombinedThreshold("history", "a", learnt + 700ms).Level() == 7.5);
  BOOST_TEST(table.CombinedThreshold("history", "a", learnt + 2s).Level() == 10.0);
}

// Guards against shedding of important requests, unused capacity under overload and slow recovery
// afterwards.
BOOST_AUTO_TEST_CASE(controller_sheds_by_priority_and_reopens_within_a_second)
{
  CompliantCallers callers;
  auto sent = callers.Run(2s, 0.4, 0.4);
  BOOST_CHECK_CLOSE(sent[6], 0.4 * 2'000, 1e-6);
  callers.Run(1s, 0.4, 8.0);
  sent = callers.Run(2s, 0.4, 8.0);
  BOOST_CHECK_CLOSE(sent[1], 0.4 * 2'000, 1e-6);
  BOOST_TEST(sent[1] + sent[6] >= 0.95 * 2'000);
  BOOST_TEST(sent[1] + sent[6] <= 1.1 * 2'000);
  callers.Run(1s, 0.4, 0.4);
  sent = callers.Run(1s, 0.4, 0.4);
  BOOST_TEST(sent[6] >= 0.99 * 0.4 * 1'000);
}

// Guards against shares that collapse because requests sent directly by callers, to which no share
// was applied, are scaled up as if they were the rest of a larger demand. Without the flag this
// happens.
BOOST_AUTO_TEST_CASE(requests_from_the_ingress_are_not_scaled_by_the_announced_share)
{
  CompliantCallers marked(false, false);
  marked.Run(2s, 0.4, 8.0);
  BOOST_TEST(marked.Threshold().ShareOf(1) == 1.0);
  BOOST_TEST(marked.Threshold().ShareOf(6) >= 0.5 * 0.6 / 8.0);
  CompliantCallers unmarked(false, true);
  unmarked.Run(2s, 0.4, 8.0);
  BOOST_TEST(unmarked.Threshold().ShareOf(6) < 0.1 * 0.6 / 8.0);
}

BOOST_AUTO_TEST_SUITE_END()
