#include "lease/LeaseHolder.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace briarspar::lease {

using core::Duration;
using core::Time;

namespace {

/// Number of outstanding renewals kept. Older ones cannot extend the lease any more: at the
/// shortest interval of 200 ms they were sent more than a lease length ago.
constexpr size_t MaxOutstanding = 16;

constexpr int64_t NeverValid = std::numeric_limits<int64_t>::min();

} // namespace

LeaseHolder::LeaseHolder(const LeaseHolderSettings &settings, const core::VmId &vm,
                         core::Incarnation inc, ConfigApplier &target, Random random,
                         LeaseHolderListener *listener)
    : Settings(settings), Vm(vm), Inc(inc), Target(target), Rng(std::move(random)),
      Listener(listener), ValidUntilMs(NeverValid) {}

std::optional<Renewal> LeaseHolder::tick(Time now, Duration ahead) {
  checkExpiry(now);
  if (Fenced)
    return std::nullopt;
  if (!NextRenewal)
    NextRenewal = now + Duration{static_cast<int64_t>(Rng(Settings.Interval.Ms))};
  // `ahead` does not shorten the back-off of retries or the wait after Busy.
  if (now + (Unanswered == 0 ? ahead : Duration{0}) < *NextRenewal)
    return std::nullopt;

  Renewal renewal;
  renewal.Vm = Vm;
  renewal.Inc = Inc;
  renewal.Sequence = ++Sequence;
  renewal.LastAnswered = LastAnswered;
  renewal.Applied = Target.version();
  renewal.Digest = Target.digest();
  renewal.Draining = Draining;
  renewal.NeedsFullState = NeedsFullState;
  if (Listener != nullptr)
    renewal.Attachment = Listener->renewalAttachment(now);
  NextRenewal = now + nextInterval(now);
  ++Unanswered;
  Outstanding.push_back({Sequence, now});
  if (Outstanding.size() > MaxOutstanding)
    Outstanding.pop_front();
  return renewal;
}

absl::Status LeaseHolder::receive(const RenewalAnswer &answer, Time now) {
  checkExpiry(now);
  if (answer.Vm != Vm || answer.Inc != Inc)
    return absl::InvalidArgumentError("renewal answer is addressed to another VM or incarnation");
  if (Fenced)
    return absl::AbortedError("this incarnation is fenced by a newer one");
  if (answer.Result != RenewalResult::Granted)
    return handleRefusal(answer, now);
  if (absl::Status status = checkAnswer(answer); !status.ok())
    return status;
  if (absl::Status status = applyUpdate(answer); !status.ok())
    return status;

  auto sent = std::find_if(Outstanding.begin(), Outstanding.end(),
                           [&](const Sent &s) { return s.Sequence == answer.Sequence; });
  Time sentAt = sent->At;
  Outstanding.erase(Outstanding.begin(), sent + 1);
  LastAnswered = answer.Sequence;
  Unanswered = static_cast<uint32_t>(Sequence - answer.Sequence);
  if (Unanswered == 0)
    NextRenewal = std::max(now, sentAt + jittered(Settings.Interval));
  if (Listener != nullptr)
    Listener->onAnswer(answer.Attachment, now);
  extend(sentAt, answer.Length, now);
  return absl::OkStatus();
}

absl::Status LeaseHolder::checkAnswer(const RenewalAnswer &answer) const {
  bool known = std::any_of(Outstanding.begin(), Outstanding.end(),
                           [&](const Sent &s) { return s.Sequence == answer.Sequence; });
  if (!known)
    return absl::FailedPreconditionError(
        absl::StrCat("renewal ", answer.Sequence, " is not outstanding"));
  if (answer.Version < Target.version())
    return absl::FailedPreconditionError(absl::StrCat("renewal answer has configuration version ",
                                                      answer.Version.Value, "; ",
                                                      Target.version().Value, " is in force"));
  return absl::OkStatus();
}

absl::Status LeaseHolder::handleRefusal(const RenewalAnswer &answer, Time now) {
  switch (answer.Result) {
  case RenewalResult::Fenced:
    Fenced = true;
    ValidUntilMs.store(NeverValid, std::memory_order_release);
    checkExpiry(now);
    return absl::AbortedError("a newer incarnation of this VM exists");
  case RenewalResult::Busy:
    // Random delay, so that VMs refused in the same second do not retry at the same time.
    NextRenewal = now + answer.RetryAfter + Duration{static_cast<int64_t>(Rng(Settings.Retry.Ms))};
    return absl::UnavailableError("leader reached its limit of full states per second");
  case RenewalResult::Stale:
    return absl::FailedPreconditionError("leader already answered a newer renewal");
  default:
    return absl::UnavailableError("the replica holds no leader lease");
  }
}

absl::Status LeaseHolder::applyUpdate(const RenewalAnswer &answer) {
  bool inForce = answer.Version == Target.version() && answer.Digest == Target.digest();
  if (inForce && !NeedsFullState)
    return absl::OkStatus();
  if (answer.Update.empty()) {
    // The renewal was sent before the full state became necessary.
    NeedsFullState = true;
    return absl::FailedPreconditionError("renewal answer lacks the configuration update");
  }
  absl::Status status = Target.apply(answer.Version, answer.Digest, answer.Update);
  if (status.ok() && (Target.version() != answer.Version || Target.digest() != answer.Digest))
    status = absl::DataLossError("configuration digest mismatch after the update");
  if (status.ok())
    NeedsFullState = false;
  else if (!absl::IsFailedPrecondition(status))
    NeedsFullState = true;
  return status;
}

void LeaseHolder::extend(Time sentAt, Duration length, Time now) {
  Time until = std::max(validUntil(), sentAt + core::shortenForClockDrift(length));
  ValidUntilMs.store(until.Ms, std::memory_order_release);
  if (ReportedHeld || !valid(now))
    return;
  ReportedHeld = true;
  if (Listener != nullptr)
    Listener->onLeaseGained(now);
}

void LeaseHolder::checkExpiry(Time now) {
  if (!ReportedHeld || valid(now))
    return;
  ReportedHeld = false;
  if (Listener != nullptr)
    Listener->onLeaseLost(now);
}

Duration LeaseHolder::nextInterval(Time now) {
  if (Unanswered == 0)
    return jittered(Settings.Interval);
  if (valid(now))
    return jittered(Settings.Retry);
  constexpr uint32_t maxDoublings = 10;
  Duration backoff = Settings.Retry * (int64_t{1} << std::min(Unanswered, maxDoublings));
  backoff = std::min(backoff, Settings.MaxBackoff);
  // Half of the back-off is random, so that VMs that lost their leases together do not retry
  // together.
  return backoff / 2 + Duration{static_cast<int64_t>(Rng(backoff.Ms / 2 + 1))};
}

Duration LeaseHolder::jittered(Duration interval) {
  int64_t range = interval.Ms * Settings.JitterPercent / 100;
  return interval - Duration{static_cast<int64_t>(Rng(range + 1))};
}

} // namespace briarspar::lease
