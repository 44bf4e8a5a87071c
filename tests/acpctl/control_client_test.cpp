#include <boost/test/unit_test.hpp>

#include <algorithm>        // min
#include <initializer_list> // initializer_list
#include <mutex>            // mutex
#include <string>           // string
#include <vector>           // vector

#include "../transport_test/truncating_server.hpp"
#include "acaciapulley/transport/http_server.hpp"
#include "control_client.hpp"

namespace {

/// A stand-in for a control replica that returns prepared responses in order and repeats the last.
class StubReplica
{
public:
  StubReplica(std::initializer_list<acp::HttpResponseHead> answers)
    : answers_(answers)
    , server_({ .address = { .ip = "127.0.0.1" },
                .maxConnections = 4,
                .handler = [this](acp::ServerExchange& e) { Handle(e); } })
  {
  }

  [[nodiscard]] acp::Address ListenAddress() const
  {
    return { .ip = "127.0.0.1", .port = server_.Port() };
  }

  [[nodiscard]] std::vector<std::string> RequestIds()
  {
    const std::lock_guard lock(mutex_);
    return requestIds_;
  }

private:
  void Handle(acp::ServerExchange& exchange)
  {
    const std::lock_guard lock(mutex_);
    requestIds_.push_back(exchange.Request().headers.Find("Acp-Request-Id").value_or(""));
    const std::size_t index = std::min(requestIds_.size(), answers_.size()) - 1;
    exchange.Respond(answers_[index], "{}");
  }

  std::mutex mutex_;
  std::vector<std::string> requestIds_;
  std::vector<acp::HttpResponseHead> answers_;
  acp::HttpServer server_;
};

acp::HttpResponseHead ResponseWithStatus(int status)
{
  return { .status = status };
}

acp::HttpResponseHead RedirectToLeader(const acp::Address& address)
{
  acp::HttpResponseHead head = ResponseWithStatus(421);
  head.headers.Set("Acp-Leader", address.ToString());
  return head;
}

/// An address on which nothing listens.
acp::Address UnreachableAddress()
{
  const StubReplica closed{ ResponseWithStatus(200) };
  return closed.ListenAddress();
}

acp::ControlResponse Call(const std::vector<acp::Address>& replicas,
                          const std::string& requestId,
                          acp::Duration timeout)
{
  const acp::ManualClock clock;
  acp::ControlClient client({ .replicas = replicas, .clock = &clock, .timeout = timeout });
  return client.Call({ .method = "PUT", .target = "/", .requestId = requestId });
}

constexpr acp::Duration kRetryTimeout = std::chrono::seconds(1);
constexpr acp::Duration kSingleRound{};

} // namespace

BOOST_AUTO_TEST_SUITE(control_client)

// Guards against an operator having to find the leader by hand after the loss of a host.
BOOST_AUTO_TEST_CASE(leader_is_found_despite_lost_hosts_and_followers)
{
  StubReplica leader{ ResponseWithStatus(200) };
  StubReplica follower{ RedirectToLeader(leader.ListenAddress()) };
  StubReplica unavailable{ ResponseWithStatus(503) };
  const auto response =
    Call({ UnreachableAddress(), unavailable.ListenAddress(), follower.ListenAddress() },
         "request-1",
         kRetryTimeout);
  BOOST_TEST((response.result == acp::RequestResult::Answered));
  BOOST_TEST(response.status == 200);
  BOOST_TEST(leader.RequestIds().size() == 1U);
}

// P12. Guards against a change that is applied twice because a resend has another request id, and
// against a stale leader hint that is followed forever.
BOOST_AUTO_TEST_CASE(change_with_unknown_result_is_resent_with_the_same_request_id)
{
  StubReplica leader{ ResponseWithStatus(504), ResponseWithStatus(200) };
  StubReplica follower{ RedirectToLeader(UnreachableAddress()),
                        RedirectToLeader(leader.ListenAddress()) };
  const auto response =
    Call({ follower.ListenAddress(), leader.ListenAddress() }, "request-1", kRetryTimeout);
  BOOST_TEST((response.result == acp::RequestResult::Answered));
  BOOST_TEST((leader.RequestIds() == std::vector<std::string>{ "request-1", "request-1" }));
}

// Guards against a change that may be in force and is reported as not applied, and the reverse.
BOOST_AUTO_TEST_CASE(unknown_unreachable_and_refused_results_are_distinguished)
{
  StubReplica unconfirmed{ ResponseWithStatus(504) };
  StubReplica leaderless{ ResponseWithStatus(503) };
  StubReplica refusing{ ResponseWithStatus(409) };
  using acp::RequestResult;
  BOOST_TEST((Call({ unconfirmed.ListenAddress() }, "request-1", kSingleRound).result ==
              RequestResult::Unknown));
  BOOST_TEST(
    (Call({ unconfirmed.ListenAddress() }, "", kSingleRound).result == RequestResult::Unreachable));
  BOOST_TEST((Call({ leaderless.ListenAddress() }, "request-1", kSingleRound).result ==
              RequestResult::Unreachable));
  BOOST_TEST((Call({ UnreachableAddress() }, "request-1", kSingleRound).result ==
              RequestResult::Unreachable));
  BOOST_TEST(Call({ refusing.ListenAddress() }, "request-1", kSingleRound).status == 409);
}

// Guards against a truncated response that is shown to the operator as complete.
BOOST_AUTO_TEST_CASE(truncated_or_oversized_response_gives_an_unknown_result)
{
  using namespace acp::test;
  // The client accepts responses of up to 16 MiB.
  constexpr std::size_t kTooLarge = (16U << 20U) + 1;
  const std::string large = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kTooLarge) +
                            "\r\n\r\n" + std::string(kTooLarge, 'x');
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
  TruncatingServer replica;
  for (const std::string& bytes : { start, start + "\r\n{", large }) {
    replica.SetResponse(bytes, ConnectionEnd::Close);
    const auto response = Call({ replica.ListenAddress() }, "request-1", kSingleRound);
    BOOST_TEST((response.result == acp::RequestResult::Unknown), bytes.substr(0, 60));
  }
}

BOOST_AUTO_TEST_SUITE_END()
