#include "lease/LeaseGrantor.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace briarspar::lease {

using core::ConfigVersion;
using core::Duration;
using core::Time;
using core::VmId;

namespace {

/// Maximum number of grants per VM. The two oldest are merged beyond it, which is conservative: the
/// VM can only be pending for longer.
constexpr size_t MaxGrants = 8;

constexpr Duration FullStateWindowLength = Duration::seconds(1);

} // namespace

LeaseGrantor::LeaseGrantor(const LeaseGrantorSettings &settings, const ConfigSource &source,
                           LeaderLease holdsLeaderLease, LeaseGrantorListener *listener)
    : Settings(settings), Source(source), HoldsLeaderLease(std::move(holdsLeaderLease)),
      Listener(listener),
      // Leases of other leaders are unknown until becomeLeader().
      PredecessorExpiry{std::numeric_limits<int64_t>::max()} {}

RenewalResponse LeaseGrantor::renew(const Renewal &renewal, Time now) {
  RenewalResponse answer;
  answer.Vm = renewal.Vm;
  answer.Inc = renewal.Inc;
  answer.Sequence = renewal.Sequence;
  answer.Result = RenewalResult::NotLeader;
  if (!HoldsLeaderLease(now))
    return answer;

  VmRecord &record = Vms[renewal.Vm];
  if (renewal.Inc < record.Inc) {
    answer.Result = RenewalResult::Fenced;
    return answer;
  }
  if (renewal.Inc > record.Inc) {
    record.Inc = renewal.Inc;
    record.Sequence = 0;
    record.Applied = ConfigVersion();
  }
  if (renewal.Sequence <= record.Sequence) {
    answer.Result = RenewalResult::Stale;
    return answer;
  }
  record.Sequence = renewal.Sequence;
  if (!fillUpdate(renewal, answer, now)) {
    answer.Result = RenewalResult::Busy;
    answer.RetryAfter = FullStateWindow + FullStateWindowLength - now;
    return answer;
  }
  bool digestDiffers = renewal.Applied == answer.Version && renewal.Digest != answer.Digest;
  if (!digestDiffers)
    record.Applied = std::max(record.Applied, renewal.Applied);
  if (Listener != nullptr)
    answer.Attachment = Listener->onRenewal(renewal, now);
  answer.Result = RenewalResult::Granted;
  answer.Length = Settings.Length;
  addGrant(record, {renewal.Inc, answer.Version, now + longestLease()}, now);
  return answer;
}

bool LeaseGrantor::fillUpdate(const Renewal &renewal, RenewalResponse &answer, Time now) {
  answer.Version = Source.version();
  answer.Digest = Source.digest();
  // A VM with a newer version than this leader gets no update and rejects the response.
  if (renewal.Applied > answer.Version)
    return true;
  bool upToDate = renewal.Applied == answer.Version && renewal.Digest == answer.Digest;
  if (upToDate && !renewal.NeedsFullState)
    return true;
  bool full = renewal.NeedsFullState || renewal.Applied == answer.Version ||
              renewal.Applied == ConfigVersion() || !Source.hasDeltaSince(renewal.Applied);
  if (full && !admitFullState(now))
    return false;
  answer.Update = Source.updateSince(full ? ConfigVersion() : renewal.Applied);
  return true;
}

bool LeaseGrantor::admitFullState(Time now) {
  if (now - FullStateWindow >= FullStateWindowLength) {
    FullStateWindow = now;
    FullStates = 0;
  }
  if (FullStates >= Settings.FullStatesPerSecond)
    return false;
  ++FullStates;
  return true;
}

void LeaseGrantor::addGrant(VmRecord &record, const Grant &grant, Time now) {
  std::vector<Grant> &grants = record.Grants;
  grants.erase(std::remove_if(grants.begin(), grants.end(),
                              [now](const Grant &g) { return g.Expiry <= now; }),
               grants.end());
  record.Expiry = std::max(record.Expiry, grant.Expiry);
  if (!grants.empty() && grants.back().Inc == grant.Inc && grants.back().Version == grant.Version) {
    grants.back().Expiry = grant.Expiry;
    return;
  }
  grants.push_back(grant);
  if (grants.size() <= MaxGrants)
    return;
  // The merged entry keeps the older incarnation, so reports of the current one cannot clear it.
  grants[0].Version = std::min(grants[0].Version, grants[1].Version);
  grants[0].Expiry = std::max(grants[0].Expiry, grants[1].Expiry);
  grants.erase(grants.begin() + 1);
}

void LeaseGrantor::becomeLeader(Time now) {
  PredecessorExpiry = now + longestLease();
  // Leases that this process granted in an earlier term expire before PredecessorExpiry too.
  for (auto &[vm, record] : Vms) {
    record.Grants.clear();
    record.Expiry = PredecessorExpiry;
  }
}

Time LeaseGrantor::latestExpiry(const VmId &vm) const {
  auto it = Vms.find(vm);
  return it == Vms.end() ? PredecessorExpiry : std::max(it->second.Expiry, PredecessorExpiry);
}

bool LeaseGrantor::isPending(const VmRecord &record, ConfigVersion version, Time now) {
  for (const Grant &grant : record.Grants) {
    bool reported = grant.Inc == record.Inc && record.Applied >= version;
    if (grant.Version < version && grant.Expiry > now && !reported)
      return true;
  }
  return false;
}

bool LeaseGrantor::inForceEverywhere(ConfigVersion version, Time now) const {
  if (!predecessorLeasesExpired(now) || version > Source.version())
    return false;
  return std::none_of(Vms.begin(), Vms.end(),
                      [&](const auto &entry) { return isPending(entry.second, version, now); });
}

std::vector<VmId> LeaseGrantor::pendingVms(ConfigVersion version, Time now) const {
  std::vector<VmId> pending;
  bool predecessorMayCount = !predecessorLeasesExpired(now);
  for (const auto &[vm, record] : Vms) {
    if ((predecessorMayCount && record.Applied < version) || isPending(record, version, now))
      pending.push_back(vm);
  }
  return pending;
}

void LeaseGrantor::tick(Time now) {
  for (auto it = Vms.begin(); it != Vms.end();) {
    bool expired = it->second.Expiry + Settings.RecordRetention < now;
    it = expired ? Vms.erase(it) : std::next(it);
  }
}

} // namespace briarspar::lease
