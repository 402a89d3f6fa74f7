#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "quota/Messages.h"

#include <cstdint>

namespace briarspar::quota {

/// A VM's reserve for one customer: the token bucket that it uses while it is out of contact with
/// the owner. Not thread-safe.
///
/// The owner that issued a reserve charges it to the rate until the reserve expires, is replaced,
/// or is returned to the owner of one later term. Therefore it must not be used after its return,
/// nor be returned to two owners.
class HeldReserve {
public:
  /// Takes one token. Returns false if there is none.
  bool take(core::Time now);

  /// Processes a response of an owner. A reserve in force is returned to an owner of a later term.
  void receive(const GrantResponse &answer, const CustomerGrant &grant, core::Time sentAt,
               core::Time now);

  /// Drops an expired reserve. Must be called at each tick, because a thread may be suspended
  /// between reading the clock and take().
  void dropExpired(core::Time now);

  /// Returns true if a message must be sent to deliver a report.
  bool isReportUrgent(core::Time now) const;

  /// Returns true if a report should go with a message that is sent anyway. `inUse`: the message
  /// has a demand or a report for the customer.
  bool shouldPiggybackReport(core::Time now, bool inUse) const;

  /// Returns the report for the request with this sequence.
  ReserveReport report(uint64_t request, int64_t demand, core::Time now);

private:
  bool inForce(core::Time now) const { return Share.MilliPerSecond > 0 && now < Until; }
  void accrue(core::Time now);
  bool holdsOlderThan(core::Term epoch, uint64_t sequence) const;

  core::Term Newest; ///< Highest term of an owner that answered.
  core::Term Epoch;
  uint64_t Sequence = 0;
  Reserve Share;
  core::Time From;
  core::Time Until;
  int64_t Level = 0;      ///< Micro-tokens.
  core::Duration Accrued; ///< Time since From that is included in Level.
  bool IsSettled = true;  ///< The owner knows the held reserve and issues no further one.
  uint64_t ReportedIn = 0;
  core::Term ReturnTo;
  uint64_t ReturnedIn = 0; ///< First request that reported the return, as all later ones do.
  core::Time ReportedAt{-1'000'000};
};

} // namespace briarspar::quota
