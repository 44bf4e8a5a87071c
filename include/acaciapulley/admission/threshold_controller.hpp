#pragma once

/// @file
/// Computes which requests a gate's callers should send at all.

#include <array>  // array
#include <map>    // map
#include <string> // string

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold, kPriorityCount
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint

namespace acp {

/// Settings of ThresholdController.
struct ThresholdControllerOptions
{
  Duration period = std::chrono::milliseconds(50);        ///< time between two computations
  Duration timeConstant = std::chrono::milliseconds(250); ///< time constant of all averages
  Duration targetAge = std::chrono::milliseconds(20);     ///< an older queue means overload
  bool enabled = true;   ///< false: admits everything (for comparison)
  bool byAccount = true; ///< false: one share for all accounts (for comparison)
};

/// State of the gate at one computation.
struct GateState
{
  int limit = 1;
  int inFlight = 0;
  Duration queueAge{};
};

/// Estimates the demand of each priority and account and the capacity of the upstream, and divides
/// the capacity: priorities in their order, the marginal one max-min fair among accounts.
///
/// The demand before the callers' refusals is the arrival rate divided by the share that was
/// announced. The demand of a priority follows within the memory, its division among accounts over
/// more arrivals, or small accounts would get shares from a handful of requests. The capacity is
/// the rate at which occupied slots finish requests, for all slots; a mean latency would jump with
/// each long export that ends. Shares fall at once and rise step by step, so that admission reopens
/// within about a second without a new overload.
///
/// Not thread-safe.
class ThresholdController
{
public:
  explicit ThresholdController(ThresholdControllerOptions options, TimePoint now);

  /// @brief Records an offered request.
  /// @param weight purchased rate of the account
  /// @param isShareApplied whether a node applied this controller's share before it sent the
  /// request
  void OnOffer(int priority, const std::string& account, double weight, bool isShareApplied);

  /// @brief Records a request that the gate refused because of load.
  void OnOverloadRefusal();

  /// @brief Records a request that has left the upstream.
  void OnFinish();

  /// @brief Computes new thresholds when a period has passed. To be called before each change of
  /// the requests in flight, so that the occupancy of the slots is exact.
  void Update(const GateState& state, TimePoint now);

  /// @brief Returns what callers should send for @p account.
  [[nodiscard]] AdmissionThreshold ThresholdFor(const std::string& account) const;

private:
  // Demand before the callers' refusals is counted by adding 1 / share for each arrival.
  struct Demand
  {
    double weight = 1.0;
    double decayedDemand = 0.0; // decayed demand over the priority's composition memory
    double share = 1.0;         // announced now
    double appliedShare = 1.0;  // that the arriving requests have passed, as far as known
  };

  struct PriorityState
  {
    std::map<std::string, Demand> accounts;
    double newDemand = 0.0;     // demand since the last computation
    double newArrivals = 0.0;   // arrivals since the last computation
    double demandRate = 0.0;    // demand per second, averaged over the memory
    double arrivalRate = 0.0;   // arrivals per second, averaged over the memory
    double decayedDemand = 0.0; // sum over accounts
    double cap = 1.0;           // bound on the announced share of this priority's demand
  };

  void UpdateAverages(double elapsedSeconds, double idle);
  void DecayComposition(PriorityState& priority, double elapsedSeconds) const;
  void ComputeShares(double capacity, double idle);
  static void DivideAmongAccounts(PriorityState& priority, double capacity);
  [[nodiscard]] static double RateOf(const PriorityState& priority, const Demand& demand);

  ThresholdControllerOptions options_;
  std::array<PriorityState, kPriorityCount> priorities_;
  double occupancy_ = 0.0;      // decayed sum of requests in flight by time, in seconds
  double finished_ = 0.0;       // decayed count
  int refusals_ = 0;            // since the last computation
  double capacityFactor_ = 1.0; // correction of the capacity estimate by what the queue shows
  int marginal_ = kPriorityCount - 1;
  bool isOpen_ = true;
  TimePoint lastUpdate_;
  TimePoint lastOccupancyUpdate_;
};

} // namespace acp
