#include "acaciapulley/node/detail/threshold_book.hpp"

namespace acp::detail {

bool ThresholdBook::AdmitsRequest(const std::string& ownClass, const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  const bool admits = table_.AdmitRequest(ownClass, context.account, context.priority, now);
  if (admits) {
    table_.OnRequest(ownClass, now);
  }
  return admits;
}

bool ThresholdBook::AdmitsCall(const std::string& ownClass,
                               const CalleeClass& callee,
                               const RequestContext& context)
{
  const std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  table_.OnCall(ownClass, callee, now);
  return table_.AdmitsCall(ownClass, callee, context.account, context.priority, now);
}

void ThresholdBook::NoteRequest(const std::string& ownClass)
{
  const std::lock_guard lock(mutex_);
  table_.OnRequest(ownClass, clock_.Now());
}

void ThresholdBook::NoteCall(const std::string& ownClass, const CalleeClass& callee)
{
  const std::lock_guard lock(mutex_);
  table_.OnCall(ownClass, callee, clock_.Now());
}

void ThresholdBook::Learn(const std::string& ownClass,
                          const CalleeClass& callee,
                          const std::string& account,
                          const std::string& header)
{
  const auto threshold = ParseThreshold(header);
  if (threshold) {
    Learn(ownClass, callee, account, threshold.value());
  }
}

void ThresholdBook::Learn(const std::string& ownClass,
                          const CalleeClass& callee,
                          const std::string& account,
                          const AdmissionThreshold& threshold)
{
  const std::lock_guard lock(mutex_);
  table_.UpdateThreshold(ownClass, callee, account, threshold, clock_.Now());
}

bool ThresholdBook::IsOverloaded(const std::string& ownClass, const RequestContext& context) const
{
  const std::lock_guard lock(mutex_);
  return table_.IsOverloaded(ownClass, context.account, context.priority, clock_.Now());
}

AdmissionThreshold ThresholdBook::Combined(const std::string& ownClass,
                                           const std::string& account) const
{
  const std::lock_guard lock(mutex_);
  return table_.CombinedThreshold(ownClass, account, clock_.Now());
}

} // namespace acp::detail
