#include "operator_language/RecordQueries.h"

#include "absl/strings/str_format.h"

namespace briarspar::operator_language {

using config::nameOf;
using config::Records;
using core::Json;

namespace {

/// A column of a collection: its name and the function that returns the cell of a record.
template <class R> struct Column {
  const char *Name;
  Json (*Cell)(const Records &, const R &);
};

double percent(uint32_t permille) { return permille / 10.0; }

Json durationCell(core::Duration d) { return d.Ms == 0 ? Json() : Json(formatDuration(d)); }

template <class R>
const Column<R> ChangedColumn{
    "changed", [](const Records &, const R &r) { return Json(r.Changed.Version.Value); }};

/// Draining if a drain covers the target or VM itself, its failure domain or its region.
template <class R>
const Column<R> DrainStateColumn{"state", [](const Records &all, const R &r) {
                                   return Json(nameOf(isDraining(all, r)
                                                          ? config::TargetState::Draining
                                                          : config::TargetState::Active));
                                 }};

using config::BlockRecord;
using config::CapRecord;
using config::CustomerRecord;
using config::DrainRecord;
using config::KeyRecord;
using config::MoveRecord;
using config::RouteRecord;
using config::ShiftRecord;
using config::TargetRecord;
using config::VmRecord;

template <class R> std::vector<Column<R>> columnsOf();

template <> std::vector<Column<CustomerRecord>> columnsOf() {
  using R = CustomerRecord;
  return {{"name", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"rate", [](const Records &, const R &r) { return Json(r.Rate); }},
          {"burst", [](const Records &, const R &r) { return Json(r.Burst); }},
          {"weight", [](const Records &, const R &r) { return Json(r.Weight); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<KeyRecord>> columnsOf() {
  using R = KeyRecord;
  return {{"id", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"customer", [](const Records &, const R &r) { return Json(r.Customer.Value); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<RouteRecord>> columnsOf() {
  using R = RouteRecord;
  return {{"name", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"path", [](const Records &, const R &r) { return Json(r.PathPrefix); }},
          {"access", [](const Records &, const R &r) { return Json(nameOf(r.Access)); }},
          {"semantics", [](const Records &, const R &r) { return Json(nameOf(r.Semantics)); }},
          {"deadline", [](const Records &, const R &r) { return durationCell(r.Deadline); }},
          {"version", [](const Records &, const R &r) { return Json(r.Current.Value); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<TargetRecord>> columnsOf() {
  using R = TargetRecord;
  return {{"name", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"route", [](const Records &, const R &r) { return Json(r.Route.Value); }},
          {"address", [](const Records &, const R &r) { return Json(r.Address); }},
          {"version", [](const Records &, const R &r) { return Json(r.Version.Value); }},
          {"slots", [](const Records &, const R &r) { return Json(r.Slots); }},
          {"region", [](const Records &, const R &r) { return Json(r.Region.Value); }},
          {"domain", [](const Records &, const R &r) { return Json(r.Domain.Value); }},
          DrainStateColumn<R>,
          ChangedColumn<R>};
}

template <> std::vector<Column<VmRecord>> columnsOf() {
  using R = VmRecord;
  return {{"name", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"control", [](const Records &, const R &r) { return Json(r.ControlAddress); }},
          {"traffic", [](const Records &, const R &r) { return Json(r.TrafficAddress); }},
          {"region", [](const Records &, const R &r) { return Json(r.Region.Value); }},
          {"domain", [](const Records &, const R &r) { return Json(r.Domain.Value); }},
          DrainStateColumn<R>,
          ChangedColumn<R>};
}

template <> std::vector<Column<MoveRecord>> columnsOf() {
  using R = MoveRecord;
  return {{"id", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"kind", [](const Records &, const R &) { return Json("version"); }},
          {"route", [](const Records &, const R &r) { return Json(r.Route.Value); }},
          {"from", [](const Records &, const R &r) { return Json(r.From.Value); }},
          {"to", [](const Records &, const R &r) { return Json(r.To.Value); }},
          {"percent", [](const Records &, const R &r) { return Json(percent(r.SharePermille)); }},
          {"goal", [](const Records &, const R &) { return Json(100.0); }},
          {"by", [](const Records &, const R &r) { return durationCell(r.TimeLimit); }},
          {"state", [](const Records &, const R &r) { return Json(nameOf(r.State)); }},
          {"reason", [](const Records &, const R &r) { return Json(r.Reason); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<ShiftRecord>> columnsOf() {
  using R = ShiftRecord;
  return {{"id", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"kind", [](const Records &, const R &) { return Json("shift"); }},
          {"route", [](const Records &, const R &) { return Json(); }},
          {"from", [](const Records &, const R &r) { return Json(r.From); }},
          {"to", [](const Records &, const R &r) { return Json(r.To); }},
          {"percent", [](const Records &, const R &r) { return Json(percent(r.ShiftedPermille)); }},
          {"goal", [](const Records &, const R &r) { return Json(percent(r.Permille)); }},
          {"by", [](const Records &, const R &r) { return durationCell(r.TimeLimit); }},
          {"state", [](const Records &, const R &r) { return Json(nameOf(r.State)); }},
          {"reason", [](const Records &, const R &r) { return Json(r.Reason); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<DrainRecord>> columnsOf() {
  using R = DrainRecord;
  return {{"kind", [](const Records &, const R &r) { return Json(nameOf(r.Kind)); }},
          {"name", [](const Records &, const R &r) { return Json(r.Name); }},
          {"by", [](const Records &, const R &r) { return durationCell(r.TimeLimit); }},
          {"state", [](const Records &, const R &r) { return Json(nameOf(r.State)); }},
          {"reason", [](const Records &, const R &r) { return Json(r.Reason); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<CapRecord>> columnsOf() {
  using R = CapRecord;
  return {{"name", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"percent", [](const Records &, const R &r) { return Json(percent(r.Permille)); }},
          {"per", [](const Records &, const R &r) { return durationCell(r.Period); }},
          ChangedColumn<R>};
}

template <> std::vector<Column<BlockRecord>> columnsOf() {
  using R = BlockRecord;
  return {{"block", [](const Records &, const R &r) { return Json(r.Id.Value); }},
          {"region", [](const Records &, const R &r) { return Json(r.Region.Value); }},
          ChangedColumn<R>};
}

template <class R>
void addRow(Table &table, const std::vector<Column<R>> &columns, const Records &records,
            const R &record) {
  auto &row = table.Rows.emplace_back();
  for (const Column<R> &it : columns)
    row.push_back(it.Cell(records, record));
}

template <class R> Table emptyTable(const std::vector<Column<R>> &columns) {
  Table table;
  for (const Column<R> &it : columns)
    table.Columns.emplace_back(it.Name);
  return table;
}

template <class R> Table listAll(const Records &records) {
  std::vector<Column<R>> columns = columnsOf<R>();
  Table table = emptyTable(columns);
  for (const auto &[id, record] : config::tableOf<R>(records))
    addRow(table, columns, records, record);
  return table;
}

/// Lists version moves, then traffic shifts; both have the same columns.
Table listMoves(const Records &records) {
  Table table = listAll<MoveRecord>(records);
  for (auto &row : listAll<ShiftRecord>(records).Rows)
    table.Rows.push_back(std::move(row));
  return table;
}

Table resultOf(const ShowQuery &query, const Records &records) {
  switch (query.ListedCollection) {
  case Collection::Customers:
    return listAll<CustomerRecord>(records);
  case Collection::Keys:
    return listAll<KeyRecord>(records);
  case Collection::Routes:
    return listAll<RouteRecord>(records);
  case Collection::Targets:
    return listAll<TargetRecord>(records);
  case Collection::Vms:
    return listAll<VmRecord>(records);
  case Collection::Moves:
    return listMoves(records);
  case Collection::Drains:
    return listAll<DrainRecord>(records);
  case Collection::Caps:
    return listAll<CapRecord>(records);
  case Collection::Blocks:
    return listAll<BlockRecord>(records);
  case Collection::Version:
    break;
  }
  return {{"version", "digest"}, {}};
}

Table resultOf(const WatchQuery &query, const Records &records) {
  Table table = emptyTable(columnsOf<MoveRecord>());
  if (const MoveRecord *move = find(records.Moves, query.Move))
    addRow(table, columnsOf<MoveRecord>(), records, *move);
  if (const ShiftRecord *shift = find(records.Shifts, query.Move))
    addRow(table, columnsOf<ShiftRecord>(), records, *shift);
  return table;
}

Table resultOf(const TimelineQuery &, const Records &) {
  return {{"time", "vm", "event", "details"}, {}};
}

} // namespace

Table queryRecords(const Query &query, const Records &records) {
  return std::visit([&](const auto &it) { return resultOf(it, records); }, query.Body);
}

Table versionTable(core::ConfigVersion version, uint64_t digest) {
  return {{"version", "digest"}, {{version.Value, absl::StrFormat("%016x", digest)}}};
}

std::string formatDuration(core::Duration d) {
  struct Unit {
    int64_t Ms;
    const char *Name;
  };
  constexpr Unit units[] = {{86'400'000, "d"}, {3'600'000, "h"}, {60'000, "m"}, {1000, "s"}};
  for (const Unit &it : units)
    if (d.Ms != 0 && d.Ms % it.Ms == 0)
      return std::to_string(d.Ms / it.Ms) + it.Name;
  return std::to_string(d.Ms) + "ms";
}

} // namespace briarspar::operator_language
