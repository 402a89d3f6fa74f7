#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace briarspar::config {

using CapId = core::StringId<struct CapTag>;
using DrainId = core::StringId<struct DrainTag>;
using BlockId = core::StringId<struct BlockTag>; ///< An IPv4 prefix such as 10.1.0.0/16.

/// Which callers a route accepts.
enum class RouteAccess : uint8_t {
  Open,  ///< Any caller.
  Keyed, ///< Callers with a key of a customer.
};

/// Whether a request of a route may run more than once.
enum class RouteSemantics : uint8_t { Idempotent, Once };

enum class TargetState : uint8_t { Active, Draining };

/// What a drain applies to.
enum class DrainKind : uint8_t { Target, Vm, Domain, Region };

enum class DrainState : uint8_t { Running, Done };

/// State of a traffic shift or version move. Done and RolledBack are final.
enum class MoveState : uint8_t {
  Running,
  RollingBack, ///< Cancelled or evaluated as bad; traffic is being returned.
  Done,
  RolledBack,
};

constexpr bool isFinal(MoveState state) {
  return state == MoveState::Done || state == MoveState::RolledBack;
}

/// Why a region is considered failed.
enum class RegionFailureCause : uint8_t {
  Vms,     ///< All of its VMs are dead.
  Targets, ///< None of its targets answers.
};

/// Names of the values of an enumeration, in their order, for encoded data and for operators.
template <class E> struct EnumNames;
template <> struct EnumNames<RouteAccess> {
  static constexpr std::array<std::string_view, 2> Values{"open", "keyed"};
};
template <> struct EnumNames<RouteSemantics> {
  static constexpr std::array<std::string_view, 2> Values{"idempotent", "once"};
};
template <> struct EnumNames<TargetState> {
  static constexpr std::array<std::string_view, 2> Values{"active", "draining"};
};
template <> struct EnumNames<DrainKind> {
  static constexpr std::array<std::string_view, 4> Values{"target", "vm", "domain", "region"};
};
template <> struct EnumNames<DrainState> {
  static constexpr std::array<std::string_view, 2> Values{"running", "done"};
};
template <> struct EnumNames<MoveState> {
  static constexpr std::array<std::string_view, 4> Values{"running", "taking-back", "done",
                                                          "taken-back"};
};

template <> struct EnumNames<RegionFailureCause> {
  static constexpr std::array<std::string_view, 2> Values{"vms", "targets"};
};

template <class E> constexpr std::string_view nameOf(E value) {
  return EnumNames<E>::Values[static_cast<size_t>(value)];
}

/// Returns the value with this name, or nullopt.
template <class E> std::optional<E> enumFromName(std::string_view name) {
  for (size_t n = 0; n < EnumNames<E>::Values.size(); ++n)
    if (EnumNames<E>::Values[n] == name)
      return static_cast<E>(n);
  return std::nullopt;
}

/// Identifies the last accepted command that changed a record.
struct Stamp {
  core::ConfigVersion Version; ///< Configuration version after the command.
  std::string Command;         ///< Id of the command.
};

struct CustomerRecord {
  core::CustomerId Id;
  uint64_t Rate = 0;   ///< Requests per second, summed over all VMs.
  uint64_t Burst = 0;  ///< Requests.
  uint32_t Weight = 1; ///< Share under contention, relative to other customers.
  Stamp Changed;
};

/// SHA-256 digest of a key. Keys themselves are never stored.
using KeyDigest = std::array<uint8_t, 32>;

struct KeyRecord {
  core::KeyId Id;
  core::CustomerId Customer;
  KeyDigest Digest{};
  Stamp Changed;
};

struct RouteRecord {
  core::RouteId Id;
  std::string PathPrefix;
  RouteAccess Access = RouteAccess::Keyed;
  RouteSemantics Semantics = RouteSemantics::Once;
  core::Duration Deadline;
  /// Version that serves the route. Empty until the first target is added, which sets it.
  core::VersionId Current;
  Stamp Changed;
};

struct TargetRecord {
  core::TargetId Id;
  core::RouteId Route;
  std::string Address; ///< IP:PORT, or [IP]:PORT for IPv6.
  core::VersionId Version;
  uint32_t Slots = 0; ///< Maximum concurrent requests, summed over all VMs.
  core::RegionId Region;
  core::DomainId Domain;
  TargetState State = TargetState::Active; ///< Does not reflect drains of its domain or region.
  Stamp Changed;
};

/// Limits traffic shifts whose source or destination is the region or domain of the same name. The
/// cap named `all` limits every shift.
struct CapRecord {
  CapId Id;
  uint32_t Permille = 0; ///< Permille of the source's traffic that may shift in one period.
  core::Duration Period; ///< Length of the period.
  Stamp Changed;
};

/// A drain. The record stays, even when done, until an operator removes it.
struct DrainRecord {
  DrainId Id; ///< `KIND/NAME`.
  DrainKind Kind = DrainKind::Target;
  std::string Name;
  core::Duration TimeLimit; ///< Time limit from StartedAt; 0: none.
  core::Time StartedAt;     ///< Log time.
  DrainState State = DrainState::Running;
  std::string Reason;
  Stamp Changed;
};

struct ShiftRecord {
  core::MoveId Id;
  std::string From; ///< Name of a region or domain.
  std::string To;   ///< Name of a region or domain.
  uint32_t Permille = 0;
  core::Duration TimeLimit;
  core::Time StartedAt; ///< Log time.
  MoveState State = MoveState::Running;
  std::string Reason;
  uint32_t ShiftedPermille = 0; ///< Permille of the source's traffic that is shifted now.
  std::string Progress;         ///< Opaque CBOR of the move controller.
  Stamp Changed;
};

