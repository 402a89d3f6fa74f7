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

/// Kinds of messages between entry VMs and control VMs, and among each of them.
namespace kind {
constexpr std::string_view Raft = "raft";       ///< agreement::Envelope, control VM to control VM.
constexpr std::string_view Join = "join";       ///< JoinRequest, control VM to control VM.
constexpr std::string_view Report = "report";   ///< EntryReport, entry VM to control VM.
constexpr std::string_view Response = "answer"; ///< ControlResponse, control VM to entry VM.
constexpr std::string_view RateRequest = "rate-ask";   ///< RateRequest, entry VM to entry VM.
constexpr std::string_view RatePermit = "rate-permit"; ///< RatePermit, entry VM to entry VM.
/// EntryUnreachable, leader to other control VMs.
constexpr std::string_view EntryUnreachable = "entry-gone";
constexpr std::string_view Retired = "retired"; ///< RetiredNotice, control VM to control VM.
/// ProcessNotices, entry VM to leader and leader to entry VMs.
constexpr std::string_view ProcessNotices = "target-process";

/// All kinds; the index of a kind is its number on the wire, so new kinds are appended.
inline constexpr std::array All{Raft,          Join,       Report,           Response,
                                RateRequest,   RatePermit, EntryUnreachable, Retired,
                                ProcessNotices};
} // namespace kind

/// Sent by a control VM with a new data folder to ask the leader to add it to the group.
struct JoinRequest {
  core::VmId Vm;
  core::Incarnation Data; ///< Incarnation of its data folder.
};

/// Tells a control VM that an identity of it has left the group and will never be a member again.
struct RetiredNotice {
  core::VmId Vm;
  core::Incarnation Data;   ///< Incarnation of the data folder that has left.
  core::Incarnation Newest; ///< Newest incarnation that the group knows of this VM.
};

/// Demand and current share of an entry VM for one customer's rate.
struct CustomerUsage {
  std::string Customer;
  double ArrivalsPerS = 0; ///< Requests per second that arrive at this VM, including refused ones.
  uint32_t SharePermille = 0; ///< Share of the customer's rate in use at this VM.
  bool HoldsShare = true;     ///< The VM receives a share even without arrivals.
};

/// Outcomes of requests to one version of a service since an entry process learned of a rollout.
struct VersionCounts {
  std::string Service;
  std::string Version;
  std::string Route;
  uint64_t Requests = 0;
  uint64_t Failures = 0;    ///< Responses with status 500 or above that the target itself produced.
  uint64_t LatencyMs = 0;   ///< Sum over the successful responses.
  uint64_t TimeOuts = 0;    ///< Requests without a response in time, also where the target says so.
  uint64_t Slow = 0;        ///< Successful responses that took several times as long as usual.
  core::LogIndex OrderedAt; ///< Identifies the rollout.
};

/// Maximum number of hashes in a ServiceSample. With 64 hashes, the estimated number of objects is
/// within an eighth of the true number in two of three cases.
constexpr size_t SketchSize = 64;

/// Recent demand of a VM's callers for one service.
struct ServiceSample {
  std::string Service;
  /// Smallest upper halves of the object hashes, in ascending order; empty when they have not been
  /// sampled since the last report.
  std::vector<uint32_t> MinHashes;
  /// Slots that the requests occupy, given the objects that targets currently have cached.
  double Slots = 0;
};

/// Recent demand of the callers in a region for one service.
struct ServiceDemand {
  core::RegionId Region;
  std::string Service;
  double Objects = 0; ///< Number of distinct objects.
  /// Slots that the requests occupy, given the objects that targets currently have cached.
  double Slots = 0;
};

/// Requests that run or wait at a target.
struct TargetLoad {
  uint32_t Target = 0; ///< targetKey() of the target id.
  uint32_t Requests = 0;
};

/// Returns a short key for a target where its id would be too long. In a fleet of a thousand
/// targets, the probability that two of them share a key is 1 in 9,000; each is then charged with
/// the load of the other as well.
uint32_t targetKey(const core::TargetId &id);

/// State of one entry VM, sent to every control VM. The parts that only the leader uses are sent to
/// the leader alone.
struct EntryReport {
  uint64_t Sequence = 0; ///< Increases with each report and is repeated in the response; 0 in a
                         ///< brief report to a follower.
  core::RegionId Region;
  core::DomainId Domain;
  std::string Address;   ///< IP address and port for callers.
  bool Serving = false;  ///< The VM is ready to serve requests.
  bool Stopping = false; ///< The process is shutting down.
  core::Term LeaderTerm; ///< Newest leader term that the VM has accepted.
  core::LogIndex Catalog;
  uint64_t ListEpoch = 0;
  uint64_t ListSequence = 0;
  uint64_t EntriesDigest = 0; ///< Digest of the list of entry VMs that the VM holds; 0 without one.
  std::vector<CustomerUsage> Usage;
  std::vector<VersionCounts> Versions;
  std::vector<ServiceSample> Services; ///< Empty in most reports.
  std::vector<TargetLoad> Loads;       ///< Loads seen in responses since the last report.
  std::string Crashes;                 ///< Encoded balance::CrashReport; empty when there are none.
  bool AppliesEntryChanges = true;     ///< The VM accepts an EntryChange that starts from its list.
};

