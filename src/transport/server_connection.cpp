#include "acaciapulley/transport/detail/server_connection.hpp"

#include <algorithm> // min
#include <array>     // array
#include <exception> // exception
#include <utility>   // exchange, move

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <fmt/format.h>
#include <sys/socket.h> // shutdown

#include "acaciapulley/core/log.hpp"                         // Log
#include "acaciapulley/core/outcome.hpp"                     // Reason, RequestOutcome
#include "acaciapulley/transport/detail/http_framing.hpp"    // ParseRequestHead
#include "acaciapulley/transport/detail/server_exchange.hpp" // ConnectionExchange

namespace acp::detail {

namespace {

constexpr Duration kLingerTime = std::chrono::seconds(1);
// Between two looks at the output that is not acknowledged yet.
constexpr Duration kLingerPollInterval = std::chrono::milliseconds(100);
// After a stop, a request in transit on an idle connection is still served.
constexpr Duration kStopGrace = std::chrono::milliseconds(100);
// Input that arrives this soon after a response was probably sent before the caller had read it. A
// closer caller that does read it first only costs the wait for further input while a request runs.
constexpr Duration kPipelinedInputGap = std::chrono::microseconds(500);
constexpr Duration kLongestWait = std::chrono::hours(1);
constexpr Duration kRefusalTimeout = std::chrono::seconds(1);
constexpr std::string_view kHeartbeatTarget = "/.acp/heartbeat";

/// Sends the end of the output, then discards further input until the peer closes: closing with
/// unread input would reset the connection and lose the response. Ends after kLingerTime, or after
/// @p slowReaderGrace while the peer has not acknowledged all output.
void Linger(HttpConnection& connection, Duration slowReaderGrace)
{
  ::shutdown(connection.Descriptor(), SHUT_WR);
  const TimePoint start = SteadyNow();
  const TimePoint latest = start + std::max(kLingerTime, slowReaderGrace);
  TimePoint deadline = start + kLingerTime;
  std::array<char, 4096> discarded; // NOLINT(cppcoreguidelines-pro-type-member-init)
  std::size_t count = 0;
  while (true) {
    const IoStatus status = connection.Read(discarded.data(), discarded.size(), deadline, &count);
    const bool isOpen = status == IoStatus::Ok || status == IoStatus::TimedOut;
    const TimePoint now = SteadyNow();
    const bool isDue = status == IoStatus::TimedOut || now >= deadline;
    if (!isOpen || (isDue && (now >= latest || !connection.HasUnsentOutput()))) {
      return;
    }
    if (isDue) {
      deadline = std::min(now + kLingerPollInterval, latest);
    }
  }
}

/// A function to run on a thread of the pool; deletes itself.
class Job final : public Poco::Runnable
{
public:
  explicit Job(std::function<void()> step)
    : step_(std::move(step))
  {
  }

