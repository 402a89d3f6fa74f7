#pragma once

#include "core/Ids.h"

#include <ostream>
#include <tuple>

namespace briarspar::agreement {

/// Names one agreement group. Chosen once, when the group is created.
using GroupId = core::StringId<struct GroupTag>;

/// Identity of one voter's data. `DataIncarnation` is drawn when the data folder is initialized and
/// is stored in it, so a VM that lost its data has another identity than before and cannot vote
/// twice in a term.
struct VoterId {
  core::VmId Vm;
  core::Incarnation DataIncarnation;

  friend bool operator==(const VoterId &a, const VoterId &b) {
    return a.Vm == b.Vm && a.DataIncarnation == b.DataIncarnation;
  }
  friend bool operator!=(const VoterId &a, const VoterId &b) { return !(a == b); }
  friend bool operator<(const VoterId &a, const VoterId &b) {
    return std::tie(a.Vm, a.DataIncarnation) < std::tie(b.Vm, b.DataIncarnation);
  }
  friend std::ostream &operator<<(std::ostream &os, const VoterId &id) {
    return os << id.Vm << '/' << id.DataIncarnation;
  }
};

} // namespace briarspar::agreement
