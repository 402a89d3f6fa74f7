#include "quota/HeldReserve.h"

#include "quota/TokenBucket.h"

#include <algorithm>

namespace briarspar::quota {

using core::Duration;
using core::Time;

namespace {

/// Intervals between two reports: with a message of its own, and with one that is sent anyway. Two
/// intervals fit into the delay of a reserve, so that one lost message does not make a VM use its
/// reserve while it has an owner.
constexpr Duration RenewInterval{280};
constexpr Duration JoinInterval{220};

/// Interval between two attempts to return a reserve.
constexpr Duration ReturnInterval{50};

} // namespace

void HeldReserve::accrue(Time now) {
  // Measured from the start, so that the clock-rate margin is rounded only once.
  Duration elapsed = std::max(Accrued, core::shortenForClockDrift(now - From));
  int64_t gained = (elapsed - Accrued).Ms * Share.MilliPerSecond;
  Level = std::min(Share.Depth * MicroTokens, Level + gained);
  Accrued = elapsed;
}

bool HeldReserve::take(Time now) {
  if (ReturnTo != core::Term() || !inForce(now) || now < From)
    return false;
  accrue(now);
  if (Level < MicroTokens)
    return false;
  Level -= MicroTokens;
  return true;
}

void HeldReserve::receive(const GrantAnswer &answer, const CustomerGrant &grant, Time sentAt,
                          Time now) {
  if (answer.Epoch < Newest)
    return;
  Newest = answer.Epoch;
  if (ReturnTo != core::Term()) {
    bool isAcked = ReturnedIn != 0 && answer.Sequence >= ReturnedIn;
    if (answer.Epoch == ReturnTo && !isAcked)
      return;
    Share = Reserve();
    ReturnTo = core::Term();
  } else if (Epoch < answer.Epoch && inForce(now)) {
    // A returned reserve accrues at the new owner at once, so it must have started.
    if (now < From)
      return;
    accrue(now);
    ReturnTo = answer.Epoch;
    ReturnedIn = 0;
    ReportedAt = now - ReturnInterval;
    return;
  }
  if (!grant.NextReserve && answer.Epoch == Epoch && answer.Sequence == ReportedIn)
    IsSettled = true;
  if (!grant.NextReserve || !holdsOlderThan(answer.Epoch, answer.Sequence))
    return;
  Epoch = answer.Epoch;
  Sequence = answer.Sequence;
  Share = *grant.NextReserve;
  IsSettled = false;
  // Both clocks read whole milliseconds, hence one more.
  From = now + core::lengthenForClockDrift(answer.ReserveDelay) + Duration{1};
  Until = sentAt + core::shortenForClockDrift(answer.ReserveLength);
  Accrued = Duration{0};
  Level = Share.InitialTokens * MicroTokens;
}

bool HeldReserve::holdsOlderThan(core::Term epoch, uint64_t sequence) const {
  return Epoch < epoch || (Epoch == epoch && Sequence < sequence);
}

void HeldReserve::dropExpired(Time now) {
  if (now >= Until && ReturnTo == core::Term())
    Share = Reserve();
}

bool HeldReserve::isReportUrgent(Time now) const {
  if (ReturnTo != core::Term())
    return now - ReportedAt >= ReturnInterval;
  return !IsSettled && now < Until && now - ReportedAt >= RenewInterval;
}

bool HeldReserve::shouldPiggybackReport(Time now, bool inUse) const {
  if (ReturnTo != core::Term())
    return true;
  return (inUse || (!IsSettled && now < Until)) && now - ReportedAt >= JoinInterval;
}

ReserveReport HeldReserve::report(uint64_t request, int64_t demand, Time now) {
  ReportedAt = now;
  ReportedIn = request;
  ReserveReport report{Epoch, Sequence, demand, ReturnTo, 0, 0, 0};
  if (ReturnTo != core::Term()) {
    report.MilliPerSecond = Share.MilliPerSecond;
    report.Depth = Share.Depth;
    report.Tokens = Level / MicroTokens;
    if (ReturnedIn == 0)
      ReturnedIn = request;
  }
  return report;
}

} // namespace briarspar::quota
