#pragma once

#include "absl/status/statusor.h"
#include "config/Records.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarspar::config {

struct CreateCustomer {
  core::CustomerId Id;
  uint64_t Rate = 0;  ///< Requests per second.
  uint64_t Burst = 0; ///< Requests.
  uint32_t Weight = 1;
};

/// Changes only the members that are set.
struct UpdateCustomer {
  core::CustomerId Id;
  std::optional<uint64_t> Rate;
  std::optional<uint64_t> Burst;
  std::optional<uint32_t> Weight;
};

/// The id of the new key is `k` and the configuration version.
struct CreateKey {
  core::CustomerId Customer;
  KeyDigest Digest{};
};

struct WithdrawKey {
  core::KeyId Id;
};

struct CreateRoute {
  core::RouteId Id;
  std::string PathPrefix;
  RouteAccess Access = RouteAccess::Keyed;
  RouteSemantics Semantics = RouteSemantics::Once;
  core::Duration Deadline;
};

struct DeleteRoute {
  core::RouteId Id;
};

struct AddTarget {
  core::TargetId Id;
  core::RouteId Route;
  std::string Address;
  core::VersionId Version;
  uint32_t Slots = 0;
  core::RegionId Region;
  core::DomainId Domain;
};

/// Only a draining target can be deleted.
struct DeleteTarget {
  core::TargetId Id;
};

struct SetCap {
  CapId Id;
  uint32_t Permille = 0;
  core::Duration Period;
};

struct StartDrain {
  DrainKind Kind = DrainKind::Target;
  std::string Name;
  core::Duration TimeLimit; ///< 0: no limit.
};

struct UpdateDrain {
  DrainId Id;
  DrainState State = DrainState::Running;
  std::string Reason;
};

/// Removes a drain, done or not; new requests go to what it covered again.
struct CancelDrain {
  DrainKind Kind = DrainKind::Target;
  std::string Name;
};

/// The id of the new shift is `s` and the configuration version.
struct StartShift {
  std::string From;
  std::string To;
  uint32_t Permille = 0;
  core::Duration TimeLimit;
};

struct UpdateShift {
  core::MoveId Id;
  MoveState State = MoveState::Running;
  std::string Reason;
  uint32_t ShiftedPermille = 0;
  std::string Progress;
};

/// The id of the new move is `m` and the configuration version.
struct StartMove {
  core::RouteId Route;
  core::VersionId To;
  core::Duration TimeLimit;
};

/// A step of the move controller. The state Done makes the new version the current version of the
/// route.
struct UpdateMove {
  core::MoveId Id;
  MoveState State = MoveState::Running;
  std::string Reason;
  uint32_t SharePermille = 0;
  std::string Progress;
};

/// Starts the rollback of a version move or a shift. The share of a version move becomes 0 at once;
/// a shift returns in steps, within its cap.
struct CancelMove {
  core::MoveId Id;
};

/// Adds a VM or replaces its record. A VM proposes this only if its record differs from its
/// settings, so that the return of a whole failure domain causes no changes.
struct PutVm {
  core::VmId Id;
  std::string ControlAddress;
  std::string TrafficAddress;
  core::RegionId Region;
  core::DomainId Domain;
};

struct RemoveVm {
  core::VmId Id;
};

/// Sets the state of a region that is down or whose callers are being returned; proposed by the
/// leader. The record is removed if the region is up and has no forced shares.
/// Command::ExpectedVersion is the version of the record; 0 means that no record exists.
struct SetRegionFailure {
  core::RegionId Id;
  bool Down = false;
  RegionFailureCause Cause = RegionFailureCause::Vms;
  uint64_t Load = 0;
  std::vector<ForcedShare> ForcedShares;
};

/// Assigns the blocks to a region and adds those without a record. Command::ExpectedVersion may be
/// set for a single block only.
struct SetBlocks {
  std::vector<BlockId> Blocks;
  core::RegionId Region;
};

struct DeleteBlocks {
  std::vector<BlockId> Blocks;
};

using Change = std::variant<CreateCustomer, UpdateCustomer, CreateKey, WithdrawKey, CreateRoute,
                            DeleteRoute, AddTarget, DeleteTarget, SetCap, StartDrain, UpdateDrain,
                            CancelDrain, StartShift, UpdateShift, StartMove, UpdateMove, CancelMove,
                            PutVm, RemoveVm, SetRegionFailure, SetBlocks, DeleteBlocks>;

/// Maximum length of a command id, operator name or record name, in bytes.
constexpr size_t MaxNameBytes = 64;
/// Maximum length of a reason, in bytes.
constexpr size_t MaxReasonBytes = 512;
/// Maximum number of blocks in one command. It bounds the log entry and the delta of a command.
constexpr size_t MaxBlocksPerCommand = 256;
/// Maximum length of the opaque progress of a move or shift, in bytes.
constexpr size_t MaxProgressBytes = 16 * 1024;

struct Command {
  std::string Id;       ///< Chosen by the sender, see checkName(). A resend carries the same id.
  std::string Operator; ///< Name of the sender, see checkName().
  /// Expected Changed.Version of the record; 0: any. A change that creates a record with a
  /// generated id refers to a related record instead: the customer of a key, the route of a move,
  /// or the latest shift with the same source.
  core::ConfigVersion ExpectedVersion;
  Change RequestedChange;
  /// Log time at which the leader proposed the command. Drains, shifts and moves start at this
  /// time.
  core::Time ProposedAt{};
};

struct Outcome {
  enum Kind : uint8_t { Accepted, Conflict, Invalid };

  Kind Status = Invalid;
  core::ConfigVersion Version; ///< Configuration version after the command.
  std::string WinningCommand;  ///< Conflict: id of the command applied first, if known.
  std::string Reason;          ///< Conflict and Invalid: one sentence.
  std::string Subject;         ///< Accepted: id of the record created or changed.
  /// The outcome is that of an earlier command with the same id. Set only in the answer.
  bool Replayed = false;
};
template <> struct EnumNames<Outcome::Kind> {
  static constexpr std::array<std::string_view, 3> Values{"accepted", "conflict", "invalid"};
};

/// The new value of a record, or its removal.
struct RecordEdit {
  RecordKind Kind = RecordKind::Customer;
  std::string Id;
  std::optional<AnyRecord> Value; ///< nullopt: the record was removed.
};

/// The difference between two configuration versions. Edits contain whole records, so a delta can
/// also be applied to any version between From and To.
struct Delta {
  core::ConfigVersion From;
  core::ConfigVersion To;
  std::vector<RecordEdit> Edits; ///< At most one per record.
  uint64_t Digest = 0;           ///< Digest of the records at To.
};

/// CBOR encoding. Decoding returns InvalidArgument or ResourceExhausted for bytes that are not
/// exactly one message, and never throws. It checks the format only; ConfigStore::apply() checks
/// the values.
std::string encode(const Command &command);
std::string encode(const Outcome &outcome);
std::string encode(const Delta &delta);
absl::StatusOr<Command> decodeCommand(std::string_view bytes);
absl::StatusOr<Outcome> decodeOutcome(std::string_view bytes);
absl::StatusOr<Delta> decodeDelta(std::string_view bytes);

} // namespace briarspar::config
