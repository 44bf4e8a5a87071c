#include "acaciapulley/control/operator_request_store.hpp"

#include <utility> // move

#include <fmt/format.h> // format

namespace acp {

ControlResult<const AnsweredRequest*> OperatorRequestStore::Find(
  const RequestOrigin& origin,
  const std::string& fingerprint) const
{
  const auto found = byOrigin_.find(origin);
  if (found == byOrigin_.end()) {
    if (byOrigin_.size() >= kMaxRequests) {
      return Fail(
        ControlErrorCode::TooManyRequests,
        fmt::format("limit of {} requests within 24 h reached; retry later", kMaxRequests));
    }
    return nullptr;
  }
  if (found->second.fingerprint != fingerprint) {
    return Fail(
      ControlErrorCode::RequestIdReused,
      fmt::format("request id '{}' was already used for a different change; use a new one",
                  origin.requestId));
  }
  return &found->second;
}

void OperatorRequestStore::Record(AnsweredRequest request)
{
  RequestOrigin origin = request.origin;
  const std::int64_t time = CountMillis(request.time);
  if (byOrigin_.emplace(origin, std::move(request)).second) {
    byTime_.emplace(time, std::move(origin));
  }
}

void OperatorRequestStore::Expire(UnixMillis now)
{
  const std::int64_t bound = CountMillis(now) - kRequestRetention.count();
  while (!byTime_.empty() && byTime_.begin()->first <= bound) {
    byOrigin_.erase(byTime_.begin()->second);
    byTime_.erase(byTime_.begin());
  }
}

std::vector<AnsweredRequest> OperatorRequestStore::All() const
{
  std::vector<AnsweredRequest> requests;
  for (const auto& [origin, request] : byOrigin_) {
    requests.push_back(request);
  }
  return requests;
}

void OperatorRequestStore::Restore(const std::vector<AnsweredRequest>& requests)
{
  byOrigin_.clear();
  byTime_.clear();
  for (const auto& request : requests) {
    Record(request);
  }
}

} // namespace acp
