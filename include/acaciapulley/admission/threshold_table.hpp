#pragma once

/// @file
/// What a node has learnt from its callees' `Acp-Threshold`, so that the first node refuses what a
/// deep service would refuse.

#include <cstddef> // size_t
#include <map>     // map
#include <string>  // string

#include "acaciapulley/admission/load_report.hpp" // AdmissionThreshold
#include "acaciapulley/core/clock.hpp"            // Duration, TimePoint

namespace acp {

/// Settings of ThresholdTable.
struct ThresholdTableOptions
{
  Duration holdTime = std::chrono::milliseconds(200); ///< a threshold stays as learnt for this long
  double reopenPerSecond = 3.0; ///< levels (priorities) by which an older threshold rises
  Duration callTimeConstant = std::chrono::seconds(10); ///< time constant of the calls per request
  std::size_t maxAccounts = 1000; ///< accounts per class and callee; further ones share an entry
  std::string seed;    ///< for example the node's id; spreads which requests the nodes admit first
  bool enabled = true; ///< false: admits everything (for comparison)
  /// False: one threshold for all accounts of a class. Where many nodes share the requests of many
  /// accounts, a node sees too few of one account to learn a threshold of its own.
  bool byAccount = true;
};

/// A callee: one request class of one service.
struct CalleeClass
{
  std::string service;
  std::string requestClass;

  auto operator<=>(const CalleeClass&) const = default;
};

/// Thresholds learnt from answers, by the own request class that made the call.
///
/// A class that reaches a callee in a part of its requests only is refused in that part only. A
/// threshold that no answer confirms rises with its age, so a silent callee does not block its
/// callers for ever.
///
/// Not thread-safe.
class ThresholdTable
{
public:
  explicit ThresholdTable(ThresholdTableOptions options = {});

  /// @brief Records that a request of @p callerClass was started, the base of the calls per
  /// request.
  void OnRequest(const std::string& callerClass, TimePoint now);

  /// @brief Records a call that a request of @p callerClass makes.
  void OnCall(const std::string& callerClass, const CalleeClass& callee, TimePoint now);

  /// @brief Records the threshold in an answer, also in a refusal.
  void UpdateThreshold(const std::string& callerClass,
                       const CalleeClass& callee,
                       const std::string& account,
                       const AdmissionThreshold& threshold,
                       TimePoint now);

  /// @brief Returns whether a root request should be started; to be asked once for each.
  ///
  /// The admitted share of an account is kept exactly by carrying the remainder from request to
  /// request. Independent random choices would leave a small account with 1,000 admissions a
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

  /// @brief Returns whether a nested call should be sent: not if the callee admits nothing of its
  /// priority. The share of the marginal priority was applied to the root request already.
  [[nodiscard]] bool AdmitsCall(const std::string& callerClass,
                                const CalleeClass& callee,
                                const std::string& account,
                                int priority,
                                TimePoint now) const;

  /// @brief Returns the strictest threshold among the callees that at least half of the requests
  /// of @p callerClass reach; to be combined with the own gate's and sent to callers.
  [[nodiscard]] AdmissionThreshold CombinedThreshold(const std::string& callerClass,
                                                     const std::string& account,
                                                     TimePoint now) const;

  /// @brief Returns the calls of @p callee per request of @p callerClass, 1 when unknown.
  [[nodiscard]] double CallsPerRequest(const std::string& callerClass,
                                       const CalleeClass& callee) const;

  /// @brief Returns whether some callee of @p callerClass refuses a part of the requests of a
  /// priority.
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
    ReceivedThreshold latest; // for accounts without an own entry of late
  };

  struct CallerClass
  {
    DecayingCounter requests;
    std::map<CalleeClass, Callee> callees;
    std::map<std::string, double> credits; // by account: admissions due, below 1
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
