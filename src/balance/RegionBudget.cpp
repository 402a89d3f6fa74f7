#include "balance/RegionBudget.h"

#include <algorithm>
#include <cassert>

namespace briarspar::balance {

using core::RegionId;

namespace {

uint32_t minus(uint32_t a, uint32_t b) { return a > b ? a - b : 0; }

} // namespace

void RegionBudget::setCapacity(const RegionId &region, uint32_t capacity, uint32_t localReserve) {
  Region &r = Regions[region];
  r.Capacity = capacity;
  r.LocalReserve = std::min(localReserve, capacity);
}

void RegionBudget::setLink(const RegionId &from, const RegionId &to, uint32_t limit) {
  Links[{from, to}].Limit = limit;
}

uint32_t RegionBudget::headroom(const RegionId &from, const RegionId &to) const {
  auto region = Regions.find(to);
  uint32_t room = UINT32_MAX;
  if (region != Regions.end()) {
    const Region &r = region->second;
    room = minus(r.Capacity, r.Used);
    if (from != to)
      room = std::min(room, minus(r.Capacity - r.LocalReserve, r.Remote));
  }
  auto link = Links.find({from, to});
  if (link != Links.end())
    room = std::min(room, minus(link->second.Limit, link->second.Used));
  return room;
}

uint32_t RegionBudget::acquire(const RegionId &from, const RegionId &to, uint32_t wanted) {
  const uint32_t n = std::min(wanted, headroom(from, to));
  recordHeld(from, to, n);
  return n;
}

void RegionBudget::recordHeld(const RegionId &from, const RegionId &to, uint32_t n) {
  Region &r = Regions[to];
  r.Used += n;
  if (from != to)
    r.Remote += n;
  Links[{from, to}].Used += n;
}

void RegionBudget::release(const RegionId &from, const RegionId &to, uint32_t n) {
  Region &r = Regions[to];
  Link &link = Links[{from, to}];
  assert(r.Used >= n && link.Used >= n);
  r.Used -= n;
  if (from != to)
    r.Remote -= n;
  link.Used -= n;
}

uint32_t RegionBudget::excess(const RegionId &from, const RegionId &to) const {
  uint32_t over = 0;
  auto region = Regions.find(to);
  if (region != Regions.end()) {
    const Region &r = region->second;
    over = minus(r.Used, r.Capacity);
    if (from != to)
      over = std::max(over, minus(r.Remote, r.Capacity - r.LocalReserve));
  }
  auto link = Links.find({from, to});
  if (link != Links.end())
    over = std::max(over, minus(link->second.Used, link->second.Limit));
  return over;
}

uint32_t RegionBudget::used(const RegionId &region) const {
  auto it = Regions.find(region);
  return it == Regions.end() ? 0 : it->second.Used;
}

uint32_t RegionBudget::linkUsed(const RegionId &from, const RegionId &to) const {
  auto it = Links.find({from, to});
  return it == Links.end() ? 0 : it->second.Used;
}

} // namespace briarspar::balance
