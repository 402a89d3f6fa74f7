#include "discovery/TargetList.h"

#include <algorithm>
#include <cstdlib>

namespace briarspar::discovery {

namespace {

/// Tolerance when comparing the end of the cold period: the list rounds it, and the latency of
/// responses varies.
constexpr core::Duration ColdUntilTolerance{400};

bool isSame(const Target &a, const Target &b, core::Time now) {
  bool sameColdUntil = std::abs((a.ColdUntil - b.ColdUntil).Ms) < ColdUntilTolerance.Ms ||
                       (a.ColdUntil <= now && b.ColdUntil <= now);
  return a.Process == b.Process && a.Service == b.Service && a.Host == b.Host && a.Port == b.Port &&
         a.Domain == b.Domain && a.Version == b.Version && a.Slots == b.Slots &&
         a.Draining == b.Draining && sameColdUntil;
}

core::Json encode(const Target &it, core::Time now) {
  return {it.Id,     it.Service,  it.Host,
          it.Port,   it.Domain,   it.Version,
          it.Slots,  it.Draining, std::max<int64_t>(0, (it.ColdUntil - now).Ms),
          it.Process};
}

Target decode(const core::Json &j, core::Time now) {
  Target it;
  j.at(0).get_to(it.Id);
  j.at(1).get_to(it.Service);
  j.at(2).get_to(it.Host);
  j.at(3).get_to(it.Port);
  j.at(4).get_to(it.Domain);
  j.at(5).get_to(it.Version);
  j.at(6).get_to(it.Slots);
  j.at(7).get_to(it.Draining);
  it.ColdUntil = now + core::Duration{j.at(8).get<int64_t>()};
  if (j.size() > 9) // Control VMs of earlier builds do not send it.
    j.at(9).get_to(it.Process);
  return it;
}

} // namespace

void TargetList::startEpoch(uint64_t epoch) {
  if (epoch == Version.Epoch)
    return;
  Version = {epoch, 0};
  ChangedAt.clear();
  for (const auto &[id, target] : Targets)
    ChangedAt[id] = 0;
}

bool TargetList::update(const std::vector<Target> &snapshot, core::Time now) {
  uint64_t next = Version.Sequence + 1;
  bool changed = false;
  std::map<core::TargetId, Target> current;
  for (const Target &it : snapshot) {
    // A process that has ended may still be listed beside the next one with its id.
    auto [at, isNew] = current.emplace(it.Id, it);
    if (!isNew && at->second.Process < it.Process)
      at->second = it;
  }
  for (const auto &[id, target] : current) {
    auto existing = Targets.find(id);
    if (existing != Targets.end() && isSame(existing->second, target, now))
      continue;
    ChangedAt[id] = next;
    changed = true;
  }
  for (const auto &[id, target] : Targets) {
    if (current.count(id) != 0)
      continue;
    ChangedAt[id] = next;
    changed = true;
  }
  Targets = std::move(current);
  if (changed || Version.Sequence == 0)
    Version.Sequence = next;
  return changed;
}

bool TargetList::updateDraining(absl::Span<const Target> page) {
  // Until the first snapshot of an epoch, the targets of an earlier epoch must not be distributed.
  if (Version.Sequence == 0)
    return false;
  bool changed = false;
  for (const Target &it : page) {
    auto existing = Targets.find(it.Id);
    if (!it.Draining || existing == Targets.end() || existing->second.Draining ||
        it.Process < existing->second.Process)
      continue;
    existing->second.Draining = true;
    ChangedAt[it.Id] = Version.Sequence + 1;
    changed = true;
  }
  if (changed)
    ++Version.Sequence;
  return changed;
}

core::Json TargetList::deltaSince(const ListVersion &version, core::Time now) const {
  bool full = version.Epoch != Version.Epoch || version.Sequence == 0;
  core::Json updated = core::Json::array();
  core::Json removed = core::Json::array();
  if (full) {
    for (const auto &[id, target] : Targets)
      updated.push_back(encode(target, now));
  } else {
    for (const auto &[id, at] : ChangedAt) {
      if (at <= version.Sequence)
        continue;
      auto it = Targets.find(id);
      if (it != Targets.end())
        updated.push_back(encode(it->second, now));
      else
        removed.push_back(id);
    }
  }
  return {{"epoch", Version.Epoch},
          {"from", full ? 0 : version.Sequence},
          {"to", Version.Sequence},
          {"set", std::move(updated)},
          {"gone", std::move(removed)}};
}

absl::Status TargetList::applyDelta(const core::Json &delta, core::Time now) {
  try {
    auto epoch = delta.at("epoch").get<uint64_t>();
    auto from = delta.at("from").get<uint64_t>();
    auto to = delta.at("to").get<uint64_t>();
    if (epoch < Version.Epoch || (epoch == Version.Epoch && to <= Version.Sequence))
      return absl::OkStatus();
    if (from != 0 && (epoch != Version.Epoch || from > Version.Sequence))
      return absl::FailedPreconditionError("delta starts after the current version");
    std::vector<Target> updated;
    for (const core::Json &it : delta.at("set"))
      updated.push_back(decode(it, now));
    auto removed = delta.at("gone").get<std::vector<core::TargetId>>();
    if (from == 0)
      Targets.clear();
    for (Target &it : updated) {
      core::TargetId id = it.Id;
      Targets[id] = std::move(it);
    }
    for (const core::TargetId &id : removed)
      Targets.erase(id);
    Version = {epoch, to};
    return absl::OkStatus();
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace briarspar::discovery
