#include "link/EntryList.h"

#include <algorithm>

namespace briarspar::link {

namespace {

bool precedes(const EntryLocation &a, const EntryLocation &b) { return a.Vm < b.Vm; }

bool isSame(const EntryLocation &a, const EntryLocation &b) {
  return a.Vm == b.Vm && a.Region == b.Region && a.Domain == b.Domain;
}

} // namespace

bool EntryList::update(std::vector<EntryLocation> entries) {
  const uint64_t digest = digestOf(entries);
  if (digest == Digest)
    return false;
  if (Digest != 0)
    Earlier.emplace_back(Digest, std::move(Entries));
  if (Earlier.size() > MaxEarlierLists)
    Earlier.pop_front();
  Entries = std::move(entries);
  Digest = digest;
  return true;
}

EntryChange EntryList::since(uint64_t digest) const {
  if (digest == Digest)
    return {};
  auto base = std::find_if(Earlier.rbegin(), Earlier.rend(),
                           [&](const Version &it) { return it.first == digest; });
  if (base == Earlier.rend())
    return {0, Entries, {}};
  EntryChange change;
  change.From = digest;
  auto old = base->second.begin();
  for (const EntryLocation &it : Entries) {
    for (; old != base->second.end() && old->Vm < it.Vm; ++old)
      change.Gone.push_back(old->Vm);
    const bool isNew = old == base->second.end() || it.Vm < old->Vm;
    if (isNew || !isSame(*old++, it))
      change.Set.push_back(it);
  }
  for (; old != base->second.end(); ++old)
    change.Gone.push_back(old->Vm);
  return change;
}

bool EntryList::apply(const EntryChange &change) {
  if (change.empty())
    return true;
  if (change.From == 0) {
    Entries = change.Set;
    Digest = digestOf(Entries);
    return true;
  }
  if (change.From != Digest)
    return false;
  auto isReplaced = [&](const EntryLocation &it) {
    return std::find(change.Gone.begin(), change.Gone.end(), it.Vm) != change.Gone.end() ||
           std::any_of(change.Set.begin(), change.Set.end(),
                       [&](const EntryLocation &other) { return other.Vm == it.Vm; });
  };
  Entries.erase(std::remove_if(Entries.begin(), Entries.end(), isReplaced), Entries.end());
  Entries.insert(Entries.end(), change.Set.begin(), change.Set.end());
  std::sort(Entries.begin(), Entries.end(), precedes);
  Digest = digestOf(Entries);
  return true;
}

} // namespace briarspar::link
