#include <filesystem> // remove_all, temp_directory_path

#include <boost/test/unit_test.hpp>

#include "acaciapulley/core/random.hpp" // RandomHex
#include "acaciapulley/replication/storage.hpp"
#include "memory_disk.hpp"

namespace {

using Contents = std::shared_ptr<DiskContents>;

acp::FileStorage OpenStorage(const Contents& contents, std::uint64_t segmentBytes = 1U << 20U)
{
  return { std::make_unique<MemoryDisk>(contents), { .segmentBytes = segmentBytes } };
}

acp::LogEntry MakeEntry(std::uint64_t term, std::uint64_t index)
{
  acp::LogEntry entry;
  entry.position = { term, index };
  entry.data = "command " + std::to_string(index);
  return entry;
}

acp::WriteBatch Entries(std::uint64_t term, std::uint64_t first, std::uint64_t last)
{
  acp::WriteBatch batch;
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back(MakeEntry(term, i));
  }
  return batch;
}

acp::WriteBatch SnapshotAt(std::uint64_t term, std::uint64_t index, bool resetLog)
{
  acp::WriteBatch batch;
  acp::Snapshot snapshot;
  snapshot.position = { term, index };
  snapshot.state = "state";
  batch.snapshot = std::make_shared<const acp::Snapshot>(snapshot);
  batch.resetLog = resetLog;
  return batch;
}

/// Returns a disk with three records of one entry each in one segment.
Contents MakeThreeRecords()
{
  auto contents = std::make_shared<DiskContents>();
  auto storage = OpenStorage(contents);
  (void)storage.Load().value();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    BOOST_TEST(storage.Write(Entries(1, i, i)).has_value());
  }
  return contents;
}

const std::string kFirstSegment = "log-0000000000000001";

} // namespace

BOOST_AUTO_TEST_SUITE(storage)

// Guards against state that does not survive a restart, and against replaced entries that reappear.
BOOST_AUTO_TEST_CASE(stored_state_survives_restarts)
{
  auto contents = std::make_shared<DiskContents>();
  std::string identity;
  {
    auto storage = OpenStorage(contents, 64);
    identity = storage.Load().value().hardState.identity;
    acp::WriteBatch batch = Entries(1, 1, 40);
    batch.hardState = { identity, "cluster", 4, "other" };
    BOOST_TEST(storage.Write(batch).has_value());
    BOOST_TEST(storage.Write(Entries(2, 31, 35)).has_value());
    BOOST_TEST(storage.Write(SnapshotAt(1, 20, false)).has_value());
    BOOST_TEST(storage.Write(Entries(2, 36, 36)).has_value());
  }
  for (int restart = 0; restart < 3; ++restart) {
    const auto state = OpenStorage(contents, 64).Load().value();
    BOOST_TEST(state.hardState.identity == identity);
    BOOST_TEST(state.hardState.term == 4U);
    BOOST_TEST(state.hardState.vote == "other");
    BOOST_TEST(state.snapshot->position.index == 20U);
    BOOST_REQUIRE(state.entries.size() == 16U);
    BOOST_TEST((state.entries.front() == MakeEntry(1, 21)));
    BOOST_TEST((state.entries.back() == MakeEntry(2, 36)));
  }
}

// Guards against entries of the old log that survive a received snapshot.
BOOST_AUTO_TEST_CASE(received_snapshot_replaces_the_log)
{
  auto contents = std::make_shared<DiskContents>();
  auto storage = OpenStorage(contents);
  (void)storage.Load().value();
  BOOST_TEST(storage.Write(Entries(1, 1, 9)).has_value());
  BOOST_TEST(storage.Write(SnapshotAt(3, 5, true)).has_value());
  BOOST_TEST(storage.Write(Entries(3, 6, 7)).has_value());
  const auto state = OpenStorage(contents).Load().value();
  BOOST_TEST(state.entries.size() == 2U);
  BOOST_TEST(state.entries.front().position.term == 3U);
}

// Guards against a folder that cannot be loaded after a received snapshot, entries and a newer
// snapshot were written as one batch.
BOOST_AUTO_TEST_CASE(merged_batch_with_two_snapshots_is_read_back)
{
  auto contents = std::make_shared<DiskContents>();
  auto storage = OpenStorage(contents);
  (void)storage.Load().value();
  BOOST_TEST(storage.Write(Entries(1, 1, 2)).has_value());
  acp::WriteBatch batch = SnapshotAt(3, 5, true);
  batch.Merge(Entries(3, 6, 9));
  batch.Merge(SnapshotAt(3, 7, false));
  BOOST_TEST(storage.Write(batch).has_value());
  const auto state = OpenStorage(contents).Load();
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST(state.value().snapshot->position.index == 7U);
  BOOST_TEST(state.value().entries.size() == 2U);
}

