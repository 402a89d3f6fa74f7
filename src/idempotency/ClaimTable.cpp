#include "idempotency/ClaimTable.h"

#include <algorithm>
#include <cassert>

namespace briarspar::idempotency {

using core::Json;
using core::Time;

namespace {

/// Version of the snapshot format.
constexpr int SnapshotFormat = 1;

} // namespace

ClaimTable::ClaimTable(const ClaimTableSettings &settings) : Settings(settings) {}

ClaimResult ClaimTable::apply(const ClaimCommand &command, Time logTime) {
  if (const auto *c = std::get_if<Claim>(&command))
    return ClaimResponse{c->Key, c->Attempt, claim(*c, logTime)};
  if (const auto *c = std::get_if<Completion>(&command)) {
    complete(*c, logTime);
    return CompletionAck{c->Attempt};
  }
  if (const auto *r = std::get_if<Release>(&command)) {
    release(*r, logTime);
    return ReleaseAck{r->Attempt};
  }
  if (const auto *d = std::get_if<VmDead>(&command))
    markVmDead(d->Vm, d->Run, logTime);
  else
    advance(logTime);
  return std::monostate{};
}

ClaimOutcome ClaimTable::claim(const Claim &claim, Time logTime) {
  advance(logTime);
  auto it = Entries.find(claim.Key);
  if (it == Entries.end())
    return grant(claim);
  Entry &entry = it->second;
  if (entry.CurrentState == State::Released) {
    if (isBlocked(entry, claim.Attempt))
      return {ClaimOutcome::Released, ""};
    erase(it);
    return grant(claim);
  }
  if (entry.BodyFingerprint != claim.BodyFingerprint)
    return {ClaimOutcome::BodyMismatch, ""};
  if (entry.CurrentState == State::InProgress && entry.Attempt == claim.Attempt)
    return {ClaimOutcome::Granted, ""};
  // A later run of the VM proves that the run which claimed has ended.
  if (entry.CurrentState == State::InProgress && isLaterRun(claim.Attempt, entry.Attempt))
    setState(it, State::Unknown, Settings.Retention);
  return outcomeOf(entry);
}

ClaimOutcome ClaimTable::grant(const Claim &claim) {
  const size_t base = baseBytes(claim.Key);
  // Reserving the largest answer ensures that the answer of an accepted claim is never dropped for
  // lack of room.
  const bool fits = base - EntryOverheadBytes <= Settings.MaxKeyBytes &&
                    Entries.size() < Settings.MaxClaims &&
                    Bytes + base + Settings.MaxAnswerBytes <= Settings.MaxTotalBytes;
  if (!fits)
    return {ClaimOutcome::Full, ""};
  Entry entry;
  entry.Attempt = claim.Attempt;
  entry.BodyFingerprint = claim.BodyFingerprint;
  auto it = Entries.emplace(claim.Key, std::move(entry)).first;
  // The deadline comes from outside; its bounds keep an entry from living forever.
  const core::Duration deadline{std::clamp<int64_t>(claim.Deadline.Ms, 0, Settings.Retention.Ms)};
  setState(it, State::InProgress, deadline + Settings.DeadlineGrace);
  return {ClaimOutcome::Granted, ""};
}

void ClaimTable::complete(const Completion &completion, Time logTime) {
  advance(logTime);
  auto it = find(completion.Key, completion.Attempt);
  if (it == Entries.end() || it->second.Final || it->second.CurrentState == State::Released)
    return;
  Entry &entry = it->second;
  entry.Final = true;
  if (completion.Result == RunResult::Unknown) {
    setState(it, State::Unknown, Settings.Retention);
    return;
  }
  const bool keep = completion.AnswerKept && completion.Answer.size() <= Settings.MaxAnswerBytes &&
                    // A claim that became unknown lost the space reserved for its answer.
                    Bytes - entry.Charged + baseBytes(it->first) + completion.Answer.size() <=
                        Settings.MaxTotalBytes;
  if (keep)
    entry.Answer = completion.Answer;
  setState(it, keep ? State::Answered : State::AnswerNotKept, Settings.Retention);
}

void ClaimTable::release(const Release &release, Time logTime) {
  advance(logTime);
  auto it = Entries.find(release.Key);
  if (it == Entries.end()) {
    // The claim may still be on its way; the record keeps it from being granted afterwards.
    const size_t base = baseBytes(release.Key);
    if (base - EntryOverheadBytes > Settings.MaxKeyBytes || Entries.size() >= Settings.MaxClaims ||
        Bytes + base > Settings.MaxTotalBytes)
      return;
    it = Entries.emplace(release.Key, Entry{}).first;
    it->second.Attempt = release.Attempt;
    setState(it, State::Released, Settings.ReleasedRetention);
    return;
  }
  Entry &entry = it->second;
  if (entry.CurrentState == State::Released) {
    if (!isBlocked(entry, release.Attempt))
      entry.Attempt = release.Attempt;
    setState(it, State::Released, Settings.ReleasedRetention);
    return;
  }
  if (entry.Attempt == release.Attempt && !entry.Final)
    setState(it, State::Released, Settings.ReleasedRetention);
}

void ClaimTable::markVmDead(const core::VmId &vm, core::Incarnation run, Time logTime) {
  advance(logTime);
  std::vector<EntryMap::iterator> ended;
  for (auto u = InProgressByVm.lower_bound({vm, RequestKey{}});
       u != InProgressByVm.end() && u->first == vm; ++u) {
    auto it = Entries.find(u->second);
    assert(it != Entries.end());
    if (it->second.Attempt.Run <= run)
      ended.push_back(it);
  }
  for (auto it : ended)
    setState(it, State::Unknown, Settings.Retention);
}

void ClaimTable::advance(Time logTime) {
  LatestLogTime = std::max(LatestLogTime, logTime, [](Time a, Time b) { return a < b; });
  while (!ByExpiry.empty() && ByExpiry.begin()->first <= LatestLogTime.Ms)
    expireEntry(Entries.find(ByExpiry.begin()->second));
}

void ClaimTable::expireEntry(EntryMap::iterator it) {
  assert(it != Entries.end());
  if (it->second.CurrentState == State::InProgress)
    setState(it, State::Unknown, Settings.Retention);
  else
    erase(it);
}

std::optional<ClaimOutcome> ClaimTable::lookup(const Claim &claim) const {
  auto it = Entries.find(claim.Key);
  if (it == Entries.end() || it->second.CurrentState == State::Released)
    return std::nullopt;
  const Entry &entry = it->second;
  if (entry.BodyFingerprint != claim.BodyFingerprint)
    return ClaimOutcome{ClaimOutcome::BodyMismatch, ""};
  const bool needsLog =
      entry.CurrentState == State::InProgress &&
      (entry.Attempt == claim.Attempt || isLaterRun(claim.Attempt, entry.Attempt));
  if (needsLog)
    return std::nullopt;
  return outcomeOf(entry);
}

ClaimOutcome ClaimTable::outcomeOf(const Entry &entry) {
  switch (entry.CurrentState) {
  case State::InProgress:
    return {ClaimOutcome::InProgress, ""};
  case State::Answered:
    return {ClaimOutcome::Completed, entry.Answer};
  case State::AnswerNotKept:
    return {ClaimOutcome::AnswerNotKept, ""};
  case State::Released:
    return {ClaimOutcome::Released, ""};
  case State::Unknown:
    break;
  }
  return {ClaimOutcome::Unknown, ""};
}

bool ClaimTable::isLaterRun(const AttemptId &later, const AttemptId &earlier) {
  return later.Vm == earlier.Vm && later.Run > earlier.Run;
}

bool ClaimTable::isBlocked(const Entry &released, const AttemptId &attempt) {
  return attempt.Vm == released.Attempt.Vm && attempt.Run == released.Attempt.Run &&
         attempt.Number <= released.Attempt.Number;
}

size_t ClaimTable::baseBytes(const RequestKey &key) {
  return EntryOverheadBytes + key.Customer.Value.size() + key.Route.Value.size() +
         key.RequestId.size();
}

ClaimTable::EntryMap::iterator ClaimTable::find(const RequestKey &key, const AttemptId &attempt) {
  auto it = Entries.find(key);
  return it != Entries.end() && it->second.Attempt == attempt ? it : Entries.end();
}

void ClaimTable::setState(EntryMap::iterator it, State state, core::Duration lifetime) {
  Entry &entry = it->second;
  ByExpiry.erase({entry.ExpiresAt.Ms, it->first});
  entry.CurrentState = state;
  entry.ExpiresAt = LatestLogTime + lifetime;
  ByExpiry.insert({entry.ExpiresAt.Ms, it->first});
  if (state == State::InProgress)
    InProgressByVm.insert({entry.Attempt.Vm, it->first});
  else
    InProgressByVm.erase({entry.Attempt.Vm, it->first});
  charge(it);
}

void ClaimTable::charge(EntryMap::iterator it) {
  Entry &entry = it->second;
  Bytes -= entry.Charged;
  const size_t answer =
      entry.CurrentState == State::InProgress ? Settings.MaxAnswerBytes : entry.Answer.size();
  entry.Charged = baseBytes(it->first) + answer;
  Bytes += entry.Charged;
}

void ClaimTable::erase(EntryMap::iterator it) {
  ByExpiry.erase({it->second.ExpiresAt.Ms, it->first});
  InProgressByVm.erase({it->second.Attempt.Vm, it->first});
  Bytes -= it->second.Charged;
  Entries.erase(it);
}

std::string ClaimTable::snapshot() const {
  Json rows = Json::array();
  for (const auto &[key, entry] : Entries)
    rows.push_back({key, static_cast<uint8_t>(entry.CurrentState), entry.Final, entry.Attempt,
                    entry.BodyFingerprint, entry.ExpiresAt.Ms,
                    Json::binary({entry.Answer.begin(), entry.Answer.end()})});
  return core::encodeCbor(
      {{"format", SnapshotFormat}, {"time", LatestLogTime.Ms}, {"entries", std::move(rows)}});
}

absl::Status ClaimTable::restore(std::string_view bytes) {
  // An entry needs less room in a snapshot than it is charged, but for the name of its VM.
  const core::CodecLimits limits{2 * Settings.MaxTotalBytes, 8};
  absl::StatusOr<Json> j = core::decodeCbor(bytes, limits);
  if (!j.ok())
    return j.status();
  ClaimTable restored(Settings);
  try {
    if (j->at("format").get<int>() != SnapshotFormat)
      return absl::InvalidArgumentError("unknown format of a claim table snapshot");
    j->at("time").get_to(restored.LatestLogTime.Ms);
    for (const Json &row : j->at("entries"))
      if (!restored.insertRestored(row))
        return absl::InvalidArgumentError("invalid entry in a claim table snapshot");
  } catch (const Json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
  *this = std::move(restored);
  return absl::OkStatus();
}

bool ClaimTable::insertRestored(const Json &row) {
  const auto state = row.at(1).get<uint8_t>();
  if (state > static_cast<uint8_t>(State::Released))
    return false;
  Entry entry;
  row.at(2).get_to(entry.Final);
  row.at(3).get_to(entry.Attempt);
  row.at(4).get_to(entry.BodyFingerprint);
  const Time expiresAt{row.at(5).get<int64_t>()};
  const Json::binary_t &answer = row.at(6).get_binary();
  entry.Answer.assign(answer.begin(), answer.end());
  auto [it, inserted] = Entries.emplace(row.at(0).get<RequestKey>(), std::move(entry));
  if (!inserted)
    return false;
  setState(it, static_cast<State>(state), expiresAt - LatestLogTime);
  return true;
}

} // namespace briarspar::idempotency
