#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "quota/Messages.h"
#include "quota/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace briarspar::quota {

using VmKey = std::pair<core::VmId, core::Incarnation>;

/// Return the largest part of a rate or burst that may be reserved.
Rate reservableOf(Rate rate);
Burst reservableOf(Burst burst);

/// Customers with a smaller burst get no reserves, because half of it is less than two tokens.
constexpr int64_t MinReserveBurst = 4;

struct ReserveTimes {
  core::Duration Delay{580};   ///< A reserve starts this long after the last response of the owner.
  core::Duration Length{2420}; ///< Time from start to expiry. Delay + Length is a serving lease.
};

/// Tracks the reserves of one customer that may be in force, at the owner that issued them.
///
/// The sums of their rates and depths are limited to a fixed part of the customer's rate and burst.
/// A new owner can grant the unreserved rest before it knows the reserves of its predecessors. The
/// initial tokens of a reserve are taken from the bucket like granted ones. From its start on, a
/// reserve counts as used as fast as it accrues, except for its depth, which occupies room in the
/// bucket until the reserve expires. Therefore a VM in contact with the owner costs no rate, and a
/// VM without contact costs its share.
class ReserveLedger {
public:
  struct Request {
    uint64_t Sequence = 0;
    int64_t Demand = 0;      ///< Of the VM, in thousandths of a request per second.
    int64_t Outstanding = 0; ///< Granted tokens. They and all reserves must fit into the bucket.
    Rate MaxRate;            ///< Of all reserves together.
    Burst MaxDepth;          ///< Of all reserves together.
  };

  /// Records that the VM holds the reserve with this sequence and will not use an earlier one.
  void acknowledge(const VmKey &vm, uint64_t sequence, TokenBucket &bucket, core::Time now);

  /// Issues the next reserve of a VM, which may be empty; nullopt if the VM has none and gets none.
  std::optional<Reserve> issue(const ReserveTimes &times, const VmKey &vm, const Request &request,
                               const TokenBucket &bucket, core::Time now);

  /// Deducts the tokens of reserves that may have been used, and returns the micro-tokens that may
  /// still be used.
  int64_t charge(TokenBucket &bucket, core::Time now);

  /// Returns the sum of the depths in whole tokens.
  int64_t depth() const { return TotalDepth; }

  /// Returns true if no reserve can be used before `at`.
  bool isUnusedUntil(core::Time at) const { return at < NextStart; }

private:
  static constexpr core::Time Never{INT64_MAX};
  /// NextStart is recalculated this long before it is reached; by then most reserves have been
  /// replaced.
  static constexpr core::Duration Lookahead{100};

  struct Issued {
    uint64_t Sequence;
    int64_t MilliPerSecond;
    int64_t Depth;
    int64_t InitialTokens;
    core::Time From;
    core::Time Until;
  };
  struct Entry {
    std::deque<Issued> PossiblyHeld; ///< Reserves that the VM may hold, oldest first.
    /// The largest rate in PossiblyHeld. The next four members cover all of PossiblyHeld as well.
    int64_t MilliPerSecond = 0;
    int64_t Depth = 0;
    int64_t InitialTokens = 0;
    core::Time From = Never;
    core::Time Until;
    int64_t Demand = 0;
    int64_t Deducted = 0; ///< Micro-tokens deducted as used.

    /// Returns the micro-tokens that the VM may have received from it, used or not.
    int64_t received(core::Time now) const {
      if (now < From)
        return 0;
      return InitialTokens * MicroTokens + (std::min(now, Until) - From).Ms * MilliPerSecond;
    }
  };

  int64_t initialTokensOf(const Entry &entry, const Request &request, const TokenBucket &bucket,
                          core::Time now) const;
  void update(Entry &entry);
  void setDemand(Entry &entry, int64_t demand);
  std::map<VmKey, Entry>::iterator erase(std::map<VmKey, Entry>::iterator it);

  std::map<VmKey, Entry> Entries;
  int64_t TotalMilliPerSecond = 0;
  int64_t TotalDepth = 0;
  int64_t TotalInitialTokens = 0; ///< Includes reserves that have not started.
  int64_t TotalDemand = 0;
  core::Time NextStart = Never;
};

} // namespace briarspar::quota
