#pragma once

#include "absl/status/statusor.h"
#include "absl/types/span.h"
#include "core/Clock.h"
#include "core/Codec.h"
#include "core/Ids.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace briarspar::link {

/// Kinds of messages between entry VMs and control VMs, and between control VMs.
namespace kind {
constexpr std::string_view Raft = "raft";     ///< agreement::Envelope, control VM to control VM.
constexpr std::string_view Join = "join";     ///< JoinRequest, control VM to control VM.
constexpr std::string_view Report = "report"; ///< EntryReport, entry VM to control VM.
constexpr std::string_view Answer = "answer"; ///< ControlAnswer, control VM to entry VM.
constexpr std::string_view RateRequest = "rate-ask";   ///< RateRequest, entry VM to entry VM.
constexpr std::string_view RatePermit = "rate-permit"; ///< RatePermit, entry VM to entry VM.
constexpr std::string_view EntryUnreachable =
    "entry-gone"; ///< EntryUnreachable, leader to other control VMs.

/// All kinds; the position of a kind is its number on the wire. New kinds go to the end.
inline constexpr std::array All{Raft,        Join,       Report,          Answer,
                                RateRequest, RatePermit, EntryUnreachable};
} // namespace kind

/// A control VM with a new data folder asks the leader to add it to the group.
struct JoinRequest {
  core::VmId Vm;
  core::Incarnation Data; ///< Identity of its data folder.
};

/// What an entry VM wants and holds of one customer's rate.
struct CustomerUsage {
  std::string Customer;
  double ArrivalsPerS = 0;    ///< Requests of the customer here, those refused included.
  uint32_t SharePermille = 0; ///< Part of the customer's rate that is in use here.
  bool HoldsShare = true;     ///< The VM is to hold a share even without arrivals.
};

/// Outcomes of the requests to one version of a service since the process started.
struct VersionCounts {
  std::string Service;
  std::string Version;
  std::string Route;
  uint64_t Requests = 0;
  uint64_t Failures = 0;  ///< Answers with a status from 500 on, made by the target itself.
  uint64_t LatencyMs = 0; ///< Sum over the answers that are no failures, in ms.
};

/// Hashes in a ServiceSample at most. The number of objects that follows from 64 of them is within
/// an eighth of the true one two times in three.
constexpr size_t SketchSize = 64;

/// What a VM's callers have lately asked of a service.
struct ServiceSample {
  std::string Service;
  std::vector<uint32_t> MinHashes; ///< Smallest upper halves of the hashes of the objects, in
                                   ///< rising order; empty when they have not been sampled anew.
  double Slots = 0; ///< Slots that their requests take as targets know the objects now.
};

/// What the callers of a region have lately asked of a service.
struct ServiceDemand {
  core::RegionId Region;
  std::string Service;
  double Objects = 0; ///< Different ones.
  double Slots = 0;   ///< Slots that the requests take as targets know the objects now.
};

/// Requests that run or wait at a target.
struct TargetLoad {
  uint32_t Target = 0; ///< targetKey() of its id.
  uint32_t Requests = 0;
};

/// Returns what names a target where its id would be too long. Two targets of a thousand share a
/// key once in 9,000 fleets; each then counts with the other's load.
uint32_t targetKey(const core::TargetId &id);

/// State of one entry VM. Sent to each control VM; only the leader gets the parts that it alone
/// uses.
struct EntryReport {
  uint64_t Sequence = 0; ///< Rises with each report; the answer names it.
  core::RegionId Region;
  core::DomainId Domain;
  std::string Address;   ///< Where callers reach it: IP address and port.
  bool Serving = false;  ///< Has what it needs to serve requests.
  bool Stopping = false; ///< Is about to end.
  core::Term LeaderTerm; ///< Newest term of a leader whose answers are taken here.
  core::LogIndex Catalog;
  uint64_t ListEpoch = 0;
  uint64_t ListSequence = 0;
  uint64_t EntriesDigest = 0; ///< Of the list of entry VMs that is held here; 0 without one.
  std::vector<CustomerUsage> Usage;
  std::vector<VersionCounts> Versions;
  std::vector<ServiceSample> Services; ///< Empty in most reports.
  std::vector<TargetLoad> Loads;       ///< Seen in answers since the last report.
  std::string Crashes;                 ///< Encoded balance::CrashReport; empty when there are none.
};

/// Part of a customer's rate that an entry VM may use.
struct RateShare {
  std::string Customer;
  uint32_t Permille = 0;
};

/// One live entry VM.
struct EntryLocation {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
};

/// Digest of a list of entry VMs, never 0.
uint64_t digestOf(absl::Span<const EntryLocation> entries);

/// An entry VM asks the holder of a customer's share for one request, or gives one back.
struct RateRequest {
  uint64_t Sequence = 0; ///< The permit names it; 0 when one request is given back.
  std::string Customer;
};

/// Answer to a RateRequest.
struct RatePermit {
  uint64_t Sequence = 0;
  bool Granted = false;
};

/// What a control VM tells an entry VM.
struct ControlAnswer {
  uint64_t Sequence = 0;           ///< Of the report that is answered; 0 when it comes unasked.
  core::Term LeaderTerm;           ///< Of the leader that answers.
  bool IsLeader = false;           ///< The rest but Members counts only from a leader.
  std::vector<core::VmId> Members; ///< Control VMs of the group; empty in most answers.
  std::string CatalogDelta;        ///< Encoded Catalog::deltaSince(); empty when nothing changed.
  std::string ListDelta;         ///< Encoded TargetList::deltaSince(); empty when nothing changed.
  std::vector<RateShare> Shares; ///< Replace all earlier ones; for answers to reports.
  std::vector<EntryLocation> Entries; ///< Live entry VMs in the order of their ids; empty when the
                                      ///< VM holds the same list already.
  std::vector<ServiceDemand> Demand; ///< Of all regions; empty in most answers.
  std::vector<TargetLoad> Busy;      ///< Targets with the most requests a slot.
  std::string Crashes;               ///< Encoded balance::CrashReport; may be empty.
};

/// The leader tells the other control VMs that an entry VM has fallen silent, as they hear from it
/// less often.
struct EntryUnreachable {
  core::VmId Vm;
  core::Incarnation Run; ///< Of the process that was heard last.
};

std::string encode(const JoinRequest &it);
std::string encode(const EntryReport &it);
std::string encode(const ControlAnswer &it);
std::string encode(const RateRequest &it);
std::string encode(const RatePermit &it);
std::string encode(const EntryUnreachable &it);

/// The decoders return InvalidArgument for malformed bytes.
absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view bytes);
absl::StatusOr<EntryReport> decodeEntryReport(std::string_view bytes);
absl::StatusOr<ControlAnswer> decodeControlAnswer(std::string_view bytes);
absl::StatusOr<RateRequest> decodeRateRequest(std::string_view bytes);
absl::StatusOr<RatePermit> decodeRatePermit(std::string_view bytes);
absl::StatusOr<EntryUnreachable> decodeEntryUnreachable(std::string_view bytes);

} // namespace briarspar::link
