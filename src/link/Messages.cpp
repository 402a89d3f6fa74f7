#include "link/Messages.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace briarspar::link {

using core::Json;

namespace {

/// Seed that separates target keys from other hashes of target ids.
constexpr uint64_t TargetKeySeed = 0x746b6579;

/// Parts that are already CBOR-encoded are embedded as byte strings.
Json binary(const std::string &bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const Json &j) {
  const auto &bytes = j.get_binary();
  return {bytes.begin(), bytes.end()};
}

/// Measured values are encoded as integer tenths, in 1 to 5 bytes instead of 9. Their measurement
/// is no more precise than that.
uint64_t toTenths(double value) {
  return static_cast<uint64_t>(std::llround(std::max(0.0, value) * 10));
}

/// Loads are encoded as a byte string of six bytes each: the key and the number of requests,
/// little-endian.
constexpr size_t KeyBytes = 4;
constexpr size_t LoadBytes = KeyBytes + 2;
constexpr uint32_t MaxRequests = 0xffff;

Json packLoads(absl::Span<const TargetLoad> loads) {
  std::vector<uint8_t> bytes;
  bytes.reserve(loads.size() * LoadBytes);
  for (const TargetLoad &it : loads) {
    uint64_t packed = it.Target | uint64_t{std::min(it.Requests, MaxRequests)} << (8 * KeyBytes);
    for (size_t i = 0; i < LoadBytes; ++i)
      bytes.push_back(static_cast<uint8_t>(packed >> (8 * i)));
  }
  return Json::binary(std::move(bytes));
}

/// An incomplete last entry is ignored.
std::vector<TargetLoad> unpackLoads(const Json &j) {
  const auto &bytes = j.get_binary();
  std::vector<TargetLoad> out;
  for (size_t at = 0; at + LoadBytes <= bytes.size(); at += LoadBytes) {
    uint64_t packed = 0;
    for (size_t i = 0; i < LoadBytes; ++i)
      packed |= uint64_t{bytes[at + i]} << (8 * i);
    out.push_back({static_cast<uint32_t>(packed), static_cast<uint32_t>(packed >> (8 * KeyBytes))});
  }
  return out;
}

/// Process notices are encoded as a byte string of seven bytes each: the key, the fact, and the
/// span in milliseconds, little-endian.
constexpr size_t NoticeBytes = KeyBytes + 3;
constexpr int64_t MaxNoticeSpanMs = 0xffff;

double fromTenths(const Json &j) { return static_cast<double>(j.get<uint64_t>()) / 10; }

} // namespace

void to_json(Json &j, const JoinRequest &it) { j = {it.Vm, it.Data}; }

void from_json(const Json &j, JoinRequest &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Data);
}

void to_json(Json &j, const RetiredNotice &it) { j = {it.Vm, it.Data, it.Newest}; }

void from_json(const Json &j, RetiredNotice &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Data);
  j.at(2).get_to(it.Newest);
}

void to_json(Json &j, const CustomerUsage &it) {
  j = {it.Customer, toTenths(it.ArrivalsPerS), it.SharePermille, it.HoldsShare};
}

void from_json(const Json &j, CustomerUsage &it) {
  j.at(0).get_to(it.Customer);
  it.ArrivalsPerS = fromTenths(j.at(1));
  j.at(2).get_to(it.SharePermille);
  j.at(3).get_to(it.HoldsShare);
}

void to_json(Json &j, const VersionCounts &it) {
  j = {it.Service,   it.Version,  it.Route, it.Requests, it.Failures,
       it.LatencyMs, it.TimeOuts, it.Slow,  it.OrderedAt};
}

void from_json(const Json &j, VersionCounts &it) {
  j.at(0).get_to(it.Service);
  j.at(1).get_to(it.Version);
  j.at(2).get_to(it.Route);
  j.at(3).get_to(it.Requests);
  j.at(4).get_to(it.Failures);
  j.at(5).get_to(it.LatencyMs);
  if (j.size() < 9)
    return; // From an entry VM of an earlier build; it names no rollout.
  j.at(6).get_to(it.TimeOuts);
  j.at(7).get_to(it.Slow);
  j.at(8).get_to(it.OrderedAt);
}

