#pragma once

#include "absl/types/span.h"
#include "catalog/Catalog.h"
#include "entry/RateShares.h"
#include "link/Messages.h"
#include "link/RateHolders.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::entry {

struct RateLimiterSettings {
  /// Timeout for the reply of a rate holder; a round trip between regions takes 70 ms.
  core::Duration AskTimeout{150};
  core::Duration HolderBackoff{1000}; ///< A holder that timed out is not asked again for this long.
                                      ///< The leader removes a lost VM within 2 s.
  /// Maximum number of holders asked for one request, one after the other.
  size_t MaxHoldersAsked = 2;
};

/// Enforces the rate limits of customers. A request is charged to the local share if this VM holds
/// one, otherwise the VM that holds the share is asked. If no holder replies, the local share and
/// reserve decide, so that the limit also holds during a network partition. Not thread-safe.
class RateLimiter {
public:
  using Send = std::function<void(const core::VmId &to, const link::RateRequest &ask)>;
  using Reply = std::function<void(bool granted)>;

  RateLimiter(link::EntryLocation own, Send send, const RateLimiterSettings &settings = {});

  /// Sets the limits of all customers.
  void setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now);

  /// Sets the live entry VMs. Returns whether this VM has become or ceased to be a holder.
  bool setEntries(absl::Span<const link::EntryLocation> entries, core::Time now);

  /// Sets the shares received in reply to a report sent at `sentAt`.
  void setShares(absl::Span<const link::RateShare> shares, core::Time sentAt, core::Time now);

  /// Charges one request to a customer's rate. Returns the decision, or nullopt when another VM has
  /// to be asked; `reply` is then called once, later.
  std::optional<bool> request(const std::string &customer, core::Time now, Reply reply);

  /// Refunds a request that was granted but not run.
  void refund(const std::string &customer, core::Time now);

  /// Handles the request of another VM for which this VM is the holder.
  link::RatePermit answer(const link::RateRequest &ask, core::Time now);

  /// Handles the reply of a holder.
  void onPermit(const core::VmId &from, const link::RatePermit &permit, core::Time now);

  /// Handles holders that have timed out. To be called at or after wakeAt().
  void onTimer(core::Time now);
  std::optional<core::Time> wakeAt() const;

  /// Returns the arrival rates and shares of the customers that this VM has requests or shares of.
  std::vector<link::CustomerUsage> uses(core::Time now) { return Shares.uses(now); }

  /// Returns the VM that currently decides about a customer.
  core::VmId holderOf(const std::string &customer, core::Time now);

  /// Returns the holders that have timed out since the last call.
  std::vector<core::VmId> takeUnresponsive() { return std::exchange(NewlyUnresponsive, {}); }

private:
  struct PendingAsk {
    std::string Customer;
    core::VmId Holder;
    size_t Asked = 0;
    core::Time Until;
    Reply Done;
  };

  const std::vector<core::VmId> &holderOrder(const std::string &customer);
  void ask(PendingAsk pending, core::Time now);
  bool rebuildHolderOrders(core::Time now);

  const link::EntryLocation Own;
  const Send SendAsk;
  const RateLimiterSettings Settings;
  RateShares Shares;
  link::RateHolders Holders;
  std::map<std::string, link::CustomerLimit> Limits;
  /// By customer; the holder comes first.
  std::map<std::string, std::vector<core::VmId>> HolderOrders;
  std::map<uint64_t, PendingAsk> PendingAsks; ///< Ordered by sequence number and so by expiry,
                                              ///< because all have the same timeout.
  /// Customers of timed-out asks, by sequence number. A late grant is refunded.
  std::map<uint64_t, std::string> TimedOutAsks;
  std::map<core::VmId, core::Time> AvoidUntil;
  std::vector<core::VmId> NewlyUnresponsive;
  uint64_t Sequence = 0;
};

} // namespace briarspar::entry
