#include "balance/CrashGuard.h"

#include "absl/status/status.h"
#include "core/Codec.h"

#include <algorithm>
#include <utility>

namespace briarspar::balance {

using core::Duration;
using core::Json;
using core::TargetId;
using core::Time;

namespace {

constexpr core::CodecLimits MessageLimits{size_t{1024} * 1024, 8};

/// Records in the last tenth of their quarantine are not reported. Otherwise two VMs could revive
/// each other's ended records for ever, because a report ages on its way.
constexpr int64_t ReportedTenths = 9;

/// Crashes of one version that are remembered.
constexpr size_t MaxEvents = 64;

Duration ageAt(Time now, Time at) { return {std::max<int64_t>(0, (now - at).Ms)}; }

} // namespace

static void from_json(const Json &j, CrashReport &report) {
  for (const Json &row : j) {
    CrashReport::Entry entry;
    row.at(0).get_to(entry.Fingerprint);
    for (const Json &crash : row.at(1)) {
      CrashReport::Crash c;
      crash.at(0).get_to(c.Target);
      c.Age.Ms = std::max<int64_t>(0, crash.at(1).get<int64_t>());
      entry.Crashes.push_back(std::move(c));
    }
    if (row.at(2).is_number())
      entry.ClearedAge = Duration{std::max<int64_t>(0, row.at(2).get<int64_t>())};
    report.Entries.push_back(std::move(entry));
  }
}

std::string encode(const CrashReport &report) {
  Json j = Json::array();
  for (const CrashReport::Entry &entry : report.Entries) {
    Json crashes = Json::array();
    for (const CrashReport::Crash &crash : entry.Crashes)
      crashes.push_back(Json::array({Json(crash.Target), Json(crash.Age.Ms)}));
    const Json cleared = entry.ClearedAge ? Json(entry.ClearedAge->Ms) : Json();
    j.push_back(Json::array({Json(entry.Fingerprint), std::move(crashes), cleared}));
  }
  return core::encodeCbor(j);
}

absl::StatusOr<CrashReport> decodeCrashReport(std::string_view bytes) {
  absl::StatusOr<Json> j = core::decodeCbor(bytes, MessageLimits);
  if (!j.ok())
    return j.status();
  if (!j->is_array())
    return absl::InvalidArgumentError("a crash report is an array");
  try {
    return j->get<CrashReport>();
  } catch (const Json::exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
}

size_t CrashGuard::Record::count() const {
  size_t n = 0;
  for (const auto &[target, times] : Crashes)
    n += times.size();
  return n;
}

CrashGuard::CrashGuard(const CrashGuardSettings &settings) : Settings(settings) {}

bool CrashGuard::admits(uint64_t fingerprint, Time now) const {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Entries.find(fingerprint);
  return it == Entries.end() || now >= it->second.Latest + Settings.Quarantine ||
         it->second.count() < Settings.MaxCrashes;
}

uint32_t CrashGuard::recordCrash(uint64_t fingerprint, const TargetId &target,
                                 const core::VersionId &version, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  add(Entries[fingerprint], target, now);
  trim(now);

  EventList &events = Versions[version];
  Event &event = eventOf(events, target, now);
  event.Repeated = event.Repeated || isRepeated(events, fingerprint, event);
  event.Fingerprints.insert(fingerprint);
  ++event.Withheld;
  const auto unrelated = static_cast<size_t>(
      std::count_if(events.begin(), events.end(), [](const Event &e) { return !e.Repeated; }));
  if (unrelated < Settings.CrashesToBlameVersion)
    return 0;
  uint32_t n = 0;
  for (Event &e : events)
    if (!e.Repeated)
      n += std::exchange(e.Withheld, 0);
  return n;
}

/// Returns the event that ended the target just now. The requests in flight on it are recorded one
/// after the other.
CrashGuard::Event &CrashGuard::eventOf(EventList &events, const TargetId &target, Time now) const {
  const auto isOver = [&](const Event &e) { return now >= e.At + Settings.BlameWindow; };
  events.erase(std::remove_if(events.begin(), events.end(), isOver), events.end());
  for (Event &e : events)
    if (e.Target == target && now < e.At + Settings.SameCrash)
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

void CrashGuard::recordGood(uint64_t fingerprint, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  auto it = Entries.find(fingerprint);
  // A refused request stays refused; an answer that was under way does not release it.
  if (it != Entries.end() && it->second.count() < Settings.MaxCrashes)
    clear(it->second, now);
}

CrashReport CrashGuard::report(Time now) const {
  std::lock_guard<std::mutex> lock(Mutex);
  std::vector<std::pair<int64_t, uint64_t>> byAge;
  for (const auto &[fingerprint, record] : Entries)
    if (ageAt(now, record.Latest).Ms < Settings.Quarantine.Ms * ReportedTenths / 10)
      byAge.emplace_back(ageAt(now, record.Latest).Ms, fingerprint);
  std::sort(byAge.begin(), byAge.end());
  if (byAge.size() > Settings.MaxReportEntries)
    byAge.resize(Settings.MaxReportEntries);
  CrashReport report;
  for (const auto &[age, fingerprint] : byAge) {
    const Record &record = Entries.at(fingerprint);
    CrashReport::Entry entry;
    entry.Fingerprint = fingerprint;
    for (const auto &[target, times] : record.Crashes)
      for (Time at : times)
        entry.Crashes.push_back({target, ageAt(now, at)});
    if (record.ClearedAt)
      entry.ClearedAge = ageAt(now, *record.ClearedAt);
    report.Entries.push_back(std::move(entry));
  }
  return report;
}

void CrashGuard::merge(const CrashReport &report, Time now) {
  std::lock_guard<std::mutex> lock(Mutex);
  for (const CrashReport::Entry &entry : report.Entries) {
    Record &record = Entries[entry.Fingerprint];
    for (const CrashReport::Crash &crash : entry.Crashes)
      if (crash.Age < Settings.Quarantine)
        add(record, crash.Target, now - crash.Age);
    // A record that is refused here is not cleared by an answer that another VM received before it
    // knew of both crashes.
    const bool isRefused = record.count() >= Settings.MaxCrashes;
    if (entry.ClearedAge && *entry.ClearedAge < Settings.Quarantine && !isRefused)
      clear(record, now - *entry.ClearedAge);
  }
  trim(now);
}

void CrashGuard::add(Record &record, const TargetId &target, Time at) const {
  if (record.ClearedAt && at <= *record.ClearedAt)
    return;
  std::vector<Time> &times = record.Crashes[target];
  for (Time &known : times)
    if ((at - known).Ms < Settings.SameCrash.Ms && (known - at).Ms < Settings.SameCrash.Ms) {
      // The earliest time is the nearest to the crash; later ones include the way of a report.
      known = at < known ? at : known;
      return;
    }
  if (times.size() >= Settings.MaxCrashes)
    return;
  times.push_back(at);
  if (at > record.Latest || record.count() == 1)
    record.Latest = at;
}

void CrashGuard::clear(Record &record, Time at) {
  if (!record.ClearedAt || at > *record.ClearedAt)
    record.ClearedAt = at;
  for (auto it = record.Crashes.begin(); it != record.Crashes.end();) {
    std::vector<Time> &times = it->second;
    times.erase(
        std::remove_if(times.begin(), times.end(), [&](Time t) { return t <= *record.ClearedAt; }),
        times.end());
    it = times.empty() ? record.Crashes.erase(it) : std::next(it);
  }
  if (*record.ClearedAt > record.Latest)
    record.Latest = *record.ClearedAt;
}

void CrashGuard::trim(Time now) {
  std::vector<std::pair<int64_t, uint64_t>> byTime;
  for (auto it = Entries.begin(); it != Entries.end();) {
    const Record &record = it->second;
    const bool isEmpty = record.Crashes.empty() && !record.ClearedAt;
    if (isEmpty || now >= record.Latest + Settings.Quarantine) {
      it = Entries.erase(it);
      continue;
    }
    byTime.emplace_back(record.Latest.Ms, it->first);
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
