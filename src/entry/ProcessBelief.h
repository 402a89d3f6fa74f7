#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <optional>

namespace briarspar::entry {

/// What shows that a target is cold, or may be.
enum class ColdEvidence : uint8_t {
  None,      ///< It is not cold.
  List,      ///< The target list.
  Probe,     ///< Its response to a health probe of this VM.
  Notice,    ///< Its response to another VM.
  Returned,  ///< It passed a probe after it had failed.
  ColdOver,  ///< Its cold time is over, and nothing shows that it is still the same process.
  Lost,      ///< This VM lost a connection to it: another process may run under its id.
  LostByPeer ///< The same, noticed by another VM.
};

/// Returns the name of an evidence in log events.
const char *nameOf(ColdEvidence evidence);

/// What one VM believes of the process behind the id of a target: until when it is cold, and
/// whether it may be another process than the one that the VM knew. A process that starts under the
/// id of an earlier one is cold. Nothing announces the start to a VM; but a request can reach the
/// new process only over a connection that was opened after the end of the old one. So a VM that
/// has lost a connection, or learned that another VM has, takes the target for cold on new
/// connections and goes on over those that it opened before. The same holds after a cold time:
/// hardly any VM had a connection then, so that a further start may have gone unnoticed. A health
/// probe settles the question. Not thread-safe.
class ProcessBelief {
public:
  /// Records that the process has responded that it is cold until a time. Settles a doubt.
  void learnCold(core::Time until, ColdEvidence evidence, core::Time now);

  /// Records that the target list shows the process as cold until a time. The list lags: it may
  /// show an earlier process, so it neither settles a doubt nor shortens a time.
  void listCold(core::Time until, core::Time now);

  /// Records that the process has responded that it is not cold. Settles a doubt.
  void learnWarm(core::Time now);

  /// Records that the process may have ended since `lastKnown`, when it was last known to run.
  /// Returns whether that is new.
  bool suspect(core::Time lastKnown, ColdEvidence evidence, core::Time now);

  /// Withdraws the doubt that a connection of this VM raised, because another one is still open.
  void withdrawDoubt();

  bool isCold(core::Time now) const { return now < ColdUntil; }
  core::Time coldUntil() const { return ColdUntil; }
  ColdEvidence coldBy() const { return ColdBy; }

  /// Returns what raises a doubt, or None.
  ColdEvidence doubt(core::Time now) const;
  bool isDoubted(core::Time now) const { return doubt(now) != ColdEvidence::None; }
  core::Time doubtedSince() const { return Doubt == ColdEvidence::None ? ColdUntil : DoubtedSince; }

  /// While in doubt, connections opened up to then lead to the process that was known.
  core::Time lastKnown() const { return Doubt == ColdEvidence::None ? ColdSeenAt : LastKnown; }

  /// Returns when the process has last said that it was not cold.
  std::optional<core::Time> warmAt() const { return WarmAt; }

private:
  core::Time ColdUntil;
  ColdEvidence ColdBy =
      ColdEvidence::None; ///< None after the process has said that it is not cold.
  core::Time ColdSeenAt;
  ColdEvidence Doubt = ColdEvidence::None;
  core::Time DoubtedSince;
  core::Time LastKnown;
  std::optional<core::Time> WarmAt;
};

} // namespace briarspar::entry
