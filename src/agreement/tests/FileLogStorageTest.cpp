#include "agreement/FileLogStorage.h"
#include "agreement/LogBuffer.h"
#include "agreement/PosixFileSystem.h"
#include "agreement/Replica.h"
#include "agreement/testing/Cluster.h"
#include "agreement/testing/FaultFileSystem.h"
#include "core/testing/Property.h"

#include <filesystem>

using namespace briarspar::core;
using namespace briarspar::agreement;
using briarspar::agreement::testing::Cluster;
using briarspar::agreement::testing::FaultFileSystem;
using briarspar::agreement::testing::ListStateMachine;
using briarspar::agreement::testing::SeededRandomSource;
using briarspar::core::testing::checkProperty;
using Fault = FaultFileSystem::Fault;

namespace {

const Identity Owner{GroupId("g"), Cluster::idOf(0, 1)};
const Configuration OneVoter = makeConfiguration({Owner.Self});

std::unique_ptr<FileLogStorage> openStorage(FileSystem &files, const std::string &folder = "d") {
  auto storage = FileLogStorage::open(files, folder);
  cr_assert(storage.ok(), "%s", storage.status().ToString().c_str());
  return *std::move(storage);
}

Entry command(uint64_t index, uint64_t term) {
  return {LogIndex(index), Term(term), EntryKind::Command, "command " + std::to_string(index)};
}

/// Returns a new, loaded storage with `batches` synced entries after the bootstrap entry.
std::unique_ptr<FileLogStorage> storageWith(FaultFileSystem &files, uint64_t batches) {
  cr_assert(FileLogStorage::initialize(files, "d", Owner, &OneVoter).ok());
  auto storage = openStorage(files);
  cr_assert(storage->load().ok());
  for (uint64_t n = 0; n < batches; ++n) {
    cr_assert(storage->append({command(n + 2, 1)}).ok());
    cr_assert(storage->sync().ok());
  }
  return storage;
}

/// A temporary folder on the real disk.
struct TemporaryFolder {
  TemporaryFolder() {
    std::string pattern = std::filesystem::temp_directory_path() / "agreementXXXXXX";
    Path = ::mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  std::string Path;
};

} // namespace

/// Guards against lost or reverted synced writes, including snapshots, after a power loss, disk
/// error or torn write at any point.
Test(FileLogStorage, syncedWritesSurvivePowerLoss) {
  checkProperty("power loss", [](uint64_t seed) {
    FaultFileSystem files(seed);
    auto storage = storageWith(files, 0);
    files.failAfter(
        *rc::gen::inRange<size_t>(0, 40),
        *rc::gen::element(Fault::None, Fault::DiskFull, Fault::ShortWrite, Fault::SyncError));
    uint64_t synced = 1;
    uint64_t last = 1;
    uint64_t snapshotIndex = 0;
    for (int steps = *rc::gen::inRange(1, 40); steps > 0; --steps) {
      std::vector<Entry> tail;
      for (uint64_t n = last + 1; n <= last + 3; ++n)
        tail.push_back(command(n, last));
      last += tail.size();
      absl::Status status = storage->append(tail);
      status.Update(storage->saveHardState({Term(last), Owner.Self}));
      if (*rc::gen::inRange(0, 4) == 0) {
        status.Update(storage->saveSnapshot({LogIndex(last - 1), Term(last - 3), OneVoter, "state"},
                                            {Term(last), Owner.Self}, {command(last, last - 3)}));
        snapshotIndex = status.ok() ? last - 1 : snapshotIndex;
      } else {
        status.Update(storage->sync());
      }
      if (!status.ok()) {
        RC_ASSERT_FALSE(storage->sync().ok()); // The error is permanent.
        break;
      }
      synced = last;
      if (*rc::gen::inRange(0, 3) == 0)
        (void)storage->append({command(last + 1, last)});
    }
    storage.reset();
    files.losePower();
    auto state = openStorage(files)->load();
    RC_ASSERT(state.ok());
    RC_ASSERT(state->Election.CurrentTerm >= Term(synced == 1 ? 0 : synced));
    RC_ASSERT(state->Entries.back().Index >= LogIndex(synced));
    RC_ASSERT((state->LatestSnapshot ? state->LatestSnapshot->Index.Value : 0) >= snapshotIndex);
    RC_ASSERT(LogBuffer::fromStored(*state).ok());
  });
}

/// Guards against damage to synced records that is mistaken for a torn tail: the voter would
/// restart under its old identity without part of its data.
Test(FileLogStorage, damageToSyncedRecordsIsDataLoss) {
  checkProperty("any damaged byte", [] {
    FaultFileSystem files;
    storageWith(files, 5).reset();
    // Damage to the last batch cannot be distinguished from a torn tail until the next write or
    // load.
    size_t checked = files.content("d/log").rfind("BSR1");
    if (*rc::gen::arbitrary<bool>()) {
      RC_ASSERT(openStorage(files)->load().ok());
      checked = files.content("d/log").size();
    }
    size_t at = *rc::gen::inRange<size_t>(0, checked);
    files.content("d/log")[at] ^= static_cast<char>(1 << *rc::gen::inRange(0, 8));
    RC_ASSERT(absl::IsDataLoss(openStorage(files)->load().status()));
  });
}

/// Guards against a voter that lost its log, snapshot or identity and starts as if it were new.
Test(FileLogStorage, missingFilesAreReported) {
  FaultFileSystem files;
  auto storage = storageWith(files, 3);
  Snapshot snapshot{LogIndex(3), Term(1), OneVoter, "state"};
  cr_assert(storage->saveSnapshot(snapshot, {}, {}).ok());
  storage.reset();
  FaultFileSystem noSnapshot = files;
  noSnapshot.erase("d/snapshot");
  cr_assert(absl::IsDataLoss(openStorage(noSnapshot)->load().status()));
  files.erase("d/log");
  cr_assert(absl::IsDataLoss(openStorage(files)->load().status()));
  files.erase("d/identity");
  cr_assert(absl::IsNotFound(FileLogStorage::open(files, "d").status()));
}

/// Guards against disk errors that are ignored or reported with the wrong status code.
Test(FileLogStorage, diskErrorsBecomeStatuses) {
  struct Case {
    Fault Injected;
    absl::StatusCode Expected;
  };
  for (Case it : {Case{Fault::DiskFull, absl::StatusCode::kResourceExhausted},
                  Case{Fault::ShortWrite, absl::StatusCode::kResourceExhausted},
                  Case{Fault::SyncError, absl::StatusCode::kInternal}}) {
    FaultFileSystem files;
    auto storage = storageWith(files, 2);
    files.failAfter(0, it.Injected);
    (void)storage->append({command(4, 1)});
    cr_assert_eq(storage->sync().code(), it.Expected);
    cr_assert_eq(storage->append({command(5, 1)}).code(), it.Expected);
  }
}

/// Guards against a storage that stays unusable after the disk was full, and against a reopened one
/// that lost a synced entry or kept an earlier error.
Test(FileLogStorage, isUsableAgainAfterADiskError) {
  for (Fault it : {Fault::DiskFull, Fault::ShortWrite, Fault::SyncError}) {
    FaultFileSystem files;
    auto storage = storageWith(files, 2);
    files.failAfter(0, it);
    (void)storage->append({command(4, 1)});
    cr_assert_not(storage->sync().ok());
    absl::StatusOr<StoredState> state = storage->load();
    cr_assert(state.ok());
    cr_assert_geq(state->Entries.size(), 3);
    LogIndex next = state->Entries.back().Index.next();
    cr_assert(storage->append({command(next.Value, 1)}).ok());
    cr_assert(storage->sync().ok());
    cr_assert_eq(storage->load()->Entries.back().Index.Value, next.Value);
  }
}

/// Guards against the loss of a data folder that the process has created itself, with all that it
/// acknowledged.
Test(FileLogStorage, createdFolderSurvivesPowerLoss) {
  FaultFileSystem files;
  storageWith(files, 3).reset();
  files.losePower();
  absl::StatusOr<StoredState> state = openStorage(files)->load();
  cr_assert(state.ok(), "%s", state.status().ToString().c_str());
  cr_assert_eq(state->Entries.size(), 4);
}

/// Guards against a new identity that is found with state of the old one, and against a folder that
/// a power loss during the change makes unreadable.
Test(FileLogStorage, renewedIdentityHasNoState) {
  const VoterId next{Owner.Self.Vm, Incarnation(7)};
  for (size_t operations = 0; operations < 6; ++operations) {
    FaultFileSystem files;
    auto storage = storageWith(files, 3);
    Snapshot snapshot{LogIndex(3), Term(1), OneVoter, "state"};
    cr_assert(storage->saveSnapshot(snapshot, {Term(1), Owner.Self}, {command(4, 1)}).ok());
    files.failAfter(operations, Fault::SyncError);
    bool renewed = storage->renew(next).ok();
    storage.reset();
    files.losePower();
    absl::StatusOr<StoredState> state = openStorage(files)->load();
    cr_assert(state.ok(), "%s", state.status().ToString().c_str());
    cr_assert(!renewed || state->Owner.Self == next);
    if (state->Owner.Self == next) {
      cr_assert_not(state->LatestSnapshot.has_value());
      cr_assert(state->Entries.empty());
      cr_assert(state->Election == HardState{});
    }
  }
}

/// Guards against entries lost or reordered by a restart on the real disk, and against two
/// processes or two initializations in one folder.
Test(FileLogStorage, restartAfterHundredsOfEntries) {
  TemporaryFolder temporary;
  std::string folder = temporary.Path + "/agreement";
  PosixFileSystem files;
  cr_assert(FileLogStorage::initialize(files, folder, Owner, &OneVoter).ok());
  cr_assert(absl::IsAlreadyExists(FileLogStorage::initialize(files, folder, Owner, &OneVoter)));
  ReplicaSettings settings;
  settings.SnapshotInterval = 300;
  settings.RetainedEntries = 10;
  SeededRandomSource random(1);
  std::vector<std::string> proposed;
  Time now{1000};
  for (int restart = 0; restart < 3; ++restart) {
    auto storage = openStorage(files, folder);
    cr_assert(absl::IsFailedPrecondition(FileLogStorage::open(files, folder).status()));
    ListStateMachine machine;
    auto replica = Replica::open(settings, *storage, machine, random, now);
    cr_assert(replica.ok(), "%s", replica.status().ToString().c_str());
    now = now + settings.MaxElectionTimeout;
    (*replica)->tick(now);
    (void)(*replica)->takeActions();
    cr_assert((*replica)->canRead(now).ok());
    cr_assert(machine.Commands == proposed);
    for (int n = 0; n < 250; ++n) {
      proposed.push_back("c" + std::to_string(proposed.size()));
      cr_assert((*replica)->propose(proposed.back(), now).ok());
      if (n % 10 == 9)
        cr_assert_eq((*replica)->takeActions().Results.size(), 10);
    }
  }
}
