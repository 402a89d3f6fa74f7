#include "link/Messages.h"

#include "core/Hash.h"

#include <algorithm>

namespace briarspar::link {

using core::Json;

namespace {

/// Separates the keys of targets from other hashes of their ids.
constexpr uint64_t TargetKeySeed = 0x746b6579;

/// Parts that are CBOR already travel as byte strings.
Json binary(const std::string &bytes) {
  return Json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const Json &j) {
  const auto &bytes = j.get_binary();
  return {bytes.begin(), bytes.end()};
}

} // namespace

void to_json(Json &j, const JoinRequest &it) { j = {it.Vm, it.Data}; }

void from_json(const Json &j, JoinRequest &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Data);
}

void to_json(Json &j, const CustomerUse &it) {
  j = {it.Customer, it.ArrivalsPerS, it.SharePermille, it.Holds};
}

void from_json(const Json &j, CustomerUse &it) {
  j.at(0).get_to(it.Customer);
  j.at(1).get_to(it.ArrivalsPerS);
  j.at(2).get_to(it.SharePermille);
  j.at(3).get_to(it.Holds);
}

void to_json(Json &j, const VersionCounts &it) {
  j = {it.Service, it.Version, it.Route, it.Requests, it.Failures, it.LatencyMs};
}

void from_json(const Json &j, VersionCounts &it) {
  j.at(0).get_to(it.Service);
  j.at(1).get_to(it.Version);
  j.at(2).get_to(it.Route);
  j.at(3).get_to(it.Requests);
  j.at(4).get_to(it.Failures);
  j.at(5).get_to(it.LatencyMs);
}

void to_json(Json &j, const ServiceSample &it) { j = {it.Service, it.Smallest, it.Slots}; }

void from_json(const Json &j, ServiceSample &it) {
  j.at(0).get_to(it.Service);
  j.at(1).get_to(it.Smallest);
  j.at(2).get_to(it.Slots);
}

void to_json(Json &j, const ServiceDemand &it) {
  j = {it.Region, it.Service, it.Objects, it.Slots};
}

void from_json(const Json &j, ServiceDemand &it) {
  j.at(0).get_to(it.Region);
  j.at(1).get_to(it.Service);
  j.at(2).get_to(it.Objects);
  j.at(3).get_to(it.Slots);
}

void to_json(Json &j, const TargetLoad &it) { j = {it.Target, it.Requests}; }

void from_json(const Json &j, TargetLoad &it) {
  j.at(0).get_to(it.Target);
  j.at(1).get_to(it.Requests);
}

void to_json(Json &j, const EntryReport &it) {
  j = {{"n", it.Sequence},
       {"region", it.Region},
       {"domain", it.Domain},
       {"address", it.Address},
       {"serving", it.Serving},
       {"stopping", it.Stopping},
       {"term", it.LeaderTerm},
       {"catalog", it.Catalog},
       {"epoch", it.ListEpoch},
       {"list", it.ListSequence},
       {"entries", it.EntriesDigest},
       {"uses", it.Uses},
       {"versions", it.Versions},
       {"services", it.Services},
       {"loads", it.Loads},
       {"crashes", binary(it.Crashes)}};
}

void from_json(const Json &j, EntryReport &it) {
  j.at("n").get_to(it.Sequence);
  j.at("region").get_to(it.Region);
  j.at("domain").get_to(it.Domain);
  j.at("address").get_to(it.Address);
  j.at("serving").get_to(it.Serving);
  j.at("stopping").get_to(it.Stopping);
  j.at("term").get_to(it.LeaderTerm);
  j.at("catalog").get_to(it.Catalog);
  j.at("epoch").get_to(it.ListEpoch);
  j.at("list").get_to(it.ListSequence);
  j.at("entries").get_to(it.EntriesDigest);
  j.at("uses").get_to(it.Uses);
  j.at("versions").get_to(it.Versions);
  j.at("services").get_to(it.Services);
  j.at("loads").get_to(it.Loads);
  it.Crashes = fromBinary(j.at("crashes"));
}

