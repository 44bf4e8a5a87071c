#pragma once

#include <string> // string

#include "acaciapulley/control/detail/control_context.hpp"
#include "acaciapulley/core/random.hpp"
#include "memory_log.hpp"

namespace acp::test {

/// Directory with the operators `sari` and `budi`, whose keys are `key-sari` and `key-budi`.
inline OperatorDirectory TwoOperators()
{
  const std::string text = "# operators\nsari:" + ToHex(Sha256("key-sari")) +
                           "\n\nbudi:" + ToHex(Sha256("key-budi")) + "\n";
  return OperatorDirectory::Parse(text).value();
}

/// The components of a control process without its servers, on a manual clock. The replica has been
/// the leader for an hour.
struct ControlFixture
{
  ControlFixture()
  {
    clock.Advance(std::chrono::hours(1));
    log.leaderSince = clock.Now() - std::chrono::hours(1);
  }

  /// Makes this replica the leader of a new term, starting now.
  void BecomeLeaderOfNewTerm()
  {
    ++log.term;
    log.leaderSince = clock.Now();
  }

  ManualClock clock;
  ControlState state;
  MemoryLog log{ state, clock };
  detail::ControlContext context{ .clock = clock,
                                  .log = log,
                                  .state = state,
                                  .operators = TwoOperators() };
};

inline std::string OrdersDocument(int rate)
{
  return R"({"service":"orders","accounts":[{"name":"a","rate":)" + std::to_string(rate) +
         R"(,"burst":1}],"classes":[{"name":"read","methods":["GET"],"path":"/x","priority":5,)"
         R"("idempotent":true,"deadline_ms":100}]})";
}

} // namespace acp::test
