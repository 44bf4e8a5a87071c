#include <boost/test/unit_test.hpp>

#include <memory> // unique_ptr
#include <random> // mt19937
#include <vector> // vector

#include <fmt/format.h> // format

#include "acaciapulley/retries/hop_budget_table.hpp"

namespace {

constexpr auto kNow = acp::ToUnixMillis(1'000);
constexpr auto kDeadline = acp::ToUnixMillis(3'000);

acp::RequestContext MakeContext(std::uint64_t hop, int retries)
{
  return { .rootId = std::string(32, '0'),
           .hopId = fmt::format("{:016x}", hop),
           .deadline = kDeadline,
           .retriesLeft = retries,
           .issuer = "caller",
           .issuerEpoch = 1 };
}

// A call tree over several nodes with random failures, lost responses and replayed contexts.
class CallTreeSimulation
{
public:
  CallTreeSimulation(std::uint32_t seed, bool enforceBudget)
    : random_(seed)
  {
    for (int i = 0; i < kDepth; ++i) {
      tables_.push_back(std::make_unique<acp::HopBudgetTable>(acp::HopBudgetTableOptions{
        .nodeId = fmt::format("node-{}", i), .epoch = 1, .enforceBudget = enforceBudget }));
    }
  }

  // Returns the retries made in the call tree of one root request.
  int CountRetries(int budget)
  {
    retries_ = 0;
    Execute(0, MakeContext(nextHop_++, budget));
    return retries_;
  }

private:
  static constexpr int kDepth = 4;

  bool Chance(unsigned percent) { return random_() % 100 < percent; }

  // Returns the unused retries of the hop, or -1 when the response is lost.
  int Execute(std::size_t depth, const acp::RequestContext& context)
  {
    auto& table = *tables_[depth];
    const auto opened = table.Open(context, kNow);
    if (!opened) {
      return 0;
    }
    if (Chance(20)) {
      BOOST_TEST(!table.Open(context, kNow).has_value());
    }
    const auto fanOut = depth + 1 < kDepth ? 1 + random_() % 3 : 0;
    for (std::size_t i = 0; i < fanOut; ++i) {
      Call(depth, opened.value());
    }
    const int left = table.Close(context.hopId);
    return Chance(10) ? -1 : left;
  }

  void Call(std::size_t depth, const acp::RequestContext& parent)
  {
    auto& table = *tables_[depth];
    // The upstream may replay its context any number of times, so each reservation counts.
    const auto reservation = table.Reserve(parent, static_cast<int>(random_() % 9), kNow);
    int left = reservation.granted;
    while (true) {
      const auto split = acp::SplitReservation(left);
      const int returned = Execute(depth + 1, MakeContext(nextHop_++, split.callee));
      left = split.caller + std::max(returned, 0);
      if (left == 0 || !Chance(60)) {
        break;
      }
      --left;
      ++retries_;
    }
    table.Release(reservation.id, left);
    if (Chance(20)) {
      BOOST_TEST(table.Release(reservation.id, left) == 0);
    }
  }

  std::mt19937 random_;
  std::vector<std::unique_ptr<acp::HopBudgetTable>> tables_;
  std::uint64_t nextHop_ = 1;
  int retries_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(hop_budget_table)

// Guards against retry amplification over a call tree (P1). With the budget not enforced the bound
// is exceeded, which shows that the check can fail.
BOOST_AUTO_TEST_CASE(retries_of_a_call_tree_stay_within_the_root_budget)
{
  int exceeded = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      const int budget = static_cast<int>(seed % (acp::kMaxRetryBudget + 1));
      BOOST_TEST(CallTreeSimulation(seed, true).CountRetries(budget) <= budget);
      exceeded += CallTreeSimulation(seed, false).CountRetries(budget) > budget ? 1 : 0;
    }
  }
  BOOST_TEST(exceeded > 0);
}

// Guards against retries reserved with a context of another node or an earlier epoch of this node,
// and against releases of more retries than were reserved.
BOOST_AUTO_TEST_CASE(only_the_issuing_node_and_epoch_can_reserve_retries)
{
  acp::HopBudgetTable table({ .nodeId = "here", .epoch = 2 });
  const auto context = table.Open(MakeContext(1, 3), kNow).value();
  BOOST_TEST(context.retriesLeft == 0);
  auto older = context;
  older.issuerEpoch = 1;
  BOOST_TEST(table.Reserve(older, 3, kNow).granted == 0);
  auto foreign = context;
  foreign.issuer = "there";
  BOOST_TEST(table.Reserve(foreign, 3, kNow).granted == 0);
  const auto reservation = table.Reserve(context, 2, kNow);
  BOOST_TEST(reservation.granted == 2);
  BOOST_TEST(table.Reserve(context, 8, kNow).granted == 1);
  BOOST_TEST(table.Release(reservation.id, 100) == 2);
  BOOST_TEST(table.Remaining(context.hopId) == 2);
  BOOST_TEST(table.Close(context.hopId) == 2);
  BOOST_TEST(table.Reserve(context, 8, kNow).granted == 0);
}

// Guards against unbounded memory and against removal of a hop whose context is still valid, which
// could then be opened again.
BOOST_AUTO_TEST_CASE(open_hops_are_bounded_and_expire_with_their_context)
{
  acp::HopBudgetTable table({ .nodeId = "here", .epoch = 1, .maxHops = 2 });
  BOOST_TEST(table.Open(MakeContext(1, 1), kNow).has_value());
  BOOST_TEST(table.Open(MakeContext(2, 1), kNow).has_value());
  BOOST_TEST(
    (table.Open(MakeContext(3, 1), kNow).error().code == acp::RetriesErrorCode::TooManyHops));
  table.Expire(acp::ToUnixMillis(3'250));
  BOOST_TEST(table.Size() == 2U);
  table.Expire(acp::ToUnixMillis(3'251));
  BOOST_TEST(table.Size() == 0U);
  BOOST_TEST((table.Open(MakeContext(4, 1), acp::ToUnixMillis(3'251)).error().code ==
              acp::RetriesErrorCode::ExpiredContext));
}

BOOST_AUTO_TEST_SUITE_END()
