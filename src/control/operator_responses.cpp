#include <algorithm> // min
#include <sstream>   // ostringstream

#include <Poco/JSON/Object.h>

#include "acaciapulley/control/detail/operator_api.hpp"

namespace acp::detail {

namespace {

/// HTTP status and advice for an error code.
struct ErrorMapping
{
  ControlErrorCode code;
  int status;
  const char* next;
};

constexpr const char* kResendAdvice =
  "resend the command with the same --request-id; it is applied "
  "at most once";
constexpr ErrorMapping kErrorMappings[] = {
  { ControlErrorCode::InvalidDocument,
    400,
    "correct the document and check it with acpctl config check FILE" },
  { ControlErrorCode::VersionConflict,
    409,
    "acpctl config get SERVICE, then reapply the change and put it" },
  { ControlErrorCode::KeyRefused, 409, "acpctl key list ACCOUNT" },
  { ControlErrorCode::RequestIdReused, 409, "omit --request-id to get a new one" },
  { ControlErrorCode::TooManyRequests, 429, "wait until requests older than 24 h have expired" },
  { ControlErrorCode::TooManyKeys, 429, "acpctl key withdraw ACCOUNT KEY-ID" },
  { ControlErrorCode::TooManyServices, 429, "put a document for an existing service" },
  { ControlErrorCode::TooManyEvacuations, 429, "acpctl evacuation finish DATA-CENTRE" },
  { ControlErrorCode::InvalidRequest, 400, "see acpctl --help" },
  { ControlErrorCode::ReplaceRefused,
    409,
    "acpctl control status; NEW-ID must be a non-voting replica that has caught up" },
  { ControlErrorCode::UnsupportedCall, 501, "upgrade acp-control" },
  { ControlErrorCode::Unconfirmed, 504, kResendAdvice },
  { ControlErrorCode::Unavailable, 504, kResendAdvice },
  { ControlErrorCode::NotLeader, 503, "retry in 1 s, or use another control address" },
};

} // namespace

OperatorResponse MakeError(int status,
                           int code,
                           std::string_view name,
                           const std::string& message,
                           const std::string& next)
{
  Poco::JSON::Object object;
  object.set("error", message);
  object.set("code", code);
  object.set("name", std::string(name));
  object.set("next", next);
  std::ostringstream text;
  object.stringify(text);
  return { .status = status, .json = text.str() };
}

OperatorResponse MakeError(const ControlError& error)
{
  for (const auto& rule : kErrorMappings) {
    if (rule.code == error.code) {
      return MakeError(
        rule.status, static_cast<int>(error.code), NameOf(error.code), error.message, rule.next);
    }
  }
  return MakeError(500,
                   static_cast<int>(error.code),
                   NameOf(error.code),
                   error.message,
                   "report this error together with the log of acp-control");
}

OperatorResponse MakeNotLeader(const ReplicaStatus& status)
{
  if (status.isLeader || status.leaderOperatorAddress.empty()) {
    return MakeError(
      { ControlErrorCode::NotLeader, "no control replica is known to be the leader" });
  }
  auto response = MakeError(421,
                            static_cast<int>(ControlErrorCode::NotLeader),
                            NameOf(ControlErrorCode::NotLeader),
                            "this replica is not the leader",
                            "send the request to the leader at " + status.leaderOperatorAddress);
  response.leader = status.leaderOperatorAddress;
  return response;
}

std::string QueryValue(const std::string& query, std::string_view name)
{
  std::size_t start = 0;
  while (start < query.size()) {
    const std::size_t end = std::min(query.find('&', start), query.size());
    const std::string part = query.substr(start, end - start);
    const std::size_t equals = part.find('=');
    if (equals != std::string::npos && part.substr(0, equals) == name) {
      return part.substr(equals + 1);
    }
    start = end + 1;
  }
  return "";
}

} // namespace acp::detail
