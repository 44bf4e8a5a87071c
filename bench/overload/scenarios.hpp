#pragma once

/// @file
/// Scenarios of overload and the figures of one run.

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "model.hpp" // Policy, RootClass, ServiceShape

namespace bench {

/// What goes wrong during the trigger.
enum class Trigger
{
  Surge,        ///< all accounts send `surge` times their base demand
  SlowDeepest,  ///< the deepest service works `surge` times slower
  LargeAccount, ///< one account sends `surge` times its base demand
  LostUpstream, ///< one upstream of the deepest service is lost
};

/// One load on one chain of services.
struct Scenario
{
  std::string name;
  Trigger trigger = Trigger::Surge;
  double surge = 10.0;
  double baseLoad = 0.8; ///< of what the deepest service can do
  int clientRetries = 0; ///< of the clients, 50 ms after each failure
  acp::Duration warmUp = std::chrono::seconds(3);
  acp::Duration triggerDuration = std::chrono::seconds(5);
  acp::Duration recoveryPeriod = std::chrono::seconds(8);
  std::vector<ServiceShape> services; ///< the last one is the deepest
  std::vector<RootClass> classes;
  std::vector<double> accountWeights; ///< purchased rates; demand is in proportion to them
  bool weighted = true;               ///< whether the gate knows the purchased rates
  std::uint64_t seed = 1;
};

/// Figures of one run; goodput counts calls of the deepest service in whole requests.
struct Figures
{
  double goodputBefore = 0.0; ///< goodput before the trigger, share of the deepest's capacity
  double goodputDuring = 0.0; ///< goodput during the trigger, share of what could be served then
  double startedShare =
    0.0; ///< calls started by the deepest service, share of what could be served then
  double goodputAfter = 0.0;      ///< goodput in the last three seconds, share of the one before
  double worstAccountShare = 0.0; ///< worst account's part of its max-min fair share in the trigger
  double recoverySeconds = 0.0;   ///< -1: not recovered within the run
  double callsPerRequest = 0.0;   ///< calls at the deepest service per call that was needed
  std::vector<double> failedShare; ///< per class, share of its requests that failed in the trigger
  std::vector<double> timeline;    ///< goodput by 100 ms, share of the deepest's capacity
};

/// @brief Runs @p scenario under @p policy.
[[nodiscard]] Figures Run(const Scenario& scenario, const Policy& policy);

/// @brief Returns the association's chain: the member directory with 15 slots behind @p depth - 1
/// services with 50 slots.
[[nodiscard]] Scenario AssociationChain(int depth);

/// @brief Returns Kilometerboek's chain: the address service with 25 slots behind three services
/// with 110 slots.
[[nodiscard]] Scenario KilometerboekChain();

} // namespace bench
