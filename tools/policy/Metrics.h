#pragma once

#include "Deployment.h"
#include "Scene.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::tools {

/// How a request ended for its caller.
enum class RequestOutcome : uint8_t {
  Answered,
  RateRefused, ///< By the customer's rate; not run.
  NoCapacity,  ///< No slot in time; not run.
  Failed,      ///< The target failed it.
  Lost         ///< Its entry VM ended, or its answer came after the deadline.
};

/// One request of a caller.
struct Request {
  uint64_t Id = 0;
  uint32_t Customer = 0;
  uint32_t Service = 0;
  uint32_t Vm = 0;
  core::Time Arrived;
  bool WithinRate = false; ///< One bucket for the whole fleet admits it.
};

/// Collects what the callers of one scene see, and the work that nobody uses.
class Metrics {
public:
  Metrics(const Deployment &deployment, const Scene &scene);

  void recordOutcome(const Request &request, RequestOutcome outcome, core::Time now);
  nlohmann::json summary() const;

  uint64_t Retries = 0;
  uint64_t Hedges = 0;
  uint64_t UnusedAnswers = 0; ///< Legs whose work was not used.
  uint64_t BadVersionRequests = 0;
  int64_t DrainMs = -1; ///< From the commit until the drain ended; -1: none.
  std::string MoveResult = "-";

private:
  struct PerCustomer {
    uint64_t WithinRate = 0; ///< Requests that one bucket for the whole fleet admits.
    uint64_t Refused = 0;    ///< By rate or for lack of capacity.
    uint64_t Answered = 0;
    uint64_t Total = 0;
    /// Requests that were to be admitted and were not. Counted in sums, because a customer above
    /// its rate may get the same number of other requests admitted.
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
