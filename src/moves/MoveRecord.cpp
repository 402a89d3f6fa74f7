#include "moves/MoveRecord.h"

#include <algorithm>
#include <tuple>

namespace briarspar::moves {

std::string_view reasonName(MoveReason reason) {
  switch (reason) {
  case MoveReason::None:
    return "none";
  case MoveReason::Completed:
    return "completed";
  case MoveReason::ErrorsWorse:
    return "errors are worse than the old version's";
  case MoveReason::LatencyWorse:
    return "latency is worse than the old version's";
  case MoveReason::CrashesWorse:
    return "targets crash more often than the old version's";
  case MoveReason::MeasurementsStopped:
    return "measurements stopped";
  case MoveReason::DeadlinePassed:
    return "deadline passed";
  case MoveReason::Cancelled:
    return "cancelled";
  case MoveReason::RegionFailed:
    return "region failed";
  }
  return "unknown";
}

bool operator==(const MoveStep &a, const MoveStep &b) {
  auto members = [](const MoveStep &s) {
    return std::tie(s.Id, s.Expected, s.Kind, s.Share, s.RequestLimit, s.Elapsed.Ms, s.Reason,
                    s.Detail);
  };
  return members(a) == members(b);
}

namespace {

bool allowed(MovePhase phase, StepKind kind) {
  switch (kind) {
  case StepKind::SetShare:
    return phase == MovePhase::Moving || phase == MovePhase::Returning;
  case StepKind::BeginDrain:
    return phase == MovePhase::Moving;
  case StepKind::BeginReturn:
  case StepKind::Finish:
    return phase != MovePhase::Returning;
  case StepKind::Checkpoint:
  case StepKind::RollBack:
    return true;
  }
  return false;
}

MovePhase phaseAfter(MovePhase phase, StepKind kind) {
  switch (kind) {
  case StepKind::BeginDrain:
    return MovePhase::Draining;
  case StepKind::BeginReturn:
    return MovePhase::Returning;
  case StepKind::Finish:
    return MovePhase::Done;
  case StepKind::RollBack:
    return MovePhase::RolledBack;
  case StepKind::SetShare:
  case StepKind::Checkpoint:
    break;
  }
  return phase;
}

} // namespace

bool applyStep(MoveRecord &record, const MoveStep &step) {
  if (step.Id != record.Id || step.Expected != record.Version || record.ended() ||
      !allowed(record.Phase, step.Kind) || step.Share > FullShare)
    return false;
  ++record.Version;
  record.Elapsed = std::max(record.Elapsed, step.Elapsed);
  if (step.Kind == StepKind::Checkpoint)
    return true;
  record.Phase = phaseAfter(record.Phase, step.Kind);
  record.Share = step.Share;
  record.RequestLimit = step.RequestLimit;
  record.PhaseStart = record.Elapsed;
  if (step.Reason != MoveReason::None) {
    record.Reason = step.Reason;
    record.Detail = step.Detail;
  }
  return true;
}

void to_json(core::Json &j, const MoveRecord &r) {
  j = {{"id", r.Id},
       {"kind", static_cast<int>(r.Kind)},
       {"limit", r.Limit.Ms},
       {"from", r.From},
       {"to", r.To},
       {"goal", r.Goal},
       {"scope", static_cast<int>(r.Scope)},
       {"name", r.Name},
       {"old", r.OldVersion},
       {"new", r.NewVersion},
       {"routes", r.Routes},
       {"cancel", r.CancelRequested},
       {"version", r.Version},
       {"phase", static_cast<int>(r.Phase)},
       {"share", r.Share},
       {"request_limit", r.RequestLimit},
       {"elapsed", r.Elapsed.Ms},
       {"phase_start", r.PhaseStart.Ms},
       {"reason", static_cast<int>(r.Reason)},
       {"detail", r.Detail}};
}

namespace {

// Reads an enumeration and refuses numbers above its last value.
template <class Enum> void getEnum(const core::Json &j, const char *key, Enum last, Enum &value) {
  int n = j.at(key).get<int>();
  if (n < 0 || n > static_cast<int>(last))
    throw nlohmann::json::other_error::create(599, std::string(key) + " is out of range", &j);
  value = static_cast<Enum>(n);
}

} // namespace

void from_json(const core::Json &j, MoveRecord &r) {
  j.at("id").get_to(r.Id);
  getEnum(j, "kind", MoveKind::Version, r.Kind);
  j.at("limit").get_to(r.Limit.Ms);
  j.at("from").get_to(r.From);
  j.at("to").get_to(r.To);
  j.at("goal").get_to(r.Goal);
  getEnum(j, "scope", DrainScope::Region, r.Scope);
  j.at("name").get_to(r.Name);
  j.at("old").get_to(r.OldVersion);
  j.at("new").get_to(r.NewVersion);
  j.at("routes").get_to(r.Routes);
  j.at("cancel").get_to(r.CancelRequested);
  j.at("version").get_to(r.Version);
  getEnum(j, "phase", MovePhase::RolledBack, r.Phase);
  j.at("share").get_to(r.Share);
  j.at("request_limit").get_to(r.RequestLimit);
  j.at("elapsed").get_to(r.Elapsed.Ms);
  j.at("phase_start").get_to(r.PhaseStart.Ms);
  getEnum(j, "reason", MoveReason::RegionFailed, r.Reason);
  j.at("detail").get_to(r.Detail);
}

void to_json(core::Json &j, const MoveStep &s) {
  j = {{"id", s.Id},
       {"expected", s.Expected},
       {"kind", static_cast<int>(s.Kind)},
       {"share", s.Share},
       {"request_limit", s.RequestLimit},
       {"elapsed", s.Elapsed.Ms},
       {"reason", static_cast<int>(s.Reason)},
       {"detail", s.Detail}};
}

void from_json(const core::Json &j, MoveStep &s) {
  j.at("id").get_to(s.Id);
  j.at("expected").get_to(s.Expected);
  getEnum(j, "kind", StepKind::RollBack, s.Kind);
  j.at("share").get_to(s.Share);
  j.at("request_limit").get_to(s.RequestLimit);
  j.at("elapsed").get_to(s.Elapsed.Ms);
  getEnum(j, "reason", MoveReason::RegionFailed, s.Reason);
  j.at("detail").get_to(s.Detail);
}

} // namespace briarspar::moves
