#pragma once

#include "core/Ids.h"
#include "link/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::link {

/// Limits of one customer over all VMs.
struct CustomerLimit {
  double RatePerS = 0;
  double Burst = 0; ///< Requests.
};

/// Part of each rate and burst that all VMs without a valid share may use together; the platform
/// allows a tenth beyond the rate.
constexpr uint32_t ReservePermille = 80;

/// Requests that all VMs together may take at once, beyond what shares and reserve give them in a
/// window, by the platform's bound on a window.
double burstHeadroom(const CustomerLimit &limit);

/// Which entry VMs hold the shares of a customer's rate. A share that is spread over too many VMs
/// is below one request on each, and callers within their rate are refused. So a customer's VMs
/// are parted into circles, as small as its rate allows: each VM by itself, those of a failure
/// domain, those of a region, or all. In each circle one VM holds the share, and the others ask it.
/// All VMs with the same list of entry VMs come to the same result.
class RateHolders {
public:
  RateHolders() = default;
  explicit RateHolders(std::vector<EntryLocation> entries);

  /// Number of VMs that hold a share of the customer's rate.
  size_t count(const CustomerLimit &limit) const;

  /// Returns the VMs of the circle of `vm`, the holder first, then those that replace it when it
  /// is silent. Empty when each VM holds a share of its own, or `vm` is not in the list.
  std::vector<core::VmId> failoverOrder(const std::string &customer, const CustomerLimit &limit,
                                        const core::VmId &vm) const;

  size_t entries() const { return Entries.size(); }

private:
  enum Scope : uint8_t { PerVm, Domain, Region, All };

  Scope scope(const CustomerLimit &limit) const;

  std::vector<EntryLocation> Entries;
  size_t Domains = 0;
  size_t Regions = 0;
};

} // namespace briarspar::link
