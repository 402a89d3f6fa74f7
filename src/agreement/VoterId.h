#pragma once

#include "core/Ids.h"

#include <ostream>
#include <tuple>

namespace briarspar::agreement {

/// Names one agreement group. Chosen once, when the group is created.
using GroupId = core::StringId<struct GroupTag>;

/// Identity of one voter's data. `Data` is drawn when the data folder is initialized and is stored
/// in it, so a VM that lost its data has another identity than before and cannot vote twice in a
/// term.
struct VoterId {
  core::VmId Vm;
  core::Incarnation Data;

  friend bool operator==(const VoterId &a, const VoterId &b) {
    return a.Vm == b.Vm && a.Data == b.Data;
  }
  friend bool operator!=(const VoterId &a, const VoterId &b) { return !(a == b); }
  friend bool operator<(const VoterId &a, const VoterId &b) {
    return std::tie(a.Vm, a.Data) < std::tie(b.Vm, b.Data);
  }
  friend std::ostream &operator<<(std::ostream &os, const VoterId &id) {
    return os << id.Vm << '/' << id.Data;
  }
};

} // namespace briarspar::agreement