void to_json(Json &j, const ServiceSample &it) {
  j = {it.Service, it.MinHashes, toTenths(it.Slots)};
}

void from_json(const Json &j, ServiceSample &it) {
  j.at(0).get_to(it.Service);
  j.at(1).get_to(it.MinHashes);
  it.Slots = fromTenths(j.at(2));
}

void to_json(Json &j, const ServiceDemand &it) {
  j = {it.Region, it.Service, toTenths(it.Objects), toTenths(it.Slots)};
}

void from_json(const Json &j, ServiceDemand &it) {
  j.at(0).get_to(it.Region);
  j.at(1).get_to(it.Service);
  it.Objects = fromTenths(j.at(2));
  it.Slots = fromTenths(j.at(3));
}

void to_json(Json &j, const EntryReport &it) {
  j = {it.Sequence,
       it.Region,
       it.Domain,
       it.Address,
       it.Serving,
       it.Stopping,
       it.LeaderTerm,
       it.Catalog,
       it.ListEpoch,
       it.ListSequence,
       it.EntriesDigest,
       it.Usage,
       it.Versions,
       it.Services,
       packLoads(it.Loads),
       binary(it.Crashes),
       it.AppliesEntryChanges};
}

void from_json(const Json &j, EntryReport &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.Region);
  j.at(2).get_to(it.Domain);
  j.at(3).get_to(it.Address);
  j.at(4).get_to(it.Serving);
  j.at(5).get_to(it.Stopping);
  j.at(6).get_to(it.LeaderTerm);
  j.at(7).get_to(it.Catalog);
  j.at(8).get_to(it.ListEpoch);
  j.at(9).get_to(it.ListSequence);
  j.at(10).get_to(it.EntriesDigest);
  j.at(11).get_to(it.Usage);
  j.at(12).get_to(it.Versions);
  j.at(13).get_to(it.Services);
  it.Loads = unpackLoads(j.at(14));
  it.Crashes = fromBinary(j.at(15));
  it.AppliesEntryChanges = j.size() > 16 && j.at(16).get<bool>();
}

void to_json(Json &j, const RateShare &it) { j = {it.Customer, it.Permille, it.Vms}; }

void from_json(const Json &j, RateShare &it) {
  j.at(0).get_to(it.Customer);
  j.at(1).get_to(it.Permille);
  if (j.size() > 2)
    j.at(2).get_to(it.Vms);
}

void to_json(Json &j, const EntryLocation &it) { j = {it.Vm, it.Region, it.Domain}; }

void from_json(const Json &j, EntryLocation &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Region);
  j.at(2).get_to(it.Domain);
}

void to_json(Json &j, const RateRequest &it) { j = {it.Sequence, it.Customer}; }

void from_json(const Json &j, RateRequest &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.Customer);
}

void to_json(Json &j, const RatePermit &it) { j = {it.Sequence, it.Granted}; }

void from_json(const Json &j, RatePermit &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.Granted);
}

void to_json(Json &j, const ControlResponse &it) {
  j = {it.Sequence,          it.LeaderTerm, it.IsLeader,    it.Members, binary(it.CatalogDelta),
       binary(it.ListDelta), it.Shares,     it.Entries.Set, it.Demand,  packLoads(it.Busy),
       binary(it.Crashes)};
  if (it.Entries.From != 0) {
    j.push_back(it.Entries.From);
    j.push_back(it.Entries.Gone);
  }
}

void from_json(const Json &j, ControlResponse &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.LeaderTerm);
  j.at(2).get_to(it.IsLeader);
  j.at(3).get_to(it.Members);
  it.CatalogDelta = fromBinary(j.at(4));
  it.ListDelta = fromBinary(j.at(5));
  j.at(6).get_to(it.Shares);
  j.at(7).get_to(it.Entries.Set);
  j.at(8).get_to(it.Demand);
  it.Busy = unpackLoads(j.at(9));
  it.Crashes = fromBinary(j.at(10));
  // Processes of earlier releases send neither of these.
  if (j.size() > 12) {
    j.at(11).get_to(it.Entries.From);
    j.at(12).get_to(it.Entries.Gone);
  }
}

