#include "Deployment.h"

#include <algorithm>
#include <cmath>

namespace briarspar::tools {

double Service::meanMs() const {
  return MedianMs * std::exp(ServiceSigma * ServiceSigma / 2) *
         (1 + StallShare * (StallFactor - 1));
}

core::Duration Deployment::oneWayDelay(uint32_t fromRegion, uint32_t toRegion) const {
  return (fromRegion == toRegion ? IntraRegionRtt : InterRegionRtt) / 2;
}

core::Duration Deployment::longestDeadline() const {
  core::Duration longest;
  for (const Service &service : Services)
    longest = std::max(longest, service.Deadline);
  return longest;
}

double Deployment::rateAtLoad(double load) const {
  double rate = 0;
  for (const Service &service : Services)
    rate += service.slots() * load * 1000 / service.meanMs();
  return rate;
}

const std::vector<double> &customerShares() {
  static const std::vector<double> shares{0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02};
  return shares;
}

const std::vector<Deployment> &deployments() {
  static const std::vector<Deployment> all{
      {"utjel",
       {1},
       {20},
       {10},
       500,
       {{"closures", true, 20, 6, 40, {2000}},
        {"booking", false, 12, 5, 60, {5000}},
        {"completion", false, 12, 4, 80, {5000}}}},
      // About 20 catalogue responses of 200 KB in flight saturate a link of 0.3 Gbit/s.
      {"kultaarvio",
       {1},
       {35},
       {1},
       20,
       {{"catalogue", true, 20, 5, 50, {2000}},
        {"holds", false, 12, 4, 80, {5000}},
        {"certificates", false, 12, 3, 150, {8000}}}},
  };
  return all;
}

} // namespace briarspar::tools
