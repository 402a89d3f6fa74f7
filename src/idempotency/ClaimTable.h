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

/// Limits of a ClaimTable. All replicas of a table must use the same values.
struct ClaimTableSettings {
  size_t MaxClaims = 1'000'000;                     ///< Maximum number of entries.
  size_t MaxTotalBytes = size_t{256} * 1024 * 1024; ///< Keys, answers and overhead.
  size_t MaxAnswerBytes = size_t{64} * 1024;        ///< Largest answer that is stored.
  size_t MaxKeyBytes = 1024;                        ///< Maximum length of customer + route + id.
  core::Duration Retention = core::Duration::seconds(86'400); ///< Time after which results expire.
  core::Duration DeadlineGrace = core::Duration::seconds(10); ///< Wait for a late completion.
  /// Time for which delayed claims of a released attempt are refused.
  core::Duration ReleasedRetention = core::Duration::seconds(60);
};

/// The replicated table of claimed request ids. Deterministic: the same commands with the same log
/// times produce the same table on every replica. Not thread-safe.
///
/// Log times come from the leader. A time that is earlier than the latest one, which a change of
/// leader can cause, is replaced by the latest one.
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

  /// Advances the log time and expires entries. Every command does this as well.
  void advance(core::Time logTime);

  /// Returns the outcome of a claim that needs no log entry because the table already holds another
  /// record of its id. The leader uses it to respond to repeated claims. Never returns Granted.
  std::optional<ClaimOutcome> lookup(const Claim &claim) const;

  /// Encodes the table as CBOR. Equal tables give equal bytes.
  std::string snapshot() const;

  /// Replaces the table with a snapshot. On an error the table is unchanged.
  absl::Status restore(std::string_view bytes);

  size_t size() const { return Entries.size(); }

  /// Returns the charged bytes, including the space reserved for answers to unfinished claims.
  size_t bytesUsed() const { return Bytes; }

private:
  enum class State : uint8_t { InProgress, Answered, AnswerNotKept, Unknown, Released };

  struct Entry {
    State CurrentState = State::InProgress;
    bool Final = false; ///< The claimant recorded the end; the entry no longer changes.
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
