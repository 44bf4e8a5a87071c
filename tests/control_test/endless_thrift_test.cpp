#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../transport_test/raw_thrift_peer.hpp"
#include "acaciapulley/control/control_process.hpp"
#include "acaciapulley/transport/control_channel.hpp"
#include "control_fixture.hpp"
#include "gen/ControlService.h"

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

struct ProcessFixture : acp::test::ControlFixture
{
  [[nodiscard]] acp::Address RpcAddress() const
  {
    return { .ip = "127.0.0.1", .port = process.RpcPort() };
  }

  /// Returns whether a call of another node succeeds.
  [[nodiscard]] bool IsServing() const
  {
    acp::ControlChannel channel(
      { .replicas = { RpcAddress() }, .timeout = std::chrono::seconds(5) });
    acp::wire::SyncRequest request;
    request.nodeId = "n1";
    request.epoch = 1;
    acp::wire::SyncReply reply;
    return channel.Call([&](acp::wire::ControlServiceIf& control) { control.Sync(reply, request); })
      .has_value();
  }

  /// Sends @p bytes on one connection and expects that control closes it and serves others.
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

  acp::ControlProcess process{ { .rpcAddress = { .ip = "127.0.0.1" },
                                 .operatorAddress = { .ip = "127.0.0.1" },
                                 .operators = acp::test::TwoOperators(),
                                 .clock = &clock,
                                 .log = &log,
                                 .state = &state } };
};

std::string CallStart(const std::string& method)
{
  return acp::test::MessageStart(acp::test::MessageType::Call, method) +
         FieldStart(1, acp::test::kStructType);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_thrift, ProcessFixture)

// Guards against memory for announced elements, and against the end of the process by
// std::bad_alloc in the thread of one connection.
BOOST_AUTO_TEST_CASE(announced_elements_take_no_memory_and_do_not_end_control)
{
  for (const std::uint64_t count : { 5'000'000ULL, 2'147'483'647ULL }) {
    CheckRefused(
      Frame(CallStart("RelayPolls") + FieldStart(1, acp::test::kListType) + ListStart(12, count)));
    CheckRefused(Frame(CallStart("Sync") + FieldStart(7, acp::test::kListType) +
                       ListStart(acp::test::kBinaryType, count)));
  }
}

// Guards against elements of one byte each, whose decoded form is hundreds of times larger.
BOOST_AUTO_TEST_CASE(a_frame_of_empty_polls_is_refused)
{
  constexpr std::size_t kCount = 4'000'000;
  CheckRefused(Frame(CallStart("RelayPolls") + FieldStart(1, acp::test::kListType) +
                     ListStart(12, kCount) + std::string(kCount + 2, '\0')));
}

// Guards against a string that continues in the following frames, without end.
BOOST_AUTO_TEST_CASE(a_string_never_continues_in_the_next_frame)
{
  const acp::test::PeakMemory memory;
  RawConnection connection(RpcAddress());
  connection.Send(Frame(CallStart("Sync") + FieldStart(1, acp::test::kBinaryType) +
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
  CheckRefused(Frame(CallStart("Sync") + FieldStart(1, acp::test::kBinaryType) +
                     acp::test::Varint(4'294'967'295U)));
  CheckRefused(
    Frame(CallStart("Sync") + std::string(1'000'000, FieldStart(15, acp::test::kStructType)[0])));
}

// Guards against frames of many connections that are each within the limit, but together exceed the
// memory of the machine.
BOOST_AUTO_TEST_CASE(incomplete_frames_of_many_connections_share_one_bound)
{
  constexpr std::size_t kConnections = 32;
  constexpr std::uint32_t kFrameBytes = 16'000'000;
  const std::string block(100'000, 'x');
  const acp::test::PeakMemory memory;
  std::vector<std::unique_ptr<RawConnection>> connections;
  std::vector<std::thread> senders;
  for (std::size_t i = 0; i < kConnections; ++i) {
    connections.push_back(std::make_unique<RawConnection>(RpcAddress()));
    senders.emplace_back([&block, &connection = *connections.back()] {
      connection.Send(FrameLength(kFrameBytes));
      connection.SendRepeatedly(block, kFrameBytes - block.size(), [] { return false; });
    });
  }
  for (auto& sender : senders) {
    sender.join();
  }
  BOOST_TEST(IsServing());
  BOOST_TEST_MESSAGE("memory grew by " << memory.GrowthMebibytes() << " MiB");
  BOOST_TEST(memory.GrowthMebibytes() < 320);
}

// Guards against a connection that holds a thread for as long as its peer sends single bytes.
BOOST_AUTO_TEST_CASE(a_frame_of_single_bytes_ends_in_time)
{
  RawConnection connection(RpcAddress());
  connection.Send(FrameLength(1'000'000));
  const auto end = std::chrono::steady_clock::now() + kCloseDeadline;
  bool isClosed = false;
  while (!isClosed && std::chrono::steady_clock::now() < end) {
    isClosed = !connection.Send("x") || connection.IsClosedWithin(std::chrono::milliseconds(200));
  }
  BOOST_TEST(isClosed);
  BOOST_TEST(IsServing());
}

BOOST_AUTO_TEST_SUITE_END()
