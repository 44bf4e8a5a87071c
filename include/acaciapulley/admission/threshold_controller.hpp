#pragma once

/// @file
/// Computes which requests the callers of a gate should send.

#include <array>  // array
#include <map>    // map
#include <string> // string

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold, kPriorityCount
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint

namespace acp {

/// Settings of ThresholdController.
struct ThresholdControllerOptions
{
  Duration period = std::chrono::milliseconds(50);        ///< interval between computations
  Duration timeConstant = std::chrono::milliseconds(250); ///< time constant of the averages
  Duration targetAge = std::chrono::milliseconds(20); ///< a queue older than this means overload
  bool enabled = true;                                ///< false: admit everything (for comparison)
  bool byAccount = true; ///< false: one share for all accounts (for comparison)
};

/// State of the gate at the time of a computation.
struct GateState
{
  int limit = 1;
  int inFlight = 0;
  Duration queueAge{};
};

/// Estimates the demand of each priority and account and the capacity of the upstream, and divides
/// the capacity: first by priority, then the marginal priority max-min fairly among accounts.
///
/// The demand before refusals by the callers is the arrival rate divided by the announced share.
/// The demand of a priority is averaged over the time constant. Its division among accounts is
/// averaged over more arrivals, because a few requests are not enough to estimate the share of a
/// small account. The capacity is the completion rate per occupied slot times the number of slots;
/// a mean latency would jump whenever a long request completes. Shares fall immediately and rise in
/// steps, so that admission reopens within about a second without causing a new overload.
///
/// Not thread-safe.
class ThresholdController
{
public:
  explicit ThresholdController(ThresholdControllerOptions options, TimePoint now);

  /// @brief Records an offered request.
  /// @param weight purchased rate of the account
  /// @param isShareApplied whether the sending node has applied the share announced by this
  /// controller
  void OnOffer(int priority, const std::string& account, double weight, bool isShareApplied);

  /// @brief Records a request that the gate refused because of overload.
  void OnOverloadRefusal();

  /// @brief Records a request that the upstream has completed.
  void OnFinish();

  /// @brief Computes new thresholds if a period has elapsed. Must be called before each change of
  /// the number of requests in flight, so that the slot occupancy is exact.
  void Update(const GateState& state, TimePoint now);

  /// @brief Returns which requests of @p account callers should send.
  [[nodiscard]] AdmissionThreshold ThresholdFor(const std::string& account) const;

private:
  // Demand before refusals by the callers: each arrival adds 1 / share.
  struct Demand
  {
    double weight = 1.0;
    double decayedDemand = 0.0; // decays with the composition time constant of the priority
    double share = 1.0;         // currently announced share
    double appliedShare = 1.0;  // estimated share that callers have applied to arriving requests
  };

  struct PriorityState
  {
    std::map<std::string, Demand> accounts;
    double newDemand = 0.0;     // demand since the last computation
    double newArrivals = 0.0;   // arrivals since the last computation
    double demandRate = 0.0;    // demand per second, averaged over the time constant
    double arrivalRate = 0.0;   // arrivals per second, averaged over the time constant
    double decayedDemand = 0.0; // sum over accounts
    double cap = 1.0;           // upper bound of the announced share of this priority
  };

  void UpdateAverages(double elapsedSeconds, double idle);
  void DecayComposition(PriorityState& priority, double elapsedSeconds) const;
  void ComputeShares(double capacity, double idle);
  static void DivideAmongAccounts(PriorityState& priority, double capacity);
  [[nodiscard]] static double RateOf(const PriorityState& priority, const Demand& demand);

  ThresholdControllerOptions options_;
  std::array<PriorityState, kPriorityCount> priorities_;
  double occupancy_ = 0.0;      // decayed integral of the requests in flight, in request seconds
  double finished_ = 0.0;       // decayed count of completed requests
  int refusals_ = 0;            // since the last computation
  double capacityFactor_ = 1.0; // corrects the capacity estimate by the signs of overload
  int marginal_ = kPriorityCount - 1;
  bool isOpen_ = true;
  TimePoint lastUpdate_;
  TimePoint lastOccupancyUpdate_;
};

} // namespace acp
