#pragma once

#include "absl/status/status.h"
#include "core/Clock.h"
#include "idempotency/ClaimMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace briarspar::idempotency {

/// Bounds of a ClaimTable. All replicas of one table use the same values.
struct ClaimTableSettings {
  size_t MaxClaims = 1'000'000;                               ///< Most entries kept.
  size_t MaxTotalBytes = size_t{256} * 1024 * 1024;           ///< Keys, answers and overhead.
  size_t MaxAnswerBytes = size_t{64} * 1024;                  ///< Largest answer kept.
  size_t MaxKeyBytes = 1024;                                  ///< Longest customer + route + id.
  core::Duration Retention = core::Duration::seconds(86'400); ///< Age at which results expire.
  core::Duration DeadlineGrace = core::Duration::seconds(10); ///< Wait for a late completion.
  core::Duration ReleasedRetention =
      core::Duration::seconds(60); ///< How long a released attempt blocks its delayed claims.
};

/// The replicated table of claimed request ids. Deterministic: the same commands with the same log
/// times give the same table on every replica. Not thread-safe.
///
/// Log times come from the leader. A time that runs backwards after a change of leader is raised to
/// the latest time seen.
class ClaimTable {
public:
  /// Memory charged for an entry on top of its key and answer, in bytes.
  static constexpr size_t EntryOverheadBytes = 256;

  explicit ClaimTable(const ClaimTableSettings &settings = {});

  /// Applies a committed command and returns the result for the VM of its attempt.
  ClaimResult apply(const ClaimCommand &command, core::Time logTime);

  ClaimOutcome claim(const Claim &claim, core::Time logTime);
  void complete(const Completion &completion, core::Time logTime);
  void release(const Release &release, core::Time logTime);
  void markVmDead(const core::VmId &vm, core::Incarnation run, core::Time logTime);

  /// Expires entries. Every command does so too.
  void advance(core::Time logTime);

  /// Returns the outcome of a claim that needs no log entry because the table already holds another
  /// record of its id. The leader answers repeated resends with it. Never returns Granted.
  std::optional<ClaimOutcome> lookup(const Claim &claim) const;

  /// Returns the table as CBOR. Equal tables give equal bytes.
  std::string snapshot() const;

  /// Replaces the table by a snapshot. On an error the table is unchanged.
  absl::Status restore(std::string_view bytes);

  size_t size() const { return Entries.size(); }

  /// Bytes charged, space reserved for the answers of unfinished claims included.
  size_t bytesUsed() const { return Bytes; }

private:
  enum class State : uint8_t { InProgress, Answered, AnswerNotKept, Unknown, Released };

  struct Entry {
    State CurrentState = State::InProgress;
    bool Final = false; ///< The claimant recorded the end; nothing changes it any more.
    AttemptId Attempt;
    uint64_t BodyFingerprint = 0;
    core::Time ExpiresAt;
    size_t Charged = 0;
    std::string Answer;
  };

  using EntryMap = std::map<RequestKey, Entry>;

  static ClaimOutcome outcomeOf(const Entry &entry);
  static bool isLaterRun(const AttemptId &later, const AttemptId &earlier);
  static bool isBlocked(const Entry &released, const AttemptId &attempt);
  static size_t baseBytes(const RequestKey &key);
  ClaimOutcome grant(const Claim &claim);
  EntryMap::iterator find(const RequestKey &key, const AttemptId &attempt);
  void setState(EntryMap::iterator it, State state, core::Duration lifetime);
  void erase(EntryMap::iterator it);
  void expireEntry(EntryMap::iterator it);
  void charge(EntryMap::iterator it);
  bool insertRestored(const core::Json &row);

  ClaimTableSettings Settings;
  core::Time LatestLogTime{0};
  size_t Bytes = 0;
  EntryMap Entries;
  std::set<std::pair<int64_t, RequestKey>> ByExpiry;
  std::set<std::pair<core::VmId, RequestKey>> InProgressByVm;
};

} // namespace briarspar::idempotency