/// A gradual move of a route's traffic from one version to another.
struct MoveRecord {
  core::MoveId Id;
  core::RouteId Route;
  core::VersionId From;
  core::VersionId To;
  core::Duration TimeLimit;
  core::Time StartedAt; ///< Log time.
  MoveState State = MoveState::Running;
  std::string Reason;
  uint32_t SharePermille = 0; ///< Permille of the route's traffic on the new version now.
  std::string Progress;       ///< Opaque CBOR of the move controller.
  Stamp Changed;
};

struct VmRecord {
  core::VmId Id;
  std::string ControlAddress; ///< IP:PORT for processes of the system.
  std::string TrafficAddress; ///< IP:PORT for callers.
  core::RegionId Region;
  core::DomainId Domain;
  Stamp Changed;
};

/// The share of a failed region's callers that is sent to another region.
struct ForcedShare {
  core::RegionId To;
  uint32_t BasisPoints = 0; ///< Of the callers of the failed region.

  friend bool operator==(const ForcedShare &a, const ForcedShare &b) {
    return a.To == b.To && a.BasisPoints == b.BasisPoints;
  }
};

/// A region that is down, or to which not all callers have been returned yet.
struct RegionFailureRecord {
  core::RegionId Id;
  bool Down = false;
  RegionFailureCause Cause = RegionFailureCause::Vms;
  uint64_t Load = 0; ///< Requests per second when the region failed.
  /// Callers that no share covers have no VM while the region is down.
  std::vector<ForcedShare> ForcedShares;
  Stamp Changed;
};

/// Assigns callers with addresses in the block to a region. The longest matching prefix applies.
struct BlockRecord {
  BlockId Id;
  core::RegionId Region;
  Stamp Changed;
};

using AnyRecord =
    std::variant<CustomerRecord, KeyRecord, RouteRecord, TargetRecord, CapRecord, DrainRecord,
                 ShiftRecord, MoveRecord, VmRecord, RegionFailureRecord, BlockRecord>;

/// Kind of a record: the index of its type in AnyRecord.
enum class RecordKind : uint8_t {
  Customer,
  Key,
  Route,
  Target,
  Cap,
  Drain,
  Shift,
  Move,
  Vm,
  RegionFailure,
  Block
};
template <> struct EnumNames<RecordKind> {
  static constexpr std::array<std::string_view, 11> Values{
      "customer", "key",  "route", "target",         "cap",  "drain",
      "shift",    "move", "vm",    "region-failure", "block"};
};

/// Returns the kind of records of type R.
template <class R> constexpr RecordKind kindOf() {
  return static_cast<RecordKind>(AnyRecord(std::in_place_type<R>).index());
}

template <class R> using RecordTable = std::map<decltype(R::Id), R>;

/// All records of the configuration, by id.
struct Records {
  RecordTable<CustomerRecord> Customers;
  RecordTable<KeyRecord> Keys;
  RecordTable<RouteRecord> Routes;
  RecordTable<TargetRecord> Targets;
  RecordTable<CapRecord> Caps;
  RecordTable<DrainRecord> Drains;
  RecordTable<ShiftRecord> Shifts;
  RecordTable<MoveRecord> Moves;
  RecordTable<VmRecord> Vms;
  RecordTable<RegionFailureRecord> RegionFailures;
  RecordTable<BlockRecord> Blocks;

  /// Calls `f(table)` for every table in the order of RecordKind.
  template <class F> void forEachTable(F &&f) { visitTables(*this, f); }
  template <class F> void forEachTable(F &&f) const { visitTables(*this, f); }

private:
  template <class Self, class F> static void visitTables(Self &self, F &f) {
    f(self.Customers);
    f(self.Keys);
    f(self.Routes);
    f(self.Targets);
    f(self.Caps);
    f(self.Drains);
    f(self.Shifts);
    f(self.Moves);
    f(self.Vms);
    f(self.RegionFailures);
    f(self.Blocks);
  }
};

/// Returns the table of records of type R.
template <class R> const RecordTable<R> &tableOf(const Records &records) {
  const RecordTable<R> *found = nullptr;
  records.forEachTable([&](const auto &table) {
    if constexpr (std::is_same_v<std::decay_t<decltype(table)>, RecordTable<R>>)
      found = &table;
  });
  return *found;
}
template <class R> RecordTable<R> &tableOf(Records &records) {
  return const_cast<RecordTable<R> &>(tableOf<R>(std::as_const(records)));
}

/// Returns a copy of all records except the client blocks, of which there can be up to 20,000.
Records withoutBlocks(const Records &records);

/// Returns the record with this id, or null.
template <class R> const R *find(const RecordTable<R> &table, const decltype(R::Id) &id) {
  auto it = table.find(id);
  return it == table.end() ? nullptr : &it->second;
}

/// Returns the id of the drain of this kind and name.
DrainId drainId(DrainKind kind, std::string_view name);

/// Returns true if a drain covers the target, its failure domain or its region, so that the target
/// receives no new requests.
bool isDraining(const Records &records, const TargetRecord &target);

/// Returns true if a drain covers the VM, its failure domain or its region.
bool isDraining(const Records &records, const VmRecord &vm);

/// Returns the running move of the route, or null. A route has at most one.
const MoveRecord *runningMove(const Records &records, const core::RouteId &route);

} // namespace briarspar::config
