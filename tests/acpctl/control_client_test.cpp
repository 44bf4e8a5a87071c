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

/// A stand-in for a control replica that gives prepared answers in turn, the last one for ever.
class Replica
{
public:
  Replica(std::initializer_list<acp::HttpResponseHead> answers)
    : answers_(answers)
    , server_({ .address = { .ip = "127.0.0.1" },
                .maxConnections = 4,
                .handler = [this](acp::ServerExchange& e) { Handle(e); } })
  {
  }

  [[nodiscard]] acp::Address Where() const { return { .ip = "127.0.0.1", .port = server_.Port() }; }

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
    const std::size_t turn = std::min(requestIds_.size(), answers_.size()) - 1;
    exchange.Respond(answers_[turn], "{}");
  }

  std::mutex mutex_;
  std::vector<std::string> requestIds_;
  std::vector<acp::HttpResponseHead> answers_;
  acp::HttpServer server_;
};

acp::HttpResponseHead Status(int status)
{
  return { .status = status };
}

acp::HttpResponseHead LeaderIs(const acp::Address& address)
{
  acp::HttpResponseHead head = Status(421);
  head.headers.Set("Acp-Leader", address.ToString());
  return head;
}

/// An address on which nothing listens.
acp::Address Nobody()
{
  const Replica closed{ Status(200) };
  return closed.Where();
}

acp::ControlReply Call(const std::vector<acp::Address>& replicas,
                       const std::string& requestId,
                       acp::Duration patience)
{
  const acp::ManualClock clock;
  acp::ControlClient client({ .replicas = replicas, .clock = &clock, .patience = patience });
  return client.Call({ .method = "PUT", .target = "/", .requestId = requestId });
}

constexpr acp::Duration kPatient = std::chrono::seconds(1);
constexpr acp::Duration kOnce{};

} // namespace

BOOST_AUTO_TEST_SUITE(control_client)

// Guards against an operator who must find the leader by hand on the night that a host is lost.
BOOST_AUTO_TEST_CASE(the_leader_is_found_past_lost_hosts_and_followers)
{
  Replica leader{ Status(200) };
  Replica follower{ LeaderIs(leader.Where()) };
  Replica unsure{ Status(503) };
  const auto reply = Call({ Nobody(), unsure.Where(), follower.Where() }, "request-1", kPatient);
  BOOST_TEST((reply.end == acp::RequestEnd::Answered));
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(leader.RequestIds().size() == 1U);
}

// P12. Guards against a change that is carried out twice because a resend has another request id,
// and against a hint of an old leader that is followed for ever.
BOOST_AUTO_TEST_CASE(an_unknown_result_is_resent_with_the_same_request_id)
{
  Replica leader{ Status(504), Status(200) };
  Replica follower{ LeaderIs(Nobody()), LeaderIs(leader.Where()) };
  const auto reply = Call({ follower.Where(), leader.Where() }, "request-1", kPatient);
  BOOST_TEST((reply.end == acp::RequestEnd::Answered));
  BOOST_TEST((leader.RequestIds() == std::vector<std::string>{ "request-1", "request-1" }));
}

// Guards against a change that may be in force and is reported as not done, and the reverse.
BOOST_AUTO_TEST_CASE(unknown_is_told_apart_from_unreachable_and_refused)
{
  Replica unconfirmed{ Status(504) };
  Replica leaderless{ Status(503) };
  Replica refusing{ Status(409) };
  using acp::RequestEnd;
  BOOST_TEST((Call({ unconfirmed.Where() }, "request-1", kOnce).end == RequestEnd::Unknown));
  BOOST_TEST((Call({ unconfirmed.Where() }, "", kOnce).end == RequestEnd::Unreachable));
  BOOST_TEST((Call({ leaderless.Where() }, "request-1", kOnce).end == RequestEnd::Unreachable));
  BOOST_TEST((Call({ Nobody() }, "request-1", kOnce).end == RequestEnd::Unreachable));
  BOOST_TEST(Call({ refusing.Where() }, "request-1", kOnce).status == 409);
}

// Guards against a part of an answer that is shown to the operator as all of it.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_whole_answers_nothing)
{
  using namespace acp::test;
  // The largest answer is 16 MiB.
  constexpr std::size_t kTooLarge = (16U << 20U) + 1;
  const std::string large = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kTooLarge) +
                            "\r\n\r\n" + std::string(kTooLarge, 'x');
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
  TruncatingServer replica;
  for (const std::string& bytes : { start, start + "\r\n{", large }) {
    replica.SetResponse(bytes, ConnectionEnd::Close);
    const auto reply = Call({ replica.ListenAddress() }, "request-1", kOnce);
    BOOST_TEST((reply.end == acp::RequestEnd::Unknown), bytes.substr(0, 60));
  }
}

BOOST_AUTO_TEST_SUITE_END()
