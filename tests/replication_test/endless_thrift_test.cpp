#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <thrift/protocol/TMultiplexedProtocol.h>

#include "../transport_test/raw_thrift_peer.hpp"
#include "acaciapulley/replication/detail/peer_channel.hpp"
#include "acaciapulley/transport/detail/thrift_limits.hpp"
#include "gen/ReplicationService.h"
#include "local_cluster.hpp"

namespace {

using acp::test::FieldStart;
using acp::test::Frame;
using acp::test::FrameLength;
using acp::test::kMebibyte;
using acp::test::ListStart;
using acp::test::RawConnection;

constexpr std::size_t kMaxGrowthMebibytes = 64;
// A frame in progress ends after 5 s.
constexpr auto kCloseDeadline = std::chrono::seconds(9);

struct ReplicaFixture
{
  ReplicaFixture()
    : cluster(1)
  {
    BOOST_REQUIRE(cluster.Start(0));
    BOOST_REQUIRE(cluster.WaitForLeader());
  }

  [[nodiscard]] acp::Address RpcAddress() const { return cluster.hosts[0].options.rpcAddress; }

  [[nodiscard]] bool IsServing() const
  {
    return acp::detail::RequestHello(RpcAddress(), std::chrono::seconds(5)).has_value();
  }

  void CheckRefused(const std::string& bytes) const
  {
    const acp::test::PeakMemory memory;
    RawConnection connection(RpcAddress());
    connection.Send(bytes);
    BOOST_TEST(connection.IsClosedWithin(kCloseDeadline));
    BOOST_TEST(IsServing());
    BOOST_TEST_MESSAGE("memory grew by " << memory.GrowthMebibytes() << " MiB");
    BOOST_TEST(memory.GrowthMebibytes() < kMaxGrowthMebibytes);
  }

