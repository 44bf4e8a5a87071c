#include <boost/test/unit_test.hpp>

#include <string>

#include "../transport_test/raw_thrift_peer.hpp"
#include "acaciapulley/control/detail/wire_codec.hpp"
#include "gen/command_types.h"

BOOST_AUTO_TEST_SUITE(wire_codec)

// Guards against memory for the elements that a stored or sent structure announces.
BOOST_AUTO_TEST_CASE(announced_elements_are_not_decoded)
{
  for (const std::uint64_t count : { 5'000'000ULL, 2'147'483'647ULL }) {
    const std::string bytes = acp::test::FieldStart(3, acp::test::kListType) +
                              acp::test::ListStart(acp::test::kStructType, count);
    const acp::test::PeakMemory memory;
    acp::wire::ControlSnapshot snapshot;
    BOOST_TEST(!acp::detail::DecodeWire(bytes, &snapshot));
    BOOST_TEST_MESSAGE("memory grew by " << memory.GrowthMebibytes() << " MiB");
    BOOST_TEST(memory.GrowthMebibytes() < 64);
  }
}

// Guards against the limits of frames for a snapshot, which is sent in chunks.
BOOST_AUTO_TEST_CASE(a_snapshot_of_120_mb_is_decoded)
{
  acp::wire::ControlSnapshot snapshot;
  snapshot.documents.resize(10);
  for (auto& history : snapshot.documents) {
    history.versions.resize(100);
    for (auto& version : history.versions) {
      version.body.assign(120'000, 'd');
    }
  }
  snapshot.audit.resize(100'000);
  acp::wire::ControlSnapshot decoded;
  BOOST_TEST(acp::detail::DecodeWire(acp::detail::EncodeWire(snapshot), &decoded));
  BOOST_TEST((decoded == snapshot));
}

BOOST_AUTO_TEST_SUITE_END()
