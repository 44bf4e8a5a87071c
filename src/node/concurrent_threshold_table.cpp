#include "acaciapulley/node/detail/concurrent_threshold_table.hpp"

namespace acp::detail {

bool ConcurrentThresholdTable::AdmitRequest(const std::string& callerClass,
                                            const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  const bool admits = table_.AdmitRequest(callerClass, context.account, context.priority, now);
  if (admits) {
    table_.OnRequest(callerClass, now);
  }
  return admits;
}

bool ConcurrentThresholdTable::AdmitsCall(const std::string& callerClass,
                                          const CalleeClass& callee,
                                          const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  table_.OnCall(callerClass, callee, now);
  return table_.AdmitsCall(callerClass, callee, context.account, context.priority, now);
}

void ConcurrentThresholdTable::RecordRequest(const std::string& callerClass)
{
  const std::lock_guard lock(mutex_);
  table_.OnRequest(callerClass, clock_.Now());
}

void ConcurrentThresholdTable::RecordCall(const std::string& callerClass, const CalleeClass& callee)
{
  const std::lock_guard lock(mutex_);
  table_.OnCall(callerClass, callee, clock_.Now());
}

void ConcurrentThresholdTable::UpdateThreshold(const std::string& callerClass,
                                               const CalleeClass& callee,
                                               const std::string& account,
                                               const std::string& header)
{
  const auto threshold = ParseThreshold(header);
  if (threshold) {
    UpdateThreshold(callerClass, callee, account, threshold.value());
  }
}

void ConcurrentThresholdTable::UpdateThreshold(const std::string& callerClass,
                                               const CalleeClass& callee,
                                               const std::string& account,
                                               const AdmissionThreshold& threshold)
{
  const std::lock_guard lock(mutex_);
  table_.UpdateThreshold(callerClass, callee, account, threshold, clock_.Now());
}

bool ConcurrentThresholdTable::IsOverloaded(const std::string& callerClass,
                                            const RequestContext& context) const
{
  const std::lock_guard lock(mutex_);
  return table_.IsOverloaded(callerClass, context.account, context.priority, clock_.Now());
}

AdmissionThreshold ConcurrentThresholdTable::CombinedThreshold(const std::string& callerClass,
                                                               const std::string& account) const
{
  const std::lock_guard lock(mutex_);
  return table_.CombinedThreshold(callerClass, account, clock_.Now());
}

} // namespace acp::detail
