#include "config/Records.h"
#include "config/Text.h"

namespace briarspar::config {

namespace {

bool hasDrain(const Records &records, DrainKind kind, const std::string &name) {
  return find(records.Drains, drainId(kind, name)) != nullptr;
}

template <class R> bool locationIsDraining(const Records &records, const R &record) {
  return hasDrain(records, DrainKind::Domain, record.Domain.Value) ||
         hasDrain(records, DrainKind::Region, record.Region.Value);
}

} // namespace

DrainId drainId(DrainKind kind, std::string_view name) {
  return DrainId(concat(nameOf(kind), "/", name));
}

bool isDraining(const Records &records, const TargetRecord &target) {
  return target.State == TargetState::Draining || locationIsDraining(records, target);
}

bool isDraining(const Records &records, const VmRecord &vm) {
  return hasDrain(records, DrainKind::Vm, vm.Id.Value) || locationIsDraining(records, vm);
}

Records withoutBlocks(const Records &records) {
  Records out;
  records.forEachTable([&](const auto &table) {
    using R = typename std::decay_t<decltype(table)>::mapped_type;
    if constexpr (!std::is_same_v<R, BlockRecord>)
      tableOf<R>(out) = table;
  });
  return out;
}

const MoveRecord *runningMove(const Records &records, const core::RouteId &route) {
  for (const auto &[id, move] : records.Moves)
    if (move.Route == route && !isFinal(move.State))
      return &move;
  return nullptr;
}

} // namespace briarspar::config