  void run() override
  {
    step_();
    delete this;
  }

private:
  std::function<void()> step_;
};

/// Returns whether requests behind this one may be started while it runs.
bool AllowsNext(const MessageFraming& framing)
{
  return framing.bodyLength == 0 && framing.keepAlive && !framing.expectsContinue;
}

/// Returns whether the request may be started while the one in front of it runs. It may be sent
/// again if the connection ends, so it must be safe.
bool MayStartAhead(const HttpRequestHead& head, const MessageFraming& framing)
{
  return (head.method == "GET" || head.method == "HEAD") && AllowsNext(framing);
}

bool IsHeartbeat(const HttpRequestHead& head, const HttpServerOptions& options)
{
  return options.answersHeartbeats && head.target == kHeartbeatTarget &&
         (options.echoedField.empty() || !head.headers.Find(options.echoedField));
}

} // namespace

HttpResponseHead RefusalHead(int status, Reason reason)
{
  HttpResponseHead head{ .status = status };
  head.headers.Set("Content-Type", "text/plain");
  head.headers.Set("Acp-Outcome", std::string(NameOf(RequestOutcome::NotRun)));
  head.headers.Set("Acp-Reason", std::string(NameOf(reason)));
  return head;
}

void RefuseAndLinger(HttpConnection& connection,
                     const HttpResponseHead& head,
                     const std::string& body)
{
  const auto length = static_cast<std::int64_t>(body.size());
  connection.Write(FormatResponseHead(head, length, false), body, SteadyNow() + kRefusalTimeout);
  Linger(connection, kLingerTime);
}

ServerConnection::ServerConnection(const Poco::Net::StreamSocket& socket,
                                   EventLoop& loop,
                                   const ServerContext& server)
  : loop_(loop)
  , server_(server)
  , connection_(socket, ConnectionEnd::Accepted)
  , watch_(CloseWatcher::Instance(), connection_.Descriptor())
{
}

void ServerConnection::ScheduleWait()
{
  loop_.Post([self = shared_from_this()] { self->WaitForRequest(); });
}

void ServerConnection::OnStop()
{
  loop_.Post([self = shared_from_this()] {
    if (self->wait_ != 0 && self->loop_.CancelWait(self->wait_)) {
      self->WaitForRequest();
    }
  });
}

void ServerConnection::Abort()
{
  isAborted_ = true;
  connection_.Shutdown();
}

CallerLimits ServerConnection::Limits() const
{
  const HttpServerOptions& options = *server_.options;
  return options.currentLimits ? options.currentLimits() : options.limits;
}

void ServerConnection::WaitForRequest()
{
  const Duration idle = Limits().idleTimeout;
  const Duration maxWait = *server_.isStopping ? std::min(idle, kStopGrace) : idle;
  wait_ =
    loop_.Watch(connection_.Descriptor(),
                SteadyNow() + maxWait,
                [self = shared_from_this()](WaitResult result) { self->OnWaitEnded(result); });
}

void ServerConnection::OnWaitEnded(WaitResult result)
{
  wait_ = 0;
  // A request may have arrived while the loop was busy past the deadline.
  if (result == WaitResult::Ready || connection_.HasInput()) {
    isPipelining_ =
      isPipelining_ || (requestCount_ > 0 && SteadyNow() - idleSince_ < kPipelinedInputGap);
    connection_.MarkReadable();
    Dispatch([self = shared_from_this()] { self->Serve(); });
  } else if (connection_.HasUnsentOutput()) {
    Dispatch([self = shared_from_this()] { self->LingerAndClose(); });
  } else {
    Close();
  }
}

void ServerConnection::Dispatch(const std::function<void()>& step)
{
  try {
    if (server_.workers == nullptr) {
      loop_.StartNow(step);
      return;
    }
    auto job = std::make_unique<Job>(step);
    server_.workers->start(*job);
    // The job deletes itself at the end of run().
    [[maybe_unused]] const auto* started = job.release();
  } catch (const std::exception& e) {
    // No thread, or no memory for a stack.
    Log(LogLevel::Error, "no_worker", { { "error", e.what() } });
    Close();
  }
}

void ServerConnection::LingerAndClose()
{
  Linger(connection_, server_.options->slowReaderGrace);
  Close();
}

void ServerConnection::Serve()
{
  NextStep next = NextStep::Close;
  // The server waits for each connection to be closed, so no exception may skip that.
  try {
    next = ServeBuffered();
  } catch (const std::exception& e) {
    Log(LogLevel::Error, "connection_failed", { { "error", e.what() } });
  }
  const bool hasCallerLeft = next == NextStep::Continue || lastEnd_ == RequestEnd::CallerGone;
  DropAhead(hasCallerLeft ? RequestEnd::CallerGone : RequestEnd::ConnectionCut);
  if (next == NextStep::CloseAfterResponse) {
    LingerAndClose();
    return;
  }
  if (next != NextStep::Continue || connection_.HasBuffered()) {
    Close();
    return;
  }
  connection_.ReleaseBuffer();
  idleSince_ = SteadyNow();
  ScheduleWait();
}

/// Serves the request that has come and those that the caller has sent ahead.
ServerConnection::NextStep ServerConnection::ServeBuffered()
{
  NextStep next = ServeNext();
  // Requests that a caller sent ahead are not started once it has closed the connection.
  while (next == NextStep::Continue && !watch_.Closed().stop_requested()) {
    if (!ahead_.empty()) {
      next = FinishAhead();
    } else if (connection_.HasBuffered()) {
      next = ServeNext();
    } else {
      break;
    }
  }
  return next;
}

bool ServerConnection::CanPipeline() const
{
  return server_.options->maxPipelined > 1 && server_.workers == nullptr;
}

void ServerConnection::StartNextRequests()
{
  const auto maxPipelined = static_cast<std::size_t>(server_.options->maxPipelined);
  const CallerLimits limits = Limits();
  while (ahead_.size() + 1 < maxPipelined && !*server_.isStopping &&
         !watch_.Closed().stop_requested()) {
    const std::string_view text = connection_.BufferedHead();
    if (text.empty() && connection_.Buffered().size() <= limits.maxHeadBytes) {
      aheadWait_ =
        loop_.Watch(connection_.Descriptor(),
                    SteadyNow() + limits.headTimeout,
                    [self = shared_from_this()](WaitResult result) {
                      self->aheadWait_ = 0;
                      self->connection_.MarkReadable();
                      if (result == WaitResult::Ready && self->connection_.ReadAvailable()) {
                        self->StartNextRequests();
                      }
                    });
      return;
    }
    HttpRequestHead head;
    MessageFraming framing;
    if (text.empty() || text.size() > limits.maxHeadBytes ||
        ParseRequestHead(text, &head, &framing) || !MayStartAhead(head, framing)) {
      return; // served, or refused, in its turn
    }
    connection_.Consume(text.size());
    StartAhead(std::move(head), framing);
  }
}

void ServerConnection::StartAhead(HttpRequestHead head, const MessageFraming& framing)
{
  auto request = std::make_shared<AheadRequest>();
  request->exchange = std::make_unique<ConnectionExchange>(
    connection_,
    *server_.options,
    std::move(head),
    framing,
    request->cancelled.get_token(),
    ExchangeHooks{ .isAhead = true,
                   .beginResponse = [this, ahead = request.get()] { return AwaitTurn(*ahead); },
                   .isStopping = [this] { return server_.isStopping->load(); },
                   .hasStartedNext = [this] { return ahead_.size() > 1; } });
  ahead_.push_back(request);
  loop_.Spawn([self = shared_from_this(), request] { self->RunAhead(*request); });
}

void ServerConnection::RunAhead(AheadRequest& request)
{
  const std::stop_callback onClosed(watch_.Closed(),
                                    [&request] { request.cancelled.request_stop(); });
  try {
    Handle(*request.exchange);
    request.next = StepAfter(*request.exchange);
  } catch (const std::exception& e) {
    Log(LogLevel::Error, "connection_failed", { { "error", e.what() } });
  }
  request.isFinished = true;
  request.finished.Wake();
}

bool ServerConnection::AwaitTurn(AheadRequest& request)
{
  while (!request.hasTurn && !request.isDropped) {
    request.turnChanged.WaitFor(kLongestWait);
  }
  StopReadingAhead();
  return !request.isDropped;
}

ServerConnection::NextStep ServerConnection::FinishAhead()
{
  const std::shared_ptr<AheadRequest> request = ahead_.front();
  StopReadingAhead();
  StartNextRequests();
  request->hasTurn = true;
  request->turnChanged.Wake();
  while (!request->isFinished) {
    request->finished.WaitFor(kLongestWait);
  }
  ahead_.pop_front();
  return request->next;
}

void ServerConnection::DropAhead(RequestEnd end)
{
  StopReadingAhead();
  for (const auto& request : ahead_) {
    request->exchange->SetDroppedEnd(end);
    request->isDropped = true;
    request->cancelled.request_stop();
    request->turnChanged.Wake();
  }
  for (const auto& request : ahead_) {
    while (!request->isFinished) {
      request->finished.WaitFor(kLongestWait);
    }
  }
  ahead_.clear();
}

void ServerConnection::StopReadingAhead()
{
  if (aheadWait_ != 0) {
    loop_.CancelWait(std::exchange(aheadWait_, 0));
  }
}

ServerConnection::NextStep ServerConnection::ServeNext()
{
  std::string text;
  const CallerLimits limits = Limits();
  const auto deadline = SteadyNow() + limits.headTimeout;
  const auto status = connection_.ReadHead(limits.maxHeadBytes, deadline, &text);
  if (status == IoStatus::TooLarge) {
    return Refuse(RefusalHead(413, Reason::TooLarge),
                  fmt::format("the head is larger than {} bytes\n", limits.maxHeadBytes));
  }
  if (status != IoStatus::Ok) {
    return NextStep::Close;
  }
  HttpRequestHead head;
  MessageFraming framing;
  if (const auto parseError = ParseRequestHead(text, &head, &framing)) {
    return Refuse(RefusalHead(400, Reason::BadRequest), *parseError + "\n");
  }
  const bool mayStartNext = CanPipeline() && AllowsNext(framing);
  ConnectionExchange exchange(connection_,
                              *server_.options,
                              std::move(head),
                              framing,
                              watch_.Closed(),
                              { .beginResponse =
                                  [this] {
                                    StopReadingAhead();
                                    return true;
                                  },
                                .isStopping = [this] { return server_.isStopping->load(); },
                                .hasStartedNext = [this] { return !ahead_.empty(); } });
  isPipelining_ = isPipelining_ || connection_.HasBuffered();
  if (mayStartNext && isPipelining_) {
    StartNextRequests();
  }
  Handle(exchange);
  StopReadingAhead();
  return StepAfter(exchange);
}

/// Ends an exchange after its handler.
ServerConnection::NextStep ServerConnection::StepAfter(ConnectionExchange& exchange)
{
  if (exchange.IsResponseDue()) {
    exchange.RespondToFailure();
  }
  ReportServed(exchange);
  if (!exchange.HasResponded()) {
    return NextStep::Close;
  }
  return exchange.FinishRequest() ? NextStep::Continue : NextStep::CloseAfterResponse;
}

void ServerConnection::Handle(ConnectionExchange& exchange)
{
  if (IsHeartbeat(exchange.Request(), *server_.options)) {
    exchange.Respond({ .status = 204 }, "");
    return;
  }
  try {
    server_.options->handler(exchange);
  } catch (const BodyTruncated&) {
    exchange.EndUnanswered(RequestEnd::RequestCut);
  } catch (const std::exception& e) {
    exchange.EndUnanswered(RequestEnd::HandlerFailed);
    Log(LogLevel::Error, "handler_failed", { { "error", e.what() } });
  }
}

void ServerConnection::ReportServed(const ConnectionExchange& exchange)
{
  ++requestCount_;
  ServedRequest served = exchange.Served();
  lastEnd_ = served.end;
  if (!server_.options->onServed) {
    return;
  }
  served.numberOnConnection = requestCount_;
  if (served.end != RequestEnd::Answered && isAborted_) {
    served.end = RequestEnd::StopCut;
  }
  server_.options->onServed(served);
}

/// Sends a refusal without calling the handler and closes the connection, since the rest of the
/// input cannot be framed.
ServerConnection::NextStep ServerConnection::Refuse(const HttpResponseHead& head,
                                                    const std::string& body)
{
  // The handler, which logs requests, does not see this one.
  Log(LogLevel::Warning,
      "head_refused",
      { { "status", std::to_string(head.status) },
        { "port", std::to_string(server_.options->address.port) },
        { "error", body.substr(0, body.find('\n')) } });
  RefuseAndLinger(connection_, head, body);
  return NextStep::Close;
}

void ServerConnection::Close()
{
  server_.onClosed(*this);
}

} // namespace acp::detail
