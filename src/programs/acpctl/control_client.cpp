#include "control_client.hpp"

#include <optional> // optional
#include <thread>   // sleep_for
#include <utility>  // move

#include "acaciapulley/transport/http_client.hpp" // HttpPool

namespace acp {

namespace {

// A key withdrawal waits up to 5 s for confirmations after up to 3 s for the log.
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);
// A question can go to the next replica soon: a frozen host accepts connections and never answers.
constexpr Duration kReadTimeout = std::chrono::seconds(2);
constexpr Duration kPause = std::chrono::milliseconds(300);
constexpr std::size_t kMaxAnswerBytes = 16'777'216;
constexpr int kUnauthorized = 401;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kUnconfirmed = 504;

} // namespace

/// What came of one connection.
struct ControlClient::Attempt
{
  bool mayHaveArrived = false;
  bool isFinal = false; ///< an answer that no other replica would change
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
  const std::string where = address.ToString() + ": ";
  const auto sent =
    pool.Send(head, body, length, request.requestId.empty() ? kReadTimeout : kAnswerTimeout);
  if (!sent) {
    return { .mayHaveArrived = sent.error().code != TransportErrorCode::Unreachable,
             .problem = where + sent.error().Describe() };
  }
  Attempt attempt{ .mayHaveArrived = true, .status = sent.value()->Response().status };
  try {
    auto read = ReadAll(sent.value()->Body(), kMaxAnswerBytes);
    if (!read) {
      attempt.problem = where + "the answer is too large";
      return attempt;
    }
    attempt.body = *std::move(read);
  } catch (const BodyTruncated&) {
    attempt.problem = where + "the answer ended too early";
    return attempt;
  }
  attempt.problem = where + attempt.body;
  // A replica that does not lead has not looked at the change.
  const bool isRefusedUnseen = attempt.status == kMisdirected || attempt.status == kUnavailable;
  attempt.mayHaveArrived = !isRefusedUnseen;
  attempt.isFinal = !isRefusedUnseen && attempt.status != kUnconfirmed;
  const auto leader = sent.value()->Response().headers.Find("Acp-Leader");
  if (leader) {
    const auto parsed = Address::Parse(*leader);
    attempt.leader = parsed ? std::optional(parsed.value()) : std::nullopt;
  }
  return attempt;
}

ControlReply ControlClient::Call(const ControlRequest& request)
{
  const bool isChange = !request.requestId.empty();
  const TimePoint end = options_.clock->Now() + options_.patience;
  bool mayHaveArrived = false;
  Attempt attempt;
  std::optional<Address> leader;
  std::size_t tried = 0;
  do {
    const bool isHinted = leader.has_value();
    const Address address = isHinted ? *leader : options_.replicas[current_];
    attempt = Send(address, request);
    const bool isDoubtful = mayHaveArrived && attempt.status == kUnauthorized;
    if (attempt.isFinal && !isDoubtful) {
      return { .end = RequestEnd::Answered, .status = attempt.status, .body = attempt.body };
    }
    mayHaveArrived = mayHaveArrived || (isChange && attempt.mayHaveArrived);
    // A hint is followed once; a hint from the hinted replica is as old as the one before.
    leader = isHinted ? std::nullopt : attempt.leader;
    if (!leader) {
      current_ = (current_ + 1) % options_.replicas.size();
      ++tried;
    }
    if (!leader && tried % options_.replicas.size() == 0) {
      std::this_thread::sleep_for(kPause);
    }
  } while (options_.clock->Now() < end);
  return { .end = mayHaveArrived ? RequestEnd::Unknown : RequestEnd::Unreachable,
           .problem = attempt.problem };
}

} // namespace acp
