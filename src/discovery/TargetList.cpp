#include "discovery/TargetList.h"

#include <algorithm>
#include <cstdlib>

namespace briarspar::discovery {

namespace {

/// Two readings of the end of a cold span that differ by less are the same one; the list rounds and
/// its answers travel for different times.
constexpr core::Duration ColdUntilTolerance{400};

bool isSame(const Target &a, const Target &b, core::Time now) {
  bool coldSame = std::abs((a.ColdUntil - b.ColdUntil).Ms) < ColdUntilTolerance.Ms ||
                  (a.ColdUntil <= now && b.ColdUntil <= now);
  return a.Service == b.Service && a.Host == b.Host && a.Port == b.Port && a.Domain == b.Domain &&
         a.Version == b.Version && a.Slots == b.Slots && a.Draining == b.Draining && coldSame;
}

core::Json encode(const Target &it, core::Time now) {
  return {it.Id,    it.Service,  it.Host,
          it.Port,  it.Domain,   it.Version,
          it.Slots, it.Draining, std::max<int64_t>(0, (it.ColdUntil - now).Ms)};
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

bool TargetList::update(const std::vector<Target> &reading, core::Time now) {
  uint64_t next = Version.Sequence + 1;
  bool changed = false;
  std::map<core::TargetId, Target> current;
  for (const Target &it : reading)
    current.emplace(it.Id, it);
  for (const auto &[id, target] : current) {
    auto known = Targets.find(id);
    if (known != Targets.end() && isSame(known->second, target, now))
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

bool TargetList::updateDraining(absl::Span<const Target> part) {
  // Before the first reading of an epoch nobody may be told of the targets of an earlier one.
  if (Version.Sequence == 0)
    return false;
  bool changed = false;
  for (const Target &it : part) {
    auto known = Targets.find(it.Id);
    if (!it.Draining || known == Targets.end() || known->second.Draining)
      continue;
    known->second.Draining = true;
    ChangedAt[it.Id] = Version.Sequence + 1;
    changed = true;
  }
  if (changed)
    ++Version.Sequence;
  return changed;
}

core::Json TargetList::deltaSince(const ListVersion &version, core::Time now) const {
  bool full = version.Epoch != Version.Epoch || version.Sequence == 0;
  core::Json set = core::Json::array();
  core::Json gone = core::Json::array();
  if (full) {
    for (const auto &[id, target] : Targets)
      set.push_back(encode(target, now));
  } else {
    for (const auto &[id, at] : ChangedAt) {
      if (at <= version.Sequence)
        continue;
      auto it = Targets.find(id);
      if (it != Targets.end())
        set.push_back(encode(it->second, now));
      else
        gone.push_back(id);
    }
  }
  return {{"epoch", Version.Epoch},
          {"from", full ? 0 : version.Sequence},
          {"to", Version.Sequence},
          {"set", std::move(set)},
          {"gone", std::move(gone)}};
}

absl::Status TargetList::applyDelta(const core::Json &delta, core::Time now) {
  try {
    auto epoch = delta.at("epoch").get<uint64_t>();
    auto from = delta.at("from").get<uint64_t>();
    auto to = delta.at("to").get<uint64_t>();
    if (epoch < Version.Epoch || (epoch == Version.Epoch && to <= Version.Sequence))
      return absl::OkStatus();
    if (from != 0 && (epoch != Version.Epoch || from > Version.Sequence))
      return absl::FailedPreconditionError("the delta starts after the held version");
    std::vector<Target> set;
    for (const core::Json &it : delta.at("set"))
      set.push_back(decode(it, now));
    auto gone = delta.at("gone").get<std::vector<core::TargetId>>();
    if (from == 0)
      Targets.clear();
    for (Target &it : set) {
      core::TargetId id = it.Id;
      Targets[id] = std::move(it);
    }
    for (const core::TargetId &id : gone)
      Targets.erase(id);
    Version = {epoch, to};
    return absl::OkStatus();
  } catch (const nlohmann::json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

} // namespace briarspar::discovery
