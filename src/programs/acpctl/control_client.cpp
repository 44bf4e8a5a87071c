#include "control_client.hpp"

#include <optional> // optional
#include <thread>   // sleep_for
#include <utility>  // move

#include "acaciapulley/transport/http_client.hpp" // HttpPool

namespace acp {

namespace {

// Revoking a key waits up to 3 s for the log and then up to 5 s for confirmations.
constexpr Duration kChangeTimeout = std::chrono::seconds(10);
// Reads move on to the next replica early, since a frozen host accepts connections but never
// responds.
constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
constexpr std::size_t kMaxResponseBytes = 16'777'216;
constexpr int kUnauthorized = 401;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kUnconfirmed = 504;

} // namespace

/// Result of sending a request to one replica.
struct ControlClient::Attempt
{
  bool mayHaveArrived = false;
  bool isFinal = false; ///< another replica would not respond differently
  int status = 0;
  std::string body;
  std::string problem;
  std::optional<Address> leader;
};

ControlClient::ControlClient(ControlClientOptions options)
  : options_(std::move(options))
{
}

ControlClient::Attempt ControlClient::Send(const Address& address,
                                           const ControlRequest& request) const
{
  HttpPool pool({ .address = address, .maxConnections = 1 });
  HttpRequestHead head{ .method = request.method, .target = request.target };
  head.headers.Set("Authorization", "Bearer " + options_.operatorKey);
  if (!request.requestId.empty()) {
    head.headers.Set("Acp-Request-Id", request.requestId);
  }
  if (!request.ifVersion.empty()) {
    head.headers.Set("If-Version", request.ifVersion);
  }
  StringBody body(request.body);
  const auto length = static_cast<std::int64_t>(request.body.size());
  const std::string addressPrefix = address.ToString() + ": ";
  const auto sent =
    pool.Send(head, body, length, request.requestId.empty() ? kReadTimeout : kChangeTimeout);
  if (!sent) {
    return { .mayHaveArrived = sent.error().code != TransportErrorCode::Unreachable,
             .problem = addressPrefix + sent.error().Describe() };
  }
  Attempt attempt{ .mayHaveArrived = true, .status = sent.value()->Response().status };
  try {
    auto read = ReadAll(sent.value()->Body(), kMaxResponseBytes);
    if (!read) {
      attempt.problem = addressPrefix + "the response is too large";
      return attempt;
    }
    attempt.body = *std::move(read);
  } catch (const BodyTruncated&) {
    attempt.problem = addressPrefix + "the response is truncated";
    return attempt;
  }
  attempt.problem = addressPrefix + attempt.body;
  // A replica that does not lead has not processed the change.
  const bool isNotProcessed = attempt.status == kMisdirected || attempt.status == kUnavailable;
  attempt.mayHaveArrived = !isNotProcessed;
  attempt.isFinal = !isNotProcessed && attempt.status != kUnconfirmed;
  const auto leader = sent.value()->Response().headers.Find("Acp-Leader");
  if (leader) {
    const auto parsed = Address::Parse(*leader);
    attempt.leader = parsed ? std::optional(parsed.value()) : std::nullopt;
  }
  return attempt;
}

ControlResponse ControlClient::Call(const ControlRequest& request)
{
  const bool isChange = !request.requestId.empty();
  const TimePoint end = options_.clock->Now() + options_.timeout;
  bool mayHaveArrived = false;
  Attempt attempt;
  std::optional<Address> leader;
  std::size_t tried = 0;
  do {
    const bool isLeaderHint = leader.has_value();
    const Address address = isLeaderHint ? *leader : options_.replicas[currentReplica_];
    attempt = Send(address, request);
    const bool isInconclusive = mayHaveArrived && attempt.status == kUnauthorized;
    if (attempt.isFinal && !isInconclusive) {
      return { .result = RequestResult::Answered, .status = attempt.status, .body = attempt.body };
    }
    mayHaveArrived = mayHaveArrived || (isChange && attempt.mayHaveArrived);
    // A hint is followed once, since a hint from the hinted replica may be as stale as the first.
    leader = isLeaderHint ? std::nullopt : attempt.leader;
    if (!leader) {
      currentReplica_ = (currentReplica_ + 1) % options_.replicas.size();
      ++tried;
    }
    if (!leader && tried % options_.replicas.size() == 0) {
      std::this_thread::sleep_for(kRetryPause);
    }
  } while (options_.clock->Now() < end);
  return { .result = mayHaveArrived ? RequestResult::Unknown : RequestResult::Unreachable,
           .problem = attempt.problem };
}

} // namespace acp
