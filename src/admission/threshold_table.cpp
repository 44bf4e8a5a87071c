#include "acaciapulley/admission/threshold_table.hpp"

#include <algorithm>  // max, min
#include <cmath>      // exp
#include <functional> // hash
#include <utility>    // move

namespace acp {

namespace {

// A callee that fewer requests reach is not passed on to callers: a threshold has no way to say
// that it concerns a part of the requests only.
constexpr double kPassedOnCalls = 0.5;

// Returns a number in [0, 1).
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

void ThresholdTable::Counter::Add(TimePoint now, Duration memory)
{
  value = value * std::exp(-Seconds(now - at) / Seconds(memory)) + 1.0;
  at = now;
}

void ThresholdTable::OnRequest(const std::string& ownClass, TimePoint now)
{
  classes_[ownClass].requests.Add(now, options_.callMemory);
}

void ThresholdTable::OnCall(const std::string& ownClass, const CalleeClass& callee, TimePoint now)
{
  classes_[ownClass].callees[callee].calls.Add(now, options_.callMemory);
}

void ThresholdTable::Learn(const std::string& ownClass,
                           const CalleeClass& callee,
                           const std::string& account,
                           const AdmissionThreshold& threshold,
                           TimePoint now)
{
  Callee& entry = classes_[ownClass].callees[callee];
  entry.latest = { .threshold = threshold, .at = now };
  const bool isKept =
    entry.accounts.size() < options_.maxAccounts || entry.accounts.contains(account);
  if (options_.byAccount && isKept) {
    entry.accounts[account] = entry.latest;
  }
}

double ThresholdTable::CallsPerRequest(const OwnClass& own, const Callee& callee)
{
  return own.requests.value > 0.0 ? callee.calls.value / own.requests.value : 1.0;
}

double ThresholdTable::CallsPerRequest(const std::string& ownClass, const CalleeClass& callee) const
{
  const auto own = classes_.find(ownClass);
  if (own == classes_.end() || !own->second.callees.contains(callee)) {
    return 1.0;
  }
  return CallsPerRequest(own->second, own->second.callees.at(callee));
}

AdmissionThreshold ThresholdTable::Aged(const Learnt& learnt, TimePoint now) const
{
  const Duration age = now - learnt.at;
  if (age <= options_.hold) {
    return learnt.threshold;
  }
  const double risen = Seconds(age - options_.hold) * options_.reopenPerSecond;
  return AdmissionThreshold::FromLevel(learnt.threshold.Level() + risen);
}

AdmissionThreshold ThresholdTable::Current(const Callee& callee,
                                           const std::string& account,
                                           TimePoint now) const
{
  const auto found = callee.accounts.find(account);
  return Aged(found == callee.accounts.end() ? callee.latest : found->second, now);
}

double ThresholdTable::AdmittedShare(const OwnClass& own,
                                     const std::string& account,
                                     int priority,
                                     TimePoint now) const
{
  double admitted = 1.0;
  for (const auto& [name, callee] : own.callees) {
    // Of the requests that the callee would refuse, only those that reach it are refused.
    const double reach = std::min(1.0, CallsPerRequest(own, callee));
    const double share = Current(callee, account, now).ShareOf(priority);
    admitted = std::min(admitted, 1.0 - reach * (1.0 - share));
  }
  return admitted;
}

bool ThresholdTable::AdmitsRequest(const std::string& ownClass,
                                   const std::string& account,
                                   int priority,
                                   TimePoint now)
{
  const auto own = classes_.find(ownClass);
  if (!options_.enabled || own == classes_.end()) {
    return true;
  }
  auto& credits = own->second.credits;
  const bool isKept = credits.size() < options_.maxAccounts || credits.contains(account);
  const std::string key = isKept ? account : std::string();
  const double first = UniformHash(options_.seed + '/' + ownClass + '/' + key);
  const auto credit = credits.try_emplace(key, first).first;
  const double due = credit->second + AdmittedShare(own->second, account, priority, now);
  const bool isAdmitted = due >= 1.0;
  credit->second = isAdmitted ? due - 1.0 : due;
  return isAdmitted;
}

bool ThresholdTable::AdmitsCall(const std::string& ownClass,
                                const CalleeClass& callee,
                                const std::string& account,
                                int priority,
                                TimePoint now) const
{
  const auto own = classes_.find(ownClass);
  if (!options_.enabled || own == classes_.end() || !own->second.callees.contains(callee)) {
    return true;
  }
  return Current(own->second.callees.at(callee), account, now).ShareOf(priority) > 0.0;
}

bool ThresholdTable::IsOverloaded(const std::string& ownClass,
                                  const std::string& account,
                                  int priority,
                                  TimePoint now) const
{
  const auto own = classes_.find(ownClass);
  return options_.enabled && own != classes_.end() &&
         AdmittedShare(own->second, account, priority, now) < 1.0;
}

AdmissionThreshold ThresholdTable::Combined(const std::string& ownClass,
                                            const std::string& account,
                                            TimePoint now) const
{
  AdmissionThreshold combined;
  const auto own = classes_.find(ownClass);
  if (!options_.enabled || own == classes_.end()) {
    return combined;
  }
  for (const auto& [name, callee] : own->second.callees) {
    if (CallsPerRequest(own->second, callee) >= kPassedOnCalls) {
      combined = Stricter(combined, Current(callee, account, now));
    }
  }
  return combined;
}

} // namespace acp
