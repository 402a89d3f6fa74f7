#pragma once

#include "core/Ids.h"
#include "link/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::link {

/// Rate limit of one customer over all VMs.
struct CustomerLimit {
  double RatePerS = 0;
  double Burst = 0; ///< In requests.
};

/// Part of each rate and burst that all VMs without a valid share may use together. The platform
/// tolerates up to a tenth above the rate.
constexpr uint32_t ReservePermille = 80;

/// Returns the number of requests that all VMs together may admit at once on top of what shares and
/// reserve allow per window, without exceeding the bound of the platform on a window.
double burstHeadroom(const CustomerLimit &limit);

/// Returns the capacity of all buckets of a customer together, in requests, when only the VMs that
/// hold shares can save up a whole request. Together with the rate and the reserve it keeps the
/// bound of the platform on a window.
double sharedBucketDepth(const CustomerLimit &limit);

/// Determines which entry VMs hold the shares of a customer's rate. When a share is split over too
/// many VMs, each has less than one request, and callers within their rate are refused. The VMs of
/// a customer are therefore grouped into scopes, as small as its rate permits: single VMs, failure
/// domains, regions, or all VMs. One VM of each scope holds the share, and the others request
/// permits from it. All VMs with the same list of entry VMs compute the same result.
class RateHolders {
public:
  RateHolders() = default;
  explicit RateHolders(std::vector<EntryLocation> entries);

  /// Returns the number of VMs that hold a share of the customer's rate.
  size_t count(const CustomerLimit &limit) const;

  /// Returns the VMs in the scope of a VM at `location`, which may not be in the list because it is
  /// starting or stopping: the holder first, then the VMs that replace it when it does not respond.
  /// Empty when each VM holds its own share.
  std::vector<core::VmId> failoverOrder(const std::string &customer, const CustomerLimit &limit,
                                        const EntryLocation &location) const;

  /// Returns whether the VM is in the list. Others hold no share.
  bool contains(const core::VmId &vm) const;

  size_t entries() const { return Entries.size(); }

private:
  enum Scope : uint8_t { PerVm, Domain, Region, All };

  Scope scope(const CustomerLimit &limit) const;

  std::vector<EntryLocation> Entries;
  size_t Domains = 0;
  size_t Regions = 0;
};

} // namespace briarspar::link