// Guards against a replica that cannot start after a crash in the middle of a write, and against
// the loss of records before the torn one.
BOOST_AUTO_TEST_CASE(torn_tail_of_any_length_is_truncated)
{
  const auto whole = MakeThreeRecords();
  const std::size_t size = whole->files.at(kFirstSegment).size();
  for (std::size_t cut = 1; cut < 40; ++cut) {
    auto contents = std::make_shared<DiskContents>(*whole);
    contents->files.erase("synced"); // the synced end did not reach the disk
    contents->files[kFirstSegment].resize(size - cut);
    const auto state = OpenStorage(contents).Load().value();
    BOOST_TEST(state.entries.size() == 2U);
    BOOST_TEST(state.tornFile == kFirstSegment);
    BOOST_TEST(OpenStorage(contents).Load().value().entries.size() == 2U);
  }
}

// Guards against corruption that is mistaken for a torn tail, which would drop acknowledged
// entries, and against changes of the corrupt files.
BOOST_AUTO_TEST_CASE(corruption_is_reported_and_files_stay_unchanged)
{
  const auto whole = MakeThreeRecords();
  const std::size_t size = whole->files.at(kFirstSegment).size();
  for (std::size_t at = 0; at < size; ++at) {
    auto contents = std::make_shared<DiskContents>(*whole);
    contents->files[kFirstSegment][at] ^= 0x10;
    const auto before = contents->files;
    const auto state = OpenStorage(contents).Load();
    BOOST_REQUIRE(!state.has_value());
    BOOST_TEST((state.error().code == acp::ReplicationErrorCode::Corrupt));
    BOOST_TEST(state.error().message.find(kFirstSegment + " at offset ") != std::string::npos);
    BOOST_TEST((contents->files == before));
  }
  auto contents = std::make_shared<DiskContents>(*whole);
  contents->files["hard-state"].back() ^= 1;
  BOOST_TEST((OpenStorage(contents).Load().error().code == acp::ReplicationErrorCode::Corrupt));
  contents->files.erase("hard-state");
  BOOST_TEST((OpenStorage(contents).Load().error().code == acp::ReplicationErrorCode::Corrupt));
}

// Guards against a corrupt snapshot that is loaded or skipped.
BOOST_AUTO_TEST_CASE(corrupt_snapshot_is_reported)
{
  const auto contents = MakeThreeRecords();
  auto storage = OpenStorage(contents);
  (void)storage.Load().value();
  BOOST_TEST(storage.Write(SnapshotAt(1, 2, false)).has_value());
  contents->files.at("snapshot-00000000000000000002")[30] ^= 1;
  BOOST_TEST((OpenStorage(contents).Load().error().code == acp::ReplicationErrorCode::Corrupt));
}

// Guards against synced entries that are lost in a crash, whatever remains of the unsynced data.
BOOST_AUTO_TEST_CASE(synced_entries_survive_random_crashes)
{
  constexpr std::uint64_t kSeed = 20'261'204;
  BOOST_TEST_MESSAGE("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  auto contents = std::make_shared<DiskContents>();
  std::uint64_t last = 0;
  for (int round = 0; round < 300; ++round) {
    auto storage = OpenStorage(contents, 200);
    const auto state = storage.Load();
    BOOST_REQUIRE_MESSAGE(state.has_value(), "round " << round);
    const std::uint64_t found =
      state.value().entries.empty()
        ? (state.value().snapshot ? state.value().snapshot->position.index : 0)
        : state.value().entries.back().position.index;
    BOOST_REQUIRE(found == last);
    for (auto writes = random() % 4; writes > 0; --writes) {
      const std::uint64_t count = 1 + random() % 3;
      BOOST_TEST(storage.Write(Entries(1, last + 1, last + count)).has_value());
      last += count;
    }
    if (random() % 5 == 0 && last > 3) {
      BOOST_TEST(storage.Write(SnapshotAt(1, last - 2, false)).has_value());
    }
    // An interrupted write leaves part of a record.
    std::prev(contents->files.lower_bound("snapshot"))->second += std::string(random() % 30, 'x');
    contents->Crash(random);
  }
}

// Guards against two processes that write to one folder; uses the real file system.
BOOST_AUTO_TEST_CASE(folder_disk_persists_files_and_locks_the_folder)
{
  const auto path = std::filesystem::temp_directory_path() / ("acp-" + acp::RandomHex(8));
  {
    acp::FileStorage storage(acp::FolderDisk::Open(path.string()).value(), {});
    (void)storage.Load().value();
    BOOST_TEST(storage.Write(Entries(1, 1, 5)).has_value());
    BOOST_TEST(storage.Write(SnapshotAt(1, 3, false)).has_value());
    BOOST_TEST((acp::FolderDisk::Open(path.string()).error().code ==
                acp::ReplicationErrorCode::StorageFailed));
  }
  acp::FileStorage storage(acp::FolderDisk::Open(path.string()).value(), {});
  BOOST_TEST(storage.Load().value().entries.size() == 2U);
  std::filesystem::remove_all(path);
}

BOOST_AUTO_TEST_SUITE_END()
