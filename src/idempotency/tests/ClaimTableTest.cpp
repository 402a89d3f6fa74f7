#include "idempotency/ClaimTable.h"
#include "core/testing/Property.h"
#include "idempotency/ClaimCoordinator.h"

#include <string>
#include <vector>

using namespace briarspar::core;
using namespace briarspar::idempotency;

namespace {

RequestKey keyOf(const std::string &id) { return {CustomerId("c"), RouteId("r"), id}; }

AttemptId attempt(const std::string &vm, uint64_t run, uint64_t number) {
  return {VmId(vm), Incarnation(run), number};
}

Claim claimOf(const std::string &id, const AttemptId &by, uint64_t body = 1) {
  return {keyOf(id), by, body, Duration{1000}};
}

Completion answered(const std::string &id, const AttemptId &by, const std::string &answer) {
  return {keyOf(id), by, RunResult::Answered, true, answer};
}

ClaimTableSettings smallSettings() {
  ClaimTableSettings settings;
  settings.MaxAnswerBytes = 100;
  settings.MaxTotalBytes = 4 * (ClaimTable::EntryOverheadBytes + 3 + 100);
  return settings;
}

} // namespace

/// Guards against an id that is shared between customers, or that answers for another body.
Test(ClaimTable, idsAreScopedAndBodiesCompared) {
  ClaimTable table;
  cr_assert_eq(table.claim(claimOf("x", attempt("a", 1, 1)), Time{0}).Status,
               ClaimOutcome::Granted);
  Claim other = claimOf("x", attempt("b", 1, 1));
  other.Key.Customer = CustomerId("d");
  cr_assert_eq(table.claim(other, Time{0}).Status, ClaimOutcome::Granted);
  cr_assert_eq(table.claim(claimOf("x", attempt("b", 1, 2), 2), Time{0}).Status,
               ClaimOutcome::BodyMismatch);
}