  LocalCluster cluster;
};

std::string DeliverStart(std::uint64_t messages)
{
  return acp::test::MessageStart(acp::test::MessageType::Call, "replication:Deliver") +
         FieldStart(1, acp::test::kListType) + ListStart(acp::test::kStructType, messages);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_thrift, ReplicaFixture)

// Guards against memory for announced messages and entries, and against the end of the process by
// std::bad_alloc in the thread of one connection.
BOOST_AUTO_TEST_CASE(announced_messages_take_no_memory)
{
  for (const std::uint64_t count : { 5'000'000ULL, 2'147'483'647ULL }) {
    CheckRefused(Frame(DeliverStart(count)));
    CheckRefused(Frame(DeliverStart(1) + FieldStart(12, acp::test::kListType) +
                       ListStart(acp::test::kStructType, count)));
  }
}

// Guards against messages of one byte each, whose decoded form is hundreds of times larger.
BOOST_AUTO_TEST_CASE(a_frame_of_empty_messages_is_refused)
{
  constexpr std::size_t kCount = 4'000'000;
  CheckRefused(Frame(DeliverStart(kCount) + std::string(kCount + 1, '\0')));
}

// Guards against the chunk of a snapshot that continues in the following frames, without end.
BOOST_AUTO_TEST_CASE(a_chunk_never_continues_in_the_next_frame)
{
  const acp::test::PeakMemory memory;
  RawConnection connection(RpcAddress());
  connection.Send(Frame(DeliverStart(1) + FieldStart(15, acp::test::kBinaryType) +
                        acp::test::Varint(90'000'000)));
  connection.SendRepeatedly(
    Frame(std::string(kMebibyte, 'x')), 400 * kMebibyte, [] { return false; });
  BOOST_TEST(connection.IsClosedWithin(kCloseDeadline));
  BOOST_TEST(memory.GrowthMebibytes() < kMaxGrowthMebibytes);
  BOOST_TEST(IsServing());
}

// Guards against frames above the limit, negative lengths and a stack overflow by nested structs.
BOOST_AUTO_TEST_CASE(malformed_frames_are_refused)
{
  for (const std::uint32_t length : { 100'000'000U, 2'147'483'647U, 4'294'967'295U }) {
    CheckRefused(FrameLength(length));
  }
  CheckRefused(Frame(DeliverStart(1) + FieldStart(15, acp::test::kBinaryType) +
                     acp::test::Varint(4'294'967'295U)));
  CheckRefused(
    Frame(DeliverStart(1) + std::string(1'000'000, FieldStart(15, acp::test::kStructType)[0])));
}

// Guards against limits below the largest batches of a replica.
BOOST_AUTO_TEST_CASE(the_largest_batches_pass)
{
  static_assert(sizeof(acp::wire::ReplicaMessage) <= acp::detail::kThriftElementBytes);
  using apache::thrift::protocol::TMultiplexedProtocol;
  const auto socket =
    std::make_shared<apache::thrift::transport::TSocket>(RpcAddress().ip, RpcAddress().port);
  socket->open();
  acp::wire::ReplicationServiceClient client(std::make_shared<TMultiplexedProtocol>(
    acp::detail::MakeBoundedProtocol(socket, std::chrono::seconds(10)),
    acp::kReplicationServiceName));
  acp::wire::ReplicaMessage large;
  large.data.assign(4 * kMebibyte, 'x');
  client.Deliver(std::vector(3, large));
  client.Deliver(std::vector(8192, acp::wire::ReplicaMessage()));
  acp::wire::ReplicaMessage withEntries;
  withEntries.entries.resize(4096);
  client.Deliver(std::vector(6, withEntries));
  BOOST_TEST(IsServing());
}

// Guards against valid messages without end from a host that is no replica of the cluster.
BOOST_AUTO_TEST_CASE(messages_without_end_stay_within_a_bound)
{
  constexpr std::size_t kConnections = 32;
  constexpr std::size_t kDataBytes = 4 * kMebibyte;
  const std::string frame =
    Frame(DeliverStart(1) + FieldStart(15, acp::test::kBinaryType) + acp::test::Varint(kDataBytes) +
          std::string(kDataBytes, 'x') + std::string(2, '\0'));
  const acp::test::PeakMemory memory;
  std::vector<std::thread> senders;
  for (std::size_t i = 0; i < kConnections; ++i) {
    senders.emplace_back([&] {
      RawConnection connection(RpcAddress());
      connection.SendRepeatedly(frame, 40 * kDataBytes, [] { return false; });
      connection.IsClosedWithin(std::chrono::milliseconds(100));
    });
  }
  for (auto& sender : senders) {
    sender.join();
  }
  BOOST_TEST(IsServing());
  BOOST_TEST_MESSAGE("memory grew by " << memory.GrowthMebibytes() << " MiB");
  // 256 MiB of messages in the connections and twice 48 MiB in the inbox, and as much again that
  // the allocator keeps.
  BOOST_TEST(memory.GrowthMebibytes() < 704);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(endless_hello)

// Guards against a replica that responds to Hello slowly or without end.
BOOST_AUTO_TEST_CASE(an_endless_hello_ends_in_time)
{
  const std::string start = acp::test::MessageStart(acp::test::MessageType::Reply, "Hello") +
                            FieldStart(0, acp::test::kStructType) + acp::test::Varint(0) +
                            FieldStart(1, acp::test::kBinaryType) +
                            acp::test::Varint(2'147'483'647);
  const std::string block = Frame(std::string(kMebibyte, 'x'));
  const auto endless = [&](RawConnection& connection, const std::atomic<bool>& isStopping) {
    connection.Send(Frame(start));
    connection.SendRepeatedly(block, 400 * kMebibyte, [&] { return isStopping.load(); });
  };
  const auto slow = [](RawConnection& connection, const std::atomic<bool>& isStopping) {
    connection.Send(FrameLength(1'000'000));
    while (!isStopping && connection.Send("x")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  };
  for (const acp::test::RawThriftServer::Script& script :
       { acp::test::RawThriftServer::Script(endless), acp::test::RawThriftServer::Script(slow) }) {
    auto server = std::make_unique<acp::test::RawThriftServer>(script);
    const acp::test::PeakMemory memory;
    auto hello = std::async(std::launch::async, [address = server->ListenAddress()] {
      return acp::detail::RequestHello(address, std::chrono::milliseconds(500)).has_value();
    });
    BOOST_TEST((hello.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
    server.reset();
    BOOST_TEST(!hello.get());
    BOOST_TEST(memory.GrowthMebibytes() < kMaxGrowthMebibytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()