void to_json(Json &j, const RateShare &it) { j = {it.Customer, it.Permille}; }

void from_json(const Json &j, RateShare &it) {
  j.at(0).get_to(it.Customer);
  j.at(1).get_to(it.Permille);
}

void to_json(Json &j, const EntryPlace &it) { j = {it.Vm, it.Region, it.Domain}; }

void from_json(const Json &j, EntryPlace &it) {
  j.at(0).get_to(it.Vm);
  j.at(1).get_to(it.Region);
  j.at(2).get_to(it.Domain);
}

void to_json(Json &j, const RateAsk &it) { j = {it.Sequence, it.Customer}; }

void from_json(const Json &j, RateAsk &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.Customer);
}

void to_json(Json &j, const RatePermit &it) { j = {it.Sequence, it.Granted}; }

void from_json(const Json &j, RatePermit &it) {
  j.at(0).get_to(it.Sequence);
  j.at(1).get_to(it.Granted);
}

void to_json(Json &j, const ControlAnswer &it) {
  j = {{"n", it.Sequence},
       {"term", it.LeaderTerm},
       {"leads", it.Leads},
       {"members", it.Members},
       {"catalog", binary(it.CatalogDelta)},
       {"list", binary(it.ListDelta)},
       {"shares", it.Shares},
       {"entries", it.Entries},
       {"demand", it.Demand},
       {"busy", it.Busy},
       {"crashes", binary(it.Crashes)}};
}

void from_json(const Json &j, ControlAnswer &it) {
  j.at("n").get_to(it.Sequence);
  j.at("term").get_to(it.LeaderTerm);
  j.at("leads").get_to(it.Leads);
  j.at("members").get_to(it.Members);
  it.CatalogDelta = fromBinary(j.at("catalog"));
  it.ListDelta = fromBinary(j.at("list"));
  j.at("shares").get_to(it.Shares);
  j.at("entries").get_to(it.Entries);
  j.at("demand").get_to(it.Demand);
  j.at("busy").get_to(it.Busy);
  it.Crashes = fromBinary(j.at("crashes"));
}

std::string encode(const JoinRequest &it) { return core::encodeCbor(it); }
std::string encode(const EntryReport &it) { return core::encodeCbor(it); }
std::string encode(const ControlAnswer &it) { return core::encodeCbor(it); }
std::string encode(const RateAsk &it) { return core::encodeCbor(it); }
std::string encode(const RatePermit &it) { return core::encodeCbor(it); }

uint32_t targetKey(const core::TargetId &id) {
  return static_cast<uint32_t>(core::hash64(id.Value, TargetKeySeed));
}

uint64_t digestOf(absl::Span<const EntryPlace> entries) {
  uint64_t digest = entries.size();
  for (const EntryPlace &it : entries)
    for (const std::string *part : {&it.Vm.Value, &it.Region.Value, &it.Domain.Value})
      digest = core::hash64(*part, digest);
  return std::max<uint64_t>(1, digest);
}

absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view bytes) {
  return core::decodeCborAs<JoinRequest>(bytes);
}

absl::StatusOr<EntryReport> decodeEntryReport(std::string_view bytes) {
  return core::decodeCborAs<EntryReport>(bytes);
}

absl::StatusOr<ControlAnswer> decodeControlAnswer(std::string_view bytes) {
  return core::decodeCborAs<ControlAnswer>(bytes);
}

absl::StatusOr<RateAsk> decodeRateAsk(std::string_view bytes) {
  return core::decodeCborAs<RateAsk>(bytes);
}

absl::StatusOr<RatePermit> decodeRatePermit(std::string_view bytes) {
  return core::decodeCborAs<RatePermit>(bytes);
}

} // namespace briarspar::link
