#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "quota/Messages.h"

#include <cstdint>

namespace briarspar::quota {

/// A VM's reserve for one customer: the bucket that it uses while it hears from no owner. Not
/// thread-safe.
///
/// A reserve counts against the rate at the owner that issued it until it ends, is replaced, or is
/// returned to the owner of one later term. Hence it is never used after it was returned, and never
/// returned to two owners.
class HeldReserve {
public:
  /// Takes one token; false if there is none.
  bool take(core::Time now);

  /// Takes in the answer of an owner. An owner of a later term gets a reserve in force back.
  void receive(const GrantAnswer &answer, const CustomerGrant &grant, core::Time sentAt,
               core::Time now);

  /// Called at each tick. A thread may have been stopped between reading the clock and take().
  void dropExpired(core::Time now);

  /// Whether a message must be sent for a report.
  bool isReportUrgent(core::Time now) const;

  /// Whether a report joins a message that is sent. `inUse`: the VM wants tokens of the customer.
  bool shouldPiggybackReport(core::Time now, bool inUse) const;

  /// Returns the report for the request of this sequence.
  ReserveReport report(uint64_t request, int64_t demand, core::Time now);

private:
  bool inForce(core::Time now) const { return Share.MilliPerSecond > 0 && now < Until; }
  void accrue(core::Time now);
  bool holdsOlderThan(core::Term epoch, uint64_t sequence) const;

  core::Term Newest; ///< Latest term of an owner that answered.
  core::Term Epoch;
  uint64_t Sequence = 0;
  Reserve Share;
  core::Time From;
  core::Time Until;
  int64_t Level = 0;      ///< Micro-tokens.
  core::Duration Accrued; ///< Time since From that is counted in Level.
  bool IsSettled = true;  ///< The owner knows that this empty reserve is held.
  uint64_t ReportedIn = 0;
  core::Term ReturnTo;
  uint64_t ReturnedIn = 0; ///< First request that carried the return, as all later ones do.
  core::Time ReportedAt{-1'000'000};
};

} // namespace briarspar::quota
