#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>

#include "acaciapulley/transport/http_client.hpp"
#include "acaciapulley/transport/http_server.hpp"

namespace {

constexpr acp::Duration kTimeout = std::chrono::seconds(10);
constexpr const char* kIdField = "X-Try";

enum class Echo
{
  Always,
  Never
};

/// A server that counts its connections, and a pool that expects ids in responses.
class ServerAndPool
{
public:
  explicit ServerAndPool(Echo echo, acp::IdSource idSource = acp::IdSource::Caller)
    : server_({ .address = { .ip = "127.0.0.1", .port = 0 },
                .handler = [this](acp::ServerExchange& exchange) { HandleRequest(exchange); },
                .echoedField = echo == Echo::Always ? kIdField : "" })
    , pool_({ .address = { .ip = "127.0.0.1", .port = server_.Port() },
              .translation = { .idField = kIdField, .idSource = idSource } })
  {
  }

  /// Sends a request with @p id, or without an id if it is empty.
  void Send(const std::string& id)
  {
    acp::HttpRequestHead head{ .method = "GET", .target = "/" };
    if (!id.empty()) {
      head.headers.Set(kIdField, id);
    }
    acp::StringBody empty("");
    const auto sent = pool_.Send(head, empty, 0, kTimeout);
    BOOST_REQUIRE(sent.has_value());
    BOOST_TEST(acp::ReadAll(sent.value()->Body(), 1000).value_or("too large") == "answer");
  }

  [[nodiscard]] int Connections() const { return connections_; }

private:
  void HandleRequest(acp::ServerExchange& exchange)
  {
    connections_ += exchange.IsFirstOnConnection() ? 1 : 0;
    exchange.Respond({ .status = 200 }, "answer");
  }

  std::atomic<int> connections_{ 0 };
  acp::HttpServer server_;
  acp::HttpPool pool_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(response_ids)

// Guards against a late response to an earlier attempt with the same id, which would be accepted.
BOOST_AUTO_TEST_CASE(id_is_not_sent_twice_on_one_connection)
{
  ServerAndPool fixture(Echo::Always);
  fixture.Send("1");
  fixture.Send("2");
  BOOST_TEST(fixture.Connections() == 1);
  fixture.Send("1");
  BOOST_TEST(fixture.Connections() == 2);
}

// Guards against a duplicate of a response without id, which would be read as the next response.
BOOST_AUTO_TEST_CASE(connection_is_not_reused_after_a_response_without_id)
{
  ServerAndPool fixture(Echo::Never);
  fixture.Send("1");
  fixture.Send("2");
  fixture.Send("");
  BOOST_TEST(fixture.Connections() == 3);
}

// Guards against a new connection for each call to a peer that omits the id.
BOOST_AUTO_TEST_CASE(responses_may_omit_ids_made_by_the_sender)
{
  ServerAndPool fixture(Echo::Never, acp::IdSource::Sender);
  fixture.Send("1");
  fixture.Send("2");
  BOOST_TEST(fixture.Connections() == 1);
}

// Guards against memory that grows with the number of requests on a connection.
BOOST_AUTO_TEST_CASE(connection_is_closed_at_its_max_number_of_ids)
{
  ServerAndPool fixture(Echo::Always);
  for (int i = 0; i < 600; ++i) {
    fixture.Send(std::to_string(i));
  }
  BOOST_TEST(fixture.Connections() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