/// Share of the rate of a customer that an entry VM may use.
struct RateShare {
  std::string Customer;
  uint32_t Permille = 0;
  uint32_t Vms = 0; ///< Number of VMs that divide the reserve; 0 from a leader of an earlier build.
};

/// Location of one live entry VM.
struct EntryLocation {
  core::VmId Vm;
  core::RegionId Region;
  core::DomainId Domain;
};

/// Returns a digest of a list of entry VMs; never 0.
uint64_t digestOf(absl::Span<const EntryLocation> entries);

/// Difference between two lists of live entry VMs.
struct EntryChange {
  uint64_t From = 0; ///< Digest of the list to which the change applies; 0 if it replaces any list.
  std::vector<EntryLocation> Set; ///< Added and changed VMs in ascending order of id.
  std::vector<core::VmId> Gone;

  bool empty() const { return Set.empty() && Gone.empty(); }
};

/// Sent by an entry VM to the holder of a customer's share, to request permission for one request
/// or to return an unused one.
struct RateRequest {
  uint64_t Sequence = 0; ///< Repeated in the permit; 0 when a request is returned.
  std::string Customer;
};

/// Response to a RateRequest.
struct RatePermit {
  uint64_t Sequence = 0;
  bool Granted = false;
};

/// Response of a control VM to an EntryReport, or a message that it pushes.
struct ControlResponse {
  uint64_t Sequence = 0; ///< Sequence of the report; 0 in a pushed message.
  core::Term LeaderTerm; ///< Current term of the sender.
  bool IsLeader = false; ///< All other fields except Members are valid only from a leader.
  std::vector<core::VmId> Members;   ///< Control VMs of the group; empty in most messages.
  std::string CatalogDelta;          ///< Encoded Catalog::deltaSince(); empty without changes.
  std::string ListDelta;             ///< Encoded TargetList::deltaSince(); empty without changes.
  std::vector<RateShare> Shares;     ///< Replace all earlier shares; only in responses to reports.
  EntryChange Entries;               ///< Live entry VMs; empty when the VM holds the same list.
  std::vector<ServiceDemand> Demand; ///< Demand of all regions; empty in most messages.
  std::vector<TargetLoad> Busy;      ///< Targets with the most requests per slot.
  std::string Crashes;               ///< Encoded balance::CrashReport; may be empty.
};

/// Sent by the leader to the other control VMs when an entry VM no longer reports. They receive its
/// reports less often and would notice later.
struct EntryUnreachable {
  core::VmId Vm;
  core::Incarnation Run; ///< Incarnation of the process that was last heard from.
};

/// What an entry VM has found out about the process of a target.
enum class ProcessFact : uint8_t {
  MayHaveEnded = 1, ///< Its connections were lost, so another process may run under the id now.
  IsCold = 2,       ///< It says that it is cold.
  IsWarm = 3,       ///< It says that it is not cold, or has not ended.
  /// As MayHaveEnded, but it did not end its connections: those that seem open show nothing.
  StoppedResponding = 4,
};

/// Tells other entry VMs about the process of a target, before the target list shows it and also
/// where they have no connection to it.
struct ProcessNotice {
  uint32_t Target = 0; ///< targetKey() of the target id.
  ProcessFact Fact = ProcessFact::MayHaveEnded;
  /// MayHaveEnded, StoppedResponding: time since the process that ended was last known to run.
  /// IsCold: how much longer the process is cold.
  core::Duration Span;
};

/// Message with process notices.
struct ProcessNotices {
  std::vector<ProcessNotice> Notices;
};

std::string encode(const JoinRequest &it);
std::string encode(const RetiredNotice &it);
std::string encode(const EntryReport &it);
std::string encode(const ControlResponse &it);
std::string encode(const RateRequest &it);
std::string encode(const RatePermit &it);
std::string encode(const EntryUnreachable &it);
std::string encode(const ProcessNotices &it);

/// The decoders return InvalidArgument for malformed bytes.
absl::StatusOr<JoinRequest> decodeJoinRequest(std::string_view bytes);
absl::StatusOr<RetiredNotice> decodeRetiredNotice(std::string_view bytes);
absl::StatusOr<EntryReport> decodeEntryReport(std::string_view bytes);
absl::StatusOr<ControlResponse> decodeControlResponse(std::string_view bytes);
absl::StatusOr<RateRequest> decodeRateRequest(std::string_view bytes);
absl::StatusOr<RatePermit> decodeRatePermit(std::string_view bytes);
absl::StatusOr<EntryUnreachable> decodeEntryUnreachable(std::string_view bytes);
absl::StatusOr<ProcessNotices> decodeProcessNotices(std::string_view bytes);

} // namespace briarspar::link
