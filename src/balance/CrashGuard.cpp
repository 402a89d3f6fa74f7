#include "balance/CrashGuard.h"

#include "absl/status/status.h"
#include "core/Codec.h"
#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace briarspar::balance {

using core::Duration;
using core::Json;
using core::TargetId;
using core::Time;

namespace {

constexpr core::CodecLimits MessageLimits{size_t{1024} * 1024, 8};

/// Records in the last tenth of their quarantine are not reported. Reports age in transit, so two
/// VMs could otherwise renew each other's expired records indefinitely.
constexpr int64_t ReportedTenths = 9;

/// Crashes kept per request.
constexpr size_t MaxCrashesKept = 8;

/// Crash events kept per version.
constexpr size_t MaxEvents = 64;

Duration ageAt(Time now, Time at) { return {std::max<int64_t>(0, (now - at).Ms)}; }

} // namespace

static void from_json(const Json &j, CrashReport &report) {
  for (const Json &row : j) {
    CrashReport::Entry entry;
    row.at(0).get_to(entry.Fingerprint);
    for (const Json &crash : row.at(1)) {
      CrashReport::Crash c;
      crash.at(0).get_to(c.Id);
      crash.at(1).get_to(c.Target);
      c.Age.Ms = std::max<int64_t>(0, crash.at(2).get<int64_t>());
      crash.at(3).get_to(c.Cleared);
      entry.Crashes.push_back(std::move(c));
    }
    report.Entries.push_back(std::move(entry));
  }
}

std::string encode(const CrashReport &report) {
  Json j = Json::array();
  for (const CrashReport::Entry &entry : report.Entries) {
    Json crashes = Json::array();
    for (const CrashReport::Crash &c : entry.Crashes)
      crashes.push_back(Json::array({c.Id, c.Target, c.Age.Ms, c.Cleared}));
    j.push_back(Json::array({Json(entry.Fingerprint), std::move(crashes)}));
  }
  return core::encodeCbor(j);
}

absl::StatusOr<CrashReport> decodeCrashReport(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes, MessageLimits);
  if (!j.ok())
    return j.status();
  if (!j->is_array())
    return absl::InvalidArgumentError("crash report is not an array");
  try {
    return j->get<CrashReport>();
  } catch (const Json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

size_t CrashGuard::Record::count() const {
  return static_cast<size_t>(std::count_if(Crashes.begin(), Crashes.end(),
                                           [](const auto &c) { return !c.second.Cleared; }));
}

Time CrashGuard::Record::latest() const {
  Time latest = Crashes.begin()->second.At;
  for (const auto &[id, crash] : Crashes)
    latest = crash.At > latest ? crash.At : latest;
  return latest;
}

CrashGuard::CrashGuard(uint64_t origin, const CrashGuardSettings &settings)
    : Origin(origin), Settings(settings) {}

bool CrashGuard::admits(uint64_t fingerprint, Time now) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Entries.find(fingerprint);
  return it == Entries.end() || it->second.count() < Settings.MaxCrashes ||
         now >= it->second.latest() + Settings.Quarantine;
}

bool CrashGuard::hasCrashed(uint64_t fingerprint) const { return count(fingerprint) > 0; }

size_t CrashGuard::count(uint64_t fingerprint) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Entries.find(fingerprint);
  return it == Entries.end() ? 0 : it->second.count();
}

uint32_t CrashGuard::recordCrash(uint64_t fingerprint, const TargetId &target,
                                 const core::VersionId &version, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  Record &record = Entries[fingerprint];
  const bool isKnown =
      std::any_of(record.Crashes.begin(), record.Crashes.end(), [&](const auto &c) {
        return c.second.Target == target && now < c.second.At + Settings.CrashMergeWindow;
      });
  if (!isKnown) {
    add(record, idOf(++LastCrash), {target, now, false});
  }
  trim(now);

  EventList &events = Versions[version];
  Event &event = eventOf(events, target, now);
  event.Repeated = event.Repeated || isRepeated(events, fingerprint, event);
  event.Fingerprints.insert(fingerprint);
  ++event.Withheld;
  const auto unrelated = static_cast<size_t>(
      std::count_if(events.begin(), events.end(), [](const Event &e) { return !e.Repeated; }));
  if (unrelated < Settings.MinVersionCrashes)
    return 0;
  uint32_t n = 0;
  for (Event &e : events)
    if (!e.Repeated)
      n += std::exchange(e.Withheld, 0);
  return n;
}

