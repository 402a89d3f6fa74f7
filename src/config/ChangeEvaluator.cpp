#include "config/ChangeEvaluatorChecks.h"

#include "config/Encoding.h"
#include "config/Text.h"
#include "config/Validation.h"

#include <algorithm>

namespace briarspar::config {

namespace {

constexpr int64_t MaxRate = 1'000'000'000;
constexpr int64_t MaxWeight = 1'000'000;
constexpr int64_t MaxSlots = 1'000'000;
constexpr int64_t MaxPermille = 1000;
/// Claims of request ids are kept for 24 h; a deadline must end before its claim expires.
constexpr int64_t MaxDeadlineMs = int64_t{3600} * 1000;
constexpr int64_t MaxPeriodMs = int64_t{366} * 24 * 3600 * 1000;
/// The cap of this name limits every shift, so no region or domain may have this name.
constexpr std::string_view GlobalCapName = "all";

/// Returns the first text that is not empty, or an empty string.
std::string firstNonEmpty(std::initializer_list<std::string> texts) {
  auto it =
      std::find_if(texts.begin(), texts.end(), [](const auto &text) { return !text.empty(); });
  return it == texts.end() ? std::string() : *it;
}

/// Returns the permille of traffic on the new version after an update to this state.
uint32_t shareForState(MoveState state, uint32_t requested, uint32_t whenDone) {
  if (state == MoveState::Done)
    return whenDone;
  return state == MoveState::RolledBack ? 0 : requested;
}

} // namespace

ChangeEvaluator::ChangeEvaluator(const ConfigStore &store, const Command &command)
    : Store(store), Current(store.records()),
      EvaluatedCommand(command), NextStamp{store.version().next(), command.Id} {}

Outcome ChangeEvaluator::evaluate() { return std::visit(*this, EvaluatedCommand.RequestedChange); }

Outcome ChangeEvaluator::accepted(std::string subject) const {
  Outcome outcome;
  outcome.Status = Outcome::Accepted;
  outcome.Subject = std::move(subject);
  return outcome;
}

Outcome ChangeEvaluator::invalid(std::string reason) const {
  Outcome outcome;
  outcome.Status = Outcome::Invalid;
  outcome.Reason = std::move(reason);
  return outcome;
}

Outcome ChangeEvaluator::conflict(std::string winner, std::string reason) const {
  Outcome outcome;
  outcome.Status = Outcome::Conflict;
  outcome.WinningCommand = std::move(winner);
  outcome.Reason = std::move(reason);
  return outcome;
}

bool ChangeEvaluator::isExpected(std::string_view what, const Stamp &stamp,
                                 Outcome &failure) const {
  if (EvaluatedCommand.ExpectedVersion.Value == 0 ||
      EvaluatedCommand.ExpectedVersion == stamp.Version)
    return true;
  failure = conflict(stamp.Command, concat(what, " has version ", stamp.Version.Value, ", not ",
                                           EvaluatedCommand.ExpectedVersion.Value));
  return false;
}

Outcome ChangeEvaluator::missingRecord(RecordKind kind, const std::string &id) const {
  auto it = Store.Removals.find({kind, id});
  std::string what = concat(nameOf(kind), " ", id);
  if (it == Store.Removals.end()) {
    std::string reason = concat(what, " does not exist");
    return EvaluatedCommand.ExpectedVersion.Value == 0 ? invalid(reason) : conflict("", reason);
  }
  const Stamp &removed = it->second;
  std::string reason = concat(what, " was removed by command ", removed.Command, " at version ",
                              removed.Version.Value);
  return EvaluatedCommand.ExpectedVersion.Value == 0 ? invalid(reason)
                                                     : conflict(removed.Command, reason);
}

Outcome ChangeEvaluator::operator()(const CreateCustomer &change) {
  Outcome failure;
  if (!isFree<CustomerRecord>(change.Id, failure))
    return failure;
  std::string error =
      firstNonEmpty({checkName("customer name", change.Id.Value),
                     checkRange("rate", static_cast<int64_t>(change.Rate), 1, MaxRate),
                     checkRange("burst", static_cast<int64_t>(change.Burst), 1, MaxRate),
                     checkRange("weight", change.Weight, 1, MaxWeight)});
  if (!error.empty())
    return invalid(error);
  put(CustomerRecord{change.Id, change.Rate, change.Burst, change.Weight, {}});
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const UpdateCustomer &change) {
  Outcome failure;
  const auto *old = findExpected<CustomerRecord>(change.Id, failure);
  if (old == nullptr)
    return failure;
  if (!change.Rate && !change.Burst && !change.Weight)
    return invalid("the update sets none of rate, burst and weight");
  CustomerRecord record = *old;
  record.Rate = change.Rate.value_or(record.Rate);
  record.Burst = change.Burst.value_or(record.Burst);
  record.Weight = change.Weight.value_or(record.Weight);
  std::string error =
      firstNonEmpty({checkRange("rate", static_cast<int64_t>(record.Rate), 1, MaxRate),
                     checkRange("burst", static_cast<int64_t>(record.Burst), 1, MaxRate),
                     checkRange("weight", record.Weight, 1, MaxWeight)});
  if (!error.empty())
    return invalid(error);
  put(record);
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const CreateKey &change) {
  Outcome failure;
  const auto *customer = findExpected<CustomerRecord>(change.Customer, failure);
  if (customer == nullptr)
    return failure;
  if (change.Digest == KeyDigest{})
    return invalid("the key has no digest");
  for (const auto &[id, key] : Current.Keys)
    if (key.Digest == change.Digest)
      return invalid(concat("key ", id.Value, " has the same digest"));
  KeyRecord key{
      core::KeyId(concat("k", NextStamp.Version.Value)), change.Customer, change.Digest, {}};
  put(key);
  put(*customer);
  return accepted(key.Id.Value);
}

Outcome ChangeEvaluator::operator()(const WithdrawKey &change) {
  Outcome failure;
  if (findExpected<KeyRecord>(change.Id, failure) == nullptr)
    return failure;
  remove<KeyRecord>(change.Id);
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const CreateRoute &change) {
  Outcome failure;
  if (!isFree<RouteRecord>(change.Id, failure))
    return failure;
  std::string error =
      firstNonEmpty({checkName("route name", change.Id.Value), checkPathPrefix(change.PathPrefix),
                     checkRange("deadline in ms", change.Deadline.Ms, 1, MaxDeadlineMs)});
  if (!error.empty())
    return invalid(error);
  for (const auto &[id, route] : Current.Routes)
    if (route.PathPrefix == change.PathPrefix)
      return invalid(concat("route ", id.Value, " has the same path"));
  put(RouteRecord{
      change.Id, change.PathPrefix, change.Access, change.Semantics, change.Deadline, {}, {}});
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const DeleteRoute &change) {
  Outcome failure;
  if (findExpected<RouteRecord>(change.Id, failure) == nullptr)
    return failure;
  for (const auto &[id, target] : Current.Targets)
    if (target.Route == change.Id)
      return invalid(concat("target ", id.Value, " serves the route; delete it first"));
  if (const MoveRecord *move = runningMove(Current, change.Id))
    return invalid(concat("move ", move->Id.Value, " of the route has not ended"));
  remove<RouteRecord>(change.Id);
  return accepted(change.Id.Value);
}

std::string ChangeEvaluator::checkLocation(const core::RegionId &region,
                                           const core::DomainId &domain) const {
  std::string error =
      firstNonEmpty({checkName("region", region.Value), checkName("domain", domain.Value)});
  if (!error.empty())
    return error;
  if (region.Value == GlobalCapName || domain.Value == GlobalCapName)
    return concat("no region or domain may be named ", GlobalCapName);
  if (region.Value == domain.Value)
    return "region and domain have the same name";
  auto check = [&](const auto &table) {
    for (const auto &[id, record] : table) {
      if (record.Domain == domain && record.Region != region)
        return concat("domain ", domain.Value, " is in region ", record.Region.Value);
      if (record.Domain.Value == region.Value || record.Region.Value == domain.Value)
        return concat("a region and a domain would both be named ",
                      record.Domain.Value == region.Value ? region.Value : domain.Value);
    }
    return std::string();
  };
  return firstNonEmpty({check(Current.Targets), check(Current.Vms)});
}

Outcome ChangeEvaluator::operator()(const AddTarget &change) {
  Outcome failure;
  if (!isFree<TargetRecord>(change.Id, failure))
    return failure;
  std::string error = firstNonEmpty(
      {checkName("target name", change.Id.Value), checkAddress("address", change.Address),
       checkName("version", change.Version.Value), checkRange("slots", change.Slots, 1, MaxSlots),
       checkLocation(change.Region, change.Domain)});
  if (!error.empty())
    return invalid(error);
  const RouteRecord *route = find(Current.Routes, change.Route);
  if (route == nullptr)
    return invalid(concat("route ", change.Route.Value, " does not exist"));
  // Two records for one target process would allocate its slots twice.
  for (const auto &[id, target] : Current.Targets)
    if (target.Address == change.Address)
      return invalid(concat("target ", id.Value, " has the same address"));
  put(TargetRecord{change.Id,
                   change.Route,
                   change.Address,
                   change.Version,
                   change.Slots,
                   change.Region,
                   change.Domain,
                   TargetState::Active,
                   {}});
  if (route->Current.empty()) {
    RouteRecord served = *route;
    served.Current = change.Version;
    put(served);
  }
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const DeleteTarget &change) {
  Outcome failure;
  const auto *target = findExpected<TargetRecord>(change.Id, failure);
  if (target == nullptr)
    return failure;
  if (!isDraining(Current, *target))
    return invalid(concat("target ", change.Id.Value, " is active; drain it first"));
  remove<TargetRecord>(change.Id);
  DrainId drain = drainId(DrainKind::Target, change.Id.Value);
  if (find(Current.Drains, drain) != nullptr)
    remove<DrainRecord>(drain);
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const SetCap &change) {
  Outcome failure;
  if (!mayReplace<CapRecord>(change.Id, failure))
    return failure;
  std::string error = firstNonEmpty({checkName("cap name", change.Id.Value),
                                     checkRange("permille", change.Permille, 1, MaxPermille),
                                     checkRange("period in ms", change.Period.Ms, 1, MaxPeriodMs)});
  if (!error.empty())
    return invalid(error);
  put(CapRecord{change.Id, change.Permille, change.Period, {}});
  return accepted(change.Id.Value);
}

bool ChangeEvaluator::isRegion(const std::string &name) const {
  auto hasRecord = [&](const auto &table) {
    return std::any_of(table.begin(), table.end(),
                       [&](const auto &it) { return it.second.Region.Value == name; });
  };
  return hasRecord(Current.Targets) || hasRecord(Current.Vms);
}

bool ChangeEvaluator::isDomain(const std::string &name) const {
  auto hasRecord = [&](const auto &table) {
    return std::any_of(table.begin(), table.end(),
                       [&](const auto &it) { return it.second.Domain.Value == name; });
  };
  return hasRecord(Current.Targets) || hasRecord(Current.Vms);
}

Outcome ChangeEvaluator::updateDrainedRecord(DrainKind kind, const std::string &name,
                                             TargetState state) {
  Outcome failure = accepted("");
  if (kind == DrainKind::Target) {
    if (const auto *target = findExpected<TargetRecord>(core::TargetId(name), failure)) {
      TargetRecord record = *target;
      record.State = state;
      put(record);
    }
  } else if (kind == DrainKind::Vm) {
    if (const auto *vm = findExpected<VmRecord>(core::VmId(name), failure))
      put(*vm);
  } else if (kind == DrainKind::Region ? !isRegion(name) : !isDomain(name)) {
    failure = invalid(concat(nameOf(kind), " ", name, " holds no target and no VM"));
  }
  return failure;
}

Outcome ChangeEvaluator::operator()(const StartDrain &change) {
  DrainId id = drainId(change.Kind, change.Name);
  Outcome outcome;
  bool isLocationDrain = change.Kind == DrainKind::Domain || change.Kind == DrainKind::Region;
  if (isLocationDrain && !isFree<DrainRecord>(id, outcome))
    return outcome;
  outcome = updateDrainedRecord(change.Kind, change.Name, TargetState::Draining);
  if (outcome.Status != Outcome::Accepted)
    return outcome;
  if (const DrainRecord *drain = find(Current.Drains, id))
    return conflict(drain->Changed.Command, concat("drain ", id.Value, " exists already"));
  if (std::string error = checkRange("time in ms", change.TimeLimit.Ms, 0, MaxPeriodMs);
      !error.empty())
    return invalid(error);
  put(DrainRecord{id,
                  change.Kind,
                  change.Name,
                  change.TimeLimit,
                  EvaluatedCommand.ProposedAt,
                  DrainState::Running,
                  "",
                  {}});
  return accepted(id.Value);
}

Outcome ChangeEvaluator::operator()(const UpdateDrain &change) {
  Outcome failure;
  const auto *drain = findExpected<DrainRecord>(change.Id, failure);
  if (drain == nullptr)
    return failure;
  if (std::string error = checkReason(change.Reason); !error.empty())
    return invalid(error);
  if (drain->State == DrainState::Done)
    return invalid(concat("drain ", change.Id.Value, " is done"));
  DrainRecord record = *drain;
  record.State = change.State;
  record.Reason = change.Reason;
  put(record);
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const CancelDrain &change) {
  DrainId id = drainId(change.Kind, change.Name);
  Outcome outcome;
  bool isLocationDrain = change.Kind == DrainKind::Domain || change.Kind == DrainKind::Region;
  if (isLocationDrain && findExpected<DrainRecord>(id, outcome) == nullptr)
    return outcome;
  if (!isLocationDrain) {
    outcome = updateDrainedRecord(change.Kind, change.Name, TargetState::Active);
    if (outcome.Status != Outcome::Accepted)
      return outcome;
    if (find(Current.Drains, id) == nullptr)
      return invalid(concat(nameOf(change.Kind), " ", change.Name, " is not draining"));
  }
  remove<DrainRecord>(id);
  return accepted(id.Value);
}

std::string ChangeEvaluator::checkCaps(const StartShift &change) const {
  for (const std::string &name : {change.From, change.To, std::string(GlobalCapName)}) {
    const CapRecord *cap = find(Current.Caps, CapId(name));
    if (cap == nullptr)
      continue;
    // The products cannot overflow: permille is at most 1,000 and periods are at most 366 days.
    int64_t needed = change.Permille * cap->Period.Ms;
    if (needed > cap->Permille * change.TimeLimit.Ms)
      return concat("cap ", name, " does not allow it: the shift needs ",
                    (needed + cap->Permille - 1) / cap->Permille, " ms");
  }
  return {};
}

Outcome ChangeEvaluator::operator()(const StartShift &change) {
  const ShiftRecord *last = nullptr;
  for (const auto &[id, shift] : Current.Shifts)
    if (shift.From == change.From && (!last || last->Changed.Version < shift.Changed.Version))
      last = &shift;
  Outcome failure;
  if (last != nullptr &&
      !isExpected(concat("the latest shift from ", change.From), last->Changed, failure))
    return failure;
  if (last == nullptr && EvaluatedCommand.ExpectedVersion.Value != 0)
    return conflict("", concat("no shift from ", change.From, " exists"));
  for (const auto &[id, shift] : Current.Shifts)
    if (shift.From == change.From && !isFinal(shift.State))
      return conflict(shift.Changed.Command, concat("shift ", id.Value, " has not ended"));
  for (const std::string &name : {change.From, change.To})
    if (!isRegion(name) && !isDomain(name))
      return invalid(concat("no region or domain is named ", name));
  std::string error =
      firstNonEmpty({change.From == change.To ? "source and destination are the same" : "",
                     checkRange("permille", change.Permille, 1, MaxPermille),
                     checkRange("time in ms", change.TimeLimit.Ms, 1, MaxPeriodMs)});
  if (error.empty())
    error = checkCaps(change);
  if (!error.empty())
    return invalid(error);
  ShiftRecord shift;
  shift.Id = core::MoveId(concat("s", NextStamp.Version.Value));
  shift.From = change.From;
  shift.To = change.To;
  shift.Permille = change.Permille;
  shift.TimeLimit = change.TimeLimit;
  shift.StartedAt = EvaluatedCommand.ProposedAt;
  put(shift);
  return accepted(shift.Id.Value);
}

template <class R, class U>
Outcome ChangeEvaluator::updateProgress(const R &record, const U &update) {
  if (isFinal(record.State))
    return invalid(concat(describe<R>(record.Id), " has ended: ", nameOf(record.State)));
  if (record.State == MoveState::RollingBack && update.State != MoveState::RollingBack &&
      update.State != MoveState::RolledBack)
    return invalid(concat(describe<R>(record.Id), " is being taken back"));
  if (update.Progress.size() > MaxProgressBytes)
    return invalid(concat("progress is longer than ", MaxProgressBytes, " bytes"));
  if (std::string error = checkReason(update.Reason); !error.empty())
    return invalid(error);
  R next = record;
  next.State = update.State;
  next.Reason = update.Reason;
  next.Progress = update.Progress;
  if constexpr (std::is_same_v<R, ShiftRecord>) {
    if (update.ShiftedPermille > record.Permille)
      return invalid("the shifted part is larger than the shift");
    // A rolled-back shift keeps a share if its source is down or if its return is overdue. Dropping
    // the share at once would move its callers faster than the cap allows.
    next.ShiftedPermille =
        update.State == MoveState::Done ? record.Permille : update.ShiftedPermille;
  } else {
    if (update.SharePermille > MaxPermille)
      return invalid("the share is larger than 1000 permille");
    next.SharePermille = shareForState(update.State, update.SharePermille, MaxPermille);
  }
  put(next);
  if (isFinal(update.State))
    pruneFinished<R>(record.Id);
  return accepted(record.Id.Value);
}

template <class R> void ChangeEvaluator::pruneFinished(const core::MoveId &justFinished) {
  std::vector<const R *> finished;
  for (const auto &[id, record] : tableOf<R>(Current))
    if (isFinal(record.State) && id != justFinished)
      finished.push_back(&record);
  std::sort(finished.begin(), finished.end(),
            [](const R *a, const R *b) { return a->Changed.Version < b->Changed.Version; });
  size_t total = finished.size() + 1;
  for (size_t n = 0; n < finished.size() && total > Store.Settings.MaxFinishedMoves; ++n, --total)
    remove<R>(finished[n]->Id);
}

Outcome ChangeEvaluator::operator()(const UpdateShift &change) {
  Outcome failure;
  const auto *shift = findExpected<ShiftRecord>(change.Id, failure);
  return shift == nullptr ? failure : updateProgress(*shift, change);
}

Outcome ChangeEvaluator::operator()(const StartMove &change) {
  Outcome failure;
  const auto *route = findExpected<RouteRecord>(change.Route, failure);
  if (route == nullptr)
    return failure;
  if (const MoveRecord *move = runningMove(Current, change.Route))
    return conflict(move->Changed.Command,
                    concat("move ", move->Id.Value, " of the route has not ended"));
  if (route->Current == change.To)
    return invalid(concat("version ", change.To.Value, " serves the route already"));
  bool hasTarget = std::any_of(Current.Targets.begin(), Current.Targets.end(), [&](const auto &it) {
    const TargetRecord &target = it.second;
    return target.Route == change.Route && target.Version == change.To &&
           !isDraining(Current, target);
  });
  if (!hasTarget)
    return invalid(concat("no active target of the route has version ", change.To.Value));
  if (std::string error = checkRange("time in ms", change.TimeLimit.Ms, 1, MaxPeriodMs);
      !error.empty())
    return invalid(error);
  MoveRecord move;
  move.Id = core::MoveId(concat("m", NextStamp.Version.Value));
  move.Route = change.Route;
  move.From = route->Current;
  move.To = change.To;
  move.TimeLimit = change.TimeLimit;
  move.StartedAt = EvaluatedCommand.ProposedAt;
  put(move);
  put(*route);
  return accepted(move.Id.Value);
}

Outcome ChangeEvaluator::operator()(const UpdateMove &change) {
  Outcome failure;
  const auto *move = findExpected<MoveRecord>(change.Id, failure);
  if (move == nullptr)
    return failure;
  Outcome outcome = updateProgress(*move, change);
  const RouteRecord *route = find(Current.Routes, move->Route);
  if (outcome.Status == Outcome::Accepted && change.State == MoveState::Done && route != nullptr) {
    RouteRecord record = *route;
    record.Current = move->To;
    put(record);
  }
  return outcome;
}

Outcome ChangeEvaluator::operator()(const CancelMove &change) {
  Outcome failure;
  auto rollBack = [&](const auto *record) {
    if (record->State != MoveState::Running)
      return invalid(
          concat(change.Id.Value, " cannot be cancelled; its state is ", nameOf(record->State)));
    auto next = *record;
    next.State = MoveState::RollingBack;
    next.Reason = concat("cancelled by ", EvaluatedCommand.Operator);
    if constexpr (std::is_same_v<decltype(next), MoveRecord>)
      next.SharePermille = 0;
    put(next);
    return accepted(change.Id.Value);
  };
  if (find(Current.Shifts, change.Id) != nullptr) {
    const auto *shift = findExpected<ShiftRecord>(change.Id, failure);
    return shift == nullptr ? failure : rollBack(shift);
  }
  const auto *move = findExpected<MoveRecord>(change.Id, failure);
  return move == nullptr ? failure : rollBack(move);
}

Outcome ChangeEvaluator::operator()(const PutVm &change) {
  Outcome failure;
  if (!mayReplace<VmRecord>(change.Id, failure))
    return failure;
  std::string error = firstNonEmpty({checkName("VM name", change.Id.Value),
                                     checkAddress("control address", change.ControlAddress),
                                     checkAddress("traffic address", change.TrafficAddress)});
  if (error.empty())
    error = checkLocation(change.Region, change.Domain);
  if (!error.empty())
    return invalid(error);
  put(VmRecord{
      change.Id, change.ControlAddress, change.TrafficAddress, change.Region, change.Domain, {}});
  return accepted(change.Id.Value);
}

Outcome ChangeEvaluator::operator()(const RemoveVm &change) {
  Outcome failure;
  if (findExpected<VmRecord>(change.Id, failure) == nullptr)
    return failure;
  remove<VmRecord>(change.Id);
  DrainId drain = drainId(DrainKind::Vm, change.Id.Value);
  if (find(Current.Drains, drain) != nullptr)
    remove<DrainRecord>(drain);
  return accepted(change.Id.Value);
}

} // namespace briarspar::config
