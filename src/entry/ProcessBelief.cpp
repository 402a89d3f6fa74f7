#include "entry/ProcessBelief.h"

#include <algorithm>
#include <array>

namespace briarspar::entry {

const char *nameOf(ColdEvidence evidence) {
  constexpr std::array<const char *, 8> names{"",         "list",      "probe", "notice",
                                              "returned", "cold over", "lost",  "lost by peer"};
  return names[static_cast<size_t>(evidence)];
}

void ProcessBelief::learnCold(core::Time until, ColdEvidence evidence, core::Time now) {
  ColdUntil = until;
  ColdBy = evidence;
  ColdSeenAt = now;
  Doubt = ColdEvidence::None;
  WarmAt.reset();
}

void ProcessBelief::listCold(core::Time until, core::Time now) {
  if (until <= ColdUntil)
    return;
  ColdUntil = until;
  ColdBy = ColdEvidence::List;
  ColdSeenAt = now;
}

void ProcessBelief::learnWarm(core::Time now) {
  ColdUntil = std::min(ColdUntil, now);
  ColdBy = ColdEvidence::None;
  Doubt = ColdEvidence::None;
  WarmAt = now;
}

ColdEvidence ProcessBelief::doubt(core::Time now) const {
  if (Doubt != ColdEvidence::None)
    return Doubt;
  return ColdBy != ColdEvidence::None && now >= ColdUntil ? ColdEvidence::ColdOver
                                                          : ColdEvidence::None;
}

bool ProcessBelief::suspect(core::Time lastKnown, ColdEvidence evidence, core::Time now) {
  if (Doubt != ColdEvidence::None) {
    LastKnown = std::min(LastKnown, lastKnown);
    // The own loss is the stronger evidence: this VM has to tell the others.
    if (Doubt == ColdEvidence::LostByPeer && evidence == ColdEvidence::Lost) {
      Doubt = evidence;
      DoubtedSince = now;
    }
    return false;
  }
  Doubt = evidence;
  DoubtedSince = now;
  LastKnown = lastKnown;
  return true;
}

void ProcessBelief::withdrawDoubt() {
  if (Doubt == ColdEvidence::Lost)
    Doubt = ColdEvidence::None;
}

} // namespace briarspar::entry
