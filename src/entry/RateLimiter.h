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
  core::Duration AskTimeout{150};     ///< For a holder's permit; a round trip between regions takes
                                      ///< 70 ms.
  core::Duration HolderBackoff{1000}; ///< A holder that gave no permit in time is not asked for so
                                      ///< long; the leader drops a lost VM within 2 s.
  size_t MaxHoldersAsked = 2;         ///< Holders asked for one request, one after the other.
};

/// Decides whether a request is within its customer's rate: from the share of this VM where it
/// holds one, else by asking the VM that does. Without an answer the decision falls to what this VM
/// may use by itself, so that the rate holds whoever is out of touch. Not thread-safe.
class RateLimiter {
public:
  using Send = std::function<void(const core::VmId &to, const link::RateRequest &ask)>;
  using Reply = std::function<void(bool granted)>;

  RateLimiter(core::VmId own, Send send, const RateLimiterSettings &settings = {});

  /// Takes the limits of all customers.
  void setLimits(const catalog::ItemMap<catalog::Customer> &customers, core::Time now);

  /// Takes the live entry VMs.
  void setEntries(absl::Span<const link::EntryLocation> entries);

  /// Takes the shares that answer a report sent at `sentAt`.
  void setShares(absl::Span<const link::RateShare> shares, core::Time sentAt, core::Time now);

  /// Spends one request of a customer's rate. Returns the decision, or nothing when another VM is
  /// asked; then `reply` is called once, later.
  std::optional<bool> request(const std::string &customer, core::Time now, Reply reply);

  /// Gives back a request that was granted and not run.
  void refund(const std::string &customer, core::Time now);

  /// Answers another VM as the holder.
  link::RatePermit answer(const link::RateRequest &ask, core::Time now);

  /// Takes a holder's answer.
  void onPermit(const core::VmId &from, const link::RatePermit &permit, core::Time now);

  /// Ends waiting for holders that are silent. To be called at wakeAt() or later.
  void onTimer(core::Time now);
  std::optional<core::Time> wakeAt() const;

  /// Returns the arrivals and shares of the customers that this VM has to do with.
  std::vector<link::CustomerUsage> uses(core::Time now) { return Shares.uses(now); }

  /// Returns the VM that decides about a customer at the moment.
  core::VmId holderOf(const std::string &customer, core::Time now);

  /// Returns the holders that were found silent since the last call.
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
  void rebuildHolderOrders();

  const core::VmId Own;
  const Send SendAsk;
  const RateLimiterSettings Settings;
  RateShares Shares;
  link::RateHolders Holders;
  std::map<std::string, link::CustomerLimit> Limits;
  std::map<std::string, std::vector<core::VmId>> HolderOrders; ///< By customer, holder first.
  std::map<uint64_t, PendingAsk>
      PendingAsks; ///< In the order of their ends, as all wait equally long.
  std::map<uint64_t, std::string> TimedOutAsks; ///< Customers of asks that were given up.
  std::map<core::VmId, core::Time> AvoidUntil;
  std::vector<core::VmId> NewlyUnresponsive;
  uint64_t Sequence = 0;
};

} // namespace briarspar::entry
