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

/// Largest part of a rate that is reserved, and of a burst.
Rate reservableOf(Rate rate);
Burst reservableOf(Burst burst);

/// Customers of a smaller burst get no reserves, because half of it is less than two tokens.
constexpr int64_t MinReserveBurst = 4;

struct ReserveTimes {
  core::Duration Delay{580};   ///< A VM that heard from its owner this lately uses no reserve.
  core::Duration Length{2420}; ///< Use of a reserve ends this long after; both: a serving lease.
};

/// The reserves of one customer that may be in force, at the owner that issued them.
///
/// Their rates and depths add up to at most a fixed part of the customer's rate and burst. What is
/// not reserved is what a new owner can grant before it knows the reserves of its predecessors.
/// Tokens that a reserve starts with come out of the bucket like granted ones. From its start on,
/// it is taken for used as fast as it accrues, except for its depth, which takes up room in the
/// bucket until the reserve ends. So a VM that has an owner costs no rate, and one that has none
/// costs its share.
class ReserveLedger {
public:
  struct Request {
    uint64_t Sequence = 0;
    int64_t Demand = 0;      ///< Of the VM, in thousandths of a request per second.
    int64_t Outstanding = 0; ///< Tokens granted; they and all reserves must fit into the bucket.
    Rate MaxRate;            ///< Of all reserves.
    Burst MaxDepth;          ///< The same.
  };

  /// The VM holds the reserve of this sequence, and will use no earlier one.
  void acknowledge(const VmKey &vm, uint64_t sequence, TokenBucket &bucket, core::Time now);

  /// Issues the VM's next reserve, which may be empty; nothing if it has none and gets none.
  std::optional<Reserve> issue(const ReserveTimes &times, const VmKey &vm, const Request &request,
                               const TokenBucket &bucket, core::Time now);

  /// Deducts what may have been used of the reserves, and returns the micro-tokens that may still
  /// be used now.
  int64_t charge(TokenBucket &bucket, core::Time now);

  /// Sum of the depths, in whole tokens.
  int64_t depth() const { return TotalDepth; }

  /// Whether no reserve can be used before `at`.
  bool isUnusedUntil(core::Time at) const { return at < NextStart; }

private:
  static constexpr core::Time Never{INT64_MAX};
  /// NextStart is renewed this long before it is reached, because most reserves are replaced first.
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
    std::deque<Issued> Live;    ///< The VM holds one of these, oldest first.
    int64_t MilliPerSecond = 0; ///< Largest of them; the next four cover all of them as well.
    int64_t Depth = 0;
    int64_t InitialTokens = 0;
    core::Time From = Never;
    core::Time Until;
    int64_t Demand = 0;
    int64_t Deducted = 0; ///< Micro-tokens taken for used.

    /// Micro-tokens that the VM may have got from it so far, used or not.
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
  int64_t TotalInitialTokens = 0; ///< Of reserves that have not started too.
  int64_t TotalDemand = 0;
  core::Time NextStart = Never;
};

} // namespace briarspar::quota