/// Guards against a lost outcome: a claimant that dies, or that is silent past its deadline, leaves
/// the id unknown and not free; its late record still counts.
Test(ClaimTable, deadAndLateClaimantsLeaveUnknown) {
  ClaimTable table;
  table.claim(claimOf("dead", attempt("a", 1, 1)), Time{0});
  table.claim(claimOf("late", attempt("b", 1, 1)), Time{0});
  table.markVmDead(VmId("a"), Incarnation(1), Time{10});
  cr_assert_eq(table.claim(claimOf("dead", attempt("b", 1, 2)), Time{20}).Status,
               ClaimOutcome::Unknown);
  cr_assert_eq(table.claim(claimOf("late", attempt("c", 1, 1)), Time{10'999}).Status,
               ClaimOutcome::InProgress);
  cr_assert_eq(table.claim(claimOf("late", attempt("c", 1, 1)), Time{11'000}).Status,
               ClaimOutcome::Unknown);
  table.complete(answered("late", attempt("b", 1, 1), "ok"), Time{11'001});
  cr_assert_eq(table.lookup(claimOf("late", attempt("c", 1, 2)))->Answer, "ok");
}

/// Guards against a release that frees an id whose claimant reported that bytes were sent: a
/// delayed duplicate of the release, or of the claim's grant, must not allow a second run.
Test(ClaimTable, finalRecordsSurviveReleases) {
  ClaimTable table;
  const AttemptId by = attempt("a", 1, 1);
  table.claim(claimOf("x", by), Time{0});
  table.complete({keyOf("x"), by, RunResult::Unknown, false, ""}, Time{1});
  table.release({keyOf("x"), by}, Time{2});
  cr_assert_eq(table.claim(claimOf("x", attempt("b", 1, 1)), Time{3}).Status,
               ClaimOutcome::Unknown);
}

/// Guards against a record of an attempt that does not hold the id.
Test(ClaimTable, onlyTheHolderRecords) {
  ClaimTable table;
  table.claim(claimOf("x", attempt("a", 2, 1)), Time{0});
  table.complete(answered("x", attempt("a", 1, 1), "foreign"), Time{1});
  table.release({keyOf("x"), attempt("b", 2, 1)}, Time{2});
  cr_assert_eq(table.claim(claimOf("x", attempt("b", 1, 1)), Time{3}).Status,
               ClaimOutcome::InProgress);
}

/// Guards against a claim that overtakes its own release and then holds the id with no one to end
/// it.
Test(ClaimTable, releaseBlocksItsDelayedClaim) {
  ClaimTable table;
  table.release({keyOf("x"), attempt("a", 1, 5)}, Time{0});
  cr_assert_eq(table.claim(claimOf("x", attempt("a", 1, 5)), Time{1}).Status,
               ClaimOutcome::Released);
  cr_assert_eq(table.claim(claimOf("x", attempt("a", 1, 6)), Time{2}).Status,
               ClaimOutcome::Granted);
}

/// Guards against a full table that drops young records, or that accepts a claim whose answer it
/// then cannot keep.
Test(ClaimTable, fullTableRefusesAndKeepsWhatItHas) {
  ClaimTable table(smallSettings());
  for (int n = 0; n < 4; ++n)
    cr_assert_eq(table.claim(claimOf(std::to_string(n), attempt("a", 1, n + 1)), Time{0}).Status,
                 ClaimOutcome::Granted);
  cr_assert_eq(table.claim(claimOf("5", attempt("a", 1, 9)), Time{0}).Status, ClaimOutcome::Full);
  for (int n = 0; n < 4; ++n)
    table.complete(answered(std::to_string(n), attempt("a", 1, n + 1), std::string(100, 'x')),
                   Time{1});
  const Duration retention = smallSettings().Retention;
  const Time last{retention.Ms};
  cr_assert_eq(table.claim(claimOf("5", attempt("a", 1, 9)), last).Status, ClaimOutcome::Full);
  for (int n = 0; n < 4; ++n)
    cr_assert_eq(table.lookup(claimOf(std::to_string(n), attempt("b", 1, 1)))->Answer.size(), 100U);
  cr_assert_eq(table.claim(claimOf("5", attempt("a", 1, 9)), last + Duration{1}).Status,
               ClaimOutcome::Granted);
}

/// Guards against an oversized answer that breaks the bound or hides that the request ran.
Test(ClaimTable, oversizedAnswerIsRecordedAsNotKept) {
  ClaimTable table(smallSettings());
  table.claim(claimOf("x", attempt("a", 1, 1)), Time{0});
  table.complete(answered("x", attempt("a", 1, 1), std::string(101, 'x')), Time{1});
  cr_assert_eq(table.lookup(claimOf("x", attempt("b", 1, 1)))->Status, ClaimOutcome::AnswerNotKept);
}

/// Guards against replicas that differ after a restore, and against a damaged snapshot that ends
/// the process or leaves half a table.
Test(ClaimTable, restoredTableBehavesTheSame) {
  testing::checkProperty("snapshot and restore", [](const std::vector<uint8_t> &script) {
    ClaimTable table(smallSettings());
    ClaimTable copy(smallSettings());
    Time now{0};
    for (size_t n = 0; n < script.size(); ++n) {
      const std::string id = std::to_string(script[n] % 5);
      const AttemptId by = attempt(script[n] % 2 ? "a" : "b", 1, script[n] % 3);
      std::vector<ClaimCommand> commands = {claimOf(id, by, script[n] % 7 == 0),
                                            answered(id, by, "answer"), Release{keyOf(id), by},
                                            VmDead{by.Vm, by.Run}, AdvanceTime{}};
      const ClaimCommand &command = commands[(script[n] / 8) % commands.size()];
      now = now + Duration{script[n] * 100'000};
      RC_ASSERT(encode(table.apply(command, now)) == encode(copy.apply(command, now)));
      RC_ASSERT(table.bytesUsed() <= smallSettings().MaxTotalBytes);
      const std::string bytes = table.snapshot();
      ClaimTable restored(smallSettings());
      RC_ASSERT(restored.restore(bytes).ok());
      RC_ASSERT_FALSE(copy.restore(bytes.substr(0, bytes.size() - 1)).ok());
      RC_ASSERT(copy.snapshot() == bytes);
      copy = std::move(restored);
    }
  });
}

/// Guards against an end of the process on bytes from the network.
Test(ClaimMessages, arbitraryBytesGiveAStatus) {
  testing::checkProperty("decoding returns a status", [](const std::vector<uint8_t> &bytes) {
    const std::string buf(bytes.begin(), bytes.end());
    RC_ASSERT_FALSE(decodeClaimCommand(buf).ok());
    RC_ASSERT_FALSE(decodeClaimResult(buf).ok());
  });
}

namespace {

struct Permission final : DispatchPermission {
  bool Valid = true;
  bool valid(Time) const override { return Valid; }
};

size_t dispatches(ClaimCoordinator &coordinator) {
  size_t n = 0;
  for (const ClaimAction &action : coordinator.takeActions())
    n += std::holds_alternative<Dispatch>(action);
  return n;
}

} // namespace

/// Guards against dispatch on an expired lease and against a second dispatch for a duplicated
/// grant.
Test(ClaimCoordinator, dispatchesOnceAndOnlyWithALease) {
  for (bool leaseLost : {false, true}) {
    Permission permission;
    ClaimCoordinator coordinator(VmId("a"), Incarnation(1), permission);
    coordinator.start({7, keyOf("x"), 1, Duration{1000}, true}, Time{0});
    permission.Valid = !leaseLost;
    const ClaimResponse grant{keyOf("x"), attempt("a", 1, 1), {ClaimOutcome::Granted, ""}};
    ClaimResponse ofEarlierRun = grant;
    ofEarlierRun.Attempt.Run = Incarnation(0);
    coordinator.receive(ofEarlierRun, Time{10});
    cr_assert_eq(dispatches(coordinator), 0U);
    coordinator.receive(grant, Time{10});
    permission.Valid = true;
    coordinator.receive(grant, Time{11});
    cr_assert_eq(dispatches(coordinator), leaseLost ? 0U : 1U);
  }
}
