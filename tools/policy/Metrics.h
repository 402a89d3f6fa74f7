#pragma once

#include "Deployment.h"
#include "Scene.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::tools {

/// Result of a request as its caller sees it.
enum class RequestOutcome : uint8_t {
  Answered,
  RateRefused, ///< Refused by the customer's rate limit; not run.
  NoCapacity,  ///< No free slot in time, a full queue or no reachable target; not run.
  Failed,      ///< The target returned an error or the connection to it was lost.
  Lost         ///< The entry VM failed, or the answer came after the deadline.
};

/// One request of a caller.
struct Request {
  uint64_t Id = 0;
  uint32_t Customer = 0;
  uint32_t Service = 0;
  uint32_t Vm = 0;
  core::Time Arrived;
  bool WithinRate = false; ///< A single token bucket for the whole fleet would admit it.
};

/// Collects the results that the callers of one scene see, and the amount of wasted work.
class Metrics {
public:
  Metrics(const Deployment &deployment, const Scene &scene);

  void recordOutcome(const Request &request, RequestOutcome outcome, core::Time now);
  nlohmann::json summary() const;

  uint64_t Retries = 0;
  uint64_t Hedges = 0;
  uint64_t UnusedAnswers = 0; ///< Attempts that ran and whose answer was discarded.
  uint64_t BadVersionRequests = 0;
  int64_t DrainMs = -1; ///< From the start of the drain until its end; -1: no drain.
  std::string MoveResult = "-";

private:
  struct PerCustomer {
    uint64_t WithinRate = 0; ///< Requests that a single bucket for the whole fleet would admit.
    uint64_t Refused = 0;    ///< By the rate limit or for lack of capacity.
    uint64_t Answered = 0;
    uint64_t Total = 0;
    /// Requests within the rate that were refused. Compares totals instead of single requests: for
    /// a customer above its rate, the fleet may admit other requests than the single bucket would,
    /// which is no fault as long as it admits as many.
    uint64_t refusedWithinRate() const {
      const uint64_t admitted = Total - Refused;
      return WithinRate > admitted ? WithinRate - admitted : 0;
    }
    std::vector<int64_t> Latencies;
  };

  const Deployment &CurrentDeployment;
  const Scene &CurrentScene;
  std::vector<PerCustomer> Customers;
  std::vector<int64_t> Latencies;
  uint64_t OutcomeCounts[5] = {};
  uint64_t Requests = 0;
};

} // namespace briarspar::tools
