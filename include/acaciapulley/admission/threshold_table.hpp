#pragma once

/// @file
/// Thresholds that a node has received from its callees in `Acp-Threshold`. With them the entry
/// node refuses requests that a service deeper in the call graph would refuse.

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint

namespace acp {

/// Settings of ThresholdTable.
struct ThresholdTableOptions
{
  Duration holdTime = std::chrono::milliseconds(200); ///< before a threshold starts to rise
  double reopenPerSecond = 3.0; ///< levels (priorities) by which it then rises
  Duration callTimeConstant = std::chrono::seconds(10); ///< time constant of the calls per request
  std::size_t maxAccounts = 1000; ///< per class and callee; others share an entry
  std::string seed;               ///< e.g. the node id; makes nodes admit different requests first
  bool enabled = true;            ///< false: admit everything (for comparison)
  /// False: one threshold for all accounts of a class. If the requests of many accounts are spread
  /// over many nodes, a node sees too few requests of one account to keep a threshold per account.
  bool byAccount = true;
};

/// A callee: a request class of a service.
struct CalleeClass
{
  std::string service;
  std::string requestClass;

  auto operator<=>(const CalleeClass&) const = default;
};

/// Thresholds received in responses, by the local request class that made the call.
///
/// If only a fraction of the requests of a class calls a callee, only that fraction is subject to
/// the callee's threshold. A threshold that is not refreshed by a response rises with its age, so
/// that an unresponsive callee does not block its callers forever.
///
/// Not thread-safe.
class ThresholdTable
{
public:
  explicit ThresholdTable(ThresholdTableOptions options = {});

  /// @brief Records that a request of @p callerClass was started; the divisor of the calls per
  /// request.
  void OnRequest(const std::string& callerClass, TimePoint now);

  /// @brief Records a call to @p callee made by a request of @p callerClass.
  void OnCall(const std::string& callerClass, const CalleeClass& callee, TimePoint now);

  /// @brief Records the threshold received in a response, including a refusal.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const AdmissionThreshold& threshold,
                       TimePoint now);

  /// @brief Decides whether a root request should be started. Must be called once per request.
  ///
  /// The admitted share of an account is met exactly by carrying the remainder from request to
  /// request. Independent random decisions would give a small account with 1,000 admissions a
  /// deviation of 3%.
  /// @par Example
  /// @code
  /// if (!table.AdmitRequest("history", account, priority, now)) {
  ///   RefuseNotRun(exchange, 503, acp::Reason::Overloaded, "a called service is overloaded");
  /// }
  /// @endcode
  [[nodiscard]] bool AdmitRequest(const std::string& callerClass,
                                  const std::string& account,
                                  int priority,
                                  TimePoint now);

  /// @brief Returns whether a nested call should be sent: false if the callee admits no requests of
  /// its priority. The share of the marginal priority has already been applied to the root request.
  [[nodiscard]] bool AdmitsCall(const std::string& callerClass,
                                const CalleeClass& callee,
                                const std::string& account,
                                int priority,
                                TimePoint now) const;

  /// @brief Returns the strictest threshold among the callees with at least 0.5 calls per request
  /// of
  /// @p callerClass. Callers receive the stricter of this threshold and that of the local gate.
  [[nodiscard]] AdmissionThreshold CombinedThreshold(const std::string& callerClass,
                                                     const std::string& account,
                                                     TimePoint now) const;

  /// @brief Returns the number of calls to @p callee per request of @p callerClass, 1 if unknown.
  [[nodiscard]] double CallsPerRequest(const std::string& callerClass,
                                       const CalleeClass& callee) const;

  /// @brief Returns whether any callee of @p callerClass refuses some requests of @p priority.
  [[nodiscard]] bool IsOverloaded(const std::string& callerClass,
                                  const std::string& account,
                                  int priority,
                                  TimePoint now) const;

private:
  struct DecayingCounter
  {
    double value = 0.0;
    TimePoint at{};

    void Add(TimePoint now, Duration timeConstant);
  };

  struct ReceivedThreshold
  {
    AdmissionThreshold threshold;
    TimePoint at{};
  };

  struct Callee
  {
    DecayingCounter calls;
    std::map<std::string, ReceivedThreshold> accounts;
    ReceivedThreshold latest; // for accounts without an entry
  };

  struct CallerClass
  {
    DecayingCounter requests;
    std::map<CalleeClass, Callee> callees;
    std::map<std::string, double>
      credits; // by account: fraction of an admission carried over, below 1
  };

  [[nodiscard]] AdmissionThreshold CurrentThreshold(const Callee& callee,
                                                    const std::string& account,
                                                    TimePoint now) const;
  [[nodiscard]] double AdmittedShare(const CallerClass& caller,
                                     const std::string& account,
                                     int priority,
                                     TimePoint now) const;
  [[nodiscard]] AdmissionThreshold AgedThreshold(const ReceivedThreshold& received,
                                                 TimePoint now) const;
  [[nodiscard]] static double CallsPerRequest(const CallerClass& caller, const Callee& callee);

  ThresholdTableOptions options_;
  std::map<std::string, CallerClass> classes_;
};

} // namespace acp
