#pragma once

/// @file
/// Overload scenarios on a chain of services, and the metrics of one run.

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "model.hpp" // Policy, RootClass, ServiceShape

namespace bench {

/// Fault or load change during the trigger.
enum class Trigger
{
  Surge,        ///< all accounts send `surge` times their base load
  SlowDeepest,  ///< service time of the deepest service is `surge` times longer
  LargeAccount, ///< one account sends `surge` times its base load
  LostUpstream, ///< one upstream of the deepest service is killed
};

/// One load pattern on one chain of services.
struct Scenario
{
  std::string name;
  Trigger trigger = Trigger::Surge;
  double surge = 10.0;
  double baseLoad = 0.8; ///< fraction of the capacity of the deepest service
  int clientRetries = 0; ///< per request, 50 ms after each failure
  acp::Duration warmUp = std::chrono::seconds(3);
  acp::Duration triggerDuration = std::chrono::seconds(5);
  acp::Duration recoveryPeriod = std::chrono::seconds(8);
  std::vector<ServiceShape> services; ///< the last one is the deepest
  std::vector<RootClass> classes;
  std::vector<double> accountWeights; ///< purchased rates; load is proportional to them
  bool weighted = true;               ///< whether the gate uses the purchased rates as weights
  std::uint64_t seed = 1;
};

/// Metrics of one run. Goodput counts calls to the deepest service that belong to completed
/// requests; capacity is that of the deepest service.
struct Figures
{
  double goodputBefore = 0.0; ///< before the trigger, as a fraction of the capacity
  double goodputDuring = 0.0; ///< during the trigger, as a fraction of the achievable goodput
  double startedShare = 0.0;  ///< calls started during the trigger, as a fraction of the achievable
  double goodputAfter = 0.0;  ///< in the last 3 s, relative to the goodput before the trigger
  double worstAccountShare = 0.0;  ///< lowest goodput of an account / its max-min fair share
  double recoverySeconds = 0.0;    ///< -1: no recovery within the run
  double callsPerRequest = 0.0;    ///< calls at the deepest service per needed call
  std::vector<double> failedShare; ///< failed fraction of the requests in the trigger, per class
  std::vector<double> timeline;    ///< goodput per 100 ms, as a fraction of the capacity
};

/// @brief Runs @p scenario under @p policy.
[[nodiscard]] Figures Run(const Scenario& scenario, const Policy& policy);

/// @brief Returns the chain of the association deployment: @p depth - 1 services with 50 slots in
/// front of the member directory with 15 slots.
[[nodiscard]] Scenario AssociationChain(int depth);

/// @brief Returns the chain of the Kilometerboek deployment: the address service with 25 slots
/// behind three services with 110 slots.
[[nodiscard]] Scenario KilometerboekChain();

} // namespace bench
