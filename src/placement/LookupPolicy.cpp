#include "placement/LookupPolicy.h"

#include "absl/strings/str_cat.h"
#include "core/Hash.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace briarspar::placement {

namespace {

constexpr uint32_t MaxListLength = 8;
constexpr core::Time NoDrain{std::numeric_limits<int64_t>::max() / 2};

// Finalizer of 64-bit MurmurHash3: every input bit affects every output bit. Ids are hashed once in
// the constructor, so a lookup hashes no strings.
uint64_t mix(uint64_t n) {
  n ^= n >> 33;
  n *= 0xFF51AFD7ED558CCDULL;
  n ^= n >> 33;
  n *= 0xC4CEB9FE1A85EC53ULL;
  return n ^ n >> 33;
}

// Callers of one /24 get the same answer, so that clients of one resolver stay together.
uint64_t callerHashOf(uint32_t address) { return mix((address >> 8) + 1); }

} // namespace

LookupPolicy::LookupPolicy(std::shared_ptr<const BlockTable> blocks, std::vector<Site> sites,
                           const LookupSettings &settings)
    : Blocks(std::move(blocks)), Settings(settings) {
  Settings.MaxVms = std::min(Settings.MaxVms, MaxListLength);
  for (Site &site : sites) {
    if (!site.Id.valid())
      continue;
    if (Sites.size() <= site.Id.Value)
      Sites.resize(size_t{site.Id.Value} + 1);
    Sites[site.Id.Value] = std::move(site);
  }
  for (const Site &site : Sites)
    addUsable(site);
}

void LookupPolicy::addUsable(const Site &site) {
  core::Duration ttl = std::min(Settings.MaxTtl, Settings.DrainTtl);
  // Callers with cached answers count against the cap for the TTL. A TTL above half the window
  // would leave most of the cap to callers that have not moved yet.
  if (site.CapWindow.Ms > 0)
    ttl = std::min(ttl, site.CapWindow / 2);
  UsableVmRange usable;
  usable.First = static_cast<uint32_t>(VmIds.size());
  usable.TtlMs = static_cast<int32_t>(std::max(ttl, Settings.MinTtl).Ms);
  usable.AnyShare = !site.Shares.empty();
  for (const EntryVm &vm : site.Vms) {
    if (!vm.Live || vm.Draining)
      continue;
    VmIds.push_back(vm.Id);
    VmSeeds.push_back(core::hash64(vm.Id.Value));
    VmDrainAt.push_back(vm.DrainAt.value_or(NoDrain));
    usable.AnyDrain = usable.AnyDrain || vm.DrainAt.has_value();
  }
  usable.Count = static_cast<uint32_t>(VmIds.size()) - usable.First;
  UsableVmRanges.push_back(usable);
}

SiteId LookupPolicy::fallbackSite(uint64_t callerHash) const {
  for (size_t n = 0; n < Sites.size(); ++n) {
    size_t at = (callerHash + n) % Sites.size();
    if (UsableVmRanges[at].Count != 0)
      return Sites[at].Id;
  }
  return {};
}

SiteId LookupPolicy::afterShares(SiteId home, uint64_t callerHash) const {
  if (!UsableVmRanges[home.Value].AnyShare)
    return home;
  // The home site is part of the hash, so that shares of different sites select callers
  // independently.
  uint64_t point = mix(callerHash ^ (uint64_t{home.Value} + 1) << 40) % FullShare;
  uint64_t sum = 0;
  for (const SiteShare &share : Sites[home.Value].Shares) {
    sum += share.Share;
    if (point < sum)
      return share.To;
  }
  return home;
}

void LookupPolicy::rank(const UsableVmRange &usable, uint64_t callerHash, core::Time now,
                        LookupResponse &answer) const {
  // Rendezvous hashing (highest random weight): select the VMs with the highest hash of VM and
  // caller.
  std::array<std::pair<uint64_t, size_t>, MaxListLength> best{};
  size_t count = 0;
  for (size_t n = usable.First; n < usable.First + usable.Count; ++n) {
    // Callers could not leave this VM before its drain starts.
    if (usable.AnyDrain && VmDrainAt[n] - now < Settings.MinTtl)
      continue;
    uint64_t score = mix(callerHash ^ VmSeeds[n]);
    if (Settings.MaxVms == 0 || (count == Settings.MaxVms && score <= best[count - 1].first))
      continue;
    size_t at = count < Settings.MaxVms ? count++ : count - 1;
    for (; at > 0 && best[at - 1].first < score; --at)
      best[at] = best[at - 1];
    best[at] = {score, n};
  }
  answer.Ttl = core::Duration{usable.TtlMs};
  answer.Vms.reserve(count);
  for (size_t n = 0; n < count; ++n) {
    answer.Vms.push_back(VmIds[best[n].second]);
    if (usable.AnyDrain)
      answer.Ttl = std::min(answer.Ttl, VmDrainAt[best[n].second] - now);
  }
}

LookupResponse LookupPolicy::answer(uint32_t address, core::Time now) const {
  uint64_t callerHash = callerHashOf(address);
  LookupResponse answer;
  answer.Ttl = Settings.MinTtl;
  SiteId home = Blocks->find(address);
  if (!home.valid() || home.Value >= Sites.size())
    home = fallbackSite(callerHash);
  if (!home.valid())
    return answer;
  answer.Site = afterShares(home, callerHash);
  if (answer.Site.Value >= Sites.size())
    return answer;
  rank(UsableVmRanges[answer.Site.Value], callerHash, now, answer);
  if (answer.Vms.empty())
    answer.Ttl = Settings.MinTtl;
  return answer;
}

absl::StatusOr<LookupPolicy> LookupPolicy::withShare(SiteId from, SiteId to,
                                                     BasisPoints basis) const {
  if (!from.valid() || from.Value >= Sites.size() || !to.valid() || to.Value >= Sites.size())
    return absl::NotFoundError("share refers to an unknown site");
  LookupPolicy next(*this);
  std::vector<SiteShare> &shares = next.Sites[from.Value].Shares;
  auto it = std::find_if(shares.begin(), shares.end(),
                         [to](const SiteShare &share) { return share.To == to; });
  if (it == shares.end())
    it = shares.insert(shares.end(), {to, 0});
  it->Share = basis;
  next.UsableVmRanges[from.Value].AnyShare = true;
  uint64_t sum = 0;
  for (const SiteShare &share : shares)
    sum += share.Share;
  if (sum > FullShare)
    return absl::InvalidArgumentError(
        absl::StrCat("shares of site ", from.Value, " sum to ", sum, " of ", FullShare));
  return next;
}

} // namespace briarspar::placement