/// Returns the event of the target's current crash, a new one if needed. The requests in flight on
/// the target are recorded one by one and belong to the same event.
CrashGuard::Event &CrashGuard::eventOf(EventList &events, const TargetId &target, Time now) const {
  const auto isExpired = [&](const Event &e) { return now >= e.At + Settings.VersionCrashWindow; };
  events.erase(std::remove_if(events.begin(), events.end(), isExpired), events.end());
  for (Event &e : events)
    if (e.Target == target && now < e.At + Settings.CrashMergeWindow)
      return e;
  if (events.size() >= MaxEvents)
    events.erase(events.begin());
  events.push_back({target, now, {}, false, 0});
  return events.back();
}

bool CrashGuard::isRepeated(const EventList &events, uint64_t fingerprint, const Event &event) {
  return std::any_of(events.begin(), events.end(), [&](const Event &e) {
    return &e != &event && e.Fingerprints.count(fingerprint) != 0;
  });
}

void CrashGuard::recordSuccess(uint64_t fingerprint) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Entries.find(fingerprint);
  // An answer that was already in flight does not release a quarantined request.
  if (it == Entries.end() || it->second.count() >= Settings.MaxCrashes)
    return;
  for (auto &[id, crash] : it->second.Crashes)
    crash.Cleared = true;
}

CrashReport CrashGuard::report(Time now) const {
  std::lock_guard<std::mutex> lock(Mutex);
  std::vector<std::pair<int64_t, uint64_t>> byAge;
  for (const auto &[fingerprint, record] : Entries) {
    const int64_t age = ageAt(now, record.latest()).Ms;
    if (age < Settings.Quarantine.Ms * ReportedTenths / 10)
      byAge.emplace_back(age, fingerprint);
  }
  std::sort(byAge.begin(), byAge.end());
  if (byAge.size() > Settings.MaxReportEntries)
    byAge.resize(Settings.MaxReportEntries);
  CrashReport report;
  for (const auto &[age, fingerprint] : byAge) {
    CrashReport::Entry entry;
    entry.Fingerprint = fingerprint;
    for (const auto &[id, crash] : Entries.at(fingerprint).Crashes)
      entry.Crashes.push_back({id, crash.Target, ageAt(now, crash.At), crash.Cleared});
    report.Entries.push_back(std::move(entry));
  }
  return report;
}

void CrashGuard::merge(const CrashReport &report, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  for (const CrashReport::Entry &entry : report.Entries)
    for (const CrashReport::Crash &c : entry.Crashes)
      if (c.Age < Settings.Quarantine)
        add(Entries[entry.Fingerprint], c.Id, {c.Target, now - c.Age, c.Cleared});
  trim(now);
}

uint64_t CrashGuard::lastCrash() const {
  std::lock_guard<std::mutex> lock(Mutex);
  return LastCrash;
}

uint64_t CrashGuard::lastOwnCrash(const CrashReport &report) const {
  std::lock_guard<std::mutex> lock(Mutex);
  std::set<uint64_t> ids;
  for (const CrashReport::Entry &entry : report.Entries)
    for (const CrashReport::Crash &c : entry.Crashes)
      ids.insert(c.Id);
  const uint64_t first = LastCrash - std::min<uint64_t>(LastCrash, Settings.MaxEntries);
  for (uint64_t crash = LastCrash; crash > first; --crash)
    if (ids.count(idOf(crash)) != 0)
      return crash;
  return 0;
}

uint64_t CrashGuard::idOf(uint64_t crashNumber) const {
  const std::string_view bytes(reinterpret_cast<const char *>(&crashNumber), sizeof crashNumber);
  return core::hash64(bytes, Origin);
}

void CrashGuard::add(Record &record, uint64_t id, const Crash &crash) {
  auto known = record.Crashes.find(id);
  if (known == record.Crashes.end()) {
    if (record.Crashes.size() < MaxCrashesKept)
      record.Crashes.emplace(id, crash);
    return;
  }
  // The earliest time is the closest to the crash; later ones include the transit time of a report.
  known->second.At = std::min(known->second.At, crash.At);
  known->second.Cleared = known->second.Cleared || crash.Cleared;
}

void CrashGuard::trim(Time now) {
  std::vector<std::pair<int64_t, uint64_t>> byTime;
  for (auto it = Entries.begin(); it != Entries.end();) {
    const Record &record = it->second;
    if (record.Crashes.empty() || now >= record.latest() + Settings.Quarantine) {
      it = Entries.erase(it);
      continue;
    }
    byTime.emplace_back(record.latest().Ms, it->first);
    ++it;
  }
  if (byTime.size() <= Settings.MaxEntries)
    return;
  std::sort(byTime.begin(), byTime.end());
  for (size_t n = 0; n < byTime.size() - Settings.MaxEntries; ++n)
    Entries.erase(byTime[n].second);
}

size_t CrashGuard::size() const {
  std::lock_guard<std::mutex> lock(Mutex);
  return Entries.size();
}

} // namespace briarspar::balance
