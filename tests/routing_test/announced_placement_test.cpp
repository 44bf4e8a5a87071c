#include <boost/test/unit_test.hpp>

#include <cstdint> // int64_t, uint64_t
#include <deque>   // deque
#include <string>  // string, to_string

#include "acaciapulley/routing/balancer.hpp"

namespace {

/// Sends requests to a service whose members have different slots, data centres and failures.
class Script
{
public:
  Script()
  {
    constexpr int kMembers = 6;
    std::vector<acp::RoutedMember> members;
    members.reserve(kMembers);
    for (int i = 0; i < kMembers; ++i) {
      members.push_back({ .nodeId = "n" + std::to_string(i),
                          .epoch = 1,
                          .service = "s",
                          .dataCentre = i < 4 ? "a" : "b",
                          .slots = 10 + 5 * i });
    }
    table.Apply(1, 1, members, clock.Now());
  }

  /// Returns a hash of the picks and of the number of random numbers that they used.
  std::uint64_t Run()
  {
    for (int step = 0; step < 20'000; ++step) {
      clock.Advance(std::chrono::microseconds(700));
      const std::string requestClass = step % 3 == 0 ? "write" : "read";
      const auto picked =
        balancer_.Pick({ .service = "s", .requestClass = requestClass }, clock.Now());
      Mix(picked ? static_cast<std::uint64_t>(picked->nodeId.back()) : 0);
      Mix(draws_);
      if (picked) {
        running_.push_back({ .member = *picked, .requestClass = requestClass });
      }
      if (running_.size() > 60) {
        FinishOldest(step);
      }
    }
    return hash_;
  }

  acp::ManualClock clock;
  acp::MemberTable table;

private:
  struct Running
  {
    acp::PickedMember member;
    std::string requestClass;
  };

  void FinishOldest(int step)
  {
    const Running ended = running_.front();
    running_.pop_front();
    const int member = ended.member.nodeId.back() - '0';
    acp::CallResult result = acp::CallResult::Answered;
    if (step % 17 == member) {
      result = acp::CallResult::Refused;
    } else if (step % 29 == member) {
      result = acp::CallResult::ServerError;
    } else if (member == 2 && step % 4000 < 60) {
      result = acp::CallResult::Failed;
    }
    table.FinishCall(
      "s",
      ended.member.nodeId,
      1,
      { .result = result, .startedAt = ended.member.startedAt, .requestClass = ended.requestClass },
      clock.Now());
    if (step % 5 != 0) {
      table.UpdateLoad("s",
                       ended.member.nodeId,
                       { .inFlight = static_cast<double>((step * 7 + member * 3) % 20),
                         .limit = static_cast<double>(8 + 4 * member) },
                       clock.Now());
    }
  }

  double Random()
  {
    ++draws_;
    state_ = state_ * 1664525U + 1013904223U;
    return static_cast<double>(state_ >> 8U) / (1U << 24U);
  }

  void Mix(std::uint64_t value)
  {
    constexpr std::uint64_t kPrime = 1'099'511'628'211U; // FNV-1a
    hash_ = (hash_ ^ value) * kPrime;
  }

  acp::Balancer balancer_{ { .localNodeId = "n0",
                             .localDataCentre = "a",
                             .members = &table,
                             .random = [this] { return Random(); } } };
  std::deque<Running> running_;
  std::uint32_t state_ = 7;
  std::uint64_t draws_ = 0;
  std::uint64_t hash_ = 14'695'981'039'346'656'037U;
};

// Hash of the picks at commit b5b9c93, which had no learned placement.
constexpr std::uint64_t kPicksWithoutLearnedPlacement = 1'278'944'776'437'285'174U;

} // namespace

BOOST_AUTO_TEST_SUITE(announced_placement)

// Guards against learned placement that changes the picks of services which do not use it.
BOOST_AUTO_TEST_CASE(picks_without_reported_run_times_are_unchanged)
{
  BOOST_TEST(Script().Run() == kPicksWithoutLearnedPlacement);
}

BOOST_AUTO_TEST_SUITE_END()