void to_json(Json &j, const ProcessNotices &it) {
  std::vector<uint8_t> bytes;
  bytes.reserve(it.Notices.size() * NoticeBytes);
  for (const ProcessNotice &notice : it.Notices) {
    const auto span =
        static_cast<uint64_t>(std::clamp<int64_t>(notice.Span.Ms, 0, MaxNoticeSpanMs));
    const uint64_t packed = notice.Target | static_cast<uint64_t>(notice.Fact) << (8 * KeyBytes) |
                            span << (8 * KeyBytes + 8);
    for (size_t i = 0; i < NoticeBytes; ++i)
      bytes.push_back(static_cast<uint8_t>(packed >> (8 * i)));
  }
  j = Json::array({Json::binary(std::move(bytes))});
}

void from_json(const Json &j, ProcessNotices &it) {
  const auto &bytes = j.at(0).get_binary();
  for (size_t at = 0; at + NoticeBytes <= bytes.size(); at += NoticeBytes) {
    uint64_t packed = 0;
    for (size_t i = 0; i < NoticeBytes; ++i)
      packed |= uint64_t{bytes[at + i]} << (8 * i);
    const auto fact = static_cast<uint8_t>(packed >> (8 * KeyBytes));
    if (fact < static_cast<uint8_t>(ProcessFact::MayHaveEnded) ||
        fact > static_cast<uint8_t>(ProcessFact::StoppedResponding))
      continue; // Of a later release.
    it.Notices.push_back({static_cast<uint32_t>(packed), static_cast<ProcessFact>(fact),
                          core::Duration{static_cast<int64_t>(packed >> (8 * KeyBytes + 8))}});
  }
}

void to_json(Json &j, const EntryUnreachable &it) { j = {it.Vm, it.Run}; }

void from_json(const Json &j, EntryUnreachable &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Run);
}

std::string encode(const JoinRequest &it) { return core::encodeCbor(it); }
std::string encode(const RetiredNotice &it) { return core::encodeCbor(it); }
std::string encode(const EntryReport &it) { return core::encodeCbor(it); }
std::string encode(const ControlResponse &it) { return core::encodeCbor(it); }
std::string encode(const RateRequest &it) { return core::encodeCbor(it); }
std::string encode(const RatePermit &it) { return core::encodeCbor(it); }
std::string encode(const EntryUnreachable &it) { return core::encodeCbor(it); }
std::string encode(const ProcessNotices &it) { return core::encodeCbor(it); }

uint32_t targetKey(const core::TargetId &id) {
  return static_cast<uint32_t>(core::hash64(id.Value, TargetKeySeed));
}

uint64_t digestOf(absl::Span<const EntryLocation> entries) {
  uint64_t digest = entries.size();
  for (const EntryLocation &it : entries)
    for (const std::string *part : {&it.Vm.Value, &it.Region.Value, &it.Domain.Value})
      digest = core::hash64(*part, digest);
  return std::max<uint64_t>(1, digest);
}

absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view bytes) {
  return core::decodeCborAs<JoinRequest>(bytes);
}

absl::StatusOr<RetiredNotice> decodeRetiredNotice(std::string_view bytes) {
  return core::decodeCborAs<RetiredNotice>(bytes);
}

absl::StatusOr<EntryReport> decodeEntryReport(std::string_view bytes) {
  return core::decodeCborAs<EntryReport>(bytes);
}

absl::StatusOr<ControlResponse> decodeControlResponse(std::string_view bytes) {
  return core::decodeCborAs<ControlResponse>(bytes);
}

absl::StatusOr<RateRequest> decodeRateRequest(std::string_view bytes) {
  return core::decodeCborAs<RateRequest>(bytes);
}

absl::StatusOr<RatePermit> decodeRatePermit(std::string_view bytes) {
  return core::decodeCborAs<RatePermit>(bytes);
}

absl::StatusOr<ProcessNotices> decodeProcessNotices(std::string_view bytes) {
  return core::decodeCborAs<ProcessNotices>(bytes);
}

absl::StatusOr<EntryUnreachable> decodeEntryUnreachable(std::string_view bytes) {
  return core::decodeCborAs<EntryUnreachable>(bytes);
}

} // namespace briarspar::link
