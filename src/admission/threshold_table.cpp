#include "acaciapulley/admission/threshold_table.hpp"

#include <algorithm>  // max, min
#include <cmath>      // exp
#include <functional> // hash
#include <utility>    // move

namespace acp {

namespace {

// The threshold of a callee with fewer calls per request is not propagated to callers, because a
// threshold cannot express that it applies to a fraction of the requests only.
constexpr double kMinPropagatedCalls = 0.5;

// Returns a value in [0, 1).
double UniformHash(const std::string& text)
{
  constexpr std::size_t kBuckets = 1024;
  return static_cast<double>(std::hash<std::string>()(text) % kBuckets) / kBuckets;
}

double Seconds(Duration span)
{
  return std::chrono::duration<double>(span).count();
}

} // namespace

ThresholdTable::ThresholdTable(ThresholdTableOptions options)
  : options_(std::move(options))
{
}

void ThresholdTable::DecayingCounter::Add(TimePoint now, Duration timeConstant)
{
  value = value * std::exp(-Seconds(now - at) / Seconds(timeConstant)) + 1.0;
  at = now;
}

void ThresholdTable::OnRequest(const std::string& callerClass, TimePoint now)
{
  classes_[callerClass].requests.Add(now, options_.callTimeConstant);
}

void ThresholdTable::OnCall(const std::string& callerClass,
                            const CalleeClass& callee,
                            TimePoint now)
{
  classes_[callerClass].callees[callee].calls.Add(now, options_.callTimeConstant);
}

void ThresholdTable::UpdateThreshold(const std::string& callerClass,
                                     const CalleeClass& callee,
                                     const std::string& account,
                                     const AdmissionThreshold& threshold,
                                     TimePoint now)
{
  Callee& entry = classes_[callerClass].callees[callee];
  entry.latest = { .threshold = threshold, .at = now };
  const bool hasOwnEntry =
    entry.accounts.size() < options_.maxAccounts || entry.accounts.contains(account);
  if (options_.byAccount && hasOwnEntry) {
    entry.accounts[account] = entry.latest;
  }
}

double ThresholdTable::CallsPerRequest(const CallerClass& caller, const Callee& callee)
{
  return caller.requests.value > 0.0 ? callee.calls.value / caller.requests.value : 1.0;
}

double ThresholdTable::CallsPerRequest(const std::string& callerClass,
                                       const CalleeClass& callee) const
{
  const auto caller = classes_.find(callerClass);
  if (caller == classes_.end() || !caller->second.callees.contains(callee)) {
    return 1.0;
  }
  return CallsPerRequest(caller->second, caller->second.callees.at(callee));
}

AdmissionThreshold ThresholdTable::AgedThreshold(const ReceivedThreshold& received,
                                                 TimePoint now) const
{
  const Duration age = now - received.at;
  if (age <= options_.holdTime) {
    return received.threshold;
  }
  const double risen = Seconds(age - options_.holdTime) * options_.reopenPerSecond;
  return AdmissionThreshold::FromLevel(received.threshold.Level() + risen);
}

AdmissionThreshold ThresholdTable::CurrentThreshold(const Callee& callee,
                                                    const std::string& account,
                                                    TimePoint now) const
{
  const auto found = callee.accounts.find(account);
  return AgedThreshold(found == callee.accounts.end() ? callee.latest : found->second, now);
}

double ThresholdTable::AdmittedShare(const CallerClass& caller,
                                     const std::string& account,
                                     int priority,
                                     TimePoint now) const
{
  double admitted = 1.0;
  for (const auto& [name, callee] : caller.callees) {
    // Only the fraction of the requests that call the callee is subject to its threshold.
    const double reach = std::min(1.0, CallsPerRequest(caller, callee));
    const double share = CurrentThreshold(callee, account, now).ShareOf(priority);
    admitted = std::min(admitted, 1.0 - reach * (1.0 - share));
  }
  return admitted;
}

bool ThresholdTable::AdmitRequest(const std::string& callerClass,
                                  const std::string& account,
                                  int priority,
                                  TimePoint now)
{
  const auto caller = classes_.find(callerClass);
  if (!options_.enabled || caller == classes_.end()) {
    return true;
  }
  auto& credits = caller->second.credits;
  const bool hasOwnEntry = credits.size() < options_.maxAccounts || credits.contains(account);
  const std::string key = hasOwnEntry ? account : std::string();
  const double first = UniformHash(options_.seed + '/' + callerClass + '/' + key);
  const auto credit = credits.try_emplace(key, first).first;
  const double due = credit->second + AdmittedShare(caller->second, account, priority, now);
  const bool isAdmitted = due >= 1.0;
  credit->second = isAdmitted ? due - 1.0 : due;
  return isAdmitted;
}

bool ThresholdTable::AdmitsCall(const std::string& callerClass,
                                const CalleeClass& callee,
                                const std::string& account,
                                int priority,
                                TimePoint now) const
{
  const auto caller = classes_.find(callerClass);
  if (!options_.enabled || caller == classes_.end() || !caller->second.callees.contains(callee)) {
    return true;
  }
  return CurrentThreshold(caller->second.callees.at(callee), account, now).ShareOf(priority) > 0.0;
}

bool ThresholdTable::IsOverloaded(const std::string& callerClass,
                                  const std::string& account,
                                  int priority,
                                  TimePoint now) const
{
  const auto caller = classes_.find(callerClass);
  return options_.enabled && caller != classes_.end() &&
         AdmittedShare(caller->second, account, priority, now) < 1.0;
}

AdmissionThreshold ThresholdTable::CombinedThreshold(const std::string& callerClass,
                                                     const std::string& account,
                                                     TimePoint now) const
{
  AdmissionThreshold combined;
  const auto caller = classes_.find(callerClass);
  if (!options_.enabled || caller == classes_.end()) {
    return combined;
  }
  for (const auto& [name, callee] : caller->second.callees) {
    if (CallsPerRequest(caller->second, callee) >= kMinPropagatedCalls) {
      combined = Stricter(combined, CurrentThreshold(callee, account, now));
    }
  }
  return combined;
}

} // namespace acp
