#include "entry/ProcessBelief.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace briarspar::core;
using namespace briarspar::entry;

namespace {

constexpr Time Now{10'000};
constexpr Time Later{12'000};

} // namespace

/// Guards against a target that gets no requests although nothing was ever observed of it.
Test(ProcessBelief, startsWarmAndCertain) {
  const ProcessBelief belief;
  cr_assert_not(belief.isCold(Now));
  cr_assert_not(belief.isDoubted(Now));
  cr_assert_not(belief.warmAt().has_value());
}

/// Guards against a doubt that remains after the process has answered, and against an answer that
/// does not replace what was known.
Test(ProcessBelief, coldAnswerSettles) {
  ProcessBelief belief;
  belief.learnWarm(Time{8000});
  cr_assert(belief.suspect(Time{9000}, ColdEvidence::Lost, Now));
  belief.learnCold(Time{13'000}, ColdEvidence::Probe, Now);
  cr_assert(belief.isCold(Time{12'999}));
  cr_assert_not(belief.isDoubted(Time{12'999}));
  cr_assert(belief.coldBy() == ColdEvidence::Probe);
  cr_assert_not(belief.warmAt().has_value());
  belief.learnCold(Time{11'000}, ColdEvidence::Notice, Now);
  cr_assert_eq(belief.coldUntil().Ms, 11'000);
  cr_assert(belief.coldBy() == ColdEvidence::Notice);
}

/// Guards against a process that stays limited although it has answered that it is warm.
Test(ProcessBelief, warmAnswerSettles) {
  ProcessBelief belief;
  belief.learnCold(Time{13'000}, ColdEvidence::Notice, Now);
  cr_assert(belief.suspect(Now, ColdEvidence::LostByPeer, Now));
  belief.learnWarm(Later);
  for (Time at : {Later, Time{13'000}, Time{20'000}}) {
    cr_assert_not(belief.isCold(at));
    cr_assert_not(belief.isDoubted(at));
  }
  cr_assert_eq(belief.warmAt()->Ms, Later.Ms);
}

/// Guards against a list that still shows the process before: it must not settle a doubt, and not
/// end a cold time early.
Test(ProcessBelief, listNeitherSettlesNorShortens) {
  ProcessBelief belief;
  belief.suspect(Time{9000}, ColdEvidence::Lost, Now);
  belief.listCold(Time{13'000}, Now);
  cr_assert(belief.isCold(Time{12'000}));
  cr_assert(belief.doubt(Time{12'000}) == ColdEvidence::Lost);
  cr_assert_eq(belief.lastKnown().Ms, 9000);
  belief.learnCold(Time{15'000}, ColdEvidence::Probe, Now);
  for (int64_t until : {0, 11'000, 15'000})
    belief.listCold(Time{until}, Now);
  cr_assert_eq(belief.coldUntil().Ms, 15'000);
  cr_assert(belief.coldBy() == ColdEvidence::Probe);
  belief.listCold(Time{15'001}, Now);
  cr_assert_eq(belief.coldUntil().Ms, 15'001);
  cr_assert(belief.coldBy() == ColdEvidence::List);
}

/// Guards against a further start during a cold time that goes unnoticed, as hardly any VM has a
/// connection then.
Test(ProcessBelief, coldTimeEndsInDoubtUntilAWarmAnswer) {
  for (bool isListed : {false, true}) {
    ProcessBelief belief;
    if (isListed)
      belief.listCold(Time{13'000}, Now);
    else
      belief.learnCold(Time{13'000}, ColdEvidence::Probe, Now);
    cr_assert_not(belief.isDoubted(Time{12'999}));
    cr_assert(belief.doubt(Time{13'000}) == ColdEvidence::ColdOver);
    cr_assert_eq(belief.lastKnown().Ms, Now.Ms); // When it was seen to be cold.
    cr_assert_eq(belief.doubtedSince().Ms, 13'000);
    belief.withdrawDoubt();
    cr_assert(belief.isDoubted(Time{60'000}));
    belief.learnWarm(Time{60'000});
    cr_assert_not(belief.isDoubted(Time{60'000}));
  }
}

/// Guards against a doubt that grows weaker: by a later observation, or by the end of a cold time.
Test(ProcessBelief, doubtKeepsTheEarliestKnownTime) {
  ProcessBelief belief;
  cr_assert(belief.suspect(Time{9000}, ColdEvidence::Lost, Now));
  cr_assert_not(belief.suspect(Time{9500}, ColdEvidence::Lost, Later));
  cr_assert_eq(belief.lastKnown().Ms, 9000);
  cr_assert_not(belief.suspect(Time{8000}, ColdEvidence::LostByPeer, Later));
  cr_assert_eq(belief.lastKnown().Ms, 8000);
  cr_assert(belief.doubt(Later) == ColdEvidence::Lost);
  cr_assert_eq(belief.doubtedSince().Ms, Now.Ms);
}

/// Guards against an own loss that is not passed on because another VM was believed to have done
/// so.
Test(ProcessBelief, ownLossReplacesThatOfAPeer) {
  ProcessBelief belief;
  cr_assert(belief.suspect(Time{9000}, ColdEvidence::LostByPeer, Now));
  cr_assert_not(belief.suspect(Time{9500}, ColdEvidence::Lost, Later));
  cr_assert(belief.doubt(Later) == ColdEvidence::Lost);
  cr_assert_eq(belief.doubtedSince().Ms, Later.Ms);
  cr_assert_eq(belief.lastKnown().Ms, 9000);
}

/// Guards against an open connection of this VM that withdraws what another VM has lost.
Test(ProcessBelief, onlyOwnLossIsWithdrawn) {
  ProcessBelief own;
  own.suspect(Time{9000}, ColdEvidence::Lost, Now);
  own.withdrawDoubt();
  cr_assert_not(own.isDoubted(Now));
  ProcessBelief peers;
  peers.suspect(Time{9000}, ColdEvidence::LostByPeer, Now);
  peers.withdrawDoubt();
  cr_assert(peers.doubt(Now) == ColdEvidence::LostByPeer);
}

/// Guards against evidence that cannot be told apart in the log.
Test(ProcessBelief, everyEvidenceHasItsName) {
  std::set<std::string> names;
  for (int i = 0; i <= static_cast<int>(ColdEvidence::LostByPeer); ++i)
    names.insert(nameOf(static_cast<ColdEvidence>(i)));
  cr_assert_eq(names.size(), 8);
}
