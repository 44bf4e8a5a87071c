#include <array>    // array
#include <optional> // optional

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "acaciapulley/replication/storage.hpp"
#include "faulty_disk.hpp"

namespace {

constexpr std::uint64_t kSegmentBytes = 200;
constexpr int kStartsDuringFault = 5;

using Contents = std::shared_ptr<DiskContents>;
using Plan = std::shared_ptr<DiskFaultPlan>;

/// A replica that restarts as often as its disk makes it, and what its storage has acknowledged.
class StoredReplica
{
public:
  explicit StoredReplica(Contents contents, Plan plan)
    : contents_(std::move(contents))
    , plan_(std::move(plan))
  {
  }

  /// Plays the life of a replica; returns false when the disk has failed.
  bool Live()
  {
    if (!Start()) {
      return false;
    }
    for (int round = 0; round < 3; ++round) {
      ++term_;
      acp::WriteBatch batch = Entries(last_ + 1, last_ + 4);
      batch.hardState = { identity_, "cluster", term_, "voter" };
      const bool isWritten = Write(batch) && Write(Entries(last_ - 1, last_)) &&
                             Write(Entries(last_ + 1, last_ + 6)) &&
                             Write(SnapshotAt(last_ - 3, false));
      if (!isWritten) {
        return false;
      }
    }
    ++term_;
    return Write(SnapshotAt(last_ + 5, true)) && Write(Entries(last_ + 1, last_ + 3)) && Start() &&
           Write(Entries(last_ - 1, last_ + 2));
  }

  /// Starts the replica and checks that everything acknowledged is there.
  bool Start()
  {
    storage_.emplace(std::make_unique<FaultyDisk>(contents_, plan_),
                     acp::FileStorageOptions{ .segmentBytes = kSegmentBytes });
    const auto state = storage_->Load();
    if (!state) {
      BOOST_TEST((state.error().code == acp::ReplicationErrorCode::StorageFailed),
                 state.error().Describe());
      return false;
    }
    Check(state.value());
    return true;
  }

  bool Write(const acp::WriteBatch& batch)
  {
    pending_ = batch;
    if (!storage_->Write(batch)) {
      return false;
    }
    Acknowledge();
    return true;
  }

  bool WriteNext()
  {
    ++term_;
    return Write(Entries(last_ + 1, last_ + 2));
  }

private:
  [[nodiscard]] acp::WriteBatch Entries(std::uint64_t first, std::uint64_t last) const
  {
    acp::WriteBatch batch;
    for (std::uint64_t i = first; i <= last; ++i) {
      acp::LogEntry entry;
      entry.position = { term_, i };
      entry.data = "entry " + std::to_string(i) + " of term " + std::to_string(term_);
      batch.entries.push_back(entry);
    }
    return batch;
  }

  [[nodiscard]] acp::WriteBatch SnapshotAt(std::uint64_t index, bool resetLog) const
  {
    acp::Snapshot snapshot;
    snapshot.position = { term_, index };
    acp::WriteBatch batch;
    batch.snapshot = std::make_shared<const acp::Snapshot>(snapshot);
    batch.resetLog = resetLog;
    return batch;
  }

  void Acknowledge()
  {
    if (pending_->hardState) {
      hardState_ = *pending_->hardState;
    }
    if (pending_->snapshot) {
      snapshot_ = pending_->snapshot->position;
      if (pending_->resetLog) {
        entries_.clear();
        last_ = snapshot_.index;
      }
    }
    if (!pending_->entries.empty()) {
      entries_.erase(entries_.lower_bound(pending_->entries.front().position.index),
                     entries_.end());
      for (const auto& entry : pending_->entries) {
        entries_[entry.position.index] = entry;
      }
      last_ = pending_->entries.back().position.index;
    }
    pending_.reset();
  }

