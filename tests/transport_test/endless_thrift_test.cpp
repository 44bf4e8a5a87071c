#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "acaciapulley/transport/control_channel.hpp"
#include "fake_control_replica.hpp"
#include "raw_thrift_peer.hpp"

namespace {

using acp::test::FieldStart;
using acp::test::FrameLength;
using acp::test::ListStart;
using acp::test::RawConnection;
using acp::test::SyncReplyStart;

constexpr std::size_t kMaxGrowthMebibytes = 64;
constexpr std::uint64_t kMaxSentBytes = 400 * acp::test::kMebibyte;
constexpr auto kDeadline = std::chrono::seconds(10);

/// Result of a call to a faulty host.
struct Outcome
{
  std::string error;
  std::size_t growthMebibytes = 0;
  bool isInTime = false;
};

std::string Sync(acp::ControlChannel& channel)
{
  acp::wire::SyncReply reply;
  const auto done = channel.Call(
    [&](acp::wire::ControlServiceIf& control) { control.Sync(reply, acp::wire::SyncRequest()); });
  return done ? "success" : std::string(acp::NameOf(done.error().code));
}

/// Makes one call to a host that responds as @p script says; stops the host if the call is not over
/// after kDeadline.
Outcome CallFaultyHost(const acp::test::RawThriftServer::Script& script)
{
  auto server = std::make_unique<acp::test::RawThriftServer>(script);
  acp::ControlChannel channel({ .replicas = { server->ListenAddress() } });
  const acp::test::PeakMemory memory;
  auto call = std::async(std::launch::async, [&] {
    try {
      return Sync(channel);
    } catch (const std::exception& e) {
      return std::string("exception ") + e.what();
    }
  });
  Outcome outcome;
  outcome.isInTime = call.wait_for(kDeadline) == std::future_status::ready;
  server.reset();
  outcome.error = call.get();
  outcome.growthMebibytes = memory.GrowthMebibytes();
  BOOST_TEST_MESSAGE("ended with " << outcome.error << ", memory grew by "
                                   << outcome.growthMebibytes << " MiB");
  return outcome;
}

void CheckRefused(const Outcome& outcome)
{
  BOOST_TEST(outcome.isInTime);
  BOOST_TEST(outcome.error == "connection_lost");
  BOOST_TEST(outcome.growthMebibytes < kMaxGrowthMebibytes);
}

acp::test::RawThriftServer::Script Respond(const std::string& bytes)
{
  return [bytes](RawConnection& connection, const std::atomic<bool>& /*isStopping*/) {
    connection.Send(bytes);
    connection.IsClosedWithin(kDeadline);
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_thrift)

// Guards against memory for the elements that a list announces, before any of them was received.
BOOST_AUTO_TEST_CASE(announced_members_take_no_memory)
{
  for (const std::uint64_t count : { 5'000'000ULL, 2'147'483'647ULL }) {
    const std::string content =
      SyncReplyStart() + FieldStart(5, acp::test::kListType) + ListStart(12, count);
    CheckRefused(CallFaultyHost(Respond(acp::test::Frame(content))));
  }
}

// Guards against members of one byte each, whose decoded form is hundreds of times larger.
BOOST_AUTO_TEST_CASE(a_frame_of_empty_members_is_refused)
{
  constexpr std::size_t kCount = 4'000'000;
  const std::string content = SyncReplyStart() + FieldStart(5, acp::test::kListType) +
                              ListStart(12, kCount) + std::string(kCount + 2, '\0');
  CheckRefused(CallFaultyHost(Respond(acp::test::Frame(content))));
}

// Guards against a string that continues in the following frames, without end.
BOOST_AUTO_TEST_CASE(a_string_never_continues_in_the_next_frame)
{
  const std::string block = acp::test::Frame(std::string(acp::test::kMebibyte, 'x'));
  for (const std::uint64_t length : { 90'000'000ULL, 2'147'483'647ULL }) {
    const std::string start =
      SyncReplyStart() + FieldStart(8, acp::test::kBinaryType) + acp::test::Varint(length);
    CheckRefused(
      CallFaultyHost([&](RawConnection& connection, const std::atomic<bool>& isStopping) {
        connection.Send(acp::test::Frame(start));
        connection.SendRepeatedly(block, kMaxSentBytes, [&] { return isStopping.load(); });
      }));
  }
}

// Guards against a message that consists of unknown fields without end.
BOOST_AUTO_TEST_CASE(skipped_fields_never_continue_in_the_next_frame)
{
  std::string fields;
  while (fields.size() < acp::test::kMebibyte) {
    fields +=
      FieldStart(0, acp::test::kBinaryType) + acp::test::Varint(200) + acp::test::Varint(1) + "x";
  }
  CheckRefused(CallFaultyHost([&](RawConnection& connection, const std::atomic<bool>& isStopping) {
    connection.Send(acp::test::Frame(SyncReplyStart()));
    while (!isStopping && connection.Send(acp::test::Frame(fields))) {
    }
  }));
}

// Guards against memory for an announced frame, and against a frame above the limit.
BOOST_AUTO_TEST_CASE(an_oversized_frame_is_refused)
{
  for (const std::uint32_t length : { 20'971'521U, 100'000'000U, 2'147'483'647U, 4'294'967'295U }) {
    const std::string block(acp::test::kMebibyte, 'x');
    CheckRefused(
      CallFaultyHost([&](RawConnection& connection, const std::atomic<bool>& isStopping) {
        connection.Send(FrameLength(length));
        connection.SendRepeatedly(block, kMaxSentBytes, [&] { return isStopping.load(); });
      }));
  }
}

// Guards against a stack overflow by nested structs in an unknown field.
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused)
{
  const std::string nested(1'000'000, FieldStart(15, acp::test::kStructType)[0]);
  CheckRefused(CallFaultyHost(Respond(acp::test::Frame(SyncReplyStart() + nested))));
  const std::string lists(1'000'000, FieldStart(1, acp::test::kListType)[0]);
  CheckRefused(CallFaultyHost(
    Respond(acp::test::Frame(SyncReplyStart() + FieldStart(15, acp::test::kListType) + lists))));
}

// Guards against negative lengths, which exceed any limit once they are cast.
BOOST_AUTO_TEST_CASE(negative_lengths_are_refused)
{
  const std::string negative = acp::test::Varint(4'294'967'295U);
  CheckRefused(CallFaultyHost(Respond(acp::test::Frame(
    SyncReplyStart() + FieldStart(5, acp::test::kListType) + FieldStart(15, 12) + negative))));
  CheckRefused(CallFaultyHost(Respond(
    acp::test::Frame(SyncReplyStart() + FieldStart(8, acp::test::kBinaryType) + negative))));
}

// Guards against a host that sends so slowly that no single wait times out.
BOOST_AUTO_TEST_CASE(a_reply_of_single_bytes_ends_the_call_in_time)
{
  const auto outcome =
    CallFaultyHost([](RawConnection& connection, const std::atomic<bool>& isStopping) {
      connection.Send(FrameLength(1'000'000));
      while (!isStopping && connection.Send("x")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    });
  BOOST_TEST(outcome.isInTime);
  BOOST_TEST(outcome.error == "timeout");
}

// Guards against a limit below the answer to a node without state, with all stores of control full.
BOOST_AUTO_TEST_CASE(the_largest_answer_to_a_node_passes)
{
  acp::test::FakeControlReplica replica(
    [](acp::wire::SyncReply& reply, const acp::wire::SyncRequest& /*request*/) {
      acp::wire::DocumentRecord document;
      document.body.assign(131'072, 'd');
      reply.delta.documents.assign(100, document);
      acp::wire::IssuedKey key;
      key.account.assign(64, 'a');
      key.id.assign(32, 'i');
      key.hash.assign(64, 'h');
      reply.delta.issuedKeys.assign(20'000, key);
      acp::wire::Member member;
      member.nodeId.assign(128, 'n');
      reply.members.assign(540, member);
      acp::wire::FleetRecord fleet;
      fleet.document.assign(acp::test::kMebibyte, 'f');
      reply.__set_fleet(fleet);
    });
  acp::ControlChannel channel(
    { .replicas = { replica.ListenAddress() }, .timeout = std::chrono::seconds(10) });
  BOOST_TEST(Sync(channel) == "success");
}

BOOST_AUTO_TEST_SUITE_END()