  void Check(const acp::StoredState& state)
  {
    if (identity_.empty()) {
      identity_ = state.hardState.identity;
    }
    BOOST_TEST(state.hardState.identity == identity_);
    BOOST_TEST(state.hardState.term >= hardState_.term);
    const std::uint64_t covered = state.snapshot ? state.snapshot->position.index : 0;
    BOOST_TEST(covered >= snapshot_.index);
    // A write that was not acknowledged may have reached the disk as a whole, in no other way.
    const bool isPendingThere = pending_ && IsThere(state, *pending_);
    if (isPendingThere) {
      Acknowledge();
    }
    pending_.reset();
    const std::uint64_t found =
      state.entries.empty() ? covered : state.entries.back().position.index;
    BOOST_TEST(found == last_);
    for (const auto& entry : state.entries) {
      BOOST_TEST((entry == entries_.at(entry.position.index)));
    }
  }

  static bool IsThere(const acp::StoredState& state, const acp::WriteBatch& batch)
  {
    if (!batch.entries.empty()) {
      return !state.entries.empty() && state.entries.back() == batch.entries.back();
    }
    return batch.snapshot && state.snapshot && state.snapshot->position == batch.snapshot->position;
  }

  Contents contents_;
  Plan plan_;
  std::optional<acp::FileStorage> storage_;
  std::string identity_;
  std::uint64_t term_ = 0;
  acp::HardState hardState_;
  acp::LogPosition snapshot_;
  std::map<std::uint64_t, acp::LogEntry> entries_;
  std::uint64_t last_ = 0;
  std::optional<acp::WriteBatch> pending_; ///< written, but not acknowledged
};

int CountOperations()
{
  const auto plan = std::make_shared<DiskFaultPlan>();
  StoredReplica replica(std::make_shared<DiskContents>(), plan);
  BOOST_REQUIRE(replica.Live());
  return plan->operations;
}

constexpr std::array kFaults = { DiskFault::NoRoom,
                                 DiskFault::RoomForHalf,
                                 DiskFault::NoCreation,
                                 DiskFault::Dead,
                                 DiskFault::OneError };

} // namespace

BOOST_AUTO_TEST_SUITE(storage_faults)

// Guards against a folder that cannot be loaded any more after starts on a disk without room.
BOOST_DATA_TEST_CASE(folder_is_usable_after_starts_on_a_failing_disk,
                     boost::unit_test::data::xrange(kFaults.size()))
{
  const int operations = CountOperations();
  for (int at = 0; at < operations; ++at) {
    for (int starts = 0; starts <= kStartsDuringFault; ++starts) {
      const auto plan = std::make_shared<DiskFaultPlan>(
        DiskFaultPlan{ .fault = kFaults.at(sample), .operationsUntilFault = at });
      StoredReplica replica(std::make_shared<DiskContents>(), plan);
      BOOST_TEST_CONTEXT("operation " << at << ", " << starts << " starts during the fault")
      {
        (void)replica.Live();
        for (int i = 0; i < starts; ++i) {
          (void)replica.Start();
        }
        plan->isOver = true;
        BOOST_TEST((replica.Start() && replica.WriteNext() && replica.Start()));
      }
    }
  }
  BOOST_TEST_MESSAGE("points: " << operations * (kStartsDuringFault + 1));
}

// Guards against a folder that cannot be loaded after a loss of power between two disk operations.
BOOST_AUTO_TEST_CASE(folder_is_usable_after_a_loss_of_power_at_any_operation)
{
  constexpr int kSeeds = 40;
  const int operations = CountOperations();
  for (int at = 0; at < operations; ++at) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      std::mt19937_64 random(static_cast<std::uint64_t>(seed));
      const auto contents = std::make_shared<DiskContents>();
      StoredReplica replica(contents, std::make_shared<DiskFaultPlan>());
      BOOST_TEST_CONTEXT("operation " << at << ", seed " << seed)
      {
        contents->operationsUntilCrash = at;
        // Each start may lose power again.
        for (bool isDown = true; isDown;) {
          try {
            isDown = false;
            (void)(at % 2 == 0 ? replica.Live() : replica.Start() && replica.WriteNext());
          } catch (const DiskCrash&) {
            isDown = true;
            contents->Crash(random);
            contents->operationsUntilCrash =
              random() % 4 == 0 ? static_cast<int>(random() % 20) : -1;
          }
        }
        contents->operationsUntilCrash = -1;
        BOOST_TEST((replica.Start() && replica.WriteNext() && replica.Start()));
      }
    }
  }
  BOOST_TEST_MESSAGE("points: " << operations * kSeeds);
}

BOOST_AUTO_TEST_SUITE_END()
